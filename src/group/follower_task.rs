//! The task of a follower, which runs on the group's thread. Passes frames and the time to the
//! follower, and carries out the actions that the follower returns. Owns the one connection to a
//! member: there is never a second one, and no call waits for a member that has disconnected.

use super::cached_replica::{CachedReplica, ReplicaWriter};
use super::call::{CallResult, MembershipStatus, Request, View};
use super::clock::{Clock, STATISTICS_INTERVAL_MS};
use super::link::{follow, FollowerLinkEvent, LinkIdentity, LinkSender, LinkStatistics};
use super::settings::GroupSettings;
use driftgap_group::{Follower, MemberAnswer, Outcome, Proposal, Replica, NEWEST_FORMAT};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::MissedTickBehavior;

/// Interval between two ticks of the follower.
const TICK: Duration = Duration::from_millis(50);
/// Most link events that are queued for the task.
const MAX_QUEUED_EVENTS: usize = 256;

/// The task of a follower.
pub(super) struct FollowerTask {
    settings: GroupSettings,
    identity: Rc<LinkIdentity>,
    follower: Follower,
    /// `None` while no connection is up.
    sender: Option<Rc<LinkSender>>,
    /// The connection's task. `None` if there is no connection and none is being made.
    link: Option<AbortHandle>,
    link_statistics: Rc<LinkStatistics>,
    /// Calls without a result so far, by the follower's call number.
    waiting_calls: BTreeMap<u64, oneshot::Sender<CallResult>>,
    view: watch::Sender<View>,
    /// `None` without a folder.
    writer: Option<ReplicaWriter>,
    clock: Clock,
    logged_ms: f64,
}

impl FollowerTask {
    /// Creates a follower that starts with the copy of an earlier run, if its folder holds one.
    pub(super) fn new(
        settings: GroupSettings,
        name: String,
        origin: u64,
        cached: Option<CachedReplica>,
        view: watch::Sender<View>,
    ) -> std::io::Result<FollowerTask> {
        let loaded = cached.as_ref().and_then(CachedReplica::load);
        let writer = cached
            .map(|cached| cached.into_writer(loaded.as_ref()))
            .transpose()?;
        let copy = loaded.unwrap_or_default();
        view.send_replace(view_of(&copy));
        let members = settings.members.keys().map(String::as_str);
        let follower = Follower::new(&name, origin, members, copy, 0.0);
        let identity = LinkIdentity {
            name,
            newest_format: NEWEST_FORMAT,
            ..LinkIdentity::default()
        };
        Ok(FollowerTask {
            settings,
            identity: Rc::new(identity),
            follower,
            sender: None,
            link: None,
            link_statistics: Rc::default(),
            waiting_calls: BTreeMap::new(),
            view,
            writer,
            clock: Clock::start(),
            logged_ms: 0.0,
        })
    }

    /// Runs until the rest of the ingress has dropped its handle.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
    ) -> std::io::Result<()> {
        let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                Some(event) = events.recv() => self.handle_event(event),
                request = requests.recv() => match request {
                    Some(request) => self.answer(request),
                    None => return Ok(()),
                },
            }
            self.on_tick();
            self.open_link(&event_sender);
            self.send_frames();
            self.publish_copy();
            self.complete_calls();
        }
    }

    fn handle_event(&mut self, event: FollowerLinkEvent) {
        let now_ms = self.clock.now_ms();
        match event {
            FollowerLinkEvent::Up { sender, group } => {
                self.sender = Some(sender);
                self.follower.connected(now_ms, group);
                tracing::info!(member = self.follower.next_member().0, "following member");
            }
            FollowerLinkEvent::Frame(frame) => self.follower.receive(now_ms, *frame),
            FollowerLinkEvent::Down => self.drop_link(),
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.follower.tick(now_ms);
        if self.follower.leaves_stale_member(now_ms) {
            tracing::info!("the member's replica is stale: switching to another member");
            self.end_link();
        }
        if now_ms - self.logged_ms > STATISTICS_INTERVAL_MS {
            self.logged_ms = now_ms;
            self.log_statistics(now_ms);
        }
        if self.follower.is_silent(now_ms) {
            self.drop_link();
        }
    }

    fn log_statistics(&self, now_ms: f64) {
        let member = self.follower.is_up().then(|| self.follower.next_member().0);
        tracing::info!(
            member,
            applied = self.follower.replica().applied,
            age_ms = self.follower.age_ms(now_ms).map(f64::round),
            "follower statistics"
        );
    }

    /// Connects to the member that the follower has chosen, once its backoff has passed.
    fn open_link(&mut self, events: &mpsc::Sender<FollowerLinkEvent>) {
        let (member, connect_at_ms) = self.follower.next_member();
        if self.link.is_some() || self.clock.now_ms() < connect_at_ms {
            return;
        }
        let Some(address) = self.settings.members.get(member) else {
            return;
        };
        let link = spawn_local(follow(
            self.identity.clone(),
            member.to_string(),
            *address,
            events.clone(),
            self.link_statistics.clone(),
        ));
        self.link = Some(link.abort_handle());
    }

    /// Ends the link. Returns false if there was none.
    fn end_link(&mut self) -> bool {
        self.sender = None;
        self.link.take().inspect(AbortHandle::abort).is_some()
    }

    fn drop_link(&mut self) {
        let now_ms = self.clock.now_ms();
        if self.end_link() {
            self.follower.disconnected(now_ms);
        }
    }

    fn send_frames(&mut self) {
        if let Some(sender) = &self.sender {
            for frame in self.follower.frames() {
                sender.send(&frame);
            }
        }
    }

    /// Publishes a replica that has changed, and queues it for the disk. Does not wait for the
    /// disk, which may be slow: a follower that crashes before the write restarts with the previous
    /// copy.
    fn publish_copy(&mut self) {
        if !self.follower.changed() {
            return;
        }
        let copy = self.follower.replica();
        // Queued before it is published: an index that is visible but not written must not be
        // reported as stored.
        if let Some(writer) = &mut self.writer {
            writer.store(copy.clone());
        }
        self.view.send_replace(view_of(copy));
    }

    fn complete_calls(&mut self) {
        for (number, answered) in self.follower.ended() {
            let Some(answer) = self.waiting_calls.remove(&number) else {
                continue;
            };
            let mut view = self.view.borrow().clone();
            view.applied = self.follower.replica().applied;
            let _ = answer.send(match answered {
                MemberAnswer::Done(outcome) => CallResult::Done(outcome, view),
                MemberAnswer::Read => CallResult::Done(Outcome::Done, view),
                MemberAnswer::Refused(why) => CallResult::Refused(why),
                MemberAnswer::Unknown => CallResult::Unknown,
            });
        }
    }

    fn answer(&mut self, request: Request) {
        match request {
            Request::Proposal(proposal, answer) => self.begin_call(Some(proposal), answer),
            Request::Read(answer) => self.begin_call(None, answer),
            Request::MembershipStatus(answer) => drop(answer.send(self.status())),
            Request::Leave(answer) => drop(answer.send(())),
        }
    }

    fn begin_call(&mut self, proposal: Option<Proposal>, answer: oneshot::Sender<CallResult>) {
        let now_ms = self.clock.now_ms();
        match self.follower.call(now_ms, proposal) {
            Some(number) => drop(self.waiting_calls.insert(number, answer)),
            None => drop(answer.send(CallResult::Refused("too many calls are under way".into()))),
        }
    }

    fn status(&self) -> MembershipStatus {
        let member = self.follower.is_up().then(|| self.follower.next_member().0);
        MembershipStatus::Follower {
            member: member.map(String::from),
            applied: self.follower.replica().applied,
            age_ms: self.follower.age_ms(self.clock.now_ms()),
            stored: self.stored(),
        }
    }

    /// Returns the log index up to which the copy on the disk is complete, or `None` if nothing is
    /// on the disk.
    fn stored(&self) -> Option<u64> {
        let applied = self.follower.replica().applied;
        self.writer.as_ref()?.stored(applied)
    }
}

/// Converts a replica to the view that the rest of the ingress reads.
fn view_of(copy: &Replica) -> View {
    View {
        excluded: Arc::new(copy.excluded.clone()),
        documents: Arc::new(copy.documents.clone()),
        applied: copy.applied,
    }
}
