//! The operator's inventory of endpoints, read at the start and on SIGHUP. At the start, the
//! group's copy is the fallback for an invalid file.

use super::startup::StartError;
use crate::decision::ListKind;
use crate::discovery::inventory::{Inventory, InventoryError};
use crate::group::Group;
use crate::runtime::dispatcher::Dispatcher;
use driftgap_group::DocumentKind;

/// Reads the inventory file and puts its endpoints in force. An invalid file changes nothing.
pub(super) fn load(
    dispatcher: &Dispatcher,
    inventory: &mut Inventory,
) -> Result<(), InventoryError> {
    let loaded = inventory.load(&mut dispatcher.registry(), dispatcher.now());
    let (entries, warnings) = loaded?;
    for warning in driftgap_inventory::summary(&warnings) {
        tracing::warn!(warning, "inventory accepted with a warning");
    }
    dispatcher.update_endpoints(ListKind::Delta, entries);
    // A removed endpoint drains first. It leaves the registry at the first load whose previous list
    // already lacked it.
    dispatcher.registry().remove(|id| inventory.is_dropped(id));
    Ok(())
}

/// Loads the inventory at the start. If the file is invalid, uses the inventory that the group
/// accepted last.
///
/// # Errors
/// The fault in the file, if the group has no usable inventory either.
pub(super) async fn load_at_start(
    dispatcher: &Dispatcher,
    inventory: &mut Inventory,
    group: Option<&Group>,
) -> Result<(), StartError> {
    let Err(error) = load(dispatcher, inventory) else {
        return Ok(());
    };
    let fault = StartError::Inventory(inventory.path().display().to_string(), error);
    match group {
        Some(group) => load_from_group(dispatcher, inventory, group, fault).await,
        None => Err(fault),
    }
}

async fn load_from_group(
    dispatcher: &Dispatcher,
    inventory: &mut Inventory,
    group: &Group,
    fault: StartError,
) -> Result<(), StartError> {
    let Some(document) = group.document(DocumentKind::Inventory).await else {
        return Err(fault);
    };
    let restored = inventory.load_copy(
        &document.bytes,
        &mut dispatcher.registry(),
        dispatcher.now(),
    );
    let Ok((entries, _)) = restored else {
        return Err(fault);
    };
    tracing::error!(%fault, number = document.number, "inventory file cannot be used: using the last inventory that the group accepted");
    dispatcher.update_endpoints(ListKind::Delta, entries);
    Ok(())
}
