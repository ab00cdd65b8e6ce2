//! Where staff call: one line a connection, one line in answer. It owns the listener, the callers' connections and
//! their bounds. It must never act on half a line, let a caller that says nothing keep others out, or decide what a
//! call means: that is `driftgap_admin`'.

use crate::group::{Ended, Group, MembershipStatus};
use crate::runtime::dispatcher::Dispatcher;
use driftgap_admin::{Answer, BadCall, Call, ExclusionOutcome, GroupCall, MAX_LINE};
use driftgap_group::{Outcome, Proposal, Role};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Most callers at a time; the one that has been silent for longest makes room for the next.
pub const MAX_CALLERS: usize = 16;
/// Most calls that wait for the group at a time.
const MAX_WAITING: usize = 64;
/// A caller has this long for its line, and as long to read the answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Who keeps what staff have taken out over the end of this process.
pub trait ExclusionStore {
    /// Notes that an endpoint is out, or no more.
    ///
    /// # Errors
    /// Why it cannot be kept.
    fn keep(&self, name: &str, out: bool) -> std::io::Result<()>;
}

/// What the group agreed on a call, in words.
fn agreed(dispatcher: &Dispatcher, call: &Call, outcome: Outcome) -> Answer {
    let name = match call {
        Call::Suspend(name) | Call::Restore(name) => name,
        Call::Group(
            GroupCall::Add(name, _) | GroupCall::Remove(name) | GroupCall::Replace(_, name, _),
        ) => name,
        _ => "",
    };
    let done = match call {
        Call::Suspend(_) => ("suspended for the group", "was suspended"),
        Call::Restore(_) => ("restored for the group", "was not suspended by the group"),
        Call::Group(GroupCall::Remove(_)) => ("let go", "was let go"),
        _ => ("awaited", "is a member already"),
    };
    match outcome {
        Outcome::Done | Outcome::Before => {
            let word = if outcome == Outcome::Done {
                done.0
            } else {
                done.1
            };
            if matches!(call, Call::Restore(_)) && dispatcher.is_excluded_here(name) {
                return Answer::yes(format!(
                    "{name} {word}, but is suspended here: RESTORE {name} HERE"
                ));
            }
            Answer::yes(format!("{name} {word}"))
        }
        Outcome::TooMany => Answer::no("too many are suspended"),
        Outcome::Unknown => Answer::no(format!("not done: no such member for {name}")),
        Outcome::Late => Answer::no("not done: it came too late"),
        _ => Answer::no("not done: refused; at least 3 and at most 7 members vote"),
    }
}

/// How old a copy is, ms.
fn age(ms: f64) -> String {
    if ms.is_finite() {
        format!("{ms:.0}")
    } else {
        "unknown".into()
    }
}

/// How the group stands, on one line.
fn membership_status(membership_status: MembershipStatus) -> Answer {
    let status = match membership_status {
        MembershipStatus::Waiting => {
            return Answer::no(
                "not in the group yet: the folder is empty, and nobody has let it in",
            )
        }
        MembershipStatus::Lost(why) => return Answer::no(format!("votes no more: {why}")),
        MembershipStatus::Following {
            member,
            applied,
            age_ms,
            stored,
        } => {
            let (yes, member) = (member.is_some(), member.unwrap_or_else(|| "none".into()));
            let age = age(age_ms.unwrap_or(f64::INFINITY));
            let stored = stored.map_or("none".into(), |stored| stored.to_string());
            return Answer {
                yes,
                text: format!(
                    "role=beside member={member} applied={applied} age_ms={age} stored={stored}"
                ),
            };
        }
        MembershipStatus::Member(status) => status,
    };
    let role = match status.role {
        Role::Leader => "leader",
        Role::Follower => "follower",
        Role::Seeking => "seeking",
        Role::Copying => "copying",
    };
    let members = status.members.iter().map(|m| {
        let lag = m.lag.map_or(String::new(), |lag| format!(":lag={lag}"));
        format!(
            "{}:{}:{}{lag}",
            m.name,
            m.id,
            if m.votes { "votes" } else { "copies" }
        )
    });
    let text = format!(
        "role={role} leader={} term={} applied={} agreed={} age_ms={} changing={} form={} members={}",
        status.leader.as_deref().unwrap_or("none"),
        status.term,
        status.applied,
        status.committed,
        age(status.age_ms),
        if status.changing { "yes" } else { "no" },
        status.form,
        members.collect::<Vec<_>>().join(",")
    );
    Answer {
        yes: status.leader.is_some(),
        text,
    }
}

/// The place where staff call.
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    keeper: Option<Rc<dyn ExclusionStore>>,
    group: Option<Group>,
    waiting: Cell<usize>,
    callers: RefCell<VecDeque<(u64, AbortHandle)>>,
    next: Cell<u64>,
}

impl AdminServer {
    /// No callers yet.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        keeper: Option<Rc<dyn ExclusionStore>>,
        group: Option<Group>,
    ) -> Rc<AdminServer> {
        let (callers, next, waiting) = Default::default();
        Rc::new(AdminServer {
            dispatcher,
            keeper,
            group,
            waiting,
            callers,
            next,
        })
    }

    /// Takes in callers until its task is ended.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                Err(e) => {
                    tracing::warn!(error = %e, "accept, operators' calls");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next.get();
        self.next.set(number + 1);
        let calls = self.clone();
        let task = spawn_local(async move {
            // A caller that goes away, or reads nothing, does not mind.
            let _ = calls.hear(stream, number).await;
            calls.said(number);
        });
        let mut callers = self.callers.borrow_mut();
        callers.push_back((number, task.abort_handle()));
        if callers.len() > MAX_CALLERS {
            // Calls are carried out as soon as they are whole: whoever is still here after so many others is silent.
            if let Some((_, silent)) = callers.pop_front() {
                silent.abort();
            }
        }
    }

    /// This caller is not one of those who may still be silent.
    fn said(&self, number: u64) {
        self.callers.borrow_mut().retain(|(n, _)| *n != number);
    }

    async fn hear(&self, mut stream: TcpStream, number: u64) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut line = Vec::with_capacity(MAX_LINE);
        let read = timeout(CLIENT_TIMEOUT, async {
            loop {
                match Call::read(&line) {
                    Ok(Some(call)) => return Ok(Some(Ok(call))),
                    Ok(None) => {}
                    Err(problem) => return Ok(Some(Err(Answer::no(problem.to_string())))),
                }
                // What comes behind the line is left unread.
                let mut more = (&mut stream).take((MAX_LINE - line.len()) as u64);
                if more.read_buf(&mut line).await? == 0 {
                    return Ok::<_, std::io::Error>(None);
                }
            }
        });
        let answer = match read.await {
            Ok(Ok(Some(Ok(call)))) => {
                // What waits for the group is nobody's to cut off: it may be done already.
                self.said(number);
                self.carry_out(call).await
            }
            Ok(Ok(Some(Err(answer)))) => answer,
            Ok(Ok(None)) => return Ok(()),
            Ok(Err(e)) => return Err(e),
            Err(_) => Answer::no("no whole line in time"),
        };
        let text = answer.line();
        let _ = timeout(CLIENT_TIMEOUT, stream.write_all(text.as_bytes())).await;
        stream.shutdown().await
    }

    async fn carry_out(&self, call: Call) -> Answer {
        let answer = match &self.group {
            Some(group) if call.is_for_group() => {
                if self.waiting.get() >= MAX_WAITING {
                    return Answer::no("not done: too many calls wait for the group");
                }
                self.waiting.set(self.waiting.get() + 1);
                let answer = self.ask(group, &call).await;
                self.waiting.set(self.waiting.get() - 1);
                answer
            }
            _ => self.answer(&call),
        };
        if !matches!(
            call,
            Call::Status | Call::Group(GroupCall::Status | GroupCall::Out)
        ) {
            tracing::info!(call = ?call, yes = answer.yes, answer = answer.text, "operator");
        }
        answer
    }

    fn answer(&self, call: &Call) -> Answer {
        let dispatcher = &self.dispatcher;
        match call {
            Call::Status => {
                let out = dispatcher.out();
                match dispatcher.unready() {
                    None if out == 0 => Answer::yes("ready"),
                    None => Answer::yes(format!("ready, {out} suspended")),
                    Some(why) => Answer::no(why),
                }
            }
            Call::Pause => {
                let now = dispatcher.now();
                let first = dispatcher.drain().pause(now);
                Answer::yes(if first {
                    "emptying"
                } else {
                    "emptying since before"
                })
            }
            Call::Resume => {
                let first = dispatcher.drain().resume();
                Answer::yes(if first {
                    "taking clients"
                } else {
                    "was taking clients"
                })
            }
            Call::Suspend(name) => self.set_excluded(name, true),
            Call::Restore(name) => self.set_excluded(name, false),
            // Without a group there is only here, and no such call.
            Call::SuspendHere(_) | Call::RestoreHere(_) if self.group.is_none() => {
                Answer::no(BadCall::Words.to_string())
            }
            Call::SuspendHere(name) => self.set_excluded(name, true),
            Call::RestoreHere(name) => self.set_excluded(name, false),
            Call::Group(_) => Answer::no(BadCall::Name.to_string()),
        }
    }

    /// A call that the whole group is to obey.
    async fn ask(&self, group: &Group, call: &Call) -> Answer {
        let proposal = match call {
            Call::Suspend(name) | Call::Restore(name) if !self.dispatcher.was_listed(name) => {
                return Answer::no(format!("{name} was never listed"));
            }
            Call::Suspend(name) => Proposal::Suspend(name.clone()),
            Call::Restore(name) => Proposal::Restore(name.clone()),
            Call::Group(GroupCall::Add(name, at)) => Proposal::Invite {
                name: name.clone(),
                address: at.to_string(),
                instead_of: None,
            },
            Call::Group(GroupCall::Replace(old, name, at)) => Proposal::Invite {
                name: name.clone(),
                address: at.to_string(),
                instead_of: Some(old.clone()),
            },
            Call::Group(GroupCall::Remove(name)) => Proposal::Remove(name.clone()),
            Call::Group(GroupCall::Status) => {
                return membership_status(group.membership_status().await)
            }
            _ => {
                return match group.read().await {
                    Ended::Done(_, view) => {
                        let out: Vec<&str> = view.out.iter().map(String::as_str).collect();
                        Answer::yes(format!("at {}: {}", view.applied, out.join(" ")))
                    }
                    Ended::Refused(why) => Answer::no(why),
                    Ended::Open => Answer::no("no answer in time"),
                };
            }
        };
        match group.ask(proposal).await {
            Ended::Done(outcome, _) => {
                // The answer says that it holds here: it does, from before the answer goes out. By now the group may
                // hold something later, which must not be taken back.
                let latest = group.view().borrow().out.clone();
                self.dispatcher.set_group_exclusions(latest);
                agreed(&self.dispatcher, call, outcome)
            }
            Ended::Refused(why) => Answer::no(format!("not done: {why}")),
            Ended::Open => {
                Answer::no("not known whether it will be done: ask GROUP OUT, or repeat the call")
            }
        }
    }

    fn set_excluded(&self, name: &str, out: bool) -> Answer {
        let done = self.dispatcher.set_excluded(name, out);
        let (word, before) = if out {
            ("suspended", "was suspended")
        } else {
            ("restored", "was not suspended")
        };
        let word = match done {
            ExclusionOutcome::Done => word,
            ExclusionOutcome::Before => before,
            ExclusionOutcome::Unknown => return Answer::no(format!("{name} was never listed")),
            ExclusionOutcome::TooMany => return Answer::no("too many are suspended"),
        };
        // Kept also where nothing changed here: another process of this ingress may not have heard of it.
        match self.keeper.as_ref().map(|keeper| keeper.keep(name, out)) {
            Some(Err(e)) => {
                tracing::error!(name, out, error = %e, "not kept over an upgrade");
                Answer::yes(format!("{name} {word}, but not over an upgrade: {e}"))
            }
            _ => Answer::yes(format!("{name} {word}")),
        }
    }
}
