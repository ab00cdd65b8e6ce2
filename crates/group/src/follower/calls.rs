//! Pending calls of a follower.

use crate::frame::{Frame, MemberAnswer};
use crate::state::{OpId, Proposal};
use std::collections::BTreeMap;

/// A call without an answer ends after this time, ms.
const CALL_TIMEOUT_MS: f64 = 2000.0;
/// Most pending calls.
const MAX_PENDING: usize = 256;

struct PendingCall {
    /// `None`: a read.
    proposal: Option<Proposal>,
    made_at: u64,
    deadline_ms: f64,
    /// Whether the call was sent to a member, so that it may take effect.
    sent: bool,
}

/// Pending calls by number. Each call ends exactly once.
pub(super) struct PendingCalls {
    /// The process incarnation.
    origin: u64,
    last_number: u64,
    pending: BTreeMap<u64, PendingCall>,
    ended: Vec<(u64, MemberAnswer)>,
}

impl PendingCalls {
    pub(super) fn new(origin: u64) -> PendingCalls {
        PendingCalls {
            origin,
            last_number: 0,
            pending: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    /// Adds a call and returns its number; `None`: too many calls are pending.
    pub(super) fn begin(
        &mut self,
        now_ms: f64,
        made_at: u64,
        proposal: Option<Proposal>,
    ) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_number += 1;
        let call = PendingCall {
            proposal,
            made_at,
            deadline_ms: now_ms + CALL_TIMEOUT_MS,
            sent: false,
        };
        self.pending.insert(self.last_number, call);
        Some(self.last_number)
    }

    /// Returns the frame of a pending call and marks the call as sent.
    pub(super) fn send(&mut self, number: u64) -> Option<Frame> {
        let call = self.pending.get_mut(&number)?;
        call.sent = true;
        let op = OpId {
            origin: self.origin,
            number,
        };
        Some(Frame::Call {
            op,
            made_at: call.made_at,
            proposal: call.proposal.clone(),
        })
    }

    /// Returns the frames of all pending calls and marks the calls as sent.
    pub(super) fn resend_all(&mut self) -> Vec<Frame> {
        let numbers: Vec<u64> = self.pending.keys().copied().collect();
        let frames = numbers.into_iter().filter_map(|number| self.send(number));
        frames.collect()
    }

    /// Ends the call that a member has answered.
    pub(super) fn answer(&mut self, op: OpId, answer: MemberAnswer) {
        if op.origin == self.origin && self.pending.remove(&op.number).is_some() {
            self.ended.push((op.number, answer));
        }
    }

    /// Ends the calls that have timed out.
    pub(super) fn expire(&mut self, now_ms: f64) {
        let expired = |call: &PendingCall| now_ms >= call.deadline_ms;
        let numbers: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, call)| expired(call))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            let sent = self.pending.remove(&number).is_some_and(|call| call.sent);
            let answer = match sent {
                true => MemberAnswer::Unknown,
                false => MemberAnswer::Refused("no member is reached".into()),
            };
            self.ended.push((number, answer));
        }
    }

    /// Returns and clears the calls that have ended.
    pub(super) fn take_ended(&mut self) -> Vec<(u64, MemberAnswer)> {
        std::mem::take(&mut self.ended)
    }
}
