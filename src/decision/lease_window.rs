//! Windows of a lease: what the totals on the counter tell of a tenant's quota.
//!
//! **Rule.** A quota is counted in windows of about its burst over its rate, each with a number of
//! its own on the counter. A window allows its length times the rate and what the last one left, up
//! to the burst. A total tells what all ingresses have taken; what a call took beyond the allowance
//! is trimmed.
//!
//! **Inputs.** Units and totals; rate in units a second; times in seconds.
//!
//! **Guards.**
//! - A call that ends without a total may have added its units, which then would be counted and
//!   never granted. The next total grants them, and shows by its growth whether uncertain ones were
//!   added.
//! - A counter that has lost its totals would grant a window twice. It shows by a total below what
//!   this ingress alone has added.
//! - Other ingresses may have used what the last window seems to have left: its total is read once.
//!
//! Known harm: a tenant that was not met in the last window is taken to have left it full, unless
//! it has a ceiling.

use super::counter_call::CounterCall;
use super::tenant::Tenant;
use super::{Outcome, Plan};

/// Shortest window, s: a call or two must fit in.
const MIN_WINDOW: f64 = 1.0;
/// Longest window, s: a number must still be on the counter when the next window reads it.
const MAX_WINDOW: f64 = 25.0;
/// Least excess that is trimmed, units: less is not worth a call.
pub(super) const MIN_TRIMMED_UNITS: f64 = 0.5;
/// Where less than this many bursts seem left of a window, its total is read: others may have used
/// it.
const READ_BELOW_BURSTS: f64 = 1.3;
/// Relative rounding of totals on the wire, with room to spare.
const TOTAL_PRECISION: f64 = 1e-5;
/// A total lower than what this ingress has added by more than this part means that totals were
/// lost.
const LOST_TOTAL_PART: f64 = 0.01;

impl Plan {
    /// Length of a lease's window, s. Meaningful where there is a rate.
    pub(super) fn lease_window(&self) -> f64 {
        (self.burst / self.rate).clamp(MIN_WINDOW, MAX_WINDOW)
    }

    pub(super) fn has_ceiling(&self) -> bool {
        self.ceiling_rate > 0.0
    }
}

/// What this ingress knows of a tenant's number on the counter in the current window.
#[derive(Default)]
pub(super) struct LeaseWindow {
    /// Windows since the epoch.
    pub(super) index: i64,
    /// A total has been read in this window.
    pub(super) total_known: bool,
    /// Units that the last window left.
    carried_over: f64,
    /// The last total.
    pub(super) total: f64,
    /// What this ingress has added.
    own_total: f64,
    /// The last window's total is still to be read.
    pub(super) read_previous: bool,
    /// Units that the last window allowed.
    previous_allowance: f64,
    /// Units that were added by calls without a total: the next one grants them too.
    pub(super) ungranted: f64,
    /// Units that calls without a total may have added.
    pub(super) uncertain: f64,
}

impl LeaseWindow {
    /// A window that ended before any time, with a full bucket left.
    pub(super) fn never_used(burst: f64) -> LeaseWindow {
        LeaseWindow {
            index: i64::MIN,
            carried_over: burst,
            ..LeaseWindow::default()
        }
    }

    /// The window before that of `now` (s), with so many units given and spent: of what it left
    /// nothing is known.
    pub(super) fn before(now: f64, length: f64, units: f64) -> LeaseWindow {
        LeaseWindow {
            index: (now / length).floor() as i64 - 1,
            total_known: true,
            carried_over: units,
            total: units,
            ..LeaseWindow::default()
        }
    }

    /// When it began, s.
    pub(super) fn start(&self, plan: &Plan) -> f64 {
        self.index as f64 * plan.lease_window()
    }
}

/// What a total told of a window.
pub(super) enum TotalReading {
    /// Units beyond what the window holds: to be taken off again.
    Applied { excess: f64 },
    /// The counter has lost what was added.
    TotalsLost,
}

impl Tenant {
    /// Moves to the window of `now` (s), carrying over what the last one left.
    pub(super) fn enter_window(&mut self, now: f64, plan: &Plan) {
        let index = (now / plan.lease_window()).floor() as i64;
        if index == self.window.index || self.call.is_some() {
            return;
        }
        let last = &self.window;
        let window_units = plan.rate * plan.lease_window();
        let mut window = LeaseWindow {
            index,
            total_known: last.total_known,
            ..LeaseWindow::default()
        };
        if last.index == index - 1 && last.total_known {
            let left = last.carried_over + window_units - last.total;
            let others_may_use_it = left < READ_BELOW_BURSTS * plan.burst || plan.has_ceiling();
            window.read_previous = self.spread > 1.0 && others_may_use_it;
            window.previous_allowance = last.carried_over + window_units;
            window.carried_over = left.clamp(0.0, plan.burst);
        } else {
            // Not met in the last window: others may have used it, and the one before, up.
            let ceiling = plan.has_ceiling();
            window.carried_over = if ceiling { 0.0 } else { plan.burst };
            window.previous_allowance = window_units;
            window.read_previous = ceiling;
            self.local_tokens = self.local_tokens.min(0.0);
        }
        self.window = window;
        self.no_units_before = 0.0;
    }

    /// Units in the quota's bucket by the last total: they come in evenly, never more than the
    /// burst.
    pub(super) fn available_units(&self, now: f64, plan: &Plan) -> f64 {
        let elapsed = now - self.window.start(plan);
        let window = &self.window;
        (window.carried_over + plan.rate * elapsed - window.total - window.uncertain)
            .min(plan.burst)
    }

    /// A call for a lease of the current window has ended without a total.
    pub(super) fn record_failed_lease(&mut self, call: CounterCall, outcome: Outcome) {
        match outcome {
            Outcome::Error => self.window.ungranted += call.amount,
            Outcome::Rejected | Outcome::ConnectFailed => {}
            _ => self.window.uncertain += call.amount.max(0.0),
        }
    }

    /// The total of the window before: what it left.
    pub(super) fn read_previous_total(&mut self, total: f64, plan: &Plan) {
        self.window.read_previous = false;
        self.window.carried_over = (self.window.previous_allowance - total).clamp(0.0, plan.burst);
    }

    /// The total of the current window after a call of so many units.
    pub(super) fn read_total(
        &mut self,
        now: f64,
        plan: &Plan,
        called_amount: f64,
        total: f64,
    ) -> TotalReading {
        let amount = called_amount + self.settle_unread_calls(called_amount, total);
        let window = &mut self.window;
        if total < window.own_total + amount - LOST_TOTAL_PART * (1.0 + window.own_total) {
            return TotalReading::TotalsLost;
        }
        window.own_total += amount;
        let before = total - amount;
        let elapsed = now - window.start(plan);
        window.carried_over = window
            .carried_over
            .min(plan.burst + before - plan.rate * elapsed);
        let available = window.carried_over + plan.rate * elapsed - before;
        let grant = available.clamp(0.0, amount.max(0.0));
        window.total_known = true;
        window.total = total;
        if amount > 0.0 {
            self.local_tokens += grant;
        }
        self.even_share.tokens = (available - grant).max(0.0).min(plan.burst) / self.spread;
        self.even_share.updated_at = now;
        let excess = amount - grant;
        if amount <= 0.0 || excess <= 0.0 {
            return TotalReading::Applied { excess: 0.0 };
        }
        self.local_tokens = self.local_tokens.max(0.0);
        self.no_units_before = now + self.mean_units / plan.rate;
        TotalReading::Applied { excess }
    }

    /// Units that were added by calls without a total. What may have been added was, if the total
    /// has grown by just that since.
    fn settle_unread_calls(&mut self, called_amount: f64, total: f64) -> f64 {
        let window = &mut self.window;
        let uncertain = std::mem::take(&mut window.uncertain);
        let growth = total - called_amount - window.ungranted - window.total;
        if uncertain > 0.0 && (growth - uncertain).abs() < TOTAL_PRECISION * (1.0 + total) {
            window.ungranted += uncertain;
        }
        std::mem::take(&mut window.ungranted)
    }
}
