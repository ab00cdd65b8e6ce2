//! An ingress that follows the group: it has a replica of what is agreed, and hands its proposals to a member. It owns
//! which member it is connected to, and how old its replica is. It must never call a proposal done that no member
//! called done, nor may all followers of a lost member go to the same other one.

mod backoff;
mod calls;

use crate::frame::{Frame, MemberAnswer};
use crate::state::{Document, DocumentKind, Proposal};
use backoff::{Backoff, CONNECT_BACKOFF, STALE_ROUND_BACKOFF};
use calls::PendingCalls;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// A member that says nothing for so long is left for another one, ms.
const SILENT_MS: f64 = 2000.0;
/// So is one whose own replica is older than this, ms: longer than any change of leaders takes, and short enough for a
/// promise given meanwhile to be heard from another member within 2 s.
const STALE_MS: f64 = 1300.0;

/// A replica of what the group holds, as it was when it was last heard of. Written to the disk by position: the order of
/// fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Which group this is from; 0: none yet.
    pub group: u64,
    /// The last index of the log that is carried out in it.
    pub applied: u64,
    /// Excluded endpoints.
    pub excluded: BTreeSet<String>,
    /// Documents.
    pub documents: BTreeMap<DocumentKind, Document>,
}

/// How old the replica was when a member last spoke of it.
struct Freshness {
    heard_ms: f64,
    /// By the member's word, ms.
    age_ms: f64,
}

/// An ingress that follows the group.
pub struct Follower {
    name: String,
    /// Members in this follower's own order.
    members: Vec<String>,
    /// Which of them it is connected to, or to be connected to.
    current: usize,
    failed_attempts: u32,
    connect_at_ms: f64,
    connected: bool,
    replica: Replica,
    /// The group of the member that it is connected to.
    connected_group: u64,
    /// None: nothing was heard in this process incarnation.
    freshness: Option<Freshness>,
    /// Whether the connection has brought a replica.
    copy_received: bool,
    /// Members in a row that were left because their replicas were old.
    stale_members: u32,
    /// Until when it stays with the present member though that one's replica is old.
    keep_stale_until_ms: f64,
    last_frame_ms: f64,
    calls: PendingCalls,
    frames: VecDeque<Frame>,
    changed: bool,
}

impl Follower {
    /// One that follows these members, with what it knew when it ended last. Each follower prefers members in an order
    /// of its own (rendezvous hashing), so that a member's followers spread over all the others when it is lost.
    pub fn new<'a>(
        name: &str,
        origin: u64,
        members: impl IntoIterator<Item = &'a str>,
        replica: Replica,
        now_ms: f64,
    ) -> Follower {
        let mut members: Vec<String> = members.into_iter().map(String::from).collect();
        members.sort_by_key(|member| hash(name, member));
        Follower {
            name: name.into(),
            members,
            current: 0,
            failed_attempts: 0,
            connect_at_ms: now_ms,
            connected: false,
            replica,
            connected_group: 0,
            freshness: None,
            copy_received: false,
            stale_members: 0,
            keep_stale_until_ms: now_ms,
            last_frame_ms: now_ms,
            calls: PendingCalls::new(origin),
            frames: VecDeque::new(),
            changed: false,
        }
    }

    /// The member that it is to be connected to, and from when on, ms.
    pub fn next_member(&self) -> (&str, f64) {
        let member = self.members.get(self.current);
        (member.map_or("", String::as_str), self.connect_at_ms)
    }

    /// A connection to that member, which is in this group, is up.
    pub fn connected(&mut self, now_ms: f64, group: u64) {
        self.connected = true;
        self.last_frame_ms = now_ms;
        self.connected_group = group;
        self.copy_received = false;
        self.frames.clear();
        self.frames.push_back(Frame::Follow {
            have: self.known_documents(group),
        });
        // What the last member did not answer is the same operation at this one: it takes effect once.
        self.frames.extend(self.calls.resend_all());
    }

    /// Numbers of another group's documents mean nothing to this one.
    fn known_documents(&self, group: u64) -> Vec<(DocumentKind, u64)> {
        if group != self.replica.group {
            return Vec::new();
        }
        let documents = self.replica.documents.iter();
        documents
            .map(|(kind, document)| (*kind, document.number))
            .collect()
    }

    /// There is no connection, or it has ended.
    pub fn disconnected(&mut self, now_ms: f64) {
        if self.connected {
            self.failed_attempts = 0;
        }
        self.connected = false;
        self.failed_attempts += 1;
        self.turn_to_next_member();
        // All that lost one member at one moment come at different ones, and slowly where all members refuse.
        let attempt = self.failed_attempts;
        self.connect_at_ms = now_ms + self.pause_ms(CONNECT_BACKOFF, attempt, attempt);
    }

    fn turn_to_next_member(&mut self) {
        self.current = (self.current + 1) % self.members.len().max(1);
    }

    /// The backoff after so many attempts, spread by half: every follower has another one, and every `salt`.
    fn pause_ms(&self, backoff: Backoff, attempts: u32, salt: u32) -> f64 {
        let spread = (hash(&self.name, &salt.to_string()) % 1000) as f64 / 1000.0;
        backoff.pause_ms(attempts) * (0.5 + spread)
    }

    /// Whether the connection has been silent for too long.
    pub fn is_silent(&self, now_ms: f64) -> bool {
        self.connected && now_ms - self.last_frame_ms > SILENT_MS
    }

    /// Whether the member is to be left for another one, which may be connected to at once. A member may answer and be
    /// cut off from the others: what it knows is old then, and calls that the others promise would not be obeyed here.
    pub fn leaves_stale_member(&mut self, now_ms: f64) -> bool {
        let stale = self.age_ms(now_ms).is_none_or(|age_ms| age_ms > STALE_MS);
        if !self.connected || !self.copy_received || now_ms < self.keep_stale_until_ms {
            return false;
        }
        if !stale {
            self.stale_members = 0;
            return false;
        }
        self.connected = false;
        self.connect_at_ms = now_ms;
        self.failed_attempts = 0;
        self.turn_to_next_member();
        self.stale_members += 1;
        // Each member is tried at once; when none is any better, there is no majority, and no hurry.
        if let Some(rounds) = self.stale_members.checked_sub(self.members.len() as u32) {
            let pause_ms = self.pause_ms(STALE_ROUND_BACKOFF, rounds, self.stale_members);
            self.keep_stale_until_ms = now_ms + pause_ms;
        }
        true
    }

    /// A frame from the member.
    pub fn receive(&mut self, now_ms: f64, frame: Frame) {
        self.last_frame_ms = now_ms;
        match frame {
            Frame::ReplicaUpdate {
                applied,
                age_ms,
                out,
                documents,
            } => {
                self.copy_received = true;
                self.adopt_group();
                // A member that lags behind the last one takes nothing back.
                if applied < self.replica.applied {
                    return;
                }
                self.failed_attempts = 0;
                self.freshness = Some(Freshness {
                    heard_ms: now_ms,
                    age_ms,
                });
                self.replica.applied = applied;
                self.update_copy(out, documents);
            }
            Frame::Answer { op, answer } => self.calls.answer(op, answer),
            _ => {}
        }
    }

    /// A new group may have been begun in place of a lost one: what that held is as the new one says from now on.
    fn adopt_group(&mut self) {
        if self.connected_group == self.replica.group {
            return;
        }
        self.replica = Replica {
            group: self.connected_group,
            ..Replica::default()
        };
        self.changed = true;
    }

    fn update_copy(&mut self, out: Option<Vec<String>>, documents: Vec<(DocumentKind, Document)>) {
        self.changed |= out.is_some() || !documents.is_empty();
        if let Some(out) = out {
            self.replica.excluded = out.into_iter().collect();
        }
        self.replica.documents.extend(documents);
    }

    /// Proposes something, or asks for a read where there is no proposal; the number by which its end is reported. None:
    /// too many calls are pending.
    pub fn call(&mut self, now_ms: f64, proposal: Option<Proposal>) -> Option<u64> {
        let number = self.calls.begin(now_ms, self.replica.applied, proposal)?;
        if self.connected {
            self.frames.extend(self.calls.send(number));
        }
        Some(number)
    }

    /// Time goes by.
    pub fn tick(&mut self, now_ms: f64) {
        self.calls.expire(now_ms);
    }

    /// Takes the frames that are to be sent to the member.
    pub fn frames(&mut self) -> Vec<Frame> {
        if self.connected {
            self.frames.drain(..).collect()
        } else {
            Vec::new()
        }
    }

    /// Takes the calls that have ended, by number.
    pub fn ended(&mut self) -> Vec<(u64, MemberAnswer)> {
        self.calls.take_ended()
    }

    /// Whether the replica has changed since this was asked last.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// How old the replica is, ms; none: nothing was heard of it in this process incarnation.
    pub fn age_ms(&self, now_ms: f64) -> Option<f64> {
        let freshness = self.freshness.as_ref()?;
        Some(now_ms - freshness.heard_ms + freshness.age_ms)
    }

    /// Whether a connection is up.
    pub fn is_up(&self) -> bool {
        self.connected
    }
}

/// A hash of a pair of names.
fn hash(first: &str, second: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(first.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(second.as_bytes());
    // The last bits of this hash vary least.
    let hash = hasher.finish();
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
