//! The group's format version, which the leader raises once every member's program is known to
//! support a newer one.

use super::{Member, SILENT_MS};
use crate::state::Proposal;
use crate::{MIN_MEMBERS, OLDEST_FORMAT};

/// Interval between two proposals of a newer format version, ms.
const PROPOSAL_INTERVAL_MS: f64 = 2000.0;

impl Member {
    /// Records the newest format version that a member's program supports, as announced in its
    /// hello.
    pub fn note_newest_format(&mut self, name: &str, newest: u16) {
        self.newest_formats.insert(name.into(), newest);
    }

    /// Returns the newest format version that a member's program is known to support.
    pub(super) fn newest_format_of(&self, name: &str) -> u16 {
        if name == self.settings.name {
            return self.settings.newest_format;
        }
        let newest = self.newest_formats.get(name);
        newest.copied().unwrap_or(OLDEST_FORMAT)
    }

    /// Raises the group's format version once every member is known to support a newer one. Until
    /// then the log contains only what the oldest program among them can apply.
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

    /// Returns the newest format version that all members support. A member that is down counts
    /// with the oldest version, because it may return as an older program.
    fn common_format(&self, now_ms: f64) -> u16 {
        let is_up = |id: &u64| {
            let heard_ms = self.last_heard_ms.get(id);
            *id == self.id() || heard_ms.is_some_and(|at_ms| now_ms - at_ms < SILENT_MS)
        };
        let members = self.state.members.iter().filter(|(_, m)| !m.removed);
        let formats = members.map(|(id, member)| match is_up(id) {
            true => self.newest_format_of(&member.name),
            false => OLDEST_FORMAT,
        });
        formats.min().unwrap_or(OLDEST_FORMAT)
    }
}
