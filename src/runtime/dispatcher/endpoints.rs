//! Endpoint lists and the operator's rules: which pools each ready endpoint is in.

use super::Dispatcher;
use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use driftgap_routes::{
    Endpoint, PoolBitsExhausted, Replaced, Request, Router, Rules, Verdict, ALL,
};
use std::collections::BTreeMap;

impl Dispatcher {
    /// Passes an update of the endpoint registry on to the request table: exclusions are applied, and ready endpoints
    /// get their pools.
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

    /// Whether there are rules: without, what they would see of a request need not be put together.
    pub fn has_rules(&self) -> bool {
        self.router.borrow().is_some()
    }

    /// What the rules say of a request.
    pub fn route(&self, request: &Request<'_>) -> Verdict {
        match &mut *self.router.borrow_mut() {
            Some(router) => router.route(request, self.clock.now()),
            None => Verdict::Go(Box::default()),
        }
    }

    /// The rules in force.
    pub fn rules(&self) -> Option<Rules> {
        let router = self.router.borrow();
        router.as_ref().map(|router| router.rules().clone())
    }

    /// Puts rules in force. What they replace takes long to drop, and is to be dropped by another thread. Requests
    /// under way end under the rules that they began with.
    ///
    /// # Errors
    /// Requests under way still need too many pools of the old rules, which stay in force.
    pub fn replace_rules(&self, rules: Rules) -> Result<Option<Replaced>, PoolBitsExhausted> {
        let longest_ms = self.longest_deadline_ms();
        let replaced = match &mut *self.router.borrow_mut() {
            Some(router) => Some(router.replace(rules, self.clock.now(), longest_ms)?),
            none => {
                *none = Some(Router::new(rules));
                None
            }
        };
        // Without a new pool, every endpoint is in its pools already.
        if replaced.as_ref().is_none_or(Replaced::has_new_pools) {
            let ready = self.ready.borrow().values().cloned().collect();
            self.update_endpoints(ListKind::Delta, ready);
        }
        Ok(replaced)
    }

    /// Statistics of the pools that rules define; none without rules.
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

/// Statistics of the pools that rules define.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolStatistics {
    /// How many endpoints of each pool are ready, as `POOL=COUNT` separated by spaces.
    pub ready: String,
    /// How many evaluations of rules have failed since the start.
    pub failed_evaluations: u64,
}

/// Keeps the ready endpoints up to date with a list.
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
