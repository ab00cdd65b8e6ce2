//! Tests of a group of real processes with faults between them. Schedules are written in the
//! language of [`peers::schedule`].

mod disks;
mod documents;
mod followers;
mod links;
mod membership;
#[path = "../../crates/group/tests/one_machine/mod.rs"]
mod one_machine;
mod peers;
mod promises;
mod random_faults;
mod recovery;
mod releases;
mod statistics;
