//! The `[group]` section of the operator's file.

use super::GroupError;
use driftgap_group::{is_name, MAX_MEMBERS, MIN_MEMBERS, NEWEST_FORMAT, OLDEST_FORMAT};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The `[group]` section of the operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// The address on which this ingress accepts links, if it is a member.
    pub listen: Option<SocketAddr>,
    /// The folder for a member's log and state, or for a follower's cached replica (optional).
    pub folder: Option<PathBuf>,
    /// The address of each member by name. An ingress with any other name is a follower.
    pub members: BTreeMap<String, SocketAddr>,
    /// The newest format version of the log that this member accepts, so that a release can be
    /// rolled back. Defaults to the newest version that the program supports.
    pub form: Option<u16>,
}

impl GroupSettings {
    /// Validates the section for the ingress of this name.
    ///
    /// # Errors
    /// Returns the field that is missing.
    pub fn validate_for(&self, name: &str) -> Result<(), GroupError> {
        if self.members.contains_key(name) {
            self.folder_of(name)?;
            self.listen_of(name)?;
        }
        Ok(())
    }

    /// Validates the section independently of the ingress.
    ///
    /// # Errors
    /// Returns the invalid field and what is wrong with it.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        if let Some(name) = self.members.keys().find(|name| !is_name(name)) {
            return Err((
                "group.members",
                format!("{name:?} is not a valid member name"),
            ));
        }
        if !(MIN_MEMBERS..=MAX_MEMBERS).contains(&self.members.len()) {
            let why = format!("must be {MIN_MEMBERS} to {MAX_MEMBERS} members");
            return Err(("group.members", why));
        }
        let known_formats = OLDEST_FORMAT..=NEWEST_FORMAT;
        if self.form.is_some_and(|form| !known_formats.contains(&form)) {
            let why = format!("must be {OLDEST_FORMAT} to {NEWEST_FORMAT}");
            return Err(("group.form", why));
        }
        let addresses: BTreeSet<SocketAddr> = self.members.values().copied().collect();
        if addresses.len() != self.members.len() {
            return Err(("group.members", "two members have the same address".into()));
        }
        Ok(())
    }

    pub(super) fn is_member(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Returns the address on which a member accepts links.
    pub(super) fn listen_of(&self, name: &str) -> Result<SocketAddr, GroupError> {
        self.listen
            .ok_or_else(|| GroupError::Missing("listen", name.into()))
    }

    /// Returns a member's folder.
    pub(super) fn folder_of(&self, name: &str) -> Result<&Path, GroupError> {
        if !self.is_member(name) {
            return Err(GroupError::Name(name.into()));
        }
        self.folder
            .as_deref()
            .ok_or_else(|| GroupError::Missing("folder", name.into()))
    }

    /// Returns a member's address in the form that the group's log stores.
    pub(super) fn address_of(&self, name: &str) -> Result<String, GroupError> {
        let address = self.members.get(name);
        let address = address.ok_or_else(|| GroupError::Name(name.into()))?;
        Ok(address.to_string())
    }

    /// Returns all members' addresses in the form that the group's log stores.
    pub(super) fn addresses(&self) -> BTreeMap<String, String> {
        let members = self.members.iter();
        members
            .map(|(name, address)| (name.clone(), address.to_string()))
            .collect()
    }

    /// Returns the newest format version that this ingress may use.
    pub(super) fn newest_format(&self) -> u16 {
        self.form.unwrap_or(NEWEST_FORMAT)
    }
}
