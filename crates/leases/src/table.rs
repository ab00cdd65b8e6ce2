//! The replicated table of leases and their holders. Applying the same proposals in the same order
//! yields the same table on every member: the table uses no clock. Encoded by position: the order
//! of fields and variants must not change.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most leases in one group.
pub const MAX_LEASES: usize = 64;
/// Longest name of a lease or holder, bytes.
const MAX_NAME_BYTES: usize = 64;

/// One process incarnation of one ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The name of the ingress.
    pub name: String,
    /// The number of the process incarnation, unique among all processes.
    pub incarnation: u64,
}

/// A change of leases that an ingress proposes to the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseProposal {
    /// Acquires a lease, if it has not changed since the change that the ingress has observed.
    Acquire {
        /// The name of the lease.
        lease: String,
        /// The new holder.
        holder: LeaseHolder,
        /// [`LeaseState::changed_at`] as the ingress has observed it; 0: no change observed.
        seen: u64,
        /// How long a grant or renewal may be used, ms.
        lease_ms: u32,
        /// The proposal number of the ingress, by which it looks up when it sent the proposal.
        number: u64,
    },
    /// Renews leases.
    Renew {
        /// The current holder.
        holder: LeaseHolder,
        /// Names of leases and the tokens under which they are held.
        leases: Vec<(String, u64)>,
        /// As in [`LeaseProposal::Acquire`].
        number: u64,
    },
    /// Releases a lease, so that the next holder need not wait for it to expire.
    Release {
        /// The name of the lease.
        lease: String,
        /// The token under which the lease is held.
        token: u64,
    },
}

/// Whether a fencing token is still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenStatus {
    /// The token belongs to the latest grant.
    Current,
    /// The token is outdated: another ingress may have acted since.
    Stale,
}

/// The replicated state of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseState {
    /// The current holder; `None`: the lease was released.
    pub holder: Option<LeaseHolder>,
    /// The fencing token, which grows with each grant.
    pub token: u64,
    /// How long a grant or renewal may be used, ms.
    pub lease_ms: u32,
    /// The log index of the last change.
    pub changed_at: u64,
    /// The log index of the grant.
    pub granted_at: u64,
    /// The holder's proposal number of the last grant or renewal.
    pub number: u64,
}

/// The result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease is granted under this token.
    Granted(u64),
    /// The number of leases that were renewed.
    Renewed(u32),
    /// The lease was released.
    Released,
    /// The lease has changed since the change that the proposal names.
    Changed,
    /// The proposal is invalid: a bad name, a duration of zero, or too many leases.
    Refused,
}

/// All leases of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<String, LeaseState>,
    /// The last token issued. One counter serves all leases, so that no token is issued twice.
    last_token: u64,
}

impl LeaseTable {
    /// Returns every lease that was ever held, by name.
    pub fn leases(&self) -> &BTreeMap<String, LeaseState> {
        &self.leases
    }

    /// Returns the state of a lease; `None`: it was never held.
    pub fn state(&self, lease: &str) -> Option<&LeaseState> {
        self.leases.get(lease)
    }

    /// Whether an operation with this token is to be accepted. The receiver of an operation calls
    /// this first.
    pub fn check_token(&self, lease: &str, token: u64) -> TokenStatus {
        match self.state(lease) {
            Some(state) if state.token == token => TokenStatus::Current,
            _ => TokenStatus::Stale,
        }
    }

    /// Applies the proposal that was committed at this log index.
    pub fn apply(&mut self, index: u64, proposal: &LeaseProposal) -> Outcome {
        match proposal {
            LeaseProposal::Acquire {
                lease,
                holder,
                seen,
                lease_ms,
                number,
            } => {
                if !self.accepts_lease(lease) || !is_valid_name(&holder.name) || *lease_ms == 0 {
                    return Outcome::Refused;
                }
                let state = self.leases.entry(lease.clone()).or_default();
                if state.changed_at != *seen {
                    return Outcome::Changed;
                }
                self.last_token += 1;
                *state = LeaseState {
                    holder: Some(holder.clone()),
                    token: self.last_token,
                    lease_ms: *lease_ms,
                    changed_at: index,
                    granted_at: index,
                    number: *number,
                };
                Outcome::Granted(self.last_token)
            }
            LeaseProposal::Renew {
                holder,
                leases,
                number,
            } => Outcome::Renewed(self.renew(index, holder, leases, *number)),
            LeaseProposal::Release { lease, token } => self.release(index, lease, *token),
        }
    }

    fn accepts_lease(&self, lease: &str) -> bool {
        let known = self.leases.contains_key(lease);
        is_valid_name(lease) && (known || self.leases.len() < MAX_LEASES)
    }

    /// Returns the number of leases that were renewed.
    fn renew(
        &mut self,
        index: u64,
        holder: &LeaseHolder,
        leases: &[(String, u64)],
        number: u64,
    ) -> u32 {
        let mut renewed_count = 0;
        for (lease, token) in leases {
            let Some(state) = self.leases.get_mut(lease) else {
                continue;
            };
            let is_holder = state.holder.as_ref() == Some(holder) && state.token == *token;
            // A renewal that a later one has overtaken must not move the state back.
            if is_holder && number > state.number {
                state.changed_at = index;
                state.number = number;
                renewed_count += 1;
            }
        }
        renewed_count
    }

    fn release(&mut self, index: u64, lease: &str, token: u64) -> Outcome {
        match self.leases.get_mut(lease) {
            Some(state) if state.token == token && state.holder.is_some() => {
                state.holder = None;
                state.changed_at = index;
                Outcome::Released
            }
            _ => Outcome::Changed,
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
