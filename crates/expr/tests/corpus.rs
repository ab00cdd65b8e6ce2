//! Runs the fuzzing corpus and the expressions of the table of cases through the parser, the
//! checker, the machine and the explanation.

mod common;

use std::path::Path;

#[test]
fn corpus_runs_through_every_stage() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fuzz/corpus/expression");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let bytes = std::fs::read(entry.unwrap().path()).unwrap();
        common::run_every_stage(&String::from_utf8_lossy(&bytes));
        count += 1;
    }
    assert!(count > 0);
    for line in include_str!("conformance.txt").lines() {
        let ends = ["=>", "!!", "~~"]
            .iter()
            .filter_map(|kind| line.rfind(&format!(" {kind} ")));
        common::run_every_stage(&line[..ends.max().unwrap_or(line.len())]);
    }
}
