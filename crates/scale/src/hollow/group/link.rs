//! Links between hollow nodes and the arrival times of their frames. A machine's interface sends
//! one frame after the other, and a link preserves the order of its frames.

use std::collections::{BTreeMap, HashMap};

/// Idle time after which a link sends a keep-alive frame, ms; the same as on sockets.
const IDLE_MS: f64 = 500.0;
/// Tolerance for idle times, ms: the schedule rounds times to whole microseconds, sums of them are
/// not rounded.
const ROUNDING_MS: f64 = 0.001;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Node {
    /// A member, by index.
    Member(usize),
    /// A follower, by index.
    Follower(usize),
}

/// Identifies a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LinkId(u64);

impl LinkId {
    /// Returns the number that identifies a follower's connection to the member.
    pub(super) fn number(self) -> u64 {
        self.0
    }

    /// Returns the identifier with this number.
    pub(super) fn from_number(number: u64) -> LinkId {
        LinkId(number)
    }
}

/// One direction of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) from: Node,
    pub(super) to: Node,
    last_sent_ms: f64,
    last_arrival_ms: f64,
}

impl Link {
    pub(super) fn new(from: Node, to: Node, now_ms: f64) -> Link {
        Link {
            from,
            to,
            last_sent_ms: now_ms,
            last_arrival_ms: now_ms,
        }
    }

    /// Returns whether the link has been idle long enough for a keep-alive frame.
    pub(super) fn is_idle(&self, now_ms: f64) -> bool {
        self.idle_due_ms() - now_ms < ROUNDING_MS
    }

    /// Returns the time at which a keep-alive frame is due if nothing is sent before, ms.
    pub(super) fn idle_due_ms(&self) -> f64 {
        self.last_sent_ms + IDLE_MS
    }
}

/// All open links, and the time until which each node's interface is busy.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: HashMap<LinkId, Link>,
    opened: u64,
    interface_free_ms: BTreeMap<Node, f64>,
}

impl Links {
    pub(super) fn open(&mut self, link: Link) -> LinkId {
        self.opened += 1;
        let id = LinkId(self.opened);
        self.links.insert(id, link);
        id
    }

    pub(super) fn close(&mut self, id: LinkId) {
        self.links.remove(&id);
    }

    pub(super) fn get(&self, id: LinkId) -> Option<&Link> {
        self.links.get(&id)
    }

    /// Sends a frame that occupies the interface for `transmission_ms` and is delayed on the link
    /// by `delay_ms`. Returns its arrival time, or `None` if the link is closed.
    pub(super) fn send(
        &mut self,
        id: LinkId,
        now_ms: f64,
        transmission_ms: f64,
        delay_ms: f64,
    ) -> Option<f64> {
        let link = self.links.get_mut(&id)?;
        let free = self.interface_free_ms.entry(link.from).or_insert(now_ms);
        *free = free.max(now_ms) + transmission_ms;
        link.last_sent_ms = now_ms;
        link.last_arrival_ms = link.last_arrival_ms.max(*free + delay_ms);
        Some(link.last_arrival_ms)
    }
}
