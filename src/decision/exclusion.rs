//! Exclusion of an endpoint for one class or one plan, while it serves all others.
//!
//! **Rule.** An endpoint that answers a request with an error is excluded for its class for
//! [`MAX_EXCLUSION`] seconds. One that does not answer is excluded for the class, and one that
//! rejects is excluded for the plan, for [`FIRST_LOAD_EXCLUSION`] seconds at first and twice as
//! long each time it happens again. A served request ends both exclusions. Where most endpoints are
//! excluded, nobody is (see [`super::endpoint_selection`]).
//!
//! **Inputs.** Outcomes of attempts with class and plan; times in seconds.
//!
//! **Guards.** An endpoint may fail one class (a missing table, a bad key) or be full to one plan
//! and serve all others well; ejecting it would cost its capacity, and retrying there would cost
//! every request of that class an attempt. Rejections and timeouts may be load, which passes: hence
//! the short first exclusion. Known harm: a passing error keeps a class away for the whole time.

use super::endpoint::ClassAndPlan;
use super::Outcome;

/// Longest exclusion, s, and that after an error: errors of one class seldom pass by themselves.
const MAX_EXCLUSION: f64 = 20.0;
/// First exclusion after a rejection or a timeout, s: these may be load, which passes within
/// seconds.
const FIRST_LOAD_EXCLUSION: f64 = 2.0;
/// How much longer each further exclusion is.
const EXCLUSION_GROWTH: f64 = 2.0;

/// What an endpoint is excluded for.
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
    /// When it ends, s.
    until: f64,
    /// How long it was when it last began, s.
    duration: f64,
}

impl Exclusion {
    /// The exclusion that follows this one after a further failure at `now` (s). What was sent
    /// before this one began says nothing new, so one that still lasts does not grow.
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

    /// Whether the endpoint is excluded for this class or this plan at `now` (s).
    pub(super) fn cover(&self, now: f64, traffic: ClassAndPlan) -> bool {
        self.0
            .iter()
            .any(|exclusion| now < exclusion.until && exclusion.excluded.covers(traffic))
    }

    /// The endpoint has served a request of this class and plan.
    pub(super) fn record_success(&mut self, traffic: ClassAndPlan) {
        self.0
            .retain(|exclusion| !exclusion.excluded.covers(traffic));
    }

    /// The endpoint has not served a request of this class and plan.
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
