//! The arithmetic of a row: its need at the target, and the share of the target at which its budget is spent.

use super::targets::{Evidence, Named, Row, Targets, Term};
use super::{Measurements, PageError};
use crate::results::Slope;

/// Beyond this share of the target nothing is looked for.
const MAX_SHARE: f64 = 10.0;
/// Halvings of the range in which the share lies: enough for a double's digits.
const HALVINGS: u32 = 60;

/// What a term reads, with its names looked up.
#[derive(Clone, Debug)]
pub struct Part<'a> {
    /// The measured line, and the numbers whose product is the place on its axis; none for a given number.
    pub line: Option<(&'a Slope, Vec<Named>)>,
    /// The given number; 0 for a measured line.
    value: f64,
    /// What the value is multiplied by.
    pub times: Vec<Named>,
    /// From the measured unit to the row's.
    pub factor: f64,
}

fn product(numbers: &[Named], share: f64) -> f64 {
    numbers.iter().map(|named| named.at_share(share)).product()
}

/// What was measured at a place on the axis: between two sizes their points interpolated, under the smallest size its
/// point in proportion, beyond the largest size the fitted line.
fn value_at(line: &Slope, place: f64) -> f64 {
    let sizes = line.sizes.iter().map(|size| *size as f64);
    let mut below = (0.0, 0.0);
    for point in sizes.zip(line.points.iter().copied()) {
        if place <= point.0 {
            return below.1 + (point.1 - below.1) * (place - below.0) / (point.0 - below.0);
        }
        below = point;
    }
    line.intercept + line.slope * place
}

impl Part<'_> {
    fn multiplier(&self, share: f64) -> f64 {
        self.factor * product(&self.times, share)
    }

    /// The part's value at a share of the target.
    fn at_share(&self, share: f64) -> f64 {
        let value = match &self.line {
            Some((line, at)) => value_at(line, product(at, share)),
            None => self.value,
        };
        value * self.multiplier(share)
    }

    /// The standard error of the part at the target, from that of its slope.
    fn error(&self) -> f64 {
        let of_line = |(line, at): &(&Slope, Vec<Named>)| line.standard_error * product(at, 1.0);
        self.line.as_ref().map_or(0.0, of_line) * self.multiplier(1.0)
    }
}

/// What stands behind a need: the weakest of its parts, where a run counts for more than a constant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Runs, and maybe constants.
    Measured,
    /// Constants of the program and targets alone.
    Stated,
    /// At least one part is worked out or assumed.
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

/// What a row needs.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// What is added up.
    pub parts: Vec<Part<'a>>,
    /// What stands behind it.
    pub basis: Basis,
}

/// The share of the target at which a budget is spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Share {
    /// The budget does not bear even what is needed at no load.
    Never,
    /// From this share on it is spent.
    At(f64),
    /// It is not spent at ten times the target.
    Beyond,
}

impl Share {
    /// The order of the ranking: what gives out first comes first.
    pub fn order(self) -> f64 {
        match self {
            Share::Never => 0.0,
            Share::At(share) => share,
            Share::Beyond => f64::INFINITY,
        }
    }
}

impl<'a> Need<'a> {
    /// Looks up what a row names.
    ///
    /// # Errors
    /// It names a measurement, target or assumption that there is not.
    pub fn of(
        row: &Row,
        targets: &Targets,
        measurements: &'a Measurements,
    ) -> Result<Need<'a>, PageError> {
        let lacks = |problem: String| PageError::Row {
            row: row.name.clone(),
            problem,
        };
        let named = |name: &String| {
            targets
                .named(name)
                .ok_or_else(|| lacks(format!("no target or assumption {name:?}")))
        };
        let all = |names: &[String]| names.iter().map(named).collect::<Result<Vec<_>, _>>();
        let mut parts = Vec::with_capacity(row.terms.len());
        for term in &row.terms {
            parts.push(match term {
                Term::Measured {
                    experiment,
                    quantity,
                    at,
                    times,
                    factor,
                } => {
                    let line = measurements.get(experiment, quantity);
                    let line = line
                        .ok_or_else(|| lacks(format!("no measurement {experiment}/{quantity}")))?;
                    let line = Some((line, all(at)?));
                    Part {
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
                } => Part {
                    line: None,
                    value: *value,
                    times: all(times)?,
                    factor: *factor,
                },
            });
        }
        Ok(Need {
            parts,
            basis: Basis::of(&row.terms),
        })
    }

    /// The need at a share of the target.
    pub fn at_share(&self, share: f64) -> f64 {
        self.parts.iter().map(|part| part.at_share(share)).sum()
    }

    /// The standard error of the need at the target.
    pub fn error(&self) -> f64 {
        self.parts
            .iter()
            .map(|part| part.error().powi(2))
            .sum::<f64>()
            .sqrt()
    }

    /// The share of the target at which this budget is spent.
    pub fn gives_out(&self, budget: f64) -> Share {
        if self.at_share(0.0) > budget {
            return Share::Never;
        }
        if self.at_share(MAX_SHARE) <= budget {
            return Share::Beyond;
        }
        let (mut holds, mut fails) = (0.0, MAX_SHARE);
        for _ in 0..HALVINGS {
            let middle = (holds + fails) / 2.0;
            if self.at_share(middle) <= budget {
                holds = middle;
            } else {
                fails = middle;
            }
        }
        Share::At(holds)
    }
}
