//! Frames between this ingress and the others: handling of received frames, and routing of those to
//! send.

use super::{Admission, Joining, Peer, Stage};
use crate::forwarding_routes::Route;
use crate::frame::Frame;
use crate::member::Member;
use crate::record::MessageRecord;

/// Interval at which an ingress with an empty folder asks to be admitted, ms.
const JOIN_INTERVAL_MS: f64 = 500.0;
/// Interval at which a member reports the members from which it receives frames, ms.
const REPORT_INTERVAL_MS: f64 = 150.0;

impl Peer {
    /// Handles a frame from the link that `from` has opened. `id` is the incarnation in the hello
    /// of that link (0: none).
    pub fn receive(&mut self, now_ms: f64, from: &str, id: u64, frame: Frame) {
        self.note_name(from, id);
        self.routes.note_direct_frame(now_ms, from);
        match frame {
            Frame::Raft(message) | Frame::Forwarded(message) => self.step_message(now_ms, message),
            Frame::Forward(message) => self.forward_message(now_ms, message),
            Frame::Reachability { of, receives_from } => {
                self.handle_report(now_ms, from, of, receives_from)
            }
            Frame::Join { nonce } => self.handle_join(now_ms, from, nonce),
            Frame::Admitted { group, id, nonce } => {
                self.handle_admission(nonce, Admission { group, id });
            }
            // Exchanged between followers and members only, on the follower's connection.
            Frame::Follow { .. }
            | Frame::Call { .. }
            | Frame::Answer { .. }
            | Frame::ReplicaUpdate { .. } => {}
            Frame::Idle => {}
        }
    }

    fn note_name(&mut self, name: &str, id: u64) {
        if id == 0 || self.names.get(&id).is_some_and(|known| known == name) {
            return;
        }
        self.names.retain(|_, known| known != name);
        self.names.insert(id, name.into());
    }

    fn step_message(&mut self, now_ms: f64, message: MessageRecord) {
        if let Some(member) = self.member_mut() {
            member.receive(now_ms, message);
        }
    }

    fn forward_message(&mut self, now_ms: f64, message: MessageRecord) {
        match self.name_of(message.to) {
            Some(to) if to != self.settings.name => self.forward(to, Frame::Forwarded(message)),
            _ => self.step_message(now_ms, message),
        }
    }

    /// Records a report. If it comes directly from the member that it describes, it is also
    /// forwarded to all others.
    fn handle_report(&mut self, now_ms: f64, from: &str, of: String, receives_from: Vec<String>) {
        if of == from {
            let report = Frame::Reachability {
                of: of.clone(),
                receives_from: receives_from.clone(),
            };
            for to in self.others().into_keys().filter(|name| name != from) {
                self.forward(to, report.clone());
            }
        }
        if of != self.settings.name {
            self.routes.note_report(now_ms, &of, receives_from);
        }
    }

    fn handle_join(&mut self, now_ms: f64, from: &str, nonce: u64) {
        let Some(member) = self.member_mut() else {
            return;
        };
        let group = member.group();
        if let Some(id) = member.join(now_ms, from, nonce) {
            let admitted = Frame::Admitted { group, id, nonce };
            self.frames.push((from.into(), admitted));
        }
    }

    fn handle_admission(&mut self, nonce: u64, admission: Admission) {
        if let Stage::Joining(joining) = &mut self.stage {
            if joining.nonce == nonce {
                joining.admission.get_or_insert(admission);
            }
        }
    }

    /// Sends a frame on behalf of another member. Only a member may do so: the links of an ingress
    /// that has not been admitted carry no incarnation, and the other end closes a link that
    /// carries such a frame, which also loses the request to be admitted.
    fn forward(&mut self, to: String, frame: Frame) {
        if self.member().is_some() {
            self.frames.push((to, frame));
        }
    }

    fn name_of(&self, id: u64) -> Option<String> {
        let state = self.member().map(Member::state);
        let member = state.and_then(|state| state.members.get(&id));
        let name = member.map(|member| &member.name);
        name.or_else(|| self.names.get(&id)).cloned()
    }

    /// Advances the time.
    pub fn tick(&mut self, now_ms: f64) {
        match &mut self.stage {
            Stage::Member(member) => {
                member.tick(now_ms);
                self.report_reachability(now_ms);
            }
            Stage::Joining(Joining { nonce, .. }) => {
                let nonce = *nonce;
                self.request_admission(now_ms, nonce);
            }
        }
    }

    fn request_admission(&mut self, now_ms: f64, nonce: u64) {
        if now_ms - self.last_join_ms > JOIN_INTERVAL_MS {
            self.last_join_ms = now_ms;
            self.send_to_all(&Frame::Join { nonce });
        }
    }

    fn report_reachability(&mut self, now_ms: f64) {
        if now_ms - self.last_report_ms >= REPORT_INTERVAL_MS {
            self.last_report_ms = now_ms;
            let report = Frame::Reachability {
                of: self.settings.name.clone(),
                receives_from: self.routes.receives_from(now_ms),
            };
            self.send_to_all(&report);
        }
    }

    fn send_to_all(&mut self, frame: &Frame) {
        let others = self.others().into_keys();
        let frames = others.map(|name| (name, frame.clone()));
        self.frames.extend(frames);
    }

    /// Returns and clears the frames to send, with the names of their receivers.
    pub fn frames(&mut self, now_ms: f64) -> Vec<(String, Frame)> {
        let messages = self.member_mut().map(Member::messages).unwrap_or_default();
        for message in messages {
            let Some(to) = self.name_of(message.to) else {
                continue;
            };
            match self.routes.route_to(now_ms, &to) {
                Route::Direct => self.frames.push((to, Frame::Raft(message))),
                Route::Via(other) => self.frames.push((other, Frame::Forward(message))),
            }
        }
        std::mem::take(&mut self.frames)
    }
}
