//! Windows of a quota lease: how the totals on the counter update a tenant's quota.
//!
//! **Rule.** A quota is counted in windows of about its burst divided by its rate, each with its
//! own total on the counter. A window allows its length times the rate plus the units that the
//! previous window left, up to the burst. A total includes the units that all ingresses have taken.
//! Units of a call beyond the allowance are trimmed.
//!
//! **Inputs.** Units and totals; rate in units a second; times in seconds.
//!
//! **Guards.**
//! - A call that ends without a total may have added its units, which would then be counted and
//!   never granted. The next total grants them; its growth shows whether uncertain units were
//!   added.
//! - A counter that has lost its totals would grant a window twice. The loss is detected by a total
//!   below the units that this ingress alone has added.
//! - Other ingresses may have used units that the previous window seems to have left: its total is
//!   read once.
//!
//! Known harm: if a tenant had no requests in the previous window, its bucket is assumed to be
//! full, unless it has a ceiling.

use super::counter_call::CounterCall;
use super::tenant::Tenant;
use super::{Outcome, Plan};

/// Shortest window, s: must hold one or two calls.
const MIN_WINDOW: f64 = 1.0;
/// Longest window, s: a total must still exist on the counter when the next window reads it.
const MAX_WINDOW: f64 = 25.0;
/// Smallest excess that is trimmed, units: a smaller one does not justify a call.
pub(super) const MIN_TRIMMED_UNITS: f64 = 0.5;
/// If fewer units than this, in bursts, seem left of a window, its total is read again: other
/// ingresses may have used them.
const READ_BELOW_BURSTS: f64 = 1.3;
/// Relative rounding error of totals on the wire, with a margin.
const TOTAL_PRECISION: f64 = 1e-5;
/// Fraction by which a total must be lower than the units added by this ingress to show that totals
/// were lost.
const LOST_TOTAL_FRACTION: f64 = 0.01;

impl Plan {
    /// Returns the length of a lease's window, s. Valid only for a plan with a rate.
    pub(super) fn lease_window(&self) -> f64 {
        (self.burst / self.rate).clamp(MIN_WINDOW, MAX_WINDOW)
    }

    pub(super) fn has_ceiling(&self) -> bool {
        self.ceiling_rate > 0.0
    }
}

/// State of a tenant's total on the counter in the current window.
#[derive(Default)]
pub(super) struct LeaseWindow {
    /// Index of the window: the time of the events' clock divided by the window length.
    pub(super) index: i64,
    /// Whether a total has been read in this window or in one before it.
    pub(super) total_known: bool,
    /// Units that the previous window left.
    carried_over: f64,
    /// The latest total.
    pub(super) total: f64,
    /// Units that this ingress has added.
    own_total: f64,
    /// Whether the total of the previous window must still be read.
    pub(super) must_read_previous: bool,
    /// Units that the previous window allowed.
    previous_allowance: f64,
    /// Units that calls without a total have added: the next total grants them too.
    pub(super) ungranted: f64,
    /// Units that calls without a total may have added.
    pub(super) uncertain: f64,
}

impl LeaseWindow {
    /// Returns the initial window of a tenant without earlier use: a full bucket, before any other
    /// window.
    pub(super) fn unused(burst: f64) -> LeaseWindow {
        LeaseWindow {
            index: i64::MIN,
            carried_over: burst,
            ..LeaseWindow::default()
        }
    }

    /// Returns the window before that of `now` (s), as assumed until its total is read: `units`
    /// were carried over into it and used.
    pub(super) fn assumed_previous(now: f64, length: f64, units: f64) -> LeaseWindow {
        LeaseWindow {
            index: (now / length).floor() as i64 - 1,
            total_known: true,
            carried_over: units,
            total: units,
            ..LeaseWindow::default()
        }
    }

    /// Returns when the window began, s.
    pub(super) fn start(&self, plan: &Plan) -> f64 {
        self.index as f64 * plan.lease_window()
    }
}

/// Result of applying a total to a window.
pub(super) enum TotalUpdate {
    /// The total was applied; `excess` units exceed the window and must be subtracted again.
    Applied { excess: f64 },
    /// The counter has lost units that were added.
    TotalsLost,
}

impl Tenant {
    /// Moves to the window of `now` (s) and carries over the units left of the previous one.
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
            let units_left = last.carried_over + window_units - last.total;
            let others_may_use_it =
                units_left < READ_BELOW_BURSTS * plan.burst || plan.has_ceiling();
            window.must_read_previous = self.ingress_count > 1.0 && others_may_use_it;
            window.previous_allowance = last.carried_over + window_units;
            window.carried_over = units_left.clamp(0.0, plan.burst);
        } else {
            // No request in the previous window: other ingresses may have used it and the one
            // before.
            let ceiling = plan.has_ceiling();
            window.carried_over = if ceiling { 0.0 } else { plan.burst };
            window.previous_allowance = window_units;
            window.must_read_previous = ceiling;
            self.local_tokens = self.local_tokens.min(0.0);
        }
        self.window = window;
        self.no_units_before = 0.0;
    }

    /// Returns the units in the quota's bucket according to the latest total. The bucket fills at
    /// the rate of the plan, up to the burst.
    pub(super) fn available_units(&self, now: f64, plan: &Plan) -> f64 {
        let elapsed = now - self.window.start(plan);
        let window = &self.window;
        (window.carried_over + plan.rate * elapsed - window.total - window.uncertain)
            .min(plan.burst)
    }

    /// Records a call for a lease of the current window that has ended without a total.
    pub(super) fn record_failed_lease(&mut self, call: CounterCall, outcome: Outcome) {
        match outcome {
            Outcome::Error => self.window.ungranted += call.amount,
            Outcome::Rejected | Outcome::ConnectFailed => {}
            _ => self.window.uncertain += call.amount.max(0.0),
        }
    }

    /// Applies the total of the previous window: carries over the units that it left.
    pub(super) fn apply_previous_total(&mut self, total: f64, plan: &Plan) {
        self.window.must_read_previous = false;
        self.window.carried_over = (self.window.previous_allowance - total).clamp(0.0, plan.burst);
    }

    /// Applies the total of the current window after a call that added `called_amount` units.
    pub(super) fn apply_total(
        &mut self,
        now: f64,
        plan: &Plan,
        called_amount: f64,
        total: f64,
    ) -> TotalUpdate {
        let amount = called_amount + self.settle_unread_calls(called_amount, total);
        let window = &mut self.window;
        if total < window.own_total + amount - LOST_TOTAL_FRACTION * (1.0 + window.own_total) {
            return TotalUpdate::TotalsLost;
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
        self.even_share.tokens = (available - grant).max(0.0).min(plan.burst) / self.ingress_count;
        self.even_share.updated_at = now;
        let excess = amount - grant;
        if amount <= 0.0 || excess <= 0.0 {
            return TotalUpdate::Applied { excess: 0.0 };
        }
        self.local_tokens = self.local_tokens.max(0.0);
        self.no_units_before = now + self.mean_units / plan.rate;
        TotalUpdate::Applied { excess }
    }

    /// Returns the units that earlier calls without a total have added. Uncertain units count as
    /// added if the total has grown by exactly that amount.
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
