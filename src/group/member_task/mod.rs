//! The task of a member, on the group's thread: it carries frames, the ends of writes and time to the member, and away
//! what follows from them. It owns their order: nothing that follows from a write goes out before the disk has it. It
//! must never decide what the group agrees on, or go on as a member once its disk has failed.

mod disk;
mod links;
mod progress;
mod requests;
mod statistics;

use super::call::{CallResult, Request, View};
use super::clock::{Clock, STATISTICS_INTERVAL_MS};
use super::link::{listen, LinkEvent, LinkIdentity, LinkSender, LinkStatistics, MemberLink};
use super::random_id;
use super::settings::GroupSettings;
use super::store::{Identity, Store, StoreError};
use disk::{Disk, JobResult};
use driftgap_group::{Member, Peer, Settings, StoredMember};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// How often the member gets the time.
const TICK: Duration = Duration::from_millis(25);
/// A leader whose disk has not done a job for so long gives leadership away, ms.
const DISK_HANGS_MS: f64 = 1500.0;
/// Link events taken before the disk is written, so that one write serves many.
const MAX_EVENTS_AT_ONCE: usize = 256;
/// Link events that wait for the task.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Whether this ingress takes part.
enum Participation {
    Active(Box<Peer>),
    /// It votes no more, and why: what it says could be wrong.
    Failed(String),
}

/// A call of the rest of the ingress without a result so far.
struct WaitingCall {
    answer: oneshot::Sender<CallResult>,
    began: Instant,
}

/// The task of a member.
pub(super) struct MemberTask {
    disk: Disk,
    participation: Participation,
    identity: Rc<LinkIdentity>,
    link_statistics: Rc<LinkStatistics>,
    /// Links to other members, by name.
    links: BTreeMap<String, MemberLink>,
    /// Followers, by connection.
    followers: BTreeMap<u64, Rc<LinkSender>>,
    view: watch::Sender<View>,
    /// By the member's number.
    waiting_calls: BTreeMap<u64, WaitingCall>,
    clock: Clock,
    logged_ms: f64,
    /// The leader that was logged last; none: nothing was logged.
    logged_leader: Option<Option<String>>,
    /// How long calls took that were done, ms.
    call_times_ms: Vec<f64>,
}

impl MemberTask {
    /// A member with what its folder holds, or an ingress with an empty folder.
    pub(super) fn new(
        settings: GroupSettings,
        name: String,
        store: Store,
        identity: Option<Identity>,
        view: watch::Sender<View>,
    ) -> std::io::Result<MemberTask> {
        let loaded = identity.map(|_| store.load());
        let mut member_settings = Settings::new(&name, random_id(), settings.addresses());
        member_settings.newest_format = settings.newest_format();
        let mut task = MemberTask {
            disk: Disk::start(store, name.clone())?,
            identity: Rc::new(LinkIdentity {
                name,
                newest_format: settings.newest_format(),
                ..LinkIdentity::default()
            }),
            participation: Participation::Failed(String::new()),
            link_statistics: Rc::default(),
            links: BTreeMap::new(),
            followers: BTreeMap::new(),
            view,
            waiting_calls: BTreeMap::new(),
            clock: Clock::start(),
            logged_ms: 0.0,
            logged_leader: None,
            call_times_ms: Vec::new(),
        };
        match peer(member_settings, loaded) {
            Ok(peer) => task.participation = Participation::Active(Box::new(peer)),
            Err(why) => task.fail(why),
        }
        task.update_identity();
        Ok(task)
    }

    /// Links greet as the member that this is now.
    fn update_identity(&self) {
        if let Some(member) = self.member() {
            self.identity.group.set(member.group());
            self.identity.incarnation.set(member.id());
            self.identity.format.set(member.state().format_version());
        }
    }

    fn member(&self) -> Option<&Member> {
        match &self.participation {
            Participation::Active(peer) => peer.member(),
            Participation::Failed(_) => None,
        }
    }

    /// It votes no more: what it says could be wrong.
    fn fail(&mut self, why: String) {
        tracing::error!(why, "this member votes no more; commands are served on");
        self.participation = Participation::Failed(why);
        for (_, follower) in std::mem::take(&mut self.followers) {
            follower.close();
        }
        for (_, call) in std::mem::take(&mut self.waiting_calls) {
            let _ = call.answer.send(CallResult::Unknown);
        }
    }

    /// Runs until the rest of the ingress has dropped its handle.
    pub(super) async fn run(
        mut self,
        listener: std::net::TcpListener,
        mut requests: mpsc::Receiver<Request>,
    ) -> std::io::Result<()> {
        let (event_sender, mut events) = mpsc::channel(MAX_QUEUED_EVENTS);
        self.listen(listener, &event_sender)?;
        self.reconcile_links(&event_sender);
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut first_request = None;
            tokio::select! {
                _ = tick.tick() => {}
                Some(event) = events.recv() => self.take_event(event),
                Some(result) = self.disk.ended() => self.take_job_result(result),
                request = requests.recv() => match request {
                    Some(request) => first_request = Some(request),
                    None => return Ok(()),
                },
            }
            for _ in 0..MAX_EVENTS_AT_ONCE {
                match events.try_recv() {
                    Ok(event) => self.take_event(event),
                    Err(_) => break,
                }
            }
            if let Some(request) = first_request {
                self.answer(request);
            }
            while let Ok(request) = requests.try_recv() {
                self.answer(request);
            }
            self.pass_time();
            let links_ended = self.end_dead_links();
            let state_changed = self.make_progress();
            if state_changed || links_ended {
                self.reconcile_links(&event_sender);
            }
        }
    }

    fn listen(
        &self,
        listener: std::net::TcpListener,
        events: &mpsc::Sender<LinkEvent>,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        tokio::task::spawn_local(listen(
            listener,
            self.identity.clone(),
            events.clone(),
            self.link_statistics.clone(),
        ));
        Ok(())
    }

    /// The disk has done its job, or failed.
    fn take_job_result(&mut self, result: JobResult) {
        let now_ms = self.clock.now_ms();
        let Participation::Active(peer) = &mut self.participation else {
            return;
        };
        let was_member = peer.member().is_some();
        let done = match result {
            Ok(()) => peer
                .written(now_ms)
                .map_err(|e| format!("its folder cannot be used: {e}")),
            Err(e) => Err(format!("its disk has failed: {e}")),
        };
        if let Err(why) = done {
            return self.fail(why);
        }
        if !was_member {
            self.update_identity();
            tracing::info!(id = self.identity.incarnation.get(), "let into the group");
        }
    }

    fn pass_time(&mut self) {
        let now_ms = self.clock.now_ms();
        if let Participation::Active(peer) = &mut self.participation {
            peer.tick(now_ms);
            // Calls wait for what the disk does not take; another member leads without that.
            let disk_hangs = self.disk.busy_ms(now_ms) > DISK_HANGS_MS;
            let leader = peer.member_mut().filter(|member| member.leads());
            if let Some(member) = leader.filter(|_| disk_hangs) {
                tracing::warn!("the disk hangs: gives leadership away");
                member.step_down();
            }
        }
        if now_ms - self.logged_ms > STATISTICS_INTERVAL_MS {
            self.logged_ms = now_ms;
            self.log_statistics(now_ms);
        }
    }
}

/// The ingress as its folder has it; none loaded: the folder is empty. An error says why it cannot take part.
fn peer(
    settings: Settings,
    loaded: Option<Result<StoredMember, StoreError>>,
) -> Result<Peer, String> {
    let unusable = |e: String| format!("its folder cannot be used: {e}");
    let Some(loaded) = loaded else {
        tracing::info!("the folder is empty: asks to be let into the group");
        return Ok(Peer::joining(settings, random_id()));
    };
    let loaded = loaded.map_err(|e| unusable(e.to_string()))?;
    let (group, id, entries) = (loaded.group, loaded.id, loaded.entries.len());
    let peer = Peer::from_member(settings, loaded, 0.0).map_err(|e| unusable(e.to_string()))?;
    tracing::info!(
        group = format!("{group:x}"),
        id,
        entries,
        "member of the group"
    );
    Ok(peer)
}
