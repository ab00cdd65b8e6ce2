//! Clients that have gone: nothing is begun for them any more, whatever they waited for.

mod stage;

use stage::{play, play_all, play_resp, Wire};

/// A client pipelines more requests than are taken at once and leaves. Those that were not taken must not be
/// begun when places come free.
#[test]
fn behind_the_most_pipelined_requests_nothing_more_is_begun() {
    // 128 are taken; the others are in the ring, and nothing is read meanwhile. All wait for the counter until its calls
    // are given up: with its answers, attempts would begin between them, and the ladder would refuse the rest.
    play_resp(
        "state b left
         wait 100
         counter silent
         burst c 200
         expect a c60
         runs c128 0
         close c
         wait 100
         answer a c0 value news
         wait 300
         runs c128 0
         runs c129 0",
    );
}

/// The same with so many requests that part of them is unread: the end of the connection stands behind bytes
/// that nobody reads.
#[test]
fn with_unread_bytes_behind_a_full_ring_nothing_more_is_begun() {
    play_resp(
        "state b left
         wait 100
         counter silent
         burst c 1500
         expect a c60
         close c
         wait 100
         answer a c0 value news
         answer a c1 value news
         wait 300
         runs c129 0
         runs c130 0",
    );
}

/// A client leaves while its attempts are out, and these fail. No retry may begin for a client that has gone.
#[test]
fn behind_one_that_waits_nothing_more_is_begun() {
    play_resp(
        "state b left
         wait 100
         burst c 2
         expect a c0
         expect a c1
         close c
         wait 100
         answer a c0 error
         answer a c1 error
         wait 300
         runs c0 1
         runs c1 1",
    );
}

/// The same during a shutdown, when nothing more is read from the connection, so that its end is easily
/// missed.
#[test]
fn on_a_connection_that_is_to_end_nothing_more_is_begun() {
    // A fetch that an endpoint could not serve is forwarded once more, unless its client has gone.
    play_all(
        "send c k1 fetch-episode national 7
         expect * k1
         stop
         wait 600
         reset c k1
         close c
         wait 100
         answer * k1 error
         wait 300
         runs k1 1
         expect exit",
    );
}

/// The same behind bytes that make no sense, after which nothing more is read from the connection.
#[test]
fn behind_words_that_make_no_sense_nothing_more_is_begun() {
    play_resp(
        "send c k1 fetch-episode national 7
         expect * k1
         raw c what?\r\n
         wait 50
         close c
         wait 100
         answer * k1 error
         wait 300
         runs k1 1",
    );
}

/// A client leaves while its request waits for a token lease. The answer of the counter must not begin an
/// attempt.
#[test]
fn what_waits_for_the_counter_is_not_begun() {
    play_all(
        "counter late
         send c k1 fetch-episode city 7
         wait 50
         reset c k1
         wait 500
         runs k1 0",
    );
}

/// A client leaves while a connection to an endpoint is being made. Nothing may be written when it comes up.
#[test]
fn what_waits_for_a_connection_is_not_begun() {
    play_all(
        "add_unreachable hung
         state a left
         state b left
         wait 100
         send c k1 fetch-episode national 7
         wait 50
         reset c k1
         state a active
         wait 600
         runs k1 0",
    );
}

/// A client shuts down its sending side only. To the platform it has closed, so nothing further is begun for
/// it.
#[test]
fn a_client_that_has_ended_its_sending_has_gone() {
    // The platform knows no half of a connection: one that its client has closed is gone.
    play_resp(
        "send c k1 fetch-episode national 7
         expect * k1
         fin c
         wait 100
         answer * k1 error
         wait 300
         runs k1 1
         expect c k1 closed",
    );
}

/// Hundreds of clients connect and say nothing. They would hold every place; those idle for longest make room
/// for others.
#[test]
fn clients_that_say_nothing_do_not_keep_others_out() {
    for front in [Wire::Resp, Wire::Http2] {
        play(
            front,
            Wire::Resp,
            "always value news
             idle 400
             send c k1 fetch-episode national 7
             expect c k1 served news
             descriptors 250",
        );
    }
}

/// The ingress is held up while a client writes requests and leaves. It reads both at once and must see the
/// end before it begins anything.
#[test]
fn what_a_client_wrote_before_it_went_is_not_begun_by_an_ingress_that_comes_to_it_late() {
    // It cannot run for 300 ms, as on a machine that others share.
    // Without a quota nothing waits for the counter.
    play_all(
        "with plans.3.units_per_s=0.0
         always value news
         send c k1 fetch-episode national 7
         expect c k1 served news
         freeze
         send c k2 fetch-episode national 7
         send c k3 book-rebroadcast national 7
         wait 50
         close c
         wait 250
         thaw
         wait 300
         runs k2 0
         runs k3 0",
    );
    // Connections to the endpoints are up, so that what is begun is written at once.
    play_resp(
        "with plans.3.units_per_s=0.0
         burst w 60
         expect * w59
         always value news
         close w
         wait 100
         burst v 100
         wait 100
         close v
         freeze
         burst c 120
         close c
         wait 300
         thaw
         wait 300
         runs c0 0
         runs c15 0
         runs c119 0",
    );
}

/// Clients that ask for values and read none, and are gone at once: the connections, and the requests on each.
fn hundreds_gone(front: Wire, behind: Wire) {
    let (connections, requests) = if front == Wire::Resp {
        (300, 1)
    } else {
        (15, 20)
    };
    let ask = |kind: &str, tenant: usize| -> String {
        (0..connections * requests)
            .map(|i| {
                let (connection, tenant) = (i % connections, tenant + i);
                // Some at a time, as endpoints take them.
                let pause = if i % 10 == 9 { "wait 30\n" } else { "" };
                format!(
                    "send c{connection} {kind}{i} book-rebroadcast national {tenant:x}\n{pause}"
                )
            })
            .collect()
    };
    let close: String = (0..connections).map(|c| format!("close c{c}\n")).collect();
    // Values that are passed on hold connections to endpoints (or streams, of which a shared connection has room for
    // fewer). Whole ones wait in the front, 18 MB of them in each round.
    let passed_on = ask("p", 100);
    let (first, second) = (ask("f", 1000), ask("s", 2000));
    play(
        front,
        behind,
        &format!(
            "more_descriptors
             small_receive_buffer
             always large 300000
             {passed_on}
             wait 500
             attempts 120
             {close}
             wait 100
             attempts 0
             wait 900
             attempts none
             descriptors 40
             always large 60000
             {first}
             {close}
             wait 500
             memory
             {second}
             {close}
             wait 500
             memory 12
             retry d book-rebroadcast city 7
             stop
             expect exit"
        ),
    );
}

/// Hundreds of clients leave at once with their answers unread. Connections, attempts and memory must all be
/// given back.
#[test]
fn hundreds_of_clients_that_go_at_once_with_answers_unread_leave_nothing_behind() {
    for front in [Wire::Resp, Wire::Http2] {
        for behind in [Wire::Resp, Wire::Http2] {
            hundreds_gone(front, behind);
        }
    }
}
