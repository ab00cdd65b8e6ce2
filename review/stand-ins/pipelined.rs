//! A client sends many commands at once on one connection; the first takes longer than the others.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// Commands behind the first one.
const FETCHES: usize = 40;
/// Size of a value, bytes: under the protocol's 64 KiB.
const VALUE_BYTES: usize = 60_000;
const FETCH_MS: u64 = 40;
const BOOK_MS: u64 = 250;
const FETCH_DEADLINE_MS: u64 = 1200;
const BOOK_DEADLINE_MS: u64 = 3000;

fn main() {
    let case = Case::start();
    let endpoints: Vec<Endpoint> = (1..=4)
        .map(|i| {
            Endpoint::start(&case, &format!("s-{i}"), |command| {
                if command.class == "book-rebroadcast" {
                    Service {
                        ms: BOOK_MS,
                        value_bytes: 20,
                    }
                } else {
                    Service {
                        ms: FETCH_MS,
                        value_bytes: VALUE_BYTES,
                    }
                }
            })
        })
        .collect();
    let list: Vec<_> = endpoints
        .iter()
        .map(|e| (e.name.clone(), e.address))
        .collect();
    let discovery = Discovery::start(&list);
    let listen = free_address();
    let config = write_config(&case, "n1", listen, None, &discovery, &settings(1.2, 3.0));
    let _ingress = case.start_ingress("n1", &config, &[]);
    wait_until_ready(&case, "n1", listen);
    sleep_ms(500);

    // The first command books a rebroadcast, the others fetch episodes, each for its own customer.
    let mut commands = vec![("b-1".to_string(), book(1, "b-1", BOOK_DEADLINE_MS))];
    for i in 0..FETCHES {
        let id = format!("f-{}", i + 1);
        let bytes = fetch(100 + i as u64, &id, FETCH_DEADLINE_MS);
        commands.push((id, bytes));
    }
    let mut client = Client::connect(listen).expect("connect");
    let limit = Duration::from_millis(BOOK_DEADLINE_MS + 500);
    let mut answers = Vec::new();
    let mut ended = None;
    if case.trouble {
        let all: Vec<u8> = commands
            .iter()
            .flat_map(|(_, bytes)| bytes.clone())
            .collect();
        client.stream.write_all(&all).expect("write");
        case.record.line(format!(
            "client: wrote {} commands at once, the last byte included",
            commands.len()
        ));
        let until = Instant::now() + limit;
        for (id, _) in &commands {
            match client.read(until) {
                Read1::Answer(answer) => {
                    case.record
                        .line(format!("client: {id}: {}", answer.summary()));
                    answers.push((id.clone(), answer));
                }
                other => {
                    ended = Some(other);
                    break;
                }
            }
        }
    } else {
        for (id, bytes) in &commands {
            client.stream.write_all(bytes).expect("write");
            case.record.line(format!("client: wrote {id}"));
            match client.read(Instant::now() + limit) {
                Read1::Answer(answer) => {
                    case.record
                        .line(format!("client: {id}: {}", answer.summary()));
                    answers.push((id.clone(), answer));
                }
                other => {
                    ended = Some(other);
                    break;
                }
            }
        }
    }
    if let Some(ended) = &ended {
        case.record.line(format!(
            "client: {ended:?} after {} whole answers and {} bytes more",
            answers.len(),
            client.unread.len()
        ));
    }
    sleep_ms(300);
    // A value has to be the one that an endpoint made for this request.
    let foreign = answers.iter().filter(|(id, answer)| match answer {
        Answer::Served(value) => {
            let size = if id.starts_with('b') { 20 } else { VALUE_BYTES };
            *value != value_for(id, size)
        }
        Answer::Line(_) => false,
    });
    let foreign = foreign.count();
    let unanswered: Vec<&String> = commands[answers.len()..].iter().map(|(id, _)| id).collect();
    let ran: usize = endpoints
        .iter()
        .map(|e| {
            e.received()
                .iter()
                .filter(|r| unanswered.contains(&&r.id))
                .count()
        })
        .sum();
    let bookings = unanswered.iter().filter(|id| id.starts_with('b')).count();
    if unanswered.is_empty() && foreign == 0 {
        case.end(HELD, "every command has its one whole answer");
    }
    case.end(
        BROKEN,
        &format!(
            "{} of {} commands got no answer ({ended:?}), {bookings} of them with an effect; {ran} of them ran; {foreign} foreign values",
            unanswered.len(),
            commands.len()
        ),
    );
}
