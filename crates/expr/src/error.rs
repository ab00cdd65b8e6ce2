//! What is wrong with an expression, and where. It owns the wording of faults for people: a line for a log, or
//! the source line with a caret under it. It must never hold more of a hostile text than a line's worth.

use std::fmt;
use std::ops::Range;

/// Longest part of a source line that is shown, in characters.
const MAX_SHOWN: usize = 120;

/// Where an expression's text begins in the file that holds it.
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

/// A fault in an expression, found before it is ever used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Bytes of the expression's text that it is about.
    pub span: Range<usize>,
    /// What is wrong.
    pub problem: String,
    /// What was expected, or how to mend it.
    pub help: Option<String>,
    /// The line of the text, with the caret's place and width in characters; set once the text is known.
    place: Place,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Place {
    /// Line and column within the text, from 0.
    line: usize,
    column: usize,
    /// Part of the line that is shown, the caret's offset and width in it.
    shown: String,
    caret: usize,
    width: usize,
}

impl Error {
    /// A fault at these bytes.
    pub(crate) fn new(span: Range<usize>, problem: impl Into<String>) -> Error {
        Error {
            span,
            problem: problem.into(),
            help: None,
            place: Place::default(),
        }
    }

    /// A fault at these bytes of a text that holds more than an expression.
    pub fn at(span: Range<usize>, problem: impl Into<String>, help: Option<String>) -> Error {
        Error {
            help,
            ..Error::new(span, problem)
        }
    }

    /// With what was expected, or how to mend it.
    pub(crate) fn help(mut self, help: impl Into<String>) -> Error {
        self.help = Some(help.into());
        self
    }

    /// Finds the fault's line and column in the text that it is about.
    pub fn located(mut self, text: &str) -> Error {
        let whole = |mut at: usize| {
            at = at.min(text.len());
            while !text.is_char_boundary(at) {
                at -= 1;
            }
            at
        };
        let (start, end) = (
            whole(self.span.start),
            whole(self.span.end.max(self.span.start)),
        );
        let line_start = text[..start].rfind('\n').map_or(0, |at| at + 1);
        let line_end = text[start..].find('\n').map_or(text.len(), |at| start + at);
        let column = text[line_start..start].chars().count();
        // A long line is cut so that the caret is in what is left of it.
        let skipped = column.saturating_sub(MAX_SHOWN / 2);
        let shown: String = text[line_start..line_end]
            .chars()
            .skip(skipped)
            .take(MAX_SHOWN)
            .collect();
        let caret = column - skipped;
        let width = text[start..end.min(line_end).max(start)]
            .chars()
            .take(MAX_SHOWN)
            .count();
        let room = shown.chars().count().saturating_sub(caret).max(1);
        self.place = Place {
            line: text[..line_start].matches('\n').count(),
            column,
            // Guards the terminal that it is printed on.
            shown: shown
                .chars()
                .map(|c| if c.is_control() { ' ' } else { c })
                .collect(),
            caret,
            width: width.clamp(1, room),
        };
        self
    }

    /// Line and column in a file in which the text begins at `origin`.
    pub fn position(&self, origin: Origin) -> Origin {
        let first = self.place.line == 0;
        Origin {
            line: origin.line + self.place.line,
            column: self.place.column + if first { origin.column } else { 1 },
        }
    }

    /// The fault as one line: `file:line:column: problem; help`.
    pub fn line(&self, file: &str, origin: Origin) -> String {
        let at = self.position(origin);
        format!("{file}:{}:{}: {self}", at.line, at.column)
    }

    /// The fault with the source line and a caret under what is meant.
    pub fn render(&self, file: &str, origin: Origin) -> String {
        let at = self.position(origin);
        let number = at.line.to_string();
        let margin = " ".repeat(number.len());
        let Place {
            shown,
            caret,
            width,
            ..
        } = &self.place;
        let mut text = format!(
            "{file}:{}:{}: {}\n{margin} |\n{number} | {shown}\n{margin} | {}{}",
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

/// The known name that is nearest to a wrong one, if one is near.
pub(crate) fn nearest<'a>(wrong: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // Guards the time to refuse: the distance costs the product of both lengths.
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
