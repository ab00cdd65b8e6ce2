//! The group's thread: it carries frames, writes and time to the member, and what follows from them away. It owns the
//! order of those: nothing that follows from a write goes out before the disk has it. It must never decide what the
//! group agrees on, or go on as a member once its disk has failed.

use super::links::{listen, Counts, Link, News, Own};
use super::store::{Identity, Store, FORMAT};
use super::{fresh, Ended, GroupSettings, Request, Seat, View};
use driftgap_group::{Event, Frame, Loaded, Member, Settings, Standing, Wish};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// How often time is told to the member.
const TICK: Duration = Duration::from_millis(25);
/// A member with an empty folder asks this often to be let in, ms.
const JOIN_MS: f64 = 500.0;
/// Figures are logged this often, ms.
const FIGURES_MS: f64 = 10_000.0;
/// Frames taken in before the disk is written, so that one write serves many.
const MOST_AT_ONCE: usize = 256;

enum Place {
    /// An empty folder, told from every other by this.
    Waiting(u64),
    Sitting(Box<Member>),
    Lost(String),
}

pub(super) struct Engine {
    settings: GroupSettings,
    store: Store,
    place: Place,
    who: Rc<Own>,
    counts: Rc<Counts>,
    links: BTreeMap<String, Rc<Link>>,
    /// Names by incarnation, as links have said them.
    names: BTreeMap<u64, String>,
    view: watch::Sender<View>,
    waiting: BTreeMap<u64, (oneshot::Sender<Ended>, Instant)>,
    began: Instant,
    joined: f64,
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
    ) -> Engine {
        let who = Own { name, ..Own::default() };
        let mut engine = Engine {
            settings,
            store,
            place: Place::Waiting(fresh()),
            who: Rc::new(who),
            counts: Rc::default(),
            links: BTreeMap::new(),
            names: BTreeMap::new(),
            view,
            waiting: BTreeMap::new(),
            began: Instant::now(),
            joined: 0.0,
            logged: 0.0,
            led_by: None,
            promises: Vec::new(),
        };
        if identity.is_some() {
            match engine.store.load() {
                Ok(loaded) => engine.sit(loaded),
                Err(e) => engine.lose(format!("its folder cannot be used: {e}")),
            }
        } else {
            tracing::info!("the folder is empty: asks to be let into the group");
        }
        engine
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    fn sit(&mut self, loaded: Loaded) {
        let settings = Settings::new(&self.who.name, fresh(), self.settings.texts());
        let (group, id, entries) = (loaded.group, loaded.id, loaded.entries.len());
        self.who.group.set(group);
        self.who.id.set(id);
        match Member::new(settings, loaded, self.now()) {
            Ok(member) => {
                tracing::info!(group = format!("{group:x}"), id, entries, "member of the group");
                self.place = Place::Sitting(Box::new(member));
            }
            Err(e) => self.lose(format!("its folder cannot be used: {e}")),
        }
    }

    /// It votes no more: what it says could be wrong.
    fn lose(&mut self, why: String) {
        tracing::error!(why, "this member votes no more; commands are served on");
        self.place = Place::Lost(why.clone());
        for (_, (answer, _)) in std::mem::take(&mut self.waiting) {
            let _ = answer.send(Ended::Open);
        }
    }

    pub(super) async fn run(
        mut self,
        listener: std::net::TcpListener,
        mut asked: mpsc::Receiver<Request>,
    ) -> std::io::Result<()> {
        let (news, mut heard) = mpsc::channel(1024);
        let listener = tokio::net::TcpListener::from_std(listener)?;
        tokio::task::spawn_local(listen(listener, self.who.clone(), news.clone(), self.counts.clone()));
        for (name, address) in self.settings.members.clone() {
            if name != self.who.name {
                let link =
                    Link::keep(self.who.clone(), name.clone(), address, news.clone(), self.counts.clone());
                self.links.insert(name, link);
            }
        }
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut requests = Vec::new();
            tokio::select! {
                _ = tick.tick() => {}
                Some(news) = heard.recv() => self.take(news),
                request = asked.recv() => match request {
                    Some(request) => requests.push(request),
                    None => return Ok(()),
                },
            }
            for _ in 0..MOST_AT_ONCE {
                match heard.try_recv() {
                    Ok(news) => self.take(news),
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
            self.settle();
        }
    }

    fn take(&mut self, news: News) {
        let now = self.now();
        match news {
            News::Frame(name, id, frame) => {
                if id != 0 {
                    self.names.insert(id, name.clone());
                }
                match (*frame, &mut self.place) {
                    (Frame::Raft(message), Place::Sitting(member)) => member.hear(now, message),
                    (Frame::Join { nonce }, Place::Sitting(member)) => {
                        let group = member.state().group;
                        if let Some(id) = member.join(now, &name, nonce) {
                            if let Some(link) = self.links.get(&name) {
                                link.send(&Frame::Admitted { group, id, nonce });
                            }
                        }
                    }
                    (Frame::Admitted { group, id, nonce }, Place::Waiting(ours)) if nonce == *ours => {
                        let loaded = Loaded::admitted(group, id);
                        let name = self.who.name.clone();
                        let identity = Identity { format: FORMAT, group, name, id, nonce };
                        match self.store.begin(&identity, &loaded) {
                            Ok(()) => self.sit(loaded),
                            Err(e) => self.lose(format!("its folder cannot be written: {e}")),
                        }
                    }
                    _ => {}
                }
            }
            News::Broken(name) => {
                if let Place::Sitting(member) = &mut self.place {
                    if let Some((id, _)) = member.state().incarnation(&name) {
                        member.unreachable(id);
                    }
                }
            }
        }
    }

    fn answer(&mut self, request: Request) {
        let now = self.now();
        match (request, &mut self.place) {
            (Request::Seat(answer), place) => {
                let _ = answer.send(match place {
                    Place::Waiting(_) => Seat::Waiting,
                    Place::Sitting(member) => Seat::Member(Box::new(member.status(now))),
                    Place::Lost(why) => Seat::Lost(why.clone()),
                });
            }
            (Request::Leave(answer), place) => {
                if let Place::Sitting(member) = place {
                    member.step_down();
                }
                let _ = answer.send(());
            }
            (Request::Wish(wish, answer), Place::Sitting(member)) => {
                let number = match wish {
                    Wish::Admit { .. } | Wish::Remove(_) => member.change(now, wish),
                    wish => member.ask(now, wish),
                };
                self.await_end(number, answer);
            }
            (Request::Read(answer), Place::Sitting(member)) => {
                let number = member.read(now);
                self.await_end(number, answer);
            }
            (Request::Wish(_, answer) | Request::Read(answer), place) => {
                let why = match place {
                    Place::Lost(why) => why.clone(),
                    _ => "this ingress has not been let into the group yet".into(),
                };
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
        match &mut self.place {
            Place::Sitting(member) => member.pass(now),
            Place::Waiting(nonce) if now - self.joined > JOIN_MS => {
                self.joined = now;
                let frame = Frame::Join { nonce: *nonce };
                self.links.values().for_each(|link| {
                    link.send(&frame);
                });
            }
            _ => {}
        }
        if now - self.logged > FIGURES_MS {
            self.logged = now;
            self.log_figures(now);
        }
    }

    /// Writes what has to be written, then lets out what follows from it.
    fn settle(&mut self) {
        let now = self.now();
        let Place::Sitting(member) = &mut self.place else { return };
        while let Some(batch) = member.batch() {
            if !batch.is_empty() {
                if let Err(e) = self.store.write(&batch) {
                    return self.lose(format!("its disk has failed: {e}"));
                }
            }
            member.written(now);
        }
        if let Some(lost) = member.lost() {
            return self.lose(lost.to_string());
        }
        for message in member.messages() {
            let name = member.state().members.get(&message.to).map(|m| m.name.as_str());
            let name = name.or_else(|| self.names.get(&message.to).map(String::as_str));
            if let Some(link) = name.and_then(|name| self.links.get(name)) {
                link.send(&Frame::Raft(message));
            }
        }
        let events = member.events();
        if events.contains(&Event::Changed) {
            let applied = member.status(now).applied;
            let held = self.view.borrow().out.clone();
            let same = held.iter().eq(member.state().out.keys());
            let out = if same { held } else { Arc::new(member.state().out.keys().cloned().collect()) };
            self.view.send_replace(View { out, applied });
        }
        for event in events {
            let (number, ended) = match event {
                Event::Done(number, outcome) => (number, Ended::Done(outcome, self.view.borrow().clone())),
                Event::Read(number) => {
                    (number, Ended::Done(driftgap_group::Outcome::Done, self.view.borrow().clone()))
                }
                Event::Expired(number, true) => (number, Ended::Open),
                Event::Expired(number, false) => (number, Ended::Refused("no leader in time".into())),
                Event::Changed => continue,
            };
            if let Some((answer, began)) = self.waiting.remove(&number) {
                if matches!(ended, Ended::Done(..)) && self.promises.len() < 4096 {
                    self.promises.push(began.elapsed().as_secs_f64() * 1e3);
                }
                let _ = answer.send(ended);
            }
        }
        self.note_leader(now);
    }

    fn note_leader(&mut self, now: f64) {
        let Place::Sitting(member) = &self.place else { return };
        let status = member.status(now);
        if self.led_by.as_ref() != Some(&status.leader) {
            match &status.leader {
                Some(leader) => tracing::info!(leader, term = status.term, "the group is led"),
                None => tracing::warn!(term = status.term, "the group has no leader"),
            }
            self.led_by = Some(status.leader);
        }
    }

    fn log_figures(&mut self, now: f64) {
        let Place::Sitting(member) = &self.place else { return };
        let status = member.status(now);
        let lags: Vec<String> =
            status.members.iter().filter_map(|m| m.lag.map(|lag| format!("{}={lag}", m.name))).collect();
        self.promises.sort_by(f64::total_cmp);
        let part = |share: f64| {
            let at = (self.promises.len() as f64 * share) as usize;
            self.promises.get(at).map(|ms| (ms * 10.0).round() / 10.0)
        };
        let up: BTreeSet<&str> =
            self.links.iter().filter(|(_, l)| l.is_up()).map(|(n, _)| n.as_str()).collect();
        tracing::info!(
            leader = status.leader,
            term = status.term,
            applied = status.applied,
            age_ms = status.age_ms.round(),
            lags = lags.join(" "),
            links = up.len(),
            refused_links = self.counts.refused.get(),
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
