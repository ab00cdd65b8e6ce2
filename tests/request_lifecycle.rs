//! The core alone, with a clock of the test's: no socket, no wire.

use driftgap::config::settings::Config;
use driftgap::decision::driver::{DecisionDriver, RequestId};
use driftgap::decision::{EndpointEntry, EndpointState, ListKind, Outcome};
use driftgap::request::{
    Action, AttemptResult, AttemptStart, ClientRequest, FinalAnswer, RequestTable, ResponseBody,
};
use std::rc::Rc;

const SETTINGS: &str = include_str!("stage/settings.json");
const NOW: f64 = 1.0e12;

/// The stage's settings with these texts replaced, each of which must be there.
fn platform(changes: &[(&str, &str)]) -> Rc<driftgap::config::settings::Platform> {
    let mut text = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    Rc::new(Config::parse(&text).unwrap().platform)
}

struct Bed {
    core: RequestTable,
    platform: Rc<driftgap::config::settings::Platform>,
}

impl Bed {
    fn new(max_bytes: usize) -> Bed {
        let platform = platform(&[(r#""counter": true"#, r#""counter": false"#)]);
        let driver = DecisionDriver::new(platform.decision.clone(), 7).unwrap();
        let mut core = RequestTable::new(platform.clone(), driver, max_bytes);
        core.update_endpoints(
            NOW,
            ListKind::Full,
            (0..3).map(|h| entry(h, EndpointState::Ready)).collect(),
        );
        Bed { core, platform }
    }

    fn ask(&mut self, class: &str, body: usize) -> RequestId {
        let terms = format!("c={class},t=national,d=1000,units=2,spread=1,first=0");
        let tenant = "0000000000000007";
        let request =
            ClientRequest::new(&self.platform, tenant, "k", terms, Some(vec![0; body])).unwrap();
        self.core.arrive(NOW, request)
    }

    fn effects(&mut self) -> Vec<Action> {
        std::iter::from_fn(|| self.core.next_action()).collect()
    }

    /// The one attempt that was started.
    fn started(&mut self) -> AttemptStart {
        let effects = self.effects();
        let starts: Vec<_> = effects
            .iter()
            .filter_map(|e| {
                if let Action::StartAttempt(start) = e {
                    Some(start.clone())
                } else {
                    None
                }
            })
            .collect();
        assert_eq!(starts.len(), 1, "{effects:?}");
        starts[0].clone()
    }

    fn end(&mut self, after: f64, start: &AttemptStart, outcome: Outcome) -> Vec<Action> {
        self.core.attempt_ended(
            NOW + after,
            start.id,
            start.attempt,
            AttemptResult::without(outcome),
        );
        self.effects()
    }
}

fn entry(endpoint: u32, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        id: endpoint,
        zone: 0,
        cell: 0,
        state,
        weight: 1.0,
        started: 0.0,
        pools: driftgap::decision::ALL_ENDPOINTS,
    }
}

#[test]
fn an_answer_comes_once_whatever_follows() {
    let mut bed = Bed::new(1 << 20);
    let id = bed.ask("fetch-episode", 0);
    let start = bed.started();
    let end = AttemptResult {
        value: Some(ResponseBody::Complete(b"news".to_vec())),
        ..AttemptResult::without(Outcome::Ok)
    };
    bed.core.attempt_ended(NOW + 5.0, id, 0, end.clone());
    assert_eq!(
        bed.effects(),
        vec![Action::Reply(
            id,
            FinalAnswer::Served(ResponseBody::Complete(b"news".to_vec()))
        )]
    );
    bed.core.attempt_ended(NOW + 6.0, id, 0, end);
    bed.core.client_gone(NOW + 7.0, id);
    bed.core.tick(NOW + 2000.0);
    assert_eq!(
        (bed.effects(), bed.core.unanswered(), start.attempt),
        (vec![], 0, 0)
    );
}

#[test]
fn work_with_an_effect_is_sent_again_only_if_it_never_ran() {
    use Outcome::*;
    for (outcome, again) in [
        (Rejected, true),
        (ConnectFailed, true),
        (Error, false),
        (Reset, false),
    ] {
        let mut bed = Bed::new(1 << 20);
        let id = bed.ask("book-rebroadcast", 0);
        let start = bed.started();
        let effects = bed.end(5.0, &start, outcome);
        let failed = effects.contains(&Action::Reply(id, FinalAnswer::Failed { late: false }));
        let sent = effects.iter().any(|e| matches!(e, Action::StartAttempt(_)));
        assert_eq!((sent, failed), (again, !again), "{outcome:?}: {effects:?}");
    }
}

#[test]
fn keyed_work_stays_in_its_zone_and_window_and_copies_go_out_where_they_may() {
    let platform = platform(&[
        (r#""counter": true"#, r#""counter": false"#),
        (
            "\"effect\": \"side_effect\",\n   \"group\": \"all\"",
            r#""effect": "token","group": "zone""#,
        ),
        (r#""parallel_tries": false"#, r#""parallel_tries": true"#),
    ]);
    let mut set = platform.decision.clone();
    // A module that would send it anywhere: the core must hold it by itself.
    set.classes[1].deduplication_scope = driftgap::decision::DeduplicationScope::All;
    for (zones, again) in [([0, 0], true), ([0, 1], false)] {
        let driver = DecisionDriver::new(set.clone(), 7).unwrap();
        let mut core = RequestTable::new(platform.clone(), driver, 1 << 20);
        let endpoints = (0..2).map(|h| EndpointEntry {
            zone: zones[h as usize],
            ..entry(h, EndpointState::Ready)
        });
        core.update_endpoints(NOW, ListKind::Full, endpoints.collect());
        let mut bed = Bed {
            core,
            platform: platform.clone(),
        };
        let terms =
            "c=book-rebroadcast,t=national,d=3000,units=2,spread=1,first=0,k=5c0f".to_string();
        let request =
            ClientRequest::new(&bed.platform, "0000000000000007", "k", terms, Some(vec![1]))
                .unwrap();
        let id = bed.core.arrive(NOW, request);
        let start = bed.started();
        // Late, but not over: a hedged request, or none.
        let mut starts = 0;
        for turn in 1..40 {
            bed.core.tick(NOW + 25.0 * f64::from(turn));
            starts += bed
                .effects()
                .iter()
                .filter(|e| matches!(e, Action::StartAttempt(_)))
                .count();
        }
        assert_eq!(starts, usize::from(again), "zones {zones:?}");
        let effects = bed.end(1000.0, &start, Outcome::Reset);
        assert!(
            !effects
                .iter()
                .any(|e| matches!(e, Action::Reply(_, FinalAnswer::Rejected { .. }))),
            "{effects:?}"
        );
        let ok = AttemptResult {
            value: Some(ResponseBody::Complete(vec![])),
            ..AttemptResult::without(Outcome::Ok)
        };
        bed.core.attempt_ended(NOW + 1001.0, id, 1, ok);
        let answers = bed
            .effects()
            .iter()
            .filter(|e| matches!(e, Action::Reply(..)))
            .count();
        assert_eq!((answers, bed.core.unanswered()), (usize::from(again), 0));
    }
}

#[test]
fn a_keyed_request_has_one_key() {
    let platform = platform(&[(r#""effect": "side_effect""#, r#""effect": "token""#)]);
    for (key, good) in [
        ("", false),
        (",k=", false),
        (",k=5c0f", true),
        (",k=1,k=1", false),
        (",k=1,k=2", false),
    ] {
        let terms = format!("c=book-rebroadcast,t=national,d=900,units=2,spread=1,first=0{key}");
        let request = ClientRequest::new(&platform, "0000000000000007", "k", terms, Some(vec![1]));
        assert_eq!(request.is_ok(), good, "{key}");
    }
}

#[test]
fn at_the_deadline_the_attempt_is_abandoned_and_the_client_notified_once() {
    let mut bed = Bed::new(1 << 20);
    let id = bed.ask("book-rebroadcast", 0);
    let start = bed.started();
    assert_eq!(start.until, NOW + 1000.0);
    let mut effects = Vec::new();
    while bed.core.unanswered() > 0 || effects.len() < 2 {
        let due = bed.core.next_due().expect("a timer");
        assert!(due <= NOW + 1001.0, "nothing by the deadline");
        bed.core.tick(due);
        effects.extend(bed.effects());
    }
    let want = [
        Action::Reply(id, FinalAnswer::Failed { late: true }),
        Action::AbandonAttempt(id, 0),
    ];
    assert_eq!(effects, want);
}

#[test]
fn a_served_request_leaves_no_timer_behind_but_the_modules_tick() {
    // Guards against wake-ups for nothing: one timer and one deadline a request would wait out its patience.
    let mut bed = Bed::new(1 << 20);
    bed.ask("fetch-episode", 0);
    let start = bed.started();
    let end = AttemptResult {
        value: Some(ResponseBody::Complete(vec![])),
        ..AttemptResult::without(Outcome::Ok)
    };
    bed.core.attempt_ended(NOW + 5.0, start.id, 0, end);
    let mut now = NOW + 5.0;
    let mut wakes = 0;
    while let Some(due) = bed.core.next_due().filter(|due| *due < NOW + 1100.0) {
        now = due.max(now);
        bed.core.tick(now);
        wakes += 1;
    }
    assert!(wakes <= 24, "{wakes} wake-ups in 1.1 s");
}

#[test]
fn no_client_names_a_wait_beyond_its_class() {
    // Guards memory: timers live until the deadline, which a client could put an hour away.
    let mut bed = Bed::new(1 << 20);
    let terms = "c=fetch-episode,t=national,d=3600000,units=2,spread=1,first=0".to_string();
    let request = ClientRequest::new(&bed.platform, "0000000000000007", "k", terms, None).unwrap();
    bed.core.arrive(NOW, request);
    assert_eq!(bed.started().until, NOW + 1200.0);
}

#[test]
fn a_client_that_goes_ends_its_attempt() {
    let mut bed = Bed::new(1 << 20);
    let id = bed.ask("fetch-episode", 0);
    bed.started();
    bed.core.client_gone(NOW + 5.0, id);
    assert_eq!(
        (bed.effects(), bed.core.unanswered()),
        (vec![Action::AbandonAttempt(id, 0)], 0)
    );
}

#[test]
fn nothing_is_sent_to_an_endpoint_that_the_table_has_as_leaving() {
    let mut bed = Bed::new(1 << 20);
    let left = [
        entry(0, EndpointState::Draining),
        entry(1, EndpointState::Gone),
    ];
    bed.core
        .update_endpoints(NOW, ListKind::Delta, left.to_vec());
    assert_eq!(
        bed.effects(),
        vec![Action::ReleaseEndpoint(0), Action::ReleaseEndpoint(1)]
    );
    for _ in 0..5 {
        bed.ask("fetch-episode", 0);
        assert_eq!(bed.started().endpoint, 2);
    }
    assert!(!bed.core.accepts_requests(0) && bed.core.accepts_requests(2));
}

#[test]
fn memory_for_held_requests_is_bounded() {
    let mut bed = Bed::new(100_000);
    bed.ask("book-rebroadcast", 60_000);
    bed.started();
    let id = bed.ask("book-rebroadcast", 60_000);
    assert!(
        matches!(bed.effects()[..], [Action::Reply(i, FinalAnswer::Rejected { .. })] if i == id)
    );
}

#[test]
fn what_no_endpoint_could_read_or_use_is_no_request() {
    // Guards quotas (a million units in a tenant's name), the counter, and the connections to endpoints,
    // which close on what they cannot read.
    let bed = Bed::new(1 << 20);
    let good = "c=fetch-episode,t=national,d=1000,units=2,spread=1,first=0";
    let (tenant, id) = ("0000000000000007", "k");
    let new = |tenant: &str, id: &str, terms: &str, body: Option<Vec<u8>>| {
        ClientRequest::new(&bed.platform, tenant, id, terms.into(), body).is_ok()
    };
    assert!(new(tenant, id, good, None) && new(tenant, id, &good.replace("d=1000", "d=0.5"), None));
    for (from, to) in [
        ("units=2", "units=4,units=2"),
        ("units=2", "units=-2"),
        ("units=2", "units=0"),
        ("units=2", "units=5"),
        ("units=2", "units=NaN"),
        ("units=2", "units=inf"),
        ("units=2", "units=1e0"),
        ("units=2", "units="),
        ("units=2", "units=2,r=2"),
        ("units=2", "units=2,,"),
        ("units=2", "units=2,x"),
        ("units=2", "units=2,x= "),
        ("units=2,", ""),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=1.5"),
        ("spread=1", "spread=70000"),
        ("first=0", "first=-1"),
        ("first=0", "first=70000"),
        ("d=1000", "d=soon"),
        ("d=1000", "d=-1"),
        ("d=1000", "d=99999999"),
        ("d=1000,", ""),
        ("fetch-episode", "fetch"),
        ("national", "galactic"),
        (good, ""),
    ] {
        assert!(
            !new(tenant, id, &good.replace(from, to), None),
            "{to} for {from}"
        );
    }
    for tenant in [
        "",
        "7",
        "00000000000000007",
        "000000000000000x",
        "0000000200000000",
        "+000000000000007",
    ] {
        assert!(!new(tenant, id, good, None), "{tenant}");
    }
    assert!(!new(tenant, "", good, None) && !new(tenant, "a b", good, None));
    assert!(!new(tenant, id, good, Some(vec![1])), "a query with a body");
}
