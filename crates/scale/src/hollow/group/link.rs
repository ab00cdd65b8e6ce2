//! Links of hollow nodes: who sends to whom, and when what is sent arrives. One machine's interface sends one frame
//! after the other; a link keeps the order of its frames.

use std::collections::{BTreeMap, HashMap};

/// A link that has nothing to say says so after this, ms, as the links on sockets do.
const IDLE_MS: f64 = 500.0;
/// Times of the schedule are whole microseconds; sums of them are not.
const ROUNDING_MS: f64 = 0.001;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Node {
    /// A member, by its place.
    Member(usize),
    /// A follower, by its place.
    Follower(usize),
}

/// Which link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LinkId(u64);

impl LinkId {
    /// The number by which a member knows a follower's connection.
    pub(super) fn number(self) -> u64 {
        self.0
    }

    /// The link of this number.
    pub(super) fn from_number(number: u64) -> LinkId {
        LinkId(number)
    }
}

/// A link, in one direction.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) from: Node,
    pub(super) to: Node,
    written_ms: f64,
    arrival_ms: f64,
}

impl Link {
    pub(super) fn new(from: Node, to: Node, now_ms: f64) -> Link {
        Link {
            from,
            to,
            written_ms: now_ms,
            arrival_ms: now_ms,
        }
    }

    /// Whether nothing has been sent for so long that it is to say that it is there.
    pub(super) fn is_idle(&self, now_ms: f64) -> bool {
        self.idle_due_ms() - now_ms < ROUNDING_MS
    }

    /// When it is to say that it is there, if nothing is sent before.
    pub(super) fn idle_due_ms(&self) -> f64 {
        self.written_ms + IDLE_MS
    }
}

/// All links that are open, and how long each node's interface is busy.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: HashMap<LinkId, Link>,
    opened: u64,
    free_ms: BTreeMap<Node, f64>,
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

    /// Sends something that keeps the interface busy for so long, and is on its way for so long; when it arrives. None:
    /// the link has ended.
    pub(super) fn send(
        &mut self,
        id: LinkId,
        now_ms: f64,
        busy_ms: f64,
        delay_ms: f64,
    ) -> Option<f64> {
        let link = self.links.get_mut(&id)?;
        let free = self.free_ms.entry(link.from).or_insert(now_ms);
        *free = free.max(now_ms) + busy_ms;
        link.written_ms = now_ms;
        link.arrival_ms = link.arrival_ms.max(*free + delay_ms);
        Some(link.arrival_ms)
    }
}
