//! What the group holds, and how an agreed entry changes it: endpoints that are out, documents by number, and who is
//! in the group under which incarnation. It owns the meaning of every entry. The same entries must give the same state
//! on every member: nothing here asks for a time, a random number or an order that memory happens to have.

use crate::{is_name, FORMAT_VERSIONS, MAX_MEMBERS, MIN_MEMBERS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most endpoints that are out at a time.
pub const MAX_EXCLUDED: usize = 1024;
/// Largest document, bytes.
pub const MAX_DOCUMENT: usize = 1 << 20;
/// Longest name of an endpoint, bytes.
const MAX_INSTANCE: usize = 120;
/// For so many places of the log a repeated wish is known; one that comes later is refused, since nobody would know.
const REMEMBERED: u64 = 4096;

/// Who wishes, and its how many-eth wish: a wish that is sent twice takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OpId {
    /// One life of one process.
    pub origin: u64,
    /// Counted there.
    pub number: u64,
}

/// What kind of document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The last accepted inventory.
    Inventory,
    /// The last accepted rules.
    Rules,
}

/// What an entry asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Takes an endpoint out, for the whole group.
    Suspend(String),
    /// Puts it back.
    Restore(String),
    /// A new version of a document, made from the one of this number.
    Write(DocumentKind, u64, Vec<u8>),
    /// Lets a member in, or in again: a new incarnation. `nonce` tells its folder from every other.
    Admit {
        /// The member.
        name: String,
        /// Where its link listens.
        address: String,
        /// Chosen by the folder that was empty.
        nonce: u64,
    },
    /// Lets a member go for good.
    Remove(String),
    /// Lets a member in that the others' files do not name, once it comes with an empty folder.
    Invite {
        /// The member.
        name: String,
        /// Where its link listens.
        address: String,
        /// Whose place it takes.
        instead_of: Option<String>,
    },
    /// From here on the log may hold what this form knows: all members speak it.
    Raise(u16),
}

/// A wish as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposed {
    /// Whose.
    pub op: OpId,
    /// Where the log was when it was made: long after it, it is refused.
    pub made_at: u64,
    /// What.
    pub proposal: Proposal,
}

/// What has become of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is so now.
    Done,
    /// It was so before.
    Before,
    /// Too many are out.
    TooMany,
    /// It came too late to know whether it had come before.
    Late,
    /// It makes no sense: a name, a size.
    Refused,
    /// Somebody else wrote the document meanwhile; this is its number now.
    Newer(u64),
    /// Written under this number.
    Written(u64),
    /// Let in as this incarnation.
    Admitted(u64),
    /// Nobody of this name is in the group.
    Unknown,
}

/// One member in one life of its folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The member.
    pub name: String,
    /// Where its link listens.
    pub address: String,
    /// Which folder was let in.
    pub nonce: u64,
    /// Whether it was let go.
    pub gone: bool,
    /// Those whose vote it takes over: lost folders of its own, or the member that it replaces.
    pub place_of: Vec<u64>,
}

/// Who is awaited beyond those that the members' files name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invitation {
    /// Where its link listens.
    pub address: String,
    /// Whose place it takes.
    pub instead_of: Option<String>,
}

/// A document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Counted from 1.
    pub number: u64,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// All that is agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Which group this is; drawn once.
    pub group: u64,
    next: u64,
    /// By incarnation.
    pub members: BTreeMap<u64, Incarnation>,
    /// How often the list of those that are out has changed.
    pub changes: u64,
    /// Instances that are out, and the place in the log since when.
    pub out: BTreeMap<String, u64>,
    /// The last accepted ones.
    pub documents: BTreeMap<DocumentKind, Document>,
    /// Who is awaited, by name.
    pub invited: BTreeMap<String, Invitation>,
    recent: VecDeque<(u64, OpId, Outcome)>,
    /// The form of what the log may hold. In its encoded form this comes behind all that the first form knew, and only
    /// from the second form on: a program of the first form reads a state of that form, and is never given another.
    #[serde(skip)]
    form: u16,
}

impl State {
    /// A new group with one member in it; its incarnation is 1.
    pub fn first(group: u64, name: &str, address: &str, nonce: u64) -> State {
        let first = Incarnation {
            name: name.into(),
            address: address.into(),
            nonce,
            gone: false,
            place_of: Vec::new(),
        };
        State {
            group,
            next: 2,
            members: [(1, first)].into(),
            ..State::default()
        }
    }

    /// The form of the log: what its entries and states may hold.
    pub fn form(&self) -> u16 {
        self.form.max(FORMAT_VERSIONS.0)
    }

    /// The state for the disk and the link.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        if self.form() > FORMAT_VERSIONS.0 {
            bytes.extend(postcard::to_stdvec(&self.form).unwrap_or_default());
        }
        bytes
    }

    /// A state that was encoded; none: it was not, or not whole, or in a newer form.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        let (mut state, rest) = postcard::take_from_bytes::<State>(bytes).ok()?;
        if !rest.is_empty() {
            let (form, rest) = postcard::take_from_bytes::<u16>(rest).ok()?;
            if form > FORMAT_VERSIONS.1 || !rest.is_empty() {
                return None;
            }
            state.form = form;
        }
        Some(state)
    }

    /// The incarnation in which a member is in the group now.
    pub fn incarnation(&self, name: &str) -> Option<(u64, &Incarnation)> {
        self.members
            .iter()
            .rev()
            .find(|(_, m)| m.name == name && !m.gone)
            .map(|(id, m)| (*id, m))
    }

    /// Whose folder has this nonce.
    pub fn admitted(&self, name: &str, nonce: u64) -> Option<u64> {
        self.incarnation(name)
            .filter(|(_, m)| m.nonce == nonce)
            .map(|(id, _)| id)
    }

    /// Those who are to vote: each member in its latest incarnation.
    pub fn wanted(&self) -> Vec<u64> {
        let latest: BTreeMap<&str, u64> = self
            .members
            .iter()
            .filter(|(_, m)| !m.gone)
            .map(|(id, m)| (m.name.as_str(), *id))
            .collect();
        let mut ids: Vec<u64> = latest.into_values().collect();
        ids.sort_unstable();
        ids
    }

    /// Carries out an entry of the log; what has become of it.
    pub fn apply(&mut self, index: u64, asked: &Proposed) -> Outcome {
        while self
            .recent
            .front()
            .is_some_and(|(at, ..)| at + REMEMBERED < index)
        {
            self.recent.pop_front();
        }
        if asked.made_at + REMEMBERED < index {
            return Outcome::Late;
        }
        if let Some((.., before)) = self.recent.iter().find(|(_, op, _)| *op == asked.op) {
            return *before;
        }
        let outcome = self.carry_out(index, &asked.proposal);
        if outcome == Outcome::Done
            && matches!(asked.proposal, Proposal::Suspend(_) | Proposal::Restore(_))
        {
            self.changes += 1;
        }
        self.recent.push_back((index, asked.op, outcome));
        outcome
    }

    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn carry_out(&mut self, index: u64, proposal: &Proposal) -> Outcome {
        match proposal {
            Proposal::Suspend(name) => {
                if self.out.contains_key(name) {
                    return Outcome::Before;
                }
                if name.is_empty() || name.len() > MAX_INSTANCE {
                    return Outcome::Refused;
                }
                if self.out.len() >= MAX_EXCLUDED {
                    return Outcome::TooMany;
                }
                self.out.insert(name.clone(), index);
                Outcome::Done
            }
            Proposal::Restore(name) => match self.out.remove(name) {
                Some(_) => Outcome::Done,
                None => Outcome::Before,
            },
            Proposal::Write(kind, number, bytes) => {
                let held = self.documents.get(kind).map_or(0, |d| d.number);
                if bytes.len() > MAX_DOCUMENT {
                    return Outcome::Refused;
                }
                if self.documents.get(kind).is_some_and(|d| d.bytes == *bytes) {
                    return Outcome::Before;
                }
                if held != *number {
                    return Outcome::Newer(held);
                }
                self.documents.insert(
                    *kind,
                    Document {
                        number: held + 1,
                        bytes: bytes.clone(),
                    },
                );
                Outcome::Written(held + 1)
            }
            Proposal::Admit {
                name,
                address,
                nonce,
            } => {
                if let Some(id) = self.admitted(name, *nonce) {
                    return Outcome::Admitted(id);
                }
                let instead = self.invited.get(name).and_then(|i| i.instead_of.clone());
                let old = |m: &Incarnation| m.name == *name || Some(&m.name) == instead.as_ref();
                let grows = !self.members.values().any(|m| !m.gone && old(m));
                if !is_name(name)
                    || address.len() > 64
                    || (grows && self.wanted().len() >= MAX_MEMBERS)
                {
                    return Outcome::Refused;
                }
                let id = self.next;
                self.next += 1;
                let mut place_of = Vec::new();
                for (id, member) in self.members.iter_mut().filter(|(_, m)| old(m)) {
                    member.gone = true;
                    place_of.push(*id);
                    place_of.append(&mut member.place_of);
                }
                self.invited.remove(name);
                let (name, address) = (name.clone(), address.clone());
                let member = Incarnation {
                    name,
                    address,
                    nonce: *nonce,
                    gone: false,
                    place_of,
                };
                self.members.insert(id, member);
                Outcome::Admitted(id)
            }
            Proposal::Invite {
                name,
                address,
                instead_of,
            } => {
                let known = |name: &String| self.incarnation(name).is_some();
                if known(name) {
                    return Outcome::Before;
                }
                if instead_of.as_ref().is_some_and(|old| !known(old)) {
                    return Outcome::Unknown;
                }
                let full = instead_of.is_none() && self.wanted().len() >= MAX_MEMBERS;
                if !is_name(name) || address.len() > 64 || full || self.invited.len() >= MAX_MEMBERS
                {
                    return Outcome::Refused;
                }
                let invitation = Invitation {
                    address: address.clone(),
                    instead_of: instead_of.clone(),
                };
                self.invited.insert(name.clone(), invitation);
                Outcome::Done
            }
            Proposal::Remove(name) => {
                let Some((id, _)) = self.incarnation(name) else {
                    return Outcome::Unknown;
                };
                if self.wanted().len() <= MIN_MEMBERS {
                    return Outcome::Refused;
                }
                if let Some(member) = self.members.get_mut(&id) {
                    member.gone = true;
                }
                Outcome::Done
            }
            Proposal::Raise(form) => {
                if *form <= self.form() {
                    return Outcome::Before;
                }
                self.form = *form;
                Outcome::Done
            }
        }
    }

    /// The same state as another group's, with this member alone in it, and the incarnation that it has there. For
    /// operators who have lost a majority for good: the old group goes on nowhere.
    pub fn alone(mut self, group: u64, name: &str, address: &str, nonce: u64) -> (State, u64) {
        let id = self.next.max(1);
        let (name, address) = (name.to_string(), address.to_string());
        let only = Incarnation {
            name,
            address,
            nonce,
            gone: false,
            place_of: Vec::new(),
        };
        (self.group, self.next, self.members) = (group, id + 1, [(id, only)].into());
        self.invited.clear();
        (self, id)
    }

    /// Forgets those who are gone and in no configuration any more.
    pub(crate) fn forget(&mut self, in_use: &[u64]) {
        self.members.retain(|id, m| !m.gone || in_use.contains(id));
    }
}
