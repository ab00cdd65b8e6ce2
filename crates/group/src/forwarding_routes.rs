//! Ways between members where not every link carries: each tells all whom it hears, and a message goes round by one
//! other member where the direct way does not carry it. It owns what is known of links, and for how long. It must
//! never need a message to arrive: the library repeats what is lost, and a wrong way only costs time.

use std::collections::{BTreeMap, BTreeSet};

/// A member that was not heard for so long is not heard any more, ms: shorter than any election, so that a way round
/// is found before a vote is called.
const FRESH_MS: f64 = 400.0;

/// The way of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    Direct,
    By(String),
}

/// What is known of links.
#[derive(Debug, Default)]
pub(crate) struct ForwardingRoutes {
    name: String,
    heard: BTreeMap<String, f64>,
    notified: BTreeMap<String, (f64, BTreeSet<String>)>,
}

impl ForwardingRoutes {
    pub(crate) fn new(name: &str) -> ForwardingRoutes {
        ForwardingRoutes {
            name: name.into(),
            ..ForwardingRoutes::default()
        }
    }

    /// A frame came directly from this member.
    pub(crate) fn heard(&mut self, now: f64, from: &str) {
        match self.heard.get_mut(from) {
            Some(at) => *at = now,
            None => drop(self.heard.insert(from.into(), now)),
        }
    }

    /// A member says whom it hears.
    pub(crate) fn notified(&mut self, now: f64, of: &str, hears: Vec<String>) {
        self.notified
            .insert(of.into(), (now, hears.into_iter().collect()));
    }

    /// Whom this member hears.
    pub(crate) fn hears(&self, now: f64) -> Vec<String> {
        let fresh = self.heard.iter().filter(|(_, at)| now - **at < FRESH_MS);
        fresh.map(|(name, _)| name.clone()).collect()
    }

    /// Who says not to hear this member.
    pub(crate) fn unheard_by(&self, now: f64) -> Vec<String> {
        let fresh = self
            .notified
            .iter()
            .filter(|(_, (at, _))| now - at < FRESH_MS);
        fresh
            .filter(|(_, (_, list))| !list.contains(&self.name))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// How to reach a member.
    pub(crate) fn way(&self, now: f64, to: &str) -> Way {
        let fresh = |name: &str| {
            self.notified
                .get(name)
                .filter(|(at, _)| now - at < 2.0 * FRESH_MS)
        };
        let hears = |who: &str, whom: &str| fresh(who).is_some_and(|(_, list)| list.contains(whom));
        // Of whom nothing is known, the direct way is as good as any.
        let Some((_, list)) = fresh(to).filter(|(_, list)| !list.contains(&self.name)) else {
            return Way::Direct;
        };
        let by = list.iter().find(|by| *by != to && hears(by, &self.name));
        by.map_or(Way::Direct, |by| Way::By(by.clone()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_goes_round_where_the_direct_way_does_not_carry_it() {
        let mut routes = ForwardingRoutes::new("a");
        let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        assert_eq!(routes.way(0.0, "c"), Way::Direct, "nothing is known");
        routes.notified(0.0, "b", names(&["a", "c"]));
        routes.notified(0.0, "c", names(&["a", "b"]));
        assert_eq!(routes.way(10.0, "c"), Way::Direct);
        routes.notified(20.0, "c", names(&["b"]));
        assert_eq!(routes.way(30.0, "c"), Way::By("b".into()));
        routes.notified(40.0, "b", names(&["c"]));
        assert_eq!(
            routes.way(50.0, "c"),
            Way::Direct,
            "nobody hears this member: nothing is better"
        );
        routes.notified(60.0, "b", names(&["a", "c"]));
        assert_eq!(
            routes.way(2000.0, "c"),
            Way::Direct,
            "what was known is old"
        );
        routes.heard(0.0, "b");
        routes.heard(300.0, "c");
        assert_eq!(
            (routes.hears(350.0), routes.hears(500.0)),
            (names(&["b", "c"]), names(&["c"]))
        );
    }
}
