//! The operator's rules over sockets, on every pair of wires: pools, limits and their times, what becomes a
//! request, replacement under load, hostile files and keys.

mod stage;

use stage::{play, play_all, Wire};

/// Two pools by label; tenant 7 goes to the first, 8 to the second, which falls back on the first.
const POOLS: &str = "[[pool]]\\nname = 'x'\\nwhen = 'instance.labels[\"pool\"].orValue(\"\") == \"x\"'\\nafter = '300ms'\\n\
    [[pool]]\\nname = 'y'\\nwhen = 'instance.labels[\"pool\"].orValue(\"\") == \"y\"'\\nfallback = 'x'\\n\
    [[rule]]\\nname = 'to-x'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000007\"'\\npool = '\"x\"'\\n\
    [[rule]]\\nname = 'to-y'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000008\"'\\npool = '\"y\"'\\n";

/// Rules choose a pool of endpoints. A request that left its pool could reach data that it must not see.
#[test]
fn a_pools_requests_go_to_its_endpoints_alone() {
    play_all(&format!(
        "rules {POOLS}
         pooled a x
         pooled b y
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

/// No endpoint of a pool is ready. The request falls back or is rejected as the file says, and goes nowhere
/// else.
#[test]
fn a_pool_without_a_ready_endpoint_falls_back_or_refuses_and_never_spills() {
    play_all(&format!(
        "rules {POOLS}
         pooled a x
         pooled b y
         state b leaving
         wait 60
         send c k1 fetch-episode city 8
         answer a k1 value one
         expect c k1 served one
         state a left
         pooled b y
         send c k2 fetch-episode city 7
         expect c k2 busy
         runs k2 0
         send c k3 fetch-episode city 8
         answer b k3 value three
         expect c k3 served three"
    ));
}

/// An attempt in a pool fails. The retry must stay within the pool.
#[test]
fn a_further_attempt_stays_within_the_pool() {
    // Both endpoints are in: the second attempt goes to the other. One is in: nothing else is tried.
    play_all(&format!(
        "rules {POOLS}
         pooled a x
         pooled b x
         send c k1 fetch-episode city 7
         answer * k1 reset
         answer * k1 value one
         expect c k1 served one
         runs k1 2
         pooled b y
         send c k2 fetch-episode city 7 d=600
         answer a k2 reset
         wait 700
         runs k2 1"
    ));
}

/// Rules are replaced while a request is in flight. Its retry and its limits follow the rules that it began
/// with.
#[test]
fn a_request_ends_under_the_rules_that_it_began_with() {
    // While a booking is out the pools change names and order; its retry, were there one, would have its old pool.
    play_all(&format!(
        "rules {POOLS}
         pooled a x
         pooled b y
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

/// One key is over its limit. Its requests are rejected at once, and other keys do not notice.
#[test]
fn a_limit_refuses_at_once_and_another_key_passes() {
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
         advice c k3 1000 2000
         send c k4 fetch-episode city 8
         expect c k4 served ok
         rules {limit}[[rule]]\\nname = 'n'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000009\"'\\nnack = 'duration(\"100ms\")'\\n
         send c k5 fetch-episode city 7
         expect c k5 busy
         runs k3 0
         runs k5 0"
    ));
}

/// A limit on requests in flight. Whatever ends a request (an answer, a failure, a reset) must give its place
/// back, or the limit leaks away.
#[test]
fn at_once_counts_to_the_final_answer_however_it_comes() {
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

/// A limit rejects with the time at which there is room again. A time too early would bring the client back
/// for another rejection.
#[test]
fn the_time_to_come_back_is_notified_exactly() {
    let rules = "[[rule]]\\nname = 'n'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000009\"'\\nnack = 'duration(\"1234ms\")'\\n";
    play_all(&format!(
        "rules {rules}
         send c k1 fetch-episode city 9
         advice c k1 1234 1234
         send c k2 book-rebroadcast city 9
         advice c k2 1234 1234
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

/// A rule makes a request of a plain GET. Its units count in the quota like those of any other.
#[test]
fn a_plain_get_becomes_a_request_and_counts_its_units() {
    for behind in [Wire::Resp, Wire::Http2] {
        play(
            Wire::Http2,
            behind,
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

/// A rule makes a request with an effect of a plain one, and its attempt breaks halfway. No rule may make it
/// safe to repeat.
#[test]
fn a_mapped_booking_that_may_have_run_is_not_made_again() {
    for behind in [Wire::Resp, Wire::Http2] {
        for fault in ["half", "reset", "error", "hang"] {
            play(
                Wire::Http2,
                behind,
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

/// A file of rules that would take too much memory or time is read again. The old rules stay, and requests
/// are served meanwhile.
#[test]
fn a_hostile_file_keeps_the_old_rules() {
    let deny = "[[rule]]\\nname = 'deny'\\nwhen = 'request.partner.orValue(\"\") == \"0000000000000007\"'\\nnack = 'duration(\"1s\")'\\n";
    let deep = "(".repeat(5000);
    for bad in [
        "[[rule".to_string(),
        "[[rule]]\\nname = 'a'\\nwhen = 'request.nothing'\\n".into(),
        format!("[[rule]]\\nname = 'a'\\nwhen = '{deep}'\\n"),
        "[[rule]]\\nname = 'a'\\nwhen = 'request.path.startsWith(\"/b/\")'\\nclass = '\"fetch-episode\"'\\nplan='\"city\"'\\npartner='\"0000000000000007\"'\\nunits='1.0'\\n".into(),
    ] {
        play_all(&format!(
            "rules {deny}
             rules {bad}
             send c k1 fetch-episode city 7
             expect c k1 busy
             send c k2 fetch-episode city 8
             answer * k2 value two
             expect c k2 served two"
        ));
    }
}

/// Rules are replaced again and again while requests come. Each request gets exactly one answer.
#[test]
fn rules_are_replaced_under_load_with_every_request_answered_once() {
    let file = |i: usize| {
        format!("{POOLS}[[rule]]\\nname = 'r{i}'\\ngo_on = true\\nnotes = {{ n = '\"{i}\"' }}\\n")
    };
    // Few together: more than a few attempts an endpoint are load to the module, which refuses some then.
    let mut lines = vec![
        format!("rules {}", file(0)),
        "pooled a x".into(),
        "pooled b y".into(),
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

/// A limit by key meets keys without end. What is remembered of them is bounded.
#[test]
fn a_hundred_thousand_keys_leave_memory_flat() {
    // The tenant is one, so that the keys alone differ; most are refused by its quota, which is as well.
    let limit =
        "[[rule]]\\nname = 'l'\\nlimit = { key = 'request.id.orValue(\"\")', rate = 1, burst = 1 }\\n";
    for (front, n) in [(Wire::Resp, 100_000), (Wire::Http2, 100_000)] {
        play(
            front,
            Wire::Resp,
            &format!(
                "rules {limit}
                 always value ok
                 flood c 5000
                 memory
                 flood c {n}
                 memory 1"
            ),
        );
    }
}
