//! The operator's rules over sockets, on every pair of wires: pools, limits and their Retry-After,
//! mapped requests, reloads under load, and hostile files and keys.

mod stage;

use stage::{play, play_all, Wire};

/// Two pools by label. Tenant 7 is routed to `x`; tenant 8 to `y`, which falls back to `x`.
const POOLS: &str = "[[pool]]\\nname = 'x'\\nwhen = 'instance.labels[\"pool\"].orValue(\"\") == \"x\"'\\nafter = '300ms'\\n\
    [[pool]]\\nname = 'y'\\nwhen = 'instance.labels[\"pool\"].orValue(\"\") == \"y\"'\\nfallback = 'x'\\n\
    [[rule]]\\nname = 'to-x'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000007\"'\\npool = '\"x\"'\\n\
    [[rule]]\\nname = 'to-y'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000008\"'\\npool = '\"y\"'\\n";

/// Rules select a pool of endpoints. A request outside of its pool could reach data that it must
/// not see.
#[test]
fn requests_of_a_pool_reach_only_its_endpoints() {
    play_all(&format!(
        "rules {POOLS}
         pool a x
         pool b y
         send c k1 fetch-episode city 7
         answer a k1 value one
         expect c k1 served one
         send c k2 fetch-episode city 8
         answer b k2 value two
         expect c k2 served two
         send c k3 fetch-episode city 7
         answer a k3 value three
         expect c k3 served three
         send c k4 fetch-episode city 8
         answer b k4 value four
         expect c k4 served four"
    ));
}

/// No endpoint of a pool is ready. The request must fall back or be rejected as the rules say, and
/// reach no other endpoint.
#[test]
fn pool_without_ready_endpoint_falls_back_or_rejects() {
    play_all(&format!(
        "rules {POOLS}
         pool a x
         pool b y
         state b leaving
         wait 60
         send c k1 fetch-episode city 8
         answer a k1 value one
         expect c k1 served one
         state a left
         pool b y
         send c k2 fetch-episode city 7
         expect c k2 busy
         runs k2 0
         send c k3 fetch-episode city 8
         answer b k3 value three
         expect c k3 served three"
    ));
}

/// An attempt in a pool fails. The retry must stay in the pool.
#[test]
fn retry_stays_within_the_pool() {
    // With both endpoints in the pool, the retry goes to the other one. With one in the pool, there
    // is no retry.
    play_all(&format!(
        "rules {POOLS}
         pool a x
         pool b x
         send c k1 fetch-episode city 7
         answer * k1 reset
         answer * k1 value one
         expect c k1 served one
         runs k1 2
         pool b y
         send c k2 fetch-episode city 7 d=600
         answer a k2 reset
         wait 700
         runs k2 1"
    ));
}

/// Rules are replaced while a request is in flight. Its retry and its limits must follow the rules
/// with which it was admitted.
#[test]
fn request_in_flight_keeps_the_rules_it_was_admitted_with() {
    // The pools change names and order while the request is in flight; a retry would use its old
    // pool.
    play_all(&format!(
        "rules {POOLS}
         pool a x
         pool b y
         send c k1 fetch-episode city 8
         expect b k1
         rules [[pool]]\\nname = 'z'\\nwhen = 'true'\\n{POOLS}
         answer b k1 value one
         expect c k1 served one
         send c k2 fetch-episode city 7
         answer a k2 value two
         expect c k2 served two
         runs k1 1"
    ));
}

/// One key exceeds its limit. Its requests must be rejected at once, and other keys must not be
/// affected.
#[test]
fn limit_rejects_at_once_and_other_keys_pass() {
    let limit =
        "[[rule]]\\nname = 'l'\\nlimit = { key = 'request.partner.orValue(\"\")', rate = 0.5, burst = 2 }\\n";
    play_all(&format!(
        "rules {limit}
         always value ok
         send c k1 fetch-episode city 7
         expect c k1 served ok
         send c k2 fetch-episode city 7
         expect c k2 served ok
         send c k3 fetch-episode city 7
         retry_after c k3 1000 2000
         send c k4 fetch-episode city 8
         expect c k4 served ok
         rules {limit}[[rule]]\\nname = 'n'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000009\"'\\nnack = 'duration(\"100ms\")'\\n
         send c k5 fetch-episode city 7
         expect c k5 busy
         runs k3 0
         runs k5 0"
    ));
}

/// A limit of requests in flight. However a request ends (answer, failure, reset), it must release
/// its slot; otherwise the limit would block requests permanently.
#[test]
fn in_flight_limit_is_released_however_a_request_ends() {
    let limit = "[[rule]]\\nname = 'l'\\nlimit = { key = '\"all\"', at_once = 1 }\\n";
    play_all(&format!(
        "rules {limit}
         send c k1 fetch-episode city 7
         expect * k1
         send d k2 fetch-episode city 8
         expect d k2 busy
         answer * k1 value one
         expect c k1 served one
         send d k3 book-rebroadcast city 8
         answer * k3 reset
         expect d k3 failed
         send d k4 fetch-episode city 8
         expect * k4
         reset d k4
         wait 50
         send e k5 fetch-episode city 8
         answer * k5 value five
         expect e k5 served five"
    ));
}

/// A limit rejects with the time until the next request fits. If Retry-After were too short, the
/// client would be rejected again.
#[test]
fn retry_after_of_a_rule_is_sent_exactly() {
    let rules = "[[rule]]\\nname = 'n'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000009\"'\\nnack = 'duration(\"1234ms\")'\\n";
    play_all(&format!(
        "rules {rules}
         send c k1 fetch-episode city 9
         retry_after c k1 1234 1234
         send c k2 book-rebroadcast city 9
         retry_after c k2 1234 1234
         runs k1 0"
    ));
}

const AUDIO: &str = "[effects.paths]\\n'/bookings/' = 'side_effect'\\n[[rule]]\\nname = 'audio'\\n\
    when = 'request.method == \"GET\" && request.path.startsWith(\"/episodes/\") && request.path.endsWith(\"/audio\")'\\n\
    class = '\"fetch-episode\"'\\nplan = '\"city\"'\\npartner = '\"0000000000000007\"'\\nunits = 'request.units.orValue(1.5)'\\n\
    terms = { episode = 'request.path.split(\"/\")[2].orValue(\"0\")' }\\ndeadline = 'duration(\"900ms\")'\\n\
    [[rule]]\\nname = 'booking'\\nwhen = 'request.method == \"POST\" && request.path.startsWith(\"/bookings/\")'\\n\
    class = '\"book-rebroadcast\"'\\nplan = '\"city\"'\\npartner = '\"0000000000000007\"'\\nunits = 'request.units.orValue(1.0)'\\n\
    id = '\"b\" + request.path.split(\"/\")[2].orValue(\"\")'\\n";

/// A rule maps a plain GET to a request of a class. Its units must count in the quota like those of
/// any other request.
#[test]
fn plain_get_is_mapped_and_counts_its_units() {
    for endpoint_wire in [Wire::Resp, Wire::Http2] {
        play(
            Wire::Http2,
            endpoint_wire,
            &format!(
                "get c k0 /episodes/123/audio
                 expect c k0 404
                 rules {AUDIO}
                 always value sound
                 get c k1 /episodes/123/audio
                 expect c k1 served sound
                 get c k2 /episodes/123/video
                 expect c k2 404
                 get c k3 /episodes/1,c=book-rebroadcast/audio
                 expect c k3 400
                 get c k5 /-/ready
                 expect c k5 served ready
                 counted 3"
            ),
        );
    }
}

/// A rule maps a plain POST to a request with an effect, and its attempt breaks off. No rule may
/// make it safe to retry.
#[test]
fn mapped_request_with_effect_is_not_retried_if_it_may_have_run() {
    for endpoint_wire in [Wire::Resp, Wire::Http2] {
        for fault in ["half", "reset", "error", "hang"] {
            play(
                Wire::Http2,
                endpoint_wire,
                &format!(
                    "rules {AUDIO}
                     post c b7 /bookings/7
                     answer * b7 {fault}
                     expect c b7 failed
                     wait 50
                     runs b7 1"
                ),
            );
        }
    }
}

/// A reload reads a file of rules that would take too much memory or time. The old rules must stay
/// in force, and requests must be served meanwhile.
#[test]
fn hostile_file_keeps_the_old_rules() {
    let reject_rule = "[[rule]]\\nname = 'deny'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000007\"'\\nnack = 'duration(\"1s\")'\\n";
    let deep = "(".repeat(5000);
    for invalid_rules in [
        "[[rule".to_string(),
        "[[rule]]\\nname = 'a'\\nwhen = 'request.nothing'\\n".into(),
        format!("[[rule]]\\nname = 'a'\\nwhen = '{deep}'\\n"),
        "[[rule]]\\nname = 'a'\\nwhen = 'request.path.startsWith(\"/b/\")'\\nclass = '\"fetch-episode\"'\\nplan='\"city\"'\\npartner='\"0000000000000007\"'\\nunits='1.0'\\n".into(),
    ] {
        play_all(&format!(
            "rules {reject_rule}
             rules {invalid_rules}
             send c k1 fetch-episode city 7
             expect c k1 busy
             send c k2 fetch-episode city 8
             answer * k2 value two
             expect c k2 served two"
        ));
    }
}

/// Rules are replaced repeatedly under load. Each request must get exactly one answer.
#[test]
fn every_request_is_answered_once_while_rules_are_replaced() {
    let file = |i: usize| {
        format!("{POOLS}[[rule]]\\nname = 'r{i}'\\ngo_on = true\\nnotes = {{ n = '\"{i}\"' }}\\n")
    };
    // Only a few requests at a time: the decision module sheds load when an endpoint has more
    // attempts than a few.
    let mut lines = vec![
        format!("rules {}", file(0)),
        "pool a x".into(),
        "pool b y".into(),
        "always value ok".into(),
    ];
    for round in 1..16 {
        for i in 0..4 {
            lines.push(format!(
                "send c k{round}x{i} fetch-episode city {} units=0.01",
                7 + i % 2
            ));
        }
        lines.push(format!("rules {}", file(round)));
        for i in 0..4 {
            lines.push(format!("expect c k{round}x{i} served ok"));
        }
        for i in 0..4 {
            lines.push(format!("runs k{round}x{i} 1"));
        }
    }
    play_all(&lines.join("\n"));
}

/// Requests come with ever new keys of a limit. The memory for keys must be bounded.
#[test]
fn memory_is_flat_with_a_hundred_thousand_keys() {
    // All requests have one tenant, so that only the keys differ. Its quota rejects most of them,
    // which does not matter here.
    let limit =
        "[[rule]]\\nname = 'l'\\nlimit = { key = 'request.id.orValue(\"\")', rate = 1, burst = 1 }\\n";
    for (client_wire, key_count) in [(Wire::Resp, 100_000), (Wire::Http2, 100_000)] {
        play(
            client_wire,
            Wire::Resp,
            &format!(
                "rules {limit}
                 always value ok
                 flood c 5000
                 memory
                 flood c {key_count}
                 memory 1"
            ),
        );
    }
}
