//! Generated requests, and the cost of a single request and of an idle second.

use crate::experiment::{ExperimentError, Measurement};
use crate::ingress::SimulatedIngress;
use crate::probe::{measure, Cost};
use driftgap::config::settings::Platform;
use driftgap::request::ClientRequest;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of ingresses that a tenant's requests come through: those of one zone of the target,
/// 2,500 / 21.
const TENANT_SPREAD: u32 = 119;
/// Name of the plan without a quota.
const UNMETERED: &str = "unmetered";
/// The tenant of requests without a quota.
const UNMETERED_TENANT: u64 = (1 << 33) - 1;
/// Names of the plans of all other tenants.
const PLANS: [&str; 4] = ["community", "district", "city", "national"];
/// Number of requests over which the cost of one is averaged.
const SAMPLES: u64 = 64;
/// Interval between these requests, ms; each request is answered before the next one.
const SAMPLE_INTERVAL_MS: f64 = 60.0;

/// Number of the next request, which is its id.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(0);

/// Creates a request of a tenant. The latency objective of its class is long, so load shedding does
/// not refuse it.
///
/// # Errors
/// The request is malformed.
pub fn request(platform: &Platform, tenant: u64) -> Result<ClientRequest, ExperimentError> {
    request_of_plan(platform, tenant, PLANS[tenant as usize % PLANS.len()])
}

/// Creates a request without a quota; all such requests belong to one tenant.
///
/// # Errors
/// The request is malformed.
pub fn unmetered_request(platform: &Platform) -> Result<ClientRequest, ExperimentError> {
    request_of_plan(platform, UNMETERED_TENANT, UNMETERED)
}

fn request_of_plan(
    platform: &Platform,
    tenant: u64,
    plan: &str,
) -> Result<ClientRequest, ExperimentError> {
    let ingresses = platform.decision.ingresses;
    let (spread, first) = (TENANT_SPREAD.min(ingresses), tenant % u64::from(ingresses));
    let terms = format!("c=bulk-fetch,t={plan},d=1000,units=1,spread={spread},first={first}");
    // Every request carries a new id, of one length so that repeats allocate the same.
    let request_id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
    ClientRequest::new(
        platform,
        &format!("{tenant:016x}"),
        &format!("{request_id:016x}"),
        terms,
        None,
    )
    .map_err(|e| ExperimentError::Refused(e.to_string()))
}

/// Measures the cost of accepting one request without a quota and choosing a backend for it.
///
/// # Errors
/// A generated request is malformed.
pub fn choice_cost(ingress: &SimulatedIngress) -> Result<Vec<Measurement>, ExperimentError> {
    let mut total = Cost::default();
    for _ in 0..SAMPLES {
        let request = unmetered_request(ingress.dispatcher().platform())?;
        let ((), cost) = measure(|| ingress.arrive(request));
        total.cpu += cost.cpu;
        total.allocations += cost.allocations;
        ingress.advance(SAMPLE_INTERVAL_MS);
    }
    Ok(total.each(SAMPLES).allocations_and_cpu("choice").to_vec())
}

/// Number of seconds over which the cost of an idle second is averaged.
pub const IDLE_SECONDS: u64 = 4;

/// Advances time by [`IDLE_SECONDS`] without requests and returns the total cost.
pub fn idle_seconds(ingress: &SimulatedIngress) -> Cost {
    let ((), cost) = measure(|| ingress.advance(IDLE_SECONDS as f64 * 1000.0));
    cost
}

/// Measures the cost of an idle second, in which only timers run.
pub fn idle_cost(ingress: &SimulatedIngress) -> Vec<Measurement> {
    idle_seconds(ingress)
        .each(IDLE_SECONDS)
        .allocations_and_cpu("idle_second")
        .to_vec()
}
