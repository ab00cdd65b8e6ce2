//! Settings of the decision modules of hollow ingresses.

use driftgap::decision::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// Burst of a quota, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Returns the settings of one of `ingresses` ingresses, with one class and one plan of `quota`
/// units per second.
pub(super) fn settings(ingresses: u32, position: u32, quota: f64) -> Settings {
    let class = Class {
        latency_objective: 0.5,
        deadline: 2.0,
        idempotency: Idempotency::Safe,
        deduplication_scope: DeduplicationScope::All,
        idempotency_window: 1.0,
        late_weight_share: 0.0,
        priority_weight: 1.0,
    };
    let plan = Plan {
        rate: quota,
        burst: BURST_SECONDS * quota,
        max_in_flight: 0,
        excess_weight_share: 0.0,
        excess_cost_share: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
    };
    Settings {
        ingresses,
        ingress_index: position,
        zone: 0,
        classes: vec![class],
        plans: vec![plan],
        load_report_fields: Vec::new(),
        load_reports_by_health_check: false,
        endpoint_list_is_polled: false,
        health_checks_allowed: true,
        cancellation_allowed: true,
        hedging: false,
        counter: true,
        counter_timeout: 0.1,
        settles_units_later: false,
        max_units: 4.0,
        max_attempts: 4,
        max_retry_after: 2.0,
        resolution: 0.002,
        initial_capacity_share: 0.2,
        warm_up: 15.0,
        overload_factor: 3.0,
        overload_tolerance: 2.0,
    }
}
