//! Confirmation of suspicious lists.
//!
//! Guards the service against a list that is right in form and wrong in substance, which shows as many endpoints that
//! drain at once: one that takes out much is applied only when it is read again, unchanged, some time later. A list
//! that a tool has half-written is another one by then.

use super::InventorySettings;
use driftgap_inventory::{suspicious, Host, Shares};

/// The list that waits to be confirmed, if there is one.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    waiting: Option<WaitingList>,
}

#[derive(Debug)]
struct WaitingList {
    hosts: Vec<Host>,
    /// When it was read first, ms.
    first_read_ms: f64,
}

impl Confirmation {
    /// Whether a list that is read at `now`, ms, may take the place of the list in force.
    ///
    /// # Errors
    /// Why it must be read again first.
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
