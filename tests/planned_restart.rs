//! Clients that keep sending while the ingress drains: at a planned restart, at an upgrade beside a
//! second process, and after `PAUSE`.

mod stage;

use stage::pipelined::{Booking, PipelinedClients, Reading};
use stage::{play, run, Stage, Wire};
use std::time::{Duration, Instant};

/// Reply of the endpoints: three bookings are in flight on a connection with one every
/// [`PACE`].
const BOOKED: &str = "always after 130 value booked";
const PACE: Duration = Duration::from_millis(60);
/// Time after which a draining ingress closes idle connections, and a margin.
const CONNECTIONS_DRAIN: Duration = Duration::from_millis(600);
/// Longest time from SIGTERM to the exit with these settings, and a margin for a busy machine.
const EXIT_LIMIT: Duration = Duration::from_secs(10);

/// Checks that every booking that an endpoint ran has an answer, and that connections stayed in use
/// while the ingress drained.
fn check_answers(stage: &Stage, bookings: &[Booking], drain_began: Instant) {
    let lost: Vec<&str> = bookings
        .iter()
        .filter(|booking| booking.answer.is_none() && stage.runs(&booking.id) > 0)
        .map(|booking| booking.id.as_str())
        .collect();
    assert!(lost.is_empty(), "run without an answer: {lost:?}");
    let twice = bookings.iter().filter(|b| stage.runs(&b.id) > 1).count();
    assert_eq!(twice, 0, "bookings that ran twice");
    let answered_at = bookings.iter().filter_map(|b| b.answer).map(|(_, at)| at);
    let late = answered_at.filter(|at| *at > drain_began + CONNECTIONS_DRAIN);
    assert!(late.count() > 0, "no request was answered during the drain");
}

/// SIGTERM arrives while clients send a booking every 60 ms on connections that always have one in
/// flight. No booking that was forwarded may be left without an answer when the process exits.
#[test]
fn bookings_that_keep_arriving_at_a_planned_restart_are_answered() {
    for endpoint_wire in [Wire::Resp, Wire::Http2] {
        run(async {
            let mut stage = Stage::set_up(Wire::Resp, endpoint_wire, "").await;
            stage.step(BOOKED).await;
            let clients = PipelinedClients::start(&stage, 3, PACE, Reading::AtOnce).await;
            stage.step("wait 500").await;
            let stopped = Instant::now();
            stage.step("stop").await;
            let bookings = clients.ended().await;
            stage.step("expect exit").await;
            assert!(stopped.elapsed() < EXIT_LIMIT, "{:?}", stopped.elapsed());
            check_answers(&stage, &bookings, stopped);
        });
    }
}

/// SIGTERM arrives while a client sends bookings as fast as it can, so that there are always unread
/// ones. None that was forwarded may be left without an answer when the process exits.
#[test]
fn bookings_sent_without_a_pause_at_a_planned_restart_are_answered() {
    run(async {
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        stage.step(BOOKED).await;
        let clients = PipelinedClients::start(&stage, 1, Duration::ZERO, Reading::AtOnce).await;
        stage.step("wait 500").await;
        let stopped = Instant::now();
        stage.step("stop").await;
        let bookings = clients.ended().await;
        stage.step("expect exit").await;
        check_answers(&stage, &bookings, stopped);
    });
}

/// The same with a client that reads slowly: when the ingress closes the connection, answers that it
/// has written wait at its system. The client's further bookings must not make them get lost.
#[test]
fn answers_to_a_slow_reader_that_keeps_sending_at_a_planned_restart_are_delivered() {
    run(async {
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        // 267 kB of answers a second, of which the client reads 230 kB.
        stage.step("always after 30 large 16000").await;
        let clients = PipelinedClients::start(&stage, 1, PACE, Reading::Slowly).await;
        stage.step("wait 500").await;
        let stopped = Instant::now();
        stage.step("stop").await;
        let bookings = clients.ended().await;
        stage.step("expect exit").await;
        check_answers(&stage, &bookings, stopped);
    });
}

/// A second process takes over while clients keep sending on their connections to the first one. No
/// booking that the first process forwarded may be left without an answer.
#[test]
fn bookings_that_keep_arriving_at_an_upgrade_are_answered() {
    run(async {
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "inherited_socket").await;
        stage.step(BOOKED).await;
        let clients = PipelinedClients::start(&stage, 3, PACE, Reading::AtOnce).await;
        stage.step("wait 500").await;
        stage.step("start_second").await;
        let stopped = Instant::now();
        stage.step("stop").await;
        let bookings = clients.ended().await;
        stage.step("expect exit").await;
        check_answers(&stage, &bookings, stopped);
    });
}

/// Operators drain the ingress by `PAUSE` while clients keep sending. Their connections close after a
/// bounded time, and no forwarded booking may be left without an answer.
#[test]
fn bookings_that_keep_arriving_after_pause_are_answered() {
    run(async {
        let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
        stage.step(BOOKED).await;
        let clients = PipelinedClients::start(&stage, 3, PACE, Reading::AtOnce).await;
        stage.step("wait 500").await;
        let paused = Instant::now();
        stage.step("call ACK PAUSE").await;
        let bookings = clients.ended().await;
        check_answers(&stage, &bookings, paused);
    });
}

/// SIGTERM arrives before the end of an HTTP/2 request's body, which comes when the process has
/// little time left. Forwarded then, the request could run and get no answer: it is rejected.
#[test]
fn http2_request_that_is_complete_late_in_a_shutdown_is_rejected() {
    for endpoint_wire in [Wire::Resp, Wire::Http2] {
        play(
            Wire::Http2,
            endpoint_wire,
            "send c k1 book-rebroadcast city 7 d=9000 unfinished
             wait 100
             stop
             wait 2500
             finish c k1
             expect c k1 busy
             runs k1 0
             expect exit",
        );
    }
}
