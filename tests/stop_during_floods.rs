//! The end of the program while clients send at full speed. In a test program of its own, because the
//! other floods would take the processor time.

mod stage;

use stage::flood::{Flood, FloodingClients};
use stage::{run, Stage, Wire};
use std::time::{Duration, Instant};

/// Reply of the endpoints to every attempt.
const REPLY: &str = "always after 30 value booked";
/// Longest time from SIGTERM to the end of the program: the longest deadline and 0.7 s, and a margin
/// for a busy machine.
const STOP_LIMIT: Duration = Duration::from_millis(3700 + 500);
/// Time before SIGTERM in which the clients connect.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Number of flooding clients.
const FLOODING_CLIENTS: usize = 6;

/// Stops the program during a flood. Returns the time to its end if that is too long.
async fn stop_during_flood(wire: Wire, kind: Flood) -> Option<Duration> {
    let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
    stage.step(REPLY).await;
    let flooding = FloodingClients::start(&stage, wire, kind, FLOODING_CLIENTS);
    tokio::time::sleep(QUIET_TIME).await;
    let begun = Instant::now();
    stage.step("stop").await;
    let ended = tokio::time::timeout(STOP_LIMIT, stage.step("expect exit")).await;
    let took = begun.elapsed();
    println!("{wire:?} {kind:?}: ended {took:?} after SIGTERM");
    if ended.is_err() {
        println!("{}", stage.log());
        stage.signal("-KILL");
    }
    let _ = tokio::task::spawn_blocking(|| flooding.stop()).await;
    ended.is_err().then_some(took)
}

/// Guards against the class of report fd5ec9 at a stop: clients that go on sending must not keep the
/// program from its end.
#[test]
fn program_ends_in_time_while_clients_send_at_full_speed() {
    let mut failed = Vec::new();
    for wire in [Wire::Resp, Wire::Http2] {
        for kind in Flood::all(wire) {
            let late = run(stop_during_flood(wire, *kind));
            failed.extend(late.map(|took| format!("{wire:?} {kind:?}: {took:?}")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
