//! All experiments of the registry: valid names and sizes, and equal counts for equal seeds.

use driftgap_scale::experiment::{Experiment, Measurement};
use driftgap_scale::registry;
use std::collections::BTreeSet;

/// Smallest ratio of the largest size to the smallest.
const MIN_RANGE: u64 = 30;
const MIN_SIZES: usize = 4;

fn counted(experiment: &dyn Experiment, seed: u64) -> Vec<Measurement> {
    let size = experiment.sizes(true)[0];
    let measured = experiment
        .measure(size, seed)
        .unwrap_or_else(|e| panic!("{}: {e}", experiment.name()));
    measured
        .into_iter()
        .filter(|measurement| measurement.counted)
        .collect()
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    for experiment in registry::all() {
        let (first, second) = (
            counted(experiment.as_ref(), 7),
            counted(experiment.as_ref(), 7),
        );
        assert!(
            !first.is_empty(),
            "{} has no counted quantities",
            experiment.name()
        );
        for (first, second) in first.iter().zip(&second) {
            assert_eq!(first, second, "{}", experiment.name());
        }
        assert_eq!(first.len(), second.len(), "{}", experiment.name());
    }
}

#[test]
fn names_are_unique_and_sizes_suit_a_fit() {
    let mut names = BTreeSet::new();
    for experiment in registry::all() {
        let name = experiment.name();
        assert!(names.insert(name), "two experiments are named {name}");
        assert!(
            name.bytes().all(|b| b.is_ascii_lowercase() || b == b'-'),
            "{name}"
        );
        assert!(registry::find(name).is_some_and(|found| found.name() == name));
        for quick in [true, false] {
            let sizes = experiment.sizes(quick);
            assert!(sizes.len() >= MIN_SIZES, "{name}: {sizes:?}");
            assert!(
                sizes.windows(2).all(|pair| pair[0] < pair[1]),
                "{name}: {sizes:?}"
            );
            assert!(
                sizes[sizes.len() - 1] >= MIN_RANGE * sizes[0],
                "{name}: {sizes:?}"
            );
        }
    }
}
