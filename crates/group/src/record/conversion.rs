//! Conversions between the library's types and the records. Records from outside are validated,
//! because the library aborts on messages that none of its own members would send.

use super::{ConfRecord, EntryRecord, HardRecord, MessageRecord, SnapshotRecord};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};

/// All message types, in the order of their numbers.
const MESSAGE_TYPES: [MessageType; 19] = [
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
/// Message types that the library sends to itself. They are rejected if they come from outside.
const LOCAL_MESSAGE_TYPES: [MessageType; 5] = [
    MessageType::MsgHup,
    MessageType::MsgBeat,
    MessageType::MsgUnreachable,
    MessageType::MsgSnapStatus,
    MessageType::MsgCheckQuorum,
];
/// All entry types, in the order of their numbers.
const ENTRY_TYPES: [EntryType; 3] = [
    EntryType::EntryNormal,
    EntryType::EntryConfChange,
    EntryType::EntryConfChangeV2,
];

impl From<&Entry> for EntryRecord {
    fn from(entry: &Entry) -> EntryRecord {
        EntryRecord {
            kind: entry.get_entry_type() as u8,
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl EntryRecord {
    /// Converts to the library's entry; `None`: the entry type is unknown.
    pub(crate) fn entry(self) -> Option<Entry> {
        let mut entry = Entry::default();
        entry.set_entry_type(*ENTRY_TYPES.get(usize::from(self.kind))?);
        entry.term = self.term;
        entry.index = self.index;
        entry.data = self.data.into();
        entry.context = self.context.into();
        Some(entry)
    }
}

impl From<&HardState> for HardRecord {
    fn from(hard: &HardState) -> HardRecord {
        HardRecord {
            term: hard.term,
            vote: hard.vote,
            commit: hard.commit,
        }
    }
}

impl HardRecord {
    pub(crate) fn hard(self) -> HardState {
        let mut hard = HardState::default();
        hard.set_term(self.term);
        hard.set_vote(self.vote);
        hard.set_commit(self.commit);
        hard
    }
}

impl From<&ConfState> for ConfRecord {
    fn from(conf: &ConfState) -> ConfRecord {
        ConfRecord {
            voters: conf.voters.clone(),
            learners: conf.learners.clone(),
            outgoing: conf.voters_outgoing.clone(),
            next: conf.learners_next.clone(),
            auto_leave: conf.auto_leave,
        }
    }
}

impl ConfRecord {
    pub(crate) fn conf(self) -> ConfState {
        let mut conf = ConfState::default();
        conf.set_voters(self.voters);
        conf.set_learners(self.learners);
        conf.set_voters_outgoing(self.outgoing);
        conf.set_learners_next(self.next);
        conf.set_auto_leave(self.auto_leave);
        conf
    }
}

impl From<&Snapshot> for SnapshotRecord {
    fn from(snapshot: &Snapshot) -> SnapshotRecord {
        let metadata = snapshot.get_metadata();
        SnapshotRecord {
            index: metadata.index,
            term: metadata.term,
            conf: metadata.get_conf_state().into(),
            data: snapshot.data.to_vec(),
        }
    }
}

impl SnapshotRecord {
    pub(crate) fn snapshot(self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = self.index;
        metadata.term = self.term;
        metadata.set_conf_state(self.conf.conf());
        snapshot.data = self.data.into();
        snapshot
    }
}

impl From<&Message> for MessageRecord {
    fn from(message: &Message) -> MessageRecord {
        let snapshot = message.has_snapshot().then(|| message.get_snapshot());
        MessageRecord {
            kind: message.get_msg_type() as u8,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(EntryRecord::from).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: snapshot.map(SnapshotRecord::from),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }
}

impl MessageRecord {
    /// Converts to the library's message; `None`: the message is invalid, or of a type that is
    /// unknown or must not come from outside.
    pub(crate) fn message(self) -> Option<Message> {
        let kind = self.valid_message_type()?;
        let entries: Option<Vec<Entry>> =
            self.entries.into_iter().map(EntryRecord::entry).collect();
        let mut message = Message::default();
        message.set_msg_type(kind);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        message.entries = entries?.into();
        if let Some(snapshot) = self.snapshot {
            message.set_snapshot(snapshot.snapshot());
        }
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.into();
        message.priority = self.priority;
        Some(message)
    }

    /// Returns the message type, if the message has the content that the library expects of that
    /// type.
    fn valid_message_type(&self) -> Option<MessageType> {
        let kind = *MESSAGE_TYPES.get(usize::from(self.kind))?;
        let needs_snapshot = kind == MessageType::MsgSnapshot;
        if LOCAL_MESSAGE_TYPES.contains(&kind) || needs_snapshot != self.snapshot.is_some() {
            return None;
        }
        // The library reads the first entry of these messages without checking how many there are.
        let is_request = matches!(kind, MessageType::MsgPropose | MessageType::MsgReadIndex);
        if is_request && self.entries.len() != 1 {
            return None;
        }
        Some(kind)
    }
}
