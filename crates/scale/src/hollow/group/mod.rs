//! A group of members with any number of followers, each with the code of a real ingress' group thread, in virtual time.
//! Every frame goes over its link as bytes: encoded by its sender, counted, delayed, and decoded by its receiver.

mod change;
mod follower;
mod link;
mod member;

pub use change::Delay;
pub use follower::HollowFollower;
pub use member::HollowMember;

use super::{CpuTimer, Schedule, Traffic, Wire};
use change::Changes;
use driftgap_group::{
    Event as MemberEvent, Frame, Hello, Member, MemberFailure, Peer, Proposal, ProposalRejected,
    Role, Settings, StoredMember, Welcome, NEWEST_FORMAT,
};
use follower::Wants;
use link::{Link, LinkId, Links, Node};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often time is told to a member, ms: the tick of the group's thread.
const MEMBER_TICK_MS: f64 = 25.0;
/// The same of a follower.
const FOLLOWER_TICK_MS: f64 = 50.0;
/// Shortest write to a member's disk, ms.
const MIN_DISK_WRITE_MS: f64 = 0.5;
/// Longest write to a member's disk, ms.
const MAX_DISK_WRITE_MS: f64 = 5.0;
/// A new group that has no leader and all its voters by then never will, ms.
const START_MS: f64 = 30_000.0;
/// Followers that are not all linked by then never will be, ms.
const LINK_MS: f64 = 60_000.0;
/// Steps in which a start is waited for, ms.
const WAIT_STEP_MS: f64 = 10.0;
/// The number of the hollow group.
const GROUP: u64 = 77;
/// Origins of followers' calls begin here: members' are below.
const FOLLOWER_ORIGINS: u64 = 1 << 40;

/// Why a hollow group cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// A member cannot be one any more.
    #[error("a member is lost: {0}")]
    MemberFailure(#[from] MemberFailure),
    /// A call was refused.
    #[error("a call was refused: {0}")]
    Refused(#[from] ProposalRejected),
    /// Nobody leads.
    #[error("the group has no leader")]
    NoLeader,
    /// What was waited for did not come.
    #[error("{what} has not come in {within_ms} ms of virtual time")]
    Late {
        /// What was waited for.
        what: &'static str,
        /// For how long.
        within_ms: f64,
    },
    /// A node has sent bytes that another one could not read.
    #[error("bytes on a link that are no frame")]
    NoFrame,
}

/// What one machine has sent, received and computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Sent.
    pub sent: Traffic,
    /// Received.
    pub received: Traffic,
    /// Time on the processor.
    pub cpu: Duration,
}

impl Load {
    /// What came in after an earlier reading.
    pub fn since(self, earlier: Load) -> Load {
        Load {
            sent: self.sent.since(earlier.sent),
            received: self.received.since(earlier.received),
            cpu: self.cpu.saturating_sub(earlier.cpu),
        }
    }
}

/// What happens on the schedule.
#[derive(Debug)]
enum Event {
    MemberTick(usize),
    FollowerTick(usize),
    Written(usize),
    Frame {
        link: LinkId,
        bytes: Vec<u8>,
    },
    Idle(LinkId),
    /// A follower's greeting has been answered.
    Welcomed {
        follower: usize,
        member: usize,
    },
}

/// A follower's connection: the link to its member, and the one back.
#[derive(Clone, Copy, Debug)]
struct Connection {
    member: usize,
    up: LinkId,
    down: LinkId,
}

/// A group with followers in virtual time.
pub struct GroupWorld {
    schedule: Schedule<Event>,
    wire: Wire,
    random: Rand64,
    members: Vec<HollowMember>,
    followers: Vec<HollowFollower>,
    /// By follower.
    connections: Vec<Option<Connection>>,
    /// Which followers wait for the answer to their greeting.
    connecting: Vec<bool>,
    /// From member to member.
    member_links: BTreeMap<(usize, usize), LinkId>,
    links: Links,
    member_loads: Vec<Load>,
    follower_loads: Vec<Load>,
    largest_burst: u64,
    changes: Changes,
    timer: CpuTimer,
}

impl GroupWorld {
    /// A group whose members all vote, with followers that are all linked.
    ///
    /// # Errors
    /// The group does not come up.
    pub fn start(members: usize, followers: usize, seed: u64) -> Result<GroupWorld, WorldError> {
        let mut world = GroupWorld::empty(members, followers, seed)?;
        world.run_until("a group in which all vote", START_MS, GroupWorld::all_vote)?;
        for index in 0..followers {
            let phase = world.random.rand_float() * FOLLOWER_TICK_MS;
            world.schedule.after(phase, Event::FollowerTick(index));
        }
        world.run_until("a link of every follower", LINK_MS, GroupWorld::all_follow)?;
        Ok(world)
    }

    fn empty(members: usize, followers: usize, seed: u64) -> Result<GroupWorld, WorldError> {
        let names: Vec<String> = (0..members).map(|index| format!("m{index}")).collect();
        let addresses: BTreeMap<String, String> = names
            .iter()
            .enumerate()
            .map(|(index, name)| (name.clone(), address(index)))
            .collect();
        let schedule = Schedule::new(1000.0);
        let now = schedule.now_ms();
        let mut world = GroupWorld {
            schedule,
            wire: Wire::new(seed),
            random: Rand64::new(u128::from(seed) ^ 0x5eed),
            members: Vec::new(),
            followers: (0..followers)
                .map(|index| {
                    let origin = FOLLOWER_ORIGINS + index as u64;
                    HollowFollower::new(&format!("f{index}"), origin, &names, now)
                })
                .collect(),
            connections: vec![None; followers],
            connecting: vec![false; followers],
            member_links: BTreeMap::new(),
            links: Links::default(),
            member_loads: vec![Load::default(); members],
            follower_loads: vec![Load::default(); followers],
            largest_burst: 0,
            changes: Changes::default(),
            timer: CpuTimer::calibrated(),
        };
        for (index, name) in names.iter().enumerate() {
            let mut settings = Settings::new(name, index as u64 + 1, addresses.clone());
            settings.seed = seed ^ (index as u64) << 8;
            let nonce = world.random.rand_u64();
            let peer = match index {
                0 => Peer::from_member(
                    settings,
                    StoredMember::first(GROUP, name, &address(0), nonce),
                    now,
                )?,
                _ => Peer::joining(settings, nonce),
            };
            world.members.push(HollowMember::new(name, peer));
            let phase = world.random.rand_float() * MEMBER_TICK_MS;
            world.schedule.after(phase, Event::MemberTick(index));
        }
        world.link_members(&names);
        Ok(world)
    }

    fn link_members(&mut self, names: &[String]) {
        for from in 0..names.len() {
            for to in (0..names.len()).filter(|to| *to != from) {
                let link = self.open(Node::Member(from), Node::Member(to));
                self.member_links.insert((from, to), link);
                self.members[to]
                    .peer
                    .note_newest_format(&names[from], NEWEST_FORMAT);
            }
        }
    }

    /// The time, ms.
    pub fn now_ms(&self) -> f64 {
        self.schedule.now_ms()
    }

    /// Lets so much time pass, ms.
    ///
    /// # Errors
    /// A member is lost, or bytes are no frame.
    pub fn run(&mut self, ms: f64) -> Result<(), WorldError> {
        let end = self.now_ms() + ms;
        while let Some(event) = self.schedule.next_by(end) {
            self.take(event)?;
        }
        Ok(())
    }

    fn run_until(
        &mut self,
        what: &'static str,
        within_ms: f64,
        done: impl Fn(&GroupWorld) -> bool,
    ) -> Result<(), WorldError> {
        let end = self.now_ms() + within_ms;
        while !done(self) {
            if self.now_ms() >= end {
                return Err(WorldError::Late { what, within_ms });
            }
            self.run(WAIT_STEP_MS)?;
        }
        Ok(())
    }

    /// Lets time pass until every change that was asked for is with every follower.
    ///
    /// # Errors
    /// They are not within so long, ms.
    pub fn run_until_in_force(&mut self, within_ms: f64) -> Result<(), WorldError> {
        self.run_until("a change at every follower", within_ms, |world| {
            world.changes.all_in_force()
        })
    }

    /// Whether all members vote under one leader and nobody's place is being changed.
    fn all_vote(&self) -> bool {
        let wanted = self.members.len();
        let votes = |member: &Member| {
            let status = member.status(self.now_ms());
            member.voters() == wanted
                && status.leader.is_some()
                && status.role != Role::Learner
                && !status.changing
        };
        self.leader().is_ok() && self.members.iter().all(|m| m.member().is_some_and(votes))
    }

    fn all_follow(&self) -> bool {
        self.connections.iter().all(Option::is_some)
            && self
                .followers
                .iter()
                .all(|follower| follower.copy().applied > 0)
    }

    /// The member that leads.
    ///
    /// # Errors
    /// None does.
    pub fn leader(&self) -> Result<usize, WorldError> {
        let leads = |m: &HollowMember| m.member().is_some_and(Member::leads);
        self.members
            .iter()
            .position(leads)
            .ok_or(WorldError::NoLeader)
    }

    /// Asks the leader for a change.
    ///
    /// # Errors
    /// It refuses, or there is none.
    pub fn ask(&mut self, proposal: Proposal) -> Result<(), WorldError> {
        let now = self.now_ms();
        let leader = self.leader()?;
        let member = self.members[leader]
            .peer
            .member_mut()
            .ok_or(WorldError::NoLeader)?;
        let number = member.propose(now, proposal)?;
        self.changes.asked(now, (leader, number));
        self.member_turn(leader)
    }

    /// What the leader holds.
    ///
    /// # Errors
    /// There is none.
    pub fn state(&self) -> Result<&driftgap_group::State, WorldError> {
        let leader = self.leader()?;
        self.members[leader]
            .member()
            .map(Member::state)
            .ok_or(WorldError::NoLeader)
    }

    /// What each member has sent, received and computed.
    pub fn member_loads(&self) -> &[Load] {
        &self.member_loads
    }

    /// What each follower has sent, received and computed.
    pub fn follower_loads(&self) -> &[Load] {
        &self.follower_loads
    }

    /// How many follow each member.
    pub fn followers_by_member(&self) -> Vec<usize> {
        let count = |member| {
            self.connections
                .iter()
                .flatten()
                .filter(|c| c.member == member)
                .count()
        };
        (0..self.members.len()).map(count).collect()
    }

    /// Most bytes that one member has handed to its links at one turn since this was last asked.
    pub fn take_largest_burst(&mut self) -> u64 {
        std::mem::take(&mut self.largest_burst)
    }

    /// Delays of the changes that have come into force since this was last asked.
    pub fn take_delays(&mut self) -> Vec<Delay> {
        self.changes.take_delays()
    }

    /// The nodes, to be weighed; links and the schedule end.
    pub fn into_nodes(self) -> (Vec<HollowMember>, Vec<HollowFollower>) {
        (self.members, self.followers)
    }

    fn take(&mut self, event: Event) -> Result<(), WorldError> {
        let now = self.now_ms();
        match event {
            Event::MemberTick(index) => {
                self.schedule
                    .after(MEMBER_TICK_MS, Event::MemberTick(index));
                self.member_turn(index)
            }
            Event::FollowerTick(index) => {
                self.schedule
                    .after(FOLLOWER_TICK_MS, Event::FollowerTick(index));
                self.follower_turn(index);
                Ok(())
            }
            Event::Written(index) => {
                self.members[index].written(now)?;
                self.member_turn(index)
            }
            Event::Frame { link, bytes } => self.arrive(link, &bytes),
            Event::Idle(link) => {
                self.keep_alive(link);
                Ok(())
            }
            Event::Welcomed { follower, member } => {
                self.connect(follower, member);
                Ok(())
            }
        }
    }

    fn arrive(&mut self, id: LinkId, bytes: &[u8]) -> Result<(), WorldError> {
        let Some(link) = self.links.get(id) else {
            return Ok(());
        };
        let (from, to) = (link.from, link.to);
        self.load(to).received.count(bytes.len());
        match (from, to) {
            (Node::Member(from), Node::Member(to)) => self.member_hears(from, to, bytes),
            (Node::Follower(from), Node::Member(to)) => self.member_hears_follower(from, to, bytes),
            (_, Node::Follower(to)) => self.follower_hears(to, bytes),
        }
    }

    fn member_hears(&mut self, from: usize, to: usize, bytes: &[u8]) -> Result<(), WorldError> {
        let now = self.now_ms();
        let id = self.members[from].member().map_or(0, Member::id);
        let name = self.members[from].name.clone();
        let span = self.timer.begin();
        let read = self.members[to].hear(now, &name, id, bytes);
        self.member_loads[to].cpu += self.timer.end(span);
        if read {
            self.member_turn(to)
        } else {
            Err(WorldError::NoFrame)
        }
    }

    fn member_hears_follower(
        &mut self,
        from: usize,
        to: usize,
        bytes: &[u8],
    ) -> Result<(), WorldError> {
        let Some(connection) = self.connections[from] else {
            return Ok(());
        };
        let now = self.now_ms();
        let span = self.timer.begin();
        let read = self.members[to].hear_follower(now, connection.down.number(), bytes);
        self.member_loads[to].cpu += self.timer.end(span);
        if read {
            self.member_turn(to)
        } else {
            Err(WorldError::NoFrame)
        }
    }

    fn follower_hears(&mut self, to: usize, bytes: &[u8]) -> Result<(), WorldError> {
        let now = self.now_ms();
        let before = self.followers[to].copy().applied;
        let span = self.timer.begin();
        let read = self.followers[to].hear(now, bytes);
        self.follower_loads[to].cpu += self.timer.end(span);
        if !read {
            return Err(WorldError::NoFrame);
        }
        let after = self.followers[to].copy().applied;
        self.changes.reached(now, before, after);
        self.follower_turn(to);
        Ok(())
    }

    fn member_turn(&mut self, index: usize) -> Result<(), WorldError> {
        let now = self.now_ms();
        let span = self.timer.begin();
        let turn = self.members[index].turn(now);
        self.member_loads[index].cpu += self.timer.end(span);
        let turn = turn?;
        if turn.writes {
            let range_ms = MAX_DISK_WRITE_MS - MIN_DISK_WRITE_MS;
            let ms = MIN_DISK_WRITE_MS + self.random.rand_float() * range_ms;
            self.schedule.after(ms, Event::Written(index));
        }
        self.note_changes(index, &turn.events);
        let burst: usize = turn.to_followers.iter().map(|(_, bytes)| bytes.len()).sum();
        self.largest_burst = self.largest_burst.max(burst as u64);
        for (name, bytes) in turn.to_members {
            let to = self.members.iter().position(|member| member.name == name);
            let link = to
                .and_then(|to| self.member_links.get(&(index, to)))
                .copied();
            if let Some(link) = link {
                self.send(link, bytes);
            }
        }
        for (connection, bytes) in turn.to_followers {
            self.send(LinkId::from_number(connection), bytes);
        }
        Ok(())
    }

    fn note_changes(&mut self, index: usize, events: &[MemberEvent]) {
        let now = self.now_ms();
        let applied = self.members[index].member().map_or(0, Member::applied);
        for event in events {
            if let MemberEvent::Done(number, outcome) = event {
                let lacking = self
                    .followers
                    .iter()
                    .filter(|f| f.copy().applied < applied)
                    .count();
                self.changes
                    .agreed(now, (index, *number), *outcome, applied, lacking);
            }
        }
    }

    fn follower_turn(&mut self, index: usize) {
        let now = self.now_ms();
        let connecting = self.connecting[index];
        let span = self.timer.begin();
        let (frames, wants) = self.followers[index].turn(now, connecting);
        self.follower_loads[index].cpu += self.timer.end(span);
        match wants {
            Wants::Nothing => {}
            Wants::End => self.disconnect(index),
            Wants::Connect(name) => {
                if let Some(member) = self.members.iter().position(|m| m.name == name) {
                    self.greet(index, member);
                }
            }
        }
        if let Some(connection) = self.connections[index] {
            frames
                .into_iter()
                .for_each(|bytes| self.send(connection.up, bytes));
        }
    }

    /// A follower connects to a member: the greeting and its answer, a trip each.
    fn greet(&mut self, follower: usize, member: usize) {
        self.connecting[follower] = true;
        let name = &self.members[member].name;
        let hello = Hello::new(NEWEST_FORMAT, 0, 0, &format!("f{follower}"), name)
            .bytes()
            .len();
        let welcome = Welcome {
            format_version: NEWEST_FORMAT,
            group: GROUP,
            id: member as u64 + 1,
        }
        .bytes()
        .len();
        self.follower_loads[follower].sent.count(hello);
        self.member_loads[member].received.count(hello);
        self.member_loads[member].sent.count(welcome);
        self.follower_loads[follower].received.count(welcome);
        let delay = self.wire.delay() + self.wire.delay();
        self.schedule
            .after(delay, Event::Welcomed { follower, member });
    }

    fn connect(&mut self, follower: usize, member: usize) {
        let now = self.now_ms();
        let up = self.open(Node::Follower(follower), Node::Member(member));
        let down = self.open(Node::Member(member), Node::Follower(follower));
        self.connections[follower] = Some(Connection { member, up, down });
        self.connecting[follower] = false;
        self.followers[follower].connected(now, GROUP);
        self.follower_turn(follower);
    }

    fn disconnect(&mut self, follower: usize) {
        let Some(connection) = self.connections[follower].take() else {
            return;
        };
        self.members[connection.member]
            .peer
            .follower_disconnected(connection.down.number());
        self.links.close(connection.up);
        self.links.close(connection.down);
    }

    fn open(&mut self, from: Node, to: Node) -> LinkId {
        let link = Link::new(from, to, self.now_ms());
        let due = link.idle_due_ms();
        let id = self.links.open(link);
        self.schedule.at(due, Event::Idle(id));
        id
    }

    /// Says that a link is there, if nothing has been sent over it for long enough.
    fn keep_alive(&mut self, id: LinkId) {
        let now = self.now_ms();
        let Some(link) = self.links.get(id) else {
            return;
        };
        if link.is_idle(now) {
            self.send(id, Frame::Idle.bytes());
        }
        if let Some(link) = self.links.get(id) {
            self.schedule.at(link.idle_due_ms(), Event::Idle(id));
        }
    }

    fn send(&mut self, id: LinkId, bytes: Vec<u8>) {
        let now = self.now_ms();
        let (busy, delay) = (self.wire.busy_ms(bytes.len()), self.wire.delay());
        let Some(arrival) = self.links.send(id, now, busy, delay) else {
            return;
        };
        if let Some(from) = self.links.get(id).map(|link| link.from) {
            self.load(from).sent.count(bytes.len());
        }
        self.schedule.at(arrival, Event::Frame { link: id, bytes });
    }

    fn load(&mut self, node: Node) -> &mut Load {
        match node {
            Node::Member(index) => &mut self.member_loads[index],
            Node::Follower(index) => &mut self.follower_loads[index],
        }
    }
}

fn address(index: usize) -> String {
    format!("10.0.0.{}:7201", index + 1)
}
