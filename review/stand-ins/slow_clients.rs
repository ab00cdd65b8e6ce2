//! A few HTTP/2 clients read their answers slowly. Other clients send one request at a time and read
//! its answer at once.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Slow clients, and the streams that each opens: the ingress's own bound on open streams.
const SLOW_CLIENTS: usize = 6;
const STREAMS: usize = 120;
/// Pause between two requests of a slow client, ms.
const SLOW_PAUSE_MS: u64 = 60;
/// A slow client allows this many further bytes at a time, and pauses between.
const SLOW_BYTES: u32 = 4 * 1024;
const SLOW_READ_PAUSE_MS: u64 = 200;
/// Size of a value, bytes.
const VALUE_BYTES: usize = 60_000;
const SERVICE_MS: u64 = 40;
const DEADLINE_MS: u64 = 1200;
/// Clients that read at once, and for how long they send requests.
const CLIENTS: usize = 4;
const CLIENTS_MS: u64 = 14_000;

fn main() {
    let case = Case::start();
    let endpoints: Vec<Endpoint> = (1..=8)
        .map(|i| {
            Endpoint::start(&case, &format!("s-{i}"), |_| Service {
                ms: SERVICE_MS,
                value_bytes: VALUE_BYTES,
            })
        })
        .collect();
    let list: Vec<_> = endpoints
        .iter()
        .map(|e| (e.name.clone(), e.address))
        .collect();
    let discovery = Discovery::start(&list);
    let ports = free_addresses(2);
    let (listen, http2) = (ports[0], ports[1]);
    let config = write_config(&case, "n1", listen, None, &discovery, &settings(1.2, 3.0));
    let toml = case.temp.join("n1.toml");
    std::fs::write(&toml, format!("[http2]\nlisten = \"{http2}\"\n")).expect("operator's file");
    let toml = toml.to_string_lossy().to_string();
    let _ingress = case.start_ingress("n1", &config, &[("DRIFTGAP_OPERATOR", toml)]);
    wait_until_ready(&case, "n1", listen);
    sleep_ms(500);

    let slow: Vec<_> = (0..SLOW_CLIENTS)
        .map(|number| {
            let record = case.record.clone();
            let trouble = case.trouble;
            std::thread::spawn(move || slow_client(&record, http2, number, trouble))
        })
        .collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = case.record.clone();
            std::thread::spawn(move || client(&record, listen, number))
        })
        .collect();
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    drop(slow);
    let ran: BTreeSet<String> = endpoints
        .iter()
        .flat_map(|e| e.received())
        .map(|r| r.id)
        .collect();
    let answered = outcomes.iter().filter(|o| o.answered).count();
    let lost: Vec<&Outcome> = outcomes.iter().filter(|o| !o.answered).collect();
    let lost_and_ran = lost.iter().filter(|o| ran.contains(&o.id)).count();
    if lost.is_empty() {
        case.end(
            HELD,
            &format!("all {answered} requests of the other clients were answered"),
        );
    }
    case.end(
        BROKEN,
        &format!(
            "{} requests of clients that read at once got no answer, {lost_and_ran} of them had run; {answered} were answered",
            lost.len()
        ),
    );
}

/// What became of a request.
struct Outcome {
    id: String,
    answered: bool,
}

/// Sends one request after the other and reads each answer at once.
fn client(record: &Record, at: SocketAddr, number: usize) -> Vec<Outcome> {
    let begun = Instant::now();
    let mut connection = Client::connect(at).expect("connect");
    let mut outcomes = Vec::new();
    while begun.elapsed() < Duration::from_millis(CLIENTS_MS) {
        let count = outcomes.len() + 1;
        let id = format!("c{number}-{count}");
        let customer = (1000 * (number + 1) + count) as u64;
        let request = fetch(customer, &id, DEADLINE_MS);
        connection.stream.write_all(&request).expect("write");
        let until = Instant::now() + Duration::from_millis(DEADLINE_MS + 500);
        let answered = match connection.read(until) {
            Read1::Answer(Answer::Served(value)) if value != value_for(&id, VALUE_BYTES) => {
                record.line(format!("client: {id}: a foreign value"));
                false
            }
            Read1::Answer(answer) => {
                record.line(format!("client: {id}: {}", answer.summary()));
                true
            }
            other => {
                record.line(format!("client: {id}: no answer: {other:?}"));
                connection = Client::connect(at).expect("connect");
                false
            }
        };
        outcomes.push(Outcome { id, answered });
        sleep_ms(100);
    }
    outcomes
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

/// A header without an index and without Huffman coding.
fn header(block: &mut Vec<u8>, name: &str, value: &str) {
    block.push(0);
    block.push(name.len() as u8);
    block.extend(name.bytes());
    block.push(value.len() as u8);
    block.extend(value.bytes());
}

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const END_HEADERS_AND_STREAM: u8 = 4 | 1;

/// Opens streams, one after the other, and reads all answers slowly: within the window that HTTP/2
/// gives by default, opened again by a few bytes at a time.
fn slow_client(record: &Record, at: SocketAddr, number: usize, slow: bool) {
    let mut stream = TcpStream::connect(at).expect("connect");
    let _ = stream.set_nodelay(true);
    stream
        .write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        .expect("preface");
    stream
        .write_all(&frame(SETTINGS, 0, 0, &[]))
        .expect("settings");
    let mut reader = stream.try_clone().expect("socket");
    let mut acks = stream.try_clone().expect("socket");
    let read_bytes = Arc::new(AtomicUsize::new(0));
    let ended = Arc::new(AtomicBool::new(false));
    let (counted, has_ended, ended_record) = (read_bytes.clone(), ended.clone(), record.clone());
    std::thread::spawn(move || {
        let mut head = [0; 9];
        while reader.read_exact(&mut head).is_ok() {
            let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
            let mut payload = vec![0; length];
            if reader.read_exact(&mut payload).is_err() {
                break;
            }
            match head[3] {
                SETTINGS if head[4] & 1 == 0 => {
                    let _ = acks.write_all(&frame(SETTINGS, 1, 0, &[]));
                }
                PING if head[4] & 1 == 0 => {
                    let _ = acks.write_all(&frame(PING, 1, 0, &payload));
                }
                DATA => {
                    counted.fetch_add(length, Ordering::SeqCst);
                    if !slow {
                        let bytes = (length as u32).to_be_bytes();
                        let _ = acks.write_all(&frame(WINDOW_UPDATE, 0, 0, &bytes));
                    }
                }
                _ => {}
            }
        }
        ended_record.line(format!("slow client {number}: connection ended"));
        has_ended.store(true, Ordering::SeqCst);
    });
    let mut window = Instant::now();
    let mut opened = 0;
    while !ended.load(Ordering::SeqCst) {
        if opened < STREAMS {
            let mut block = Vec::new();
            header(&mut block, ":method", "GET");
            header(&mut block, ":scheme", "http");
            header(&mut block, ":authority", "driftgap");
            header(&mut block, ":path", "/commands/fetch-episode");
            header(
                &mut block,
                "api-customer",
                &format!("{:016x}", 100_000 + 1000 * number + opened),
            );
            header(&mut block, "api-plan", "national");
            header(&mut block, "req-id", &format!("h{number}-{opened}"));
            header(&mut block, "req-deadline-ms", &DEADLINE_MS.to_string());
            header(&mut block, "api-terms", "units=1,spread=1,first=0");
            let id = 2 * opened as u32 + 1;
            if stream
                .write_all(&frame(HEADERS, END_HEADERS_AND_STREAM, id, &block))
                .is_err()
            {
                return;
            }
            opened += 1;
            if opened == STREAMS {
                record.line(format!("client h{number}: has opened {STREAMS} streams"));
            }
        }
        if slow && window.elapsed() > Duration::from_millis(SLOW_READ_PAUSE_MS) {
            window = Instant::now();
            let _ = stream.write_all(&frame(WINDOW_UPDATE, 0, 0, &SLOW_BYTES.to_be_bytes()));
        }
        sleep_ms(SLOW_PAUSE_MS);
    }
}
