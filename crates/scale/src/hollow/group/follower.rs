//! A follower without sockets: its code, and the copy that the rest of its ingress sees.

use super::member::decode;
use driftgap::group::View;
use driftgap_group::{Follower, Replica};
use std::sync::Arc;

/// One follower.
pub struct HollowFollower {
    follower: Follower,
    view: View,
}

/// What a follower wants of its connection after a turn.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Wants {
    /// It stays as it is.
    Nothing,
    /// The connection is to end: its member is silent, or knows only old things.
    End,
    /// A connection to the member of this name.
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

    /// A member of this group has welcomed it.
    pub(super) fn connected(&mut self, now_ms: f64, group: u64) {
        self.follower.connected(now_ms, group);
    }

    /// Takes in what its member has sent; false: it was no frame.
    pub(super) fn hear(&mut self, now_ms: f64, bytes: &[u8]) -> bool {
        let Some(frame) = decode(bytes) else {
            return false;
        };
        self.follower.receive(now_ms, frame);
        true
    }

    /// Time has passed, or something has come: what is to be sent, and what becomes of the connection.
    pub(super) fn turn(&mut self, now_ms: f64, connecting: bool) -> (Vec<Vec<u8>>, Wants) {
        self.follower.tick(now_ms);
        let mut wants = Wants::Nothing;
        if self.follower.leaves_stale_member(now_ms) {
            wants = Wants::End;
        } else if self.follower.is_silent(now_ms) {
            self.follower.disconnected(now_ms);
            wants = Wants::End;
        }
        let (member, due) = self.follower.next_member();
        if wants == Wants::Nothing && !connecting && !self.follower.is_up() && now_ms >= due {
            wants = Wants::Connect(member.into());
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
        (frames, wants)
    }

    /// What the rest of the ingress sees of the copy, made anew at each change as the group's thread does.
    fn update_view(&mut self) {
        let copy = self.follower.replica();
        self.view = View {
            excluded: Arc::new(copy.excluded.clone()),
            documents: Arc::new(copy.documents.clone()),
            applied: copy.applied,
        };
    }

    /// Whether what its ingress sees has this endpoint as out, and documents of this number.
    pub fn holds(&self, endpoint: &str, number: u64) -> bool {
        let numbered = self
            .view
            .documents
            .values()
            .any(|document| document.number == number);
        self.view.excluded.contains(endpoint) && numbered
    }

    /// What it knows of the group.
    pub(super) fn copy(&self) -> &Replica {
        self.follower.replica()
    }
}
