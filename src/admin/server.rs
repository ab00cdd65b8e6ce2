//! The listener for staff's calls: one connection is one call, one line in and one line out.
//!
//! What a call means is `driftgap_admin`'s; this module reads it, has it done, and words the answer. Connections are
//! bounded in number and time, so that a caller that says nothing does not keep others out.

use crate::group::{CallResult, Group, MembershipStatus};
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

/// Most callers whose line has not come at a time; the one that has been silent for longest makes room for the next.
pub const MAX_CALLERS: usize = 16;
/// Most calls that wait for the group at a time.
const MAX_WAITING_FOR_GROUP: usize = 64;
/// A caller has this long for its line, and as long to read the answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The listener rests for this long after an error, such as one for want of descriptors.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Keeps the exclusions of this ingress beyond the end of this process.
pub trait ExclusionStore {
    /// Notes that an endpoint is excluded, or no more.
    ///
    /// # Errors
    /// Why it cannot be kept.
    fn keep(&self, name: &str, excluded: bool) -> std::io::Result<()>;
}

/// The endpoint or member that a call names.
fn subject(call: &Call) -> &str {
    match call {
        Call::Suspend(name) | Call::Restore(name) => name,
        Call::Group(
            GroupCall::Add(name, _) | GroupCall::Remove(name) | GroupCall::Replace(_, name, _),
        ) => name,
        _ => "",
    }
}

/// The answer to a call that the group has agreed on.
fn agreed(dispatcher: &Dispatcher, call: &Call, outcome: Outcome) -> Answer {
    let name = subject(call);
    let (done, done_before) = match call {
        Call::Suspend(_) => ("suspended for the group", "was suspended"),
        Call::Restore(_) => ("restored for the group", "was not suspended by the group"),
        Call::Group(GroupCall::Remove(_)) => ("let go", "was let go"),
        _ => ("awaited", "is a member already"),
    };
    let text = match outcome {
        Outcome::Done => done,
        Outcome::Unchanged => done_before,
        Outcome::TooMany => return Answer::no("too many are suspended"),
        Outcome::Unknown => return Answer::no(format!("not done: no such member for {name}")),
        Outcome::Late => return Answer::no("not done: it came too late"),
        _ => return Answer::no("not done: refused; at least 3 and at most 7 members vote"),
    };
    if matches!(call, Call::Restore(_)) && dispatcher.is_excluded_here(name) {
        return Answer::yes(format!(
            "{name} {text}, but is suspended here: RESTORE {name} HERE"
        ));
    }
    Answer::yes(format!("{name} {text}"))
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
        MembershipStatus::Joining => {
            return Answer::no(
                "not in the group yet: the folder is empty, and nobody has let it in",
            )
        }
        MembershipStatus::Failed(why) => return Answer::no(format!("votes no more: {why}")),
        MembershipStatus::Follower {
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
        Role::Candidate => "seeking",
        Role::Learner => "copying",
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
        status.format_version,
        members.collect::<Vec<_>>().join(",")
    );
    Answer {
        yes: status.leader.is_some(),
        text,
    }
}

/// Answers staff's calls.
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    store: Option<Rc<dyn ExclusionStore>>,
    group: Option<Group>,
    /// Calls that wait for the group.
    waiting_for_group: Cell<usize>,
    /// Callers whose line has not come yet, the oldest first.
    silent_callers: RefCell<VecDeque<SilentCaller>>,
    next_number: Cell<u64>,
}

/// A caller whose line has not come yet.
struct SilentCaller {
    number: u64,
    task: AbortHandle,
}

/// What a caller's line was.
enum Line {
    Call(Call),
    Bad(BadCall),
    /// The connection ended within it.
    Unfinished,
}

impl AdminServer {
    /// A server for this ingress. Exclusions are kept in `store`, where there is one; calls for the group are passed
    /// to `group`.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        store: Option<Rc<dyn ExclusionStore>>,
        group: Option<Group>,
    ) -> Rc<AdminServer> {
        Rc::new(AdminServer {
            dispatcher,
            store,
            group,
            waiting_for_group: Cell::default(),
            silent_callers: RefCell::default(),
            next_number: Cell::default(),
        })
    }

    /// Accepts callers until its task is ended.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                Err(e) => {
                    tracing::warn!(error = %e, "accept, operators' calls");
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let server = self.clone();
        let task = spawn_local(async move {
            // A caller that has gone away, or does not read, needs no answer.
            let _ = server.serve(stream, number).await;
            server.not_silent(number);
        });
        let mut silent_callers = self.silent_callers.borrow_mut();
        silent_callers.push_back(SilentCaller {
            number,
            task: task.abort_handle(),
        });
        if silent_callers.len() > MAX_CALLERS {
            // Guards against callers that hold the line and say nothing: a call is carried out as soon as its line
            // has come, so whoever is still here after so many others is silent.
            if let Some(oldest) = silent_callers.pop_front() {
                oldest.task.abort();
            }
        }
    }

    /// This caller's line has come, or its connection has ended.
    fn not_silent(&self, number: u64) {
        self.silent_callers
            .borrow_mut()
            .retain(|caller| caller.number != number);
    }

    async fn serve(&self, mut stream: TcpStream, number: u64) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let answer = match timeout(CALLER_TIMEOUT, read_line(&mut stream)).await {
            Ok(line) => match line? {
                Line::Call(call) => {
                    // A call that waits for the group may be done already: it is not cut off for another caller.
                    self.not_silent(number);
                    self.carry_out(call).await
                }
                Line::Bad(problem) => Answer::no(problem.to_string()),
                Line::Unfinished => return Ok(()),
            },
            Err(_) => Answer::no("no whole line in time"),
        };
        let line = answer.line();
        let _ = timeout(CALLER_TIMEOUT, stream.write_all(line.as_bytes())).await;
        stream.shutdown().await
    }

    async fn carry_out(&self, call: Call) -> Answer {
        let answer = match &self.group {
            Some(group) if call.is_for_group() => self.carry_out_in_group(group, &call).await,
            _ => self.carry_out_here(&call),
        };
        let only_asks = matches!(
            call,
            Call::Status | Call::Group(GroupCall::Status | GroupCall::Out)
        );
        if !only_asks {
            tracing::info!(call = ?call, yes = answer.yes, answer = answer.text, "operator");
        }
        answer
    }

    fn carry_out_here(&self, call: &Call) -> Answer {
        match call {
            Call::Status => self.status(),
            Call::Pause => self.pause(),
            Call::Resume => self.resume(),
            Call::Suspend(name) => self.set_excluded(name, true),
            Call::Restore(name) => self.set_excluded(name, false),
            // Without a group every call is for this ingress alone, and these do not exist.
            Call::SuspendHere(_) | Call::RestoreHere(_) if self.group.is_none() => {
                Answer::no(BadCall::Words.to_string())
            }
            Call::SuspendHere(name) => self.set_excluded(name, true),
            Call::RestoreHere(name) => self.set_excluded(name, false),
            Call::Group(_) => Answer::no(BadCall::Name.to_string()),
        }
    }

    fn status(&self) -> Answer {
        if let Some(why) = self.dispatcher.unready_reason() {
            return Answer::no(why);
        }
        match self.dispatcher.excluded_count() {
            0 => Answer::yes("ready"),
            excluded => Answer::yes(format!("ready, {excluded} suspended")),
        }
    }

    fn pause(&self) -> Answer {
        let now = self.dispatcher.now();
        let first = self.dispatcher.drain().pause(now);
        Answer::yes(if first {
            "emptying"
        } else {
            "emptying since before"
        })
    }

    fn resume(&self) -> Answer {
        let was_paused = self.dispatcher.drain().resume();
        Answer::yes(if was_paused {
            "taking clients"
        } else {
            "was taking clients"
        })
    }

    /// Excludes an endpoint at this ingress, or ends that, and keeps it beyond the end of this process.
    fn set_excluded(&self, name: &str, exclude: bool) -> Answer {
        let (done, done_before) = if exclude {
            ("suspended", "was suspended")
        } else {
            ("restored", "was not suspended")
        };
        let text = match self.dispatcher.set_excluded(name, exclude) {
            ExclusionOutcome::Done => done,
            ExclusionOutcome::AlreadyDone => done_before,
            ExclusionOutcome::NeverListed => return Answer::no(format!("{name} was never listed")),
            ExclusionOutcome::TooMany => return Answer::no("too many are suspended"),
        };
        // Kept also where nothing changed here: another process of this ingress may not have heard of it.
        let kept = self.store.as_ref().map(|store| store.keep(name, exclude));
        match kept {
            Some(Err(e)) => {
                tracing::error!(name, out = exclude, error = %e, "not kept over an upgrade");
                Answer::yes(format!("{name} {text}, but not over an upgrade: {e}"))
            }
            _ => Answer::yes(format!("{name} {text}")),
        }
    }

    /// A call that the group has to agree to, or to answer.
    async fn carry_out_in_group(&self, group: &Group, call: &Call) -> Answer {
        if self.waiting_for_group.get() >= MAX_WAITING_FOR_GROUP {
            return Answer::no("not done: too many calls wait for the group");
        }
        self.waiting_for_group.set(self.waiting_for_group.get() + 1);
        let answer = match call {
            Call::Group(GroupCall::Status) => membership_status(group.membership_status().await),
            Call::Group(GroupCall::Out) => group_exclusions(group).await,
            Call::Suspend(name) | Call::Restore(name) if !self.dispatcher.was_listed(name) => {
                Answer::no(format!("{name} was never listed"))
            }
            call => match proposal(call) {
                Some(proposal) => self.propose(group, call, proposal).await,
                None => Answer::no(BadCall::Name.to_string()),
            },
        };
        self.waiting_for_group.set(self.waiting_for_group.get() - 1);
        answer
    }

    async fn propose(&self, group: &Group, call: &Call, proposal: Proposal) -> Answer {
        match group.propose(proposal).await {
            CallResult::Done(outcome, _) => {
                // The answer says that it holds here, so it is put in force before the answer goes out. The latest
                // view is taken: the group may have agreed on something later, which must not be undone.
                let latest = group.view().borrow().excluded.clone();
                self.dispatcher.set_group_exclusions(latest);
                agreed(&self.dispatcher, call, outcome)
            }
            CallResult::Refused(why) => Answer::no(format!("not done: {why}")),
            CallResult::Unknown => {
                Answer::no("not known whether it will be done: ask GROUP OUT, or repeat the call")
            }
        }
    }
}

/// The call of a connection; what comes behind its line is left unread.
async fn read_line(stream: &mut TcpStream) -> std::io::Result<Line> {
    let mut line = Vec::with_capacity(MAX_LINE);
    loop {
        match Call::read(&line) {
            Ok(Some(call)) => return Ok(Line::Call(call)),
            Ok(None) => {}
            Err(problem) => return Ok(Line::Bad(problem)),
        }
        let mut rest = (&mut *stream).take((MAX_LINE - line.len()) as u64);
        if rest.read_buf(&mut line).await? == 0 {
            return Ok(Line::Unfinished);
        }
    }
}

/// The change that a call asks the group for; none: it asks for no change.
fn proposal(call: &Call) -> Option<Proposal> {
    Some(match call {
        Call::Suspend(name) => Proposal::Suspend(name.clone()),
        Call::Restore(name) => Proposal::Restore(name.clone()),
        Call::Group(GroupCall::Add(name, address)) => Proposal::Invite {
            name: name.clone(),
            address: address.to_string(),
            instead_of: None,
        },
        Call::Group(GroupCall::Replace(old, name, address)) => Proposal::Invite {
            name: name.clone(),
            address: address.to_string(),
            instead_of: Some(old.clone()),
        },
        Call::Group(GroupCall::Remove(name)) => Proposal::Remove(name.clone()),
        _ => return None,
    })
}

/// The endpoints that the group has excluded, once this ingress knows all that has been confirmed to anybody.
async fn group_exclusions(group: &Group) -> Answer {
    match group.read().await {
        CallResult::Done(_, view) => {
            let excluded: Vec<&str> = view.excluded.iter().map(String::as_str).collect();
            Answer::yes(format!("at {}: {}", view.applied, excluded.join(" ")))
        }
        CallResult::Refused(why) => Answer::no(why),
        CallResult::Unknown => Answer::no("no answer in time"),
    }
}
