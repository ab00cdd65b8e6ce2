//! The arithmetic of a row: its need at the target, and the share of the target at which the need
//! exhausts its budget.

use super::targets::{Evidence, NamedValue, Row, Targets, Term};
use super::{Measurements, PageError};
use crate::results::Slope;

/// Largest share of the target that is examined.
const MAX_SHARE: f64 = 10.0;
/// Number of bisections of the range that contains the share; enough for the precision of an `f64`.
const BISECTION_STEPS: u32 = 60;

/// A term whose names have been looked up.
#[derive(Clone, Debug)]
pub struct ResolvedTerm<'a> {
    /// The fitted line, and the numbers whose product is the position on its axis; `None` for a
    /// given number.
    pub line: Option<(&'a Slope, Vec<NamedValue>)>,
    /// The given number; 0 for a fitted line.
    value: f64,
    /// Numbers by which the value is multiplied.
    pub times: Vec<NamedValue>,
    /// Conversion factor from the measured unit to the row's.
    pub factor: f64,
}

fn product(numbers: &[NamedValue], share: f64) -> f64 {
    numbers.iter().map(|named| named.at_share(share)).product()
}

/// Returns the value of a measured line at a position on its axis. Between two sizes their points
/// are interpolated; below the smallest size the value is proportional to its point; above the
/// largest size the fitted line is used.
fn value_at(line: &Slope, position: f64) -> f64 {
    let sizes = line.sizes.iter().map(|size| *size as f64);
    let mut below = (0.0, 0.0);
    for point in sizes.zip(line.points.iter().copied()) {
        if position <= point.0 {
            return below.1 + (point.1 - below.1) * (position - below.0) / (point.0 - below.0);
        }
        below = point;
    }
    line.intercept + line.slope * position
}

impl ResolvedTerm<'_> {
    fn multiplier(&self, share: f64) -> f64 {
        self.factor * product(&self.times, share)
    }

    /// Returns the term's value at a share of the target.
    fn at_share(&self, share: f64) -> f64 {
        let value = match &self.line {
            Some((line, at)) => value_at(line, product(at, share)),
            None => self.value,
        };
        value * self.multiplier(share)
    }

    /// Returns the standard error of the term at the target, which follows from that of the slope.
    fn error(&self) -> f64 {
        let of_line =
            |(line, at): &(&Slope, Vec<NamedValue>)| line.standard_error * product(at, 1.0);
        self.line.as_ref().map_or(0.0, of_line) * self.multiplier(1.0)
    }
}

/// The evidence for a need: that of its weakest term. A run counts for more than a constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// At least one run; all other terms are stated.
    Measured,
    /// Only constants of the program and stated targets.
    Stated,
    /// At least one term is derived or assumed.
    NotMeasured,
}

impl Basis {
    fn of(terms: &[Term]) -> Basis {
        let evidence = |term: &Term| match term {
            Term::Measured { .. } => Evidence::Run,
            Term::Given { evidence, .. } => *evidence,
        };
        if terms.iter().any(|term| evidence(term) == Evidence::None) {
            return Basis::NotMeasured;
        }
        let run = terms.iter().any(|term| evidence(term) == Evidence::Run);
        if run {
            Basis::Measured
        } else {
            Basis::Stated
        }
    }
}

/// The need of a row.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// Terms whose sum is the need.
    pub resolved_terms: Vec<ResolvedTerm<'a>>,
    /// Evidence for the need.
    pub basis: Basis,
}

/// The share of the target at which a need exhausts its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Share {
    /// The budget is exceeded even at no load.
    AtNoLoad,
    /// The budget is exhausted at this share.
    At(f64),
    /// The budget is not exhausted at ten times the target.
    Beyond,
}

impl Share {
    /// Returns the sort key of the ranking; the budget that is exhausted first comes first.
    pub fn order(self) -> f64 {
        match self {
            Share::AtNoLoad => 0.0,
            Share::At(share) => share,
            Share::Beyond => f64::INFINITY,
        }
    }
}

impl<'a> Need<'a> {
    /// Looks up the names in a row's terms.
    ///
    /// # Errors
    /// A measurement, target or assumption does not exist.
    pub fn of(
        row: &Row,
        targets: &Targets,
        measurements: &'a Measurements,
    ) -> Result<Need<'a>, PageError> {
        let error = |problem: String| PageError::Row {
            row: row.name.clone(),
            problem,
        };
        let named = |name: &String| {
            targets
                .named(name)
                .ok_or_else(|| error(format!("no target or assumption {name:?}")))
        };
        let all = |names: &[String]| names.iter().map(named).collect::<Result<Vec<_>, _>>();
        let mut resolved_terms = Vec::with_capacity(row.terms.len());
        for term in &row.terms {
            resolved_terms.push(match term {
                Term::Measured {
                    experiment,
                    quantity,
                    at,
                    times,
                    factor,
                } => {
                    let line = measurements.get(experiment, quantity);
                    let line = line
                        .ok_or_else(|| error(format!("no measurement {experiment}/{quantity}")))?;
                    let line = Some((line, all(at)?));
                    ResolvedTerm {
                        line,
                        value: 0.0,
                        times: all(times)?,
                        factor: *factor,
                    }
                }
                Term::Given {
                    value,
                    times,
                    factor,
                    ..
                } => ResolvedTerm {
                    line: None,
                    value: *value,
                    times: all(times)?,
                    factor: *factor,
                },
            });
        }
        Ok(Need {
            resolved_terms,
            basis: Basis::of(&row.terms),
        })
    }

    /// Returns the need at a share of the target.
    pub fn at_share(&self, share: f64) -> f64 {
        self.resolved_terms
            .iter()
            .map(|resolved| resolved.at_share(share))
            .sum()
    }

    /// Returns the standard error of the need at the target.
    pub fn error(&self) -> f64 {
        self.resolved_terms
            .iter()
            .map(|resolved| resolved.error().powi(2))
            .sum::<f64>()
            .sqrt()
    }

    /// Returns the share of the target at which the need exhausts `budget`.
    pub fn exhausted_at(&self, budget: f64) -> Share {
        if self.at_share(0.0) > budget {
            return Share::AtNoLoad;
        }
        if self.at_share(MAX_SHARE) <= budget {
            return Share::Beyond;
        }
        let (mut within_budget, mut over_budget) = (0.0, MAX_SHARE);
        for _ in 0..BISECTION_STEPS {
            let middle = (within_budget + over_budget) / 2.0;
            if self.at_share(middle) <= budget {
                within_budget = middle;
            } else {
                over_budget = middle;
            }
        }
        Share::At(within_budget)
    }
}
