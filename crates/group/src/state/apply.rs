//! Application of committed entries to the state. The same entries must yield the same state on
//! every member, so nothing here depends on time, random numbers or an iteration order that depends
//! on memory addresses.

use super::{
    Document, DocumentKind, Incarnation, Invitation, Outcome, Proposal, Proposed, RecentOutcome,
    State, MAX_DOCUMENT, MAX_EXCLUDED,
};
use crate::{is_name, MAX_MEMBERS, MIN_MEMBERS};

/// Longest name of an endpoint, bytes.
const MAX_ENDPOINT_NAME: usize = 120;
/// Longest address of a member's link, bytes.
const MAX_ADDRESS: usize = 64;
/// A repeated proposal is recognized for this many log indexes. A later one is refused, because it
/// would be unknown whether it had taken effect.
const DEDUPLICATION_WINDOW: u64 = 4096;

impl State {
    /// Applies a log entry and returns its outcome.
    pub fn apply(&mut self, index: u64, proposed: &Proposed) -> Outcome {
        self.forget_outcomes_before(index);
        if proposed.made_at + DEDUPLICATION_WINDOW < index {
            return Outcome::Late;
        }
        let mut recent = self.recent_outcomes.iter();
        if let Some(earlier) = recent.find(|recent| recent.op == proposed.op) {
            return earlier.outcome;
        }
        let outcome = self.apply_proposal(index, &proposed.proposal);
        let is_exclusion = matches!(
            proposed.proposal,
            Proposal::Suspend(_) | Proposal::Restore(_)
        );
        if is_exclusion && outcome == Outcome::Done {
            self.changes += 1;
        }
        self.recent_outcomes.push_back(RecentOutcome {
            index,
            op: proposed.op,
            outcome,
        });
        outcome
    }

    fn forget_outcomes_before(&mut self, index: u64) {
        let is_old = |recent: &RecentOutcome| recent.index + DEDUPLICATION_WINDOW < index;
        while self.recent_outcomes.front().is_some_and(is_old) {
            self.recent_outcomes.pop_front();
        }
    }

    fn apply_proposal(&mut self, index: u64, proposal: &Proposal) -> Outcome {
        match proposal {
            Proposal::Suspend(endpoint) => self.suspend(index, endpoint),
            Proposal::Restore(endpoint) => self.restore(endpoint),
            Proposal::Write(kind, base_number, bytes) => self.write(*kind, *base_number, bytes),
            Proposal::Admit {
                name,
                address,
                nonce,
            } => self.admit(name, address, *nonce),
            Proposal::Invite {
                name,
                address,
                instead_of,
            } => self.invite(name, address, instead_of.as_deref()),
            Proposal::Remove(name) => self.remove(name),
            Proposal::Raise(format_version) => self.raise_format(*format_version),
        }
    }

    fn suspend(&mut self, index: u64, endpoint: &str) -> Outcome {
        if self.excluded.contains_key(endpoint) {
            return Outcome::Unchanged;
        }
        if endpoint.is_empty() || endpoint.len() > MAX_ENDPOINT_NAME {
            return Outcome::Refused;
        }
        if self.excluded.len() >= MAX_EXCLUDED {
            return Outcome::TooMany;
        }
        self.excluded.insert(endpoint.into(), index);
        Outcome::Done
    }

    fn restore(&mut self, endpoint: &str) -> Outcome {
        match self.excluded.remove(endpoint) {
            Some(_) => Outcome::Done,
            None => Outcome::Unchanged,
        }
    }

    /// Writes a new version of a document, if it has not been changed since version `base_number`.
    fn write(&mut self, kind: DocumentKind, base_number: u64, bytes: &[u8]) -> Outcome {
        if bytes.len() > MAX_DOCUMENT {
            return Outcome::Refused;
        }
        let present = self.documents.get(&kind);
        if present.is_some_and(|document| document.bytes == bytes) {
            return Outcome::Unchanged;
        }
        let present_number = present.map_or(0, |document| document.number);
        if present_number != base_number {
            return Outcome::Newer(present_number);
        }
        let document = Document {
            number: present_number + 1,
            bytes: bytes.to_vec(),
        };
        self.documents.insert(kind, document);
        Outcome::Written(present_number + 1)
    }

    /// Admits a member as a new incarnation, which takes over the vote of its earlier incarnations,
    /// or of the member that it replaces.
    fn admit(&mut self, name: &str, address: &str, nonce: u64) -> Outcome {
        if let Some(id) = self.admitted(name, nonce) {
            return Outcome::Admitted(id);
        }
        let invitation = self.invited.get(name);
        let instead_of = invitation.and_then(|invitation| invitation.instead_of.clone());
        let is_replaced =
            |member: &Incarnation| member.name == name || Some(&member.name) == instead_of.as_ref();
        let mut members = self.members.values();
        let grows = !members.any(|member| !member.removed && is_replaced(member));
        if !may_be_member(name, address) || grows && self.is_full() {
            return Outcome::Refused;
        }
        let id = self.next_incarnation;
        self.next_incarnation += 1;
        let mut replaced_ids = Vec::new();
        for (old_id, old) in self.members.iter_mut().filter(|(_, m)| is_replaced(m)) {
            old.removed = true;
            replaced_ids.push(*old_id);
            replaced_ids.append(&mut old.replaced_ids);
        }
        self.invited.remove(name);
        let mut member = Incarnation::new(name, address, nonce);
        member.replaced_ids = replaced_ids;
        self.members.insert(id, member);
        Outcome::Admitted(id)
    }

    fn invite(&mut self, name: &str, address: &str, instead_of: Option<&str>) -> Outcome {
        let is_member = |name: &str| self.incarnation(name).is_some();
        if is_member(name) {
            return Outcome::Unchanged;
        }
        if instead_of.is_some_and(|old| !is_member(old)) {
            return Outcome::Unknown;
        }
        let grows_beyond = instead_of.is_none() && self.is_full();
        let too_many = self.invited.len() >= MAX_MEMBERS;
        if !may_be_member(name, address) || grows_beyond || too_many {
            return Outcome::Refused;
        }
        let invitation = Invitation {
            address: address.into(),
            instead_of: instead_of.map(String::from),
        };
        self.invited.insert(name.into(), invitation);
        Outcome::Done
    }

    fn remove(&mut self, name: &str) -> Outcome {
        let Some((id, _)) = self.incarnation(name) else {
            return Outcome::Unknown;
        };
        if self.target_voters().len() <= MIN_MEMBERS {
            return Outcome::Refused;
        }
        if let Some(member) = self.members.get_mut(&id) {
            member.removed = true;
        }
        Outcome::Done
    }

    fn raise_format(&mut self, format_version: u16) -> Outcome {
        if format_version <= self.format_version() {
            return Outcome::Unchanged;
        }
        self.format_version = format_version;
        Outcome::Done
    }

    fn is_full(&self) -> bool {
        self.target_voters().len() >= MAX_MEMBERS
    }
}

fn may_be_member(name: &str, address: &str) -> bool {
    is_name(name) && address.len() <= MAX_ADDRESS
}
