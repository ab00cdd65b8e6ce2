//! Inventories of Ansible, in YAML or in the JSON of `ansible-inventory --list`: groups with hosts,
//! variables and children.
//!
//! `file_reader` reads files into an [`Inventory`]; `precedence` determines the variables of each
//! host. A cycle of groups is reported and never followed.

mod file_reader;
mod precedence;

pub(crate) use file_reader::FileReader;

use crate::fault::Location;
use crate::host_fields::FieldValue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum nesting depth of groups, well above that of real inventories.
const MAX_DEPTH: usize = 32;
/// Maximum number of hosts of an inventory; bounds its memory.
pub const MAX_HOSTS: usize = 200_000;

/// Variables by field name. All hosts that a pattern expands to share the values.
type Variables = BTreeMap<String, Arc<FieldValue>>;

#[derive(Default)]
struct Group {
    variables: Variables,
    hosts: BTreeSet<String>,
    children: BTreeSet<String>,
    /// The value of `ansible_group_priority`.
    priority: i64,
    /// The length of the longest path from a top-level group.
    depth: usize,
}

struct ListedHost {
    variables: Variables,
    location: Location,
}

/// The merged content of all files of one inventory.
#[derive(Default)]
pub(crate) struct Inventory {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, ListedHost>,
    /// Variables from `group_vars`, which override those in the inventory files.
    group_files: BTreeMap<String, Variables>,
    /// Variables from `host_vars`, which override all others.
    host_files: BTreeMap<String, Variables>,
}

/// Whether a file of variables belongs to a group or to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VariableScope {
    Group,
    Host,
}
