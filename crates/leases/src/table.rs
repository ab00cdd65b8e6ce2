//! Who holds which duty, as the group agrees on it. It owns tokens, which only grow. The same wishes in the same order
//! give the same table on every member: nothing here knows a time.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most duties of one group.
pub const MAX_DUTIES: usize = 64;
/// Longest name of a duty or holder, bytes.
const MAX_NAME: usize = 64;

/// One life of one ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Its name.
    pub name: String,
    /// Which life: no other process has the same.
    pub life: u64,
}

/// What an ingress wishes of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Wish {
    /// To hold it, if nothing has happened to it since the change that the ingress has seen.
    Take {
        /// The duty.
        duty: String,
        /// Who.
        who: Holder,
        /// The duty's last change that it has seen; 0: none.
        seen: u64,
        /// How long a grant or renewal may be used, ms.
        lease_ms: u32,
        /// The ingress's own count, by which it knows when it had sent this.
        number: u64,
    },
    /// To hold on to all that it holds.
    Renew {
        /// Who.
        who: Holder,
        /// Duties and the tokens by which it holds them.
        duties: Vec<(String, u64)>,
        /// As above.
        number: u64,
    },
    /// To hold it no more: the next one need not wait.
    Give {
        /// The duty.
        duty: String,
        /// By which token it holds it.
        token: u64,
    },
}

/// Something done by a token, for those who receive it in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// By the present token.
    Accepted,
    /// By an old one: somebody else may have acted since.
    Stale,
}

/// How one duty stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Who holds it; none: given back.
    pub holder: Option<Holder>,
    /// Grows with each grant.
    pub token: u64,
    /// How long a grant or renewal may be used, ms.
    pub lease_ms: u32,
    /// The place in the log of its last change.
    pub changed: u64,
    /// The place in the log of the grant.
    pub since: u64,
    /// The holder's count in the last grant or renewal.
    pub number: u64,
}

/// What has become of a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is held by this token.
    Granted(u64),
    /// So many of the duties named are held on.
    Renewed(u32),
    /// Given back.
    Given,
    /// Something has happened to it meanwhile.
    Changed,
    /// It makes no sense: a name, too many duties.
    Refused,
}

/// All duties of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    duties: BTreeMap<String, Held>,
    token: u64,
}

impl Table {
    /// Every duty that was ever held.
    pub fn duties(&self) -> &BTreeMap<String, Held> {
        &self.duties
    }

    /// How a duty stands.
    pub fn held(&self, duty: &str) -> Option<&Held> {
        self.duties.get(duty)
    }

    /// Whether something that was done by this token counts: whoever receives acts asks this first.
    pub fn judge(&self, duty: &str, token: u64) -> Act {
        match self.held(duty) {
            Some(held) if held.token == token => Act::Accepted,
            _ => Act::Stale,
        }
    }

    /// Carries out a wish at its place in the log.
    pub fn apply(&mut self, index: u64, wish: &Wish) -> Outcome {
        match wish {
            Wish::Take {
                duty,
                who,
                seen,
                lease_ms,
                number,
            } => {
                let named = |name: &str| !name.is_empty() && name.len() <= MAX_NAME;
                let new = !self.duties.contains_key(duty);
                if !named(duty)
                    || !named(&who.name)
                    || *lease_ms == 0
                    || new && self.duties.len() >= MAX_DUTIES
                {
                    return Outcome::Refused;
                }
                let held = self.duties.entry(duty.clone()).or_default();
                if held.changed != *seen {
                    return Outcome::Changed;
                }
                // One count for all duties: a token is told from every other one in any record.
                self.token += 1;
                *held = Held {
                    holder: Some(who.clone()),
                    token: self.token,
                    lease_ms: *lease_ms,
                    changed: index,
                    since: index,
                    number: *number,
                };
                Outcome::Granted(self.token)
            }
            Wish::Renew {
                who,
                duties,
                number,
            } => {
                let mut renewed = 0;
                for (duty, token) in duties {
                    let Some(held) = self.duties.get_mut(duty) else {
                        continue;
                    };
                    let ours = held.holder.as_ref() == Some(who) && held.token == *token;
                    // One that came round late says nothing newer than what is known.
                    if ours && *number > held.number {
                        (held.changed, held.number) = (index, *number);
                        renewed += 1;
                    }
                }
                Outcome::Renewed(renewed)
            }
            Wish::Give { duty, token } => match self.duties.get_mut(duty) {
                Some(held) if held.token == *token && held.holder.is_some() => {
                    (held.holder, held.changed) = (None, index);
                    Outcome::Given
                }
                _ => Outcome::Changed,
            },
        }
    }
}
