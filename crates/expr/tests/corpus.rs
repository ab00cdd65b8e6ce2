//! Every text that fuzzing has kept, and the table of cases, the whole way.

mod common;

use std::path::Path;

#[test]
fn the_corpus_goes_the_whole_way() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("fuzz/corpus/expression");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let bytes = std::fs::read(entry.unwrap().path()).unwrap();
        common::whole_way(&String::from_utf8_lossy(&bytes));
        count += 1;
    }
    assert!(count > 0);
    for line in include_str!("conformance.txt").lines() {
        let ends = ["=>", "!!", "~~"]
            .iter()
            .filter_map(|kind| line.rfind(&format!(" {kind} ")));
        common::whole_way(&line[..ends.max().unwrap_or(line.len())]);
    }
}
