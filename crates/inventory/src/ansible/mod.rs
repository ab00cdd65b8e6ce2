//! Inventories as Ansible keeps them, in YAML or in the JSON of `ansible-inventory --list`: groups with hosts,
//! variables and children. `file_reader` takes files in; `precedence` says which variables a host has. It must never
//! follow a ring of groups.

mod file_reader;
mod precedence;

pub(crate) use file_reader::FileReader;

use crate::fault::Location;
use crate::host_fields::FieldValue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Deepest nesting of groups: far deeper than groups are kept.
const MAX_DEPTH: usize = 32;
/// Most hosts of an inventory: bounds the memory that one can claim.
pub const MAX_HOSTS: usize = 200_000;

/// Variables by the field that they are. A pattern's are shared by all hosts that it stands for.
type Variables = BTreeMap<String, Arc<FieldValue>>;

#[derive(Default)]
struct Group {
    variables: Variables,
    hosts: BTreeSet<String>,
    children: BTreeSet<String>,
    /// `ansible_group_priority`.
    priority: i64,
    /// How far it is below the top at most.
    depth: usize,
}

struct ListedHost {
    variables: Variables,
    location: Location,
}

/// What the files of one inventory say together.
#[derive(Default)]
pub(crate) struct Inventory {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, ListedHost>,
    /// From `group_vars`: over what the inventory itself says.
    group_files: BTreeMap<String, Variables>,
    /// From `host_vars`: over everything else.
    host_files: BTreeMap<String, Variables>,
}

/// Whether a file of variables is one of a group or of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VariablesOf {
    Group,
    Host,
}
