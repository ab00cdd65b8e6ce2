//! What services cost an ingress. The program has no services of its own: a service is represented
//! by a pool, which selects backends by a label, and a rule that routes the service's paths to that
//! pool. An ingress has at most 62 pools and so can distinguish at most 62 services.

use crate::experiment::{Experiment, ExperimentError, Measurement};
use crate::experiments::fleet::{service_name, Fleet};
use crate::experiments::routes::{RouteTable, Target};
use crate::experiments::traffic::idle_cost;
use crate::ingress::{Deployment, SimulatedIngress};
use crate::probe::measure;
use std::fmt::Write;

/// Numbers of services; 62 is the maximum.
const SIZES: [u64; 5] = [2, 6, 20, 40, 62];
/// Total number of backends.
const BACKENDS: u64 = 6_200;
/// Number of look-ups over which the cost of one is averaged.
const LOOK_UPS: u64 = 2_000;

/// Measures services as pools of a fixed number of backends.
pub struct ByServices;

/// Returns the text of a pool and a rule for each service.
fn rules(services: u64) -> String {
    let mut text = String::new();
    for number in 0..services {
        let name = service_name(number as u32);
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "[[pool]]\nname = '{name}'\nwhen = 'instance.labels[\"service\"].orValue(\"\") == \"{name}\"'"
        );
    }
    for number in 0..services {
        let name = service_name(number as u32);
        let _ = writeln!(
            text,
            "[[rule]]\nname = '{name}'\nwhen = 'request.path.startsWith(\"/{name}/\")'\npool = '\"{name}\"'"
        );
    }
    text
}

impl Experiment for ByServices {
    fn name(&self) -> &'static str {
        "services"
    }

    fn description(&self) -> &'static str {
        "Services as pools (62 at most) of 6,200 backends in all, each with a rule for its paths"
    }

    fn axis(&self) -> &'static str {
        "services"
    }

    fn sizes(&self, _quick: bool) -> Vec<u64> {
        SIZES.to_vec()
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut fleet = Fleet::new(BACKENDS, Deployment::TARGET.zones, size as u32, seed);
        let ingress = SimulatedIngress::new(&Deployment::TARGET.config()?, seed)?;
        let mut results = Vec::new();

        let text = rules(size);
        let (put, cost) = measure(|| ingress.apply_rules(&text));
        put?;
        results.extend(cost.measurements("rules"));

        let full_list = fleet.full_list(1);
        let (started, cost) = measure(|| ingress.apply_list(full_list.clone()));
        started?;
        results.extend(cost.measurements("start"));
        ingress.advance(1_000.0);
        results.extend(idle_cost(&ingress));

        fleet.toggle_one();
        let change = fleet.change_list(2);
        let (changed, cost) = measure(|| ingress.apply_list(change.clone()));
        changed?;
        results.extend(cost.measurements("one_changed"));

        let mut table = RouteTable::start(&text)?;
        let paths: Vec<String> = (0..size)
            .map(|number| format!("/{}/episodes", service_name(number as u32)))
            .collect();
        let ((), cost) = measure(|| {
            for number in 0..LOOK_UPS {
                let path = &paths[(number % size) as usize];
                table.look_up(&Target { host: None, path });
            }
        });
        results.extend(cost.each(LOOK_UPS).allocations_and_cpu("look_up"));
        Ok(results)
    }
}
