//! The endpoints that may receive requests, according to the endpoint registry. Requests are sent
//! to no others, even if the decision module asks for it: the module may not have processed the
//! last update yet.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use crate::request::in_flight::Location;
use std::collections::{BTreeMap, BTreeSet};

struct ListedEndpoint {
    ready: bool,
    location: Location,
    /// When the endpoint last started, s.
    started_at: f64,
}

/// The ready endpoints and their locations.
#[derive(Default)]
pub(super) struct ReadyEndpoints {
    /// Endpoints that are not ready are removed at the end of each update.
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
}

impl ReadyEndpoints {
    /// Returns the location of an endpoint, or none if it is not ready.
    pub(super) fn location(&self, endpoint: EndpointId) -> Option<Location> {
        self.endpoints.get(&endpoint).map(|listed| listed.location)
    }

    /// Number of ready endpoints.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Applies an update of the endpoint registry. Returns the endpoints whose connections are of no
    /// more use: those that the update removes or lists as not ready, and those that have restarted. A list of a kind other than [`ListKind::Delta`] is complete: endpoints
    /// that it does not name are removed.
    pub(super) fn update(&mut self, kind: ListKind, entries: &[EndpointEntry]) -> Vec<EndpointId> {
        let mut released = BTreeSet::new();
        if kind != ListKind::Delta {
            for listed in self.endpoints.values_mut() {
                listed.ready = false;
            }
        }
        for entry in entries {
            let listed = ListedEndpoint {
                ready: entry.state == EndpointState::Ready,
                location: Location {
                    zone: entry.zone,
                    cell: entry.cell,
                },
                started_at: entry.started_at,
            };
            let previous = self.endpoints.insert(entry.id, listed);
            if previous.is_some_and(|previous| previous.started_at < entry.started_at) {
                released.insert(entry.id);
            }
        }
        let not_ready = self.endpoints.iter().filter(|(_, listed)| !listed.ready);
        released.extend(not_ready.map(|(id, _)| *id));
        self.endpoints.retain(|_, listed| listed.ready);
        released.into_iter().collect()
    }
}
