//! A member's links: which there are, and what they report.

use super::{MemberTask, Participation};
use crate::group::link::{LinkEvent, LinkSender, MemberLink, MAX_FOLLOWERS};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

impl MemberTask {
    /// A fault on the way may end a connection for one side only: the other one goes on to write to nobody, and the
    /// link looks sound. The member at its other end reports that it does not hear this one; a link that had the time
    /// to be heard is made anew then. True: there was one.
    pub(super) fn end_dead_links(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        let Participation::Active(peer) = &self.participation else {
            return false;
        };
        let mut ended = false;
        for name in peer.unheard_by(now_ms) {
            let link = self.links.get(&name);
            if !link.is_some_and(MemberLink::is_established) {
                continue;
            }
            tracing::warn!(to = name, "is not heard over its link: made anew");
            self.links.remove(&name).inspect(MemberLink::end);
            ended = true;
        }
        ended
    }

    /// A link to everybody who is in the group or awaited, and to nobody else.
    pub(super) fn reconcile_links(&mut self, events: &mpsc::Sender<LinkEvent>) {
        let Participation::Active(peer) = &self.participation else {
            return;
        };
        let others = peer.others();
        self.links.retain(|name, link| {
            // A member that was admitted again may be at another address.
            let address = others.get(name);
            let stays = address.is_some_and(|address| *address == link.address.to_string());
            if !stays {
                link.end();
            }
            stays
        });
        for (name, address) in others {
            let Ok(address) = address.parse::<SocketAddr>() else {
                continue;
            };
            self.links.entry(name.clone()).or_insert_with(|| {
                MemberLink::open(
                    self.identity.clone(),
                    name,
                    address,
                    events.clone(),
                    self.link_statistics.clone(),
                )
            });
        }
    }

    pub(super) fn take_event(&mut self, event: LinkEvent) {
        let now_ms = self.clock.now_ms();
        let Participation::Active(peer) = &mut self.participation else {
            return;
        };
        match event {
            LinkEvent::Greeted {
                name,
                newest_format,
            } => peer.note_newest_format(&name, newest_format),
            LinkEvent::Frame {
                from,
                incarnation,
                frame,
            } => peer.receive(now_ms, &from, incarnation, *frame),
            LinkEvent::Broken { name } => peer.disconnected(&name),
            LinkEvent::FollowerConnected {
                connection,
                name,
                sender,
            } => self.add_follower(connection, &name, sender),
            LinkEvent::FollowerFrame { connection, frame } => {
                let served = self.followers.contains_key(&connection)
                    && peer.receive_from_follower(now_ms, connection, *frame);
                if !served {
                    self.drop_follower(connection);
                }
            }
            LinkEvent::FollowerGone { connection } => {
                self.followers.remove(&connection);
                peer.follower_disconnected(connection);
            }
        }
    }

    fn add_follower(&mut self, connection: u64, name: &str, sender: Rc<LinkSender>) {
        if self.followers.len() >= MAX_FOLLOWERS {
            return sender.close();
        }
        tracing::info!(name, "is followed by");
        self.followers.insert(connection, sender);
    }

    fn drop_follower(&mut self, connection: u64) {
        if let Some(follower) = self.followers.remove(&connection) {
            follower.close();
        }
    }
}
