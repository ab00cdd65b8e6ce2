//! Endpoint updates, and the operator's rules that assign ready endpoints to pools and route
//! requests.

use super::Dispatcher;
use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use driftgap_routes::{
    Endpoint, PoolBitsExhausted, Replaced, Request, Router, Rules, Verdict, ALL,
};
use std::collections::BTreeMap;

impl Dispatcher {
    /// Passes an update of the endpoint registry on to the request table. Excluded endpoints are
    /// marked as draining first, and ready endpoints get their pools.
    pub fn update_endpoints(&self, kind: ListKind, mut entries: Vec<EndpointEntry>) {
        self.apply_exclusions(kind, &mut entries);
        if let Some(router) = &mut *self.router.borrow_mut() {
            self.assign_pools(router, &mut entries);
            update_ready(&mut self.ready.borrow_mut(), kind, &entries);
            let ready = self.ready.borrow();
            router.count_ready(ready.values().map(|entry| entry.pools));
        } else {
            update_ready(&mut self.ready.borrow_mut(), kind, &entries);
        }
        self.with_requests(|requests, now| requests.update_endpoints(now, kind, entries));
    }

    fn assign_pools(&self, router: &mut Router, entries: &mut [EndpointEntry]) {
        let registry = self.registry.borrow();
        let zones = &self.platform.zones;
        for entry in entries {
            if entry.state != EndpointState::Ready {
                continue;
            }
            let Some(endpoint) = registry.endpoint(entry.id) else {
                entry.pools = ALL;
                continue;
            };
            let zone = zones.get(entry.zone as usize).map_or("", String::as_str);
            entry.pools = router.pools_of(&Endpoint {
                name: &endpoint.name,
                zone,
                cell: entry.cell,
                weight: entry.capacity,
                protocol: endpoint.protocol.name(),
                ip: endpoint.addr.ip(),
                labels: &endpoint.labels,
            });
        }
    }

    /// Returns whether there are rules. Without rules, callers can skip building the request view
    /// for them.
    pub fn has_rules(&self) -> bool {
        self.router.borrow().is_some()
    }

    /// Evaluates the rules for a request.
    pub fn route(&self, request: &Request<'_>) -> Verdict {
        match &mut *self.router.borrow_mut() {
            Some(router) => router.route(request, self.clock.now()),
            None => Verdict::Forward(Box::default()),
        }
    }

    /// Returns a copy of the rules in force.
    pub fn rules(&self) -> Option<Rules> {
        let router = self.router.borrow();
        router.as_ref().map(|router| router.rules().clone())
    }

    /// Puts rules in force. Requests in flight complete under the rules that they began with. The
    /// returned old rules are slow to drop; drop them on another thread.
    ///
    /// # Errors
    /// Requests in flight still use too many pools of the old rules; the old rules stay in force.
    pub fn replace_rules(&self, rules: Rules) -> Result<Option<Replaced>, PoolBitsExhausted> {
        let longest_ms = self.longest_deadline_ms();
        let replaced = match &mut *self.router.borrow_mut() {
            Some(router) => Some(router.replace(rules, self.clock.now(), longest_ms)?),
            no_router => {
                *no_router = Some(Router::new(rules));
                None
            }
        };
        // If no pool is new, the pools of every endpoint are up to date.
        if replaced.as_ref().is_none_or(Replaced::has_new_pools) {
            let ready = self.ready.borrow().values().cloned().collect();
            self.update_endpoints(ListKind::Delta, ready);
        }
        Ok(replaced)
    }

    /// Returns the statistics of the rules' pools, or `None` without rules.
    pub fn pool_statistics(&self) -> Option<PoolStatistics> {
        let router = self.router.borrow();
        let router = router.as_ref()?;
        let ready: Vec<String> = router
            .ready_endpoints()
            .map(|(pool, ready)| format!("{pool}={ready}"))
            .collect();
        Some(PoolStatistics {
            ready: ready.join(" "),
            failed_evaluations: router.failed_evaluations(),
        })
    }
}

/// Statistics of the pools that the rules define.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolStatistics {
    /// The number of ready endpoints of each pool, as `POOL=COUNT` separated by spaces.
    pub ready: String,
    /// The number of rule evaluations that have failed since the start.
    pub failed_evaluations: u64,
}

/// Applies an endpoint list to the map of ready endpoints.
fn update_ready(
    ready: &mut BTreeMap<EndpointId, EndpointEntry>,
    kind: ListKind,
    entries: &[EndpointEntry],
) {
    if matches!(kind, ListKind::Full | ListKind::Cached) {
        ready.clear();
    }
    for entry in entries {
        if entry.state == EndpointState::Ready {
            ready.insert(entry.id, entry.clone());
        } else {
            ready.remove(&entry.id);
        }
    }
}
