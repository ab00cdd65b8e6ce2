//! Bad clients over HTTP/2 that stop in the middle of a request and stay, while sound clients send
//! bookings over the same frontend.

mod common;
mod http2;
use common::*;
use http2::*;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// Connections of bad clients, one incomplete request on each.
const BAD_CLIENTS: usize = 80;
/// What a bad client says that it will wait, ms.
const BAD_D_MS: u64 = 60_000;
/// Sound clients: a connection each, and one booking each.
const SOUND_CLIENTS: u64 = 40;
const D_MS: u64 = 2000;
/// Time that bad clients are owed to get their error or close, ms.
const OWED_MS: f64 = 3000.0;

fn main() {
    let place = Place::new();
    let record = Record::new(&place.case);
    let arrivals: Arrivals = Default::default();
    let endpoints: Vec<RespEndpoint> =
        (1..=3).map(|i| RespEndpoint::start(&record, &format!("e{i}"), arrivals.clone(), 100.0, 0)).collect();
    let listed = (1..).zip(&endpoints).map(|(i, e)| Listed::resp(i, e.port));
    let discovery = Discovery::start(&record, listed.collect());
    let counter = start_counter();
    let free = free_ports(2);
    let config = Config {
        name: "n1", listen: free[0], discovery: discovery.port, counter,
        operator: None, known: discovery.known(), settings: Settings::new(),
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
    let options = || ClientOptions { window: 1 << 20, read_rate: 0.0 };
    let mut bad: Vec<(Client, u32)> = Vec::new();
    if trouble() {
        for i in 0..BAD_CLIENTS {
            let Ok(mut client) = Client::connect(free[1], options()) else { continue };
            let stream = client.begin_request("book-rebroadcast", 0x900 + i as u64, &format!("bad{i}"), BAD_D_MS, b"half a boo");
            bad.push((client, stream));
            sleep_ms(10.0);
        }
        record.line(format!("{} bad clients have stopped in the middle of a request and stay", bad.len()));
    }
    // The bad ones have had the time that they are owed.
    sleep_ms(OWED_MS + 500.0);
    let open = bad.iter().filter(|(client, stream)| client.stream(*stream).reset.is_none() && client.stream(*stream).whole_ms.is_none() && client.is_open()).count();
    record.line(format!("{open} bad clients have got neither an error nor a close {:.0} ms after the last of them stopped", OWED_MS + 500.0));
    let results: Arc<Mutex<Vec<(String, f64, Option<f64>, u16)>>> = Arc::default();
    let threads: Vec<_> = (0..SOUND_CLIENTS).map(|i| {
        sleep_ms(50.0);
        let (results, record) = (results.clone(), record.clone());
        let port = free[1];
        std::thread::spawn(move || {
            let id = format!("b{i}");
            let Ok(stream) = TcpStream::connect(local(port)) else { return };
            let Ok(mut client) = Client::over(stream, ClientOptions { window: 1 << 20, read_rate: 0.0 }) else { return };
            let stream = client.request("book-rebroadcast", 0x100 + i, &id, D_MS, None, b"a booking");
            let sent = now_ms();
            record.line(format!("client: {id} sent"));
            wait_for(D_MS as f64 + 3000.0, || client.stream(stream).whole_ms.is_some() || client.ended().is_some());
            let s = client.stream(stream);
            record.line(format!("client: {id}: status {}, connection {:?}", s.status, client.ended()));
            results.lock().unwrap().push((id, sent, s.whole_ms, s.status));
        })
    }).collect();
    threads.into_iter().for_each(|t| drop(t.join()));
    let still_pongs = pongs(free[0]);
    drop(ingress);
    drop(bad);
    let results = results.lock().unwrap();
    let lost = results.iter().filter(|(_, sent, whole, _)| whole.is_none_or(|at| at - sent > D_MS as f64 + 550.0)).count();
    let served = results.iter().filter(|(_, _, whole, status)| whole.is_some() && *status == 200).count();
    record.line(format!("{} bookings of sound clients, {served} served, {lost} without a final answer in time; PING over RESP says +PONG: {still_pongs}", results.len()));
    if !trouble() && served < results.len() / 2 {
        finish(&place, &record, COULD_NOT_RUN, "fewer than half of the bookings were served in calm");
    }
    if lost == 0 {
        finish(&place, &record, HELD, "every booking got its final answer");
    }
    finish(&place, &record, BROKEN, &format!("{lost} bookings of sound clients got no final answer; {open} bad clients held their connections"))
}
