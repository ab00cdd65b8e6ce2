//! A member's links: opens and ends them, and handles their events.

use super::{MemberTask, Participation};
use crate::group::link::{LinkEvent, LinkSender, MemberLink, MAX_FOLLOWERS};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

impl MemberTask {
    /// Ends links that look healthy but carry nothing: a network fault may end a connection on one
    /// side only, and the other side keeps writing to it. The member at the other end reports that
    /// it receives nothing from this one. A link that has been up long enough to deliver frames is
    /// then ended, to be opened again. Returns true if a link was ended.
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
            tracing::warn!(
                to = name,
                "member receives nothing over its link: reconnecting"
            );
            self.links.remove(&name).inspect(MemberLink::end);
            ended = true;
        }
        ended
    }

    /// Keeps a link to each ingress that is a member or is to be admitted, and to no other.
    pub(super) fn reconcile_links(&mut self, events: &mpsc::Sender<LinkEvent>) {
        let Participation::Active(peer) = &self.participation else {
            return;
        };
        let others = peer.others();
        self.links.retain(|name, link| {
            // A member that was admitted again may have another address.
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

    pub(super) fn handle_event(&mut self, event: LinkEvent) {
        let now_ms = self.clock.now_ms();
        let Participation::Active(peer) = &mut self.participation else {
            return;
        };
        match event {
            LinkEvent::HelloReceived {
                name,
                newest_format,
            } => peer.note_newest_format(&name, newest_format),
            LinkEvent::Frame {
                from,
                incarnation,
                frame,
            } => peer.receive(now_ms, &from, incarnation, *frame),
            LinkEvent::Disconnected { name } => peer.disconnected(&name),
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
            LinkEvent::FollowerDisconnected { connection } => {
                self.followers.remove(&connection);
                peer.follower_disconnected(connection);
            }
        }
    }

    fn add_follower(&mut self, connection: u64, name: &str, sender: Rc<LinkSender>) {
        if self.followers.len() >= MAX_FOLLOWERS {
            return sender.close();
        }
        tracing::info!(name, "follower connected");
        self.followers.insert(connection, sender);
    }

    fn drop_follower(&mut self, connection: u64) {
        if let Some(follower) = self.followers.remove(&connection) {
            follower.close();
        }
    }
}
