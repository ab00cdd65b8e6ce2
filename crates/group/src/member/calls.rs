//! Proposals and reads of this member: when each is sent, retried and given up. A proposal is
//! reported as done only after it was committed.

use super::{Event, Member, ProposalRejected};
use crate::state::{OpId, Proposal, Proposed};
use crate::MIN_MEMBERS;
use raft::ReadState;

/// Most pending calls of one member.
const MAX_PENDING: usize = 256;
/// A call without a result is sent again after this interval, ms.
const RETRY_INTERVAL_MS: f64 = 300.0;
/// A group that has been without a leader for longer than this is assumed to have lost its
/// majority, rather than to be in an election, ms.
const NO_MAJORITY_MS: f64 = 2500.0;

/// The request of a call.
#[derive(Clone)]
enum Request {
    Read,
    /// A proposal, encoded as a log entry.
    Propose(Vec<u8>),
}

/// A call without a result.
pub(super) struct PendingCall {
    request: Request,
    /// The operation id of the other ingress, if the call is on its behalf.
    pub(super) on_behalf_of: Option<OpId>,
    deadline_ms: f64,
    next_attempt_ms: f64,
    /// Whether the proposal may be in the log: its result is unknown if the call expires.
    sent: bool,
    /// A read is answered once the log is applied up to this index; `None`: the index is not known
    /// yet.
    read_index: Option<u64>,
}

/// The action that a pending call requires now.
enum CallAction {
    Nothing,
    Send,
    End(Event),
}

impl PendingCall {
    fn next_action(&self, now_ms: f64, number: u64, applied: u64, has_leader: bool) -> CallAction {
        if self.read_index.is_some_and(|index| index <= applied) {
            return CallAction::End(Event::Read(number));
        }
        if now_ms >= self.deadline_ms {
            return CallAction::End(match self.on_behalf_of {
                Some(op) => Event::ExpiredFor(op, self.sent),
                None => Event::Expired(number, self.sent),
            });
        }
        if has_leader && now_ms >= self.next_attempt_ms && self.read_index.is_none() {
            return CallAction::Send;
        }
        CallAction::Nothing
    }
}

impl Member {
    /// Proposes a change of the state. Returns the number by which the result is reported.
    ///
    /// # Errors
    /// Too few members vote, there is no leader, or too many calls are pending.
    pub fn propose(&mut self, now_ms: f64, proposal: Proposal) -> Result<u64, ProposalRejected> {
        self.require_voters()?;
        self.propose_membership(now_ms, proposal)
    }

    /// Proposes a change of the group's members or format version, which is allowed while too few
    /// members vote.
    ///
    /// # Errors
    /// There is no leader, or too many calls are pending.
    pub fn propose_membership(
        &mut self,
        now_ms: f64,
        proposal: Proposal,
    ) -> Result<u64, ProposalRejected> {
        let proposed = Proposed {
            op: OpId {
                origin: self.settings.origin,
                number: self.last_call + 1,
            },
            made_at: self.applied,
            proposal,
        };
        self.begin(now_ms, Request::Propose(encode(&proposed)), None)
    }

    /// Requests a linearizable read. Returns the number by which its completion is reported.
    ///
    /// # Errors
    /// There is no leader, or too many calls are pending.
    pub fn read(&mut self, now_ms: f64) -> Result<u64, ProposalRejected> {
        self.begin(now_ms, Request::Read, None)
    }

    /// Proposes a change on behalf of another ingress. The same operation may arrive through
    /// several members, and takes effect once.
    ///
    /// # Errors
    /// Too few members vote, there is no leader, or too many calls are pending.
    pub fn propose_for(
        &mut self,
        now_ms: f64,
        op: OpId,
        made_at: u64,
        proposal: Proposal,
    ) -> Result<(), ProposalRejected> {
        self.require_voters()?;
        let proposed = Proposed {
            op,
            made_at,
            proposal,
        };
        self.begin(now_ms, Request::Propose(encode(&proposed)), Some(op))?;
        Ok(())
    }

    fn require_voters(&self) -> Result<(), ProposalRejected> {
        match self.conf.voters.len() {
            voters if voters < MIN_MEMBERS => Err(ProposalRejected::TooFewVoters(voters)),
            _ => Ok(()),
        }
    }

    fn begin(
        &mut self,
        now_ms: f64,
        request: Request,
        on_behalf_of: Option<OpId>,
    ) -> Result<u64, ProposalRejected> {
        let leaderless_ms = now_ms - self.leader_heard_ms;
        if self.leader().is_none() && leaderless_ms > NO_MAJORITY_MS {
            return Err(ProposalRejected::NoMajority(leaderless_ms));
        }
        if self.calls.len() >= MAX_PENDING {
            return Err(ProposalRejected::TooManyCalls);
        }
        self.last_call += 1;
        let number = self.last_call;
        let call = PendingCall {
            request,
            on_behalf_of,
            deadline_ms: now_ms + self.settings.call_timeout_ms,
            next_attempt_ms: now_ms,
            sent: false,
            read_index: None,
        };
        self.calls.insert(number, call);
        self.retry_calls(now_ms);
        Ok(number)
    }

    /// Sends the calls that are due, and ends those that have a result or have expired.
    pub(super) fn retry_calls(&mut self, now_ms: f64) {
        let (applied, has_leader) = (self.applied, self.leader().is_some());
        let mut ended = Vec::new();
        let mut to_send = Vec::new();
        for (number, call) in &mut self.calls {
            match call.next_action(now_ms, *number, applied, has_leader) {
                CallAction::Nothing => {}
                CallAction::End(event) => ended.push((*number, event)),
                CallAction::Send => {
                    call.next_attempt_ms = now_ms + RETRY_INTERVAL_MS;
                    to_send.push((*number, call.request.clone()));
                }
            }
        }
        for (number, event) in ended {
            self.calls.remove(&number);
            self.events.push(event);
        }
        for (number, request) in to_send {
            self.send_call(now_ms, number, request);
        }
    }

    fn send_call(&mut self, now_ms: f64, number: u64, request: Request) {
        match request {
            Request::Propose(proposal) => {
                if self.node.propose(Vec::new(), proposal).is_err() {
                    return;
                }
                if let Some(call) = self.calls.get_mut(&number) {
                    call.sent = true;
                }
            }
            Request::Read => {
                // The time makes the context of each attempt unique: the library drops a repeated
                // context.
                let context = [
                    self.settings.origin.to_le_bytes(),
                    number.to_le_bytes(),
                    (now_ms as u64).to_le_bytes(),
                ];
                self.node.read_index(context.concat());
            }
        }
    }

    /// Records that the group has confirmed a read, which is answered once the log is applied up to
    /// its index.
    pub(super) fn note_read_index(&mut self, read: &ReadState) {
        let word = |at: usize| {
            let bytes = read.request_ctx.get(at..at + 8)?;
            Some(u64::from_le_bytes(bytes.try_into().ok()?))
        };
        // An answer to an earlier process incarnation does not belong to any call of this one.
        if word(0) != Some(self.settings.origin) {
            return;
        }
        let call = word(8).and_then(|number| self.calls.get_mut(&number));
        if let Some(call) = call {
            call.read_index.get_or_insert(read.index);
        }
    }
}

fn encode(proposed: &Proposed) -> Vec<u8> {
    postcard::to_stdvec(proposed).unwrap_or_default()
}
