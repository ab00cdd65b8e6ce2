//! Forwarding routes between members where not every link carries. Each member reports whom it hears, and a message
//! goes by one other member where the direct link does not carry it. The consensus library is stuck where the only
//! member that reaches a majority lags behind; with routes of two steps every such topology is whole for it. A wrong
//! route costs time, never safety: the library repeats what is lost.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

/// A member that was not heard for so long is not heard any more, ms: shorter than any election timeout, so that a
/// route is found before a vote is called.
const HEARD_WITHIN_MS: f64 = 400.0;
/// What a member reported is used for routes for so long, ms: a report or two may be lost.
const REPORT_LIFETIME_MS: f64 = 2.0 * HEARD_WITHIN_MS;

/// The route of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    Direct,
    /// Forwarded by this member.
    Via(String),
}

/// Whom a member says it hears.
#[derive(Debug)]
struct Report {
    at_ms: f64,
    hears: BTreeSet<String>,
}

/// What is known of links, by name.
#[derive(Debug, Default)]
pub(crate) struct ForwardingRoutes {
    own_name: String,
    /// When a frame last came directly from each member.
    last_heard_ms: BTreeMap<String, f64>,
    reports: BTreeMap<String, Report>,
}

impl ForwardingRoutes {
    pub(crate) fn new(own_name: &str) -> ForwardingRoutes {
        ForwardingRoutes {
            own_name: own_name.into(),
            ..ForwardingRoutes::default()
        }
    }

    /// A frame came directly from this member.
    pub(crate) fn note_heard(&mut self, now_ms: f64, from: &str) {
        match self.last_heard_ms.get_mut(from) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.last_heard_ms.insert(from.into(), now_ms);
            }
        }
    }

    /// A member reports whom it hears.
    pub(crate) fn note_report(&mut self, now_ms: f64, of: &str, hears: Vec<String>) {
        let report = Report {
            at_ms: now_ms,
            hears: hears.into_iter().collect(),
        };
        self.reports.insert(of.into(), report);
    }

    /// Whom this member hears.
    pub(crate) fn hears(&self, now_ms: f64) -> Vec<String> {
        let is_heard = |at_ms: f64| now_ms - at_ms < HEARD_WITHIN_MS;
        let heard = self.last_heard_ms.iter().filter(|(_, at)| is_heard(**at));
        heard.map(|(name, _)| name.clone()).collect()
    }

    /// Members that report not to hear this one.
    pub(crate) fn unheard_by(&self, now_ms: f64) -> Vec<String> {
        let is_recent = |report: &Report| now_ms - report.at_ms < HEARD_WITHIN_MS;
        let unheard = self
            .reports
            .iter()
            .filter(|(_, report)| is_recent(report) && !report.hears.contains(&self.own_name));
        unheard.map(|(name, _)| name.clone()).collect()
    }

    /// How to reach a member. The direct link is as good as any where nothing is known of it, or nobody else carries.
    pub(crate) fn route_to(&self, now_ms: f64, to: &str) -> Route {
        let Some(report) = self.valid_report(now_ms, to) else {
            return Route::Direct;
        };
        if report.hears.contains(&self.own_name) {
            return Route::Direct;
        }
        let hears_this_one = |name: &str| {
            let report = self.valid_report(now_ms, name);
            report.is_some_and(|report| report.hears.contains(&self.own_name))
        };
        let mut heard_by_target = report.hears.iter();
        let via = heard_by_target.find(|name| *name != to && hears_this_one(name));
        via.map_or(Route::Direct, |name| Route::Via(name.clone()))
    }

    fn valid_report(&self, now_ms: f64, of: &str) -> Option<&Report> {
        let report = self.reports.get(of)?;
        (now_ms - report.at_ms < REPORT_LIFETIME_MS).then_some(report)
    }
}
