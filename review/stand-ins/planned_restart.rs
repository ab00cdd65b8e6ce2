//! A planned restart. Clients go on sending on the connections that they have for as long as these
//! stay open, with a command every 60 ms on each.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::VecDeque;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections. On each, a command is sent at this interval, with at most so many under way.
const CLIENTS: usize = 6;
const PACE_MS: u64 = 60;
const MOST_UNDER_WAY: usize = 16;
/// A booking's work, ms: within the 82 to 140 ms of the brief.
const SERVICE_MS: u64 = 130;
/// The deadlines of the brief.
const FETCH_DEADLINE: f64 = 1.2;
const BOOK_DEADLINE: f64 = 3.0;
const BOOK_DEADLINE_MS: u64 = 3000;
/// SIGKILL comes this long after SIGTERM, ms, not sooner than the longest deadline and 0.7 s.
const KILL_MS: u64 = 3800;
/// A request that came later than this after SIGTERM is lost if it has no answer, ms.
const LATE_MS: f64 = 700.0;

struct Sent {
    id: String,
    /// When its last byte was written, ms on the record.
    written_ms: f64,
    answer: Option<Answer>,
}

fn main() {
    let case = Case::start();
    let endpoints: Vec<Endpoint> = (1..=4)
        .map(|i| {
            Endpoint::start(&case, &format!("s-{i}"), |_| Service {
                ms: SERVICE_MS,
                value_bytes: 200,
            })
        })
        .collect();
    let list: Vec<_> = endpoints
        .iter()
        .map(|e| (e.name.clone(), e.address))
        .collect();
    let discovery = Discovery::start(&list);
    let listen = free_address();
    let settings = settings(FETCH_DEADLINE, BOOK_DEADLINE);
    let config = write_config(&case, "n1", listen, None, &discovery, &settings);
    let mut ingress = case.start_ingress("n1", &config, &[]);
    wait_until_ready(&case, "n1", listen);
    sleep_ms(500);

    let stop_sending = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stop_sending) = (case.record.clone(), stop_sending.clone());
            std::thread::spawn(move || client(&record, listen, number, &stop_sending))
        })
        .collect();
    sleep_ms(1000);
    let stop_ms = case.record.ms();
    if case.trouble {
        ingress.signal(SIGTERM);
        let kill_at = Instant::now() + Duration::from_millis(KILL_MS);
        while Instant::now() < kill_at && !ingress.has_ended() {
            sleep_ms(5);
        }
        if ingress.has_ended() {
            let ms = case.record.ms() - stop_ms;
            case.record
                .line(format!("n1: has ended by itself {ms:.0} ms after SIGTERM"));
        } else {
            ingress.signal(SIGKILL);
            ingress.wait();
        }
    } else {
        sleep_ms(KILL_MS);
        stop_sending.store(true, Ordering::SeqCst);
    }
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|c| c.join().unwrap())
        .collect();
    sleep_ms(300);
    let ran: Vec<Received> = endpoints.iter().flat_map(|e| e.received()).collect();
    let mut lost = Vec::new();
    let mut unread = 0;
    for sent in sent.iter().filter(|sent| sent.answer.is_none()) {
        match ran.iter().find(|r| r.id == sent.id) {
            Some(run) => {
                let (written, begun) = (sent.written_ms - stop_ms, run.ms - stop_ms);
                case.record.line(format!(
                    "no answer: {}: written whole {written:.0} ms after SIGTERM, run by {} at {begun:.0} ms",
                    sent.id, run.endpoint
                ));
                if written > LATE_MS || !case.trouble {
                    lost.push(sent.id.clone());
                }
            }
            // The client sends a request that the ingress has not read once more.
            None => unread += 1,
        }
    }
    let answered = sent.iter().filter(|sent| sent.answer.is_some()).count();
    let summary = format!("{answered} requests answered, {unread} not read by the ingress");
    if lost.is_empty() {
        case.end(
            HELD,
            &format!("every request that was read and forwarded got its answer; {summary}"),
        );
    }
    case.end(
        BROKEN,
        &format!(
            "{} bookings were read after SIGTERM, forwarded and run, and got no answer ({}); {summary}",
            lost.len(),
            lost.join(" ")
        ),
    );
}

/// Sends a command every `PACE_MS` on one connection, whether or not the earlier ones are answered,
/// until the connection ends or the client is told to stop sending.
fn client(record: &Record, at: SocketAddr, number: usize, stop_sending: &AtomicBool) -> Vec<Sent> {
    let client = Client::connect(at).expect("connect");
    let mut writer = client.stream.try_clone().expect("socket");
    let under_way: Arc<Mutex<VecDeque<Sent>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let (queue, has_ended, reader_record) = (under_way.clone(), ended.clone(), record.clone());
    let reader = std::thread::spawn(move || {
        read_answers(&reader_record, client, number, &queue, &has_ended)
    });
    let mut count = 0;
    let begun = Instant::now() + Duration::from_millis(PACE_MS * number as u64 / CLIENTS as u64);
    while !ended.load(Ordering::SeqCst) && !stop_sending.load(Ordering::SeqCst) {
        let due = begun + Duration::from_millis(PACE_MS * count);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        count += 1;
        if under_way.lock().unwrap().len() >= MOST_UNDER_WAY {
            continue;
        }
        let id = format!("b-{number}-{count}");
        let customer = 100_000 * (number as u64 + 1) + count;
        under_way.lock().unwrap().push_back(Sent {
            id: id.clone(),
            written_ms: f64::INFINITY,
            answer: None,
        });
        if writer
            .write_all(&book(customer, &id, BOOK_DEADLINE_MS))
            .is_err()
        {
            break;
        }
        let ms = record.ms();
        for sent in under_way
            .lock()
            .unwrap()
            .iter_mut()
            .filter(|sent| sent.id == id)
        {
            sent.written_ms = ms;
        }
    }
    if stop_sending.load(Ordering::SeqCst) {
        // All commands are written: their answers are awaited for as long as the client waits.
        let until = Instant::now() + Duration::from_millis(BOOK_DEADLINE_MS + 500);
        while Instant::now() < until && !under_way.lock().unwrap().is_empty() {
            sleep_ms(10);
        }
        ended.store(true, Ordering::SeqCst);
    }
    let mut done = reader.join().unwrap();
    done.extend(under_way.lock().unwrap().drain(..));
    done
}

fn read_answers(
    record: &Record,
    mut client: Client,
    number: usize,
    under_way: &Mutex<VecDeque<Sent>>,
    ended: &AtomicBool,
) -> Vec<Sent> {
    let mut done = Vec::new();
    while !ended.load(Ordering::SeqCst) {
        match client.read(Instant::now() + Duration::from_millis(50)) {
            Read1::Answer(answer) => {
                let mut sent = under_way
                    .lock()
                    .unwrap()
                    .pop_front()
                    .expect("a command under way");
                record.line(format!("client: {}: {}", sent.id, answer.summary()));
                sent.answer = Some(answer);
                done.push(sent);
            }
            Read1::TimedOut => {}
            ended_by => {
                let left = under_way.lock().unwrap().len();
                record.line(format!(
                    "client {number}: {ended_by:?}, {left} commands under way"
                ));
                ended.store(true, Ordering::SeqCst);
            }
        }
    }
    done
}
