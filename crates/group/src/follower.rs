//! A follower: an ingress that is not a member. It keeps a replica of the group's state and sends
//! its proposals to a member. The follower chooses the member that it connects to and tracks the
//! age of its replica. It reports a proposal as done only if a member has reported it as done, and
//! the followers of a lost member must not all move to the same other member.

mod backoff;
mod calls;

use crate::frame::{Frame, MemberAnswer};
use crate::state::{Document, DocumentKind, Proposal};
use backoff::{Backoff, CONNECT_BACKOFF, STALE_ROUND_BACKOFF};
use calls::PendingCalls;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hasher;

/// A connection on which no frame has arrived for this long is closed, ms.
const SILENCE_TIMEOUT_MS: f64 = 2000.0;
/// A follower leaves a member whose own state is older than this for another one, ms. This is
/// longer than any change of leaders, and short enough that a change confirmed in the meantime
/// reaches the follower through another member within 2 s.
const MAX_STATE_AGE_MS: f64 = 1300.0;

/// A replica of the group's state as of the last update. Written to the disk by position: the order
/// of fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The group; 0: none yet.
    pub group: u64,
    /// The last log index that is applied in the replica.
    pub applied: u64,
    /// Names of the excluded endpoints.
    pub excluded: BTreeSet<String>,
    /// Documents by kind.
    pub documents: BTreeMap<DocumentKind, Document>,
}

/// The age of the replica when the last update arrived.
struct Freshness {
    received_ms: f64,
    /// The age that the member reported, ms.
    age_ms: f64,
}

/// A follower of the group.
pub struct Follower {
    name: String,
    /// Members in this follower's order of preference.
    members: Vec<String>,
    /// Index of the member that the follower is connected to, or connects to next.
    current: usize,
    failed_attempts: u32,
    connect_at_ms: f64,
    connected: bool,
    replica: Replica,
    /// The group of the connected member.
    connected_group: u64,
    /// `None`: no update has arrived in this process incarnation.
    freshness: Option<Freshness>,
    /// Whether an update has arrived on this connection.
    replica_received: bool,
    /// Number of members in a row that were left because their state was stale.
    stale_members: u32,
    /// The follower stays with the current member until this time even if that member's state is
    /// stale.
    keep_stale_until_ms: f64,
    last_frame_ms: f64,
    calls: PendingCalls,
    frames: VecDeque<Frame>,
    changed: bool,
}

impl Follower {
    /// Creates a follower of these members, with the replica that an earlier process has stored.
    /// Each follower prefers members in its own order (rendezvous hashing), so that the followers
    /// of a lost member spread over all the others.
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
            replica_received: false,
            stale_members: 0,
            keep_stale_until_ms: now_ms,
            last_frame_ms: now_ms,
            calls: PendingCalls::new(origin),
            frames: VecDeque::new(),
            changed: false,
        }
    }

    /// Returns the member to connect to, and the earliest time for the attempt, ms.
    pub fn next_member(&self) -> (&str, f64) {
        let member = self.members.get(self.current);
        (member.map_or("", String::as_str), self.connect_at_ms)
    }

    /// Records that a connection to that member is up. `group` is the member's group.
    pub fn connected(&mut self, now_ms: f64, group: u64) {
        self.connected = true;
        self.last_frame_ms = now_ms;
        self.connected_group = group;
        self.replica_received = false;
        self.frames.clear();
        self.frames.push_back(Frame::Follow {
            have: self.known_documents(group),
        });
        // Calls that the last member did not answer keep their operation ids, so each takes effect
        // once.
        self.frames.extend(self.calls.resend_all());
    }

    /// Returns the numbers of the documents in the replica; none if the replica is of another
    /// group, whose numbers have no meaning in this one.
    fn known_documents(&self, group: u64) -> Vec<(DocumentKind, u64)> {
        if group != self.replica.group {
            return Vec::new();
        }
        let documents = self.replica.documents.iter();
        documents
            .map(|(kind, document)| (*kind, document.number))
            .collect()
    }

    /// Records that the connection has ended, or that it could not be opened.
    pub fn disconnected(&mut self, now_ms: f64) {
        if self.connected {
            self.failed_attempts = 0;
        }
        self.connected = false;
        self.failed_attempts += 1;
        self.select_next_member();
        // Spreads out the reconnects of followers that lost a member at the same time, and slows
        // them down while all members refuse.
        let attempt = self.failed_attempts;
        self.connect_at_ms = now_ms + self.pause_ms(CONNECT_BACKOFF, attempt, attempt);
    }

    fn select_next_member(&mut self) {
        self.current = (self.current + 1) % self.members.len().max(1);
    }

    /// Returns the backoff after `attempts`, multiplied by 0.5 to 1.5. The factor depends on the
    /// follower's name and on `salt`.
    fn pause_ms(&self, backoff: Backoff, attempts: u32, salt: u32) -> f64 {
        let spread = (hash(&self.name, &salt.to_string()) % 1000) as f64 / 1000.0;
        backoff.pause_ms(attempts) * (0.5 + spread)
    }

    /// Whether no frame has arrived on the connection for too long.
    pub fn is_silent(&self, now_ms: f64) -> bool {
        self.connected && now_ms - self.last_frame_ms > SILENCE_TIMEOUT_MS
    }

    /// Whether to leave the member for another one, which may be connected to at once. A member
    /// that still answers may be partitioned from the others: its state is stale then, and
    /// exclusions that the others have acknowledged would be ignored here.
    pub fn leaves_stale_member(&mut self, now_ms: f64) -> bool {
        let stale = self
            .age_ms(now_ms)
            .is_none_or(|age_ms| age_ms > MAX_STATE_AGE_MS);
        if !self.connected || !self.replica_received || now_ms < self.keep_stale_until_ms {
            return false;
        }
        if !stale {
            self.stale_members = 0;
            return false;
        }
        self.connected = false;
        self.connect_at_ms = now_ms;
        self.failed_attempts = 0;
        self.select_next_member();
        self.stale_members += 1;
        // Each member is tried at once. If every member's state is stale, there is no majority, and
        // the follower waits before the next round.
        if let Some(rounds) = self.stale_members.checked_sub(self.members.len() as u32) {
            let pause_ms = self.pause_ms(STALE_ROUND_BACKOFF, rounds, self.stale_members);
            self.keep_stale_until_ms = now_ms + pause_ms;
        }
        true
    }

    /// Handles a frame from the member.
    pub fn receive(&mut self, now_ms: f64, frame: Frame) {
        self.last_frame_ms = now_ms;
        match frame {
            Frame::ReplicaUpdate {
                applied,
                age_ms,
                out,
                documents,
            } => {
                self.replica_received = true;
                self.adopt_group();
                // An update from a member that lags behind the last one must not move the replica
                // back.
                if applied < self.replica.applied {
                    return;
                }
                self.failed_attempts = 0;
                self.freshness = Some(Freshness {
                    received_ms: now_ms,
                    age_ms,
                });
                self.replica.applied = applied;
                self.apply_update(out, documents);
            }
            Frame::Answer { op, answer } => self.calls.answer(op, answer),
            _ => {}
        }
    }

    /// Replaces the replica if the member is of another group, which may have been started in place
    /// of a lost one. The replica is empty until the first update of the new group.
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

    fn apply_update(&mut self, out: Option<Vec<String>>, documents: Vec<(DocumentKind, Document)>) {
        self.changed |= out.is_some() || !documents.is_empty();
        if let Some(out) = out {
            self.replica.excluded = out.into_iter().collect();
        }
        self.replica.documents.extend(documents);
    }

    /// Starts a call: a proposal, or a read if there is no proposal. Returns the number by which
    /// the result is reported; `None`: too many calls are pending.
    pub fn call(&mut self, now_ms: f64, proposal: Option<Proposal>) -> Option<u64> {
        let number = self.calls.begin(now_ms, self.replica.applied, proposal)?;
        if self.connected {
            self.frames.extend(self.calls.send(number));
        }
        Some(number)
    }

    /// Ends the calls that have timed out.
    pub fn tick(&mut self, now_ms: f64) {
        self.calls.expire(now_ms);
    }

    /// Returns and clears the frames to send to the member.
    pub fn frames(&mut self) -> Vec<Frame> {
        if self.connected {
            self.frames.drain(..).collect()
        } else {
            Vec::new()
        }
    }

    /// Returns and clears the results of the calls that have ended, by number.
    pub fn ended(&mut self) -> Vec<(u64, MemberAnswer)> {
        self.calls.take_ended()
    }

    /// Whether the replica has changed since the last call of this method.
    pub fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the age of the replica, ms; `None`: no update has arrived in this process
    /// incarnation.
    pub fn age_ms(&self, now_ms: f64) -> Option<f64> {
        let freshness = self.freshness.as_ref()?;
        Some(now_ms - freshness.received_ms + freshness.age_ms)
    }

    /// Whether a connection is up.
    pub fn is_up(&self) -> bool {
        self.connected
    }
}

/// Hashes a pair of names.
fn hash(first: &str, second: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(first.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(second.as_bytes());
    // The low bits of this hash vary least.
    let hash = hasher.finish();
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
