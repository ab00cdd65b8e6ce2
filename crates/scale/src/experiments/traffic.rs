//! Generated requests.

use crate::experiment::{ExperimentError, Measurement};
use crate::ingress::SimulatedIngress;
use crate::probe::{measure, Cost};
use driftgap::config::settings::Platform;
use driftgap::request::ClientRequest;

/// Ingresses that one tenant's requests come through: those of one zone of the target, 2,500 over 21.
const SPREAD: u32 = 119;
/// The plan without a quota, and the plans of tenants.
const UNMETERED: &str = "unmetered";
const UNMETERED_TENANT: u64 = (1 << 33) - 1;
const PLANS: [&str; 4] = ["community", "district", "city", "national"];
/// Requests over which the cost of one is averaged.
const SAMPLES: u64 = 64;
/// Between two of these, ms: the last one has its answer by then.
const PAUSE_MS: f64 = 60.0;

/// A request of a tenant. Its class has a long aim, so that the load ladder refuses none of it.
///
/// # Errors
/// The ingress would refuse it as malformed.
pub fn request(
    platform: &Platform,
    tenant: u64,
    id: u64,
) -> Result<ClientRequest, ExperimentError> {
    of_plan(platform, tenant, id, PLANS[tenant as usize % PLANS.len()])
}

/// A request without a quota, of one tenant.
///
/// # Errors
/// The ingress would refuse it as malformed.
pub fn unmetered_request(platform: &Platform, id: u64) -> Result<ClientRequest, ExperimentError> {
    of_plan(platform, UNMETERED_TENANT, id, UNMETERED)
}

fn of_plan(
    platform: &Platform,
    tenant: u64,
    id: u64,
    plan: &str,
) -> Result<ClientRequest, ExperimentError> {
    let ingresses = platform.decision.ingresses;
    let (spread, first) = (SPREAD.min(ingresses), tenant % u64::from(ingresses));
    let terms = format!("c=bulk-fetch,t={plan},d=1000,units=1,spread={spread},first={first}");
    ClientRequest::new(
        platform,
        &format!("{tenant:016x}"),
        &id.to_string(),
        terms,
        None,
    )
    .map_err(|e| ExperimentError::Refused(e.to_string()))
}

/// What it costs to accept one request without a quota and to choose a backend for it.
///
/// # Errors
/// The ingress refuses the request as malformed.
pub fn choice_cost(ingress: &SimulatedIngress) -> Result<Vec<Measurement>, ExperimentError> {
    let mut total = Cost::default();
    for id in 0..SAMPLES {
        let request = unmetered_request(ingress.dispatcher().platform(), id)?;
        let ((), cost) = measure(|| ingress.arrive(request));
        total.cpu += cost.cpu;
        total.allocations += cost.allocations;
        ingress.advance(PAUSE_MS);
    }
    Ok(total.each(SAMPLES).effort("choice").to_vec())
}

/// Seconds over which an idle one is averaged.
pub const IDLE_SECONDS: u64 = 4;

/// Lets [`IDLE_SECONDS`] pass without requests; what they cost together.
pub fn idle_seconds(ingress: &SimulatedIngress) -> Cost {
    let ((), cost) = measure(|| ingress.advance(IDLE_SECONDS as f64 * 1000.0));
    cost
}

/// What an idle second costs: timers alone.
pub fn idle_cost(ingress: &SimulatedIngress) -> Vec<Measurement> {
    idle_seconds(ingress)
        .each(IDLE_SECONDS)
        .effort("idle_second")
        .to_vec()
}
