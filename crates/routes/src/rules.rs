//! The rules of a file without faults: those in force, or those that will replace them.
//!
//! This module does not depend on the modules that read a file, because reading depends on the
//! rules in force.

use crate::cost::highest_request_cost;
use crate::environment::Environment;
use crate::pool::Pool;
use crate::rule::{Rule, SharedTables};
use driftgap_expr::Selector;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How many rules were reused and compiled when a file was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadReport {
    /// Rules that were unchanged and reused from the rules in force.
    pub taken_over: usize,
    /// Rules that were parsed, checked and compiled.
    pub compiled: usize,
}

/// The rules of a file without faults. Clones share them.
#[derive(Clone)]
pub struct Rules {
    pub(crate) set: Arc<RuleSet>,
}

/// The data that clones of [`Rules`] share.
pub(crate) struct RuleSet {
    pub(crate) rules: Vec<Arc<Rule>>,
    pub(crate) pools: Arc<[Pool]>,
    pub(crate) environment: Arc<Environment>,
    pub(crate) selector: Selector,
    /// The tables that these rules share with those of other files.
    pub(crate) shared: Arc<Mutex<SharedTables>>,
    cost: u64,
    heap_bytes: usize,
    report: ReadReport,
}

/// Locks the tables that rules share. A panic while the lock was held poisons it, and without this
/// every later reload would fail. Ignoring the poison is safe: the tables only save memory, and an
/// entry is either complete or absent.
pub(crate) fn lock(shared: &Mutex<SharedTables>) -> MutexGuard<'_, SharedTables> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RuleSet {
    pub(crate) fn new(
        rules: Vec<Arc<Rule>>,
        pools: Arc<[Pool]>,
        environment: Arc<Environment>,
        selector: Selector,
        cost: u64,
        report: ReadReport,
        shared: Arc<Mutex<SharedTables>>,
    ) -> RuleSet {
        let rule_bytes: usize = rules
            .iter()
            .map(|rule| size_of::<Arc<Rule>>() + rule.heap_bytes())
            .sum();
        let heap_bytes = rule_bytes + selector.heap_bytes();
        RuleSet {
            rules,
            pools,
            environment,
            selector,
            shared,
            cost,
            heap_bytes,
            report,
        }
    }
}

impl std::fmt::Debug for Rules {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let pools = self.set.pools.len();
        f.debug_struct("Rules")
            .field("rules", &self.len())
            .field("pools", &pools)
            .finish_non_exhaustive()
    }
}

impl Rules {
    /// Wraps a complete set of rules.
    pub(crate) fn new(set: RuleSet) -> Rules {
        Rules { set: Arc::new(set) }
    }

    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.set.rules.len()
    }

    /// Returns whether the file has no rules.
    pub fn is_empty(&self) -> bool {
        self.set.rules.is_empty()
    }

    /// Returns the highest cost of one request, in units, over all texts that a request can have.
    pub fn cost(&self) -> u64 {
        self.set.cost
    }

    /// Returns the number of rules whose tests are evaluated for every request, because no text of
    /// the request selects them.
    pub fn unindexed(&self) -> usize {
        self.set.selector.unindexed()
    }

    /// Estimates the memory of the rules, in bytes. The tables of limits count in full, although
    /// they are allocated with the limit's first request.
    pub fn heap_bytes(&self) -> usize {
        self.set.heap_bytes
    }

    /// Returns how many rules were reused and compiled when the file was read.
    pub fn report(&self) -> ReadReport {
        self.set.report
    }

    /// Returns only the first `count` rules, for measurements.
    #[must_use]
    pub fn first(&self, count: usize) -> Rules {
        let RuleSet {
            rules,
            pools,
            environment,
            shared,
            report,
            ..
        } = &*self.set;
        let rules: Vec<Arc<Rule>> = rules.iter().take(count).cloned().collect();
        let selector = Selector::new(rules.iter().map(|rule| &rule.key));
        let cost = highest_request_cost(&rules);
        let (pools, environment, shared) = (pools.clone(), environment.clone(), shared.clone());
        Rules::new(RuleSet::new(
            rules,
            pools,
            environment,
            selector,
            cost,
            *report,
            shared,
        ))
    }
}
