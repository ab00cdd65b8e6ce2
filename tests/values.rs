//! Large and slow values over every pair of wires. Scenarios in the stage's language.

mod stage;

use stage::{play, play_all, Wire};

/// A response too large to be held in memory is forwarded while it comes. Every byte arrives, and the
/// connection serves the next request.
#[test]
fn large_values_are_passed_on_as_they_are() {
    play_all(
        "send c k1 fetch-episode city 7
         answer * k1 large 65537
         expect c k1 served 65537 bytes
         send c k2 book-rebroadcast city 7
         answer * k2 large 4194304
         expect c k2 served 4194304 bytes
         send c k3 fetch-episode city 7
         answer * k3 large 65536
         expect c k3 served 65536 bytes
         send c k4 fetch-episode city 7
         answer * k4 value news
         expect c k4 served news
         runs k1 1
         runs k2 1",
    );
}

/// A large response has begun when its deadline passes. The client has the answer already; cutting it would
/// spoil it.
#[test]
fn a_value_that_comes_slowly_outlives_its_deadline_and_is_not_cut() {
    play_all(
        "send c k1 fetch-episode city 7 d=600
         answer * k1 pieces 300000
         expect c k1 served 300000 bytes
         send c k2 book-rebroadcast city 7 d=2900
         answer * k2 pieces 60000
         expect c k2 served 60000 bytes
         runs k1 1
         runs k2 1",
    );
}

/// The endpoint breaks off in the middle of a large response. The client has part of it, so it must see a
/// broken connection, not a complete answer and no second one.
#[test]
fn a_value_that_breaks_off_ends_as_one_that_is_not_whole_and_is_not_made_again() {
    play_all(
        "send c k1 book-rebroadcast city 7
         answer * k1 truncated 500000
         expect c k1 closed
         send d k2 fetch-episode city 7
         answer * k2 value news
         expect d k2 served news
         runs k1 1",
    );
}

/// An endpoint promises more bytes than it sends, or more than any response may have. The attempt is given
/// up, and a request that is safe to repeat is retried.
#[test]
fn a_length_that_is_wrong_is_asked_again_elsewhere() {
    play(
        Wire::Resp,
        Wire::Resp,
        "send c k1 fetch-episode city 7 d=1900
         answer * k1 short 3000000
         answer * k1 value news
         expect c k1 served news
         runs k1 2
         send c k2 fetch-episode city 7 d=1900
         answer * k2 large 5000000
         answer * k2 value news
         expect c k2 served news",
    );
}

/// Many clients read large responses slowly. If the ingress held what they do not read, its memory would grow
/// with their number.
#[test]
fn many_that_read_slowly_do_not_fill_the_memory_and_answers_keep_their_order() {
    let mut scenario = String::from("memory\n");
    for i in 0..24 {
        scenario += &format!(
            "send c{i} k{i} fetch-episode city {}\nanswer * k{i} large 4000000\n",
            10 + i
        );
    }
    scenario += "wait 500\nmemory 12\n";
    scenario += "send c3 after fetch-episode city 7\nanswer * after value news\n";
    for i in 0..24 {
        scenario += &format!("expect c{i} k{i} served 4000000 bytes\n");
    }
    scenario += "expect c3 after served news\n";
    play(Wire::Resp, Wire::Resp, &scenario);
    play(Wire::Resp, Wire::Http2, &scenario);
}

/// Many clients write long requests and stop before the end. What they have written is bounded over all of
/// them, and others are served.
#[test]
fn many_that_write_long_requests_and_do_not_finish_do_not_fill_the_memory() {
    // 80 halves of 60 KB are 4.8 MB; a sixth of 10 MB, halved for rings that double, is 0.8 MB.
    let mut scenario = String::from("small_memory\nmemory\n");
    for i in 0..80 {
        scenario += &format!("incomplete c{i} 60000\n");
    }
    scenario += "wait 300\nmemory 3\n";
    scenario += "send d k1 fetch-episode city 7\nanswer * k1 value news\nexpect d k1 served news\n";
    // They had their time; a long one is served again.
    scenario += "wait 3000\nsend e k2 book-rebroadcast city 7 body=60000\n";
    scenario += "answer * k2 value booked\nexpect e k2 served booked\n";
    play(Wire::Resp, Wire::Resp, &scenario);
}

/// A client leaves in the middle of a large response. The endpoint must not stay blocked by bytes that nobody
/// reads, and the process still ends.
#[test]
fn a_client_that_goes_away_frees_its_endpoint() {
    play_all(
        "send c k1 fetch-episode city 7
         answer * k1 pieces 4000000
         wait 150
         close c
         send d k2 fetch-episode city 7
         answer * k2 value news
         expect d k2 served news
         stop
         expect exit",
    );
}
