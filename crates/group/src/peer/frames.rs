//! The frames between this ingress and the others: what comes in, and what is to be sent by which route.

use super::{Admission, Joining, Peer, Stage};
use crate::forwarding_routes::Route;
use crate::frame::Frame;
use crate::member::Member;
use crate::record::MessageRecord;

/// An ingress with an empty folder asks this often to be admitted, ms.
const JOIN_INTERVAL_MS: f64 = 500.0;
/// Every member reports whom it hears this often, ms.
const REPORT_INTERVAL_MS: f64 = 150.0;

impl Peer {
    /// A frame has come over a link that this one opened, from the incarnation (0: none) that greeted by it.
    pub fn receive(&mut self, now_ms: f64, from: &str, id: u64, frame: Frame) {
        self.note_name(from, id);
        self.routes.note_heard(now_ms, from);
        match frame {
            Frame::Raft(message) | Frame::Forwarded(message) => self.take_message(now_ms, message),
            Frame::Forward(message) => self.forward_message(now_ms, message),
            Frame::Reachability { of, hears } => self.take_report(now_ms, from, of, hears),
            Frame::Join { nonce } => self.answer_join(now_ms, from, nonce),
            Frame::Admitted { group, id, nonce } => {
                self.take_admission(nonce, Admission { group, id });
            }
            // Between followers and members only, on the follower's connection.
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

    fn take_message(&mut self, now_ms: f64, message: MessageRecord) {
        if let Some(member) = self.member_mut() {
            member.receive(now_ms, message);
        }
    }

    fn forward_message(&mut self, now_ms: f64, message: MessageRecord) {
        match self.name_of(message.to) {
            Some(to) if to != self.settings.name => self.forward(to, Frame::Forwarded(message)),
            _ => self.take_message(now_ms, message),
        }
    }

    /// A report that came from its own member is forwarded to all others; one that was forwarded is not.
    fn take_report(&mut self, now_ms: f64, from: &str, of: String, hears: Vec<String>) {
        if of == from {
            let report = Frame::Reachability {
                of: of.clone(),
                hears: hears.clone(),
            };
            for to in self.others().into_keys().filter(|name| name != from) {
                self.forward(to, report.clone());
            }
        }
        if of != self.settings.name {
            self.routes.note_report(now_ms, &of, hears);
        }
    }

    fn answer_join(&mut self, now_ms: f64, from: &str, nonce: u64) {
        let Some(member) = self.member_mut() else {
            return;
        };
        let group = member.group();
        if let Some(id) = member.join(now_ms, from, nonce) {
            let admitted = Frame::Admitted { group, id, nonce };
            self.frames.push((from.into(), admitted));
        }
    }

    fn take_admission(&mut self, nonce: u64, admission: Admission) {
        if let Stage::Joining(joining) = &mut self.stage {
            if joining.nonce == nonce {
                joining.admission.get_or_insert(admission);
            }
        }
    }

    /// Sends another member's frame on. An ingress that is no member must not: its links have greeted as no member, and
    /// the other end closes a link that carries such a frame, and with it the request to be admitted.
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

    /// Time goes by.
    pub fn tick(&mut self, now_ms: f64) {
        match &mut self.stage {
            Stage::Member(member) => {
                member.tick(now_ms);
                self.report_reachability(now_ms);
            }
            Stage::Joining(Joining { nonce, .. }) => {
                let nonce = *nonce;
                self.ask_to_join(now_ms, nonce);
            }
        }
    }

    fn ask_to_join(&mut self, now_ms: f64, nonce: u64) {
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
                hears: self.routes.hears(now_ms),
            };
            self.send_to_all(&report);
        }
    }

    fn send_to_all(&mut self, frame: &Frame) {
        let others = self.others().into_keys();
        let frames = others.map(|name| (name, frame.clone()));
        self.frames.extend(frames);
    }

    /// Takes what is to be sent, and to whom.
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
