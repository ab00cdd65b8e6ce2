//! A follower without sockets: the program's follower code, and the view of its replica for the
//! rest of the ingress.

use super::member::decode;
use driftgap::group::View;
use driftgap_group::{Follower, Replica};
use std::sync::Arc;

/// A simulated follower.
pub struct HollowFollower {
    follower: Follower,
    view: View,
}

/// What to do with a follower's connection after an iteration of its event loop.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    /// Keep the current state.
    Keep,
    /// Close the connection: the member is silent, or its state is stale.
    Close,
    /// Connect to the member with this name.
    Connect(String),
}

impl HollowFollower {
    pub(super) fn new(name: &str, origin: u64, members: &[String], now_ms: f64) -> HollowFollower {
        let members = members.iter().map(String::as_str);
        let follower = Follower::new(name, origin, members, Replica::default(), now_ms);
        HollowFollower {
            follower,
            view: View::default(),
        }
    }

    /// Reports that a member of this group has accepted the follower's connection.
    pub(super) fn connected(&mut self, now_ms: f64, group: u64) {
        self.follower.connected(now_ms, group);
    }

    /// Processes bytes from the member. Returns false if they are not a frame.
    pub(super) fn receive(&mut self, now_ms: f64, bytes: &[u8]) -> bool {
        let Some(frame) = decode(bytes) else {
            return false;
        };
        self.follower.receive(now_ms, frame);
        true
    }

    /// Runs one iteration of the event loop. Returns the frames to send, and what to do with the
    /// connection.
    pub(super) fn turn(
        &mut self,
        now_ms: f64,
        connecting: bool,
    ) -> (Vec<Vec<u8>>, ConnectionAction) {
        self.follower.tick(now_ms);
        let mut action = ConnectionAction::Keep;
        if self.follower.leaves_stale_member(now_ms) {
            action = ConnectionAction::Close;
        } else if self.follower.is_silent(now_ms) {
            self.follower.disconnected(now_ms);
            action = ConnectionAction::Close;
        }
        let (member, due) = self.follower.next_member();
        if action == ConnectionAction::Keep
            && !connecting
            && !self.follower.is_up()
            && now_ms >= due
        {
            action = ConnectionAction::Connect(member.into());
        }
        let frames = self
            .follower
            .frames()
            .iter()
            .map(driftgap_group::Frame::bytes)
            .collect();
        if self.follower.changed() {
            self.update_view();
        }
        (frames, action)
    }

    /// Rebuilds the view of the replica after a change, as the group's thread does.
    fn update_view(&mut self) {
        let replica = self.follower.replica();
        self.view = View {
            excluded: Arc::new(replica.excluded.clone()),
            documents: Arc::new(replica.documents.clone()),
            applied: replica.applied,
        };
    }

    /// Returns whether the view has this endpoint as excluded and a document with this number.
    pub fn holds(&self, endpoint: &str, number: u64) -> bool {
        let numbered = self
            .view
            .documents
            .values()
            .any(|document| document.number == number);
        self.view.excluded.contains(endpoint) && numbered
    }

    /// Returns the follower's replica of the group's state.
    pub(super) fn replica(&self) -> &Replica {
        self.follower.replica()
    }
}
