//! A plug-in that loops forever on one request, while bookings are in flight.

mod common;
use common::*;
use std::sync::{Arc, Mutex};

/// The hook of an operator. It loops forever on the requests of one partner.
const SCRIPT: &str = "fn decide(command) {\n    if command.partner == \"00000000000000ff\" {\n        loop { sleep(1); }\n    }\n}\n";

fn main() {
    let place = Place::new();
    let record = Record::new(&place.case);
    let arrivals: Arrivals = Arc::default();
    let endpoints: Vec<RespEndpoint> =
        (1..=3).map(|i| RespEndpoint::start(&record, &format!("e{i}"), arrivals.clone(), 110.0, 0)).collect();
    let listed = (1..).zip(&endpoints).map(|(i, e)| Listed::resp(i, e.port));
    let discovery = Discovery::start(&record, listed.collect());
    let counter = start_counter();
    let ports = free_ports(2);
    let listen = ports[0];
    let folder = place.folder("n1");
    std::fs::write(folder.join("hook.rhai"), SCRIPT).expect("the script");
    let config = Config {
        name: "n1", listen: ports[0], discovery: discovery.port, counter,
        operator: Some(ports[1]), known: discovery.known(), settings: Settings::new(),
    };
    let start = IngressStart {
        name: "n1",
        config: config.json(),
        operator: Some("[plugin]\nscript = \"hook.rhai\"\n".into()),
        folder,
    };
    let ingress = Ingress::start(&place, &start);
    if !wait_for(15_000.0, || pongs(ports[0])) {
        drop(ingress);
        finish(&place, &record, COULD_NOT_RUN, "the ingress did not become ready");
    }
    record.line("the ingress is ready");
    // Each booking: its id, when its last byte was written, and its answer with its time.
    let results: Arc<Mutex<Vec<(String, f64, Answer, f64)>>> = Arc::default();
    let mut threads = Vec::new();
    let begun = now_ms();
    let hostile_at = begun + 3000.0;
    let mut hostile_sent = !trouble();
    for i in 0..90u64 {
        let at = begun + i as f64 * 66.0;
        if !hostile_sent && at >= hostile_at {
            hostile_sent = true;
            record.line("client of partner ff: fetch-episode, on which the plug-in loops");
            threads.push(std::thread::spawn(move || {
                let words = request_words("fetch-episode", true, 0xff, "hostile", 1200, "");
                let words: Vec<&str> = words.iter().map(String::as_str).collect();
                if let Ok(mut client) = RespClient::connect(listen) {
                    let _ = client.send(&words);
                    let _ = client.read(4000.0);
                }
            }));
        }
        sleep_until(at);
        let (results, record) = (results.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            let id = format!("b{i}");
            let words = request_words("book-rebroadcast", false, 0x100 + i % 30, &id, 2000, "");
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            let Ok(mut client) = RespClient::connect(listen) else { return };
            if client.send(&words).is_err() {
                return;
            }
            let sent = now_ms();
            record.line(format!("client: {id} sent"));
            let answer = client.read(2000.0 + 3000.0);
            record.line(format!("client: {id} answered: {}", answer.text()));
            results.lock().unwrap().push((id, sent, answer, now_ms()));
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    drop(ingress);
    let results = results.lock().unwrap();
    // Time of the client, then the page's half a second, then 50 ms, as on sockets.
    let late = |(_, sent, answer, at): &&(String, f64, Answer, f64)| {
        matches!(answer, Answer::Nothing | Answer::Ended(_)) || at - sent > 2000.0 + 500.0 + 50.0
    };
    let lost: Vec<&(String, f64, Answer, f64)> = results.iter().filter(late).collect();
    let ran = |id: &str| arrivals.lock().unwrap().iter().any(|a| a.id == id);
    let forwarded = lost.iter().filter(|(id, ..)| ran(id)).count();
    let served = results.iter().filter(|(_, _, answer, _)| matches!(answer, Answer::Value(_))).count();
    record.line(format!("{} bookings, {served} served, {} without a final answer in time, {forwarded} of these had run", results.len(), lost.len()));
    if !trouble() && served < results.len() / 2 {
        finish(&place, &record, COULD_NOT_RUN, "fewer than half of the bookings were served in calm");
    }
    if lost.is_empty() {
        finish(&place, &record, HELD, "every booking got its final answer");
    }
    let text = format!("{} bookings got no final answer in time, {forwarded} of them had run", lost.len());
    finish(&place, &record, BROKEN, &text)
}
