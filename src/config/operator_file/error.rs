//! Errors of reading the operator's file.

/// An operator's file that cannot be used; the text is one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Read(String),
    /// The file is not valid TOML.
    #[error("line {line}: invalid TOML: {problem}")]
    Syntax {
        /// Line number from 1; 0 if the error concerns the whole file.
        line: usize,
        /// The parser's message.
        problem: String,
    },
    /// A field has the wrong type, is unknown, or is missing.
    #[error("{path}: line {line}: {problem}")]
    Field {
        /// The field's path, or the path of the table that lacks it.
        path: String,
        /// Line number from 1; 0 if the error concerns the whole file.
        line: usize,
        /// The parser's message.
        problem: String,
    },
    /// A value outside of the field's range.
    #[error("{field}: {problem}")]
    Value {
        /// The field's path.
        field: String,
        /// The values that the field accepts.
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
