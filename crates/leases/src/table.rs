//! Who holds which lease, as the group agrees on it. The same proposals in the same order give the same table on every
//! member: nothing here knows a time. Encoded by position: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most leases of one group.
pub const MAX_LEASES: usize = 64;
/// Longest name of a lease or holder, bytes.
const MAX_NAME: usize = 64;

/// One process incarnation of one ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Its name.
    pub name: String,
    /// The process incarnation: no other process has the same.
    pub incarnation: u64,
}

/// What an ingress proposes about leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseProposal {
    /// To hold a lease, if nothing has happened to it since the change that the ingress has seen.
    Acquire {
        /// The lease.
        lease: String,
        /// Who is to hold it.
        holder: LeaseHolder,
        /// [`LeaseState::changed_at`] as the ingress has seen it; 0: it has seen none.
        seen: u64,
        /// How long a grant or renewal may be used, ms.
        lease_ms: u32,
        /// The ingress's own count of proposals, by which it knows when it had sent this.
        number: u64,
    },
    /// To hold on to leases.
    Renew {
        /// Who holds them.
        holder: LeaseHolder,
        /// Leases and the tokens by which they are held.
        leases: Vec<(String, u64)>,
        /// As in [`LeaseProposal::Acquire`].
        number: u64,
    },
    /// To hold a lease no more: the next holder need not wait.
    Release {
        /// The lease.
        lease: String,
        /// The token by which it is held.
        token: u64,
    },
}

/// Whether an act by some token counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenStatus {
    /// It is the present token.
    Current,
    /// It is an old one: another ingress may have acted since.
    Stale,
}

/// How one lease stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseState {
    /// Who holds it; none: it was released.
    pub holder: Option<LeaseHolder>,
    /// The fencing token: grows with each grant.
    pub token: u64,
    /// How long a grant or renewal may be used, ms.
    pub lease_ms: u32,
    /// The index in the log of the last change.
    pub changed_at: u64,
    /// The index in the log of the grant.
    pub granted_at: u64,
    /// The holder's number of the last grant or renewal.
    pub number: u64,
}

/// What has become of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease is held by this token.
    Granted(u64),
    /// So many of the leases named are held on.
    Renewed(u32),
    /// The lease is free.
    Released,
    /// Something has happened to the lease meanwhile.
    Changed,
    /// It makes no sense: a name, a duration, too many leases.
    Refused,
}

/// All leases of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    leases: BTreeMap<String, LeaseState>,
    /// One count for all leases: no token stands for two grants.
    last_token: u64,
}

impl LeaseTable {
    /// Every lease that was ever held, by name.
    pub fn leases(&self) -> &BTreeMap<String, LeaseState> {
        &self.leases
    }

    /// How a lease stands; none: it was never held.
    pub fn state(&self, lease: &str) -> Option<&LeaseState> {
        self.leases.get(lease)
    }

    /// Whether an act by this token counts: whatever receives acts asks this first.
    pub fn check_token(&self, lease: &str, token: u64) -> TokenStatus {
        match self.state(lease) {
            Some(state) if state.token == token => TokenStatus::Current,
            _ => TokenStatus::Stale,
        }
    }

    /// Carries out a proposal at its index of the log.
    pub fn apply(&mut self, index: u64, proposal: &LeaseProposal) -> Outcome {
        match proposal {
            LeaseProposal::Acquire {
                lease,
                holder,
                seen,
                lease_ms,
                number,
            } => {
                if !self.may_be_lease(lease) || !is_name(&holder.name) || *lease_ms == 0 {
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

    fn may_be_lease(&self, lease: &str) -> bool {
        let known = self.leases.contains_key(lease);
        is_name(lease) && (known || self.leases.len() < MAX_LEASES)
    }

    /// How many were renewed.
    fn renew(
        &mut self,
        index: u64,
        holder: &LeaseHolder,
        leases: &[(String, u64)],
        number: u64,
    ) -> u32 {
        let mut renewed = 0;
        for (lease, token) in leases {
            let Some(state) = self.leases.get_mut(lease) else {
                continue;
            };
            let is_holder = state.holder.as_ref() == Some(holder) && state.token == *token;
            // A renewal that was overtaken by a later one says nothing newer.
            if is_holder && number > state.number {
                state.changed_at = index;
                state.number = number;
                renewed += 1;
            }
        }
        renewed
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

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME
}
