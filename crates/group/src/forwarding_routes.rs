//! Forwarding routes between members, for links that deliver nothing. Each member reports from
//! which members it receives frames, and a message goes through one other member where the direct
//! link fails. Without such routes the consensus library makes no progress if the only member that
//! reaches a majority lags behind; with routes of two hops every such topology is fully connected.
//! A wrong route costs time but never safety, because the library repeats lost messages.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

/// A member is directly reachable for this long after its last direct frame, ms. Shorter than any
/// election timeout, so that a route is found before an election starts.
const DIRECT_LINK_TIMEOUT_MS: f64 = 400.0;
/// A member's report is used for routes for this long, ms: one or two reports may be lost.
const REPORT_LIFETIME_MS: f64 = 2.0 * DIRECT_LINK_TIMEOUT_MS;

/// The route of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    Direct,
    /// Through this member, which forwards the message.
    Via(String),
}

/// The members from which one member receives frames.
#[derive(Debug)]
struct Report {
    at_ms: f64,
    receives_from: BTreeSet<String>,
}

/// Reachability between members, by name.
#[derive(Debug, Default)]
pub(crate) struct ForwardingRoutes {
    own_name: String,
    /// When the last direct frame of each member arrived.
    last_frame_ms: BTreeMap<String, f64>,
    reports: BTreeMap<String, Report>,
}

impl ForwardingRoutes {
    pub(crate) fn new(own_name: &str) -> ForwardingRoutes {
        ForwardingRoutes {
            own_name: own_name.into(),
            ..ForwardingRoutes::default()
        }
    }

    /// Records a frame that came directly from this member.
    pub(crate) fn note_direct_frame(&mut self, now_ms: f64, from: &str) {
        match self.last_frame_ms.get_mut(from) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.last_frame_ms.insert(from.into(), now_ms);
            }
        }
    }

    /// Records the members from which another member receives frames.
    pub(crate) fn note_report(&mut self, now_ms: f64, of: &str, receives_from: Vec<String>) {
        let report = Report {
            at_ms: now_ms,
            receives_from: receives_from.into_iter().collect(),
        };
        self.reports.insert(of.into(), report);
    }

    /// Returns the members from which this one receives frames.
    pub(crate) fn receives_from(&self, now_ms: f64) -> Vec<String> {
        let is_reachable = |at_ms: f64| now_ms - at_ms < DIRECT_LINK_TIMEOUT_MS;
        let reachable = self
            .last_frame_ms
            .iter()
            .filter(|(_, at)| is_reachable(**at));
        reachable.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the members whose reports do not include this one.
    pub(crate) fn unheard_by(&self, now_ms: f64) -> Vec<String> {
        let is_recent = |report: &Report| now_ms - report.at_ms < DIRECT_LINK_TIMEOUT_MS;
        let unheard = self.reports.iter().filter(|(_, report)| {
            is_recent(report) && !report.receives_from.contains(&self.own_name)
        });
        unheard.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the route to a member. The direct link is used if its state is unknown, or if no
    /// other member can forward.
    pub(crate) fn route_to(&self, now_ms: f64, to: &str) -> Route {
        let Some(report) = self.valid_report(now_ms, to) else {
            return Route::Direct;
        };
        if report.receives_from.contains(&self.own_name) {
            return Route::Direct;
        }
        let receives_from_this_one = |name: &str| {
            let report = self.valid_report(now_ms, name);
            report.is_some_and(|report| report.receives_from.contains(&self.own_name))
        };
        let mut sends_to_target = report.receives_from.iter();
        let via = sends_to_target.find(|name| *name != to && receives_from_this_one(name));
        via.map_or(Route::Direct, |name| Route::Via(name.clone()))
    }

    fn valid_report(&self, now_ms: f64, of: &str) -> Option<&Report> {
        let report = self.reports.get(of)?;
        (now_ms - report.at_ms < REPORT_LIFETIME_MS).then_some(report)
    }
}
