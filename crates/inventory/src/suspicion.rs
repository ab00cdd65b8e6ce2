//! Detects valid lists that would remove an unusually large share of the hosts at once. The check
//! compares only what the files contain.

use crate::host::{Host, State};
use std::collections::BTreeMap;

/// Default of both shares in [`Shares`]. A larger change at once is rarely intended.
const DEFAULT_SHARE: f64 = 0.3;
/// Number of hosts that a list may always remove: in a small list, a few hosts are a large share.
const MIN_ALLOWED_HOSTS: f64 = 2.0;

/// The shares of hosts that a new list may remove without confirmation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Maximum share of the last list's hosts by which the new list may be shorter, 0 to 1.
    pub shorter: f64,
    /// Maximum share of the serving hosts that the new list may take out of service, whether it
    /// omits them or changes their state, 0 to 1.
    pub taken_out: f64,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares {
            shorter: DEFAULT_SHARE,
            taken_out: DEFAULT_SHARE,
        }
    }
}

/// Returns why the list `new` must be confirmed before it replaces `old`, or `None` if it needs no
/// confirmation.
pub fn suspicious(old: &[Host], new: &[Host], shares: Shares) -> Option<String> {
    if old.is_empty() {
        return None;
    }
    let listed = old.len();
    let missing = listed.saturating_sub(new.len());
    if missing as f64 > allowed(shares.shorter, listed) {
        return Some(format!(
            "{missing} of {listed} hosts are missing from the new list"
        ));
    }
    let serving = old.iter().filter(|host| is_serving(host)).count();
    let taken_out = count_taken_out(old, new);
    if taken_out as f64 > allowed(shares.taken_out, serving) {
        return Some(format!(
            "the new list takes {taken_out} of {serving} serving hosts out of service at once"
        ));
    }
    None
}

fn allowed(share: f64, total: usize) -> f64 {
    (share * total as f64).max(MIN_ALLOWED_HOSTS)
}

fn is_serving(host: &Host) -> bool {
    host.state == State::Active
}

/// Returns the number of hosts that serve according to the old list and not according to the new
/// one.
fn count_taken_out(old: &[Host], new: &[Host]) -> usize {
    let by_name: BTreeMap<&str, &Host> =
        new.iter().map(|host| (host.name.as_str(), host)).collect();
    let stays = |host: &Host| {
        let host = by_name.get(host.name.as_str());
        host.is_some_and(|host| is_serving(host))
    };
    let serving = old.iter().filter(|host| is_serving(host));
    serving.filter(|host| !stays(host)).count()
}
