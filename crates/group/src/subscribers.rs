//! Subscribers of one member: the followers that are connected to it, and what each has been sent.
//! A follower is sent only documents that it lacks, and the list of exclusions only if it has
//! changed.

use crate::frame::{Frame, MemberAnswer};
use crate::member::{Event, Member};
use crate::state::{Document, DocumentKind, OpId, Proposal, State};
use std::collections::BTreeMap;

/// Longest time between two updates of a subscriber, which carry the age of the member's state, ms.
const HEARTBEAT_INTERVAL_MS: f64 = 500.0;
/// A member that received a message from its leader within this time counts as connected to it, ms.
const LEADER_CONTACT_MS: f64 = 400.0;

/// One follower and the versions that it has.
struct Subscriber {
    /// The change count of the list of exclusions that was last sent; `None`: this member has sent
    /// no list.
    sent_changes: Option<u64>,
    /// The version number of each document that the follower has.
    documents: BTreeMap<DocumentKind, u64>,
    last_sent_ms: f64,
    /// The age of this member's state in the last update, ms.
    sent_age_ms: f64,
}

impl Subscriber {
    fn new(documents: Vec<(DocumentKind, u64)>) -> Subscriber {
        Subscriber {
            sent_changes: None,
            documents: documents.into_iter().collect(),
            last_sent_ms: f64::MIN,
            sent_age_ms: 0.0,
        }
    }

    /// Returns the update to send now, if any.
    fn next_update(&mut self, now_ms: f64, immediately: bool, member: &Member) -> Option<Frame> {
        let state = member.state();
        let age_ms = member.age_ms(now_ms);
        let documents = self.missing_documents(state);
        let list_changed = self.sent_changes != Some(state.changes);
        // A follower leaves a member that seems partitioned, so it is notified at once when this
        // member has a leader again.
        let leader_regained = self.sent_age_ms > LEADER_CONTACT_MS && age_ms < LEADER_CONTACT_MS;
        let heartbeat_due = now_ms - self.last_sent_ms >= HEARTBEAT_INTERVAL_MS;
        let due = heartbeat_due || immediately || leader_regained;
        if !due && !list_changed && documents.is_empty() {
            return None;
        }
        self.last_sent_ms = now_ms;
        self.sent_changes = Some(state.changes);
        self.sent_age_ms = age_ms;
        let numbers = documents.iter().map(|(kind, d)| (*kind, d.number));
        self.documents.extend(numbers);
        Some(Frame::ReplicaUpdate {
            applied: member.applied(),
            age_ms,
            out: list_changed.then(|| state.excluded.keys().cloned().collect()),
            documents,
        })
    }

    fn missing_documents(&self, state: &State) -> Vec<(DocumentKind, Document)> {
        let is_missing = |kind: &DocumentKind, document: &Document| {
            let present = self.documents.get(kind);
            present.is_none_or(|number| *number < document.number)
        };
        let missing = state.documents.iter().filter(|(k, d)| is_missing(k, d));
        missing.map(|(kind, d)| (*kind, d.clone())).collect()
    }
}

/// A follower's read, stored under the number that the member assigned to it.
struct PendingRead {
    connection: u64,
    op: OpId,
}

/// All subscribers of this member, by connection.
#[derive(Default)]
pub(crate) struct Subscribers {
    subscribers: BTreeMap<u64, Subscriber>,
    /// Proposals without an outcome, and the connections that wait for them.
    proposals: BTreeMap<OpId, u64>,
    reads: BTreeMap<u64, PendingRead>,
    frames: Vec<(u64, Frame)>,
}

impl Subscribers {
    /// Handles a frame from this connection.
    pub(crate) fn receive(&mut self, now_ms: f64, from: u64, frame: Frame, member: &mut Member) {
        match frame {
            Frame::Follow { have } => {
                self.subscribers.insert(from, Subscriber::new(have));
            }
            Frame::Call {
                op,
                made_at,
                proposal: Some(proposal),
            } => self.propose(now_ms, from, op, made_at, proposal, member),
            Frame::Call {
                op, proposal: None, ..
            } => self.read(now_ms, from, op, member),
            _ => {}
        }
    }

    fn propose(
        &mut self,
        now_ms: f64,
        from: u64,
        op: OpId,
        made_at: u64,
        proposal: Proposal,
        member: &mut Member,
    ) {
        match member.propose_for(now_ms, op, made_at, proposal) {
            Ok(()) => {
                self.proposals.insert(op, from);
            }
            Err(refusal) => self.answer(from, op, MemberAnswer::Refused(refusal.to_string())),
        }
    }

    fn read(&mut self, now_ms: f64, from: u64, op: OpId, member: &mut Member) {
        match member.read(now_ms) {
            Ok(number) => {
                let connection = from;
                self.reads.insert(number, PendingRead { connection, op });
            }
            Err(refusal) => self.answer(from, op, MemberAnswer::Refused(refusal.to_string())),
        }
    }

    fn answer(&mut self, to: u64, op: OpId, answer: MemberAnswer) {
        self.frames.push((to, Frame::Answer { op, answer }));
    }

    /// Removes the subscriber of a connection that has ended.
    pub(crate) fn disconnected(&mut self, from: u64) {
        self.subscribers.remove(&from);
        self.proposals.retain(|_, connection| *connection != from);
        self.reads.retain(|_, read| read.connection != from);
    }

    /// Answers the subscribers that wait for an event, and removes those events from `events`.
    pub(crate) fn take_events(&mut self, now_ms: f64, events: &mut Vec<Event>, member: &Member) {
        events.retain(|event| match event {
            Event::DoneFor(op, outcome) => {
                if let Some(to) = self.proposals.remove(op) {
                    self.answer_after_update(now_ms, to, *op, MemberAnswer::Done(*outcome), member);
                }
                false
            }
            Event::ExpiredFor(op, sent) => {
                if let Some(to) = self.proposals.remove(op) {
                    let answer = if *sent {
                        MemberAnswer::Unknown
                    } else {
                        no_leader()
                    };
                    self.answer(to, *op, answer);
                }
                false
            }
            Event::Read(number) => match self.reads.remove(number) {
                Some(read) => {
                    let (to, op) = (read.connection, read.op);
                    self.answer_after_update(now_ms, to, op, MemberAnswer::Read, member);
                    false
                }
                None => true,
            },
            Event::Expired(number, _) => match self.reads.remove(number) {
                Some(read) => {
                    self.answer(read.connection, read.op, no_leader());
                    false
                }
                None => true,
            },
            Event::Done(..) | Event::Changed => true,
        });
    }

    /// Sends an update before the answer, because the answer implies that the follower's replica
    /// includes its result.
    fn answer_after_update(
        &mut self,
        now_ms: f64,
        to: u64,
        op: OpId,
        answer: MemberAnswer,
        member: &Member,
    ) {
        self.notify(now_ms, Some(to), member);
        self.answer(to, op, answer);
    }

    /// Sends the missing changes to all subscribers that are due, or to `only` at once.
    pub(crate) fn notify(&mut self, now_ms: f64, only: Option<u64>, member: &Member) {
        if member.applied() == 0 {
            return;
        }
        for (to, subscriber) in &mut self.subscribers {
            if only.is_some_and(|only| only != *to) {
                continue;
            }
            if let Some(update) = subscriber.next_update(now_ms, only.is_some(), member) {
                self.frames.push((*to, update));
            }
        }
    }

    /// Returns and clears the frames to send, by connection.
    pub(crate) fn frames(&mut self) -> Vec<(u64, Frame)> {
        std::mem::take(&mut self.frames)
    }

    pub(crate) fn len(&self) -> usize {
        self.subscribers.len()
    }
}

fn no_leader() -> MemberAnswer {
    MemberAnswer::Refused("no leader in time".into())
}
