//! Fitted lines: known lines are recovered, standard errors are correct, and other growth is not
//! called linear.

use driftgap_scale::fit::{FitError, Line};

const SIZES: [f64; 5] = [100.0, 300.0, 1_000.0, 3_000.0, 10_000.0];

fn points(value: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|size| (*size, value(*size))).collect()
}

#[test]
fn a_known_line_is_recovered() {
    let line = Line::through(&points(|size| 40_000.0 + 1_200.0 * size)).unwrap();
    assert!((line.slope - 1_200.0).abs() < 1e-6, "{line:?}");
    assert!((line.intercept - 40_000.0).abs() < 1e-3, "{line:?}");
    assert!(
        line.residual < 1e-3 && line.standard_error < 1e-6 && line.linear,
        "{line:?}"
    );
    assert!((line.at(95_000.0) - 114_040_000.0).abs() < 1.0, "{line:?}");
}

#[test]
fn errors_match_the_textbook_formulas() {
    // Slope and errors computed by hand with the textbook formulas for these four points.
    let line = Line::through(&[(1.0, 3.1), (2.0, 4.9), (3.0, 7.2), (4.0, 8.8)]).unwrap();
    assert!(
        (line.slope - 1.94).abs() < 1e-9 && (line.intercept - 1.15).abs() < 1e-9,
        "{line:?}"
    );
    assert!((line.residual - 0.041f64.sqrt()).abs() < 1e-9, "{line:?}");
    assert!(
        (line.standard_error - (0.041f64 / 5.0).sqrt()).abs() < 1e-9 && line.linear,
        "{line:?}"
    );
}

#[test]
fn quadratic_and_saturating_growth_is_not_linear() {
    let linear = |value: &dyn Fn(f64) -> f64| Line::through(&points(value)).unwrap().linear;
    assert!(!linear(&|size| size * size));
    assert!(!linear(&|size| 5.0 * size + size * size));
    assert!(!linear(&|size: f64| size.min(1_000.0)));
    assert!(linear(&|_| 7.0));
    assert!(linear(&|_| 0.0));
    assert!(linear(&|size| 1e6 - size));
}

#[test]
fn too_few_points_and_equal_sizes_are_rejected() {
    assert!(matches!(
        Line::through(&[(1.0, 1.0), (2.0, 2.0)]),
        Err(FitError::TooFewPoints(2))
    ));
    let one_size = Line::through(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]);
    assert!(matches!(one_size, Err(FitError::OneSize)), "{one_size:?}");
}
