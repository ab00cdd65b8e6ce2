//! What backends cost an ingress: at the start, while idle, when one or all of them change, and
//! when one is chosen for a request. The backends come either from the operator's inventory, which
//! is read in full at each change, or from discovery's list, which can contain only the changes.

use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::experiments::fleet::{Fleet, InventoryFolder};
use crate::experiments::traffic::{choice_cost, idle_cost};
use crate::ingress::{Deployment, SimulatedIngress};
use crate::probe::{measure, resident};

const SIZES: [u64; 5] = [1_000, 3_000, 10_000, 30_000, 95_000];
const QUICK_SIZES: [u64; 4] = [100, 300, 1_000, 3_000];
/// Number of services at the target size. A service is only a label of each backend.
const SERVICES: u32 = 6_100;
/// Time for the work that follows a start or a change, ms.
const SETTLING_MS: f64 = 1_000.0;

/// A change of the fleet between two reads of its list.
type FleetChange = fn(&mut Fleet);

fn sizes(quick: bool) -> Vec<u64> {
    if quick {
        QUICK_SIZES.to_vec()
    } else {
        SIZES.to_vec()
    }
}

fn fleet(size: u64, seed: u64) -> Fleet {
    Fleet::new(size, Deployment::TARGET.zones, SERVICES, seed)
}

fn new_ingress(seed: u64) -> Result<SimulatedIngress, ExperimentError> {
    SimulatedIngress::new(&Deployment::TARGET.config()?, seed)
}

/// Returns the growth of resident memory during the start, given the resident memory before. Not
/// used for discovery: there the memory freed by the generated list is reused, which hides the
/// growth.
fn resident_growth(before: u64) -> Measurement {
    let growth = resident().saturating_sub(before);
    Measurement::timed("start_resident", Unit::Bytes, growth as f64)
}

/// Backends of the operator's inventory, a CSV file that is read in full at each change.
pub struct ByInventory;

impl Experiment for ByInventory {
    fn name(&self) -> &'static str {
        "backends-inventory"
    }

    fn description(&self) -> &'static str {
        "Backends of an inventory in CSV, read whole at the start and at each change"
    }

    fn axis(&self) -> &'static str {
        "backends"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        sizes(quick)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut fleet = fleet(size, seed);
        let ingress = new_ingress(seed)?;
        let mut folder = InventoryFolder::new()?;
        let mut results = Vec::new();

        folder.write(&fleet)?;
        let before = resident();
        let (started, cost) = measure(|| ingress.load(&mut folder.inventory));
        started?;
        results.extend(cost.measurements("start"));
        results.push(resident_growth(before));
        ingress.advance(SETTLING_MS);
        results.extend(idle_cost(&ingress));
        results.extend(choice_cost(&ingress)?);

        let changes: [(&str, FleetChange); 2] = [
            ("one_changed", Fleet::toggle_one),
            ("all_changed", Fleet::restart_all),
        ];
        for (step, change) in changes {
            change(&mut fleet);
            folder.write(&fleet)?;
            let (changed, cost) = measure(|| ingress.load(&mut folder.inventory));
            changed?;
            results.extend(cost.measurements(step));
            ingress.advance(SETTLING_MS);
        }
        Ok(results)
    }
}

/// Backends of discovery's list: a full list at the start, then changes.
pub struct ByDiscovery;

impl Experiment for ByDiscovery {
    fn name(&self) -> &'static str {
        "backends-discovery"
    }

    fn description(&self) -> &'static str {
        "Backends of discovery's list: whole at the start and when all change, else the change alone"
    }

    fn axis(&self) -> &'static str {
        "backends"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        sizes(quick)
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut fleet = fleet(size, seed);
        let ingress = new_ingress(seed)?;
        let mut results = Vec::new();

        let full_list = fleet.full_list(1);
        results.push(Measurement::counted(
            "whole_list_bytes",
            Unit::Bytes,
            full_list.len() as f64,
        ));
        let (started, cost) = measure(|| ingress.apply_list(full_list.clone()));
        started?;
        drop(full_list);
        results.extend(cost.measurements("start"));
        ingress.advance(SETTLING_MS);
        results.extend(idle_cost(&ingress));
        results.extend(choice_cost(&ingress)?);

        fleet.toggle_one();
        let change = fleet.change_list(2);
        results.push(Measurement::counted(
            "change_bytes",
            Unit::Bytes,
            change.len() as f64,
        ));
        let (changed, cost) = measure(|| ingress.apply_list(change.clone()));
        changed?;
        results.extend(cost.measurements("one_changed"));
        ingress.advance(SETTLING_MS);

        fleet.restart_all();
        let full_list = fleet.full_list(3);
        let (changed, cost) = measure(|| ingress.apply_list(full_list.clone()));
        changed?;
        results.extend(cost.measurements("all_changed"));
        Ok(results)
    }
}
