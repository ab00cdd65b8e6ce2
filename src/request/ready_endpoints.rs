//! The endpoints that may receive requests, according to the endpoint registry. Requests are sent
//! to no others, even if the decision module asks for it: the module may not have processed the
//! last update yet.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use crate::request::in_flight::Location;
use std::collections::BTreeMap;

struct ListedEndpoint {
    ready: bool,
    location: Location,
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

    /// Applies an update of the endpoint registry. Returns the endpoints that the update removes or
    /// lists as not ready. A list of a kind other than [`ListKind::Delta`] is complete: endpoints
    /// that it does not name are removed.
    pub(super) fn update(&mut self, kind: ListKind, entries: &[EndpointEntry]) -> Vec<EndpointId> {
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
            };
            self.endpoints.insert(entry.id, listed);
        }
        let not_ready = self
            .endpoints
            .iter()
            .filter(|(_, listed)| !listed.ready)
            .map(|(id, _)| *id)
            .collect();
        self.endpoints.retain(|_, listed| listed.ready);
        not_ready
    }
}
