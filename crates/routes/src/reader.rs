//! Reading the values of a file of rules: TOML with the place of every value, so that each fault names its line.
//! It gathers the faults: reading goes on behind one, so that a file's faults are told together. It judges no
//! rule.

use crate::document::Excerpt;
use crate::fault::Fault;
use driftgap_expr::{Error, Expression, Facts, Origin, Schema, Type};
use std::cell::OnceCell;
use std::ops::{Range, RangeInclusive};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Most faults that are told of one file.
const MAX_FAULTS: usize = 100;
/// Longest part of an unknown key that is told, in characters.
const MAX_KEY_SHOWN: usize = 40;

/// A value of the file with its place in the excerpt that it was parsed from.
pub(crate) type Value<'d> = Spanned<DeValue<'d>>;

/// A text of the file and where it is.
#[derive(Clone, Debug)]
pub(crate) struct Text {
    pub(crate) text: String,
    /// Its place in the excerpt.
    pub(crate) span: Range<usize>,
    /// Where its first character is in the file.
    start: usize,
}

/// A fault of the TOML itself.
struct SyntaxFault {
    span: Range<usize>,
    problem: String,
}

/// Reads one file.
pub(crate) struct Reader<'t> {
    text: &'t str,
    file: &'t str,
    faults: Vec<Fault>,
    syntax: Vec<SyntaxFault>,
    /// Where each line begins; found at the first fault.
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

    /// The faults found: those of the TOML alone, if there are any, for nothing behind them is certain.
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
    pub(crate) fn clean(&self) -> bool {
        self.faults.is_empty() && self.syntax.is_empty()
    }

    /// Whether the TOML is without fault so far.
    pub(crate) fn well_formed(&self) -> bool {
        self.syntax.is_empty()
    }

    /// An excerpt as a table; none: it is no TOML, which is noted.
    pub(crate) fn parse<'d>(&mut self, excerpt: &'d Excerpt<'_>) -> Option<Spanned<DeTable<'d>>> {
        let (table, errors) = DeTable::parse_recoverable(excerpt.text());
        let fault = |error: &toml::de::Error| SyntaxFault {
            span: excerpt.in_file(&error.span().unwrap_or(0..1)),
            problem: error.message().replace('\n', " "),
        };
        self.syntax.extend(errors.iter().map(fault));
        // The parser does not tell them in the order of the file, and there may be one for each of its tokens.
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

    /// Notes a fault at a place of the file.
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
        self.note(
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
        self.note(
            error.line(self.file, origin),
            error.render(self.file, origin),
        );
    }

    fn note(&mut self, line: String, shown: String) {
        self.faults.push(Fault { line, shown });
    }
}

/// Reads the values of one excerpt.
pub(crate) struct Values<'r, 't> {
    pub(crate) reader: &'r mut Reader<'t>,
    excerpt: &'r Excerpt<'r>,
    /// Most cost of one expression.
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

    /// Notes a fault at a place of the excerpt.
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

    /// Notes every key that is none of these.
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

    pub(crate) fn table<'v, 'd>(&mut self, value: &'v Value<'d>) -> Option<&'v DeTable<'d>> {
        match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                self.type_fault(value.span(), other, "a table");
                None
            }
        }
    }

    pub(crate) fn array<'v, 'd>(&mut self, value: &'v Value<'d>) -> &'v [Value<'d>] {
        match value.get_ref() {
            DeValue::Array(array) => array,
            other => {
                self.type_fault(value.span(), other, "an array");
                &[]
            }
        }
    }

    pub(crate) fn string(&mut self, value: &Value<'_>) -> Option<Text> {
        match value.get_ref() {
            DeValue::String(text) => {
                let span = value.span();
                let raw = self.excerpt.text().get(span.clone()).unwrap_or("");
                let quotes = if raw.starts_with("'''") || raw.starts_with("\"\"\"") {
                    3
                } else {
                    1
                };
                // The first line break behind three quotes is none of the text's.
                let rest = raw.get(quotes..).unwrap_or("");
                let skip = quotes
                    + if quotes == 3 {
                        usize::from(rest.starts_with('\n'))
                    } else {
                        0
                    };
                let start = self.excerpt.in_file(&span).start + skip;
                Some(Text {
                    text: text.to_string(),
                    span,
                    start,
                })
            }
            other => {
                self.type_fault(value.span(), other, "a text");
                None
            }
        }
    }

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

    fn type_fault(&mut self, span: Range<usize>, got: &DeValue, want: &str) {
        self.fault(
            span,
            format!("this is a TOML {}", got.type_str()),
            Some(format!("{want} was expected")),
        );
    }

    /// An expression of this type that is evaluated where `facts` hold.
    pub(crate) fn expression(
        &mut self,
        text: &Text,
        schema: &Schema,
        facts: &Facts,
        want: &Type,
    ) -> Option<Expression> {
        match Expression::within(&text.text, schema, facts, want, self.max_cost) {
            Ok(expression) => Some(expression),
            Err(e) => {
                self.expression_fault(text, &e);
                None
            }
        }
    }
}
