//! What no single value shows: hosts that contradict each other, a file that is not whole, a list that would take
//! out too much at once. It owns these judgements. It must never compare by anything but what the files say.

use crate::fault::{Faults, Place};
use crate::host::{Host, State};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Hosts that cannot both be.
pub(crate) fn contradictions(hosts: &[Host], faults: &mut Faults) {
    let mut names: BTreeMap<&str, &Host> = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for host in hosts {
        match names.get(host.name.as_str()) {
            Some(first) => {
                let place = &first.place;
                let (field, value, problem) =
                    if first.capacity != host.capacity || first.weight != host.weight {
                        let told = |host: &Host| host.capacity.unwrap_or(host.weight).to_string();
                        let problem = format!(
                            "{:?} stands at {place} with {} already",
                            host.name,
                            told(first)
                        );
                        ("capacity", told(host), problem)
                    } else {
                        (
                            "name",
                            host.name.clone(),
                            format!("stands at {place} already"),
                        )
                    };
                faults.error(&host.place, field, &value, problem, "one host has one row");
            }
            None => {
                names.insert(&host.name, host);
                if let Some(first) = addresses.insert(host.address, host) {
                    let problem = format!(
                        "is the address of {:?} at {} already",
                        first.name, first.place
                    );
                    faults.error(
                        &host.place,
                        "address",
                        &host.address.to_string(),
                        problem,
                        "two instances have two addresses",
                    );
                }
            }
        }
    }
}

/// Weights that are far from those of the hosts in the same zone.
pub(crate) fn outliers(hosts: &[Host], faults: &mut Faults) {
    let mut zones: BTreeMap<Option<&str>, Vec<&Host>> = BTreeMap::new();
    for host in hosts {
        zones.entry(host.zone.as_deref()).or_default().push(host);
    }
    for hosts in zones.values().filter(|hosts| hosts.len() >= 4) {
        let mut weights: Vec<f64> = hosts.iter().map(|host| host.weight).collect();
        weights.sort_by(f64::total_cmp);
        let median = weights[weights.len() / 2];
        for host in hosts
            .iter()
            .filter(|host| host.weight > 10.0 * median || host.weight < median / 10.0)
        {
            let problem = format!("is far from its zone's median, {median}");
            faults.warning(&host.place, "weight", &host.weight.to_string(), problem, "");
        }
    }
}

/// What a file declares of itself, in comment lines: `# driftgap: hosts=120`, and `# driftgap: ends` where its
/// last line is `# driftgap: end`.
pub(crate) fn whole(text: &str, file: &Arc<str>, faults: &mut Faults) -> Option<usize> {
    let last = text
        .lines()
        .rfind(|line| !line.trim().is_empty())
        .unwrap_or("");
    let at = |line: usize| Place {
        file: file.clone(),
        line: line as u64,
        column: 1,
        path: "".into(),
    };
    let lines = text.lines().count();
    if !text.is_empty() && !text.ends_with('\n') && !text.trim_end().ends_with('}') {
        let help = "a whole file ends with a line break; it may have been read half-written";
        faults.error(&at(lines), "", last, "the last line is cut off", help);
    }
    let declared = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix("# driftgap:"))
        .map(str::trim);
    let mut hosts = None;
    for word in declared {
        match word {
            "ends" if last.trim() != "# driftgap: end" => {
                faults.error(
                    &at(lines),
                    "",
                    last,
                    "the end mark that the file declares is missing",
                    "# driftgap: end",
                );
            }
            "ends" | "end" => {}
            word => match word.strip_prefix("hosts=").and_then(|n| n.parse().ok()) {
                Some(count) => hosts = Some(count),
                None => faults.error(
                    &at(1),
                    "",
                    word,
                    "is nothing that a file can declare",
                    "hosts=N, ends or end",
                ),
            },
        }
    }
    hosts
}

/// How far a list may fall behind the last one before it must be confirmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Share of the last list's hosts that a new list may lack.
    pub shorter: f64,
    /// Share of the serving instances that it may take out at once, by whatever state.
    pub taken_out: f64,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares {
            shorter: 0.3,
            taken_out: 0.3,
        }
    }
}

/// So many hosts a list may always lose: of a small one a few are a large share.
const ALWAYS: f64 = 2.0;

/// Why a list must be confirmed before it holds; none: it need not be.
pub fn suspicious(old: &[Host], new: &[Host], shares: Shares) -> Option<String> {
    if old.is_empty() {
        return None;
    }
    let missing = old.len().saturating_sub(new.len());
    let max = |share: f64, of: usize| (share * of as f64).max(ALWAYS);
    if missing as f64 > max(shares.shorter, old.len()) {
        return Some(format!(
            "{} hosts of {} are missing from it",
            missing,
            old.len()
        ));
    }
    let now: BTreeMap<&str, &Host> = new.iter().map(|host| (host.name.as_str(), host)).collect();
    let serving: Vec<&Host> = old
        .iter()
        .filter(|host| host.state == State::Active)
        .collect();
    let stays = |host: &&&Host| {
        now.get(host.name.as_str())
            .is_some_and(|now| now.state == State::Active)
    };
    let out = serving.len() - serving.iter().filter(stays).count();
    if out as f64 > max(shares.taken_out, serving.len()) {
        return Some(format!(
            "it takes out {out} of {} serving instances at once",
            serving.len()
        ));
    }
    None
}
