//! Clients that send one request after the other, on either wire, and keep what became of each.

use super::{read_some, Stage, Wire};
use bytes::Bytes;
use driftgap::protocol::resp::{endpoint_reply, Parsed, Reply};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinHandle};

/// Units of a request: so few that no plan refuses it.
const UNITS: &str = "0.001";
/// How long a client waits for an answer, by its own word.
const DEADLINE_MS: &str = "1000";
/// Between two tries to connect to a program that is being started.
const CONNECT_AGAIN: Duration = Duration::from_millis(5);

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Fetch,
    /// With an effect.
    Booking,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Class::Fetch => "fetch-episode",
            Class::Booking => "book-rebroadcast",
        }
    }
}

/// What a client was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notified {
    /// The value.
    Served(String),
    /// To come back in so many ms.
    Refused(u64),
    /// Something else.
    Other(String),
    /// Nothing: the connection ended.
    Nothing,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub front: Wire,
    pub tenant: u64,
    pub class: Class,
    pub notified: Notified,
    /// When it was written.
    pub at: Instant,
    /// How long its answer took.
    pub took: Duration,
    /// The program was killed while it was out.
    pub killed: bool,
}

/// What the clients of a test share.
pub struct Steady {
    addresses: HashMap<&'static str, String>,
    sent: RefCell<Vec<Sent>>,
    numbers: Cell<u64>,
    kills: Cell<u64>,
    /// Whether they send.
    open: watch::Sender<bool>,
    /// How many requests have ended.
    ended: watch::Sender<usize>,
    stopped: Cell<bool>,
    clients: RefCell<Vec<JoinHandle<()>>>,
}

impl Steady {
    /// No clients yet.
    pub fn new(stage: &Stage) -> Rc<Steady> {
        Rc::new(Steady {
            addresses: stage.ports.clone(),
            sent: RefCell::default(),
            numbers: Cell::default(),
            kills: Cell::default(),
            open: watch::Sender::new(true),
            ended: watch::Sender::new(0),
            stopped: Cell::default(),
            clients: RefCell::default(),
        })
    }

    /// A further client, of this tenant, that sends from now on.
    pub fn client(self: &Rc<Self>, front: Wire, tenant: u64, class: Class) {
        let steady = self.clone();
        let task = spawn_local(async move {
            match front {
                Wire::Resp => steady.resp(tenant, class).await,
                Wire::Http2 => steady.http2(tenant, class).await,
            }
        });
        self.clients.borrow_mut().push(task);
    }

    /// Requests that have ended so far.
    pub fn count(&self) -> usize {
        self.sent.borrow().len()
    }

    /// What became of each, from one on.
    pub fn since(&self, first: usize) -> Vec<Sent> {
        self.sent.borrow()[first..].to_vec()
    }

    /// Waits until so many further requests have ended.
    pub async fn further(&self, requests: usize) {
        let until = self.count() + requests;
        let mut ended = self.ended.subscribe();
        ended.wait_for(|ended| *ended >= until).await.unwrap();
    }

    /// Waits until one has ended of which this holds.
    pub async fn until(&self, holds: impl Fn(&Sent) -> bool) {
        let (mut seen, mut ended) = (self.count(), self.ended.subscribe());
        loop {
            ended.wait_for(|ended| *ended > seen).await.unwrap();
            let new = self.since(seen);
            if new.iter().any(&holds) {
                return;
            }
            seen += new.len();
        }
    }

    /// Kills the program and starts it again. What is out then is lost, and nothing is sent meanwhile.
    pub async fn restart(&self, stage: &mut Stage) {
        self.kills.set(self.kills.get() + 1);
        self.open.send_replace(false);
        stage.restart().await;
        self.open.send_replace(true);
    }

    /// Has every client end behind the answer that it waits for; what became of every request.
    pub async fn stop(&self) -> Vec<Sent> {
        self.stopped.set(true);
        let clients = self.clients.take();
        for client in clients {
            client.await.unwrap();
        }
        self.sent.take()
    }

    /// Whether to send one more on a connection that came up behind so many kills.
    async fn goes_on_here(&self, kills: u64) -> bool {
        self.goes_on().await && kills == self.kills.get()
    }

    /// Whether to send one more.
    async fn goes_on(&self) -> bool {
        let mut open = self.open.subscribe();
        open.wait_for(|open| *open).await.unwrap();
        !self.stopped.get()
    }

    async fn connect(&self, front: Wire) -> TcpStream {
        let address = &self.addresses[if front == Wire::Resp { "resp" } else { "http2" }];
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                return stream;
            }
            tokio::time::sleep(CONNECT_AGAIN).await;
        }
    }

    /// A request that is about to be written.
    fn begin(&self, front: Wire, tenant: u64, class: Class) -> (Sent, u64) {
        let number = self.numbers.replace(self.numbers.get() + 1);
        let (id, notified) = (format!("s{number}"), Notified::Nothing);
        let (at, took, killed) = (Instant::now(), Duration::ZERO, false);
        (
            Sent {
                id,
                front,
                tenant,
                class,
                notified,
                at,
                took,
                killed,
            },
            self.kills.get(),
        )
    }

    fn end(&self, (mut sent, kills): (Sent, u64), notified: Notified) {
        (sent.notified, sent.took) = (notified, sent.at.elapsed());
        sent.killed = kills != self.kills.get();
        self.sent.borrow_mut().push(sent);
        self.ended.send_replace(self.count());
    }

    async fn resp(&self, tenant: u64, class: Class) {
        while self.goes_on().await {
            let kills = self.kills.get();
            let (mut stream, mut buffer) = (self.connect(Wire::Resp).await, Vec::new());
            while self.goes_on_here(kills).await {
                let begun = self.begin(Wire::Resp, tenant, class);
                let notified = ask_resp(&mut stream, &mut buffer, &begun.0).await;
                let cut = notified == Notified::Nothing;
                self.end(begun, notified);
                if cut {
                    break;
                }
            }
            // Whoever closes in order has nothing left to read: a second answer would be here.
            assert!(
                buffer.is_empty(),
                "more than one answer: {}",
                String::from_utf8_lossy(&buffer)
            );
        }
    }

    async fn http2(&self, tenant: u64, class: Class) {
        while self.goes_on().await {
            let kills = self.kills.get();
            let stream = self.connect(Wire::Http2).await;
            let Ok((mut send, connection)) = h2::client::handshake(stream).await else {
                continue;
            };
            let connection = spawn_local(connection);
            while self.goes_on_here(kills).await {
                let begun = self.begin(Wire::Http2, tenant, class);
                let notified = ask_http2(&mut send, &begun.0).await;
                let notified = notified.unwrap_or(Notified::Nothing);
                let cut = notified == Notified::Nothing;
                self.end(begun, notified);
                if cut {
                    break;
                }
            }
            connection.abort();
        }
    }
}

async fn ask_resp(stream: &mut TcpStream, buffer: &mut Vec<u8>, sent: &Sent) -> Notified {
    let terms = format!(
        "c={},t=city,d={DEADLINE_MS},units={UNITS},spread=1,first=0",
        sent.class.name()
    );
    let tenant = format!("{:016x}", sent.tenant);
    let words = match sent.class {
        Class::Fetch => vec!["SVC.QUERY", &tenant, &sent.id, &terms],
        Class::Booking => vec!["SVC.SUBMIT", &tenant, &sent.id, &terms, "body"],
    };
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text.push_str(&format!("${}\r\n{word}\r\n", word.len()));
    }
    if stream.write_all(text.as_bytes()).await.is_err() {
        return Notified::Nothing;
    }
    loop {
        if let Ok(Parsed::Complete(reply, used)) = endpoint_reply(buffer) {
            let notified = match reply {
                Reply::Bulk(Some(value)) => {
                    Notified::Served(String::from_utf8_lossy(value).to_string())
                }
                Reply::Error(error) => notified_by_error(&String::from_utf8_lossy(error)),
                other => Notified::Other(format!("{other:?}")),
            };
            buffer.drain(..used);
            return notified;
        }
        if !read_some(stream, buffer).await {
            return Notified::Nothing;
        }
    }
}

fn notified_by_error(error: &str) -> Notified {
    let retry_after_ms = error
        .strip_prefix("BUSY ")
        .and_then(|ms| ms.trim().parse().ok());
    retry_after_ms.map_or(Notified::Other(error.to_string()), Notified::Refused)
}

/// None: the connection has ended.
async fn ask_http2(send: &mut h2::client::SendRequest<Bytes>, sent: &Sent) -> Option<Notified> {
    let request = http::Request::post(format!("http://ingress/commands/{}", sent.class.name()))
        .header("api-customer", format!("{:016x}", sent.tenant))
        .header("req-id", &sent.id)
        .header("api-plan", "city")
        .header("req-deadline-ms", DEADLINE_MS)
        .header("api-terms", format!("units={UNITS},spread=1,first=0"))
        .body(())
        .unwrap();
    let mut ready = send.clone().ready().await.ok()?;
    let (response, mut body) = ready.send_request(request, false).ok()?;
    let content: &[u8] = if sent.class == Class::Booking {
        b"body"
    } else {
        b""
    };
    body.send_data(Bytes::from_static(content), true).ok()?;
    let (head, mut body) = response.await.ok()?.into_parts();
    let mut value = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.ok()?;
        let _ = body.flow_control().release_capacity(part.len());
        value.extend_from_slice(&part);
    }
    let retry_after_ms = head
        .headers
        .get("retry-after-ms")
        .and_then(|ms| ms.to_str().ok()?.parse().ok());
    let value = String::from_utf8_lossy(&value).to_string();
    Some(match (head.status.as_u16(), retry_after_ms) {
        (200, _) => Notified::Served(value),
        (429 | 503, Some(retry_after_ms)) => Notified::Refused(retry_after_ms),
        (other, _) => Notified::Other(other.to_string()),
    })
}
