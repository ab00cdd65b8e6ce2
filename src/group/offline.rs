//! What operators do with a member's folder while the member does not run.

use super::settings::GroupSettings;
use super::store::{Identity, Store, StoreError, NEWEST_FOLDER_FORMAT};
use super::{random_id, GroupError};
use driftgap_group::{Member, Settings, StoredMember};
use std::path::Path;

/// Begins a new group, with this member alone in it; others are admitted as they come.
///
/// # Errors
/// The folder holds a member already, or cannot be used.
pub fn init(settings: &GroupSettings, folder: &Path, name: &str) -> Result<u64, GroupError> {
    let address = settings.address_of(name)?;
    let mut store = Store::open(&folder.join(settings.folder_of(name)?))?;
    let (group, nonce) = (random_id(), random_id());
    let loaded = StoredMember::first(group, name, &address, nonce);
    let identity = Identity::new(group, name, loaded.id, nonce);
    store.begin(&identity, &loaded)?;
    Ok(group)
}

/// Begins a new group with what one folder of the old one holds, for operators who have lost a majority for good. The old
/// folder stays as it is. What was done, in words.
///
/// # Errors
/// Either folder cannot be used; the new one has to be empty.
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
        return Err(StoreError::Taken(path).into());
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
        "group {group:x} begins with {name} and all that its old folder held, {committed} places known as agreed and \
         {further} more. Lost is what others were promised and this folder never received; a call that had a NAK may \
         hold now: look through GROUP OUT. Members of the old group are let in with empty folders only."
    ))
}

/// Looks at a member's folder while it does not run, in words.
///
/// # Errors
/// It cannot be used: which record, or who holds it.
pub fn inspect(settings: &GroupSettings, folder: &Path, name: &str) -> Result<String, GroupError> {
    let path = folder.join(settings.folder_of(name)?);
    let store = Store::open(&path)?;
    let Some(identity) = store.identity(name, NEWEST_FOLDER_FORMAT)? else {
        return Ok(format!(
            "{}: empty; {name} will ask to be let in",
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
