//! How an ingress identifies itself in the handshake of a link, and checks the identity of its
//! peer.

use driftgap_group::{FormatRange, Hello, HelloError, Welcome};
use std::cell::Cell;

/// The identity of this ingress, shared by all its links. The owning task updates it when the
/// ingress is admitted.
#[derive(Clone, Debug, Default)]
pub(in crate::group) struct LinkIdentity {
    pub(in crate::group) name: String,
    /// The group; 0 if it is not known yet.
    pub(in crate::group) group: Cell<u64>,
    /// The incarnation; 0 for a follower, or before admission.
    pub(in crate::group) incarnation: Cell<u64>,
    /// The group's format version.
    pub(in crate::group) format: Cell<u16>,
    /// The newest format version that this ingress supports.
    pub(in crate::group) newest_format: u16,
}

impl LinkIdentity {
    /// Returns the hello for the member named `to`.
    pub(super) fn hello(&self, to: &str) -> Hello {
        let (group, incarnation) = (self.group.get(), self.incarnation.get());
        Hello::new(self.newest_format, group, incarnation, &self.name, to)
    }

    /// Checks a hello, and returns the format version for the link.
    ///
    /// # Errors
    /// Returns why the hello is not accepted.
    pub(super) fn check_hello(&self, hello: &Hello) -> Result<u16, HelloError> {
        let supported = FormatRange {
            oldest: self.format.get(),
            newest: self.newest_format,
        };
        hello.negotiate_format(supported, self.group.get(), &self.name)
    }

    /// Returns the answer to an accepted hello.
    pub(super) fn welcome(&self, format_version: u16) -> Welcome {
        Welcome {
            format_version,
            group: self.group.get(),
            id: self.incarnation.get(),
        }
    }

    /// Checks the answer to a hello that this ingress sent when it was in `group`.
    ///
    /// # Errors
    /// Returns an error if the peer is in another group, or runs an older program than the group
    /// allows.
    pub(super) fn check_welcome(&self, welcome: &Welcome, group: u64) -> Result<(), HelloError> {
        if group != 0 && welcome.group != 0 && welcome.group != group {
            return Err(HelloError::OtherGroup);
        }
        if welcome.format_version < self.format.get() {
            return Err(HelloError::OutdatedFormat);
        }
        Ok(())
    }
}
