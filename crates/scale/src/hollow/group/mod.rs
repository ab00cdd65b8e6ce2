//! A group of members and any number of followers in virtual time. Each node runs the group code of
//! a real ingress. Every frame is encoded by its sender, counted, delayed, and decoded by its
//! receiver.

mod change;
mod follower;
mod link;
mod member;

pub use change::Delay;
pub use follower::HollowFollower;
pub use member::HollowMember;

use super::{CpuTimer, Network, Schedule, Traffic};
use change::Changes;
use driftgap_group::{
    Event as MemberEvent, Frame, Hello, Member, MemberFailure, Peer, Proposal, ProposalRejected,
    Role, Settings, StoredMember, Welcome, NEWEST_FORMAT,
};
use follower::ConnectionAction;
use link::{Link, LinkId, Links, Node};
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::time::Duration;

/// Tick interval of a member's event loop, ms; the same as in the program.
const MEMBER_TICK_MS: f64 = 25.0;
/// Tick interval of a follower's event loop, ms; the same as in the program.
const FOLLOWER_TICK_MS: f64 = 50.0;
/// Shortest duration of a write to a member's disk, ms.
const MIN_DISK_WRITE_MS: f64 = 0.5;
/// Longest duration of a write to a member's disk, ms.
const MAX_DISK_WRITE_MS: f64 = 5.0;
/// Time limit for a new group to elect a leader and make all members voters, ms.
const START_TIMEOUT_MS: f64 = 30_000.0;
/// Time limit for all followers to connect, ms.
const CONNECT_TIMEOUT_MS: f64 = 60_000.0;
/// Interval between two checks of a condition that is waited for, ms.
const WAIT_STEP_MS: f64 = 10.0;
/// Identifier of the simulated group.
const GROUP: u64 = 77;
/// First origin of followers' calls; members' origins are smaller.
const FOLLOWER_ORIGINS: u64 = 1 << 40;

/// Why a simulated group failed.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// A member cannot continue.
    #[error("a member failed: {0}")]
    MemberFailure(#[from] MemberFailure),
    /// The leader rejected a proposal.
    #[error("the proposal was rejected: {0}")]
    Refused(#[from] ProposalRejected),
    /// The group has no leader.
    #[error("the group has no leader")]
    NoLeader,
    /// A condition was not met in time.
    #[error("timed out after {timeout_ms} ms of virtual time waiting for {what}")]
    Timeout {
        /// Condition that was waited for.
        what: &'static str,
        /// Time limit, ms.
        timeout_ms: f64,
    },
    /// A node received bytes that it could not decode.
    #[error("received bytes that are not a frame")]
    InvalidFrame,
}

/// Traffic and processor time of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Traffic that the node has sent.
    pub sent: Traffic,
    /// Traffic that the node has received.
    pub received: Traffic,
    /// Processor time that the node has used.
    pub cpu: Duration,
}

impl Load {
    /// Returns the load since an earlier reading.
    pub fn since(self, earlier: Load) -> Load {
        Load {
            sent: self.sent.since(earlier.sent),
            received: self.received.since(earlier.received),
            cpu: self.cpu.saturating_sub(earlier.cpu),
        }
    }
}

/// An event of the simulation.
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
    /// A member's answer to a follower's handshake has arrived.
    HandshakeDone {
        follower: usize,
        member: usize,
    },
}

/// A follower's connection: the link to the member, and the link back.
#[derive(Clone, Copy, Debug)]
struct Connection {
    member: usize,
    to_member: LinkId,
    to_follower: LinkId,
}

/// A simulated group with followers in virtual time.
pub struct GroupWorld {
    schedule: Schedule<Event>,
    network: Network,
    random: Rand64,
    members: Vec<HollowMember>,
    followers: Vec<HollowFollower>,
    /// Connections by follower.
    connections: Vec<Option<Connection>>,
    /// Whether each follower waits for the answer to its handshake.
    connecting: Vec<bool>,
    /// Links by sending and receiving member.
    member_links: BTreeMap<(usize, usize), LinkId>,
    links: Links,
    member_loads: Vec<Load>,
    follower_loads: Vec<Load>,
    largest_burst: u64,
    changes: Changes,
    timer: CpuTimer,
}

impl GroupWorld {
    /// Starts a group and runs it until all members vote and all followers are connected.
    ///
    /// # Errors
    /// A member fails, or the group is not ready in time.
    pub fn start(members: usize, followers: usize, seed: u64) -> Result<GroupWorld, WorldError> {
        let mut world = GroupWorld::empty(members, followers, seed)?;
        world.run_until(
            "all members to vote",
            START_TIMEOUT_MS,
            GroupWorld::all_vote,
        )?;
        for index in 0..followers {
            let phase = world.random.rand_float() * FOLLOWER_TICK_MS;
            world.schedule.after(phase, Event::FollowerTick(index));
        }
        world.run_until(
            "all followers to connect",
            CONNECT_TIMEOUT_MS,
            GroupWorld::all_follow,
        )?;
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
            network: Network::new(seed),
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

    /// Returns the virtual time, ms.
    pub fn now_ms(&self) -> f64 {
        self.schedule.now_ms()
    }

    /// Advances virtual time by `ms`.
    ///
    /// # Errors
    /// A member fails, or a node receives bytes that are not a frame.
    pub fn run(&mut self, ms: f64) -> Result<(), WorldError> {
        let end = self.now_ms() + ms;
        while let Some(event) = self.schedule.next_by(end) {
            self.handle_event(event)?;
        }
        Ok(())
    }

    fn run_until(
        &mut self,
        what: &'static str,
        timeout_ms: f64,
        done: impl Fn(&GroupWorld) -> bool,
    ) -> Result<(), WorldError> {
        let end = self.now_ms() + timeout_ms;
        while !done(self) {
            if self.now_ms() >= end {
                return Err(WorldError::Timeout { what, timeout_ms });
            }
            self.run(WAIT_STEP_MS)?;
        }
        Ok(())
    }

    /// Runs the group until every follower has every proposed change.
    ///
    /// # Errors
    /// The changes do not reach all followers within `timeout_ms`.
    pub fn run_until_replicated(&mut self, timeout_ms: f64) -> Result<(), WorldError> {
        self.run_until("all followers to catch up", timeout_ms, |world| {
            world.changes.all_replicated()
        })
    }

    /// Returns whether all members vote under one leader and no membership change is in progress.
    fn all_vote(&self) -> bool {
        let member_count = self.members.len();
        let votes = |member: &Member| {
            let status = member.status(self.now_ms());
            member.voters() == member_count
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
                .all(|follower| follower.replica().applied > 0)
    }

    /// Returns the index of the leader.
    ///
    /// # Errors
    /// The group has no leader.
    pub fn leader(&self) -> Result<usize, WorldError> {
        let leads = |m: &HollowMember| m.member().is_some_and(Member::leads);
        self.members
            .iter()
            .position(leads)
            .ok_or(WorldError::NoLeader)
    }

    /// Proposes a change to the leader.
    ///
    /// # Errors
    /// The leader rejects the proposal, or there is no leader.
    pub fn propose(&mut self, proposal: Proposal) -> Result<(), WorldError> {
        let now = self.now_ms();
        let leader = self.leader()?;
        let member = self.members[leader]
            .peer
            .member_mut()
            .ok_or(WorldError::NoLeader)?;
        let number = member.propose(now, proposal)?;
        self.changes.proposed(now, (leader, number));
        self.member_turn(leader)
    }

    /// Returns the leader's state.
    ///
    /// # Errors
    /// The group has no leader.
    pub fn state(&self) -> Result<&driftgap_group::State, WorldError> {
        let leader = self.leader()?;
        self.members[leader]
            .member()
            .map(Member::state)
            .ok_or(WorldError::NoLeader)
    }

    /// Returns the traffic and processor time of each member.
    pub fn member_loads(&self) -> &[Load] {
        &self.member_loads
    }

    /// Returns the traffic and processor time of each follower.
    pub fn follower_loads(&self) -> &[Load] {
        &self.follower_loads
    }

    /// Returns the number of followers of each member.
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

    /// Returns the most bytes that one member has sent to followers in one iteration of its event
    /// loop since the last call.
    pub fn take_largest_burst(&mut self) -> u64 {
        std::mem::take(&mut self.largest_burst)
    }

    /// Returns the delays of the changes that have reached all followers since the last call.
    pub fn take_delays(&mut self) -> Vec<Delay> {
        self.changes.take_delays()
    }

    /// Returns the nodes, so that their heap can be measured. Links and the schedule are dropped.
    pub fn into_nodes(self) -> (Vec<HollowMember>, Vec<HollowFollower>) {
        (self.members, self.followers)
    }

    fn handle_event(&mut self, event: Event) -> Result<(), WorldError> {
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
            Event::Frame { link, bytes } => self.deliver_frame(link, &bytes),
            Event::Idle(link) => {
                self.keep_alive(link);
                Ok(())
            }
            Event::HandshakeDone { follower, member } => {
                self.connect(follower, member);
                Ok(())
            }
        }
    }

    fn deliver_frame(&mut self, id: LinkId, bytes: &[u8]) -> Result<(), WorldError> {
        let Some(link) = self.links.get(id) else {
            return Ok(());
        };
        let (from, to) = (link.from, link.to);
        self.load(to).received.count(bytes.len());
        match (from, to) {
            (Node::Member(from), Node::Member(to)) => self.receive_from_member(from, to, bytes),
            (Node::Follower(from), Node::Member(to)) => self.receive_from_follower(from, to, bytes),
            (_, Node::Follower(to)) => self.receive_at_follower(to, bytes),
        }
    }

    fn receive_from_member(
        &mut self,
        from: usize,
        to: usize,
        bytes: &[u8],
    ) -> Result<(), WorldError> {
        let now = self.now_ms();
        let id = self.members[from].member().map_or(0, Member::id);
        let name = self.members[from].name.clone();
        let span = self.timer.begin();
        let read = self.members[to].receive(now, &name, id, bytes);
        self.member_loads[to].cpu += self.timer.end(span);
        if read {
            self.member_turn(to)
        } else {
            Err(WorldError::InvalidFrame)
        }
    }

    fn receive_from_follower(
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
        let read =
            self.members[to].receive_from_follower(now, connection.to_follower.number(), bytes);
        self.member_loads[to].cpu += self.timer.end(span);
        if read {
            self.member_turn(to)
        } else {
            Err(WorldError::InvalidFrame)
        }
    }

    fn receive_at_follower(&mut self, to: usize, bytes: &[u8]) -> Result<(), WorldError> {
        let now = self.now_ms();
        let before = self.followers[to].replica().applied;
        let span = self.timer.begin();
        let read = self.followers[to].receive(now, bytes);
        self.follower_loads[to].cpu += self.timer.end(span);
        if !read {
            return Err(WorldError::InvalidFrame);
        }
        let after = self.followers[to].replica().applied;
        self.changes.follower_applied(now, before, after);
        self.follower_turn(to);
        Ok(())
    }

    fn member_turn(&mut self, index: usize) -> Result<(), WorldError> {
        let now = self.now_ms();
        let span = self.timer.begin();
        let turn = self.members[index].turn(now);
        self.member_loads[index].cpu += self.timer.end(span);
        let turn = turn?;
        if turn.write_started {
            let range_ms = MAX_DISK_WRITE_MS - MIN_DISK_WRITE_MS;
            let ms = MIN_DISK_WRITE_MS + self.random.rand_float() * range_ms;
            self.schedule.after(ms, Event::Written(index));
        }
        self.record_changes(index, &turn.events);
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

    fn record_changes(&mut self, index: usize, events: &[MemberEvent]) {
        let now = self.now_ms();
        let applied = self.members[index].member().map_or(0, Member::applied);
        for event in events {
            if let MemberEvent::Done(number, outcome) = event {
                let pending_followers = self
                    .followers
                    .iter()
                    .filter(|f| f.replica().applied < applied)
                    .count();
                self.changes
                    .committed(now, (index, *number), *outcome, applied, pending_followers);
            }
        }
    }

    fn follower_turn(&mut self, index: usize) {
        let now = self.now_ms();
        let connecting = self.connecting[index];
        let span = self.timer.begin();
        let (frames, action) = self.followers[index].turn(now, connecting);
        self.follower_loads[index].cpu += self.timer.end(span);
        match action {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => self.disconnect(index),
            ConnectionAction::Connect(name) => {
                if let Some(member) = self.members.iter().position(|m| m.name == name) {
                    self.start_handshake(index, member);
                }
            }
        }
        if let Some(connection) = self.connections[index] {
            frames
                .into_iter()
                .for_each(|bytes| self.send(connection.to_member, bytes));
        }
    }

    /// Connects a follower to a member. The handshake takes one trip in each direction.
    fn start_handshake(&mut self, follower: usize, member: usize) {
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
        let delay = self.network.delay() + self.network.delay();
        self.schedule
            .after(delay, Event::HandshakeDone { follower, member });
    }

    fn connect(&mut self, follower: usize, member: usize) {
        let now = self.now_ms();
        let to_member = self.open(Node::Follower(follower), Node::Member(member));
        let to_follower = self.open(Node::Member(member), Node::Follower(follower));
        self.connections[follower] = Some(Connection {
            member,
            to_member,
            to_follower,
        });
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
            .follower_disconnected(connection.to_follower.number());
        self.links.close(connection.to_member);
        self.links.close(connection.to_follower);
    }

    fn open(&mut self, from: Node, to: Node) -> LinkId {
        let link = Link::new(from, to, self.now_ms());
        let due = link.idle_due_ms();
        let id = self.links.open(link);
        self.schedule.at(due, Event::Idle(id));
        id
    }

    /// Sends a keep-alive frame if a link has been idle for long enough.
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
        let (busy, delay) = (
            self.network.transmission_ms(bytes.len()),
            self.network.delay(),
        );
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
