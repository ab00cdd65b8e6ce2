//! One member: the consensus library with the state machine on it, and the work that a process has
//! to do for it. The module decides when a proposal is retried or given up, which members vote, and
//! when old entries are compacted. It sends nothing that follows from a write before that write is
//! on the disk (the caller writes each [`Batch`](crate::Batch) before it asks for messages), and it
//! reports a proposal as done only after it was committed.

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

/// A member that has sent nothing for this long may be down: it may be admitted again with an empty
/// folder, and its program may be replaced by an older one, ms.
const SILENT_MS: f64 = 3000.0;
/// Most bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 256 << 10;
/// Most messages with entries that a member has not acknowledged.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;

/// An event that a member reports to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The call of this number is committed and applied to this member's state.
    Done(u64, Outcome),
    /// The call of this number has expired. True: it was sent, and may still take effect.
    Expired(u64, bool),
    /// The proposal of another ingress is committed and applied to this member's state.
    DoneFor(OpId, Outcome),
    /// The proposal of another ingress has expired. True: it was sent, and may still take effect.
    ExpiredFor(OpId, bool),
    /// The state is at least as new as it was on any member when the read of this number was
    /// requested.
    Read(u64),
    /// The state has changed.
    Changed,
}

/// A member of the group.
pub struct Member {
    settings: Settings,
    node: RawNode<LogReplica>,
    group: u64,
    state: State,
    conf: ConfState,
    /// The last log index that is applied.
    applied: u64,
    last_tick_ms: f64,
    /// When the member last received a message from a leader; before that, when this process
    /// incarnation started.
    leader_heard_ms: f64,
    /// Whether the member has received a message from a leader in this process incarnation.
    leader_known: bool,
    leading_since_ms: Option<f64>,
    /// When the last message of each member arrived, by incarnation.
    last_heard_ms: BTreeMap<u64, f64>,
    /// Pending calls by number.
    calls: BTreeMap<u64, PendingCall>,
    last_call: u64,
    /// When the admission of each member was last proposed, by name.
    admit_proposed_ms: BTreeMap<String, f64>,
    /// When each snapshot was sent that may not have been received, by incarnation.
    snapshots_sent_ms: BTreeMap<u64, f64>,
    /// The newest format version that each member's program has announced, by name.
    newest_formats: BTreeMap<String, u16>,
    format_proposed_ms: Option<f64>,
    pending_write: Option<PendingWrite>,
    messages: Vec<MessageRecord>,
    events: Vec<Event>,
    failure: Option<MemberFailure>,
}

impl Member {
    /// Creates a member from the content of its folder.
    ///
    /// # Errors
    /// The folder's content is inconsistent, or of a newer format version than the settings allow.
    pub fn new(
        settings: Settings,
        loaded: StoredMember,
        now_ms: f64,
    ) -> Result<Member, MemberFailure> {
        let state = initial_state(&settings, &loaded)?;
        if !loaded.is_contiguous() {
            return Err(MemberFailure::LogGap);
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
            failure: None,
        };
        member.after_step(now_ms);
        Ok(member)
    }

    /// Returns the group id.
    pub fn group(&self) -> u64 {
        self.group
    }

    /// Returns the member's incarnation.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// Returns the group's state, as far as this member has applied the log.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the last log index that this member has applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns why the member must stop; `None`: it may continue.
    pub fn failure(&self) -> Option<MemberFailure> {
        self.failure
    }

    /// Returns and clears the messages to send.
    pub fn messages(&mut self) -> Vec<MessageRecord> {
        std::mem::take(&mut self.messages)
    }

    /// Returns and clears the events since the last call.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}

fn initial_state(settings: &Settings, loaded: &StoredMember) -> Result<State, MemberFailure> {
    let state = match loaded.snapshot.index {
        0 => State::default(),
        _ => State::decode(&loaded.snapshot.data).ok_or(MemberFailure::InvalidSnapshot)?,
    };
    if state.format_version() > settings.newest_format {
        return Err(MemberFailure::UnsupportedFormat(state.format_version()));
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
        entries.ok_or(MemberFailure::LogGap)?,
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
    RawNode::new(&config, log, &no_logger).map_err(|_| MemberFailure::Raft)
}
