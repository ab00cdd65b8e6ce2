//! Settings of a member.

use crate::NEWEST_FORMAT;
use std::collections::BTreeMap;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The member's name.
    pub name: String,
    /// The length of one tick of the consensus library, ms. Default 50.
    pub tick_ms: f64,
    /// Ticks between two heartbeats of a leader. Default 2.
    pub heartbeat_ticks: usize,
    /// A member without a leader for this many to twice as many ticks becomes a candidate. Default
    /// 10.
    pub election_ticks: usize,
    /// Entries retained after a snapshot, so that members that lag a little need no snapshot.
    /// Default 1,024.
    pub retained_entries: u64,
    /// A proposal or read without a result expires after this time, ms. Default 2,000.
    pub call_timeout_ms: f64,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// The number of the process incarnation, unique among all processes.
    pub origin: u64,
    /// Members that are admitted when they ask with an empty folder, and the addresses of their
    /// links.
    pub members: BTreeMap<String, String>,
    /// The newest format version of the log that the member supports.
    pub newest_format: u16,
}

impl Settings {
    /// Returns the default settings.
    pub fn new(name: &str, origin: u64, members: BTreeMap<String, String>) -> Settings {
        Settings {
            name: name.into(),
            tick_ms: 50.0,
            heartbeat_ticks: 2,
            election_ticks: 10,
            retained_entries: 1024,
            call_timeout_ms: 2000.0,
            seed: origin,
            origin,
            members,
            newest_format: NEWEST_FORMAT,
        }
    }
}
