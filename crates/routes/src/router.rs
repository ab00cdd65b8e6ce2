//! The rules in force: the routing of requests, and the replacement of the rules by others.
//!
//! The router does no I/O and reads no clock. It must not choose an endpoint: that is the decision module's, among
//! the endpoints of the pool that the route names.

use crate::evaluation::{Evaluation, EvaluationError, InvalidRequest};
use crate::pool_bits::{PoolBits, PoolBitsExhausted, RetiredPool};
use crate::request::{Endpoint, Request, View};
use crate::rule::SharedTables;
use crate::rules::Rules;
use crate::verdict::Verdict;
use driftgap_expr::{Chosen, Scratch};
use std::sync::{Arc, Mutex};

/// What rules leave behind that are in force no more. Dropping it frees whatever the new rules do not share. That
/// takes as long as there is much of it, and would hold requests up on the serving thread: drop it on another one.
#[must_use = "dropping old rules takes time: hand them to another thread"]
pub struct Replaced {
    rules: Option<Rules>,
    expired_pools: Vec<RetiredPool>,
    shared: Arc<Mutex<SharedTables>>,
    has_new_pools: bool,
}

impl Replaced {
    /// Whether the new rules have a pool that the old ones had not. Only then must the pools of every endpoint be
    /// determined anew, with [`Router::pools_of`] and [`Router::count_ready`].
    pub fn has_new_pools(&self) -> bool {
        self.has_new_pools
    }
}

impl std::fmt::Debug for Replaced {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Replaced")
            .field("rules", &self.rules)
            .finish_non_exhaustive()
    }
}

impl Drop for Replaced {
    fn drop(&mut self) {
        self.rules = None;
        self.expired_pools.clear();
        // If the lock is taken, a file is being read, and that reading sweeps.
        if let Ok(mut shared) = self.shared.try_lock() {
            shared.sweep();
        }
    }
}

/// Rules in force.
pub struct Router {
    rules: Rules,
    pools: PoolBits,
    scratch: Scratch,
    chosen: Chosen,
    failed_evaluations: u64,
}

impl Router {
    /// Puts rules in force.
    pub fn new(rules: Rules) -> Router {
        let pools = PoolBits::new(&rules.set.pools);
        Router {
            rules,
            pools,
            scratch: Scratch::default(),
            chosen: Chosen::default(),
            failed_evaluations: 0,
        }
    }

    /// Puts other rules in force at `now`, ms, in a time that depends on the number of pools alone.
    ///
    /// Limits that both have keep their state where the new rules were read with these as
    /// [`ReadOptions::previous`]. Pools that both have keep their bits, and those that are gone keep them for
    /// `max_request_ms`, until the last request that was routed under the old rules has ended. If there are new pools
    /// ([`Replaced::has_new_pools`]) the caller determines the pools of every endpoint anew.
    ///
    /// [`ReadOptions::previous`]: crate::ReadOptions::previous
    ///
    /// # Errors
    /// There are too many pools together with those that are still needed. The old rules stay, and the new ones are
    /// dropped: a caller that must not do that on its thread holds a clone of them.
    pub fn replace(
        &mut self,
        rules: Rules,
        now: f64,
        max_request_ms: f64,
    ) -> Result<Replaced, PoolBitsExhausted> {
        let (old, new) = (&self.rules.set.pools, &rules.set.pools);
        let replaced = self.pools.replace(old, new, now, max_request_ms)?;
        let old = std::mem::replace(&mut self.rules, rules);
        let shared = old.set.shared.clone();
        Ok(Replaced {
            rules: Some(old),
            expired_pools: replaced.expired,
            shared,
            has_new_pools: replaced.has_new_pools,
        })
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The number of requests so far on which a rule could not be evaluated.
    pub fn failed_evaluations(&self) -> u64 {
        self.failed_evaluations
    }

    /// Bytes that all limits take once requests have met them, estimated.
    pub fn limit_bytes(&self) -> usize {
        let rules = self.rules.set.rules.iter();
        rules
            .filter_map(|rule| rule.limit.as_deref())
            .map(|limit| limit.limit.heap_bytes())
            .sum()
    }

    /// The pools of an endpoint, one bit each.
    pub fn pools_of(&mut self, endpoint: &Endpoint<'_>) -> u64 {
        let pools = &self.rules.set.pools;
        self.pools.of_endpoint(pools, endpoint, &mut self.scratch)
    }

    /// Counts the ready endpoints of each pool; an item holds the pools of one ready endpoint, as
    /// [`Router::pools_of`] gives them.
    pub fn count_ready(&mut self, endpoints: impl Iterator<Item = u64>) {
        self.pools.count_ready(endpoints);
    }

    /// The pools by name with the number of their ready endpoints.
    pub fn ready_endpoints(&self) -> impl Iterator<Item = (&str, usize)> {
        let pools = self.rules.set.pools.iter();
        pools
            .map(|pool| pool.name.as_str())
            .zip(self.pools.ready().iter().copied())
    }

    /// Routes a request at `now`, ms.
    pub fn route(&mut self, request: &Request<'_>, now: f64) -> Verdict {
        if let Some(too_long) = request.too_long() {
            return invalid("", &InvalidRequest::TooLong(too_long));
        }
        let set = &*self.rules.set;
        let view = View::new(request);
        set.selector.choose(&view, &mut self.chosen);
        let mut evaluation = Evaluation::new(set, &view, &mut self.scratch, now);
        for index in self.chosen.iter() {
            let Some(rule) = set.rules.get(index) else {
                break;
            };
            match evaluation.rule(rule) {
                Ok(next) if next.is_break() => break,
                Ok(_) => {}
                Err(EvaluationError::Reject { retry_after_ms }) => {
                    return rejected(&rule.name, retry_after_ms)
                }
                Err(EvaluationError::Invalid(error)) => {
                    self.failed_evaluations += 1;
                    return invalid(&rule.name, &error);
                }
            }
        }
        match evaluation.finish(&self.pools) {
            Ok(route) => Verdict::Forward(route),
            Err(pool) => rejected(&pool.name, pool.retry_after_ms),
        }
    }
}

/// The rejection by a rule or a pool of this name.
fn rejected(by: &str, retry_after_ms: f64) -> Verdict {
    Verdict::Reject {
        retry_after_ms,
        by: by.to_string(),
    }
}

/// The verdict on a request that is invalid to a rule.
fn invalid(rule: &str, error: &InvalidRequest) -> Verdict {
    Verdict::Invalid {
        rule: rule.to_string(),
        why: error.to_string(),
    }
}
