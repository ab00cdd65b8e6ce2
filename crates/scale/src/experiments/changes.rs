//! What changes cost a group and its followers: by changes per second, and by the number of earlier
//! changes that the members retain.

use super::group::{
    delays, document, heaps, load, loads, start, LoadSnapshot, DOCUMENT_BYTES,
    REPLICATION_TIMEOUT_MS,
};
use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::hollow::group::GroupWorld;
use driftgap_group::{DocumentKind, Proposal};

/// Changes per second.
const RATES: [u64; 4] = [1, 3, 10, 30];
/// Number of followers while changes are made.
const FOLLOWERS: usize = 30;
/// Time during which changes are made, s.
const CHANGING_SECONDS: u64 = 10;
/// Number of endpoints that are already excluded before the changes.
const INITIALLY_EXCLUDED: u64 = 50;
/// Numbers of sequential changes to a document whose effect on the members' heap is measured.
const CHANGE_COUNTS: [u64; 5] = [100, 300, 1_000, 3_000, 6_000];
const QUICK_CHANGE_COUNTS: [u64; 4] = [30, 100, 300, 1_000];
/// Size of the changed document, bytes.
const KEPT_DOCUMENT_BYTES: usize = 10_000;
/// Interval between two of the sequential changes, ms.
const CHANGE_INTERVAL_MS: f64 = 20.0;

/// The kind of change that is made repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeKind {
    /// Excludes an endpoint, or restores it.
    ListEntry,
    /// Changes one line of a rule document.
    Document,
}

/// Measures a group by changes per second, all of one kind.
pub struct ByChanges(ChangeKind);

impl ByChanges {
    /// Creates the experiment that excludes and restores endpoints.
    pub fn of_list_entries() -> ByChanges {
        ByChanges(ChangeKind::ListEntry)
    }

    /// Creates the experiment that changes one line of a rule document.
    pub fn of_documents() -> ByChanges {
        ByChanges(ChangeKind::Document)
    }

    /// Returns the proposal of the change with this number.
    fn proposal(&self, world: &GroupWorld, number: u64) -> Result<Proposal, ExperimentError> {
        let endpoint = endpoint(number / 2);
        Ok(match self.0 {
            ChangeKind::ListEntry if number.is_multiple_of(2) => Proposal::Suspend(endpoint),
            ChangeKind::ListEntry => Proposal::Restore(endpoint),
            ChangeKind::Document => {
                let current_number = world
                    .state()?
                    .documents
                    .get(&DocumentKind::Rules)
                    .map_or(0, |document| document.number);
                Proposal::Write(
                    DocumentKind::Rules,
                    current_number,
                    document(DOCUMENT_BYTES, number),
                )
            }
        })
    }
}

fn endpoint(number: u64) -> String {
    format!("endpoint-{number:06}")
}

impl Experiment for ByChanges {
    fn name(&self) -> &'static str {
        match self.0 {
            ChangeKind::ListEntry => "changes-list",
            ChangeKind::Document => "changes-document",
        }
    }

    fn description(&self) -> &'static str {
        match self.0 {
            ChangeKind::ListEntry => {
                "Instances taken out or put back, 50 being out, with 30 followers: cost of a second"
            }
            ChangeKind::Document => {
                "Changes of one line of a 100 KB document, with 30 followers: cost of a second"
            }
        }
    }

    fn axis(&self) -> &'static str {
        "changes a second"
    }

    fn sizes(&self, _quick: bool) -> Vec<u64> {
        RATES.to_vec()
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut world = start(FOLLOWERS, seed)?;
        for number in 0..INITIALLY_EXCLUDED {
            world.propose(Proposal::Suspend(endpoint(1_000_000 + number)))?;
            world.run_until_replicated(REPLICATION_TIMEOUT_MS)?;
        }
        world.take_delays();
        let before = LoadSnapshot::take(&world);
        let started_ms = world.now_ms();
        let changes = size * CHANGING_SECONDS;
        for number in 0..changes {
            let proposal = self.proposal(&world, number)?;
            world.propose(proposal)?;
            let due = started_ms + 1_000.0 * (number + 1) as f64 / size as f64;
            world.run(due - world.now_ms())?;
        }
        let measured = LoadSnapshot::take(&world).since(&before);
        world.run_until_replicated(REPLICATION_TIMEOUT_MS)?;
        let leader = world.leader()?;
        let completed = world.take_delays();
        let mut results = vec![Measurement::counted(
            "changes_in_force",
            Unit::Count,
            completed.len() as f64,
        )];
        results.extend(delays(&completed));
        results.extend(load(
            "leader_second",
            measured.members[leader],
            CHANGING_SECONDS,
        ));
        results.extend(load(
            "member_second",
            measured.busiest_other_member(leader),
            CHANGING_SECONDS,
        ));
        results.extend(loads(
            "follower_second",
            &measured.followers,
            CHANGING_SECONDS,
        ));
        results.extend(heaps(world, leader));
        Ok(results)
    }
}

/// Measures the heap that members use after a number of document changes, which stay in their logs.
pub struct HeapByChanges;

impl Experiment for HeapByChanges {
    fn name(&self) -> &'static str {
        "changes-kept"
    }

    fn description(&self) -> &'static str {
        "Heap of members behind so many changes of a document of 10 KB, with one follower"
    }

    fn axis(&self) -> &'static str {
        "changes made"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_CHANGE_COUNTS.to_vec()
        } else {
            CHANGE_COUNTS.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut world = start(1, seed)?;
        for number in 0..size {
            world.propose(Proposal::Write(
                DocumentKind::Rules,
                number,
                document(KEPT_DOCUMENT_BYTES, number),
            ))?;
            world.run(CHANGE_INTERVAL_MS)?;
        }
        world.run_until_replicated(REPLICATION_TIMEOUT_MS)?;
        let completed = world.take_delays().len();
        let leader = world.leader()?;
        let mut results = vec![Measurement::counted(
            "changes_in_force",
            Unit::Count,
            completed as f64,
        )];
        results.extend(heaps(world, leader));
        Ok(results)
    }
}
