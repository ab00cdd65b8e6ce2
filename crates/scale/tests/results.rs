//! From measured points to slopes: which repeat is used, and which quantities are counted and
//! linear.

use driftgap_scale::experiment::{Measurement, Unit};
use driftgap_scale::machine::Machine;
use driftgap_scale::results::{Point, Provenance, RunFile, Slope, FORMAT};

fn run(points: Vec<Point>) -> RunFile {
    let provenance = Provenance {
        format: FORMAT,
        experiment: "example".into(),
        description: "An example".into(),
        axis: "things".into(),
        seed: 3,
        quick: true,
        commit: "unknown".into(),
        machine: Machine {
            cores: 1,
            memory_bytes: 1,
            load_average: 0.0,
        },
    };
    RunFile { provenance, points }
}

/// Returns the slope of one quantity, measured as `measurement(size, repeat)` in two repeats of
/// four sizes.
fn slope(measurement: impl Fn(u64, u32) -> Measurement) -> Slope {
    let sizes = [10, 30, 100, 300];
    let repeats = sizes
        .iter()
        .flat_map(|size| [0, 1].map(|repeat| (*size, repeat)));
    let point = |(size, repeat)| Point {
        size,
        repeat,
        peak_resident: 0,
        measurements: vec![measurement(size, repeat)],
    };
    run(repeats.map(point).collect())
        .slopes()
        .unwrap()
        .slopes
        .remove(0)
}

#[test]
fn smallest_repeat_of_a_timed_quantity_is_used() {
    let slope = slope(|size, repeat| {
        Measurement::timed(
            "cpu",
            Unit::Microseconds,
            5.0 * size as f64 + f64::from(repeat) * 100.0,
        )
    });
    assert_eq!(slope.points, [50.0, 150.0, 500.0, 1500.0]);
    assert!(
        (slope.slope - 5.0).abs() < 1e-9 && slope.linear && !slope.counted,
        "{slope:?}"
    );
    assert!((slope.spread - 100.0 / 150.0).abs() < 1e-9, "{slope:?}");
}

#[test]
fn values_that_vary_between_repeats_are_not_counted() {
    let counts = |share: f64| {
        slope(move |size, repeat| {
            Measurement::counted(
                "heap",
                Unit::Bytes,
                1e6 * size as f64 * (1.0 + share * f64::from(repeat)),
            )
        })
    };
    assert!(counts(0.0).counted && counts(0.0).spread == 0.0);
    assert!(counts(0.005).counted && counts(0.005).spread > 0.0);
    assert!(!counts(0.02).counted);
}

#[test]
fn negligible_values_are_linear() {
    let heap = |max: f64| {
        let value = move |size, _| {
            Measurement::counted("heap", Unit::Bytes, if size == 100 { max } else { 0.0 })
        };
        slope(value)
    };
    assert!(heap(500.0).linear);
    assert!(!heap(50_000.0).linear);
}

#[test]
fn slope_json_has_a_stable_set_of_fields() {
    let slope = slope(|size, _| Measurement::counted("calls", Unit::Messages, 2.0 * size as f64));
    let json = serde_json::to_value(&slope).unwrap();
    let keys: Vec<&str> = json
        .as_object()
        .unwrap()
        .keys()
        .map(String::as_str)
        .collect();
    let mut expected = [
        "experiment",
        "quantity",
        "unit",
        "axis",
        "sizes",
        "points",
        "intercept",
        "slope",
        "standard_error",
        "residual",
        "linear",
        "counted",
        "spread",
        "seed",
    ];
    expected.sort_unstable();
    let mut keys = keys;
    keys.sort_unstable();
    assert_eq!(keys, expected);
    assert_eq!(
        (&json["unit"], &json["seed"]),
        (&"messages".into(), &3.into())
    );
}
