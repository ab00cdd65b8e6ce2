//! The slopes under `docs/capacity`: they have the form that this version reads and follow from their own points.

use driftgap_scale::fit::Line;
use driftgap_scale::registry;
use driftgap_scale::results::{self, Slope, SlopeFile, FORMAT};
use std::path::PathBuf;

/// Lines are kept with fewer digits than they are computed with on another machine.
const SAME_WITHIN: f64 = 1e-6;

fn kept() -> Vec<SlopeFile> {
    let folder = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity"));
    let files = registry::all()
        .into_iter()
        .map(|experiment| folder.join(format!("{}.json", experiment.name())));
    files
        .filter(|path| path.exists())
        .map(|path| results::read(&path).unwrap())
        .collect()
}

fn refitted(slope: &Slope) -> Line {
    let sizes = slope.sizes.iter().map(|size| *size as f64);
    let points: Vec<(f64, f64)> = sizes.zip(slope.points.iter().copied()).collect();
    Line::through(&points).unwrap()
}

#[test]
fn every_kept_slope_follows_from_its_points() {
    let files = kept();
    assert!(!files.is_empty());
    for file in &files {
        assert_eq!(
            file.provenance.format, FORMAT,
            "{}",
            file.provenance.experiment
        );
        for slope in &file.slopes {
            let largest = slope
                .points
                .iter()
                .map(|value| value.abs())
                .fold(1.0, f64::max);
            let (line, kept) = (refitted(slope), slope.line());
            let last = *slope.sizes.last().unwrap() as f64;
            for size in [0.0, last] {
                let difference = (line.at(size) - kept.at(size)).abs();
                assert!(
                    difference <= SAME_WITHIN * largest,
                    "{} {}",
                    slope.experiment,
                    slope.quantity
                );
            }
        }
    }
}
