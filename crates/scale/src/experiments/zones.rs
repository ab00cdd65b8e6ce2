//! What zones cost an ingress: each zone is a name in its settings and a number in its list of
//! backends.

use crate::experiment::{Experiment, ExperimentError, Measurement};
use crate::experiments::fleet::Fleet;
use crate::experiments::traffic::{choice_cost, idle_cost};
use crate::ingress::{Deployment, SimulatedIngress};
use crate::probe::measure;

const SIZES: [u64; 5] = [1, 3, 7, 21, 63];
const BACKENDS: u64 = 10_000;
const QUICK_SIZES: [u64; 4] = [1, 7, 21, 63];

/// Measures zones over which a fixed number of backends is distributed.
pub struct ByZones;

impl Experiment for ByZones {
    fn name(&self) -> &'static str {
        "zones"
    }

    fn description(&self) -> &'static str {
        "Zones that 10,000 backends of discovery's list lie in"
    }

    fn axis(&self) -> &'static str {
        "zones"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_SIZES.to_vec()
        } else {
            SIZES.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let zones = size as u32;
        let fleet = Fleet::new(BACKENDS, zones, 1, seed);
        let config = Deployment {
            zones,
            ..Deployment::TARGET
        }
        .config()?;
        let ingress = SimulatedIngress::new(&config, seed)?;
        let mut results = Vec::new();

        let full_list = fleet.full_list(1);
        let (started, cost) = measure(|| ingress.apply_list(full_list.clone()));
        started?;
        results.extend(cost.measurements("start"));
        ingress.advance(1_000.0);
        results.extend(idle_cost(&ingress));
        results.extend(choice_cost(&ingress)?);
        Ok(results)
    }
}
