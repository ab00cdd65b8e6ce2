//! One member: the library's consensus with the state machine on it, and what a process has to do for it. It owns when
//! a proposal is sent again, when it is given up, who is to vote, and when old entries go. It must never send what
//! follows from a write that is not on the disk (the caller writes each [`Batch`](crate::Batch) before it asks for
//! messages), nor call a proposal done before it came back committed.

mod apply;
mod calls;
mod error;
mod format_version;
mod loaded;
mod membership;
mod persistence;
mod raft_step;
mod settings;
mod status;

pub use error::{MemberFailure, ProposalRejected};
pub use loaded::{Recovered, StoredMember};
pub use settings::Settings;
pub use status::{Health, MemberStatus, Role};

use crate::log_replica::LogReplica;
use crate::record::{EntryRecord, MessageRecord};
use crate::state::{OpId, Outcome, State};
use calls::PendingCall;
use persistence::PendingWrite;
use raft::eraftpb::{ConfState, Entry};
use raft::{Config, RawNode};
use std::collections::BTreeMap;

/// A member that has said nothing for so long may be down: it may be admitted anew with an empty folder, and its program
/// may come back as an older one, ms.
const SILENT_MS: f64 = 3000.0;
/// Entries that one message holds at most, bytes.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// Messages with entries that a member has not acknowledged, at most.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call of this number is committed, and in the state of this member.
    Done(u64, Outcome),
    /// A call of this number has no result in time. True: it was sent, and may still take effect.
    Expired(u64, bool),
    /// Another ingress's proposal is committed, and in the state of this member.
    DoneFor(OpId, Outcome),
    /// Another ingress's proposal has no result in time. True: it was sent, and may still take effect.
    ExpiredFor(OpId, bool),
    /// The state is now at least what it was, anywhere, when this read was asked for.
    Read(u64),
    /// The state has changed.
    Changed,
}

/// A member.
pub struct Member {
    settings: Settings,
    node: RawNode<LogReplica>,
    group: u64,
    state: State,
    conf: ConfState,
    /// The last index that is carried out.
    applied: u64,
    last_tick_ms: f64,
    /// When a leader was last heard of; before that, when this process incarnation began.
    leader_heard_ms: f64,
    /// Whether a leader has been heard of in this process incarnation.
    leader_known: bool,
    leading_since_ms: Option<f64>,
    /// By incarnation.
    last_heard_ms: BTreeMap<u64, f64>,
    /// By number.
    calls: BTreeMap<u64, PendingCall>,
    last_call: u64,
    /// By name.
    admit_proposed_ms: BTreeMap<String, f64>,
    /// Snapshots that were sent and may not have been taken, by incarnation.
    snapshots_sent_ms: BTreeMap<u64, f64>,
    /// The newest format version that each name's program has said to speak.
    newest_formats: BTreeMap<String, u16>,
    format_proposed_ms: Option<f64>,
    pending_write: Option<PendingWrite>,
    messages: Vec<MessageRecord>,
    events: Vec<Event>,
    lost: Option<MemberFailure>,
}

impl Member {
    /// A member with what its folder holds.
    ///
    /// # Errors
    /// The folder's content makes no sense, or is of a newer format version than the settings allow.
    pub fn new(
        settings: Settings,
        loaded: StoredMember,
        now_ms: f64,
    ) -> Result<Member, MemberFailure> {
        let state = initial_state(&settings, &loaded)?;
        if !loaded.is_contiguous() {
            return Err(MemberFailure::Gap);
        }
        let (group, applied) = (loaded.group, loaded.snapshot.index);
        let conf = loaded.snapshot.conf.clone().conf();
        let node = raft_node(&settings, loaded)?;
        let mut member = Member {
            settings,
            node,
            group,
            state,
            conf,
            applied,
            last_tick_ms: now_ms,
            leader_heard_ms: now_ms,
            leader_known: false,
            leading_since_ms: None,
            last_heard_ms: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            admit_proposed_ms: BTreeMap::new(),
            snapshots_sent_ms: BTreeMap::new(),
            newest_formats: BTreeMap::new(),
            format_proposed_ms: None,
            pending_write: None,
            messages: Vec::new(),
            events: vec![Event::Changed],
            lost: None,
        };
        member.after_step(now_ms);
        Ok(member)
    }

    /// Its group.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Its incarnation.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// What is agreed, as far as it is known here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last index of the log that is carried out here.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Why it must not go on; none: it may.
    pub fn failure(&self) -> Option<MemberFailure> {
        self.lost
    }

    /// Takes the messages that are to be sent.
    pub fn messages(&mut self) -> Vec<MessageRecord> {
        std::mem::take(&mut self.messages)
    }

    /// Takes what has happened.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}

fn initial_state(settings: &Settings, loaded: &StoredMember) -> Result<State, MemberFailure> {
    let state = match loaded.snapshot.index {
        0 => State::default(),
        _ => State::decode(&loaded.snapshot.data).ok_or(MemberFailure::State)?,
    };
    if state.format_version() > settings.newest_format {
        return Err(MemberFailure::Form(state.format_version()));
    }
    Ok(state)
}

fn raft_node(
    settings: &Settings,
    loaded: StoredMember,
) -> Result<RawNode<LogReplica>, MemberFailure> {
    let applied = loaded.snapshot.index;
    let mut hard = loaded.hard;
    hard.commit = hard.commit.max(applied);
    let entries: Option<Vec<Entry>> = loaded.entries.into_iter().map(EntryRecord::entry).collect();
    let log = LogReplica::new(
        loaded.compacted,
        hard.hard(),
        loaded.snapshot.conf.conf(),
        entries.ok_or(MemberFailure::Gap)?,
    );
    let config = Config {
        id: loaded.id,
        election_tick: settings.election_ticks,
        heartbeat_tick: settings.heartbeat_ticks,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    let no_logger = slog::Logger::root(slog::Discard, slog::o!());
    RawNode::new(&config, log, &no_logger).map_err(|_| MemberFailure::Library)
}
