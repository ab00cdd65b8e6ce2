//! The command line: runs with the same seed have equal counts, reports are complete, and failures
//! are reported.

use driftgap_scale::results::{self, Point, RunFile, SlopeFile};
use std::path::Path;
use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_driftgap-scale"))
        .args(arguments)
        .output()
        .unwrap()
}

fn run(folder: &Path) -> RunFile {
    let out = folder.to_str().unwrap();
    let sizes = [
        "--sizes",
        "40,80,120,160",
        "--repeats",
        "2",
        "--seed",
        "5",
        "--out",
        out,
    ];
    let output = scale(&[&["run", "backends-discovery"], sizes.as_slice()].concat());
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    results::read(&folder.join("backends-discovery.json")).unwrap()
}

fn counts(point: &Point) -> Vec<(&str, f64)> {
    let counted = point
        .measurements
        .iter()
        .filter(|measurement| measurement.counted);
    counted
        .map(|measurement| (measurement.quantity.as_str(), measurement.value))
        .collect()
}

#[test]
fn same_seed_gives_same_counts_and_complete_report() {
    let (first, second) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let (a, b) = (run(first.path()), run(second.path()));
    assert_eq!(a.points.len(), 8);
    for (a, b) in a.points.iter().zip(&b.points) {
        assert_eq!((a.size, a.repeat, counts(a)), (b.size, b.repeat, counts(b)));
    }
    let output = scale(&["report", first.path().to_str().unwrap()]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let report = first.path().join("report");
    let slopes: SlopeFile = results::read(&report.join("backends-discovery.json")).unwrap();
    let heap = slopes
        .slopes
        .iter()
        .find(|slope| slope.quantity == "start_heap")
        .unwrap();
    assert!(
        heap.counted && heap.slope > 100.0 && heap.sizes == [40, 80, 120, 160],
        "{heap:?}"
    );
    assert!(slopes
        .slopes
        .iter()
        .any(|slope| slope.quantity == "start_cpu" && !slope.counted));
    let tables = std::fs::read_to_string(report.join("tables.md")).unwrap();
    assert!(
        tables.contains("| start_heap | bytes | 40 to 160 backends |"),
        "{tables}"
    );
    let plot = std::fs::read_to_string(report.join("backends-discovery-start_heap.svg")).unwrap();
    assert!(
        plot.starts_with("<svg") && plot.contains("circle"),
        "{plot}"
    );
}

#[test]
fn unknown_experiments_and_invalid_sizes_are_reported() {
    let unknown = scale(&["run", "nothing-of-the-kind"]);
    assert!(!unknown.status.success());
    assert!(String::from_utf8_lossy(&unknown.stderr)
        .contains("unknown experiment \"nothing-of-the-kind\""));
    // An ingress has at most 62 pools.
    let folder = tempfile::tempdir().unwrap();
    let beyond = scale(&[
        "run",
        "services",
        "--sizes",
        "63",
        "--out",
        folder.path().to_str().unwrap(),
    ]);
    assert!(!beyond.status.success());
    let stderr = String::from_utf8_lossy(&beyond.stderr).to_string();
    assert!(
        stderr.contains("experiment services failed at size 63") && stderr.contains("pools"),
        "{stderr}"
    );
    let empty = scale(&["report", folder.path().to_str().unwrap()]);
    assert!(!empty.status.success());
    assert!(String::from_utf8_lossy(&empty.stderr).contains("no result files"));
}
