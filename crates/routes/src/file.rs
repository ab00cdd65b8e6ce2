//! Reading a file of rules: TOML with the place of every value, so that each fault names its line. It owns the
//! gathering of faults: reading goes on behind one, so that a file's faults are told together. It must never
//! judge a rule.

use driftgap_expr::{Error, Expression, Facts, Origin, Schema, Type};
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Most faults that are told of one file.
const MOST_FAULTS: usize = 100;

/// A fault in a file of rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}")]
pub struct Fault {
    /// As one line: file, line, column, what is wrong, how to mend it.
    pub line: String,
    /// The same with the line of the file and a caret under what is meant.
    pub shown: String,
}

/// A text of the file and where it is.
#[derive(Clone, Debug)]
pub(crate) struct Text {
    pub(crate) text: String,
    pub(crate) span: Range<usize>,
    origin: Origin,
}

pub(crate) struct Reader<'t> {
    text: &'t str,
    file: &'t str,
    faults: Vec<Fault>,
    /// Where each line begins.
    lines: Vec<usize>,
    /// Most cost of one expression.
    pub(crate) most_cost: u64,
}

pub(crate) type Table<'t> = Spanned<DeTable<'t>>;
pub(crate) type Value<'t> = Spanned<DeValue<'t>>;

impl<'t> Reader<'t> {
    pub(crate) fn new(text: &'t str, file: &'t str) -> Reader<'t> {
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        Reader { text, file, faults: Vec::new(), lines, most_cost: u64::MAX }
    }

    pub(crate) fn faults(self) -> Vec<Fault> {
        self.faults
    }

    pub(crate) fn clean(&self) -> bool {
        self.faults.is_empty()
    }

    fn origin(&self, at: usize) -> Origin {
        let line = self.lines.partition_point(|start| *start <= at).max(1);
        let before = self.text.get(self.lines[line - 1]..at).unwrap_or("");
        Origin { line, column: before.chars().count() + 1 }
    }

    /// Notes a fault at a place of the file.
    pub(crate) fn fault(&mut self, span: Range<usize>, problem: impl Into<String>, help: Option<String>) {
        if self.faults.len() >= MOST_FAULTS {
            return;
        }
        // Only the first line is shown: a span may be a whole table.
        let line = self.origin(span.start).line;
        let start = self.lines[line - 1];
        let text = self.text.get(start..).and_then(|rest| rest.lines().next()).unwrap_or("");
        let within = |at: usize| at.saturating_sub(start).min(text.len());
        let error = Error::at(within(span.start)..within(span.end), problem, help).located(text);
        let origin = Origin { line, column: 1 };
        self.note(error.line(self.file, origin), error.render(self.file, origin));
    }

    /// Notes a fault of an expression.
    pub(crate) fn wrong(&mut self, text: &Text, error: &Error) {
        self.note(error.line(self.file, text.origin), error.render(self.file, text.origin));
    }

    fn note(&mut self, line: String, shown: String) {
        if self.faults.len() < MOST_FAULTS {
            self.faults.push(Fault { line, shown });
        }
    }

    /// The whole file as a table.
    pub(crate) fn parse(&mut self) -> Option<Table<'t>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            let span = error.span().unwrap_or(0..1);
            self.fault(span, error.message().replace('\n', " "), None);
        }
        errors.is_empty().then_some(table)
    }

    /// Notes every key that is none of these.
    pub(crate) fn known(&mut self, table: &DeTable<'t>, keys: &[&str]) {
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !keys.contains(&name) {
                let near = keys.iter().min_by_key(|k| strsim::damerau_levenshtein(name, k));
                let near = near.filter(|k| strsim::damerau_levenshtein(name, k) <= 2);
                let help = match near {
                    Some(near) => format!("did you mean `{near}`?"),
                    None => format!("known are {}", keys.join(", ")),
                };
                let short: String = name.chars().take(40).collect();
                self.fault(key.span(), format!("`{short}` is not known here"), Some(help));
            }
        }
    }

    pub(crate) fn table<'v>(&mut self, value: &'v Value<'t>) -> Option<&'v DeTable<'t>> {
        match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                self.type_fault(value.span(), other, "a table");
                None
            }
        }
    }

    pub(crate) fn array<'v>(&mut self, value: &'v Value<'t>) -> &'v [Value<'t>] {
        match value.get_ref() {
            DeValue::Array(array) => array,
            other => {
                self.type_fault(value.span(), other, "an array");
                &[]
            }
        }
    }

    pub(crate) fn string(&mut self, value: &Value<'t>) -> Option<Text> {
        match value.get_ref() {
            DeValue::String(text) => {
                let span = value.span();
                let raw = self.text.get(span.clone()).unwrap_or("");
                let quotes = if raw.starts_with("'''") || raw.starts_with("\"\"\"") { 3 } else { 1 };
                // The first line break behind three quotes is none of the text's.
                let rest = raw.get(quotes..).unwrap_or("");
                let skip = quotes + if quotes == 3 { usize::from(rest.starts_with('\n')) } else { 0 };
                let origin = self.origin(span.start + skip);
                Some(Text { text: text.to_string(), span, origin })
            }
            other => {
                self.type_fault(value.span(), other, "a text");
                None
            }
        }
    }

    pub(crate) fn number(&mut self, value: &Value<'t>, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        let number = match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|n| n as f64)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            other => {
                self.type_fault(value.span(), other, "a number");
                return None;
            }
        };
        let fits = number.filter(|n| range.contains(n));
        if fits.is_none() {
            let help = format!("a number from {} to {} was expected", range.start(), range.end());
            self.fault(value.span(), "the number is out of range", Some(help));
        }
        fits
    }

    fn type_fault(&mut self, span: Range<usize>, got: &DeValue, want: &str) {
        self.fault(span, format!("this is a TOML {}", got.type_str()), Some(format!("{want} was expected")));
    }

    /// An expression of this type that is evaluated where `facts` hold.
    pub(crate) fn expression(
        &mut self,
        text: &Text,
        schema: &Schema,
        facts: &Facts,
        want: &Type,
    ) -> Option<Expression> {
        match Expression::within(&text.text, schema, facts, want, self.most_cost) {
            Ok(expression) => Some(expression),
            Err(e) => {
                self.wrong(text, &e);
                None
            }
        }
    }
}
