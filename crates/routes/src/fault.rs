//! What is wrong with a file of rules.

/// A fault in a file of rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}")]
pub struct Fault {
    /// As one line: file, line, column, what is wrong, how to mend it.
    pub line: String,
    /// The same with the line of the file and a caret under what is meant.
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
