//! The group's thread: it carries frames, writes and time to the member, and what follows from them away. It owns the
//! order of those: nothing that follows from a write goes out before the disk has it. It must never decide what the
//! group agrees on, or go on as a member once its disk has failed.

use super::links::{listen, Counts, Link, Outlet, Own, Update, MAX_FOLLOWERS};
use super::store::{Identity, Store, StoreError};
use super::{fresh, Ended, GroupSettings, MembershipStatus, Request, View};
use driftgap_group::{Event, Job, Loaded, Member, Outcome, Peer, Proposal, Settings, Standing};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// How often time is told to the member.
const TICK: Duration = Duration::from_millis(25);
/// A leader whose disk has not done a job for so long gives leadership away, ms.
const HANGS_MS: f64 = 1500.0;
/// Figures are logged this often, ms.
pub(super) const STATISTICS_INTERVAL_MS: f64 = 10_000.0;
/// Frames taken in before the disk is written, so that one write serves many.
const MAX_AT_ONCE: usize = 256;

/// The disk's thread: it may hang for as long as it likes, and the member goes on listening.
fn keep(
    mut store: Store,
    name: String,
    jobs: std::sync::mpsc::Receiver<Job>,
    done: mpsc::Sender<Wrote>,
) {
    for job in jobs {
        let result = match job {
            Job::Begin { group, id, nonce } => {
                let identity = Identity::new(group, &name, id, nonce);
                store.begin(&identity, &Loaded::admitted(group, id))
            }
            Job::Write(batch) => store.write(&batch),
        };
        if done.blocking_send(result).is_err() {
            return;
        }
    }
}

type Wrote = Result<(), StoreError>;

enum Place {
    In(Box<Peer>),
    Lost(String),
}

pub(super) struct Engine {
    settings: GroupSettings,
    disk: std::sync::mpsc::Sender<Job>,
    /// Jobs that the disk has done.
    wrote: mpsc::Receiver<Wrote>,
    /// Since when it has one to do.
    writing: Option<f64>,
    place: Place,
    who: Rc<Own>,
    counts: Rc<Counts>,
    links: BTreeMap<String, Link>,
    /// Followers, by connection.
    subscribers: BTreeMap<u64, Rc<Outlet>>,
    view: watch::Sender<View>,
    waiting: BTreeMap<u64, (oneshot::Sender<Ended>, Instant)>,
    began: Instant,
    logged: f64,
    led_by: Option<Option<String>>,
    /// How long promises took, ms.
    promises: Vec<f64>,
}

impl Engine {
    pub(super) fn new(
        settings: GroupSettings,
        name: String,
        store: Store,
        identity: Option<Identity>,
        view: watch::Sender<View>,
    ) -> std::io::Result<Engine> {
        let loaded = identity.map(|_| store.load());
        let (disk, jobs) = std::sync::mpsc::channel();
        let (done, wrote) = mpsc::channel(4);
        std::thread::Builder::new()
            .name("group-disk".into())
            .spawn({
                let name = name.clone();
                move || keep(store, name, jobs, done)
            })?;
        let newest = settings.newest();
        let who = Own {
            name,
            newest,
            ..Own::default()
        };
        let mut engine = Engine {
            settings,
            disk,
            wrote,
            writing: None,
            place: Place::Lost(String::new()),
            who: Rc::new(who),
            counts: Rc::default(),
            links: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            view,
            waiting: BTreeMap::new(),
            began: Instant::now(),
            logged: 0.0,
            led_by: None,
            promises: Vec::new(),
        };
        let mut settings = Settings::new(&engine.who.name, fresh(), engine.settings.texts());
        settings.newest_format = newest;
        match loaded {
            Some(Ok(loaded)) => {
                let (group, id, entries) = (loaded.group, loaded.id, loaded.entries.len());
                match Peer::sitting(settings, loaded, 0.0) {
                    Ok(peer) => {
                        tracing::info!(
                            group = format!("{group:x}"),
                            id,
                            entries,
                            "member of the group"
                        );
                        engine.place = Place::In(Box::new(peer));
                    }
                    Err(e) => engine.lose(format!("its folder cannot be used: {e}")),
                }
            }
            Some(Err(e)) => engine.lose(format!("its folder cannot be used: {e}")),
            None => {
                tracing::info!("the folder is empty: asks to be let into the group");
                engine.place = Place::In(Box::new(Peer::waiting(settings, fresh())));
            }
        }
        engine.greet_as();
        Ok(engine)
    }

    /// Links greet as the member that this is now.
    fn greet_as(&self) {
        if let Some(member) = self.member() {
            self.who.group.set(member.group());
            self.who.id.set(member.id());
            self.who.form.set(member.state().form());
        }
    }

    fn member(&self) -> Option<&Member> {
        match &self.place {
            Place::In(peer) => peer.member(),
            Place::Lost(_) => None,
        }
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// It votes no more: what it says could be wrong.
    fn lose(&mut self, why: String) {
        tracing::error!(why, "this member votes no more; commands are served on");
        self.place = Place::Lost(why.clone());
        for (_, outlet) in std::mem::take(&mut self.subscribers) {
            outlet.close();
        }
        for (_, (answer, _)) in std::mem::take(&mut self.waiting) {
            let _ = answer.send(Ended::Open);
        }
    }

    pub(super) async fn run(
        mut self,
        listener: std::net::TcpListener,
        mut asked: mpsc::Receiver<Request>,
    ) -> std::io::Result<()> {
        let (update, mut heard) = mpsc::channel(1024);
        let listener = tokio::net::TcpListener::from_std(listener)?;
        tokio::task::spawn_local(listen(
            listener,
            self.who.clone(),
            update.clone(),
            self.counts.clone(),
        ));
        self.keep_links(&update);
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut requests = Vec::new();
            tokio::select! {
                _ = tick.tick() => {}
                Some(update) = heard.recv() => self.take(update),
                Some(done) = self.wrote.recv() => self.wrote(done),
                request = asked.recv() => match request {
                    Some(request) => requests.push(request),
                    None => return Ok(()),
                },
            }
            for _ in 0..MAX_AT_ONCE {
                match heard.try_recv() {
                    Ok(update) => self.take(update),
                    Err(_) => break,
                }
            }
            while let Ok(request) = asked.try_recv() {
                requests.push(request);
            }
            for request in requests {
                self.answer(request);
            }
            self.pass();
            let ended = self.end_dead_links();
            if self.settle() || ended {
                self.keep_links(&update);
            }
        }
    }

    /// Ends those that look sound and carry nothing, as after a fault on the way that told only the other side. Whether
    /// there were any.
    fn end_dead_links(&mut self) -> bool {
        let now = self.now();
        let Place::In(peer) = &self.place else {
            return false;
        };
        let mut ended = false;
        for name in peer.unheard_by(now) {
            if self.links.get(&name).is_some_and(Link::is_old) {
                tracing::warn!(to = name, "is not heard over its link: made anew");
                self.links.remove(&name).inspect(Link::end);
                ended = true;
            }
        }
        ended
    }

    /// A link to everybody who is in the group or awaited, and to nobody else.
    fn keep_links(&mut self, update: &mpsc::Sender<Update>) {
        let Place::In(peer) = &self.place else { return };
        let others = peer.others();
        self.links.retain(|name, link| {
            // One that was let go and let in elsewhere is another way.
            let stays = others
                .get(name)
                .is_some_and(|address| *address == link.address.to_string());
            if !stays {
                link.end();
            }
            stays
        });
        for (name, address) in others {
            let Ok(address) = address.parse() else {
                continue;
            };
            self.links.entry(name.clone()).or_insert_with(|| {
                Link::keep(
                    self.who.clone(),
                    name,
                    address,
                    update.clone(),
                    self.counts.clone(),
                )
            });
        }
    }

    /// The disk has done its job, or failed.
    fn wrote(&mut self, done: Wrote) {
        let now = self.now();
        self.writing = None;
        let Place::In(peer) = &mut self.place else {
            return;
        };
        let new = peer.member().is_none();
        let done = match done {
            Ok(()) => peer
                .done(now)
                .map_err(|e| format!("its folder cannot be used: {e}")),
            Err(e) => Err(format!("its disk has failed: {e}")),
        };
        match done {
            Ok(()) if new => {
                self.greet_as();
                tracing::info!(id = self.who.id.get(), "let into the group");
            }
            Ok(()) => {}
            Err(why) => self.lose(why),
        }
    }

    fn take(&mut self, update: Update) {
        let now = self.now();
        let Place::In(peer) = &mut self.place else {
            return;
        };
        match update {
            Update::Greeted(name, newest) => peer.greeted(&name, newest),
            Update::Frame(name, id, frame) => peer.hear(now, &name, id, *frame),
            Update::Broken(name) => peer.broken(&name),
            Update::Fan(number, name, outlet) => {
                if self.subscribers.len() >= MAX_FOLLOWERS {
                    outlet.close();
                } else {
                    tracing::info!(name, "is followed by");
                    self.subscribers.insert(number, outlet);
                }
            }
            Update::FanFrame(number, frame) => {
                let served = self.subscribers.contains_key(&number)
                    && peer.hear_follower(now, number, *frame);
                if !served {
                    self.subscribers
                        .remove(&number)
                        .inspect(|outlet| outlet.close());
                }
            }
            Update::FanGone(number) => {
                self.subscribers.remove(&number);
                peer.follower_gone(number);
            }
        }
    }

    fn answer(&mut self, request: Request) {
        let now = self.now();
        let member = match &mut self.place {
            Place::In(peer) => peer.member_mut().ok_or(None),
            Place::Lost(why) => Err(Some(why.clone())),
        };
        match (request, member) {
            (Request::MembershipStatus(answer), member) => {
                let _ = answer.send(match member {
                    Ok(member) => MembershipStatus::Member(Box::new(member.status(now))),
                    Err(None) => MembershipStatus::Waiting,
                    Err(Some(why)) => MembershipStatus::Lost(why),
                });
            }
            (Request::Leave(answer), member) => {
                if let Ok(member) = member {
                    member.step_down();
                }
                let _ = answer.send(());
            }
            (Request::Proposal(proposal, answer), Ok(member)) => {
                let number = match proposal {
                    Proposal::Invite { .. } | Proposal::Remove(_) => member.change(now, proposal),
                    proposal => member.ask(now, proposal),
                };
                self.await_end(number, answer);
            }
            (Request::Read(answer), Ok(member)) => {
                let number = member.read(now);
                self.await_end(number, answer);
            }
            (Request::Proposal(_, answer) | Request::Read(answer), Err(why)) => {
                let why = why
                    .unwrap_or_else(|| "this ingress has not been let into the group yet".into());
                let _ = answer.send(Ended::Refused(why));
            }
        }
    }

    fn await_end(&mut self, number: Result<u64, Standing>, answer: oneshot::Sender<Ended>) {
        match number {
            Ok(number) => {
                self.waiting.insert(number, (answer, Instant::now()));
            }
            Err(standing) => {
                let _ = answer.send(Ended::Refused(standing.to_string()));
            }
        }
    }

    /// Time goes by.
    fn pass(&mut self) {
        let now = self.now();
        if let Place::In(peer) = &mut self.place {
            peer.pass(now);
            // What its disk does not take its calls wait for; another one leads without that.
            let hangs = self.writing.is_some_and(|since| now - since > HANGS_MS);
            if let Some(member) = peer.member_mut().filter(|m| hangs && m.leads()) {
                tracing::warn!("the disk hangs: gives leadership away");
                member.step_down();
            }
        }
        if now - self.logged > STATISTICS_INTERVAL_MS {
            self.logged = now;
            self.log_statistics(now);
        }
    }

    /// Has written what has to be, and lets out what follows from that. True: who is in the group may have changed.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn settle(&mut self) -> bool {
        let now = self.now();
        let Place::In(peer) = &mut self.place else {
            return false;
        };
        while self.writing.is_none() {
            let Some(job) = peer.job(now) else { break };
            if job == Job::Write(Box::default()) {
                let _ = peer.done(now);
            } else if self.disk.send(job).is_ok() {
                self.writing = Some(now);
            } else {
                self.lose("its disk's thread has ended".into());
                return false;
            }
        }
        for (to, frame) in peer.frames(now) {
            if let Some(link) = self.links.get(&to) {
                link.send(&frame);
            }
        }
        for (to, frame) in peer.to_followers(now) {
            if let Some(outlet) = self
                .subscribers
                .get(&to)
                .filter(|outlet| !outlet.send(&frame))
            {
                // It reads too slowly: it comes again, and gets the whole copy.
                outlet.close();
            }
        }
        let events = peer.events(now);
        let Some(member) = peer.member() else {
            return false;
        };
        if let Some(lost) = member.lost() {
            self.lose(lost.to_string());
            return false;
        }
        let changed = events.contains(&Event::Changed);
        if changed {
            if self.who.form.get() < member.state().form() {
                self.who.form.set(member.state().form());
                tracing::info!(
                    form = member.state().form(),
                    "the group has raised its form"
                );
            }
            let applied = member.applied();
            let held = self.view.borrow().out.clone();
            let same = held.iter().eq(member.state().out.keys());
            let out = if same {
                held
            } else {
                Arc::new(member.state().out.keys().cloned().collect())
            };
            let held = self.view.borrow().documents.clone();
            let same = *held == member.state().documents;
            let documents = if same {
                held
            } else {
                Arc::new(member.state().documents.clone())
            };
            self.view.send_replace(View {
                out,
                documents,
                applied,
            });
        }
        for event in events {
            let (number, ended) = match event {
                Event::Done(number, outcome) => {
                    (number, Ended::Done(outcome, self.view.borrow().clone()))
                }
                Event::Read(number) => (
                    number,
                    Ended::Done(Outcome::Done, self.view.borrow().clone()),
                ),
                Event::Expired(number, true) => (number, Ended::Open),
                Event::Expired(number, false) => {
                    (number, Ended::Refused("no leader in time".into()))
                }
                Event::Changed | Event::DoneFor(..) | Event::ExpiredFor(..) => continue,
            };
            if let Some((answer, began)) = self.waiting.remove(&number) {
                if matches!(ended, Ended::Done(..)) && self.promises.len() < 4096 {
                    self.promises.push(began.elapsed().as_secs_f64() * 1e3);
                }
                let _ = answer.send(ended);
            }
        }
        self.note_leader(now);
        changed
    }

    fn note_leader(&mut self, now: f64) {
        let Some(member) = self.member() else { return };
        let status = member.status(now);
        if self.led_by.as_ref() != Some(&status.leader) {
            match &status.leader {
                Some(leader) => tracing::info!(leader, term = status.term, "the group is led"),
                None => tracing::warn!(term = status.term, "the group has no leader"),
            }
            self.led_by = Some(status.leader);
        }
    }

    fn log_statistics(&mut self, now: f64) {
        let Some(member) = self.member() else { return };
        let status = member.status(now);
        let lags: Vec<String> = status
            .members
            .iter()
            .filter_map(|m| m.lag.map(|lag| format!("{}={lag}", m.name)))
            .collect();
        self.promises.sort_by(f64::total_cmp);
        let part = |share: f64| {
            let at = (self.promises.len() as f64 * share) as usize;
            self.promises.get(at).map(|ms| (ms * 10.0).round() / 10.0)
        };
        let up: BTreeSet<&str> = self
            .links
            .iter()
            .filter(|(_, l)| l.is_up())
            .map(|(n, _)| n.as_str())
            .collect();
        tracing::info!(
            leader = status.leader,
            term = status.term,
            applied = status.applied,
            age_ms = status.age_ms.round(),
            form = status.form,
            lags = lags.join(" "),
            links = up.len(),
            followers = self.subscribers.len(),
            refused_links = self.counts.refused.total(),
            refused_causes = self.counts.refused.by_cause(),
            dropped = self.counts.dropped.get(),
            sent_bytes = self.counts.sent_bytes.get(),
            promises = self.promises.len(),
            promise_p50_ms = part(0.5),
            promise_p99_ms = part(0.99),
            "group"
        );
        self.promises.clear();
    }
}
