//! One member: the library's consensus with the state machine on it, and what a process has to do for it. It owns when
//! a wish is sent again, when it is given up, who is to vote, and when old entries go. It must never send what follows
//! from a write that is not on the disk (the caller writes each [`Batch`] before it asks for messages), nor call a
//! wish done before it came back agreed.

use crate::record::{Batch, EntryRecord, HardRecord, MessageRecord, SnapshotRecord};
use crate::state::{OpId, Outcome, Proposal, Proposed, State};
use crate::{log_replica::LogReplica, FORMAT_VERSIONS, MIN_MEMBERS};
use raft::eraftpb::{
    ConfChange, ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType,
    Message, MessageType, Snapshot,
};
use raft::{Config, ProgressState, RawNode, ReadState, SnapshotStatus, StateRole};
use std::collections::BTreeMap;

/// Most wishes and reads of one member that are under way.
const MAX_CALLS: usize = 256;
/// A wish that has not come back is sent again after this, ms.
const AGAIN_MS: f64 = 300.0;
/// Without a leader for so long there is no majority, rather than a change of leaders, ms.
const LOST_MS: f64 = 2500.0;
/// A member that has said nothing for so long may be let in anew with an empty folder, ms.
const SILENT_MS: f64 = 3000.0;
/// A state that was sent and not taken after so long is sent again, ms.
const SNAPSHOT_MS: f64 = 3000.0;
/// A copy votes once it lacks so few entries at most.
const CLOSE: u64 = 64;
/// A member that was stalled does not make up for more ticks than this: it listens first.
const MAX_TICKS: u32 = 2;
/// Between two wishes for a newer form, ms.
const RAISE_MS: f64 = 2000.0;
/// Entries that one message holds at most, bytes.
const MAX_MESSAGE: u64 = 256 << 10;

/// How a member behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// The library's step, ms.
    pub tick_ms: f64,
    /// A leader is heard each so many steps.
    pub heartbeat: usize,
    /// Without a leader for this to twice as many steps a member seeks votes.
    pub election: usize,
    /// Entries kept behind a state, for members that lag a little.
    pub keep: u64,
    /// A wish is given up after this, ms.
    pub patience_ms: f64,
    /// Draws the times of elections.
    pub seed: u64,
    /// One life of one process: no other has the same.
    pub origin: u64,
    /// Members that are let in when they come with an empty folder, and where their links listen.
    pub members: BTreeMap<String, String>,
    /// The newest form of the log that it speaks.
    pub newest: u16,
}

impl Settings {
    /// What holds where nothing else is said.
    pub fn new(name: &str, origin: u64, members: BTreeMap<String, String>) -> Settings {
        Settings {
            name: name.into(),
            tick_ms: 50.0,
            heartbeat: 2,
            election: 10,
            keep: 1024,
            patience_ms: 2000.0,
            seed: origin,
            origin,
            members,
            newest: FORMAT_VERSIONS.1,
        }
    }
}

/// What a folder holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loaded {
    /// The group.
    pub group: u64,
    /// The incarnation.
    pub id: u64,
    /// What it has promised.
    pub hard: HardRecord,
    /// The last state.
    pub snapshot: SnapshotRecord,
    /// The last place that is held no more, and its term.
    pub cut: (u64, u64),
    /// The log behind it.
    pub entries: Vec<EntryRecord>,
}

impl Loaded {
    /// The folder of a new group's first member.
    pub fn first(group: u64, name: &str, address: &str, nonce: u64) -> Loaded {
        let conf = crate::ConfRecord {
            voters: vec![1],
            ..Default::default()
        };
        let data = State::first(group, name, address, nonce).encode();
        Loaded {
            group,
            id: 1,
            hard: HardRecord {
                term: 1,
                vote: 0,
                commit: 1,
            },
            snapshot: SnapshotRecord {
                index: 1,
                term: 1,
                conf,
                data,
            },
            cut: (1, 1),
            entries: Vec::new(),
        }
    }

    /// A group of its own for what one folder holds, agreed or not: nobody else is left who could know. The places of
    /// the log that were known as agreed, and all of them, are returned beside it.
    ///
    /// # Errors
    /// The folder's content makes no sense.
    pub fn recover(
        self,
        group: u64,
        name: &str,
        address: &str,
        nonce: u64,
    ) -> Result<(Loaded, u64, u64), Lost> {
        let mut state = State::decode(&self.snapshot.data).ok_or(Lost::State)?;
        let (mut last, mut term) = (self.snapshot.index, self.snapshot.term);
        for entry in self
            .entries
            .iter()
            .filter(|e| e.index > self.snapshot.index)
        {
            (last, term) = (entry.index, entry.term);
            if let Ok(asked) = postcard::from_bytes::<Proposed>(&entry.data) {
                if entry.kind == EntryType::EntryNormal as u8 {
                    state.apply(entry.index, &asked);
                }
            }
        }
        let agreed = self.hard.commit.max(self.snapshot.index);
        let (state, id) = state.alone(group, name, address, nonce);
        let conf = crate::ConfRecord {
            voters: vec![id],
            ..Default::default()
        };
        let loaded = Loaded {
            group,
            id,
            hard: HardRecord {
                term: self.hard.term.max(term) + 1,
                vote: 0,
                commit: last,
            },
            snapshot: SnapshotRecord {
                index: last,
                term,
                conf,
                data: state.encode(),
            },
            cut: (last, term),
            entries: Vec::new(),
        };
        Ok((loaded, agreed, last))
    }

    /// The folder of a member that has just been let in.
    pub fn admitted(group: u64, id: u64) -> Loaded {
        Loaded {
            group,
            id,
            ..Loaded::default()
        }
    }
}

/// Why a member can neither vote nor promise any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lost {
    /// What the folder or another member gave as a state is none.
    #[error("the state cannot be read")]
    State,
    /// The log has a hole, or ends before what was agreed.
    #[error("the log has a hole")]
    Gap,
    /// The others know of entries that this member has acknowledged and does not hold.
    #[error("what was written is there no more")]
    Behind,
    /// The library refuses it.
    #[error("the log cannot be used")]
    Library,
    /// A newer program has written what this one cannot carry out, or the group has a newer form than the settings allow.
    #[error("the log is of form {0}, which this program does not know or is not to speak")]
    Form(u16),
    /// An entry that this program cannot read.
    #[error("the log holds what this program does not know")]
    Unknown,
}

/// Why a wish is refused before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Standing {
    /// No leader for so long, ms.
    #[error("no majority for {0:.0} ms")]
    NoMajority(f64),
    /// Too few vote.
    #[error("{0} of at least 3 members vote")]
    Few(usize),
    /// Too many wishes are under way.
    #[error("too many calls are under way")]
    Full,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A wish is agreed, and in the state of this member.
    Done(u64, Outcome),
    /// A wish has not come back in time. Sent: it may still take effect.
    Expired(u64, bool),
    /// The same of another's wish.
    DoneFor(OpId, Outcome),
    /// The same of another's wish.
    ExpiredFor(OpId, bool),
    /// The state is now at least what it was, anywhere, when this read was asked for.
    Read(u64),
    /// The state has changed.
    Changed,
}

/// What a member is to the library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It leads.
    Leader,
    /// It follows.
    Follower,
    /// It seeks votes.
    Seeking,
    /// It copies and does not vote.
    Copying,
}

/// How another member stands, as the leader sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub id: u64,
    /// Whether it votes.
    pub votes: bool,
    /// Entries that it lacks; none: only the leader knows.
    pub lag: Option<u64>,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// What it is.
    pub role: Role,
    /// The leader's name; none: there is none.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// How far the log is carried out.
    pub applied: u64,
    /// How far it is agreed.
    pub committed: u64,
    /// So long ago it last heard of the group's leader, ms; infinite: not since it was started.
    pub age_ms: f64,
    /// All members.
    pub members: Vec<Health>,
    /// Who votes is just changing: until that is through, those who voted before are needed as well.
    pub changing: bool,
    /// The form of the log.
    pub form: u16,
}

struct Call {
    /// None: a read.
    proposal: Option<Vec<u8>>,
    /// Whose, if another's.
    of: Option<OpId>,
    deadline: f64,
    next_try: f64,
    sent: bool,
    /// A read may be answered once the state has come so far.
    at: Option<u64>,
}

/// A batch on its way to the disk, and what waits for it.
struct Writing {
    number: u64,
    /// A state that came from another member; none in it: it cannot be read.
    restored: Option<(Snapshot, Option<State>)>,
    messages: Vec<Message>,
}

/// A member.
pub struct Member {
    settings: Settings,
    node: RawNode<LogReplica>,
    group: u64,
    state: State,
    conf: ConfState,
    applied: u64,
    ticked: f64,
    /// When a leader was last heard of, or this life began; whether one has been in this life; when this member began
    /// to lead.
    heard: f64,
    known: bool,
    led: Option<f64>,
    /// When each incarnation was last heard.
    spoke: BTreeMap<u64, f64>,
    calls: BTreeMap<u64, Call>,
    number: u64,
    joins: BTreeMap<String, f64>,
    snapshots: BTreeMap<u64, f64>,
    /// The newest form that each name's program has said to speak.
    speaks: BTreeMap<String, u16>,
    /// When a newer form was last asked for.
    raised: Option<f64>,
    writing: Option<Writing>,
    messages: Vec<MessageRecord>,
    events: Vec<Event>,
    lost: Option<Lost>,
}

fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn mixed(words: [u64; 4]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |h, w| {
        let x = (h ^ w).wrapping_mul(0xff51_afd7_ed55_8ccd);
        (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53)
    })
}

impl Member {
    /// A member with what its folder holds.
    ///
    /// # Errors
    /// The folder's content makes no sense.
    pub fn new(settings: Settings, loaded: Loaded, now: f64) -> Result<Member, Lost> {
        let state = match loaded.snapshot.index {
            0 => State::default(),
            _ => State::decode(&loaded.snapshot.data).ok_or(Lost::State)?,
        };
        if state.form() > settings.newest {
            return Err(Lost::Form(state.form()));
        }
        let next = loaded.cut.0 + 1;
        let whole = loaded
            .entries
            .iter()
            .zip(next..)
            .all(|(e, index)| e.index == index);
        let last = loaded.cut.0 + loaded.entries.len() as u64;
        let mut hard = loaded.hard;
        hard.commit = hard.commit.max(loaded.snapshot.index);
        let applied = loaded.snapshot.index;
        if !whole || hard.commit > last || applied < loaded.cut.0 {
            return Err(Lost::Gap);
        }
        let conf = loaded.snapshot.conf.conf();
        let entries: Option<Vec<Entry>> =
            loaded.entries.into_iter().map(EntryRecord::entry).collect();
        let log = LogReplica::new(
            loaded.cut,
            hard.hard(),
            conf.clone(),
            entries.ok_or(Lost::Gap)?,
        );
        let config = Config {
            id: loaded.id,
            election_tick: settings.election,
            heartbeat_tick: settings.heartbeat,
            applied,
            max_size_per_msg: MAX_MESSAGE,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let node = RawNode::new(&config, log, &quiet()).map_err(|_| Lost::Library)?;
        let mut member = Member {
            settings,
            node,
            group: loaded.group,
            state,
            conf,
            applied,
            ticked: now,
            heard: now,
            known: false,
            led: None,
            spoke: BTreeMap::new(),
            calls: BTreeMap::new(),
            number: 0,
            joins: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            speaks: BTreeMap::new(),
            raised: None,
            writing: None,
            messages: Vec::new(),
            events: vec![Event::Changed],
            lost: None,
        };
        member.settle(now);
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

    /// How far the log is carried out here.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Why it must not go on; none: it may.
    pub fn lost(&self) -> Option<Lost> {
        self.lost
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Time goes by. To be called at least once a step.
    pub fn pass(&mut self, now: f64) {
        let mut ticks = 0;
        while now - self.ticked >= self.settings.tick_ms {
            self.ticked += self.settings.tick_ms;
            ticks += 1;
            if ticks > MAX_TICKS {
                self.ticked = now;
                break;
            }
            self.node.tick();
            self.settle(now);
        }
        if ticks == 0 {
            return;
        }
        let late: Vec<u64> = self
            .snapshots
            .iter()
            .filter(|(_, at)| now - **at > SNAPSHOT_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.snapshots.remove(&id);
            let waits = |m: &Member| {
                m.node
                    .raft
                    .prs()
                    .get(id)
                    .is_some_and(|p| p.state == ProgressState::Snapshot)
            };
            if waits(self) {
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
        self.keep_up_members();
        self.raise(now);
        self.retry(now);
    }

    /// A member's program has greeted this one: the newest form that it speaks.
    pub fn greeted(&mut self, name: &str, newest: u16) {
        self.speaks.insert(name.into(), newest);
    }

    /// The newest form that an ingress's program is known to speak.
    fn speaks(&self, name: &str) -> u16 {
        match name == self.settings.name {
            true => self.settings.newest,
            false => self.speaks.get(name).copied().unwrap_or(FORMAT_VERSIONS.0),
        }
    }

    /// Raises the group's form once every member is known to speak a newer one: until then all that goes into the log
    /// is what the oldest program among them can carry out.
    fn raise(&mut self, now: f64) {
        // One that is down may come back as an older program.
        let here = |id: &u64| {
            self.spoke.get(id).is_some_and(|at| now - at < SILENT_MS) || *id == self.id()
        };
        let members = self.state.members.iter().filter(|(_, m)| !m.gone);
        let common = members
            .map(|(id, m)| {
                if here(id) {
                    self.speaks(&m.name)
                } else {
                    FORMAT_VERSIONS.0
                }
            })
            .min();
        let common = common.unwrap_or(FORMAT_VERSIONS.0);
        let due = self.raised.is_none_or(|at| now - at > RAISE_MS);
        if self.leads()
            && due
            && common > self.state.form()
            && self.conf.voters.len() >= MIN_MEMBERS
        {
            self.raised = Some(now);
            let _ = self.change(now, Proposal::Raise(common));
        }
    }

    /// A message has come.
    pub fn hear(&mut self, now: f64, message: MessageRecord) {
        let from = message.from;
        let Some(message) = message.message().filter(|m| m.to == self.id()) else {
            return;
        };
        self.spoke.insert(from, now);
        let leads = matches!(
            message.get_msg_type(),
            MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot
        );
        // A leader names as agreed only what this member has acknowledged: if it lacks that, its disk has lost it.
        if message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= self.node.raft.term
            && message.commit > self.node.raft.raft_log.last_index()
        {
            self.lost = Some(Lost::Behind);
            return;
        }
        // What cannot be read would be in everybody's log.
        let asks = message.get_msg_type() == MessageType::MsgPropose;
        if asks
            && !message
                .entries
                .iter()
                .all(|e| postcard::from_bytes::<Proposed>(&e.data).is_ok())
        {
            return;
        }
        let term = message.term;
        let _ = self.node.step(message);
        if leads && term == self.node.raft.term {
            (self.heard, self.known) = (now, true);
        }
        self.settle(now);
    }

    /// A message could not be sent.
    pub fn unreachable(&mut self, id: u64) {
        self.node.report_unreachable(id);
    }

    /// Asks for something; the number by which its end is told.
    ///
    /// # Errors
    /// It cannot be done now.
    pub fn ask(&mut self, now: f64, proposal: Proposal) -> Result<u64, Standing> {
        let voters = self.conf.voters.len();
        if voters < MIN_MEMBERS {
            return Err(Standing::Few(voters));
        }
        self.go(now, Some(proposal))
    }

    /// Changes who is in the group, which may also be done while too few vote.
    ///
    /// # Errors
    /// It cannot be done now.
    pub fn change(&mut self, now: f64, proposal: Proposal) -> Result<u64, Standing> {
        self.go(now, Some(proposal))
    }

    /// Asks for a read of what is agreed now; the number by which its time is told.
    ///
    /// # Errors
    /// It cannot be done now.
    pub fn read(&mut self, now: f64) -> Result<u64, Standing> {
        self.go(now, None)
    }

    fn go(&mut self, now: f64, proposal: Option<Proposal>) -> Result<u64, Standing> {
        let number = self.begin(now, proposal)?;
        self.retry(now);
        Ok(number)
    }

    /// Asks for something in another's name: the same wish may come by several members and takes effect once.
    ///
    /// # Errors
    /// It cannot be done now.
    pub fn ask_for(
        &mut self,
        now: f64,
        op: OpId,
        made_at: u64,
        proposal: Proposal,
    ) -> Result<(), Standing> {
        let voters = self.conf.voters.len();
        if voters < MIN_MEMBERS {
            return Err(Standing::Few(voters));
        }
        let number = self.begin(now, None)?;
        if let Some(call) = self.calls.get_mut(&number) {
            call.proposal = Some(
                postcard::to_stdvec(&Proposed {
                    op,
                    made_at,
                    proposal,
                })
                .unwrap_or_default(),
            );
            (call.of, call.next_try, call.sent) = (Some(op), now, false);
        }
        self.retry(now);
        Ok(())
    }

    fn begin(&mut self, now: f64, proposal: Option<Proposal>) -> Result<u64, Standing> {
        if self.node.raft.leader_id == 0 && now - self.heard > LOST_MS {
            return Err(Standing::NoMajority(now - self.heard));
        }
        if self.calls.len() >= MAX_CALLS {
            return Err(Standing::Full);
        }
        self.number += 1;
        let number = self.number;
        let op = OpId {
            origin: self.settings.origin,
            number,
        };
        let proposal = proposal.map(|proposal| {
            postcard::to_stdvec(&Proposed {
                op,
                made_at: self.applied,
                proposal,
            })
            .unwrap_or_default()
        });
        let deadline = now + self.settings.patience_ms;
        self.calls.insert(
            number,
            Call {
                proposal,
                of: None,
                deadline,
                next_try: now,
                sent: false,
                at: None,
            },
        );
        Ok(number)
    }

    /// A member says that its folder is empty. Its incarnation, if it has been let in.
    pub fn join(&mut self, now: f64, name: &str, nonce: u64) -> Option<u64> {
        if let Some(id) = self.state.admitted(name, nonce) {
            return Some(id);
        }
        // An older program could not carry out what the log may hold by now.
        if self.speaks(name) < self.state.form() {
            return None;
        }
        let invited = self.state.invited.get(name).map(|i| &i.address);
        let address = invited.or_else(|| self.settings.members.get(name))?.clone();
        let silent = |since: f64| now - since > SILENT_MS;
        // Somebody who still speaks under that name is not to be pushed out by an empty folder beside it.
        let may = match self.state.incarnation(name) {
            Some((id, _)) => {
                self.led.is_some_and(silent) && self.spoke.get(&id).is_none_or(|at| silent(*at))
            }
            None => self.leads(),
        };
        let again = self.joins.get(name).is_none_or(|at| now - at > 1000.0);
        if may && again && self.leads() && name != self.settings.name {
            self.joins.insert(name.into(), now);
            let _ = self.change(
                now,
                Proposal::Admit {
                    name: name.into(),
                    address,
                    nonce,
                },
            );
        }
        None
    }

    /// Gives leadership away, if it has it, to whoever lacks least.
    pub fn step_down(&mut self) {
        if !self.leads() {
            return;
        }
        let others = self.conf.voters.iter().filter(|id| **id != self.id());
        let matched = |id: &u64| self.node.raft.prs().get(*id).map_or(0, |p| p.matched);
        if let Some(id) = others.max_by_key(|id| matched(id)).copied() {
            self.node.transfer_leader(id);
        }
    }

    /// What has to be on the disk next; none: nothing, or an earlier one is not there yet. Every batch is to be
    /// followed by [`Member::written`]; meanwhile the member listens, and sends what follows from no write.
    pub fn batch(&mut self, now: f64) -> Option<Batch> {
        if self.writing.is_some() || self.lost.is_some() || !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        let mut batch = Batch::default();
        let log = self.node.mut_store();
        let restored = (!ready.snapshot().is_empty()).then(|| ready.snapshot().clone());
        let restored = restored.map(|snapshot| {
            let state = State::decode(&snapshot.data);
            (snapshot, state)
        });
        if let Some((snapshot, state)) = &restored {
            log.restore(snapshot);
            batch.restored = Some(snapshot.into());
            batch.form = state.as_ref().map(State::form);
        }
        if !log.append(ready.entries()) {
            self.lost = Some(Lost::Gap);
            return None;
        }
        batch.entries = ready.entries().iter().map(EntryRecord::from).collect();
        if let Some(hard) = ready.hs() {
            log.hard = hard.clone();
            // How far the log is agreed is learnt again; it goes along with what has to be written anyway.
            batch.hard = (ready.must_sync() || restored.is_some()).then(|| hard.into());
        }
        self.send(now, ready.take_messages());
        for read in ready.take_read_states() {
            self.may_read(&read);
        }
        let form = self.state.form();
        let members = self.apply(ready.take_committed_entries());
        if self.state.form() != form {
            batch.form = Some(self.state.form());
        }
        if members {
            // Who votes follows from what is agreed, and is needed again at the next start: a member that forgot that
            // it was let vote would wait for ever for those who are gone.
            let hard = self.node.raft.hard_state();
            self.node.mut_store().hard = hard.clone();
            batch.hard = Some((&hard).into());
        }
        self.writing = Some(Writing {
            number: ready.number(),
            restored,
            messages: ready.take_persisted_messages(),
        });
        self.node.advance_append_async(ready);
        self.node.advance_apply_to(self.applied);
        self.cut(&mut batch);
        if self.node.store().wanted() {
            if let Some(snapshot) = self.snapshot() {
                self.node.mut_store().offer(snapshot.snapshot());
            }
        }
        self.settle(now);
        self.retry(now);
        Some(batch)
    }

    /// A read may be answered once the state has come so far.
    fn may_read(&mut self, read: &ReadState) {
        let word = |at: usize| {
            let bytes = read
                .request_ctx
                .get(at..at + 8)
                .and_then(|b| b.try_into().ok());
            bytes.map(u64::from_le_bytes)
        };
        // An answer to an earlier life of this process says nothing about this one's calls.
        let ours = word(0) == Some(self.settings.origin);
        if let Some(call) = word(8)
            .filter(|_| ours)
            .and_then(|n| self.calls.get_mut(&n))
        {
            call.at.get_or_insert(read.index);
        }
    }

    /// Puts a state in place of old entries, where there are many.
    fn cut(&mut self, batch: &mut Batch) {
        let (first, applied) = (self.node.store().first(), self.applied);
        if batch.restored.is_some() || applied < first + 2 * self.settings.keep {
            return;
        }
        let Some(snapshot) = self.snapshot() else {
            return;
        };
        if let Some(cut) = self.node.mut_store().cut(applied - self.settings.keep) {
            let hard: HardRecord = (&self.node.store().hard).into();
            batch.hard = Some(HardRecord {
                commit: hard.commit.max(applied),
                ..hard
            });
            batch.snapshot = Some(snapshot);
            batch.cut = Some(cut);
        }
    }

    fn snapshot(&self) -> Option<SnapshotRecord> {
        let term = self.node.store().term_of(self.applied)?;
        Some(SnapshotRecord {
            index: self.applied,
            term,
            conf: (&self.conf).into(),
            data: self.state.encode(),
        })
    }

    /// The batch is on the disk.
    pub fn written(&mut self, now: f64) {
        let Some(Writing {
            number,
            restored,
            messages,
        }) = self.writing.take()
        else {
            return;
        };
        if let Some((snapshot, state)) = restored {
            match state {
                Some(state) if state.form() > self.settings.newest => {
                    self.lost = Some(Lost::Form(state.form()));
                }
                Some(state) => self.state = state,
                None => self.lost = Some(Lost::State),
            }
            let at = snapshot.get_metadata();
            self.conf = at.get_conf_state().clone();
            self.applied = at.index;
            self.events.push(Event::Changed);
        }
        self.node.on_persist_ready(number);
        self.send(now, messages);
        self.settle(now);
    }

    fn send(&mut self, now: f64, messages: Vec<Message>) {
        for message in &messages {
            let message = MessageRecord::from(message);
            if message.is_snapshot() {
                self.snapshots.insert(message.to, now);
            }
            self.messages.push(message);
        }
    }

    /// Carries out what is agreed; true: it has changed who votes.
    fn apply(&mut self, entries: Vec<Entry>) -> bool {
        let mut members = false;
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let Ok(asked) = postcard::from_bytes::<Proposed>(&entry.data) else {
                        // To go on would be to hold another state than those who can read it.
                        self.lost = Some(Lost::Unknown);
                        break;
                    };
                    let outcome = self.state.apply(entry.index, &asked);
                    self.events.push(Event::Changed);
                    let ours = asked.op.origin == self.settings.origin;
                    if ours && self.calls.remove(&asked.op.number).is_some() {
                        self.events.push(Event::Done(asked.op.number, outcome));
                    }
                    let of = self
                        .calls
                        .iter()
                        .find(|(_, call)| call.of == Some(asked.op));
                    if let Some(number) = of.map(|(number, _)| *number) {
                        self.calls.remove(&number);
                        self.events.push(Event::DoneFor(asked.op, outcome));
                    }
                }
                EntryType::EntryConfChange => {
                    members |= self.reconfigure(&entry.data, |node, c: &ConfChange| {
                        node.apply_conf_change(c)
                    });
                }
                EntryType::EntryConfChangeV2 => {
                    members |= self.reconfigure(&entry.data, |node, c: &ConfChangeV2| {
                        node.apply_conf_change(c)
                    });
                }
            }
        }
        members
    }

    /// Carries out a change of who votes; true: it was one.
    fn reconfigure<C: protobuf::Message>(
        &mut self,
        data: &[u8],
        apply: impl FnOnce(&mut RawNode<LogReplica>, &C) -> raft::Result<ConfState>,
    ) -> bool {
        let mut change = C::new();
        if change.merge_from_bytes(data).is_err() {
            return false;
        }
        let conf = apply(&mut self.node, &change);
        self.changed(conf);
        true
    }

    fn changed(&mut self, conf: raft::Result<ConfState>) {
        // The library judged it when it was proposed; one that it refuses now changes nothing on any member.
        let Ok(conf) = conf else { return };
        self.conf = conf.clone();
        let in_use = [
            &conf.voters,
            &conf.learners,
            &conf.voters_outgoing,
            &conf.learners_next,
        ];
        let in_use: Vec<u64> = in_use.into_iter().flatten().copied().collect();
        self.state.forget(&in_use);
        self.node.mut_store().conf = conf;
        self.events.push(Event::Changed);
    }

    /// The messages to be sent.
    pub fn messages(&mut self) -> Vec<MessageRecord> {
        std::mem::take(&mut self.messages)
    }

    /// What has happened.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The library draws the times of elections at random; here they follow from the seed, so that a run can be
    /// repeated. Also notes who leads.
    fn settle(&mut self, now: f64) {
        let raft = &mut self.node.raft;
        let min = self.settings.election as u64;
        // Each voter draws from a part of its own, turned with the term: two that seek votes at once get none.
        let voters = (self.conf.voters.len() as u64).clamp(1, min);
        let place = self.conf.voters.iter().filter(|id| **id < raft.id).count() as u64;
        let part = min / voters;
        let drawn = mixed([self.settings.seed, raft.id, raft.term, raft.state as u64]) % part;
        let drawn = (place + raft.term) % voters * part + drawn;
        raft.set_randomized_election_timeout((min + drawn) as usize);
        if raft.state == StateRole::Leader {
            self.led.get_or_insert(now);
            let heard = self.majority_heard(now);
            self.heard = self.heard.max(heard);
            self.known |= heard > 0.0;
        } else {
            self.led = None;
        }
    }

    /// Sends again what has not come back, and gives up what has waited too long.
    fn retry(&mut self, now: f64) {
        let led = self.node.raft.leader_id != 0;
        let (applied, origin) = (self.applied, self.settings.origin);
        let mut ended = Vec::new();
        let mut out = Vec::new();
        for (number, call) in &mut self.calls {
            if call.at.is_some_and(|at| at <= applied) {
                ended.push((*number, Event::Read(*number)));
            } else if now >= call.deadline {
                ended.push(match call.of {
                    Some(op) => (*number, Event::ExpiredFor(op, call.sent)),
                    None => (*number, Event::Expired(*number, call.sent)),
                });
            } else if led && now >= call.next_try && call.at.is_none() {
                call.next_try = now + AGAIN_MS;
                out.push((*number, call.proposal.clone()));
            }
        }
        for (number, event) in ended {
            self.calls.remove(&number);
            self.events.push(event);
        }
        for (number, proposal) in out {
            match proposal {
                Some(proposal) => {
                    if self.node.propose(Vec::new(), proposal).is_ok() {
                        if let Some(call) = self.calls.get_mut(&number) {
                            call.sent = true;
                        }
                    }
                }
                None => {
                    // Told from every other read, also of an earlier try: an answer to that is as good.
                    let context = [
                        origin.to_le_bytes(),
                        number.to_le_bytes(),
                        (now as u64).to_le_bytes(),
                    ];
                    self.node.read_index(context.concat());
                }
            }
        }
    }

    /// The leader brings those who vote in line with those who are to vote, a step at a time.
    fn keep_up_members(&mut self) {
        let raft = &self.node.raft;
        if !self.leads() || raft.has_pending_conf() || !self.conf.voters_outgoing.is_empty() {
            return;
        }
        let (voters, learners) = (&self.conf.voters, &self.conf.learners);
        let wanted = self.state.wanted();
        let takes = |id: &u64, old: &u64| {
            self.state
                .members
                .get(id)
                .is_some_and(|m| m.place_of.contains(old))
        };
        let step = |id: u64, kind: ConfChangeType| {
            let mut one = ConfChangeSingle {
                node_id: id,
                ..Default::default()
            };
            one.set_change_type(kind);
            one
        };
        let close = |id: &u64| {
            let progress = raft.prs().get(*id);
            progress.is_some_and(|p| {
                let follows = p.recent_active && p.state != ProgressState::Snapshot;
                follows && p.matched > 0 && p.matched + CLOSE >= raft.raft_log.last_index()
            })
        };
        let mut steps = Vec::new();
        if let Some(id) = wanted
            .iter()
            .find(|id| !voters.contains(id) && !learners.contains(id))
        {
            steps.push(step(*id, ConfChangeType::AddLearnerNode));
        } else if let Some(id) = wanted.iter().find(|id| learners.contains(id) && close(id)) {
            // In one step with the incarnation that it replaces: there are never fewer votes in between.
            steps.push(step(*id, ConfChangeType::AddNode));
            let old = voters.iter().filter(|old| takes(id, old));
            steps.extend(old.map(|old| step(*old, ConfChangeType::RemoveNode)));
        } else {
            let replaced = |old: &u64| {
                wanted
                    .iter()
                    .any(|id| learners.contains(id) && takes(id, old))
            };
            let out = voters
                .iter()
                .chain(learners)
                .find(|id| !wanted.contains(id) && !replaced(id))
                .copied();
            match out {
                Some(id) if id == self.id() => return self.step_down(),
                Some(id) => steps.push(step(id, ConfChangeType::RemoveNode)),
                None => return,
            }
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(steps.into());
        let _ = self.node.propose_conf_change(Vec::new(), change);
    }

    /// Who leads, by incarnation; none: nobody that is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// When a leader last knew that a majority was there: a leader that was stalled does not know it any more.
    fn majority_heard(&self, now: f64) -> f64 {
        let others = self.conf.voters.iter().filter(|id| **id != self.id());
        let mut times: Vec<f64> = others
            .map(|id| self.spoke.get(id).copied().unwrap_or(0.0))
            .collect();
        times.sort_by(|a, b| b.total_cmp(a));
        match self.conf.voters.len() / 2 {
            0 => now,
            needed => times.get(needed - 1).copied().unwrap_or(0.0),
        }
    }

    /// So long ago it last heard of the group's leader, ms; infinite: not since it was started.
    pub fn age_ms(&self, now: f64) -> f64 {
        if self.known {
            now - self.heard
        } else {
            f64::INFINITY
        }
    }

    /// How it stands.
    pub fn status(&self, now: f64) -> MemberStatus {
        let raft = &self.node.raft;
        let role = match raft.state {
            StateRole::Leader => Role::Leader,
            _ if !self.conf.voters.contains(&raft.id) => Role::Copying,
            StateRole::Follower => Role::Follower,
            _ => Role::Seeking,
        };
        let last = raft.raft_log.last_index();
        let lag = |id: &u64| {
            let progress = raft.prs().get(*id).filter(|_| self.leads());
            progress.map(|p| last.saturating_sub(p.matched))
        };
        let members = self.state.members.iter().map(|(id, m)| Health {
            name: m.name.clone(),
            id: *id,
            votes: self.conf.voters.contains(id),
            lag: lag(id),
        });
        MemberStatus {
            role,
            leader: self
                .leader()
                .and_then(|id| self.state.members.get(&id))
                .map(|m| m.name.clone()),
            term: raft.term,
            applied: self.applied,
            committed: raft.raft_log.committed,
            age_ms: self.age_ms(now),
            members: members.collect(),
            changing: !self.conf.voters_outgoing.is_empty(),
            form: self.state.form(),
        }
    }

    /// How many vote.
    pub fn voters(&self) -> usize {
        self.conf.voters.len()
    }
}
