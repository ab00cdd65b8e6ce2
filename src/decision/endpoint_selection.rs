//! Endpoint selection: which endpoint an attempt is sent to.
//!
//! **Rule.** Among the endpoints that may serve the request, the one with the shortest expected
//! wait is selected. The wait is measured in latencies: attempts in flight plus the reported queue,
//! divided by the endpoint's slow-start weight and capacity, times its slowness. Endpoints that are
//! ejected, excluded for the class or plan, or on trial and busy are selected only if there is no
//! other. An endpoint that the request has already tried is never selected. Neither is an endpoint
//! that is warming up and has spent its budget, even if there is no other: the request is then
//! rejected.
//!
//! **Inputs.** Attempts in flight; a queue length with its age in seconds; weights and multiples
//! without a unit.
//!
//! **Guards.** All ingresses see the same state and make the same choice, so each attempt of this
//! ingress is counted once for every ingress. Otherwise small endpoints would stay idle until the
//! large ones have proportionally more attempts in flight. A small random factor keeps the
//! ingresses from selecting the same endpoint at the same moment. If most endpoints are excluded,
//! load is the cause and exclusions are ignored; if all are ejected, one of them is still tried.
//! Known harm: without load reports the attempts of other ingresses are only estimated.

use super::endpoint::{DeduplicationGroup, Endpoint, EndpointRequirement};
use super::outlier_ejection::MAX_EJECTED_SHARE;
use super::{DecisionEngine, EndpointId, Pools};

/// Largest random increase of an expected wait, as a share: smaller differences between endpoints
/// do not matter.
const MAX_RANDOM_INCREASE: f64 = 0.1;
/// Factor on the wait at an endpoint of another zone: small enough to act only as a tie-breaker, so
/// that it costs no latency where waits differ.
const OTHER_ZONE_FACTOR: f64 = 1.02;
/// Time over which the weight of a reported queue falls linearly to zero, s: queues change within
/// that time.
const LOAD_REPORT_MAX_AGE: f64 = 0.5;
/// Lower bound of slowness in the expected wait: keeps a single quick endpoint from receiving every
/// request.
const MIN_SLOWNESS: f64 = 0.3;

impl Endpoint {
    fn may_serve(&self, pools: Pools) -> bool {
        self.ready && self.pools & pools != 0
    }

    /// Returns the expected wait of one more attempt, in latencies, at this slow-start weight and
    /// with this number of ingresses.
    fn expected_wait(&self, now: f64, slow_start_weight: f64, ingresses: u32) -> f64 {
        let queue = self.reported_queue.as_ref().map_or(0.0, |report| {
            report.length * (1.0 - (now - report.at) / LOAD_REPORT_MAX_AGE).max(0.0)
        });
        let slowness = self.slowness.at(now);
        ((f64::from(self.in_flight * ingresses) + queue) / slow_start_weight + 1.0)
            * slowness.max(MIN_SLOWNESS)
            / self.capacity
    }
}

/// Constraints on the selection of an endpoint for an attempt.
#[derive(Clone, Copy)]
pub(super) struct Selection<'a> {
    pub(super) requirement: EndpointRequirement,
    /// Endpoints of earlier attempts, never selected again: a failed endpoint is likely to fail
    /// again.
    pub(super) tried: &'a [EndpointId],
    /// The deduplication group whose endpoints would discard a repeat; `None` allows any endpoint.
    pub(super) group: Option<DeduplicationGroup>,
}

/// Which endpoints a selection pass considers.
#[derive(Clone, Copy, PartialEq)]
enum Pass {
    HealthyOnly,
    LastResort,
}

/// Summary of the endpoints that may serve a request.
struct Candidates {
    all_ejected: bool,
    /// So many endpoints are excluded that load is the likely cause.
    most_excluded: bool,
}

impl DecisionEngine {
    /// Returns the endpoint for an attempt at `now` (s), or `None` if no attempt may be sent.
    pub(super) fn select_endpoint(
        &mut self,
        now: f64,
        selection: Selection<'_>,
    ) -> Option<EndpointId> {
        let candidates = self.survey_candidates(now, selection.requirement);
        self.select_in_pass(now, selection, &candidates, Pass::HealthyOnly)
            .or_else(|| self.select_in_pass(now, selection, &candidates, Pass::LastResort))
    }

    fn survey_candidates(&self, now: f64, requirement: EndpointRequirement) -> Candidates {
        let candidates = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.may_serve(requirement.pools));
        let count = candidates.clone().count();
        let ejected = candidates
            .clone()
            .filter(|endpoint| endpoint.health.is_ejected())
            .count();
        let excluded = candidates
            .filter(|endpoint| endpoint.exclusions.cover(now, requirement.class_and_plan))
            .count();
        Candidates {
            all_ejected: ejected >= count,
            most_excluded: excluded as f64 > MAX_EJECTED_SHARE * count as f64,
        }
    }

    fn select_in_pass(
        &mut self,
        now: f64,
        selection: Selection<'_>,
        candidates: &Candidates,
        pass: Pass,
    ) -> Option<EndpointId> {
        let mut best: Option<(f64, EndpointId)> = None;
        for (&id, endpoint) in &self.endpoints {
            if selection.tried.contains(&id) || !selection.admits(now, endpoint, candidates, pass) {
                continue;
            }
            let preference = self.slow_start.preference(now, id, endpoint);
            if preference <= 0.0 {
                continue;
            }
            let random_factor = 1.0 + MAX_RANDOM_INCREASE * f64::from(self.rng.rand_float());
            let other_zone = endpoint.zone != self.settings.zone;
            let zone_factor = if other_zone { OTHER_ZONE_FACTOR } else { 1.0 };
            let slow_start_weight = self.slow_start.weight(now, endpoint.started);
            let wait = endpoint.expected_wait(now, slow_start_weight, self.settings.ingresses);
            let score = wait * random_factor * zone_factor / preference;
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }
}

impl Selection<'_> {
    fn admits(&self, now: f64, endpoint: &Endpoint, candidates: &Candidates, pass: Pass) -> bool {
        if !endpoint.may_serve(self.requirement.pools) {
            return false;
        }
        if self.group.is_some_and(|group| !group.contains(endpoint)) {
            return false;
        }
        match pass {
            Pass::HealthyOnly => {
                let excluded = endpoint
                    .exclusions
                    .cover(now, self.requirement.class_and_plan);
                let busy_on_trial = endpoint.health.on_trial && endpoint.in_flight > 0;
                let avoided = excluded && !candidates.most_excluded || busy_on_trial;
                !avoided && !endpoint.health.is_ejected()
            }
            Pass::LastResort => !endpoint.health.is_ejected() || candidates.all_ejected,
        }
    }
}
