//! Carries out the actions of the member after frames, writes and ticks: disk jobs, frames to send,
//! the published state, and the results of calls.

use super::{MemberTask, Participation};
use crate::group::call::{CallResult, View};
use driftgap_group::{Event, Member, Outcome, WriteJob};
use std::sync::Arc;

/// Most call durations that one line of statistics covers.
const MAX_CALL_TIMES: usize = 4096;

impl MemberTask {
    /// Starts the next write, and then sends frames and completes calls. Returns true if the
    /// members of the group may have changed.
    pub(super) fn make_progress(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        if !self.begin_job(now_ms) {
            return false;
        }
        self.send_frames(now_ms);
        let Participation::Active(peer) = &mut self.participation else {
            return false;
        };
        let events = peer.events(now_ms);
        let Some(member) = peer.member() else {
            return false;
        };
        if let Some(lost) = member.failure() {
            self.fail(lost.to_string());
            return false;
        }
        let changed = events.contains(&Event::Changed);
        if changed {
            self.publish_state();
        }
        for event in events {
            self.complete_call(event);
        }
        self.log_leader(now_ms);
        changed
    }

    /// Starts the next disk job if the disk is idle. Returns false if this ingress does not take
    /// part in the group.
    fn begin_job(&mut self, now_ms: f64) -> bool {
        let Participation::Active(peer) = &mut self.participation else {
            return false;
        };
        while !self.disk.is_busy() {
            let Some(job) = peer.next_write(now_ms) else {
                break;
            };
            if job == WriteJob::Write(Box::default()) {
                // Nothing to write: the effects that wait for this batch follow at once.
                let _ = peer.written(now_ms);
            } else if !self.disk.begin(now_ms, job) {
                self.fail("its disk's thread has ended".into());
                return false;
            }
        }
        true
    }

    fn send_frames(&mut self, now_ms: f64) {
        let Participation::Active(peer) = &mut self.participation else {
            return;
        };
        for (to, frame) in peer.frames(now_ms) {
            if let Some(link) = self.links.get(&to) {
                link.send(&frame);
            }
        }
        for (to, frame) in peer.to_followers(now_ms) {
            let Some(follower) = self.followers.get(&to) else {
                continue;
            };
            if !follower.send(&frame) {
                // The follower reads too slowly. It reconnects and receives the whole replica.
                follower.close();
            }
        }
    }

    /// Publishes the member's state to the rest of the ingress.
    fn publish_state(&self) {
        let Some(member) = self.member() else { return };
        let form = member.state().format_version();
        if self.identity.format.get() < form {
            self.identity.format.set(form);
            tracing::info!(form, "the group raised its format version");
        }
        let view = next_view(&self.view.borrow(), member);
        self.view.send_replace(view);
    }

    fn complete_call(&mut self, event: Event) {
        let done = |outcome| CallResult::Done(outcome, self.view.borrow().clone());
        let (number, ended) = match event {
            Event::Done(number, outcome) => (number, done(outcome)),
            Event::Read(number) => (number, done(Outcome::Done)),
            Event::Expired(number, true) => (number, CallResult::Unknown),
            Event::Expired(number, false) => {
                (number, CallResult::Refused("no leader in time".into()))
            }
            Event::Changed | Event::DoneFor(..) | Event::ExpiredFor(..) => return,
        };
        let Some(call) = self.waiting_calls.remove(&number) else {
            return;
        };
        let is_done = matches!(ended, CallResult::Done(..));
        if is_done && self.call_times_ms.len() < MAX_CALL_TIMES {
            let time_ms = call.began.elapsed().as_secs_f64() * 1e3;
            self.call_times_ms.push(time_ms);
        }
        let _ = call.answer.send(ended);
    }

    fn log_leader(&mut self, now_ms: f64) {
        let Some(member) = self.member() else { return };
        let status = member.status(now_ms);
        if self.logged_leader.as_ref() == Some(&status.leader) {
            return;
        }
        match &status.leader {
            Some(leader) => tracing::info!(leader, term = status.term, "the group has a leader"),
            None => tracing::warn!(term = status.term, "the group has no leader"),
        }
        self.logged_leader = Some(status.leader);
    }
}

/// Builds the view of the member's state. Parts that have not changed are shared with the last
/// view.
fn next_view(last: &View, member: &Member) -> View {
    let state = member.state();
    let out = match last.excluded.iter().eq(state.excluded.keys()) {
        true => last.excluded.clone(),
        false => Arc::new(state.excluded.keys().cloned().collect()),
    };
    let documents = match *last.documents == state.documents {
        true => last.documents.clone(),
        false => Arc::new(state.documents.clone()),
    };
    View {
        excluded: out,
        documents,
        applied: member.applied(),
    }
}
