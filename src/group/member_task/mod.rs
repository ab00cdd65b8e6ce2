//! The task of a member, which runs on the group's thread. Passes frames, results of writes and the
//! time to the member, and carries out the actions that the member returns. Guarantees the order of
//! effects: nothing that depends on a write is sent before the write is on the disk. Leaves all
//! decisions of the protocol to the member, and stops taking part once the disk has failed.

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

/// Interval between two ticks of the member.
const TICK: Duration = Duration::from_millis(25);
/// A leader hands leadership over once a disk job takes longer than this, ms.
const DISK_STALL_MS: f64 = 1500.0;
/// Most link events that are handled before the next write, so that one write serves many events.
const MAX_EVENTS_AT_ONCE: usize = 256;
/// Most link events that are queued for the task.
const MAX_QUEUED_EVENTS: usize = 1024;

/// Whether this ingress takes part in the group.
enum Participation {
    Active(Box<Peer>),
    /// This ingress no longer votes, for the given reason, because its state may be wrong.
    Failed(String),
}

/// A call from the rest of the ingress that has no result yet.
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
    /// Calls without a result so far, by the member's call number.
    waiting_calls: BTreeMap<u64, WaitingCall>,
    clock: Clock,
    logged_ms: f64,
    /// The leader that was logged last. `None` if no line about the leader was logged yet.
    logged_leader: Option<Option<String>>,
    /// Durations of the calls that were committed since the last line of statistics, ms.
    call_times_ms: Vec<f64>,
}

impl MemberTask {
    /// Creates the task from the member that the folder holds, or for an ingress with an empty
    /// folder.
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

    /// Updates the identity with which links identify this ingress in their handshake.
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

    /// Stops taking part in the group, because the state of this member may be wrong.
    fn fail(&mut self, why: String) {
        tracing::error!(
            why,
            "member failed and no longer votes; client requests are still served"
        );
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
                Some(event) = events.recv() => self.handle_event(event),
                Some(result) = self.disk.ended() => self.handle_job_result(result),
                request = requests.recv() => match request {
                    Some(request) => first_request = Some(request),
                    None => return Ok(()),
                },
            }
            for _ in 0..MAX_EVENTS_AT_ONCE {
                match events.try_recv() {
                    Ok(event) => self.handle_event(event),
                    Err(_) => break,
                }
            }
            if let Some(request) = first_request {
                self.answer(request);
            }
            while let Ok(request) = requests.try_recv() {
                self.answer(request);
            }
            self.on_tick();
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

    /// Handles the end of the disk's current job, or its failure.
    fn handle_job_result(&mut self, result: JobResult) {
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
            tracing::info!(
                id = self.identity.incarnation.get(),
                "admitted to the group"
            );
        }
    }

    fn on_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        if let Participation::Active(peer) = &mut self.participation {
            peer.tick(now_ms);
            // Calls wait for a disk that makes no progress, and another leader can commit without
            // it.
            let disk_stalled = self.disk.busy_ms(now_ms) > DISK_STALL_MS;
            let leader = peer.member_mut().filter(|member| member.leads());
            if let Some(member) = leader.filter(|_| disk_stalled) {
                tracing::warn!("disk write is stalled: handing leadership over");
                member.step_down();
            }
        }
        if now_ms - self.logged_ms > STATISTICS_INTERVAL_MS {
            self.logged_ms = now_ms;
            self.log_statistics(now_ms);
        }
    }
}

/// Creates the peer from the loaded folder, or a joining one if the folder is empty (`loaded` is
/// `None`). Returns the reason if the ingress cannot take part.
fn peer(
    settings: Settings,
    loaded: Option<Result<StoredMember, StoreError>>,
) -> Result<Peer, String> {
    let unusable = |e: String| format!("its folder cannot be used: {e}");
    let Some(loaded) = loaded else {
        tracing::info!("the folder is empty: requesting admission to the group");
        return Ok(Peer::joining(settings, random_id()));
    };
    let loaded = loaded.map_err(|e| unusable(e.to_string()))?;
    let (group, id, entries) = (loaded.group, loaded.id, loaded.entries.len());
    let peer = Peer::from_member(settings, loaded, 0.0).map_err(|e| unusable(e.to_string()))?;
    tracing::info!(
        group = format!("{group:x}"),
        id,
        entries,
        "loaded the member from its folder"
    );
    Ok(peer)
}
