//! The endpoints that may be sent requests, as the endpoint registry has them. Requests go to no others, whatever the
//! decision module asks for: it may not have heard of the last update.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use crate::request::in_flight::Location;
use std::collections::BTreeMap;

struct ListedEndpoint {
    ready: bool,
    location: Location,
}

/// The endpoints that are ready.
#[derive(Default)]
pub(super) struct ReadyEndpoints {
    /// All are ready between two updates.
    endpoints: BTreeMap<EndpointId, ListedEndpoint>,
}

impl ReadyEndpoints {
    /// Where this endpoint stands; none: it is not ready.
    pub(super) fn location(&self, endpoint: EndpointId) -> Option<Location> {
        self.endpoints.get(&endpoint).map(|listed| listed.location)
    }

    /// How many are ready.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Takes an update of the endpoint registry; which endpoints are not ready by it. A list of another kind than
    /// [`ListKind::Delta`] is of all endpoints: those that it does not name are removed.
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
