//! `[group]` of the operator's file.

use super::GroupError;
use driftgap_group::{is_name, MAX_MEMBERS, MIN_MEMBERS, NEWEST_FORMAT, OLDEST_FORMAT};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// `[group]` of the operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSettings {
    /// Where other members reach this one, if it is a member.
    pub listen: Option<SocketAddr>,
    /// A member's log and state; a follower's cached replica, if it has a folder.
    pub folder: Option<PathBuf>,
    /// Where each member is reached, by name; an ingress of another name follows them.
    pub members: BTreeMap<String, SocketAddr>,
    /// The newest format version of the log that this member takes part in, so that a release can be taken back; the
    /// newest that the program knows where it is absent.
    pub form: Option<u16>,
}

impl GroupSettings {
    /// Judges the section for the ingress of this name.
    ///
    /// # Errors
    /// The field that it lacks.
    pub fn validate_for(&self, name: &str) -> Result<(), GroupError> {
        if self.members.contains_key(name) {
            self.folder_of(name)?;
            self.listen_of(name)?;
        }
        Ok(())
    }

    /// Judges the section by itself.
    ///
    /// # Errors
    /// The field and what is wrong with it.
    pub fn validate(&self) -> Result<(), (&'static str, String)> {
        if let Some(name) = self.members.keys().find(|name| !is_name(name)) {
            return Err(("group.members", format!("{name:?} is no name of a member")));
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
            return Err(("group.members", "two members at one address".into()));
        }
        Ok(())
    }

    pub(super) fn is_member(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Where a member's link listens.
    pub(super) fn listen_of(&self, name: &str) -> Result<SocketAddr, GroupError> {
        self.listen
            .ok_or_else(|| GroupError::Missing("listen", name.into()))
    }

    /// A member's folder.
    pub(super) fn folder_of(&self, name: &str) -> Result<&Path, GroupError> {
        if !self.is_member(name) {
            return Err(GroupError::Name(name.into()));
        }
        self.folder
            .as_deref()
            .ok_or_else(|| GroupError::Missing("folder", name.into()))
    }

    /// The address of a member's link as the group's log has it.
    pub(super) fn address_of(&self, name: &str) -> Result<String, GroupError> {
        let address = self.members.get(name);
        let address = address.ok_or_else(|| GroupError::Name(name.into()))?;
        Ok(address.to_string())
    }

    /// All members' addresses as the group's log has them.
    pub(super) fn addresses(&self) -> BTreeMap<String, String> {
        let members = self.members.iter();
        members
            .map(|(name, address)| (name.clone(), address.to_string()))
            .collect()
    }

    /// The newest format version that a member may speak.
    pub(super) fn newest_format(&self) -> u16 {
        self.form.unwrap_or(NEWEST_FORMAT)
    }
}
