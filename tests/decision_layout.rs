//! Limits on the files of the decision module: file length, line length, and a module comment.

use std::fs;
use std::path::{Path, PathBuf};

/// Largest number of non-blank lines in a file.
const MAX_FILE_LINES: usize = 400;
/// Largest number of characters in a line, comments included.
const MAX_LINE_CHARACTERS: usize = 110;

fn decision_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/decision");
    let files: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect();
    assert!(files.len() > 3, "src/decision has too few files: {files:?}");
    files
}

#[test]
fn no_decision_file_is_large() {
    for path in decision_files() {
        let text = fs::read_to_string(&path).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{}: {lines} non-blank lines",
            path.display()
        );
    }
}

#[test]
fn no_line_is_long() {
    for path in decision_files() {
        for (number, line) in fs::read_to_string(&path).unwrap().lines().enumerate() {
            assert!(
                line.chars().count() <= MAX_LINE_CHARACTERS,
                "{}:{} is too long",
                path.display(),
                number + 1
            );
        }
    }
}

#[test]
fn decision_files_open_with_a_module_comment() {
    for path in decision_files() {
        let text = fs::read_to_string(&path).unwrap();
        assert!(
            text.starts_with("//! "),
            "{} has no module comment",
            path.display()
        );
    }
}
