//! A fault of a file of rules.

/// A fault of a file of rules, as text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}")]
pub struct Fault {
    /// One line with the file, line, column, problem, and how to correct it.
    pub line: String,
    /// The contents of `line` for a terminal, with the line of the file and a caret under the
    /// faulty text.
    pub shown: String,
}

impl Fault {
    /// Creates a fault of the file as a whole.
    pub(crate) fn of_file(file: &str, problem: &str) -> Fault {
        let line = format!("{file}: {problem}");
        Fault {
            shown: line.clone(),
            line,
        }
    }
}
