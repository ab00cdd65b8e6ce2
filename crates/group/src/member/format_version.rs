//! The group's format version: it goes up once every member's program is known to speak a newer one.

use super::{Member, SILENT_MS};
use crate::state::Proposal;
use crate::{MIN_MEMBERS, OLDEST_FORMAT};

/// Between two proposals of a newer format version, ms.
const PROPOSAL_INTERVAL_MS: f64 = 2000.0;

impl Member {
    /// A member's program has greeted this one: the newest format version that it speaks.
    pub fn note_newest_format(&mut self, name: &str, newest: u16) {
        self.newest_formats.insert(name.into(), newest);
    }

    /// The newest format version that a member's program is known to speak.
    pub(super) fn newest_format_of(&self, name: &str) -> u16 {
        if name == self.settings.name {
            return self.settings.newest_format;
        }
        let newest = self.newest_formats.get(name);
        newest.copied().unwrap_or(OLDEST_FORMAT)
    }

    /// Raises the group's format version once every member is known to speak a newer one: until then the log holds only
    /// what the oldest program among them can carry out.
    pub(super) fn raise_format(&mut self, now_ms: f64) {
        let proposed_ms = self.format_proposed_ms;
        let due = proposed_ms.is_none_or(|at_ms| now_ms - at_ms > PROPOSAL_INTERVAL_MS);
        if !due || !self.leads() || self.conf.voters.len() < MIN_MEMBERS {
            return;
        }
        let common = self.common_format(now_ms);
        if common > self.state.format_version() {
            self.format_proposed_ms = Some(now_ms);
            let _ = self.propose_membership(now_ms, Proposal::Raise(common));
        }
    }

    /// The newest format version that all members speak. One that is down may come back as an older program.
    fn common_format(&self, now_ms: f64) -> u16 {
        let is_up = |id: &u64| {
            let heard_ms = self.last_heard_ms.get(id);
            *id == self.id() || heard_ms.is_some_and(|at_ms| now_ms - at_ms < SILENT_MS)
        };
        let members = self.state.members.iter().filter(|(_, m)| !m.gone);
        let formats = members.map(|(id, member)| match is_up(id) {
            true => self.newest_format_of(&member.name),
            false => OLDEST_FORMAT,
        });
        formats.min().unwrap_or(OLDEST_FORMAT)
    }
}
