//! Confirmation of suspicious inventory lists.
//!
//! Guards against a list that is well-formed but incomplete, which would drain many endpoints at
//! once. A list that removes a large share of the hosts is applied only when it is read again,
//! unchanged, some time later. A file that a tool had only half written has changed by then.

use super::InventorySettings;
use driftgap_inventory::{suspicious, Host, Shares};

/// The list that awaits confirmation, if any.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    waiting: Option<WaitingList>,
}

#[derive(Debug)]
struct WaitingList {
    hosts: Vec<Host>,
    /// When it was first read, ms.
    first_read_ms: f64,
}

impl Confirmation {
    /// Checks whether a list that is read at `now`, ms, may replace the list in force.
    ///
    /// # Errors
    /// The reason why the list must be read again first.
    pub fn confirm(
        &mut self,
        in_force: &[Host],
        hosts: &[Host],
        settings: &InventorySettings,
        now: f64,
    ) -> Result<(), String> {
        let waiting = self.waiting.take();
        let shares = Shares {
            shorter: settings.shorter,
            taken_out: settings.taken_out,
        };
        let Some(reason) = suspicious(in_force, hosts, shares) else {
            return Ok(());
        };
        let first_read_ms = waiting
            .filter(|waiting| waiting.hosts == hosts)
            .map_or(now, |waiting| waiting.first_read_ms);
        if now > first_read_ms && now - first_read_ms >= settings.confirm_after_ms {
            return Ok(());
        }
        self.waiting = Some(WaitingList {
            hosts: hosts.to_vec(),
            first_read_ms,
        });
        Err(reason)
    }
}
