//! The slopes stored under `docs/capacity`: they have the current format and match a new fit of
//! their points.

use driftgap_scale::fit::Line;
use driftgap_scale::registry;
use driftgap_scale::results::{self, Slope, SlopeFile, FORMAT};
use std::path::PathBuf;

/// Largest difference, as a share of the largest value: stored lines have fewer digits than lines
/// fitted on another machine.
const TOLERANCE: f64 = 1e-6;

fn stored() -> Vec<SlopeFile> {
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
fn stored_slopes_match_a_new_fit_of_their_points() {
    let files = stored();
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
            let (line, stored) = (refitted(slope), slope.line());
            let last = *slope.sizes.last().unwrap() as f64;
            for size in [0.0, last] {
                let difference = (line.at(size) - stored.at(size)).abs();
                assert!(
                    difference <= TOLERANCE * largest,
                    "{} {}",
                    slope.experiment,
                    slope.quantity
                );
            }
        }
    }
}
