//! Reads the values of a file of rules: TOML with the span of every value, so that each fault names its line.
//! Reading goes on after a fault, so that an operator sees all faults of a file at once. It checks the types and ranges
//! of values, never what a rule does.

use crate::document::Excerpt;
use crate::fault::Fault;
use driftgap_expr::{Error, Expression, Facts, Origin, Schema, Type};
use std::cell::OnceCell;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Most faults that are reported of one file.
const MAX_FAULTS: usize = 100;
/// Longest part of an unknown key that is shown, in characters.
const MAX_KEY_SHOWN: usize = 40;

/// A value of the file with its span in the excerpt that it was parsed from.
pub(crate) type Value<'d> = Spanned<DeValue<'d>>;

/// A text of the file and where it is.
#[derive(Clone, Debug)]
pub(crate) struct Text {
    pub(crate) text: String,
    /// Its span in the excerpt, bytes.
    pub(crate) span: Range<usize>,
    /// The offset of its first character in the file, bytes.
    start: usize,
}

/// A fault of the TOML itself.
struct SyntaxFault {
    span: Range<usize>,
    problem: String,
}

/// One file, and the faults found in it.
pub(crate) struct Reader<'t> {
    text: &'t str,
    file: &'t str,
    faults: Vec<Fault>,
    syntax: Vec<SyntaxFault>,
    /// The offset of each line, bytes; determined at the first fault.
    lines: OnceCell<Vec<usize>>,
}

impl<'t> Reader<'t> {
    pub(crate) fn new(text: &'t str, file: &'t str) -> Reader<'t> {
        Reader {
            text,
            file,
            faults: Vec::new(),
            syntax: Vec::new(),
            lines: OnceCell::new(),
        }
    }

    /// The faults found. If the TOML itself is faulty, only those: others may be mere consequences.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        if self.syntax.is_empty() {
            return self.faults;
        }
        self.faults.clear();
        for fault in std::mem::take(&mut self.syntax) {
            self.fault_in_file(fault.span, fault.problem, None);
        }
        self.faults
    }

    /// Whether there is no fault so far.
    pub(crate) fn has_no_faults(&self) -> bool {
        self.faults.is_empty() && self.syntax.is_empty()
    }

    /// Whether the TOML is without fault so far.
    pub(crate) fn well_formed(&self) -> bool {
        self.syntax.is_empty()
    }

    /// Parses an excerpt. None: it is no TOML, which is noted.
    pub(crate) fn parse<'d>(&mut self, excerpt: &'d Excerpt<'_>) -> Option<Spanned<DeTable<'d>>> {
        let (table, errors) = DeTable::parse_recoverable(excerpt.text());
        let fault = |error: &toml::de::Error| SyntaxFault {
            span: excerpt.in_file(&error.span().unwrap_or(0..1)),
            problem: error.message().replace('\n', " "),
        };
        self.syntax.extend(errors.iter().map(fault));
        // The parser does not report them in the order of the file, and a hostile file has one for each token.
        self.syntax.sort_by_key(|fault| fault.span.start);
        self.syntax.truncate(MAX_FAULTS);
        errors.is_empty().then_some(table)
    }

    fn origin(&self, at: usize) -> Origin {
        let newlines = || self.text.match_indices('\n').map(|(at, _)| at + 1);
        let lines = self
            .lines
            .get_or_init(|| std::iter::once(0).chain(newlines()).collect());
        let line = lines.partition_point(|start| *start <= at).max(1);
        let before = self.text.get(lines[line - 1]..at).unwrap_or("");
        Origin {
            line,
            column: before.chars().count() + 1,
        }
    }

    /// Notes a fault at a span of the file.
    pub(crate) fn fault_in_file(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        help: Option<String>,
    ) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        // Only the first line is shown: a span may be a whole table.
        let before = self.text.get(..span.start).unwrap_or("");
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let line = self.origin(span.start).line;
        let text = self
            .text
            .get(start..)
            .and_then(|rest| rest.lines().next())
            .unwrap_or("");
        let within = |at: usize| at.saturating_sub(start).min(text.len());
        let error = Error::at(within(span.start)..within(span.end), problem, help).located(text);
        let origin = Origin { line, column: 1 };
        self.add_fault(
            error.line(self.file, origin),
            error.render(self.file, origin),
        );
    }

    /// Notes a fault of an expression.
    pub(crate) fn expression_fault(&mut self, text: &Text, error: &Error) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        let origin = self.origin(text.start);
        self.add_fault(
            error.line(self.file, origin),
            error.render(self.file, origin),
        );
    }

    fn add_fault(&mut self, line: String, shown: String) {
        self.faults.push(Fault { line, shown });
    }
}

/// Reads the values of one excerpt.
pub(crate) struct Values<'r, 't> {
    pub(crate) reader: &'r mut Reader<'t>,
    excerpt: &'r Excerpt<'r>,
    /// Highest cost of one expression, in units.
    max_cost: u64,
}

impl<'r, 't> Values<'r, 't> {
    pub(crate) fn new(reader: &'r mut Reader<'t>, excerpt: &'r Excerpt<'r>, max_cost: u64) -> Self {
        Values {
            reader,
            excerpt,
            max_cost,
        }
    }

    /// Notes a fault at a span of the excerpt.
    pub(crate) fn fault(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        help: Option<String>,
    ) {
        self.reader
            .fault_in_file(self.excerpt.in_file(&span), problem, help);
    }

    /// Notes a fault of an expression.
    pub(crate) fn expression_fault(&mut self, text: &Text, error: &Error) {
        self.reader.expression_fault(text, error);
    }

    /// Notes every key of a table that is none of these.
    pub(crate) fn known_keys(&mut self, table: &DeTable<'_>, keys: &[&str]) {
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !keys.contains(&name) {
                let near = keys
                    .iter()
                    .min_by_key(|k| strsim::damerau_levenshtein(name, k));
                let near = near.filter(|k| strsim::damerau_levenshtein(name, k) <= 2);
                let help = match near {
                    Some(near) => format!("did you mean `{near}`?"),
                    None => format!("known are {}", keys.join(", ")),
                };
                let short: String = name.chars().take(MAX_KEY_SHOWN).collect();
                self.fault(
                    key.span(),
                    format!("`{short}` is not known here"),
                    Some(help),
                );
            }
        }
    }

    /// The value as a table; another type is noted.
    pub(crate) fn table<'v, 'd>(&mut self, value: &'v Value<'d>) -> Option<&'v DeTable<'d>> {
        match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                self.type_fault(value.span(), other, "a table");
                None
            }
        }
    }

    /// The value as an array; another type is noted, and the array is empty.
    pub(crate) fn array<'v, 'd>(&mut self, value: &'v Value<'d>) -> &'v [Value<'d>] {
        match value.get_ref() {
            DeValue::Array(array) => array,
            other => {
                self.type_fault(value.span(), other, "an array");
                &[]
            }
        }
    }

    /// The value as a text; another type is noted.
    pub(crate) fn string(&mut self, value: &Value<'_>) -> Option<Text> {
        let DeValue::String(text) = value.get_ref() else {
            self.type_fault(value.span(), value.get_ref(), "a text");
            return None;
        };
        let span = value.span();
        let raw = self.excerpt.text().get(span.clone()).unwrap_or("");
        let start = self.excerpt.in_file(&span).start + opening_length(raw);
        Some(Text {
            text: text.to_string(),
            span,
            start,
        })
    }

    /// The value as a number in this range; anything else is noted.
    pub(crate) fn number(&mut self, value: &Value<'_>, range: RangeInclusive<f64>) -> Option<f64> {
        let number = match value.get_ref() {
            DeValue::Integer(number) => i64::from_str_radix(number.as_str(), number.radix())
                .ok()
                .map(|n| n as f64),
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            other => {
                self.type_fault(value.span(), other, "a number");
                return None;
            }
        };
        let fits = number.filter(|n| range.contains(n));
        if fits.is_none() {
            let help = format!(
                "a number from {} to {} was expected",
                range.start(),
                range.end()
            );
            self.fault(value.span(), "the number is out of range", Some(help));
        }
        fits
    }

    /// Notes that a value is of another type than `expected`.
    fn type_fault(&mut self, span: Range<usize>, got: &DeValue, expected: &str) {
        self.fault(
            span,
            format!("this is a TOML {}", got.type_str()),
            Some(format!("{expected} was expected")),
        );
    }

    /// Checks an expression of this type that is evaluated where `facts` hold; its fault is noted.
    pub(crate) fn expression(
        &mut self,
        text: &Text,
        schema: &Schema,
        facts: &Facts,
        expected: &Type,
    ) -> Option<Expression> {
        match Expression::within(&text.text, schema, facts, expected, self.max_cost) {
            Ok(expression) => Some(expression),
            Err(e) => {
                self.expression_fault(text, &e);
                None
            }
        }
    }
}

/// The length of what stands before the first character of a text as it is spelt in TOML: the opening quotes, and a line
/// break right after three of them, bytes.
fn opening_length(raw: &str) -> usize {
    if !raw.starts_with("'''") && !raw.starts_with("\"\"\"") {
        return 1;
    }
    let has_line_break = raw.get(3..).is_some_and(|rest| rest.starts_with('\n'));
    3 + usize::from(has_line_break)
}
