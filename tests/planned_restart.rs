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

/// Clients that send while the ingress drains, and the step that starts the drain.
struct DrainScenario<'a> {
    /// Settings of the stage.
    setup: &'a str,
    endpoint_wire: Wire,
    /// Reply of the endpoints, as a step.
    reply: &'a str,
    clients: usize,
    pace: Duration,
    reading: Reading,
    /// The steps that start the drain.
    drain: &'a [&'a str],
}

impl Default for DrainScenario<'_> {
    /// Three clients that keep sending at a planned restart.
    fn default() -> Self {
        DrainScenario {
            setup: "",
            endpoint_wire: Wire::Resp,
            reply: BOOKED,
            clients: 3,
            pace: PACE,
            reading: Reading::AtOnce,
            drain: &["stop"],
        }
    }
}

impl DrainScenario<'_> {
    /// Runs the scenario until every connection has ended, and the process after SIGTERM, and checks
    /// the answers.
    fn check(&self) {
        run(async {
            let mut stage = Stage::set_up(Wire::Resp, self.endpoint_wire, self.setup).await;
            stage.step(self.reply).await;
            let clients =
                PipelinedClients::start(&stage, self.clients, self.pace, self.reading).await;
            stage.step("wait 500").await;
            let mut drain_began = Instant::now();
            for step in self.drain {
                drain_began = Instant::now();
                stage.step(step).await;
            }
            let bookings = clients.ended().await;
            if self.drain.contains(&"stop") {
                stage.step("expect exit").await;
                let elapsed = drain_began.elapsed();
                assert!(elapsed < EXIT_LIMIT, "{elapsed:?}");
            }
            check_answers(&stage, &bookings, drain_began);
        });
    }
}

/// SIGTERM arrives while clients send a booking every 60 ms on connections that always have one in
/// flight. No booking that was forwarded may be left without an answer when the process exits.
#[test]
fn bookings_that_keep_arriving_at_a_planned_restart_are_answered() {
    for endpoint_wire in [Wire::Resp, Wire::Http2] {
        DrainScenario {
            endpoint_wire,
            ..DrainScenario::default()
        }
        .check();
    }
}

/// SIGTERM arrives while a client sends bookings as fast as it can, so that there are always unread
/// ones. None that was forwarded may be left without an answer when the process exits.
#[test]
fn bookings_sent_without_a_pause_at_a_planned_restart_are_answered() {
    DrainScenario {
        clients: 1,
        pace: Duration::ZERO,
        ..DrainScenario::default()
    }
    .check();
}

/// The same with a client that reads slowly: when the ingress closes the connection, answers that it
/// has written wait at its system. The client's further bookings must not make them get lost.
#[test]
fn answers_to_a_slow_reader_that_keeps_sending_at_a_planned_restart_are_delivered() {
    // 267 kB of answers a second, of which the client reads 230 kB.
    DrainScenario {
        reply: "always after 30 large 16000",
        clients: 1,
        reading: Reading::Slowly,
        ..DrainScenario::default()
    }
    .check();
}

/// A second process takes over while clients keep sending on their connections to the first one. No
/// booking that the first process forwarded may be left without an answer.
#[test]
fn bookings_that_keep_arriving_at_an_upgrade_are_answered() {
    DrainScenario {
        setup: "inherited_socket",
        drain: &["start_second", "stop"],
        ..DrainScenario::default()
    }
    .check();
}

/// Operators drain the ingress by `PAUSE` while clients keep sending. Their connections close after a
/// bounded time, and no forwarded booking may be left without an answer.
#[test]
fn bookings_that_keep_arriving_after_pause_are_answered() {
    DrainScenario {
        drain: &["call ACK PAUSE"],
        ..DrainScenario::default()
    }
    .check();
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
