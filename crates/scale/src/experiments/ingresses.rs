//! The load that a fleet of ingresses puts on the counter and on one backend: decision modules on
//! one virtual clock.

use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::hollow::ingresses::{Fleet, FleetCounts, FleetPlan};

const INGRESSES: [u64; 5] = [10, 30, 100, 300, 1_000];
const QUICK_INGRESSES: [u64; 4] = [3, 10, 30, 100];
const TENANTS: [u64; 5] = [10, 30, 100, 300, 1_000];
const QUICK_TENANTS: [u64; 4] = [10, 30, 100, 300];
/// Number of ingresses while the number of tenants varies.
const FLEET_INGRESSES: u32 = 30;
/// Number of tenants while the number of ingresses varies.
const FIXED_TENANTS: u64 = 100;
/// Requests per second of one tenant: the mean at the target's peak load.
const TENANT_REQUESTS: f64 = 1.0;
/// Quota of one tenant in units per second, which its requests do not exceed.
const TENANT_QUOTA: f64 = 10.0;
/// Number of backends.
const BACKENDS: u32 = 20;
/// Requests per second of one backend at the target's peak load.
const BACKEND_REQUESTS: f64 = 11.6;
/// Time before the measurement, s.
const WARM_UP_SECONDS: f64 = 30.0;
/// Duration of the measurement, s.
const COUNTED_SECONDS: f64 = 30.0;

fn start(plan: FleetPlan) -> Result<Fleet, ExperimentError> {
    let mut fleet = Fleet::start(plan).map_err(|e| ExperimentError::Settings(e.to_string()))?;
    fleet.run(WARM_UP_SECONDS);
    Ok(fleet)
}

/// Returns the counts of the measurement period.
fn count(fleet: &mut Fleet) -> FleetCounts {
    let before = fleet.counts();
    fleet.run(COUNTED_SECONDS);
    fleet.counts().since(before)
}

fn per_second(name: &str, unit: Unit, count: u64) -> Measurement {
    Measurement::counted(name, unit, count as f64 / COUNTED_SECONDS)
}

/// Returns a fleet of tenants with a quota, each of which sends requests through all ingresses.
fn metered(ingresses: u32, tenants: u64, seed: u64) -> FleetPlan {
    FleetPlan {
        ingresses,
        tenants,
        spread: ingresses,
        quota: TENANT_QUOTA,
        requests_per_second: TENANT_REQUESTS * tenants as f64,
        backends: BACKENDS,
        first_is_down: false,
        seed,
    }
}

fn counter_calls(plan: FleetPlan) -> Result<Vec<Measurement>, ExperimentError> {
    let mut fleet = start(plan)?;
    let counts = count(&mut fleet);
    let calls = counts.counter_calls as f64 / counts.requests.max(1) as f64;
    Ok(vec![
        per_second("second_requests", Unit::Count, counts.requests),
        per_second("second_counter_calls", Unit::Messages, counts.counter_calls),
        per_second("second_refused", Unit::Count, counts.refused),
        Measurement::counted("request_counter_calls", Unit::Messages, calls),
    ])
}

/// Calls to the counter by number of ingresses.
pub struct CounterByIngresses;

impl Experiment for CounterByIngresses {
    fn name(&self) -> &'static str {
        "counter-ingresses"
    }

    fn description(&self) -> &'static str {
        "Calls to the counter of 100 tenants with a request a second each, all through every ingress"
    }

    fn axis(&self) -> &'static str {
        "ingresses"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_INGRESSES.to_vec()
        } else {
            INGRESSES.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        counter_calls(metered(size as u32, FIXED_TENANTS, seed))
    }
}

/// Calls to the counter by number of tenants.
pub struct CounterByTenants;

impl Experiment for CounterByTenants {
    fn name(&self) -> &'static str {
        "counter-tenants"
    }

    fn description(&self) -> &'static str {
        "Calls to the counter of tenants with a request a second each, all through every one of 30 ingresses"
    }

    fn axis(&self) -> &'static str {
        "tenants"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_TENANTS.to_vec()
        } else {
            TENANTS.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        counter_calls(metered(FLEET_INGRESSES, size, seed))
    }
}

/// Ingresses, connections and probes of one backend by number of ingresses.
pub struct BackendByIngresses;

impl BackendByIngresses {
    fn plan(ingresses: u64, first_is_down: bool, seed: u64) -> FleetPlan {
        FleetPlan {
            ingresses: ingresses as u32,
            tenants: FIXED_TENANTS,
            spread: ingresses as u32,
            quota: 0.0,
            requests_per_second: BACKEND_REQUESTS * f64::from(BACKENDS),
            backends: BACKENDS,
            first_is_down,
            seed,
        }
    }
}

impl Experiment for BackendByIngresses {
    fn name(&self) -> &'static str {
        "backend-seen"
    }

    fn description(&self) -> &'static str {
        "Ingresses, connections and probes that one backend of 20 sees at 11.6 requests a second, sound or down"
    }

    fn axis(&self) -> &'static str {
        "ingresses"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_INGRESSES.to_vec()
        } else {
            INGRESSES.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut healthy = start(Self::plan(size, false, seed))?;
        let before = healthy.stats();
        let counts = count(&mut healthy);
        let stats = healthy.stats();
        let mean = |figure: &dyn Fn(usize) -> f64| {
            (0..stats.len()).map(figure).sum::<f64>() / stats.len() as f64
        };
        let counted = Measurement::counted;
        let mut results = vec![
            counted(
                "ingresses_in_a_minute",
                Unit::Count,
                mean(&|b| stats[b].ingresses as f64),
            ),
            counted(
                "connections",
                Unit::Count,
                mean(&|b| stats[b].connections as f64),
            ),
            counted(
                "second_opened_connections",
                Unit::Count,
                mean(&|b| (stats[b].opened - before[b].opened) as f64) / COUNTED_SECONDS,
            ),
            per_second("second_probes_of_all_sound", Unit::Messages, counts.probes),
        ];
        let mut down = start(Self::plan(size, true, seed))?;
        let before = down.stats();
        count(&mut down);
        let stats = down.stats();
        results.push(per_second(
            "down_second_probes",
            Unit::Messages,
            stats[0].probes - before[0].probes,
        ));
        results.push(per_second(
            "down_second_attempts",
            Unit::Messages,
            stats[0].attempts - before[0].attempts,
        ));
        results.push(counted(
            "down_probing_ingresses",
            Unit::Count,
            stats[0].probing as f64,
        ));
        Ok(results)
    }
}
