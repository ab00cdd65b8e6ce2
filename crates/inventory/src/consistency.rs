//! Checks across hosts: hosts that contradict each other, and weights far from those of the other
//! hosts. The checks compare only what the files contain.

use crate::fault::{Fault, Faults};
use crate::host::Host;
use std::collections::BTreeMap;

/// Minimum number of hosts in a zone for comparing weights: the median of fewer hosts is not
/// representative.
const MIN_COMPARED_HOSTS: usize = 4;
/// A weight above the median times this factor, or below the median divided by it, is reported as a
/// probable mistake.
const OUTLIER_FACTOR: f64 = 10.0;

/// Reports hosts that share a name or an address.
pub(crate) fn check_contradictions(hosts: &[Host], faults: &mut Faults) {
    let mut names: BTreeMap<&str, &Host> = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for host in hosts {
        if let Some(first) = names.get(host.name.as_str()) {
            faults.add(same_name(first, host));
            continue;
        }
        names.insert(&host.name, host);
        if let Some(first) = addresses.insert(host.address, host) {
            faults.add(same_address(first, host));
        }
    }
}

fn same_name(first: &Host, host: &Host) -> Fault {
    let location = &first.location;
    let differs = first.capacity != host.capacity || first.weight != host.weight;
    let fault = if differs {
        let (name, capacity) = (&host.name, capacity_or_weight(first));
        let problem = format!("{name:?} is already listed at {location} with {capacity}");
        Fault::error(&host.location, problem)
            .field("capacity")
            .value(&capacity_or_weight(host))
    } else {
        Fault::error(&host.location, format!("is already listed at {location}"))
            .field("name")
            .value(&host.name)
    };
    fault.help("a host has one row")
}

fn capacity_or_weight(host: &Host) -> String {
    host.capacity.unwrap_or(host.weight).to_string()
}

fn same_address(first: &Host, host: &Host) -> Fault {
    let (name, location) = (&first.name, &first.location);
    let problem = format!("is already the address of {name:?} at {location}");
    Fault::error(&host.location, problem)
        .field("address")
        .value(&host.address.to_string())
        .help("each host has its own address")
}

/// Warns of weights that are far from the median weight of the hosts in the same zone.
pub(crate) fn check_weights(hosts: &[Host], faults: &mut Faults) {
    let mut zones: BTreeMap<Option<&str>, Vec<&Host>> = BTreeMap::new();
    for host in hosts {
        zones.entry(host.zone.as_deref()).or_default().push(host);
    }
    for hosts in zones.values() {
        if hosts.len() >= MIN_COMPARED_HOSTS {
            check_zone_weights(hosts, faults);
        }
    }
}

fn check_zone_weights(hosts: &[&Host], faults: &mut Faults) {
    let mut weights: Vec<f64> = hosts.iter().map(|host| host.weight).collect();
    weights.sort_by(f64::total_cmp);
    let median = weights[weights.len() / 2];
    let is_outlier = |host: &&&Host| {
        host.weight > OUTLIER_FACTOR * median || host.weight < median / OUTLIER_FACTOR
    };
    for host in hosts.iter().filter(is_outlier) {
        let problem = format!("is far from its zone's median, {median}");
        let fault = Fault::warning(&host.location, problem)
            .field("weight")
            .value(&host.weight.to_string());
        faults.add(fault);
    }
}
