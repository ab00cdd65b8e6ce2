//! RESP clients that keep sending requests on one connection, whether or not earlier ones are
//! answered, until the connection ends.

use super::clients::connect;
use super::{encode_request, Stage};
use driftgap::protocol::resp::{endpoint_reply, Parsed, Reply};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::{spawn_local, JoinHandle};

/// Terms of every request: so few units that no quota refuses it.
const TERMS: &str = "c=book-rebroadcast,t=city,d=3000,units=0.001,spread=1,first=0";

const TENANT: &str = "0000000000000007";

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused,
    Failed,
}

/// A booking that a client has begun to write.
#[derive(Clone, Debug)]
pub struct Booking {
    pub id: String,
    /// The answer and when it was read; `None` if the connection ended before it.
    pub answer: Option<(Answer, Instant)>,
}

/// One client's connection.
#[derive(Default)]
struct Connection {
    bookings: RefCell<Vec<Booking>>,
    answered: Cell<usize>,
    ended: Cell<bool>,
}

/// How a client reads its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// As soon as they arrive.
    AtOnce,
    /// At [`SLOW_READ_RATE`], with a small receive buffer: most wait at the program's system.
    Slowly,
}

/// Rate of a client that reads slowly, bytes a second, and its pause between two reads.
const SLOW_READ_RATE: f64 = 230e3;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(10);

/// Clients that send until their connections end.
pub struct PipelinedClients {
    connections: Vec<Rc<Connection>>,
    tasks: Vec<JoinHandle<()>>,
}

impl PipelinedClients {
    /// Connects `count` clients. Each sends a booking every `pace`; with a pace of zero, as fast as
    /// the connection takes them.
    pub async fn start(
        stage: &Stage,
        count: usize,
        pace: Duration,
        reading: Reading,
    ) -> PipelinedClients {
        let (mut connections, mut tasks) = (Vec::new(), Vec::new());
        for client in 0..count {
            let stream = connect(&stage.ports["resp"], reading == Reading::Slowly).await;
            stream.set_nodelay(true).unwrap();
            let (read, write) = stream.into_split();
            let connection = Rc::new(Connection::default());
            tasks.push(spawn_local(send(connection.clone(), write, client, pace)));
            tasks.push(spawn_local(receive(connection.clone(), read, reading)));
            connections.push(connection);
        }
        PipelinedClients { connections, tasks }
    }

    /// Waits until every connection has ended. Returns all bookings.
    pub async fn ended(self) -> Vec<Booking> {
        for task in self.tasks {
            task.await.unwrap();
        }
        let bookings = self.connections.iter().map(|c| c.bookings.take());
        bookings.flatten().collect()
    }
}

async fn send(
    connection: Rc<Connection>,
    mut write: OwnedWriteHalf,
    client: usize,
    pace: Duration,
) {
    let mut next_at = Instant::now();
    for number in 0.. {
        tokio::time::sleep_until(next_at.into()).await;
        next_at += pace;
        if connection.ended.get() {
            return;
        }
        let id = format!("p{client}-{number}");
        let text = encode_request(&["SVC.SUBMIT", TENANT, &id, TERMS, "body"]);
        connection
            .bookings
            .borrow_mut()
            .push(Booking { id, answer: None });
        if write.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        if pace.is_zero() {
            tokio::task::yield_now().await;
        }
    }
}

async fn receive(connection: Rc<Connection>, mut read: OwnedReadHalf, reading: Reading) {
    let mut buffer = Vec::new();
    let (started_at, mut total) = (Instant::now(), 0);
    loop {
        while let Ok(Parsed::Complete(reply, used)) = endpoint_reply(&buffer) {
            let answer = match reply {
                Reply::Bulk(Some(_)) => Answer::Served,
                Reply::Error(error) if error.starts_with(b"BUSY") => Answer::Refused,
                Reply::Error(error) if error.starts_with(b"ERR failed") => Answer::Failed,
                other => panic!("unexpected answer: {other:?}"),
            };
            buffer.drain(..used);
            let position = connection.answered.replace(connection.answered.get() + 1);
            connection.bookings.borrow_mut()[position].answer = Some((answer, Instant::now()));
        }
        let more = match reading {
            Reading::AtOnce => read.read_buf(&mut buffer).await,
            Reading::Slowly => {
                tokio::time::sleep(SLOW_READ_PAUSE).await;
                let allowed = (started_at.elapsed().as_secs_f64() * SLOW_READ_RATE) as u64;
                if allowed <= total {
                    continue;
                }
                let mut few = (&mut read).take(allowed - total);
                few.read_buf(&mut buffer).await
            }
        };
        match more {
            Ok(count) if count > 0 => total += count as u64,
            _ => {
                connection.ended.set(true);
                return;
            }
        }
    }
}
