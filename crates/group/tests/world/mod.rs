//! A simulated group in virtual time: members whose disks take time and may fail, links that delay,
//! drop or stop messages, and a record of every call with its times. The same seed yields the same
//! run.
#![allow(dead_code)]

use driftgap_group::{
    Batch, Event, Frame, Member, Outcome, Peer, Proposal, ProposalRejected, Role, Settings,
    StoredMember, WriteJob,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// A call or read from the point of view of its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRecord {
    pub caller: usize,
    pub began_ms: f64,
    /// `None`: no answer, or one that leaves the result unknown.
    pub ended_ms: Option<f64>,
    pub kind: CallKind,
    /// Whether the state was changed, according to the answer.
    pub changed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CallKind {
    Suspend(String),
    Restore(String),
    Read(Option<BTreeSet<String>>),
}

pub struct Node {
    pub name: String,
    pub disk: Option<StoredMember>,
    pub peer: Option<Peer>,
    pub up: bool,
    pub stalled: bool,
    incarnations: u64,
    /// The write in progress, and when it is on the disk.
    writing: Option<(f64, WriteJob)>,
    inbox: Vec<(usize, u64, Frame)>,
    calls: BTreeMap<u64, usize>,
    pub failed: bool,
}

/// A fault that is injected on purpose, to be detected by a test.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    NoFault,
    /// A call is acknowledged when it is sent rather than when it is committed.
    AcknowledgeOnSend,
    /// A member that has lost its folder continues to vote under its old incarnation.
    VoteAfterLoss,
    /// A write counts as done before it is on the disk.
    NoSync,
}

pub struct World {
    /// Virtual time, ms.
    pub now_ms: f64,
    pub seed: u64,
    pub rand: Rand64,
    pub nodes: Vec<Node>,
    pub records: Vec<CallRecord>,
    pub injected_fault: InjectedFault,
    /// Links that deliver nothing, as sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Percentage of dropped messages.
    pub drop_percent: u64,
    pub delay_ms: (f64, f64),
    pub fsync_ms: (f64, f64),
    /// Messages and bytes sent so far.
    pub sent: (u64, u64),
    /// Frames from members to followers, with member and connection.
    pub to_followers: Vec<(usize, u64, Frame)>,
    in_flight: BTreeMap<(u64, u64), (usize, usize, u64, Frame)>,
    number: u64,
    members: BTreeMap<String, String>,
}

fn name(i: usize) -> String {
    format!("m{i}")
}

fn save(disk: &mut StoredMember, batch: Batch) {
    if let Some(restored) = batch.restored {
        disk.compacted = restored.position();
        disk.entries.clear();
        disk.snapshot = restored;
    }
    if let Some(first) = batch.entries.first().map(|e| e.index) {
        disk.entries
            .truncate((first - disk.compacted.index - 1) as usize);
        disk.entries.extend(batch.entries);
    }
    if let Some(hard) = batch.hard {
        disk.hard = hard;
    }
    if let Some(snapshot) = batch.snapshot {
        disk.snapshot = snapshot;
    }
    if let Some(compacted) = batch.compacted {
        disk.entries
            .drain(..(compacted.index - disk.compacted.index) as usize);
        disk.compacted = compacted;
    }
}

impl Node {
    pub fn member(&self) -> Option<&Member> {
        self.peer.as_ref().and_then(Peer::member)
    }

    fn save(&mut self, job: WriteJob) {
        match (job, &mut self.disk) {
            (WriteJob::Begin { group, id, .. }, disk) => {
                *disk = Some(StoredMember::admitted(group, id))
            }
            (WriteJob::Write(batch), Some(disk)) => save(disk, *batch),
            (WriteJob::Write(_), None) => panic!("a batch was written without a folder"),
        }
    }
}

impl World {
    /// Creates a group of this many members, which the first one has started.
    pub fn new(members: usize, seed: u64) -> World {
        let mut world = World {
            now_ms: 1000.0,
            seed,
            rand: Rand64::new(seed.into()),
            nodes: Vec::new(),
            records: Vec::new(),
            injected_fault: InjectedFault::NoFault,
            cut_links: BTreeSet::new(),
            drop_percent: 0,
            delay_ms: (0.2, 2.0),
            fsync_ms: (0.5, 5.0),
            sent: (0, 0),
            to_followers: Vec::new(),
            in_flight: BTreeMap::new(),
            number: 0,
            members: (0..members)
                .map(|i| (name(i), format!("10.0.0.{i}:1")))
                .collect(),
        };
        for i in 0..members {
            let disk = (i == 0).then(|| StoredMember::first(77, &name(0), "10.0.0.0:1", 1));
            world.nodes.push(Node {
                name: name(i),
                disk,
                peer: None,
                up: false,
                stalled: false,
                incarnations: 0,
                writing: None,
                inbox: Vec::new(),
                calls: BTreeMap::new(),
                failed: false,
            });
            world.start(i);
        }
        world
    }

    pub fn start(&mut self, i: usize) {
        let nonce = self.rand.rand_u64();
        let (now, members, seed) = (self.now_ms, self.members.clone(), self.seed);
        let node = &mut self.nodes[i];
        node.up = true;
        node.incarnations += 1;
        let mut settings = Settings::new(&node.name, (i as u64) << 32 | node.incarnations, members);
        settings.seed = seed ^ (i as u64) << 8;
        settings.retained_entries = 64;
        node.peer = Some(match node.disk.clone() {
            Some(disk) => Peer::from_member(settings, disk, now).expect("a valid folder"),
            None => Peer::joining(settings, nonce),
        });
    }

    /// Stops the process. A write in progress is completed or lost at random.
    pub fn kill(&mut self, i: usize) {
        let is_completed = self.rand.rand_range(0..2) == 0;
        let no_sync = self.injected_fault == InjectedFault::NoSync;
        let node = &mut self.nodes[i];
        if let Some((_, job)) = node.writing.take().filter(|_| is_completed && !no_sync) {
            node.save(job);
        }
        node.up = false;
        node.peer = None;
        node.inbox.clear();
        node.calls.clear();
    }

    /// Stops the process and erases its disk.
    pub fn lose_disk(&mut self, i: usize) {
        self.kill(i);
        let vote = self.injected_fault == InjectedFault::VoteAfterLoss;
        let node = &mut self.nodes[i];
        node.disk = node.disk.take().filter(|_| vote).map(|old| StoredMember {
            snapshot: old.snapshot.clone(),
            ..StoredMember::first(77, "m0", "10.0.0.0:1", 1)
        });
        if let Some(disk) = &mut node.disk {
            // The member keeps its old incarnation, with the log of a new group.
            let id = self
                .members
                .keys()
                .position(|n| *n == node.name)
                .unwrap_or(0) as u64
                + 1;
            *disk = StoredMember {
                id,
                ..StoredMember::first(77, "m0", "10.0.0.0:1", 1)
            };
        }
    }

    fn send_frame(&mut self, from: usize, to: usize, frame: Frame) {
        let id = self.nodes[from].member().map_or(0, Member::id);
        self.sent.0 += 1;
        self.sent.1 += frame.bytes().len() as u64;
        if self.cut_links.contains(&(from, to)) || self.rand.rand_range(0..100) < self.drop_percent
        {
            return;
        }
        let delay = self.delay_ms.0 + self.rand.rand_float() * (self.delay_ms.1 - self.delay_ms.0);
        self.number += 1;
        let at = ((self.now_ms + delay) * 1e3) as u64;
        self.in_flight
            .insert((at, self.number), (from, to, id, frame));
    }

    /// Lets this much virtual time pass.
    pub fn run(&mut self, ms: f64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 1.0;
            while let Some((key, _)) = self.in_flight.first_key_value() {
                if key.0 as f64 > self.now_ms * 1e3 {
                    break;
                }
                let (from, to, id, frame) = self.in_flight.pop_first().unwrap().1;
                if self.nodes[to].up {
                    // A real link is closed on such a frame, and the frames behind it are lost.
                    let allowed = frame.is_allowed_from(id);
                    assert!(
                        allowed,
                        "seed {}: m{from} sends as incarnation {id}: {frame:?}",
                        self.seed
                    );
                    self.nodes[to].inbox.push((from, id, frame));
                }
            }
            for i in 0..self.nodes.len() {
                if self.nodes[i].up && !self.nodes[i].stalled {
                    self.step_node(i);
                }
            }
        }
    }

    fn step_node(&mut self, i: usize) {
        let (now, no_sync) = (self.now_ms, self.injected_fault == InjectedFault::NoSync);
        let node = &mut self.nodes[i];
        if node.writing.as_ref().is_some_and(|(due, _)| *due <= now) {
            let (_, job) = node.writing.take().unwrap();
            node.save(job);
            if !no_sync {
                node.peer.as_mut().unwrap().written(now).unwrap();
            }
        }
        let peer = node.peer.as_mut().unwrap();
        for (from, id, frame) in std::mem::take(&mut node.inbox) {
            peer.receive(now, &name(from), id, frame);
        }
        peer.tick(now);
        while node.writing.is_none() {
            let Some(job) = peer.next_write(now) else {
                break;
            };
            let empty = job == WriteJob::Write(Box::default());
            if !empty {
                let ms =
                    self.fsync_ms.0 + self.rand.rand_float() * (self.fsync_ms.1 - self.fsync_ms.0);
                node.writing = Some((now + ms, job));
            }
            if empty || no_sync {
                peer.written(now).unwrap();
            }
        }
        self.to_followers.extend(
            peer.to_followers(now)
                .into_iter()
                .map(|(to, frame)| (i, to, frame)),
        );
        let events = peer.events(now);
        let frames = peer.frames(now);
        if peer.member().is_some_and(|m| m.failure().is_some()) {
            node.failed = true;
            return self.kill(i);
        }
        for (to, frame) in frames {
            self.send_frame(i, to[1..].parse().unwrap(), frame);
        }
        for event in events {
            self.record_event(i, event);
        }
    }

    fn record_event(&mut self, i: usize, event: Event) {
        let (number, done, changed) = match event {
            Event::Done(number, outcome) => {
                let done = matches!(outcome, Outcome::Done | Outcome::Unchanged);
                (number, done, outcome == Outcome::Done)
            }
            Event::Read(number) => (number, true, false),
            Event::Expired(number, sent) => {
                // The call was never sent: it has no effect and does not belong to the record.
                if let Some(index) = self.nodes[i].calls.remove(&number).filter(|_| !sent) {
                    self.records[index].kind = CallKind::Read(None);
                }
                return;
            }
            Event::Changed | Event::DoneFor(..) | Event::ExpiredFor(..) => return,
        };
        let Some(index) = self.nodes[i].calls.remove(&number).filter(|_| done) else {
            return;
        };
        if let CallKind::Read(excluded) = &mut self.records[index].kind {
            let state = self.nodes[i].member().unwrap().state();
            *excluded = Some(state.excluded.keys().cloned().collect());
        }
        if self.records[index].ended_ms.is_none() {
            self.records[index].ended_ms = Some(self.now_ms);
            self.records[index].changed = changed;
        }
    }

    /// Makes a call at one member. Returns its index in the record.
    pub fn call(&mut self, i: usize, kind: CallKind) -> Result<usize, ProposalRejected> {
        let now = self.now_ms;
        let Some(member) = self.nodes[i].peer.as_mut().and_then(Peer::member_mut) else {
            return Err(ProposalRejected::NoMajority(0.0));
        };
        let number = match &kind {
            CallKind::Suspend(name) => member.propose(now, Proposal::Suspend(name.clone()))?,
            CallKind::Restore(name) => member.propose(now, Proposal::Restore(name.clone()))?,
            CallKind::Read(_) => member.read(now)?,
        };
        let acknowledged_on_send = self.injected_fault == InjectedFault::AcknowledgeOnSend
            && !matches!(kind, CallKind::Read(_));
        let (caller, ended) = (
            self.records.len(),
            acknowledged_on_send.then_some(now + 0.5),
        );
        let record = CallRecord {
            caller,
            began_ms: now,
            ended_ms: ended,
            changed: true,
            kind,
        };
        self.records.push(record);
        self.nodes[i].calls.insert(number, self.records.len() - 1);
        Ok(self.records.len() - 1)
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.member().is_some_and(Member::leads);
        (0..self.nodes.len())
            .filter(|i| leads(&self.nodes[*i]))
            .max_by_key(|i| {
                let status = self.nodes[*i].member().unwrap().status(self.now_ms);
                status.term
            })
    }

    /// Runs until the condition holds. Returns how long that took, ms.
    pub fn run_until(&mut self, max_ms: f64, condition: impl Fn(&World) -> bool) -> f64 {
        let began = self.now_ms;
        while !condition(self) {
            if self.now_ms - began >= max_ms {
                println!("{}", self.describe_members());
                panic!("seed {}: condition not met in {max_ms} ms", self.seed);
            }
            self.run(1.0);
        }
        self.now_ms - began
    }

    /// Describes the status of all members, for test failures.
    pub fn describe_members(&self) -> String {
        let one = |n: &Node| {
            let status = n.member().map(|m| (m.id(), m.status(self.now_ms)));
            let disk = n
                .disk
                .as_ref()
                .map(|d| (d.hard, d.snapshot.index, d.compacted, d.entries.len()));
            format!(
                "{} up={} writing={} {disk:?} {status:?}\n",
                n.name,
                n.up,
                n.writing.is_some()
            )
        };
        self.nodes.iter().map(one).collect()
    }

    /// Whether every member votes and the group has a leader.
    pub fn is_ready(&self) -> bool {
        let member_count = self.nodes.len();
        self.leader()
            .is_some_and(|l| self.nodes[l].member().unwrap().voters() == member_count)
            && self.nodes.iter().all(|n| {
                n.member().is_some_and(|m| {
                    let status = m.status(self.now_ms);
                    let votes = status.role != Role::Learner && !status.changing;
                    m.voters() == member_count && m.leader().is_some() && votes
                })
            })
    }
}
