//! Division of the file descriptors that the platform allows between clients and endpoints.

use crate::admin::server::MAX_CALLERS;
use crate::config::settings::Config;
use crate::counter::MAX_CONNECTIONS;

/// Descriptors for neither clients nor endpoints: log, runtime, discovery, listeners, the group's
/// links and files, and one for each connection to the counter.
const RESERVED_DESCRIPTORS: usize = 24 + MAX_CONNECTIONS;
/// Descriptors for the administration listener and its callers, if it is configured.
const ADMIN_DESCRIPTORS: usize = 1 + MAX_CALLERS;
/// Lower bound of RESP connections, even if the settings leave fewer. With fewer, the ingress could
/// not serve at all.
const MIN_CLIENT_CONNECTIONS: usize = 16;

/// Most connections to endpoints and from clients. Endpoints get two fifths of the descriptors and
/// clients three, since an endpoint connection serves many clients in turn.
#[derive(Clone, Copy)]
pub(super) struct DescriptorBudget {
    /// Most connections to endpoints.
    pub(super) endpoints: usize,
    /// Most connections of RESP clients.
    pub(super) clients: usize,
}

impl DescriptorBudget {
    /// Computes the budget for a configuration. The HTTP/2 connections are taken from the clients'
    /// share.
    pub(super) fn new(config: &Config, http2_connections: usize) -> DescriptorBudget {
        let admin = config.operator.map_or(0, |_| ADMIN_DESCRIPTORS);
        let available = config.sockets.saturating_sub(RESERVED_DESCRIPTORS + admin);
        let clients = available * 3 / 5;
        DescriptorBudget {
            endpoints: available * 2 / 5,
            clients: clients
                .saturating_sub(http2_connections)
                .max(MIN_CLIENT_CONNECTIONS),
        }
    }

    /// Returns half of the budget, for two processes of one ingress that share its descriptors.
    pub(super) fn halved(self) -> DescriptorBudget {
        DescriptorBudget {
            endpoints: self.endpoints / 2,
            clients: self.clients / 2,
        }
    }
}
