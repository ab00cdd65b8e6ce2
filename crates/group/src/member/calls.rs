//! Proposals and reads of this member: when each is sent, sent again, and given up. None is called done before it came
//! back committed.

use super::{Event, Member, ProposalRejected};
use crate::state::{OpId, Proposal, Proposed};
use crate::MIN_MEMBERS;
use raft::ReadState;

/// Most calls of one member that are pending.
const MAX_PENDING: usize = 256;
/// A call without a result is sent again after this, ms.
const RETRY_INTERVAL_MS: f64 = 300.0;
/// Without a leader for so long there is no majority, rather than an election on its way, ms.
const NO_MAJORITY_MS: f64 = 2500.0;

/// What a call asks of the group.
#[derive(Clone)]
enum Request {
    Read,
    /// A proposal as it goes into the log.
    Propose(Vec<u8>),
}

/// A call without a result so far.
pub(super) struct PendingCall {
    request: Request,
    /// Whose proposal it is, if it is another ingress's.
    pub(super) on_behalf_of: Option<OpId>,
    deadline_ms: f64,
    next_attempt_ms: f64,
    /// It may be in the log: its end is unknown if it expires.
    sent: bool,
    /// A read is answered once the log is carried out up to here; none: not known yet.
    read_index: Option<u64>,
}

/// What the next look at a pending call leads to.
enum Due {
    Nothing,
    Send,
    End(Event),
}

impl PendingCall {
    fn due(&self, now_ms: f64, number: u64, applied: u64, has_leader: bool) -> Due {
        if self.read_index.is_some_and(|index| index <= applied) {
            return Due::End(Event::Read(number));
        }
        if now_ms >= self.deadline_ms {
            return Due::End(match self.on_behalf_of {
                Some(op) => Event::ExpiredFor(op, self.sent),
                None => Event::Expired(number, self.sent),
            });
        }
        if has_leader && now_ms >= self.next_attempt_ms && self.read_index.is_none() {
            return Due::Send;
        }
        Due::Nothing
    }
}

impl Member {
    /// Proposes something; the number by which its end is reported.
    ///
    /// # Errors
    /// Too few members vote, there is no leader, or too many calls are pending.
    pub fn propose(&mut self, now_ms: f64, proposal: Proposal) -> Result<u64, ProposalRejected> {
        self.require_voters()?;
        self.propose_membership(now_ms, proposal)
    }

    /// Proposes a change of who is in the group, which is possible while too few vote.
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

    /// Asks for a linearizable read; the number by which its time is reported.
    ///
    /// # Errors
    /// There is no leader, or too many calls are pending.
    pub fn read(&mut self, now_ms: f64) -> Result<u64, ProposalRejected> {
        self.begin(now_ms, Request::Read, None)
    }

    /// Proposes something on behalf of another ingress: the same operation may come by several members, and takes
    /// effect once.
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
            voters if voters < MIN_MEMBERS => Err(ProposalRejected::Few(voters)),
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
            return Err(ProposalRejected::Full);
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

    /// Sends what has no result, and ends what has one or has expired.
    pub(super) fn retry_calls(&mut self, now_ms: f64) {
        let (applied, has_leader) = (self.applied, self.leader().is_some());
        let mut ended = Vec::new();
        let mut to_send = Vec::new();
        for (number, call) in &mut self.calls {
            match call.due(now_ms, *number, applied, has_leader) {
                Due::Nothing => {}
                Due::End(event) => ended.push((*number, event)),
                Due::Send => {
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
                // The time makes each attempt a context of its own: the library drops a second one of the same.
                let context = [
                    self.settings.origin.to_le_bytes(),
                    number.to_le_bytes(),
                    (now_ms as u64).to_le_bytes(),
                ];
                self.node.read_index(context.concat());
            }
        }
    }

    /// The group has confirmed a read: it is answered once the log is carried out up to its index.
    pub(super) fn note_read_index(&mut self, read: &ReadState) {
        let word = |at: usize| {
            let bytes = read.request_ctx.get(at..at + 8)?;
            Some(u64::from_le_bytes(bytes.try_into().ok()?))
        };
        // An answer to an earlier process incarnation says nothing about this one's calls.
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
