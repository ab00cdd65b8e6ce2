//! The second front: HTTP/2 in the clear with prior knowledge, on the `h2` crate. It owns its listening
//! socket, the wording of requests and answers as headers, and the bounds on streams, headers, bodies and
//! resets. It must never keep rules of its own: a stream becomes a request of the core like any other, a
//! reset means that the client has gone. One rule of the house is given up here: h2 keeps its own
//! buffers, so a connection has no ring; the bounds below take its place.

use crate::config::operator_file::Http2Limits as Limits;
use crate::protocol::http2::{
    plain, push_body, push_coming, terms, text, wording, Body, DEADLINE, ID, PLAN,
    REQUEST_PATH_PREFIX, RETRY, TENANT, TERMS,
};
use crate::protocol::resp::MAX_VALUE;
use crate::request::{pairs, ClientRequest, FinalAnswer, InvalidRequest};
use crate::routing::{self, HeaderView};
use crate::runtime::dispatcher::{Dispatcher, ResponseSink};
use bytes::Bytes;
use driftgap_admin::DrainState;
use driftgap_routes::{Headers, Request as Seen, Route, Ticket, Verdict};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

/// Longest header list of one request.
const MAX_HEADERS: u32 = 16 * 1024;
/// Bytes that one connection may have sent us unread, and may keep for us to send.
const WINDOW: u32 = 256 * 1024;
const MAX_UNSENT: usize = 256 * 1024;
/// Resets that h2 remembers or has not handed over yet.
const MAX_RESETS: usize = 64;
/// Streams that a client may reset unanswered within a span, ms, before its connection is ended.
const RESETS: (u32, f64) = (200, 10_000.0);
/// A client that does not complete its preface, or read its answer, within this is cut off.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A client that is to leave and has no stream open, or has not opened its connection yet, has this long for that.
const LEAVE: Duration = Duration::from_millis(500);

/// Connections are looked through this often while the ingress is being emptied.
const LOOK: Duration = Duration::from_millis(100);

struct Connection {
    peer: IpAddr,
    leave: Notify,
    flood: Notify,
    leaving: Cell<bool>,
    streams: Cell<usize>,
    used: Cell<f64>,
    /// Resets since a time.
    resets: Cell<(u32, f64)>,
}

impl Connection {
    fn leave(&self) {
        if !self.leaving.replace(true) {
            self.leave.notify_one();
        }
    }
}

/// The front.
pub struct Http2Frontend {
    dispatcher: Rc<Dispatcher>,
    limits: Limits,
    connections: RefCell<HashMap<u64, Weak<Connection>>>,
    next: Cell<u64>,
}

impl Http2Frontend {
    /// A front with these bounds.
    pub fn new(dispatcher: Rc<Dispatcher>, limits: Limits) -> Rc<Http2Frontend> {
        Rc::new(Http2Frontend {
            dispatcher,
            limits,
            connections: RefCell::default(),
            next: Cell::new(0),
        })
    }

    /// Takes in connections until its task is ended.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            // With every place taken by somebody who is owed an answer, others wait in the listener's line.
            while self.connections() >= self.limits.connections {
                self.shed();
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            match listener.accept().await {
                Ok((stream, peer)) => self.open(stream, peer.ip()),
                Err(e) => {
                    tracing::warn!(error = %e, "accept");
                    self.shed();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream, peer: IpAddr) {
        let connection = Rc::new(Connection {
            peer,
            leave: Notify::new(),
            flood: Notify::new(),
            leaving: Cell::new(false),
            streams: Cell::new(0),
            used: Cell::new(self.dispatcher.now()),
            resets: Cell::new((0, self.dispatcher.now())),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.connections
            .borrow_mut()
            .insert(number, Rc::downgrade(&connection));
        if self.dispatcher.drain_state() >= DrainState::Draining {
            connection.leave();
        }
        let front = self.clone();
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            if let Err(e) = serve(&front, &connection, stream).await {
                tracing::debug!(error = %e, "http2 client");
            }
            front.connections.borrow_mut().remove(&number);
        });
    }

    /// Ends the connection that has been idle for longest; false: none is idle.
    fn shed(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter_map(Weak::upgrade);
        let idle = idle.filter(|c| c.streams.get() == 0 && !c.leaving.get());
        if let Some(connection) = idle.min_by(|a, b| a.used.get().total_cmp(&b.used.get())) {
            connection.leave();
            return true;
        }
        false
    }

    /// Ends all connections in order while the ingress is being emptied.
    pub async fn look(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            if self.dispatcher.drain_state() >= DrainState::Draining {
                self.leave();
            }
        }
    }

    /// Sends GOAWAY everywhere; open streams are finished.
    pub fn leave(&self) {
        let all: Vec<_> = self
            .connections
            .borrow()
            .values()
            .filter_map(Weak::upgrade)
            .collect();
        all.iter().for_each(|c| c.leave());
    }

    /// Connections held.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }
}

async fn serve(
    front: &Rc<Http2Frontend>,
    this: &Rc<Connection>,
    stream: TcpStream,
) -> Result<(), h2::Error> {
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(front.limits.streams)
        .max_header_list_size(MAX_HEADERS)
        .initial_window_size(MAX_VALUE as u32 + 1024)
        .initial_connection_window_size(WINDOW)
        .max_send_buffer_size(MAX_UNSENT)
        .max_concurrent_reset_streams(MAX_RESETS)
        .max_pending_accept_reset_streams(MAX_RESETS)
        .max_local_error_reset_streams(Some(MAX_RESETS));
    let mut connection = tokio::select! {
        connection = builder.handshake::<_, Bytes>(stream) => connection?,
        () = async { this.leave.notified().await; tokio::time::sleep(LEAVE).await } => return Ok(()),
        () = tokio::time::sleep(CLIENT_TIMEOUT) => return Ok(()),
    };
    if this.leaving.get() {
        // Told while the connection was opened.
        this.leave.notify_one();
    }
    let mut left: Option<Instant> = None;
    loop {
        tokio::select! {
            // Guards the places of others: a client that is cut off never acknowledges the end.
            () = tokio::time::sleep_until(left.unwrap_or_else(Instant::now)), if left.is_some() => {
                if this.streams.get() == 0 {
                    return Ok(());
                }
                left = Some(Instant::now() + LEAVE);
            }
            next = connection.accept() => match next {
                Some(next) => {
                    let (request, respond) = next?;
                    this.streams.set(this.streams.get() + 1);
                    this.used.set(front.dispatcher.now());
                    let (dispatcher, this) = (front.dispatcher.clone(), this.clone());
                    spawn_local(async move {
                        stream_task(&dispatcher, &this, request, respond).await;
                        this.streams.set(this.streams.get() - 1);
                        this.used.set(dispatcher.now());
                    });
                }
                None => return Ok(()),
            },
            () = this.leave.notified() => {
                connection.graceful_shutdown();
                left = Some(Instant::now() + LEAVE);
            }
            // Guards against a client that opens and resets streams for ever: each costs an attempt.
            () = this.flood.notified() => connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM),
        }
    }
}

/// One stream, from its headers to its answer.
async fn stream_task(
    dispatcher: &Rc<Dispatcher>,
    this: &Rc<Connection>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let arrived = dispatcher.now();
    let (tell, mut notified) = oneshot::channel();
    let client = Rc::new(Waiting(RefCell::new(Some(tell))));
    let id = Cell::new(0);
    match take(dispatcher, this.peer, request).await {
        Ok(Wanted::ClientRequest(mut request, places)) => {
            // Guards against work for nobody: the client may have gone behind what it wrote.
            if poll_fn(|cx| Poll::Ready(respond.poll_reset(cx).is_ready())).await {
                return count_reset(dispatcher, this);
            }
            // The wait counts from the client's send, not from the body's end.
            request.client_timeout_ms -= dispatcher.now() - arrived;
            dispatcher.arrive(*request, client, 0, places, |number| id.set(number));
        }
        Ok(Wanted::Away(retry_after_ms)) => {
            dispatcher.refuse(retry_after_ms, client, 0, |number| id.set(number))
        }
        Ok(Wanted::Word(status, word)) => {
            return send(dispatcher, respond, plain(status), word.into()).await
        }
        Err(Refused::Reset(reason)) => return respond.send_reset(reason),
        Err(Refused::Status(status, why)) => {
            return send(dispatcher, respond, plain(status), why.into()).await
        }
    }
    let answer = tokio::select! {
        biased;
        answer = &mut notified => answer,
        _ = poll_fn(|cx| respond.poll_reset(cx)) => {
            dispatcher.client_gone(id.get());
            return count_reset(dispatcher, this);
        }
    };
    if let Ok(answer) = answer {
        let (response, body) = wording(answer);
        match body {
            Body::Complete(body) => send(dispatcher, respond, response, body).await,
            Body::Streaming(value) => {
                let Ok(mut stream) = respond.send_response(response, false) else {
                    return;
                };
                // What is not whole must be seen not to be.
                if !push_coming(&mut stream, &value, CLIENT_TIMEOUT).await {
                    stream.send_reset(Reason::INTERNAL_ERROR);
                }
            }
        }
    }
}

/// A stream that waits for its answer.
struct Waiting(RefCell<Option<oneshot::Sender<FinalAnswer>>>);

impl ResponseSink for Waiting {
    fn answer(&self, _: u64, answer: FinalAnswer) {
        if let Some(tell) = self.0.borrow_mut().take() {
            // A stream that has just gone does not mind.
            let _ = tell.send(answer);
        }
    }
}

fn count_reset(dispatcher: &Dispatcher, this: &Connection) {
    let (now, (count, since)) = (dispatcher.now(), this.resets.get());
    let (count, since) = if now - since > RESETS.1 {
        (1, now)
    } else {
        (count + 1, since)
    };
    this.resets.set((count, since));
    if count > RESETS.0 {
        this.flood.notify_one();
    }
}

enum Wanted {
    /// A request, and its places under the operator's limits.
    ClientRequest(Box<ClientRequest>, Vec<Ticket>),
    /// Turned away by a rule, to come back after so long, ms.
    Away(f64),
    Word(StatusCode, &'static str),
}

enum Refused {
    Status(StatusCode, String),
    Reset(Reason),
}

fn bad(why: impl ToString) -> Refused {
    Refused::Status(StatusCode::BAD_REQUEST, why.to_string())
}

async fn take(
    dispatcher: &Dispatcher,
    peer: IpAddr,
    incoming: Request<RecvStream>,
) -> Result<Wanted, Refused> {
    let (head, mut stream) = incoming.into_parts();
    match head.uri.path() {
        "/-/ready" if dispatcher.ready() => return Ok(Wanted::Word(StatusCode::OK, "ready")),
        "/-/ready" => return Ok(Wanted::Word(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
        "/-/healthy" => return Ok(Wanted::Word(StatusCode::OK, "healthy")),
        _ => {}
    }
    let class = head.uri.path().strip_prefix(REQUEST_PATH_PREFIX);
    let route = if dispatcher.has_rules() {
        routed(dispatcher, peer, &head, class)?
    } else {
        Ok(Box::default())
    };
    let route = match route {
        Ok(route) => *route,
        Err(retry_after_ms) => return Ok(Wanted::Away(retry_after_ms)),
    };
    let (mut request, wait) = match (route.command, class) {
        (Some(mapped), _) => {
            let headers = HeaderView(&head.headers);
            let seen = seen(peer, &head, class, &headers);
            let request = routing::request(dispatcher.platform(), mapped, &seen, || {
                dispatcher.generate_request_id()
            });
            let request = request.map_err(refusal)?;
            let wait = request.client_timeout_ms;
            (request, wait)
        }
        (None, Some(class)) => {
            if head.method != Method::POST && head.method != Method::GET {
                return Err(Refused::Status(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "POST or GET".into(),
                ));
            }
            let (terms, wait) = terms(&head.headers, class).map_err(bad)?;
            let header = |name| text(&head.headers, name).map_err(bad);
            let (tenant, id) = (header(TENANT)?, header(ID)?);
            (
                ClientRequest::new(dispatcher.platform(), tenant, id, terms, None)
                    .map_err(refusal)?,
                wait,
            )
        }
        (None, None) => return Ok(Wanted::Word(StatusCode::NOT_FOUND, "no such path")),
    };
    let body = read_body(&mut stream, Duration::from_secs_f64(wait / 1e3)).await?;
    request
        .take_body(dispatcher.platform(), body)
        .map_err(refusal)?;
    (request.ask.pools, request.notes) = (route.pools, route.notes);
    Ok(Wanted::ClientRequest(Box::new(request), route.tickets))
}

/// As on every wire, these have failed; what is malformed is told from them.
fn refusal(problem: InvalidRequest) -> Refused {
    match problem {
        InvalidRequest::Class | InvalidRequest::Plan | InvalidRequest::Term("units") => {
            Refused::Status(StatusCode::BAD_GATEWAY, problem.to_string())
        }
        problem => bad(problem),
    }
}

/// A request as the operator's rules see it. What its headers say of a request counts as far as it makes sense;
/// what does not is told where the request is made.
fn seen<'a>(
    peer: IpAddr,
    head: &'a Parts,
    class: Option<&'a str>,
    headers: &'a dyn Headers,
) -> Seen<'a> {
    let named = |name| text(&head.headers, name).ok();
    let units = named(TERMS).and_then(|list| pairs(list).find(|(name, _)| *name == "units"));
    let deadline = named(DEADLINE).and_then(|ms| ms.parse::<f64>().ok());
    Seen {
        protocol: "http2",
        method: head.method.as_str(),
        path: head.uri.path(),
        query: head.uri.query(),
        host: head.uri.authority().map(|authority| authority.as_str()),
        headers,
        class,
        plan: named(PLAN),
        partner: named(TENANT),
        id: named(ID),
        units: units
            .and_then(|(_, units)| units.parse().ok())
            .filter(|units: &f64| units.is_finite()),
        deadline_ms: deadline
            .filter(|ms| (0.0..=3.6e6).contains(ms))
            .map(|ms| ms as i64),
        retry: head.headers.get(RETRY).is_some_and(|r| r == "1"),
        length: named("content-length").and_then(|length| length.parse().ok()),
        client: peer,
    }
}

/// A request's way through the operator's rules; or, in ms, when to come back.
fn routed(
    dispatcher: &Dispatcher,
    peer: IpAddr,
    head: &Parts,
    class: Option<&str>,
) -> Result<Result<Box<Route>, f64>, Refused> {
    let headers = HeaderView(&head.headers);
    match dispatcher.route(&seen(peer, head, class, &headers)) {
        Verdict::Go(route) => Ok(Ok(route)),
        Verdict::Reject { retry_after_ms, by } => {
            tracing::debug!(by, retry_after_ms, "refused by a rule");
            Ok(Err(retry_after_ms))
        }
        Verdict::Bad { rule, why } => {
            tracing::debug!(rule, why, "makes no sense to a rule");
            Err(bad(why))
        }
    }
}

/// A body, as long as it comes within `wait`. Its bytes stay in the connection's window until it is whole, so
/// that a connection never makes this ingress hold more than that window in bodies half come.
async fn read_body(stream: &mut RecvStream, wait: Duration) -> Result<Option<Vec<u8>>, Refused> {
    if stream.is_end_stream() {
        return Ok(None);
    }
    let mut body = Vec::new();
    let whole = timeout(wait, async {
        while let Some(part) = stream.data().await {
            let part = part.map_err(|_| Refused::Reset(Reason::CANCEL))?;
            body.extend_from_slice(&part);
            if body.len() > MAX_VALUE {
                let why = "the body is too long".to_string();
                return Err(Refused::Status(StatusCode::PAYLOAD_TOO_LARGE, why));
            }
        }
        Ok(())
    });
    let whole = whole.await.unwrap_or(Err(Refused::Reset(Reason::CANCEL)));
    // On a stream that has ended there is nothing to give back.
    let _ = stream.flow_control().release_capacity(body.len());
    whole.map(|()| Some(body))
}

/// Sends an answer as the client's window allows; one that does not read it is cut off.
async fn send(
    dispatcher: &Dispatcher,
    mut respond: SendResponse<Bytes>,
    response: Response<()>,
    body: Bytes,
) {
    let unsent = dispatcher.unsent_budget();
    if !unsent.add(body.len()) {
        return respond.send_reset(Reason::ENHANCE_YOUR_CALM);
    }
    let Ok(mut stream) = respond.send_response(response, body.is_empty()) else {
        return;
    };
    if body.is_empty() {
        return;
    }
    let all = timeout(CLIENT_TIMEOUT, push_body(&mut stream, body, true)).await;
    if all.is_err() {
        stream.send_reset(Reason::CANCEL);
    }
}
