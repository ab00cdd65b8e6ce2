//! Keyed bookings with long bodies, on four endpoints over HTTP/2 in two zones. In one zone, one endpoint
//! resets its connections under requests that have begun, and the other one hangs for a while in the
//! middle of its work.

mod common;
mod http2;
use common::*;
use http2::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The page's window for repeats (`request_classes[].window`), ms, and the class's deadline.
const WINDOW_MS: f64 = 1000.0;
const DEADLINE_MS: u64 = 3000;
/// The streams that one connection carries (`limits.streams_per_conn`).
const STREAMS: usize = 100;
/// Length of a booking; the pages allow 64 KiB.
const BODY_BYTES: usize = 40_000;
const RATE: f64 = 25.0;
/// Time limits are 50 ms longer on sockets; an ingress may be held up for 150 ms before it writes.
const SLACK_MS: f64 = 50.0 + 150.0;
const HANG_MS: f64 = 1900.0;

const CLASSES_KEYED: &str = r#"[
 {"aim":0.4,"credit":2.0,"deadline":1.2,"effect":"pure","group":"all","late_share":0.2,"name":"fetch-episode","streaming":false,"window":5.0},
 {"aim":0.8,"credit":5.0,"deadline":3.0,"effect":"token","group":"zone","late_share":0.0,"name":"book-rebroadcast","streaming":false,"window":1.0}]"#;

/// One time that a booking ran, or was recognized as a repeat.
struct Run {
    endpoint: &'static str,
    at_ms: f64,
    repeat: bool,
}

fn main() {
    let place = Place::new();
    let record = Record::new(&place.case);
    // What all endpoints know of keys: they discard repeats within the window.
    let keys: Arc<Mutex<BTreeMap<String, Vec<Run>>>> = Arc::default();
    let resets = Arc::new(AtomicBool::new(false));
    let hung: Vec<Arc<AtomicBool>> = (0..4).map(|_| Arc::default()).collect();
    let react = |name: &'static str, resets: Option<Arc<AtomicBool>>| {
        let (keys, record) = (keys.clone(), record.clone());
        let react = move |work: &Work| {
            let key = work.key.clone().unwrap_or_default();
            let mut keys = keys.lock().unwrap();
            let runs = keys.entry(key.clone()).or_default();
            let first = runs.first().map(|run| run.at_ms);
            let repeat = runs.iter().rev().find(|run| !run.repeat).is_some_and(|run| work.at_ms - run.at_ms <= WINDOW_MS + SLACK_MS);
            record.line(format!(
                "{name}: booking {} key {key} arrived{}: {}",
                work.id,
                first.map_or(String::new(), |at| format!(", {:.0} ms after the first one", work.at_ms - at)),
                if repeat { "discarded as a repeat" } else { "runs" }
            ));
            runs.push(Run { endpoint: name, at_ms: work.at_ms, repeat });
            match &resets {
                Some(resets) if resets.load(Ordering::SeqCst) => Reaction::ResetConnection(60.0),
                _ => Reaction::Answer(110.0),
            }
        };
        Arc::new(react) as Arc<dyn Fn(&Work) -> Reaction + Send + Sync>
    };
    let ports = [
        start_endpoint(STREAMS as u32, hung[0].clone(), react("e1", Some(resets.clone()))),
        start_endpoint(STREAMS as u32, hung[1].clone(), react("e2", None)),
        start_endpoint(STREAMS as u32, hung[2].clone(), react("e3", None)),
        start_endpoint(STREAMS as u32, hung[3].clone(), react("e4", None)),
    ];
    let zones = ["building-1", "building-1", "building-2", "building-2"];
    let listed = (0..4).map(|i| Listed { id: format!("s-{}", i + 1), port: ports[i], state: "active", http2: true, zone: zones[i] });
    let discovery = Discovery::start(&record, listed.collect());
    let counter = start_counter();
    let free = free_ports(2);
    let mut settings = Settings::new();
    (settings.classes, settings.streams_per_conn) = (CLASSES_KEYED.into(), STREAMS);
    let config = Config {
        name: "n1", listen: free[0], discovery: discovery.port, counter, operator: None, known: discovery.known(), settings,
    };
    let start = IngressStart {
        name: "n1",
        config: config.json(),
        operator: Some(format!("[http2]\nlisten = \"127.0.0.1:{}\"\n", free[1])),
        folder: place.folder("n1"),
    };
    let ingress = Ingress::start(&place, &start);
    if !wait_for(15_000.0, || pongs(free[0])) {
        drop(ingress);
        finish(&place, &record, COULD_NOT_RUN, "the ingress did not become ready");
    }
    let mut client = Client::connect(free[1], ClientOptions { window: 1 << 20, read_rate: 0.0 }).expect("the connection");
    let mut sent = Vec::new();
    let begun = now_ms();
    let hang_at = begun + 2500.0;
    let (mut hangs, mut ended) = (false, false);
    let mut i = 0u64;
    // Traffic of an ordinary day: fetches have no body and are not counted here.
    while now_ms() < begun + 6000.0 {
        sleep_until(begun + i as f64 / RATE * 1e3);
        if trouble() && !hangs && now_ms() >= hang_at {
            hangs = true;
            hung[1].store(true, Ordering::SeqCst);
            resets.store(true, Ordering::SeqCst);
            record.line("e2 hangs; e1 resets connections under requests that have begun");
        }
        if hangs && !ended && now_ms() >= hang_at + HANG_MS {
            ended = true;
            hung[1].store(false, Ordering::SeqCst);
            resets.store(false, Ordering::SeqCst);
            record.line("e2 goes on; e1 is sound again");
        }
        let (id, key) = (format!("b{i}"), format!("{i:016x}"));
        let body = format!("{:<BODY_BYTES$}", format!("{id} {key} "));
        let stream = client.request("book-rebroadcast", 0x100 + i % 60, &id, DEADLINE_MS, Some(&key), body.as_bytes());
        record.line(format!("client: booking {id} key {key} on stream {stream}"));
        sent.push((stream, id));
        i += 1;
    }
    sleep_ms(DEADLINE_MS as f64 + 550.0);
    drop(ingress);
    let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
    for (stream, id) in &sent {
        let s = client.stream(*stream);
        *answers.entry(s.status).or_default() += 1;
        record.line(format!("client: {id}: status {}", s.status));
    }
    let keys = keys.lock().unwrap();
    let twice: Vec<_> = keys.iter().filter(|(_, runs)| runs.iter().filter(|run| !run.repeat).count() > 1).collect();
    for (key, runs) in &twice {
        let runs: Vec<String> = runs.iter().map(|r| format!("{} at {:.0}{}", r.endpoint, r.at_ms, if r.repeat { " (repeat)" } else { "" })).collect();
        record.line(format!("TWICE: key {key}: {}", runs.join(", ")));
    }
    let repeats: usize = keys.values().map(|runs| runs.iter().filter(|run| run.repeat).count()).sum();
    record.line(format!("{} bookings, answers by status {answers:?}, {repeats} repeats discarded, {} ran twice", sent.len(), twice.len()));
    if answers.get(&200).copied().unwrap_or(0) < sent.len() / 2 {
        finish(&place, &record, COULD_NOT_RUN, "fewer than half of the bookings were served");
    }
    if twice.is_empty() {
        finish(&place, &record, HELD, "no booking ran twice");
    }
    finish(&place, &record, BROKEN, &format!("{} bookings ran twice", twice.len()))
}
