//! A group member without sockets or a disk: the program's peer code, and what the group's thread
//! does around it. The caller simulates the duration of disk writes.

use driftgap::group::View;
use driftgap_group::{read_frame, Event, Frame, Member, Peer, WriteJob, MAX_FRAME};
use std::sync::Arc;

/// The results of one iteration of a member's event loop.
#[derive(Debug, Default)]
pub(super) struct Turn {
    /// Encoded frames to members, by name.
    pub(super) to_members: Vec<(String, Vec<u8>)>,
    /// Encoded frames to followers, by connection.
    pub(super) to_followers: Vec<(u64, Vec<u8>)>,
    /// Whether a disk write was started.
    pub(super) write_started: bool,
    /// Events other than the results of followers' calls.
    pub(super) events: Vec<Event>,
}

/// A simulated member.
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

    /// Returns the member, or `None` before the group has accepted it.
    pub(super) fn member(&self) -> Option<&Member> {
        self.peer.member()
    }

    /// Processes bytes from another member. Returns false if they are not a frame.
    pub(super) fn receive(&mut self, now_ms: f64, from: &str, id: u64, bytes: &[u8]) -> bool {
        let Some(frame) = decode(bytes) else {
            return false;
        };
        self.peer.receive(now_ms, from, id, frame);
        true
    }

    /// Processes bytes from a follower. Returns false if they are not a frame, or if there is no
    /// state to follow yet.
    pub(super) fn receive_from_follower(
        &mut self,
        now_ms: f64,
        connection: u64,
        bytes: &[u8],
    ) -> bool {
        let Some(frame) = decode(bytes) else {
            return false;
        };
        self.peer.receive_from_follower(now_ms, connection, frame)
    }

    /// Reports that the disk write is complete.
    pub(super) fn written(&mut self, now_ms: f64) -> Result<(), driftgap_group::MemberFailure> {
        self.writing = false;
        self.peer.written(now_ms)
    }

    /// Runs one iteration of the event loop, in the order of the group's thread.
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
                (self.writing, turn.write_started) = (true, true);
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

    /// Updates the view of the group's state for the rest of the ingress, as the group's thread
    /// does.
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

/// Decodes bytes that must contain exactly one frame.
pub(super) fn decode(bytes: &[u8]) -> Option<Frame> {
    match read_frame(bytes, MAX_FRAME) {
        Ok(Some((frame, used))) if used == bytes.len() => Some(frame),
        _ => None,
    }
}
