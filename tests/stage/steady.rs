//! Clients that send requests in sequence, over RESP or HTTP/2, and record the result of each.

use super::{encode_request, read_some, Stage, Wire};
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

/// Units of a request: so few that no quota refuses it.
const UNITS: &str = "0.001";
/// Deadline that a client sends with each request, ms.
const DEADLINE_MS: &str = "1000";
/// Delay between two attempts to connect while the program restarts.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

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

/// The answer that a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A response with this value.
    Served(String),
    /// A refusal with this retry-after, ms.
    Refused(u64),
    /// Any other answer, as text.
    Other(String),
    /// No answer: the connection ended.
    Nothing,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: String,
    pub client_wire: Wire,
    pub tenant: u64,
    pub class: Class,
    pub answer: Answer,
    /// When the request was written.
    pub sent_at: Instant,
    /// Time from the request to its answer.
    pub took: Duration,
    /// Whether the program was killed while the request was in flight.
    pub killed: bool,
}

/// The clients of a test, with the state that they share.
pub struct SequentialClients {
    addresses: HashMap<&'static str, String>,
    sent: RefCell<Vec<SentRequest>>,
    next_number: Cell<u64>,
    kills: Cell<u64>,
    /// Whether clients may send; false while the program restarts.
    sending: watch::Sender<bool>,
    /// Number of requests that have ended.
    ended: watch::Sender<usize>,
    stopped: Cell<bool>,
    clients: RefCell<Vec<JoinHandle<()>>>,
}

impl SequentialClients {
    /// Creates a set without clients.
    pub fn new(stage: &Stage) -> Rc<SequentialClients> {
        Rc::new(SequentialClients {
            addresses: stage.ports.clone(),
            sent: RefCell::default(),
            next_number: Cell::default(),
            kills: Cell::default(),
            sending: watch::Sender::new(true),
            ended: watch::Sender::new(0),
            stopped: Cell::default(),
            clients: RefCell::default(),
        })
    }

    /// Adds a client of this tenant. The client sends from now on.
    pub fn client(self: &Rc<Self>, client_wire: Wire, tenant: u64, class: Class) {
        let steady = self.clone();
        let task = spawn_local(async move {
            match client_wire {
                Wire::Resp => steady.resp(tenant, class).await,
                Wire::Http2 => steady.http2(tenant, class).await,
            }
        });
        self.clients.borrow_mut().push(task);
    }

    /// Returns the number of requests that have ended.
    pub fn count(&self) -> usize {
        self.sent.borrow().len()
    }

    /// Returns the results from index `first` on.
    pub fn results_since(&self, first: usize) -> Vec<SentRequest> {
        self.sent.borrow()[first..].to_vec()
    }

    /// Waits until this many more requests have ended.
    pub async fn wait_for_results(&self, requests: usize) {
        let until = self.count() + requests;
        let mut ended = self.ended.subscribe();
        ended.wait_for(|ended| *ended >= until).await.unwrap();
    }

    /// Waits until a request ends for which `holds` returns true.
    pub async fn wait_until_any(&self, holds: impl Fn(&SentRequest) -> bool) {
        let (mut seen, mut ended) = (self.count(), self.ended.subscribe());
        loop {
            ended.wait_for(|ended| *ended > seen).await.unwrap();
            let new = self.results_since(seen);
            if new.iter().any(&holds) {
                return;
            }
            seen += new.len();
        }
    }

    /// Kills the program and starts it again. Requests in flight are lost, and none is sent until
    /// the program is ready.
    pub async fn restart(&self, stage: &mut Stage) {
        self.kills.set(self.kills.get() + 1);
        self.sending.send_replace(false);
        stage.restart().await;
        self.sending.send_replace(true);
    }

    /// Stops each client after the answer that it waits for. Returns all results.
    pub async fn stop(&self) -> Vec<SentRequest> {
        self.stopped.set(true);
        let clients = self.clients.take();
        for client in clients {
            client.await.unwrap();
        }
        self.sent.take()
    }

    /// Returns whether to send another request on a connection that was made after this many kills.
    async fn may_send_on(&self, kills: u64) -> bool {
        self.may_send().await && kills == self.kills.get()
    }

    /// Returns whether to send another request. Waits while the program restarts.
    async fn may_send(&self) -> bool {
        let mut sending = self.sending.subscribe();
        sending.wait_for(|sending| *sending).await.unwrap();
        !self.stopped.get()
    }

    async fn connect(&self, client_wire: Wire) -> TcpStream {
        let address = &self.addresses[if client_wire == Wire::Resp {
            "resp"
        } else {
            "http2"
        }];
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                return stream;
            }
            tokio::time::sleep(CONNECT_RETRY_DELAY).await;
        }
    }

    /// Returns a request that is about to be written, with the number of kills so far.
    fn begin(&self, client_wire: Wire, tenant: u64, class: Class) -> (SentRequest, u64) {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (id, answer) = (format!("s{number}"), Answer::Nothing);
        let (sent_at, took, killed) = (Instant::now(), Duration::ZERO, false);
        (
            SentRequest {
                id,
                client_wire,
                tenant,
                class,
                answer,
                sent_at,
                took,
                killed,
            },
            self.kills.get(),
        )
    }

    fn end(&self, (mut sent, kills): (SentRequest, u64), answer: Answer) {
        (sent.answer, sent.took) = (answer, sent.sent_at.elapsed());
        sent.killed = kills != self.kills.get();
        self.sent.borrow_mut().push(sent);
        self.ended.send_replace(self.count());
    }

    async fn resp(&self, tenant: u64, class: Class) {
        while self.may_send().await {
            let kills = self.kills.get();
            let (mut stream, mut buffer) = (self.connect(Wire::Resp).await, Vec::new());
            while self.may_send_on(kills).await {
                let begun = self.begin(Wire::Resp, tenant, class);
                let answer = ask_resp(&mut stream, &mut buffer, &begun.0).await;
                let disconnected = answer == Answer::Nothing;
                self.end(begun, answer);
                if disconnected {
                    break;
                }
            }
            // An orderly end leaves nothing unread: a duplicate answer would be in the buffer.
            assert!(
                buffer.is_empty(),
                "more than one answer: {}",
                String::from_utf8_lossy(&buffer)
            );
        }
    }

    async fn http2(&self, tenant: u64, class: Class) {
        while self.may_send().await {
            let kills = self.kills.get();
            let stream = self.connect(Wire::Http2).await;
            let Ok((mut send, connection)) = h2::client::handshake(stream).await else {
                continue;
            };
            let connection = spawn_local(connection);
            while self.may_send_on(kills).await {
                let begun = self.begin(Wire::Http2, tenant, class);
                let answer = ask_http2(&mut send, &begun.0).await;
                let answer = answer.unwrap_or(Answer::Nothing);
                let disconnected = answer == Answer::Nothing;
                self.end(begun, answer);
                if disconnected {
                    break;
                }
            }
            connection.abort();
        }
    }
}

async fn ask_resp(stream: &mut TcpStream, buffer: &mut Vec<u8>, sent: &SentRequest) -> Answer {
    let terms = format!(
        "c={},t=city,d={DEADLINE_MS},units={UNITS},spread=1,first=0",
        sent.class.name()
    );
    let tenant = format!("{:016x}", sent.tenant);
    let words = match sent.class {
        Class::Fetch => vec!["SVC.QUERY", &tenant, &sent.id, &terms],
        Class::Booking => vec!["SVC.SUBMIT", &tenant, &sent.id, &terms, "body"],
    };
    if stream
        .write_all(encode_request(&words).as_bytes())
        .await
        .is_err()
    {
        return Answer::Nothing;
    }
    loop {
        if let Ok(Parsed::Complete(reply, used)) = endpoint_reply(buffer) {
            let answer = match reply {
                Reply::Bulk(Some(value)) => {
                    Answer::Served(String::from_utf8_lossy(value).to_string())
                }
                Reply::Error(error) => answer_from_error(&String::from_utf8_lossy(error)),
                other => Answer::Other(format!("{other:?}")),
            };
            buffer.drain(..used);
            return answer;
        }
        if !read_some(stream, buffer).await {
            return Answer::Nothing;
        }
    }
}

fn answer_from_error(error: &str) -> Answer {
    let retry_after_ms = error
        .strip_prefix("BUSY ")
        .and_then(|ms| ms.trim().parse().ok());
    retry_after_ms.map_or(Answer::Other(error.to_string()), Answer::Refused)
}

/// Returns none if the connection has ended.
async fn ask_http2(
    send: &mut h2::client::SendRequest<Bytes>,
    sent: &SentRequest,
) -> Option<Answer> {
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
        (200, _) => Answer::Served(value),
        (429 | 503, Some(retry_after_ms)) => Answer::Refused(retry_after_ms),
        (other, _) => Answer::Other(other.to_string()),
    })
}
