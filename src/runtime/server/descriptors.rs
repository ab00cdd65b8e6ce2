//! How the file descriptors that the platform allows are divided between clients and endpoints.

use crate::admin::server::MAX_CALLERS;
use crate::config::settings::Config;
use crate::counter::MAX_CONNECTIONS;

/// Descriptors that are neither clients' nor endpoints': the log, the runtime's own, discovery, listeners, the
/// group's links and files, and one for each connection to the counter.
const RESERVED: usize = 24 + MAX_CONNECTIONS;
/// Descriptors for the administration listener and its callers, where there is one.
const ADMIN: usize = 1 + MAX_CALLERS;
/// Fewest RESP connections, whatever the settings leave: with fewer the ingress could not serve at all.
const MIN_CLIENTS: usize = 16;

/// Most connections of each side. Endpoints have two fifths and clients three: an endpoint's connection serves many
/// clients one after the other.
#[derive(Clone, Copy)]
pub(super) struct DescriptorBudget {
    /// Most connections to endpoints.
    pub(super) endpoints: usize,
    /// Most connections of RESP clients.
    pub(super) clients: usize,
}

impl DescriptorBudget {
    /// The budget of a process with this configuration; what HTTP/2 clients may hold is taken from the clients' part.
    pub(super) fn new(config: &Config, http2_connections: usize) -> DescriptorBudget {
        let admin = config.operator.map_or(0, |_| ADMIN);
        let divided = config.sockets.saturating_sub(RESERVED + admin);
        let clients = divided * 3 / 5;
        DescriptorBudget {
            endpoints: divided * 2 / 5,
            clients: clients.saturating_sub(http2_connections).max(MIN_CLIENTS),
        }
    }

    /// Half of it: two processes of one ingress share the descriptors of one.
    pub(super) fn halved(self) -> DescriptorBudget {
        DescriptorBudget {
            endpoints: self.endpoints / 2,
            clients: self.clients / 2,
        }
    }
}
