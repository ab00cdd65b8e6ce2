//! What services cost an ingress. The code has no services of its own: a service is mapped onto a pool, by a label of
//! its backends, and a rule that sends a path's requests to that pool. There are 62 pools at most, so that is how many
//! services one ingress can tell apart.

use crate::experiment::{Experiment, ExperimentError, Measurement};
use crate::experiments::fleet::{service_name, Fleet};
use crate::experiments::routes::{RouteTable, Target};
use crate::experiments::traffic::idle_cost;
use crate::ingress::{Deployment, SimulatedIngress};
use crate::probe::measure;
use std::fmt::Write;

/// Services; 62 are the most.
const SIZES: [u64; 5] = [2, 6, 20, 40, 62];
/// Backends of all services together.
const BACKENDS: u64 = 6_200;
/// Look-ups over which the cost of one is averaged.
const LOOK_UPS: u64 = 2_000;

/// Services as pools of a fixed number of backends.
pub struct ByServices;

/// A pool and a rule for each service.
fn rules(services: u64) -> String {
    let mut text = String::new();
    for number in 0..services {
        let name = service_name(number as u32);
        // Writing to memory does not fail.
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
        let (put, cost) = measure(|| ingress.put_rules(&text));
        put?;
        results.extend(cost.measurements("rules"));

        let whole = fleet.whole_list(1);
        let (started, cost) = measure(|| ingress.take_list(whole.clone()));
        started?;
        results.extend(cost.measurements("start"));
        ingress.advance(1_000.0);
        results.extend(idle_cost(&ingress));

        fleet.toggle_one();
        let change = fleet.change_list(2);
        let (changed, cost) = measure(|| ingress.take_list(change.clone()));
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
        results.extend(cost.each(LOOK_UPS).effort("look_up"));
        Ok(results)
    }
}
