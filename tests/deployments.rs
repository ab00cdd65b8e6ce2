//! What one deployment has and another has not, on the shared stage: true units, keys, long deadlines.

mod stage;

use stage::play_all;

#[test]
fn quotas_count_the_units_that_answers_name() {
    // A store of 14 at 3.2 a second: six guesses of one fit, five true threes do not.
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

#[test]
fn where_units_are_not_settled_and_where_they_make_no_sense_guesses_count() {
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

#[test]
fn keyed_work_that_may_have_run_is_repeated_where_its_key_is_known() {
    play_all(&format!(
        "{KEYED}
        send c 1 book-rebroadcast national 7 k=5c0f6e1a
        answer * 1 error
        answer * 1 value booked
        expect c 1 served booked
        runs 1 2"
    ));
}

#[test]
fn keyed_work_without_its_key_goes_no_further() {
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

#[test]
fn at_a_stop_what_clients_would_wait_longer_for_gets_its_answer_in_time() {
    // Deadlines of 8 s, and the platform kills 3.7 s after it asked the program to end.
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
