//! What is wrong with a file of rules.

/// A fault of a file of rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}")]
pub struct Fault {
    /// One line: file, line, column, what is wrong, how to mend it.
    pub line: String,
    /// The same for a terminal, with the line of the file and a caret under the faulty part.
    pub shown: String,
}

impl Fault {
    /// A fault of the file as a whole.
    pub(crate) fn of_file(file: &str, problem: &str) -> Fault {
        let line = format!("{file}: {problem}");
        Fault {
            shown: line.clone(),
            line,
        }
    }
}
