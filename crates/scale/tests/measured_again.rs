//! The counted lines that the capacity page quotes are measured again, at the smallest sizes that their files hold. What
//! is timed depends on the machine and is not looked at.

use driftgap_scale::page::{Measurements, PageFiles, Targets, Term};
use driftgap_scale::registry;
use driftgap_scale::results::Slope;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;

/// So much of a quoted figure may a measured one differ from it.
const TOLERANCE: f64 = 0.1;
/// Sizes that are measured again: two of them give a slope.
const SIZES: usize = 2;

/// What differs between a quoted line and what was measured at its smallest sizes.
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

/// Measures an experiment again at the smallest sizes of the lines that are quoted of it; what differs.
fn measure_again(experiment: &str, quoted: &[Slope]) -> Vec<String> {
    let Some(known) = registry::find(experiment) else {
        return vec![format!(
            "{experiment}: the page quotes it, and there is no such experiment"
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
                "{experiment}/{}: not measured any more",
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

/// The counted lines that the page's rows name, by experiment.
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
fn counted_lines_of_the_page_are_what_is_measured_at_their_smallest_sizes() {
    let quoted = quoted_lines();
    assert!(
        !quoted.is_empty(),
        "the page quotes nothing that is counted"
    );
    // The heap is counted by thread: experiments do not disturb each other.
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
fn a_value_or_a_slope_that_is_over_a_tenth_off_is_notified() {
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
    // Either value is within a tenth, and the slope between them is not.
    assert_eq!(differences(&quoted, &[1_050.0, 1_350.0]).len(), 1);
    assert_eq!(differences(&quoted, &[1_300.0, 1_500.0]).len(), 2);
}
