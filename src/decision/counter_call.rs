//! Calls to the counter service: the names of its totals, and the calls whose answers are awaited.
//!
//! **Rule.** Each tenant has one total on the counter for each window (with a lease) or epoch
//! (with a shared bucket). The name of a total is a hash of tenant and window, which every
//! ingress computes alike, so names need no coordination. A tenant has at most one call in flight.
//! An unanswered call is remembered for [`LATE_ANSWER_LIMIT`] seconds, because a late total still
//! shows which units were added.
//!
//! **Guard.** Amounts are rounded to their wire precision before they are stored. Otherwise totals
//! would differ from the sum of the added amounts, as if the counter had lost some of them.

use super::stable_hash;
use super::{Action, DecisionEngine, TenantId};

/// Longest lifetime of a total on the counter, s: the limit of the service.
const MAX_TOTAL_LIFETIME: f64 = 60.0;
/// Time for which the total of a call is awaited, s: after this time its window has ended, or a
/// later total has superseded it.
const LATE_ANSWER_LIMIT: f64 = 5.0;

/// A call that is in flight for a tenant.
#[derive(Clone, Copy)]
pub(super) struct CounterCall {
    /// Window or epoch whose total the call adds to.
    pub(super) window: i64,
    /// Units to add; 0 only reads the total.
    pub(super) amount: f64,
}

impl CounterCall {
    /// Returns a call that only reads the total of a window.
    pub(super) fn read(window: i64) -> CounterCall {
        CounterCall {
            window,
            amount: 0.0,
        }
    }
}

/// The tenant and window that a call was made for, stored by the name of the total.
#[derive(Clone, Copy)]
pub(super) struct AwaitedCall {
    pub(super) tenant: TenantId,
    pub(super) window: i64,
    /// When the call was made, s.
    called_at: f64,
}

impl DecisionEngine {
    /// Starts a counter call for a tenant at `now` (s). If the call creates the total, the total
    /// expires after `lifetime` seconds.
    pub(super) fn call_counter(
        &mut self,
        now: f64,
        id: TenantId,
        call: CounterCall,
        lifetime: f64,
    ) -> Action {
        let CounterCall { window, amount } = call;
        let name = stable_hash::hash(id, window);
        let amount = f64::from(amount as f32);
        if let Some(tenant) = self.tenants.get_mut(&id) {
            tenant.call = Some(CounterCall { window, amount });
            tenant.called_at = now;
        }
        let awaited = AwaitedCall {
            tenant: id,
            window,
            called_at: now,
        };
        self.awaited_calls.insert(name, awaited);
        Action::AddToCounter {
            name,
            amount,
            lives: lifetime.min(MAX_TOTAL_LIFETIME),
        }
    }

    /// Removes calls whose totals are no longer awaited.
    pub(super) fn expire_old_calls(&mut self, now: f64) {
        self.awaited_calls
            .retain(|_, call| now - call.called_at < LATE_ANSWER_LIMIT);
    }
}
