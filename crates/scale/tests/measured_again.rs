//! Repeats the counted measurements that the capacity page quotes, at the smallest sizes of their
//! files. Timed quantities depend on the machine and are not compared.

use driftgap_scale::page::{Measurements, PageFiles, Targets, Term};
use driftgap_scale::registry;
use driftgap_scale::results::Slope;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;

/// Largest difference between a quoted and a measured value, as a share of the quoted value.
const TOLERANCE: f64 = 0.1;
/// Number of sizes that are measured again; two of them give a slope.
const SIZES: usize = 2;

/// Returns the differences between a quoted line and the values measured at its smallest sizes.
fn differences(quoted: &Slope, measured: &[f64]) -> Vec<String> {
    let name = format!("{}/{}", quoted.experiment, quoted.quantity);
    let differs = |what: String, quoted: f64, measured: f64| {
        let off = (measured - quoted).abs() > TOLERANCE * quoted.abs();
        off.then(|| format!("{name}: {what} is {measured}, the file has {quoted}"))
    };
    let mut found: Vec<String> = Vec::new();
    for (size, (quoted, measured)) in quoted.sizes.iter().zip(quoted.points.iter().zip(measured)) {
        found.extend(differs(format!("the value at {size}"), *quoted, *measured));
    }
    let step = (quoted.sizes[1] - quoted.sizes[0]) as f64;
    let slope = |values: &[f64]| (values[1] - values[0]) / step;
    found.extend(differs(
        "the slope".into(),
        slope(&quoted.points),
        slope(measured),
    ));
    found
}

/// Measures an experiment at the smallest sizes of its quoted lines and returns the differences.
fn measure_again(experiment: &str, quoted: &[Slope]) -> Vec<String> {
    let Some(known) = registry::find(experiment) else {
        return vec![format!(
            "{experiment}: quoted by the page, but not in the registry"
        )];
    };
    let mut points = Vec::new();
    for size in &quoted[0].sizes[..SIZES] {
        match known.measure(*size, quoted[0].seed) {
            Ok(measurements) => points.push(measurements),
            Err(e) => return vec![format!("{experiment} at {size}: {e}")],
        }
    }
    let again = |slope: &Slope| {
        let value = |point: &Vec<_>| value_of(point, &slope.quantity);
        match points.iter().map(value).collect::<Option<Vec<f64>>>() {
            Some(measured) => differences(slope, &measured),
            None => vec![format!(
                "{experiment}/{}: no longer measured",
                slope.quantity
            )],
        }
    };
    quoted.iter().flat_map(again).collect()
}

fn value_of(point: &[driftgap_scale::experiment::Measurement], quantity: &str) -> Option<f64> {
    point
        .iter()
        .find(|measurement| measurement.quantity == quantity)
        .map(|measurement| measurement.value)
}

/// Returns the counted lines that the page's rows refer to, by experiment.
fn quoted_lines() -> BTreeMap<String, Vec<Slope>> {
    let files = PageFiles::of_repository(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."));
    let targets = Targets::parse(&std::fs::read_to_string(&files.targets).unwrap()).unwrap();
    let measurements = Measurements::read(&files.measurements).unwrap();
    let mut quoted: BTreeMap<String, Vec<Slope>> = BTreeMap::new();
    for term in targets.rows.iter().flat_map(|row| &row.terms) {
        let Term::Measured {
            experiment,
            quantity,
            ..
        } = term
        else {
            continue;
        };
        let Some(slope) = measurements
            .current(experiment, quantity)
            .filter(|slope| slope.counted)
        else {
            continue;
        };
        let of_experiment = quoted.entry(experiment.clone()).or_default();
        if !of_experiment
            .iter()
            .any(|known| known.quantity == *quantity)
        {
            of_experiment.push(slope.clone());
        }
    }
    quoted
}

#[test]
fn quoted_lines_match_new_measurements_at_smallest_sizes() {
    let quoted = quoted_lines();
    assert!(!quoted.is_empty(), "the page quotes no counted lines");
    // Heap is counted per thread, so experiments on several threads do not affect each other.
    let threads = quoted
        .into_iter()
        .map(|(name, lines)| thread::spawn(move || measure_again(&name, &lines)));
    let threads: Vec<_> = threads.collect();
    let found: Vec<String> = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect();
    assert!(
        found.is_empty(),
        "measure again with `driftgap-scale run`:\n{}",
        found.join("\n")
    );
}

#[test]
fn differences_over_a_tenth_are_reported() {
    let quoted = Slope {
        experiment: "heap".into(),
        quantity: "bytes".into(),
        unit: driftgap_scale::experiment::Unit::Bytes,
        axis: "backends".into(),
        sizes: vec![100, 300, 1_000],
        points: vec![1_100.0, 1_300.0, 2_000.0],
        intercept: 1_000.0,
        slope: 1.0,
        standard_error: 0.0,
        residual: 0.0,
        linear: true,
        counted: true,
        spread: 0.0,
        seed: 1,
    };
    assert!(differences(&quoted, &[1_100.0, 1_300.0]).is_empty());
    assert!(differences(&quoted, &[1_200.0, 1_400.0]).is_empty());
    // Each value is within a tenth of the quoted one, but the slope between them is not.
    assert_eq!(differences(&quoted, &[1_050.0, 1_350.0]).len(), 1);
    assert_eq!(differences(&quoted, &[1_300.0, 1_500.0]).len(), 2);
}
