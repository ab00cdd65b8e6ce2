//! The decision folder stays readable: small files, short lines, each opened by what it is for.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines that are not blank, in one file of the decision folder.
const MAX_FILE_LINES: usize = 400;
/// Characters of a line, comments included.
const MAX_LINE_CHARACTERS: usize = 110;

fn decision_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/decision");
    let files: Vec<PathBuf> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect();
    assert!(files.len() > 3, "the folder was not found: {files:?}");
    files
}

#[test]
fn no_decision_file_is_large() {
    for path in decision_files() {
        let text = fs::read_to_string(&path).unwrap();
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{}: {lines} lines that are not blank",
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
fn every_decision_file_opens_with_what_it_is_for() {
    for path in decision_files() {
        let text = fs::read_to_string(&path).unwrap();
        assert!(
            text.starts_with("//! "),
            "{} has no module comment",
            path.display()
        );
    }
}
