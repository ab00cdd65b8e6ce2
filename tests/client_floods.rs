//! Clients that send small or unsound requests at full speed, while sound clients send requests in
//! sequence. The sound ones must keep their answers, and the memory of the program its bound.
//! `FLOOD_SECONDS=N` prolongs each flood.

mod stage;

use stage::flood::{Flood, FloodingClients};
use stage::steady::{Answer, Class, SentRequest, SequentialClients};
use stage::{run, Stage, Wire};
use std::time::Duration;

/// Reply of the endpoints to every attempt.
const REPLY: &str = "always after 30 value booked";
/// Latest time for an answer: the deadline of these clients (1 s) and half a second, after which a
/// request is lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// Length of a flood, unless `FLOOD_SECONDS` is set: longer than an answer may take.
const FLOOD_TIME: Duration = Duration::from_millis(2500);
/// Time before a flood in which the clients connect.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Memory limit of the program in its configuration, MB.
const MEMORY_LIMIT_MB: f64 = 192.0;
/// Numbers of flooding clients.
const ONE_CLIENT: usize = 1;
const SEVERAL_CLIENTS: usize = 6;

fn flood_time() -> Duration {
    let seconds = std::env::var("FLOOD_SECONDS");
    seconds.map_or(FLOOD_TIME, |seconds| {
        Duration::from_secs(seconds.parse().expect("FLOOD_SECONDS is a number"))
    })
}

/// Starts sound clients over both protocols, one for each class.
fn start_sound_clients(clients: &std::rc::Rc<SequentialClients>) {
    for (tenant, class) in [(7, Class::Fetch), (8, Class::Booking)] {
        clients.client(Wire::Resp, tenant, class);
        clients.client(Wire::Http2, tenant, class);
    }
}

/// A flood and what surrounds it.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    flooding_wire: Wire,
    endpoint_wire: Wire,
    kind: Flood,
    flooding_clients: usize,
    /// State of the counter during the flood (see `stage`).
    counter: &'static str,
}

impl Scenario {
    /// Whether the flooding clients send requests that the program may forward. They may then use the
    /// capacity of the endpoints, and others be rejected.
    fn has_sound_requests(&self) -> bool {
        matches!(self.kind, Flood::NewTenants | Flood::NewIds | Flood::SameId)
    }

    /// Runs the flood and returns what went wrong.
    async fn run(self) -> Vec<String> {
        let mut stage = Stage::set_up(Wire::Resp, self.endpoint_wire, "").await;
        stage.step(REPLY).await;
        let sound = SequentialClients::new(&stage);
        start_sound_clients(&sound);
        tokio::time::sleep(QUIET_TIME).await;
        stage.step(&format!("counter {}", self.counter)).await;
        let clients = self.flooding_clients;
        let flooding = FloodingClients::start(&stage, self.flooding_wire, self.kind, clients);
        tokio::time::sleep(flood_time()).await;
        let stopped = tokio::task::spawn_blocking(|| flooding.stop()).await;
        let results = sound.stop().await;
        let mut faults = self.faults(&stage, &results);
        let memory_mb = stage.max_resident_mb();
        if memory_mb > MEMORY_LIMIT_MB {
            faults.push(format!("{memory_mb} MB"));
        }
        if !faults.is_empty() {
            println!("{}", stage.log());
        }
        let mut times: Vec<Duration> = results.iter().map(|sent| sent.took).collect();
        times.sort();
        println!(
            "{self:?}: {} written, {} sound requests, median {:?}, longest {:?}, {memory_mb} MB",
            stopped.unwrap(),
            times.len(),
            times[times.len() / 2],
            times[times.len() - 1],
        );
        faults
    }

    /// Returns what is wrong with the answers to sound requests.
    fn faults(&self, stage: &Stage, results: &[SentRequest]) -> Vec<String> {
        let is_lost = |sent: &&SentRequest| match sent.answer {
            Answer::Served(_) | Answer::Refused(_) => sent.took > ANSWER_LIMIT,
            // A connection may be closed between two requests; the client sends the second one again.
            Answer::Nothing => stage.runs(&sent.id) > 0 || sent.took > ANSWER_LIMIT,
            Answer::Other(_) => true,
        };
        let lost = results.iter().filter(is_lost);
        let mut faults: Vec<String> = lost
            .map(|sent| format!("{:?} {:?} {:?}", sent.client_wire, sent.answer, sent.took))
            .collect();
        let served = |sent: &&SentRequest| matches!(sent.answer, Answer::Served(_));
        let served = results.iter().filter(served).count();
        if 2 * served < results.len() && !self.has_sound_requests() {
            faults.push(format!("{served} of {} were served", results.len()));
        }
        faults
    }
}

fn check_floods(flooding_wire: Wire, endpoint_wire: Wire, flooding_clients: usize) {
    let mut failed = Vec::new();
    for kind in Flood::all(flooding_wire) {
        let counters: &[&str] = match kind {
            Flood::NewTenants => &["ok", "late", "silent", "full"],
            _ => &["ok"],
        };
        for counter in counters {
            let scenario = Scenario {
                flooding_wire,
                endpoint_wire,
                kind: *kind,
                flooding_clients,
                counter,
            };
            let faults = run(scenario.run()).into_iter();
            failed.extend(faults.map(|fault| format!("{kind:?}, counter {counter}: {fault}")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// Guards against report fd5ec9: the task of one connection that always had input never gave the
/// thread back, and no other client got an answer.
#[test]
fn one_client_at_full_speed_takes_no_answer_from_others() {
    check_floods(Wire::Resp, Wire::Resp, ONE_CLIENT);
}

/// The same with the number of clients that the report shows.
#[test]
fn several_clients_at_full_speed_take_no_answer_from_others() {
    check_floods(Wire::Resp, Wire::Http2, SEVERAL_CLIENTS);
}

/// The same over HTTP/2.
#[test]
fn http2_clients_at_full_speed_take_no_answer_from_others() {
    check_floods(Wire::Http2, Wire::Resp, SEVERAL_CLIENTS);
}
