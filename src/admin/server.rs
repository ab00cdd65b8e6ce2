//! The listener for operators' calls: a connection carries one call, which is one line, and one
//! answer, which is one line.
//!
//! `driftgap_admin` parses the calls; this module reads them from the connection, executes them,
//! and writes the answers. Connections are limited in number and time, so that a silent caller does
//! not block others.

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

/// Most callers that have not sent their line. A further one replaces the caller that has been
/// silent for longest.
pub const MAX_CALLERS: usize = 16;
/// Most calls that wait for the group at the same time.
const MAX_WAITING_FOR_GROUP: usize = 64;
/// Time limit of a caller for sending its line, and again for reading the answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Pause of the listener after an accept error, for example when no descriptors are left.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Stores the exclusions of this ingress beyond the end of this process.
pub trait ExclusionStore {
    /// Stores that an endpoint is excluded, or that it no longer is.
    ///
    /// # Errors
    /// The change cannot be stored; it is lost when this process ends.
    fn persist(&self, name: &str, excluded: bool) -> std::io::Result<()>;
}

/// Returns the name of the endpoint or member that a call is about; empty if it names none.
fn target_name(call: &Call) -> &str {
    match call {
        Call::Suspend(name) | Call::Restore(name) => name,
        Call::Group(
            GroupCall::Add(name, _) | GroupCall::Remove(name) | GroupCall::Replace(_, name, _),
        ) => name,
        _ => "",
    }
}

/// Builds the answer to a call whose proposal the group has decided.
fn committed_answer(dispatcher: &Dispatcher, call: &Call, outcome: Outcome) -> Answer {
    let name = target_name(call);
    let (done, done_before) = match call {
        Call::Suspend(_) => ("suspended for the group", "was suspended"),
        Call::Restore(_) => ("restored for the group", "was not suspended by the group"),
        Call::Group(GroupCall::Remove(_)) => ("let go", "was let go"),
        _ => ("awaited", "is a member already"),
    };
    let text = match outcome {
        Outcome::Done => done,
        Outcome::Unchanged => done_before,
        Outcome::TooMany => return Answer::nak("too many are suspended"),
        Outcome::Unknown => return Answer::nak(format!("not done: no such member for {name}")),
        Outcome::Late => return Answer::nak("not done: it came too late"),
        _ => return Answer::nak("not done: refused; at least 3 and at most 7 members vote"),
    };
    if matches!(call, Call::Restore(_)) && dispatcher.is_excluded_here(name) {
        return Answer::ack(format!(
            "{name} {text}, but is suspended here: RESTORE {name} HERE"
        ));
    }
    Answer::ack(format!("{name} {text}"))
}

/// Formats the age of a replica, ms.
fn format_age(ms: f64) -> String {
    if ms.is_finite() {
        format!("{ms:.0}")
    } else {
        "unknown".into()
    }
}

/// Builds the answer to GROUP STATUS: the state of the group as one line.
fn membership_answer(membership_status: MembershipStatus) -> Answer {
    let status = match membership_status {
        MembershipStatus::Joining => {
            return Answer::nak(
                "not in the group yet: the folder is empty, and nobody has let it in",
            )
        }
        MembershipStatus::Failed(why) => return Answer::nak(format!("votes no more: {why}")),
        MembershipStatus::Follower {
            member,
            applied,
            age_ms,
            stored,
        } => {
            let (is_ack, member) = (member.is_some(), member.unwrap_or_else(|| "none".into()));
            let age = format_age(age_ms.unwrap_or(f64::INFINITY));
            let stored = stored.map_or("none".into(), |stored| stored.to_string());
            return Answer {
                is_ack,
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
        format_age(status.age_ms),
        if status.changing { "yes" } else { "no" },
        status.format_version,
        members.collect::<Vec<_>>().join(",")
    );
    Answer {
        is_ack: status.leader.is_some(),
        text,
    }
}

/// Answers operators' calls.
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    store: Option<Rc<dyn ExclusionStore>>,
    group: Option<Group>,
    /// The number of calls that wait for the group.
    waiting_for_group: Cell<usize>,
    /// Callers that have not sent their line yet, the oldest first.
    silent_callers: RefCell<VecDeque<SilentCaller>>,
    next_number: Cell<u64>,
}

/// A caller that has not sent its line yet.
struct SilentCaller {
    number: u64,
    task: AbortHandle,
}

/// The result of reading a caller's line.
enum Line {
    Call(Call),
    Bad(BadCall),
    /// The connection ended before the end of the line.
    Unfinished,
}

impl AdminServer {
    /// Creates a server for this ingress. Exclusions are stored in `store`, if there is one, and
    /// calls for the group go to `group`.
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

    /// Accepts callers until its task is aborted.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                Err(e) => {
                    tracing::warn!(error = %e, "operator's connection cannot be accepted; trying again");
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
            // The answer to a caller that has disconnected or does not read is dropped.
            let _ = server.serve(stream, number).await;
            server.remove_silent_caller(number);
        });
        let mut silent_callers = self.silent_callers.borrow_mut();
        silent_callers.push_back(SilentCaller {
            number,
            task: task.abort_handle(),
        });
        if silent_callers.len() > MAX_CALLERS {
            // A caller leaves the list as soon as its line has arrived, so the oldest entry has
            // been silent for longest.
            if let Some(oldest) = silent_callers.pop_front() {
                oldest.task.abort();
            }
        }
    }

    /// Removes a caller from the silent callers: its line has arrived, or its connection has ended.
    fn remove_silent_caller(&self, number: u64) {
        self.silent_callers
            .borrow_mut()
            .retain(|caller| caller.number != number);
    }

    async fn serve(&self, mut stream: TcpStream, number: u64) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let answer = match timeout(CALLER_TIMEOUT, read_line(&mut stream)).await {
            Ok(line) => match line? {
                Line::Call(call) => {
                    // From here on the caller is never aborted: a call that waits for the group may
                    // already have taken effect.
                    self.remove_silent_caller(number);
                    self.carry_out(call).await
                }
                Line::Bad(problem) => Answer::nak(problem.to_string()),
                Line::Unfinished => return Ok(()),
            },
            Err(_) => Answer::nak("no whole line in time"),
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
        let read_only = matches!(
            call,
            Call::Status | Call::Group(GroupCall::Status | GroupCall::Out)
        );
        if !read_only {
            tracing::info!(call = ?call, yes = answer.is_ack, answer = answer.text, "operator's call answered");
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
            // Without a group every call applies to this ingress alone, and the HERE variants do
            // not exist.
            Call::SuspendHere(_) | Call::RestoreHere(_) if self.group.is_none() => {
                Answer::nak(BadCall::Words.to_string())
            }
            Call::SuspendHere(name) => self.set_excluded(name, true),
            Call::RestoreHere(name) => self.set_excluded(name, false),
            Call::Group(_) => Answer::nak(BadCall::Name.to_string()),
        }
    }

    fn status(&self) -> Answer {
        if let Some(why) = self.dispatcher.unready_reason() {
            return Answer::nak(why);
        }
        match self.dispatcher.excluded_count() {
            0 => Answer::ack("ready"),
            excluded => Answer::ack(format!("ready, {excluded} suspended")),
        }
    }

    fn pause(&self) -> Answer {
        let now = self.dispatcher.now();
        let first = self.dispatcher.drain().pause(now);
        Answer::ack(if first {
            "emptying"
        } else {
            "emptying since before"
        })
    }

    fn resume(&self) -> Answer {
        let was_paused = self.dispatcher.drain().resume();
        Answer::ack(if was_paused {
            "taking clients"
        } else {
            "was taking clients"
        })
    }

    /// Excludes or restores an endpoint at this ingress, and stores the change beyond the end of
    /// this process.
    fn set_excluded(&self, name: &str, exclude: bool) -> Answer {
        let (done, done_before) = if exclude {
            ("suspended", "was suspended")
        } else {
            ("restored", "was not suspended")
        };
        let text = match self.dispatcher.set_excluded(name, exclude) {
            ExclusionOutcome::Done => done,
            ExclusionOutcome::AlreadyDone => done_before,
            ExclusionOutcome::NeverListed => {
                return Answer::nak(format!("{name} was never listed"))
            }
            ExclusionOutcome::TooMany => return Answer::nak("too many are suspended"),
        };
        // Stored also if nothing changed here: another process of this ingress may not have the
        // change.
        let persisted = self
            .store
            .as_ref()
            .map(|store| store.persist(name, exclude));
        match persisted {
            Some(Err(e)) => {
                tracing::error!(name, out = exclude, error = %e, "exclusion cannot be stored; it will be lost at the next upgrade");
                Answer::ack(format!("{name} {text}, but not over an upgrade: {e}"))
            }
            _ => Answer::ack(format!("{name} {text}")),
        }
    }

    /// Executes a call that the group has to agree to or to answer.
    async fn carry_out_in_group(&self, group: &Group, call: &Call) -> Answer {
        if self.waiting_for_group.get() >= MAX_WAITING_FOR_GROUP {
            return Answer::nak("not done: too many calls wait for the group");
        }
        self.waiting_for_group.set(self.waiting_for_group.get() + 1);
        let answer = match call {
            Call::Group(GroupCall::Status) => membership_answer(group.membership_status().await),
            Call::Group(GroupCall::Out) => exclusions_answer(group).await,
            Call::Suspend(name) | Call::Restore(name) if !self.dispatcher.was_listed(name) => {
                Answer::nak(format!("{name} was never listed"))
            }
            call => match proposal(call) {
                Some(proposal) => self.propose(group, call, proposal).await,
                None => Answer::nak(BadCall::Name.to_string()),
            },
        };
        self.waiting_for_group.set(self.waiting_for_group.get() - 1);
        answer
    }

    async fn propose(&self, group: &Group, call: &Call, proposal: Proposal) -> Answer {
        match group.propose(proposal).await {
            CallResult::Done(outcome, _) => {
                // The answer confirms that the change is in force here, so apply it first. Apply
                // the latest view: the group may already have agreed on a later change, which must
                // not be undone.
                let latest = group.view().borrow().excluded.clone();
                self.dispatcher.set_group_exclusions(latest);
                committed_answer(&self.dispatcher, call, outcome)
            }
            CallResult::Refused(why) => Answer::nak(format!("not done: {why}")),
            CallResult::Unknown => {
                Answer::nak("not known whether it will be done: ask GROUP OUT, or repeat the call")
            }
        }
    }
}

/// Reads the one call of a connection. Bytes after its line are ignored.
async fn read_line(stream: &mut TcpStream) -> std::io::Result<Line> {
    let mut line = Vec::with_capacity(MAX_LINE);
    loop {
        match Call::parse(&line) {
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

/// Returns the change that a call proposes to the group, or `None` if it changes nothing.
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

/// Builds the answer to GROUP OUT: the endpoints that the group has excluded, including every
/// change confirmed to any caller.
async fn exclusions_answer(group: &Group) -> Answer {
    match group.read().await {
        CallResult::Done(_, view) => {
            let excluded: Vec<&str> = view.excluded.iter().map(String::as_str).collect();
            Answer::ack(format!("at {}: {}", view.applied, excluded.join(" ")))
        }
        CallResult::Refused(why) => Answer::nak(why),
        CallResult::Unknown => Answer::nak("no answer in time"),
    }
}
