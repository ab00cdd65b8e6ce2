//! Why an operator's file cannot be used.

/// A file that cannot be used; the text is one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorFileError {
    /// It cannot be read.
    #[error("{0}")]
    Read(String),
    /// It is not TOML.
    #[error("line {line}: {problem}")]
    Syntax {
        /// From 1; 0: the file as a whole.
        line: usize,
        /// What the parser says.
        problem: String,
    },
    /// A field of another type, an unknown one, or one that is missing.
    #[error("{path}: line {line}: {problem}")]
    Field {
        /// Its path, or that of the table that it is missing in.
        path: String,
        /// From 1; 0: the file as a whole.
        line: usize,
        /// What the parser says.
        problem: String,
    },
    /// A value that the field may not have.
    #[error("{field}: {problem}")]
    Value {
        /// Its path.
        field: String,
        /// What it may have.
        problem: String,
    },
}

impl OperatorFileError {
    pub(super) fn value(field: &str, problem: &str) -> OperatorFileError {
        OperatorFileError::Value {
            field: field.to_string(),
            problem: problem.to_string(),
        }
    }

    pub(super) fn syntax(error: &toml::de::Error, text: &str) -> OperatorFileError {
        OperatorFileError::Syntax {
            line: line_of(error, text),
            problem: one_line(error),
        }
    }

    pub(super) fn field(
        error: &serde_path_to_error::Error<toml::de::Error>,
        text: &str,
    ) -> OperatorFileError {
        OperatorFileError::Field {
            path: error.path().to_string(),
            line: line_of(error.inner(), text),
            problem: one_line(error.inner()),
        }
    }
}

fn line_of(error: &toml::de::Error, text: &str) -> usize {
    error.span().map_or(0, |span| {
        let before = &text[..span.start.min(text.len())];
        before.lines().count().max(1)
    })
}

fn one_line(error: &toml::de::Error) -> String {
    error.message().replace('\n', " ")
}
