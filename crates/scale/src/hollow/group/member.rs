//! A group member without sockets or a disk: the peer's code, what its thread does around it, and the time its disk
//! would take.

use driftgap::group::View;
use driftgap_group::{read_frame, Event, Frame, Member, Peer, WriteJob, MAX_FRAME};
use std::sync::Arc;

/// Frames that a member sends at one turn, as bytes.
#[derive(Debug, Default)]
pub(super) struct Turn {
    /// To members, by name.
    pub(super) to_members: Vec<(String, Vec<u8>)>,
    /// To followers, by connection.
    pub(super) to_followers: Vec<(u64, Vec<u8>)>,
    /// Whether the disk has begun a write.
    pub(super) writes: bool,
    /// What has happened, followers' calls apart.
    pub(super) events: Vec<Event>,
}

/// One member.
pub struct HollowMember {
    pub(super) name: String,
    pub(super) peer: Peer,
    view: View,
    writing: bool,
}

impl HollowMember {
    pub(super) fn new(name: &str, peer: Peer) -> HollowMember {
        HollowMember {
            name: name.into(),
            peer,
            view: View::default(),
            writing: false,
        }
    }

    /// The member itself; none: it has not been let in yet.
    pub(super) fn member(&self) -> Option<&Member> {
        self.peer.member()
    }

    /// Takes in what another member has sent; false: it was no frame.
    pub(super) fn hear(&mut self, now_ms: f64, from: &str, id: u64, bytes: &[u8]) -> bool {
        let Some(frame) = decode(bytes) else {
            return false;
        };
        self.peer.receive(now_ms, from, id, frame);
        true
    }

    /// Takes in what a follower has sent; false: it was no frame, or there is nothing to follow.
    pub(super) fn hear_follower(&mut self, now_ms: f64, connection: u64, bytes: &[u8]) -> bool {
        let Some(frame) = decode(bytes) else {
            return false;
        };
        self.peer.receive_from_follower(now_ms, connection, frame)
    }

    /// The disk has done its job.
    pub(super) fn written(&mut self, now_ms: f64) -> Result<(), driftgap_group::MemberFailure> {
        self.writing = false;
        self.peer.written(now_ms)
    }

    /// Time has passed, or something has come: what the member's thread does then, in its order.
    pub(super) fn turn(&mut self, now_ms: f64) -> Result<Turn, driftgap_group::MemberFailure> {
        let mut turn = Turn::default();
        self.peer.tick(now_ms);
        while !self.writing {
            let Some(job) = self.peer.next_write(now_ms) else {
                break;
            };
            if job == WriteJob::Write(Box::default()) {
                self.peer.written(now_ms)?;
            } else {
                (self.writing, turn.writes) = (true, true);
            }
        }
        let frames = self.peer.frames(now_ms);
        turn.to_members = frames
            .into_iter()
            .map(|(to, frame)| (to, frame.bytes()))
            .collect();
        let frames = self.peer.to_followers(now_ms);
        turn.to_followers = frames
            .into_iter()
            .map(|(to, frame)| (to, frame.bytes()))
            .collect();
        turn.events = self.peer.events(now_ms);
        if turn.events.contains(&Event::Changed) {
            self.update_view();
        }
        Ok(turn)
    }

    /// Keeps what the rest of the ingress sees of the group, as the group's thread does.
    fn update_view(&mut self) {
        let Some(member) = self.peer.member() else {
            return;
        };
        let state = member.state();
        if !self.view.excluded.iter().eq(state.excluded.keys()) {
            self.view.excluded = Arc::new(state.excluded.keys().cloned().collect());
        }
        if *self.view.documents != state.documents {
            self.view.documents = Arc::new(state.documents.clone());
        }
        self.view.applied = member.applied();
    }
}

/// The frame that these bytes are.
pub(super) fn decode(bytes: &[u8]) -> Option<Frame> {
    match read_frame(bytes, MAX_FRAME) {
        Ok(Some((frame, used))) if used == bytes.len() => Some(frame),
        _ => None,
    }
}
