//! The library's messages, entries and states as records of our own: what is written to the disk and sent over the
//! link. It owns their form, which two versions of the program must agree on. It must never let the library's own
//! codec see bytes that came from outside.

use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use serde::{Deserialize, Serialize};

/// Every kind of message, in the order of its number.
const MESSAGES: [MessageType; 19] = [
    MessageType::MsgHup,
    MessageType::MsgBeat,
    MessageType::MsgPropose,
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgUnreachable,
    MessageType::MsgSnapStatus,
    MessageType::MsgCheckQuorum,
    MessageType::MsgTransferLeader,
    MessageType::MsgTimeoutNow,
    MessageType::MsgReadIndex,
    MessageType::MsgReadIndexResp,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];
const ENTRIES: [EntryType; 3] = [
    EntryType::EntryNormal,
    EntryType::EntryConfChange,
    EntryType::EntryConfChangeV2,
];

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// What it is to the library.
    pub kind: u8,
    /// The term in which it was made.
    pub term: u64,
    /// Its place.
    pub index: u64,
    /// What it says.
    pub data: Vec<u8>,
    /// The library's.
    pub context: Vec<u8>,
}

/// What a member has promised to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardRecord {
    /// The latest term it knows.
    pub term: u64,
    /// Whom it voted for in it; 0: nobody.
    pub vote: u64,
    /// How far the log is agreed.
    pub commit: u64,
}

/// Who votes and who only copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfRecord {
    /// Those who vote.
    pub voters: Vec<u64>,
    /// Those who copy.
    pub learners: Vec<u64>,
    /// Those who voted before, while a change is on its way.
    pub outgoing: Vec<u64>,
    /// Who copies once it is through.
    pub next: Vec<u64>,
    /// Whether it ends by itself.
    pub auto_leave: bool,
}

/// All that was agreed up to one place.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The place.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// Who was in it.
    pub conf: ConfRecord,
    /// The state, encoded.
    pub data: Vec<u8>,
}

/// A message between two incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRecord {
    kind: u8,
    /// To whom.
    pub to: u64,
    /// From whom.
    pub from: u64,
    /// The sender's term.
    pub term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<EntryRecord>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<SnapshotRecord>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// What has to be on the disk, in one piece, before anything that follows from it may be sent or said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Replaces all that was held.
    pub restored: Option<SnapshotRecord>,
    /// Entries; those held at and behind the place of the first one go.
    pub entries: Vec<EntryRecord>,
    /// What was promised.
    pub hard: Option<HardRecord>,
    /// A state of our own in place of the entries before it.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries up to this place may go, and the term of that place.
    pub cut: Option<(u64, u64)>,
    /// The form of the log, where it has changed: an older program must not use the folder from then on.
    pub form: Option<u16>,
}

impl Batch {
    /// Nothing has to be written.
    pub fn is_empty(&self) -> bool {
        *self == Batch::default()
    }

    /// Whether something that is written counts for others, so that it must be on the disk and not on its way there.
    pub fn must_sync(&self) -> bool {
        self.restored.is_some()
            || !self.entries.is_empty()
            || self.hard.is_some()
            || self.form.is_some()
    }
}

impl From<&Entry> for EntryRecord {
    fn from(e: &Entry) -> EntryRecord {
        EntryRecord {
            kind: e.get_entry_type() as u8,
            term: e.term,
            index: e.index,
            data: e.data.to_vec(),
            context: e.context.to_vec(),
        }
    }
}

impl EntryRecord {
    /// The library's form; none: no such kind.
    pub(crate) fn entry(self) -> Option<Entry> {
        let mut e = Entry::default();
        e.set_entry_type(*ENTRIES.get(usize::from(self.kind))?);
        (e.term, e.index) = (self.term, self.index);
        (e.data, e.context) = (self.data.into(), self.context.into());
        Some(e)
    }
}

impl From<&HardState> for HardRecord {
    fn from(h: &HardState) -> HardRecord {
        HardRecord {
            term: h.term,
            vote: h.vote,
            commit: h.commit,
        }
    }
}

impl HardRecord {
    pub(crate) fn hard(self) -> HardState {
        let mut h = HardState::default();
        (h.term, h.vote, h.commit) = (self.term, self.vote, self.commit);
        h
    }
}

impl From<&ConfState> for ConfRecord {
    fn from(c: &ConfState) -> ConfRecord {
        ConfRecord {
            voters: c.voters.clone(),
            learners: c.learners.clone(),
            outgoing: c.voters_outgoing.clone(),
            next: c.learners_next.clone(),
            auto_leave: c.auto_leave,
        }
    }
}

impl ConfRecord {
    pub(crate) fn conf(self) -> ConfState {
        let mut c = ConfState::default();
        (c.voters, c.learners) = (self.voters, self.learners);
        (c.voters_outgoing, c.learners_next) = (self.outgoing, self.next);
        c.auto_leave = self.auto_leave;
        c
    }
}

impl From<&Snapshot> for SnapshotRecord {
    fn from(s: &Snapshot) -> SnapshotRecord {
        let at = s.get_metadata();
        SnapshotRecord {
            index: at.index,
            term: at.term,
            conf: at.get_conf_state().into(),
            data: s.data.to_vec(),
        }
    }
}

impl SnapshotRecord {
    pub(crate) fn snapshot(self) -> Snapshot {
        let mut s = Snapshot::default();
        let at = s.mut_metadata();
        (at.index, at.term) = (self.index, self.term);
        at.set_conf_state(self.conf.conf());
        s.data = self.data.into();
        s
    }
}

impl From<&Message> for MessageRecord {
    fn from(m: &Message) -> MessageRecord {
        MessageRecord {
            kind: m.get_msg_type() as u8,
            to: m.to,
            from: m.from,
            term: m.term,
            log_term: m.log_term,
            index: m.index,
            entries: m.entries.iter().map(EntryRecord::from).collect(),
            commit: m.commit,
            commit_term: m.commit_term,
            snapshot: m.has_snapshot().then(|| m.get_snapshot().into()),
            request_snapshot: m.request_snapshot,
            reject: m.reject,
            reject_hint: m.reject_hint,
            context: m.context.to_vec(),
            priority: m.priority,
        }
    }
}

impl MessageRecord {
    /// Whether it can be lost without being asked for again soon.
    pub fn is_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }

    /// The library's form; none: what it holds is of no known kind, or none that comes from outside.
    pub(crate) fn message(self) -> Option<Message> {
        let kind = *MESSAGES.get(usize::from(self.kind))?;
        let local = [
            MessageType::MsgHup,
            MessageType::MsgBeat,
            MessageType::MsgUnreachable,
            MessageType::MsgSnapStatus,
            MessageType::MsgCheckQuorum,
        ];
        let holds = kind == MessageType::MsgSnapshot;
        if local.contains(&kind) || holds != self.snapshot.is_some() {
            return None;
        }
        // What is asked for has a content, and no more than one where the library looks at the first alone.
        let asks = matches!(kind, MessageType::MsgPropose | MessageType::MsgReadIndex);
        if asks && self.entries.len() != 1 {
            return None;
        }
        let mut m = Message::default();
        m.set_msg_type(kind);
        (m.to, m.from, m.term) = (self.to, self.from, self.term);
        (m.log_term, m.index, m.commit, m.commit_term) =
            (self.log_term, self.index, self.commit, self.commit_term);
        let entries: Option<Vec<Entry>> =
            self.entries.into_iter().map(EntryRecord::entry).collect();
        m.entries = entries?.into();
        if let Some(snapshot) = self.snapshot {
            m.set_snapshot(snapshot.snapshot());
        }
        (m.request_snapshot, m.reject, m.reject_hint) =
            (self.request_snapshot, self.reject, self.reject_hint);
        m.context = self.context.into();
        m.priority = self.priority;
        Some(m)
    }
}
