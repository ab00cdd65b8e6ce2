//! Endpoints, discovery, the counter and operators that write at full speed. Sound clients must keep
//! their answers, and the memory of the program its bound.

mod stage;

use stage::noisy_peers::NoisyPeer;
use stage::steady::{Answer, Class, SequentialClients};
use stage::{run, Stage, Wire};
use std::time::Duration;

/// Latest time for an answer: the deadline of these clients (1 s) and half a second, after which a
/// request is lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// Time for which the peer writes: longer than an answer may take.
const NOISY_TIME: Duration = Duration::from_millis(2500);
/// Number of operators that call without a pause.
const OPERATORS: usize = 4;
/// Memory limit of the program in its configuration, MB.
const MEMORY_LIMIT_MB: f64 = 192.0;

/// Runs one peer and returns what went wrong.
async fn faults(kind: NoisyPeer) -> Vec<String> {
    let mut stage = Stage::set_up(Wire::Resp, Wire::Resp, "").await;
    stage.step("always after 30 value booked").await;
    let clients = SequentialClients::new(&stage);
    clients.client(Wire::Resp, 7, Class::Fetch);
    clients.client(Wire::Resp, 8, Class::Booking);
    clients.client(Wire::Http2, 9, Class::Fetch);
    let peer = kind.start(&mut stage, OPERATORS).await;
    tokio::time::sleep(NOISY_TIME).await;
    let results = clients.stop().await;
    let written = peer.stop();
    let late = results.iter().filter(|sent| sent.took > ANSWER_LIMIT);
    let lost = results.iter().filter(|sent| sent.answer == Answer::Nothing);
    let mut faults: Vec<String> = late.chain(lost).map(|sent| format!("{sent:?}")).collect();
    let memory_mb = stage.max_resident_mb();
    if memory_mb > MEMORY_LIMIT_MB {
        faults.push(format!("{memory_mb} MB"));
    }
    // A request may reach the noisy endpoint and fail there; all others are served.
    let served = |answer: &Answer| matches!(answer, Answer::Served(_));
    let served = results.iter().filter(|sent| served(&sent.answer)).count();
    if 2 * served < results.len() {
        faults.push(format!("{served} of {} were served", results.len()));
    }
    if !faults.is_empty() {
        println!("{}", stage.log());
    }
    let longest = results.iter().map(|sent| sent.took).max().unwrap();
    println!(
        "{kind:?}: {written} bytes, {} requests, {served} served, longest {longest:?}, {memory_mb} MB",
        results.len()
    );
    faults
}

/// Guards against the class of report fd5ec9 at all other connections: a task whose peer always has
/// more bytes keeps the thread.
#[test]
fn peers_at_full_speed_take_no_answer_from_clients() {
    let mut failed = Vec::new();
    for kind in NoisyPeer::ALL {
        let faults = run(faults(kind)).into_iter();
        failed.extend(faults.map(|fault| format!("{kind:?}: {fault}")));
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
