//! Routes requests by the rules in force, and replaces those rules.
//!
//! The router does no I/O and reads no clock. It chooses no endpoint: the decision module does,
//! among the endpoints of the pool that the route names.

use crate::evaluation::{Evaluation, EvaluationError, InvalidRequest};
use crate::pool_bits::{PoolBits, PoolBitsExhausted, RetiredPool};
use crate::request::{Endpoint, Request, View};
use crate::rule::SharedTables;
use crate::rules::Rules;
use crate::verdict::Verdict;
use driftgap_expr::{Chosen, Scratch};
use std::sync::{Arc, Mutex};

/// The replaced rules. Dropping them frees everything that the new rules do not share. The time for
/// that grows with the number of rules and would delay requests on the serving thread, so the value
/// must be dropped on another one.
#[must_use = "dropping old rules takes time: drop them on another thread"]
pub struct Replaced {
    rules: Option<Rules>,
    expired_pools: Vec<RetiredPool>,
    shared: Arc<Mutex<SharedTables>>,
    has_new_pools: bool,
}

impl Replaced {
    /// Returns whether the new rules have a pool that the old rules did not have. Only then must
    /// the pools of every endpoint be determined again, with [`Router::pools_of`] and
    /// [`Router::count_ready`].
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
        // If another thread holds the lock, it is reading a file and sweeps the tables itself.
        if let Ok(mut shared) = self.shared.try_lock() {
            shared.sweep();
        }
    }
}

/// The rules in force, with the state for routing requests.
pub struct Router {
    rules: Rules,
    pools: PoolBits,
    scratch: Scratch,
    chosen: Chosen,
    failed_evaluations: u64,
}

impl Router {
    /// Creates a router with these rules in force.
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

    /// Replaces the rules at `now`, in ms. The time for that depends only on the number of pools.
    ///
    /// Limits that both files have keep their state if the new rules were read with the current
    /// ones as [`ReadOptions::previous`]. Pools that both files have keep their bits. Removed pools
    /// keep theirs for `max_request_ms`, until the last request that was routed by the old rules
    /// has ended. If there are new pools ([`Replaced::has_new_pools`]), the caller must determine
    /// the pools of every endpoint again.
    ///
    /// [`ReadOptions::previous`]: crate::ReadOptions::previous
    ///
    /// # Errors
    /// The new pools and those that are still needed are too many. The old rules stay in force, and
    /// the new ones are dropped: a caller that must not drop them on its thread keeps a clone of
    /// them.
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

    /// Returns the rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the number of requests so far on which a rule could not be evaluated.
    pub fn failed_evaluations(&self) -> u64 {
        self.failed_evaluations
    }

    /// Estimates the memory of all limits with their tables allocated, in bytes.
    pub fn limit_bytes(&self) -> usize {
        let rules = self.rules.set.rules.iter();
        rules
            .filter_map(|rule| rule.limit.as_deref())
            .map(|limit| limit.limit.heap_bytes())
            .sum()
    }

    /// Returns the pools of an endpoint, one bit each.
    pub fn pools_of(&mut self, endpoint: &Endpoint<'_>) -> u64 {
        let pools = &self.rules.set.pools;
        self.pools.of_endpoint(pools, endpoint, &mut self.scratch)
    }

    /// Counts the ready endpoints of each pool. Each item holds the pools of one ready endpoint, as
    /// returned by [`Router::pools_of`].
    pub fn count_ready(&mut self, endpoints: impl Iterator<Item = u64>) {
        self.pools.count_ready(endpoints);
    }

    /// Returns the names of the pools, each with the number of its ready endpoints.
    pub fn ready_endpoints(&self) -> impl Iterator<Item = (&str, usize)> {
        let pools = self.rules.set.pools.iter();
        pools
            .map(|pool| pool.name.as_str())
            .zip(self.pools.ready().iter().copied())
    }

    /// Routes a request at `now`, in ms.
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

/// Returns the verdict for a request that the given rule or pool rejects.
fn rejected(by: &str, retry_after_ms: f64) -> Verdict {
    Verdict::Reject {
        retry_after_ms,
        by: by.to_string(),
    }
}

/// Returns the verdict for a request on which a rule cannot be evaluated.
fn invalid(rule: &str, error: &InvalidRequest) -> Verdict {
    Verdict::Invalid {
        rule: rule.to_string(),
        why: error.to_string(),
    }
}
