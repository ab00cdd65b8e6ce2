//! Lists that are right in form and would take out too much at once. It must never compare by anything but what the
//! files say.

use crate::host::{Host, State};
use std::collections::BTreeMap;

/// Default share of either kind: more is rarely meant at once.
const DEFAULT_SHARE: f64 = 0.3;
/// So many hosts a list may always lose: of a small one a few are a large share.
const ALWAYS_ALLOWED: f64 = 2.0;

/// How far a list may fall behind the last one before it must be confirmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Share of the last list's hosts that a new list may lack, 0 to 1.
    pub shorter: f64,
    /// Share of the serving hosts that it may take out at once, by whatever state, 0 to 1.
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

/// Why a list must be confirmed before it takes the place of `old`; none: it need not be.
pub fn suspicious(old: &[Host], new: &[Host], shares: Shares) -> Option<String> {
    if old.is_empty() {
        return None;
    }
    let listed = old.len();
    let missing = listed.saturating_sub(new.len());
    if missing as f64 > allowed(shares.shorter, listed) {
        return Some(format!("{missing} hosts of {listed} are missing from it"));
    }
    let serving = old.iter().filter(|host| is_serving(host)).count();
    let taken_out = count_taken_out(old, new);
    if taken_out as f64 > allowed(shares.taken_out, serving) {
        return Some(format!(
            "it takes out {taken_out} of {serving} serving hosts at once"
        ));
    }
    None
}

fn allowed(share: f64, of: usize) -> f64 {
    (share * of as f64).max(ALWAYS_ALLOWED)
}

fn is_serving(host: &Host) -> bool {
    host.state == State::Active
}

/// The hosts that serve by the old list and not by the new one.
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
