//! An ingress beside the group: it keeps one connection to one member. It owns that connection and the turn between it
//! and the follower's decisions. It must never hold more than one link, or make a call wait for a member that is gone.

use super::cached_replica::{CachedReplica, ReplicaWriter};
use super::links::{connect, Counts, Outlet, Own};
use super::member_task::STATISTICS_INTERVAL_MS;
use super::{Ended, GroupSettings, MembershipStatus, Request, View};
use driftgap_group::{Answered, Copy, Follower, Frame, Outcome, NEWEST_FORMAT};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::MissedTickBehavior;

const TICK: Duration = Duration::from_millis(50);

/// What the connection's task brings.
pub(super) enum Line {
    /// A link is up, to a member of this group.
    Up(Rc<Outlet>, u64),
    Frame(Box<Frame>),
    Down,
}

/// What the rest of the ingress sees of a copy.
fn shown(copy: &Copy) -> View {
    View {
        out: Arc::new(copy.out.clone()),
        documents: Arc::new(copy.documents.clone()),
        applied: copy.applied,
    }
}

pub(super) struct Following {
    settings: GroupSettings,
    who: Rc<Own>,
    follower: Follower,
    outlet: Option<Rc<Outlet>>,
    task: Option<AbortHandle>,
    waiting: BTreeMap<u64, oneshot::Sender<Ended>>,
    view: watch::Sender<View>,
    /// None: it has no folder.
    writer: Option<ReplicaWriter>,
    began: Instant,
    logged: f64,
}

impl Following {
    pub(super) fn new(
        settings: GroupSettings,
        name: String,
        origin: u64,
        cached: Option<CachedReplica>,
        view: watch::Sender<View>,
    ) -> std::io::Result<Following> {
        let loaded = cached.as_ref().and_then(CachedReplica::load);
        let writer = cached
            .map(|cached| cached.into_writer(loaded.as_ref()))
            .transpose()?;
        let copy = loaded.unwrap_or_default();
        view.send_replace(shown(&copy));
        let members = settings.members.keys().map(String::as_str);
        let follower = Follower::new(&name, origin, members, copy, 0.0);
        Ok(Following {
            writer,
            logged: 0.0,
            settings,
            who: Rc::new(Own {
                name,
                newest: NEWEST_FORMAT,
                ..Own::default()
            }),
            follower,
            outlet: None,
            task: None,
            waiting: BTreeMap::new(),
            view,
            began: Instant::now(),
        })
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// Up to which place in the log the copy on the disk holds everything; none: nothing is on a disk.
    fn stored(&self) -> Option<u64> {
        let applied = self.follower.copy().applied;
        self.writer.as_ref()?.stored(applied)
    }

    pub(super) async fn run(mut self, mut asked: mpsc::Receiver<Request>) -> std::io::Result<()> {
        let (lines, mut line) = mpsc::channel(256);
        let counts = Rc::new(Counts::default());
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                Some(line) = line.recv() => self.take(line),
                request = asked.recv() => match request {
                    Some(request) => self.answer(request),
                    None => return Ok(()),
                },
            }
            let now = self.now();
            self.follower.pass(now);
            if self.follower.leaves(now) {
                tracing::info!("the member's copy is old: follows another one");
                self.end_link();
            }
            if now - self.logged > STATISTICS_INTERVAL_MS {
                self.logged = now;
                let member = self.follower.is_up().then(|| self.follower.next().0);
                let age_ms = self.follower.age_ms(now).map(f64::round);
                tracing::info!(
                    member,
                    applied = self.follower.copy().applied,
                    age_ms,
                    "beside the group"
                );
            }
            if self.follower.silent(now) {
                self.drop_link();
            }
            let (member, due) = self.follower.next();
            if self.task.is_none() && now >= due {
                if let Some(address) = self.settings.members.get(member) {
                    let (who, to) = (self.who.clone(), member.to_string());
                    let task =
                        spawn_local(connect(who, to, *address, lines.clone(), counts.clone()));
                    self.task = Some(task.abort_handle());
                }
            }
            self.let_out();
        }
    }

    /// Ends the link, if there is one.
    fn end_link(&mut self) -> bool {
        self.outlet = None;
        self.task.take().inspect(AbortHandle::abort).is_some()
    }

    fn drop_link(&mut self) {
        let now = self.now();
        if self.end_link() {
            self.follower.broken(now);
        }
    }

    fn take(&mut self, line: Line) {
        let now = self.now();
        match line {
            Line::Up(outlet, group) => {
                self.outlet = Some(outlet);
                self.follower.connected(now, group);
                tracing::info!(member = self.follower.next().0, "follows");
            }
            Line::Frame(frame) => self.follower.hear(now, *frame),
            Line::Down => self.drop_link(),
        }
    }

    fn let_out(&mut self) {
        if let Some(outlet) = &self.outlet {
            for frame in self.follower.frames() {
                outlet.send(&frame);
            }
        }
        if self.follower.changed() {
            let copy = self.follower.copy();
            // Before it is shown: what is shown and not stored yet must not count as stored.
            if let Some(writer) = &mut self.writer {
                writer.store(copy.clone());
            }
            self.view.send_replace(shown(copy));
        }
        for (number, answered) in self.follower.ended() {
            let Some(answer) = self.waiting.remove(&number) else {
                continue;
            };
            let mut view = self.view.borrow().clone();
            view.applied = self.follower.copy().applied;
            let _ = answer.send(match answered {
                Answered::Done(outcome) => Ended::Done(outcome, view),
                Answered::Read => Ended::Done(Outcome::Done, view),
                Answered::Refused(why) => Ended::Refused(why),
                Answered::Open => Ended::Open,
            });
        }
    }

    fn answer(&mut self, request: Request) {
        let now = self.now();
        let (proposal, answer) = match request {
            Request::Proposal(proposal, answer) => (Some(proposal), answer),
            Request::Read(answer) => (None, answer),
            Request::MembershipStatus(answer) => {
                let _ = answer.send(MembershipStatus::Following {
                    member: self
                        .follower
                        .is_up()
                        .then(|| self.follower.next().0.to_string()),
                    applied: self.follower.copy().applied,
                    age_ms: self.follower.age_ms(now),
                    stored: self.stored(),
                });
                return;
            }
            Request::Leave(answer) => {
                let _ = answer.send(());
                return;
            }
        };
        match self.follower.ask(now, proposal) {
            Some(number) => drop(self.waiting.insert(number, answer)),
            None => drop(answer.send(Ended::Refused("too many calls are under way".into()))),
        }
    }
}
