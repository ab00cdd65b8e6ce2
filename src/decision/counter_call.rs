//! Calls to the counter service: names of its numbers, and which calls are awaited.
//!
//! **Rule.** Each tenant has one number on the counter for each window (of a lease) or epoch (of a
//! shared bucket). Its name is a hash of both, the same at every ingress, so that nothing has to be
//! agreed on. A tenant has one call in flight at most. A call without an answer is remembered for
//! [`LATE_ANSWER_LIMIT`] seconds: a total that comes late still tells what was added.
//!
//! **Guard.** Amounts are rounded as they are on the wire before they are remembered: else totals
//! would differ from the sum of what was added, and look like those of a counter that has lost
//! some.

use super::stable_hash;
use super::{Action, DecisionEngine, TenantId};

/// Longest life of a number on the counter, s: the service keeps none longer.
const MAX_NUMBER_LIFETIME: f64 = 60.0;
/// A call's total is awaited this long, s: later its window is over, or the next total has told as
/// much.
const LATE_ANSWER_LIMIT: f64 = 5.0;

/// A call that is in flight for a tenant.
#[derive(Clone, Copy)]
pub(super) struct CounterCall {
    /// Window or epoch whose number it adds to.
    pub(super) window: i64,
    /// Units to add; 0 reads.
    pub(super) amount: f64,
}

impl CounterCall {
    /// A call that only reads the number of a window.
    pub(super) fn read(window: i64) -> CounterCall {
        CounterCall {
            window,
            amount: 0.0,
        }
    }
}

/// For whom a call was made, by the name of its number.
#[derive(Clone, Copy)]
pub(super) struct AwaitedCall {
    pub(super) tenant: TenantId,
    pub(super) window: i64,
    /// When the call was made, s.
    called_at: f64,
}

impl DecisionEngine {
    /// Makes a call for a tenant at `now`; a new number lives for `lifetime`, both in seconds.
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
            lives: lifetime.min(MAX_NUMBER_LIFETIME),
        }
    }

    /// Forgets calls whose totals are no longer awaited.
    pub(super) fn forget_old_calls(&mut self, now: f64) {
        self.awaited_calls
            .retain(|_, call| now - call.called_at < LATE_ANSWER_LIMIT);
    }
}
