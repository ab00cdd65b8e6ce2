//! A group in virtual time: members with disks that take time and may fail, links that delay, drop and are cut, and a
//! record of every call with its time. The same seed gives the same run.
#![allow(dead_code)]

use driftgap_group::{
    Batch, Event, Frame, Member, Outcome, Peer, Proposal, ProposalRejected, Role, Settings,
    StoredMember, WriteJob,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};

/// A call or read as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub caller: usize,
    pub began_ms: f64,
    /// None: no answer, or one that leaves it open.
    pub ended_ms: Option<f64>,
    pub what: What,
    /// Whether it changed something, as its caller was told.
    pub changed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
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
    /// A batch on its way to the disk, and when it is there.
    writing: Option<(f64, WriteJob)>,
    inbox: Vec<(usize, u64, Frame)>,
    calls: BTreeMap<u64, usize>,
    pub lost: bool,
}

/// A fault that is built in to be found.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// A call is answered when it is sent, not when it is agreed.
    EarlyYes,
    /// A member whose folder was lost votes on as the one that it was.
    VoteAfterLoss,
    /// What is written counts before it is on the disk.
    NoSync,
}

pub struct World {
    /// Virtual time.
    pub now_ms: f64,
    pub seed: u64,
    pub rand: Rand64,
    pub nodes: Vec<Node>,
    pub seen: Vec<Seen>,
    pub planted: Planted,
    /// Links that carry nothing, from and to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Of a hundred messages so many are dropped.
    pub drops: u64,
    pub delay_ms: (f64, f64),
    pub fsync_ms: (f64, f64),
    /// Messages and bytes sent so far.
    pub sent: (u64, u64),
    /// What members send to followers, by member and connection.
    pub to_followers: Vec<(usize, u64, Frame)>,
    net: BTreeMap<(u64, u64), (usize, usize, u64, Frame)>,
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
            (WriteJob::Write(_), None) => panic!("a write to no folder"),
        }
    }
}

impl World {
    /// A group of so many members; the first has begun it.
    pub fn new(members: usize, seed: u64) -> World {
        let mut world = World {
            now_ms: 1000.0,
            seed,
            rand: Rand64::new(seed.into()),
            nodes: Vec::new(),
            seen: Vec::new(),
            planted: Planted::Nothing,
            cut: BTreeSet::new(),
            drops: 0,
            delay_ms: (0.2, 2.0),
            fsync_ms: (0.5, 5.0),
            sent: (0, 0),
            to_followers: Vec::new(),
            net: BTreeMap::new(),
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
                lost: false,
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
            Some(disk) => Peer::from_member(settings, disk, now).expect("a sound disk"),
            None => Peer::joining(settings, nonce),
        });
    }

    /// The process is gone; what was on its way to the disk is there, or not.
    pub fn kill(&mut self, i: usize) {
        let half = self.rand.rand_range(0..2) == 0;
        let no_sync = self.planted == Planted::NoSync;
        let node = &mut self.nodes[i];
        if let Some((_, job)) = node.writing.take().filter(|_| half && !no_sync) {
            node.save(job);
        }
        node.up = false;
        node.peer = None;
        node.inbox.clear();
        node.calls.clear();
    }

    /// The machine is gone with its disk.
    pub fn lose(&mut self, i: usize) {
        self.kill(i);
        let vote = self.planted == Planted::VoteAfterLoss;
        let node = &mut self.nodes[i];
        node.disk = node.disk.take().filter(|_| vote).map(|old| StoredMember {
            snapshot: old.snapshot.clone(),
            ..StoredMember::first(77, "m0", "10.0.0.0:1", 1)
        });
        if let Some(disk) = &mut node.disk {
            // Under its old number, with the log as it was at the beginning.
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

    fn post(&mut self, from: usize, to: usize, frame: Frame) {
        let id = self.nodes[from].member().map_or(0, Member::id);
        self.sent.0 += 1;
        self.sent.1 += frame.bytes().len() as u64;
        if self.cut.contains(&(from, to)) || self.rand.rand_range(0..100) < self.drops {
            return;
        }
        let delay = self.delay_ms.0 + self.rand.rand_float() * (self.delay_ms.1 - self.delay_ms.0);
        self.number += 1;
        let at = ((self.now_ms + delay) * 1e3) as u64;
        self.net.insert((at, self.number), (from, to, id, frame));
    }

    /// Lets time go by.
    pub fn run(&mut self, ms: f64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.now_ms += 1.0;
            while let Some((key, _)) = self.net.first_key_value() {
                if key.0 as f64 > self.now_ms * 1e3 {
                    break;
                }
                let (from, to, id, frame) = self.net.pop_first().unwrap().1;
                if self.nodes[to].up {
                    // A real link ends at such a frame, and what waits behind it is lost.
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
                    self.turn(i);
                }
            }
        }
    }

    fn turn(&mut self, i: usize) {
        let (now, no_sync) = (self.now_ms, self.planted == Planted::NoSync);
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
            node.lost = true;
            return self.kill(i);
        }
        for (to, frame) in frames {
            self.post(i, to[1..].parse().unwrap(), frame);
        }
        for event in events {
            self.note(i, event);
        }
    }

    fn note(&mut self, i: usize, event: Event) {
        let (number, done, changed) = match event {
            Event::Done(number, outcome) => {
                let done = matches!(outcome, Outcome::Done | Outcome::Unchanged);
                (number, done, outcome == Outcome::Done)
            }
            Event::Read(number) => (number, true, false),
            Event::Expired(number, sent) => {
                // Never sent on: it has no effect, and is no part of the history.
                if let Some(seen) = self.nodes[i].calls.remove(&number).filter(|_| !sent) {
                    self.seen[seen].what = What::Read(None);
                }
                return;
            }
            Event::Changed | Event::DoneFor(..) | Event::ExpiredFor(..) => return,
        };
        let Some(seen) = self.nodes[i].calls.remove(&number).filter(|_| done) else {
            return;
        };
        if let What::Read(held) = &mut self.seen[seen].what {
            let state = self.nodes[i].member().unwrap().state();
            *held = Some(state.excluded.keys().cloned().collect());
        }
        if self.seen[seen].ended_ms.is_none() {
            self.seen[seen].ended_ms = Some(self.now_ms);
            self.seen[seen].changed = changed;
        }
    }

    /// A call at one member; its place in the record.
    pub fn call(&mut self, i: usize, what: What) -> Result<usize, ProposalRejected> {
        let now = self.now_ms;
        let Some(member) = self.nodes[i].peer.as_mut().and_then(Peer::member_mut) else {
            return Err(ProposalRejected::NoMajority(0.0));
        };
        let number = match &what {
            What::Suspend(name) => member.propose(now, Proposal::Suspend(name.clone()))?,
            What::Restore(name) => member.propose(now, Proposal::Restore(name.clone()))?,
            What::Read(_) => member.read(now)?,
        };
        let early = self.planted == Planted::EarlyYes && !matches!(what, What::Read(_));
        let (caller, ended) = (self.seen.len(), early.then_some(now + 0.5));
        let seen = Seen {
            caller,
            began_ms: now,
            ended_ms: ended,
            changed: true,
            what,
        };
        self.seen.push(seen);
        self.nodes[i].calls.insert(number, self.seen.len() - 1);
        Ok(self.seen.len() - 1)
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

    /// Runs until it is so; how long that took.
    pub fn until(&mut self, max_ms: f64, so: impl Fn(&World) -> bool) -> f64 {
        let began = self.now_ms;
        while !so(self) {
            if self.now_ms - began >= max_ms {
                println!("{}", self.standing());
                panic!("seed {}: nothing in {max_ms} ms", self.seed);
            }
            self.run(1.0);
        }
        self.now_ms - began
    }

    /// How all stand, for whoever looks into a failure.
    pub fn standing(&self) -> String {
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

    /// Whether every member votes and somebody leads.
    pub fn whole(&self) -> bool {
        let wanted = self.nodes.len();
        self.leader()
            .is_some_and(|l| self.nodes[l].member().unwrap().voters() == wanted)
            && self.nodes.iter().all(|n| {
                n.member().is_some_and(|m| {
                    let status = m.status(self.now_ms);
                    let votes = status.role != Role::Learner && !status.changing;
                    m.voters() == wanted && m.leader().is_some() && votes
                })
            })
    }
}
