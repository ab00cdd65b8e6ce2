//! What an ingress says of itself when it greets, and judges greetings by.

use driftgap_group::{FormatRange, Hello, HelloError, Welcome};
use std::cell::Cell;

/// Who this ingress is to the others. Its task changes it when the ingress is admitted, and all links see that.
#[derive(Clone, Debug, Default)]
pub(in crate::group) struct LinkIdentity {
    pub(in crate::group) name: String,
    /// 0: in none yet.
    pub(in crate::group) group: Cell<u64>,
    /// 0: a follower, or not admitted yet.
    pub(in crate::group) incarnation: Cell<u64>,
    /// The group's format version.
    pub(in crate::group) format: Cell<u16>,
    /// The newest one that this ingress speaks.
    pub(in crate::group) newest_format: u16,
}

impl LinkIdentity {
    /// The greeting to the member of this name.
    pub(super) fn hello(&self, to: &str) -> Hello {
        let (group, incarnation) = (self.group.get(), self.incarnation.get());
        Hello::new(self.newest_format, group, incarnation, &self.name, to)
    }

    /// The format version to be spoken with whoever sent this greeting.
    ///
    /// # Errors
    /// Why the greeting is not taken.
    pub(super) fn judge_hello(&self, hello: &Hello) -> Result<u16, HelloError> {
        let spoken = FormatRange {
            oldest: self.format.get(),
            newest: self.newest_format,
        };
        hello.negotiate_format(spoken, self.group.get(), &self.name)
    }

    /// The answer to a greeting that was taken.
    pub(super) fn welcome(&self, form: u16) -> Welcome {
        Welcome {
            format_version: form,
            group: self.group.get(),
            id: self.incarnation.get(),
        }
    }

    /// Judges the answer to a greeting that was sent by this ingress when it was in `group`.
    ///
    /// # Errors
    /// The other side is of another group, or an older program than the group allows.
    pub(super) fn judge_welcome(&self, welcome: &Welcome, group: u64) -> Result<(), HelloError> {
        if group != 0 && welcome.group != 0 && welcome.group != group {
            return Err(HelloError::OtherGroup);
        }
        if welcome.format_version < self.format.get() {
            return Err(HelloError::OutdatedFormat);
        }
        Ok(())
    }
}
