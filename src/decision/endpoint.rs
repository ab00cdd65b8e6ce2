//! State of each endpoint as observed by this ingress. The rules that use it are in
//! [`super::endpoint_selection`], [`super::slow_start`], [`super::outlier_ejection`] and
//! [`super::exclusion`].

use super::exclusion::Exclusions;
use super::latency::Slowness;
use super::outlier_ejection::EndpointHealth;
use super::slow_start::RecentAttempts;
use super::{
    DecisionEngine, DeduplicationScope, EndpointEntry, EndpointId, EndpointState, LoadReportField,
    Pools,
};
use std::collections::BTreeSet;

/// A request's class and its tenant's plan, by index.
#[derive(Clone, Copy)]
pub(super) struct ClassAndPlan {
    pub(super) class: usize,
    pub(super) plan: usize,
}

/// What an endpoint must serve to be selected.
#[derive(Clone, Copy)]
pub(super) struct EndpointRequirement {
    pub(super) class_and_plan: ClassAndPlan,
    /// The endpoint must be in at least one of these pools.
    pub(super) pools: Pools,
}

/// Endpoints that share idempotency keys with the endpoints of this zone and cell.
#[derive(Clone, Copy)]
pub(super) struct DeduplicationGroup {
    pub(super) scope: DeduplicationScope,
    pub(super) zone: u32,
    pub(super) cell: u32,
}

impl DeduplicationGroup {
    pub(super) fn contains(&self, endpoint: &Endpoint) -> bool {
        match self.scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => endpoint.zone == self.zone,
            DeduplicationScope::Cell => endpoint.cell == self.cell,
        }
    }
}

/// A queue length from a load report.
pub(super) struct ReportedQueue {
    /// When the report arrived, s.
    pub(super) at: f64,
    /// Number of waiting requests.
    pub(super) length: f64,
}

/// An endpoint on the endpoint list, or a removed one that still has attempts in flight.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) zone: u32,
    pub(super) cell: u32,
    /// Capacity relative to the other endpoints.
    pub(super) capacity: f64,
    /// Whether the endpoint accepts new requests.
    pub(super) ready: bool,
    pub(super) removed: bool,
    pub(super) pools: Pools,
    /// When the process of the endpoint started, s; 0 if it started long ago.
    pub(super) started: f64,
    /// Attempts of this ingress in flight.
    pub(super) in_flight: u32,
    pub(super) slowness: Slowness,
    pub(super) health: EndpointHealth,
    pub(super) exclusions: Exclusions,
    pub(super) reported_queue: Option<ReportedQueue>,
    /// Attempts sent while the endpoint was warming up.
    pub(super) slow_start_attempts: RecentAttempts,
}

impl Endpoint {
    /// Applies an entry of the endpoint list.
    fn update(&mut self, entry: &EndpointEntry) {
        if entry.started_at > self.started {
            self.reset_process_state();
            self.started = entry.started_at;
        }
        self.zone = entry.zone;
        self.cell = entry.cell;
        self.capacity = if entry.capacity > 0.0 {
            entry.capacity
        } else {
            1.0
        };
        self.ready = entry.state == EndpointState::Ready;
        self.pools = entry.pools;
        self.removed = entry.state == EndpointState::Gone;
    }

    /// Discards what was observed of the previous process after a restart.
    fn reset_process_state(&mut self) {
        self.health.reset();
        self.slowness.reset();
        self.reported_queue = None;
        self.exclusions.clear();
    }

    /// Records a load report that arrived at `now` (s). `fields` describes `values` by position.
    pub(super) fn record_load_report(
        &mut self,
        now: f64,
        fields: &[LoadReportField],
        values: &[f64],
    ) {
        for (field, value) in fields.iter().zip(values) {
            if *field == LoadReportField::Queue && value.is_finite() && *value >= 0.0 {
                self.reported_queue = Some(ReportedQueue {
                    at: now,
                    length: *value,
                });
            }
        }
    }

    fn mark_removed(&mut self) {
        self.ready = false;
        self.removed = true;
    }
}

impl DecisionEngine {
    /// Applies a complete endpoint list: endpoints that are missing from it are marked as removed.
    pub(super) fn replace_endpoints(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        for (id, endpoint) in &mut self.endpoints {
            if !listed.contains(id) {
                endpoint.mark_removed();
            }
        }
        self.update_endpoints(entries);
    }

    /// Applies the changed entries of the endpoint list.
    pub(super) fn update_endpoints(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            self.endpoints.entry(entry.id).or_default().update(entry);
        }
        self.endpoints
            .retain(|_, endpoint| !endpoint.removed || endpoint.in_flight > 0);
    }
}
