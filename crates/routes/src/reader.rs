//! Reads the values of a file of rules: TOML with the span of every value, so that each fault names
//! its line.
//!
//! Reading continues after a fault, so that an operator sees all faults of a file at once. This
//! module checks the types and ranges of values; other modules check what a rule does.

use crate::document::Excerpt;
use crate::fault::Fault;
use driftgap_expr::{Error, Expression, Facts, Origin, Schema, Type};
use std::cell::OnceCell;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Maximum number of faults that are reported for one file.
const MAX_FAULTS: usize = 100;
/// Maximum length of the unknown key that a fault quotes, in characters.
const MAX_KEY_SHOWN: usize = 40;

/// A value of the file with its span in the excerpt that it was parsed from.
pub(crate) type Value<'d> = Spanned<DeValue<'d>>;

/// A string of the file with its location.
#[derive(Clone, Debug)]
pub(crate) struct Text {
    pub(crate) text: String,
    /// Span of the string in the excerpt, in bytes.
    pub(crate) span: Range<usize>,
    /// The offset of its first character in the file, in bytes.
    start: usize,
}

/// A syntax error of the TOML.
struct SyntaxFault {
    span: Range<usize>,
    problem: String,
}

/// One file and the faults found in it.
pub(crate) struct Reader<'t> {
    text: &'t str,
    file: &'t str,
    faults: Vec<Fault>,
    syntax: Vec<SyntaxFault>,
    /// The offset of each line, in bytes; computed at the first fault.
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

    /// Returns the faults. If there are syntax errors, only these are returned, because the others
    /// may be consequences of them.
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

    /// Returns whether no fault has been found so far.
    pub(crate) fn has_no_faults(&self) -> bool {
        self.faults.is_empty() && self.syntax.is_empty()
    }

    /// Returns whether no syntax error has been found so far.
    pub(crate) fn well_formed(&self) -> bool {
        self.syntax.is_empty()
    }

    /// Parses an excerpt. Returns `None` and records the syntax errors if it is not TOML.
    pub(crate) fn parse<'d>(&mut self, excerpt: &'d Excerpt<'_>) -> Option<Spanned<DeTable<'d>>> {
        let (table, errors) = DeTable::parse_recoverable(excerpt.text());
        let fault = |error: &toml::de::Error| SyntaxFault {
            span: excerpt.in_file(&error.span().unwrap_or(0..1)),
            problem: error.message().replace('\n', " "),
        };
        self.syntax.extend(errors.iter().map(fault));
        // The parser reports errors in another order than the file's, and a malicious file has one
        // for each token.
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

    /// Records a fault at a span of the file.
    pub(crate) fn fault_in_file(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        help: Option<String>,
    ) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        // Only the first line is shown, because a span can be a whole table.
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

    /// Records a fault of an expression.
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
    /// Maximum cost of one expression, in units.
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

    /// Records a fault at a span of the excerpt.
    pub(crate) fn fault(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        help: Option<String>,
    ) {
        self.reader
            .fault_in_file(self.excerpt.in_file(&span), problem, help);
    }

    /// Records a fault of an expression.
    pub(crate) fn expression_fault(&mut self, text: &Text, error: &Error) {
        self.reader.expression_fault(text, error);
    }

    /// Reports every key of a table that is not in `keys`.
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
                    None => format!("known keys: {}", keys.join(", ")),
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

    /// Returns the value as a table, or reports that it has another type.
    pub(crate) fn table<'v, 'd>(&mut self, value: &'v Value<'d>) -> Option<&'v DeTable<'d>> {
        match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                self.type_fault(value.span(), other, "a table");
                None
            }
        }
    }

    /// Returns the value as an array, or reports that it has another type and returns an empty one.
    pub(crate) fn array<'v, 'd>(&mut self, value: &'v Value<'d>) -> &'v [Value<'d>] {
        match value.get_ref() {
            DeValue::Array(array) => array,
            other => {
                self.type_fault(value.span(), other, "an array");
                &[]
            }
        }
    }

    /// Returns the value as a string, or reports that it has another type.
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

    /// Returns the value as a number, or reports that it has another type or is out of range.
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

    /// Reports that a value does not have the expected type.
    fn type_fault(&mut self, span: Range<usize>, got: &DeValue, expected: &str) {
        self.fault(
            span,
            format!("this is a TOML {}", got.type_str()),
            Some(format!("{expected} was expected")),
        );
    }

    /// Checks an expression that is evaluated where `facts` hold, and reports its fault. `expected`
    /// is the type of its result.
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

/// Returns the length of the opening quotes of a string as written in TOML, in bytes. It includes a
/// newline directly after three quotes, which is not part of the string.
fn opening_length(raw: &str) -> usize {
    if !raw.starts_with("'''") && !raw.starts_with("\"\"\"") {
        return 1;
    }
    let has_line_break = raw.get(3..).is_some_and(|rest| rest.starts_with('\n'));
    3 + usize::from(has_line_break)
}
