//! Exclusion of an endpoint for one class or one plan, while it serves all others.
//!
//! **Rule.** An endpoint that answers a request with an error is excluded for the class of the
//! request for [`MAX_EXCLUSION`] seconds. An endpoint that does not answer in time is excluded for
//! the class, and one that rejects is excluded for the plan, for [`FIRST_LOAD_EXCLUSION`] seconds
//! at first and twice as long after each recurrence. A successful request ends both exclusions. If
//! most endpoints are excluded, exclusions are ignored (see [`super::endpoint_selection`]).
//!
//! **Inputs.** Outcomes of attempts with class and plan; times in seconds.
//!
//! **Guards.** An endpoint may fail for one class (a missing table, a bad key) or be full for one
//! plan and serve all others well. Ejecting it would lose its capacity, and selecting it again
//! would cost every request of that class an attempt. Rejections and timeouts may be caused by
//! load, which passes, so the first exclusion is short. Known harm: a transient error excludes a
//! class for the full duration.

use super::endpoint::ClassAndPlan;
use super::Outcome;

/// Longest exclusion, and the exclusion after an error, s: errors of one class seldom disappear
/// without intervention.
const MAX_EXCLUSION: f64 = 20.0;
/// First exclusion after a rejection or a timeout, s: load, a possible cause, passes within
/// seconds.
const FIRST_LOAD_EXCLUSION: f64 = 2.0;
/// Factor between the durations of consecutive exclusions.
const EXCLUSION_GROWTH: f64 = 2.0;

/// The class or plan that an endpoint is excluded for.
#[derive(Clone, Copy, PartialEq)]
enum Excluded {
    Class(usize),
    Plan(usize),
}

impl Excluded {
    fn covers(self, traffic: ClassAndPlan) -> bool {
        self == Excluded::Class(traffic.class) || self == Excluded::Plan(traffic.plan)
    }
}

struct Exclusion {
    excluded: Excluded,
    /// When the exclusion ends, s.
    until: f64,
    /// Duration of the exclusion when it last began, s.
    duration: f64,
}

impl Exclusion {
    /// Returns the exclusion after a further failure at `now` (s). An exclusion that is still
    /// active does not grow, since the failed attempt may have been sent before it began.
    fn renewed(&self, now: f64, first_duration: f64) -> Exclusion {
        if now < self.until {
            return Exclusion {
                until: self.until.max(now + first_duration),
                ..*self
            };
        }
        let duration = (EXCLUSION_GROWTH * self.duration).min(MAX_EXCLUSION);
        Exclusion {
            until: now + duration,
            duration,
            ..*self
        }
    }
}

/// The exclusions of one endpoint.
#[derive(Default)]
pub(super) struct Exclusions(Vec<Exclusion>);

impl Exclusions {
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether the endpoint is excluded for this class or this plan at `now` (s).
    pub(super) fn cover(&self, now: f64, traffic: ClassAndPlan) -> bool {
        self.0
            .iter()
            .any(|exclusion| now < exclusion.until && exclusion.excluded.covers(traffic))
    }

    /// Ends the exclusions for this class and plan after a successful request.
    pub(super) fn record_success(&mut self, traffic: ClassAndPlan) {
        self.0
            .retain(|exclusion| !exclusion.excluded.covers(traffic));
    }

    /// Adds or renews an exclusion after an unsuccessful request of this class and plan.
    pub(super) fn record_failure(&mut self, now: f64, traffic: ClassAndPlan, outcome: Outcome) {
        let class = Excluded::Class(traffic.class);
        let plan = Excluded::Plan(traffic.plan);
        match outcome {
            Outcome::Rejected => self.exclude(now, plan, FIRST_LOAD_EXCLUSION),
            Outcome::Timeout => self.exclude(now, class, FIRST_LOAD_EXCLUSION),
            Outcome::Error => self.exclude(now, class, MAX_EXCLUSION),
            _ => {}
        }
    }

    fn exclude(&mut self, now: f64, excluded: Excluded, first_duration: f64) {
        self.0
            .retain(|exclusion| now < exclusion.until + MAX_EXCLUSION);
        let position = self
            .0
            .iter()
            .position(|exclusion| exclusion.excluded == excluded);
        let earlier = position.map(|position| self.0.swap_remove(position));
        self.0.push(match earlier {
            Some(earlier) => earlier.renewed(now, first_duration),
            None => Exclusion {
                excluded,
                until: now + first_duration,
                duration: first_duration,
            },
        });
    }
}
