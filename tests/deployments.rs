//! Deployment settings that differ from the default: settled units, idempotency keys and long
//! deadlines. The scenarios run on the shared stage.

mod stage;

use stage::play_all;

/// Quotas must count the units that answers report, not the estimates of the requests: else a
/// tenant could use more than its quota with low estimates.
#[test]
fn quotas_count_the_units_that_answers_report() {
    // A token bucket of 14 that refills at 3.2 per second: six estimates of 1 fit, five settled
    // costs of 3 do not.
    play_all(
        r#"with family_info.cost_after=true
        always cost 3 news
        send c 1 fetch-episode district 7 units=1
        expect c 1 served news
        send c 2 fetch-episode district 7 units=1
        expect c 2 served news
        send c 3 fetch-episode district 7 units=1
        expect c 3 served news
        send c 4 fetch-episode district 7 units=1
        expect c 4 served news
        send c 5 fetch-episode district 7 units=1
        expect c 5 served news
        send c 6 fetch-episode district 7 units=1
        expect c 6 busy
        # Another partner's is not touched.
        send c 7 fetch-episode district 8 units=1
        expect c 7 served news"#,
    );
}

/// The settings do not settle units, or an answer reports an invalid number of units. The estimates
/// of the requests must count.
#[test]
fn estimates_count_if_units_are_not_settled_or_invalid() {
    for first in [
        "with family_info.cost_after=false",
        "with family_info.cost_after=true",
    ] {
        let cost = if first.ends_with("true") { "900" } else { "3" };
        let mut scenario = format!("{first}\nalways cost {cost} news\n");
        for i in 0..6 {
            scenario +=
                &format!("send c {i} fetch-episode district 7 units=1\nexpect c {i} served news\n");
        }
        play_all(&scenario);
    }
}

const KEYED: &str = r#"with request_classes.1.effect="token" request_classes.1.group="zone" request_classes.1.window=8.0"#;

/// A keyed request may have run when its attempt fails. It must be retried at an endpoint of the
/// same zone, where its key is known.
#[test]
fn keyed_request_that_may_have_run_is_retried_where_its_key_is_known() {
    play_all(&format!(
        "{KEYED}
        send c 1 book-rebroadcast national 7 k=5c0f6e1a
        answer * 1 error
        answer * 1 value booked
        expect c 1 served booked
        runs 1 2"
    ));
}

/// A keyed request without its key could run twice. It must not reach an endpoint.
#[test]
fn keyed_request_without_its_key_is_not_forwarded() {
    play_all(&format!(
        "{KEYED}
        send c 1 book-rebroadcast national 7 k=
        wait 100
        runs 1 0
        send d 2 book-rebroadcast national 7 k=1
        answer * 2 value booked
        expect d 2 served booked"
    ));
}

/// The program is stopped while clients would wait longer than the platform allows it to run. Each
/// must get its final answer before the platform kills the process.
#[test]
fn requests_with_long_deadlines_are_answered_before_a_stop_ends() {
    // The deadlines are 8 s; the platform kills the program 3.7 s after it asks it to stop.
    play_all(
        r#"with request_classes.0.deadline=8.0 request_classes.1.deadline=8.0
        send c 1 fetch-episode national 7 d=8000
        expect * 1
        send d 2 book-rebroadcast national 7 d=8000
        expect * 2
        stop
        wait 3300
        expect c 1 busy
        expect d 2 failed
        expect exit"#,
    );
}
