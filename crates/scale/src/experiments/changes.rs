//! What changes cost a group and its followers: by changes a second, and what members keep of those made before.

use super::group::{
    delays, document, heaps, load, loads, start, Reading, DOCUMENT_BYTES, IN_FORCE_MS,
};
use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::hollow::group::GroupWorld;
use driftgap_group::{DocumentKind, Proposal};

/// Changes a second.
const RATES: [u64; 4] = [1, 3, 10, 30];
/// Followers beside the members while changes are made.
const FOLLOWERS: usize = 30;
/// Time in which changes are made, s.
const CHANGING_SECONDS: u64 = 10;
/// Endpoints that are out before changes begin.
const OUT_BEFORE: u64 = 50;
/// Changes made one after the other, and the document that they change, bytes.
const MADE: [u64; 5] = [100, 300, 1_000, 3_000, 6_000];
const QUICK_MADE: [u64; 4] = [30, 100, 300, 1_000];
const KEPT_DOCUMENT_BYTES: usize = 10_000;
/// Between two of these, ms.
const MADE_EACH_MS: f64 = 20.0;

/// What is changed, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Changed {
    /// An endpoint is taken out, or put back.
    ListEntry,
    /// One line of a document of rules.
    Document,
}

/// Changes a second, of one kind.
pub struct ByChanges(Changed);

impl ByChanges {
    /// Endpoints are taken out and put back.
    pub fn of_list_entries() -> ByChanges {
        ByChanges(Changed::ListEntry)
    }

    /// One line of a document of rules changes.
    pub fn of_documents() -> ByChanges {
        ByChanges(Changed::Document)
    }

    /// The change of this number.
    fn proposal(&self, world: &GroupWorld, number: u64) -> Result<Proposal, ExperimentError> {
        let endpoint = endpoint(number / 2);
        Ok(match self.0 {
            Changed::ListEntry if number.is_multiple_of(2) => Proposal::Suspend(endpoint),
            Changed::ListEntry => Proposal::Restore(endpoint),
            Changed::Document => {
                let held = world
                    .state()?
                    .documents
                    .get(&DocumentKind::Rules)
                    .map_or(0, |document| document.number);
                Proposal::Write(DocumentKind::Rules, held, document(DOCUMENT_BYTES, number))
            }
        })
    }
}

fn endpoint(number: u64) -> String {
    format!("instance-{number:06}")
}

impl Experiment for ByChanges {
    fn name(&self) -> &'static str {
        match self.0 {
            Changed::ListEntry => "changes-list",
            Changed::Document => "changes-document",
        }
    }

    fn description(&self) -> &'static str {
        match self.0 {
            Changed::ListEntry => {
                "Instances taken out or put back, 50 being out, with 30 followers: cost of a second"
            }
            Changed::Document => {
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
        for number in 0..OUT_BEFORE {
            world.ask(Proposal::Suspend(endpoint(1_000_000 + number)))?;
            world.run_until_in_force(IN_FORCE_MS)?;
        }
        world.take_delays();
        let before = Reading::take(&world);
        let began = world.now_ms();
        let changes = size * CHANGING_SECONDS;
        for number in 0..changes {
            let proposal = self.proposal(&world, number)?;
            world.ask(proposal)?;
            let due = began + 1_000.0 * (number + 1) as f64 / size as f64;
            world.run(due - world.now_ms())?;
        }
        let load_of = Reading::take(&world).since(&before);
        world.run_until_in_force(IN_FORCE_MS)?;
        let leader = world.leader()?;
        let made = world.take_delays();
        let mut results = vec![Measurement::counted(
            "changes_in_force",
            Unit::Count,
            made.len() as f64,
        )];
        results.extend(delays(&made));
        results.extend(load(
            "leader_second",
            load_of.members[leader],
            CHANGING_SECONDS,
        ));
        results.extend(load(
            "member_second",
            load_of.busiest_follower_of(leader),
            CHANGING_SECONDS,
        ));
        results.extend(loads(
            "follower_second",
            &load_of.followers,
            CHANGING_SECONDS,
        ));
        results.extend(heaps(world, leader));
        Ok(results)
    }
}

/// Changes of a document that were made before, and stay in the members' logs.
pub struct KeptByChanges;

impl Experiment for KeptByChanges {
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
            QUICK_MADE.to_vec()
        } else {
            MADE.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut world = start(1, seed)?;
        for number in 0..size {
            world.ask(Proposal::Write(
                DocumentKind::Rules,
                number,
                document(KEPT_DOCUMENT_BYTES, number),
            ))?;
            world.run(MADE_EACH_MS)?;
        }
        world.run_until_in_force(IN_FORCE_MS)?;
        let made = world.take_delays().len();
        let leader = world.leader()?;
        let mut results = vec![Measurement::counted(
            "changes_in_force",
            Unit::Count,
            made as f64,
        )];
        results.extend(heaps(world, leader));
        Ok(results)
    }
}
