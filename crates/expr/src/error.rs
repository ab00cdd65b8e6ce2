//! Errors of expressions and their wording for people: one line for a log, or the source line with
//! a caret under the faulty part. An error never holds more than an excerpt of a hostile text.

use std::fmt;
use std::ops::Range;

/// Maximum length of the excerpt of a source line, in characters.
const MAX_EXCERPT: usize = 120;

/// Position of an expression's text within its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl Default for Origin {
    fn default() -> Origin {
        Origin { line: 1, column: 1 }
    }
}

/// An error in an expression, found when the expression is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Byte range of the expression's text that the error is about.
    pub span: Range<usize>,
    /// What is wrong.
    pub problem: String,
    /// What was expected, or how to correct it.
    pub help: Option<String>,
    /// Position and excerpt of the source line; set once the text is known.
    location: Location,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Location {
    /// Line and column within the text, from 0.
    line: usize,
    column: usize,
    /// Excerpt of the line, with the caret's offset and width in characters.
    excerpt: String,
    caret: usize,
    width: usize,
}

impl Error {
    /// An error at a byte range.
    pub(crate) fn new(span: Range<usize>, problem: impl Into<String>) -> Error {
        Error {
            span,
            problem: problem.into(),
            help: None,
            location: Location::default(),
        }
    }

    /// An error at a byte range of a text that holds more than one expression, such as a file.
    pub fn at(span: Range<usize>, problem: impl Into<String>, help: Option<String>) -> Error {
        Error {
            help,
            ..Error::new(span, problem)
        }
    }

    /// Adds what was expected, or how to correct the error.
    pub(crate) fn help(mut self, help: impl Into<String>) -> Error {
        self.help = Some(help.into());
        self
    }

    /// Computes the line, the column and the excerpt from the text that the error is about.
    pub fn located(mut self, text: &str) -> Error {
        let char_boundary = |mut at: usize| {
            at = at.min(text.len());
            while !text.is_char_boundary(at) {
                at -= 1;
            }
            at
        };
        let (start, end) = (
            char_boundary(self.span.start),
            char_boundary(self.span.end.max(self.span.start)),
        );
        let line_start = text[..start].rfind('\n').map_or(0, |at| at + 1);
        let line_end = text[start..].find('\n').map_or(text.len(), |at| start + at);
        let column = text[line_start..start].chars().count();
        // Cuts a long line so that the caret stays within the excerpt.
        let skipped = column.saturating_sub(MAX_EXCERPT / 2);
        let excerpt: String = text[line_start..line_end]
            .chars()
            .skip(skipped)
            .take(MAX_EXCERPT)
            .collect();
        let caret = column - skipped;
        let width = text[start..end.min(line_end).max(start)]
            .chars()
            .take(MAX_EXCERPT)
            .count();
        let available = excerpt.chars().count().saturating_sub(caret).max(1);
        self.location = Location {
            line: text[..line_start].matches('\n').count(),
            column,
            // Control characters could change the state of the terminal that prints the excerpt.
            excerpt: excerpt
                .chars()
                .map(|c| if c.is_control() { ' ' } else { c })
                .collect(),
            caret,
            width: width.clamp(1, available),
        };
        self
    }

    /// Line and column in a file in which the expression's text begins at `origin`.
    pub fn position(&self, origin: Origin) -> Origin {
        let first = self.location.line == 0;
        Origin {
            line: origin.line + self.location.line,
            column: self.location.column + if first { origin.column } else { 1 },
        }
    }

    /// The error as one line: `file:line:column: problem; help`.
    pub fn line(&self, file: &str, origin: Origin) -> String {
        let at = self.position(origin);
        format!("{file}:{}:{}: {self}", at.line, at.column)
    }

    /// The error with the source line and a caret under the faulty part.
    pub fn render(&self, file: &str, origin: Origin) -> String {
        let at = self.position(origin);
        let number = at.line.to_string();
        let margin = " ".repeat(number.len());
        let Location {
            excerpt,
            caret,
            width,
            ..
        } = &self.location;
        let mut text = format!(
            "{file}:{}:{}: {}\n{margin} |\n{number} | {excerpt}\n{margin} | {}{}",
            at.line,
            at.column,
            self.problem,
            " ".repeat(*caret),
            "^".repeat(*width)
        );
        if let Some(help) = &self.help {
            text.push_str(&format!("\n{margin} = {help}"));
        }
        text
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.problem)?;
        match &self.help {
            Some(help) => write!(f, "; {help}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for Error {}

/// The known name that is most similar to a wrong one, if one is similar enough.
pub(crate) fn nearest<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // Bounds the time: the distance takes time proportional to the product of both lengths.
    if wrong.len() > 64 {
        return None;
    }
    let max = (wrong.chars().count() / 3).clamp(1, 2);
    known
        .map(|name| (strsim::damerau_levenshtein(wrong, name), name))
        .filter(|(distance, _)| *distance <= max)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, name)| name)
}

#[cfg(test)]
mod tests;
