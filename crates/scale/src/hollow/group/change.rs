//! Changes that were asked for: when they were agreed, and when the last follower had them.

use driftgap_group::Outcome;
use std::collections::HashMap;

/// A call: the member that it was made at, and its number there.
type Call = (usize, u64);

/// How long one change took, from the moment in which it was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delay {
    /// Until a majority had it on their disks and the caller was told, ms.
    pub agreed_ms: f64,
    /// Until the last follower had it, ms.
    pub last_ms: f64,
}

/// A change that is agreed and not with every follower yet.
#[derive(Clone, Copy, Debug)]
struct Agreed {
    index: u64,
    asked_at_ms: f64,
    agreed_ms: f64,
    lacking: usize,
}

/// All changes of a run.
#[derive(Debug, Default)]
pub(super) struct Changes {
    asked: HashMap<Call, f64>,
    agreed: Vec<Agreed>,
    delays: Vec<Delay>,
}

impl Changes {
    /// A change was asked for.
    pub(super) fn asked(&mut self, now_ms: f64, call: Call) {
        self.asked.insert(call, now_ms);
    }

    /// A call has ended, at this place of the log; so many followers lack that place. One that changed nothing is
    /// forgotten.
    pub(super) fn agreed(
        &mut self,
        now_ms: f64,
        call: Call,
        outcome: Outcome,
        index: u64,
        lacking: usize,
    ) {
        let Some(asked_at_ms) = self.asked.remove(&call) else {
            return;
        };
        if !matches!(outcome, Outcome::Done | Outcome::Written(_)) {
            return;
        }
        let agreed_ms = now_ms - asked_at_ms;
        self.agreed.push(Agreed {
            index,
            asked_at_ms,
            agreed_ms,
            lacking,
        });
        self.settle(now_ms);
    }

    /// A follower's copy has come from one place of the log to another.
    pub(super) fn reached(&mut self, now_ms: f64, before: u64, after: u64) {
        for change in &mut self.agreed {
            if before < change.index && change.index <= after {
                change.lacking -= 1;
            }
        }
        self.settle(now_ms);
    }

    fn settle(&mut self, now_ms: f64) {
        let done = self.agreed.extract_if(.., |change| change.lacking == 0);
        self.delays.extend(done.map(|change| Delay {
            agreed_ms: change.agreed_ms,
            last_ms: now_ms - change.asked_at_ms,
        }));
    }

    /// Whether nothing is under way.
    pub(super) fn all_in_force(&self) -> bool {
        self.asked.is_empty() && self.agreed.is_empty()
    }

    pub(super) fn take_delays(&mut self) -> Vec<Delay> {
        std::mem::take(&mut self.delays)
    }
}
