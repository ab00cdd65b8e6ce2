//! Operations on a member's folder while the member does not run.

use super::settings::GroupSettings;
use super::store::{Identity, Store, StoreError, NEWEST_FOLDER_FORMAT};
use super::{random_id, GroupError};
use driftgap_group::{Member, Settings, StoredMember};
use std::path::Path;

/// Starts a new group with this member as its only one; others are admitted as they join. Returns
/// the group's number.
///
/// # Errors
/// Returns an error if the folder already holds a member or cannot be used.
pub fn init(settings: &GroupSettings, folder: &Path, name: &str) -> Result<u64, GroupError> {
    let address = settings.address_of(name)?;
    let mut store = Store::open(&folder.join(settings.folder_of(name)?))?;
    let (group, nonce) = (random_id(), random_id());
    let loaded = StoredMember::first(group, name, &address, nonce);
    let identity = Identity::new(group, name, loaded.id, nonce);
    store.begin(&identity, &loaded)?;
    Ok(group)
}

/// Starts a new group from one folder of the old group, for operators who have lost a majority for
/// good. The old folder is not changed. Returns a summary for the operator.
///
/// # Errors
/// Returns an error if either folder cannot be used, or the new one is not empty.
pub fn recover(
    settings: &GroupSettings,
    folder: &Path,
    name: &str,
    from: &Path,
) -> Result<String, GroupError> {
    let address = settings.address_of(name)?;
    let path = folder.join(settings.folder_of(name)?);
    let mut store = Store::open(&path)?;
    let newest_format = settings.newest_format().into();
    if store.identity(name, newest_format)?.is_some() {
        return Err(StoreError::AlreadyInitialized(path).into());
    }
    let old = Store::open(from)?;
    old.identity(name, newest_format)?;
    let (group, nonce) = (random_id(), random_id());
    let recovered = old
        .load()?
        .recover(group, name, &address, nonce)
        .map_err(|e| StoreError::Disk(e.to_string()))?;
    let identity = Identity::new(group, name, recovered.loaded.id, nonce);
    store.begin(&identity, &recovered.loaded)?;
    let committed = recovered.committed;
    let further = recovered.last.saturating_sub(committed);
    Ok(format!(
        "group {group:x} starts with member {name} and the whole log of its old folder: {committed} entries known to be \
         committed and {further} more. Lost is every acknowledged call that this folder never received; a call that was \
         answered with NAK may have taken effect: check GROUP OUT. Members of the old group can join with empty folders \
         only."
    ))
}

/// Checks a member's folder while the member does not run. Returns a summary for the operator.
///
/// # Errors
/// Returns an error if the folder cannot be used: it names the damaged record or the conflicting
/// owner.
pub fn inspect(settings: &GroupSettings, folder: &Path, name: &str) -> Result<String, GroupError> {
    let path = folder.join(settings.folder_of(name)?);
    let store = Store::open(&path)?;
    let Some(identity) = store.identity(name, NEWEST_FOLDER_FORMAT)? else {
        return Ok(format!(
            "{}: empty; {name} will request admission to the group",
            path.display()
        ));
    };
    let loaded = store.load()?;
    let entries = loaded.entries.len();
    let snapshot_index = loaded.snapshot.index;
    let term = loaded.hard.term;
    let member_settings = Settings::new(name, 0, settings.addresses());
    let member =
        Member::new(member_settings, loaded, 0.0).map_err(|e| StoreError::Disk(e.to_string()))?;
    Ok(format!(
        "{}: group {:x}, member {name} as incarnation {}, form {}, term {term}, state at {snapshot_index} ({} out), \
         {entries} entries: sound",
        path.display(),
        identity.group,
        identity.id,
        store.format()?.unwrap_or(0),
        member.state().excluded.len(),
    ))
}
