//! How a member behaves.

use crate::NEWEST_FORMAT;
use std::collections::BTreeMap;

/// How a member behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// The length of one tick of the consensus library, ms. Default 50.
    pub tick_ms: f64,
    /// A leader sends a heartbeat each so many ticks. Default 2.
    pub heartbeat_ticks: usize,
    /// Without a leader for this to twice as many ticks a member becomes a candidate. Default 10.
    pub election_ticks: usize,
    /// Entries retained behind a snapshot, so that members that lag a little need no snapshot. Default 1,024.
    pub retained_entries: u64,
    /// A proposal or read without a result ends after this, ms. Default 2,000.
    pub call_timeout_ms: f64,
    /// Where election timeouts are drawn from.
    pub seed: u64,
    /// The process incarnation: no other process has the same.
    pub origin: u64,
    /// Members that are admitted when they come with an empty folder, and the addresses of their links.
    pub members: BTreeMap<String, String>,
    /// The newest format version of the log that it takes part in.
    pub newest_format: u16,
}

impl Settings {
    /// The defaults.
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
