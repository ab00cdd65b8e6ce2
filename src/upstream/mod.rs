//! Connections to endpoints. It owns their pools (one attempt at a time on a connection, newest first, idle
//! ones retired well before the endpoint would, or sooner where they are found dead), the cap learnt from
//! failed connects, and the word on whether an attempt may have run. It must never send an attempt again of its own accord, leave an
//! abandoned attempt's connection open, or reuse one whose peer has closed it.

use crate::buffer::body_stream::BodySender;
use crate::buffer::ring_buffer::RingBuffer;
use crate::config::settings::Platform;
use crate::decision::driver::{EndpointId, RequestId};
use crate::decision::Outcome;
use crate::discovery::registry::EndpointProtocol;
use crate::protocol::http2;
use crate::protocol::resp::{
    self, endpoint_reply, large_reply, large_rest, push_request, push_words, Large, Parsed, Reply,
    MAX_PASSED, MAX_VALUE,
};
use crate::request::{pairs, AttemptResult, AttemptStart, ResponseBody};
use crate::runtime::dispatcher::Dispatcher;
use bytes::Bytes;
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, timeout_at};

/// Share of the idle time in the settings after which a connection is retired.
const RETIRE: f64 = 0.6;
/// Share of dead connections at which they are not used again, beyond that of new ones; attempts that it takes
/// to believe so; part of what is known that is kept each second.
const MAX_DEAD: f64 = 0.03;
const DOUBT: f64 = 20.0;
const FADE: f64 = 0.95;
/// A connection rests this long behind an answer, ms: a second one may come some milliseconds late.
const REST_MS: f64 = 10.0;
/// Largest reply: value, figures and report.
const MAX_REPLY: usize = 256 * 1024;
/// A reply that has begun and of which nothing more comes for so many times of a connect's wait is spoilt; a large
/// value that is being passed on is given up by this, ms, since then there is no way back.
const STALLED: u32 = 2;
const STALLED_PASSING: Duration = Duration::from_millis(3000);
/// So much of a large value must have come before it is passed on. Guards against a length that is wrong: until
/// then the attempt can be made elsewhere.
const EARNEST: usize = 4 * 1024;
/// Bytes that all streams of a shared connection together may have unread: those of clients that read slowly must not
/// hold up the others.
const SHARED_WINDOW: u32 = 4 * 1024 * 1024;
/// Connections at an endpoint under which a failed connect says nothing of its limit.
const MIN_CAP: usize = 8;
/// A learnt cap is lifted by one after each such span, ms.
const LIFT_MS: f64 = 1000.0;

/// How often a request met a dead connection, by how long it had been idle: what endpoints, or machines on the
/// way, close without a word shows only in the next request, which may have run. The first place is for new
/// connections, the others for idle times up to 8, 16, 32 ms and so on. Memory fades, so that it is tried again.
#[derive(Default)]
struct Ages {
    tried: [f64; 13],
    dead: [f64; 13],
}

impl Ages {
    fn place(&self, idle_ms: Option<f64>) -> usize {
        let doublings = |ms: f64| (ms.max(1.0).log2() as usize).saturating_sub(2) + 1;
        idle_ms.map_or(0, doublings).min(self.tried.len() - 1)
    }

    fn note(&mut self, place: usize, dead: bool) {
        self.tried[place] += 1.0;
        self.dead[place] += f64::from(u8::from(dead));
    }

    fn fade(&mut self) {
        self.tried
            .iter_mut()
            .chain(&mut self.dead)
            .for_each(|n| *n *= FADE);
    }

    /// Whether a connection that was idle for so long is worse than a new one. Older ones are no better.
    fn stale(&self, place: usize) -> bool {
        let share = |i: usize| self.dead[i] / (self.tried[i] + DOUBT);
        (1..=place).any(|i| share(i) > share(0) + MAX_DEAD)
    }
}

/// A place among the open connections, given back when dropped.
struct Seat {
    all: Rc<Cell<usize>>,
    here: Rc<Cell<usize>>,
}

impl Seat {
    fn take(all: &Rc<Cell<usize>>, here: &Rc<Cell<usize>>) -> Seat {
        all.set(all.get() + 1);
        here.set(here.get() + 1);
        Seat {
            all: all.clone(),
            here: here.clone(),
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.all.set(self.all.get() - 1);
        self.here.set(self.here.get() - 1);
    }
}

/// A connection to an endpoint.
struct Link {
    stream: TcpStream,
    addr: SocketAddr,
    input: RefCell<RingBuffer>,
    output: RefCell<RingBuffer>,
    /// Its place among the ages when it was last taken.
    age: Cell<usize>,
    _seat: Seat,
}

struct Idle {
    link: Rc<Link>,
    since: f64,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    shared: Option<Shared>,
    open: Rc<Cell<usize>>,
    /// Most connections, as learnt, and when it was last changed.
    cap: Option<(usize, f64)>,
}

/// A connection that carries many attempts: HTTP/2.
#[derive(Clone)]
struct Shared {
    send: SendRequest<Bytes>,
    /// When the endpoint last answered on it, and when an attempt last used it.
    heard: Rc<Cell<f64>>,
    used: Rc<Cell<f64>>,
    addr: SocketAddr,
    up: Rc<Cell<bool>>,
}

/// How an attempt is abandoned at once.
enum Abandon {
    Close(Rc<Link>),
    Reset(SendStream<Bytes>),
}

type Handle = Rc<RefCell<Option<Abandon>>>;

/// An attempt under way.
struct Running {
    task: AbortHandle,
    handle: Handle,
    endpoint: EndpointId,
    since: f64,
}

/// All connections to endpoints.
pub struct Upstream {
    dispatcher: Rc<Dispatcher>,
    pools: RefCell<HashMap<EndpointId, Pool>>,
    running: RefCell<HashMap<(RequestId, u32), Running>>,
    open: Rc<Cell<usize>>,
    ages: RefCell<Ages>,
    budget: Cell<usize>,
    retire_ms: f64,
    dial: Duration,
}

impl Upstream {
    /// No connections yet; `budget` is the most that may be open together.
    pub fn new(dispatcher: Rc<Dispatcher>, budget: usize) -> Rc<Upstream> {
        let platform = dispatcher.platform();
        Rc::new(Upstream {
            pools: RefCell::default(),
            running: RefCell::default(),
            open: Rc::default(),
            ages: RefCell::default(),
            budget: Cell::new(budget),
            retire_ms: platform.idle_ms * RETIRE,
            dial: Duration::from_secs_f64(platform.connect_timeout_ms / 1e3),
            dispatcher,
        })
    }

    /// Connections open or coming up.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Keeps to so many connections from now on, and closes idle ones above that.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        let mut pools = self.pools.borrow_mut();
        while self.open.get() > budget && shed(&mut pools) {}
    }

    /// Starts an attempt; its end is told to the dispatcher.
    pub fn start(self: &Rc<Self>, attempt: AttemptStart) {
        let key = (attempt.id, attempt.attempt);
        let (endpoint, since) = (attempt.endpoint, self.dispatcher.now());
        let handle = Handle::default();
        let (held, up) = (handle.clone(), self.clone());
        let task = spawn_local(async move {
            let at = up
                .dispatcher
                .table()
                .endpoint(attempt.endpoint)
                .map(|i| (i.addr, i.protocol));
            let end = match at {
                Some((addr, EndpointProtocol::Resp)) => run(&up, &attempt, addr, &held).await,
                Some((addr, EndpointProtocol::Http2)) => {
                    run_http2(&up, &attempt, addr, &held).await
                }
                None => AttemptResult::without(Outcome::ConnectFailed),
            };
            up.running
                .borrow_mut()
                .remove(&(attempt.id, attempt.attempt));
            up.dispatcher.with_requests(|core, now| {
                core.attempt_ended(now, attempt.id, attempt.attempt, end)
            });
        });
        self.running.borrow_mut().insert(
            key,
            Running {
                task: task.abort_handle(),
                handle,
                endpoint,
                since,
            },
        );
    }

    /// Abandons an attempt. Its sending is ended here and now, not when the task is next looked at: a further
    /// attempt of the same request must never overlap with it.
    pub fn abandon(&self, id: RequestId, number: u32) {
        let Some(running) = self.running.borrow_mut().remove(&(id, number)) else {
            return;
        };
        match running.handle.borrow_mut().take() {
            Some(Abandon::Close(link)) => {
                let _ = socket2::SockRef::from(&link.stream).shutdown(std::net::Shutdown::Both);
            }
            Some(Abandon::Reset(mut stream)) => {
                stream.send_reset(h2::Reason::CANCEL);
                // Guards against a machine that is cut off: a shared connection that has said nothing since
                // gets no further attempts.
                if let Some(pool) = self.pools.borrow_mut().get_mut(&running.endpoint) {
                    pool.shared
                        .take_if(|shared| shared.heard.get() < running.since);
                }
            }
            None => {}
        }
        running.task.abort();
    }

    /// Asks an endpoint for its load.
    pub fn probe(self: &Rc<Self>, endpoint: EndpointId) {
        let up = self.clone();
        spawn_local(async move {
            let (outcome, load) = timeout(up.dial, probe(&up, endpoint))
                .await
                .unwrap_or((Outcome::Timeout, Vec::new()));
            up.dispatcher
                .with_requests(|core, now| core.probed(now, endpoint, outcome, load));
        });
    }

    /// Closes the idle connections to an endpoint that gets no more requests, and forgets what was learnt of it.
    pub fn release(&self, endpoint: EndpointId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            pool.idle.clear();
            (pool.shared, pool.cap) = (None, None);
        }
    }

    /// Retires connections that have been idle for long.
    pub fn sweep(&self, now: f64) {
        self.ages.borrow_mut().fade();
        let mut pools = self.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.idle.retain(|idle| now - idle.since < self.retire_ms);
            pool.shared
                .take_if(|shared| now - shared.used.get() >= self.retire_ms || !shared.up.get());
        }
        pools.retain(|_, pool| pool.open.get() > 0 || pool.cap.is_some());
    }

    /// The newest idle connection that its peer has not closed.
    fn reuse(&self, now: f64, endpoint: EndpointId, addr: SocketAddr) -> Option<Rc<Link>> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&endpoint)?;
        // Guards against what may come right behind an answer: it must not meet the next request.
        while let Some(rested) = pool
            .idle
            .iter()
            .rposition(|idle| now - idle.since >= REST_MS)
        {
            let idle = pool.idle.remove(rested);
            let (ages, since) = (self.ages.borrow(), now - idle.since);
            let age = ages.place(Some(since));
            if since >= self.retire_ms || ages.stale(age) {
                pool.idle.drain(..rested);
                return None;
            }
            // Guards against work that "may have run" for nothing, and against an answer that is another
            // request's: an end, a reset or bytes that are already here are seen before the request is
            // written. The system is asked itself: the runtime would answer from what it last heard.
            let quiet =
                socket2::SockRef::from(&idle.link.stream).peek(&mut [MaybeUninit::uninit(); 1]);
            let moved = idle.link.addr != addr;
            if !moved && quiet.is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                idle.link.age.set(age);
                return Some(idle.link);
            }
        }
        None
    }

    /// A place for one more connection, or none within the budget and the endpoint's cap.
    fn seat(&self, now: f64, endpoint: EndpointId) -> Option<Seat> {
        let mut pools = self.pools.borrow_mut();
        if self.open.get() >= self.budget.get() && !shed(&mut pools) {
            return None;
        }
        let pool = pools.entry(endpoint).or_default();
        if let Some((cap, at)) = pool.cap {
            let cap = cap + ((now - at) / LIFT_MS) as usize;
            if pool.open.get() >= cap {
                return None;
            }
        }
        Some(Seat::take(&self.open, &pool.open))
    }

    /// A connect failed while others stood: the endpoint takes no more than these.
    fn refused(&self, now: f64, endpoint: EndpointId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint) {
            let others = pool.open.get().saturating_sub(1);
            if others >= MIN_CAP {
                pool.cap = Some((others, now));
            }
        }
    }

    /// Keeps a connection for the next request, unless there will be none.
    fn keep(&self, endpoint: EndpointId, link: Rc<Link>) {
        let (takes, since) = (
            self.dispatcher.accepts_requests(endpoint),
            self.dispatcher.now(),
        );
        if let Some(pool) = self.pools.borrow_mut().get_mut(&endpoint).filter(|_| takes) {
            pool.idle.push(Idle { link, since });
        }
    }
}

/// Closes the connection that has been idle for longest; false: none is idle.
fn shed(pools: &mut HashMap<EndpointId, Pool>) -> bool {
    let idle = pools.values_mut().filter(|p| !p.idle.is_empty());
    let oldest = idle.min_by(|a, b| a.idle[0].since.total_cmp(&b.idle[0].since));
    oldest.map(|pool| pool.idle.remove(0)).is_some()
}

async fn connect(up: &Upstream, endpoint: EndpointId, addr: SocketAddr) -> Option<Rc<Link>> {
    let dispatcher = &up.dispatcher;
    if let Some(link) = up.reuse(dispatcher.now(), endpoint, addr) {
        return Some(link);
    }
    let Some(seat) = up.seat(dispatcher.now(), endpoint) else {
        // There may be one that only needs its rest.
        tokio::time::sleep(Duration::from_secs_f64(REST_MS / 1e3)).await;
        return up.reuse(dispatcher.now(), endpoint, addr);
    };
    match timeout(up.dial, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            let (input, output) = (
                RingBuffer::new(MAX_REPLY).into(),
                RingBuffer::new(MAX_REPLY).into(),
            );
            Some(Rc::new(Link {
                stream,
                addr,
                input,
                output,
                age: Cell::new(0),
                _seat: seat,
            }))
        }
        _ => {
            up.refused(dispatcher.now(), endpoint);
            None
        }
    }
}

/// Writes what was pushed to the link; false: it broke before the last byte was written.
async fn write(link: &Link) -> bool {
    loop {
        let written = {
            let mut output = link.output.borrow_mut();
            if output.is_empty() {
                return true;
            }
            let written = link.stream.try_write(output.front());
            if let Ok(n) = written {
                output.consume(n);
            }
            written
        };
        match written {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                if link.stream.writable().await.is_err() {
                    return false;
                }
            }
            Err(_) => return false,
        }
    }
}

/// Reads what is here into the link's ring; false: nothing is; none: the link has ended, or its ring is full.
fn read_some(link: &Link) -> Option<bool> {
    let mut input = link.input.borrow_mut();
    match link.stream.try_read(input.spare().ok()?) {
        Ok(0) => None,
        Ok(n) => {
            input.filled(n);
            Some(true)
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Some(false),
        Err(_) => None,
    }
}

/// What a link brought.
enum Came<T> {
    Reply(T),
    /// The head of a reply whose value is to be passed on, and the first of its bytes, unread.
    Large(Large),
}

/// Reads one reply and turns it into something by `then`; none: the link broke or brought garbage, or a reply
/// began and nothing more came for `stalled`: one whose length is wrong would hang till the deadline.
async fn read<T>(
    link: &Link,
    stalled: Duration,
    then: impl Fn(Reply) -> Option<T>,
) -> Option<Came<T>> {
    let (mut min, mut until) = (1, None);
    loop {
        if !read_some(link)? {
            match until {
                Some(until) => timeout_at(until, link.stream.readable()).await.ok()?.ok()?,
                None => link.stream.readable().await.ok()?,
            }
            continue;
        }
        let mut input = link.input.borrow_mut();
        until = until.map(|_| tokio::time::Instant::now() + stalled);
        if input.len() < min {
            continue;
        }
        match endpoint_reply(input.whole()) {
            Ok(Parsed::Complete(reply, n)) => {
                let value = then(reply)?;
                input.consume(n);
                return Some(Came::Reply(value));
            }
            Ok(Parsed::More(more)) => min = input.len() + more,
            // Too long to be taken whole, or garbage.
            Err(_) => {
                let large = large_reply(input.whole())?;
                min = large.head + EARNEST;
                if input.len() >= min {
                    return Some(Came::Large(large));
                }
            }
        }
        until.get_or_insert_with(|| tokio::time::Instant::now() + stalled);
    }
}

/// The connection that an endpoint's HTTP/2 attempts share, opened where there is none.
async fn shared(up: &Upstream, endpoint: EndpointId, addr: SocketAddr) -> Option<Shared> {
    let dispatcher = &up.dispatcher;
    let known = up
        .pools
        .borrow()
        .get(&endpoint)
        .and_then(|pool| pool.shared.clone());
    if let Some(shared) = known.filter(|shared| shared.up.get() && shared.addr == addr) {
        return Some(shared);
    }
    let seat = up.seat(dispatcher.now(), endpoint)?;
    let dial = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .initial_connection_window_size(SHARED_WINDOW);
        builder.handshake::<_, Bytes>(stream).await.ok()
    };
    let Ok(Some((send, connection))) = timeout(up.dial, dial).await else {
        up.refused(dispatcher.now(), endpoint);
        return None;
    };
    let now = dispatcher.now();
    let alive = Rc::new(Cell::new(true));
    let (heard, used) = (Rc::new(Cell::new(now)), Rc::new(Cell::new(now)));
    let shared = Shared {
        send,
        heard,
        used,
        addr,
        up: alive.clone(),
    };
    spawn_local(async move {
        let _seat = seat;
        if let Err(e) = connection.await {
            tracing::debug!(error = %e, "http2 instance");
        }
        alive.set(false);
    });
    if let Some(pool) = up.pools.borrow_mut().get_mut(&endpoint) {
        pool.shared
            .take_if(|shared| !shared.up.get() || shared.addr != addr);
        pool.shared.get_or_insert_with(|| shared.clone());
    }
    Some(shared)
}

async fn run_http2(
    up: &Rc<Upstream>,
    attempt: &AttemptStart,
    addr: SocketAddr,
    held: &Handle,
) -> AttemptResult {
    let dispatcher = &up.dispatcher;
    let never = AttemptResult::without(Outcome::ConnectFailed);
    let Some(shared) = shared(up, attempt.endpoint, addr).await else {
        return never;
    };
    let Ok(mut send) = shared.send.clone().ready().await else {
        // The connection takes no new streams: the next attempt opens another.
        shared.up.set(false);
        return never;
    };
    let now = dispatcher.now();
    if !dispatcher.accepts_requests(attempt.endpoint) {
        return never;
    }
    shared.used.set(now);
    let wait = attempt.until - now;
    let Ok(request) = http2::upstream_request(dispatcher.platform(), &attempt.request, wait) else {
        return never;
    };
    let body = attempt.request.body.as_ref();
    let Ok((response, mut stream)) = send.send_request(request, body.is_none()) else {
        shared.up.set(false);
        return never;
    };
    if let Some(body) = body {
        // A failure here shows in the response.
        let _ = stream.send_data(Bytes::copy_from_slice(body), true);
    }
    *held.borrow_mut() = Some(Abandon::Reset(stream));
    let end = answer_http2(up, response).await;
    held.borrow_mut().take();
    let now = dispatcher.now();
    shared.used.set(now);
    if end.outcome != Outcome::Reset {
        shared.heard.set(now);
    }
    end
}

async fn answer_http2(up: &Upstream, response: h2::client::ResponseFuture) -> AttemptResult {
    let platform = up.dispatcher.platform();
    let (head, mut stream) = match response.await {
        Ok(response) => response.into_parts(),
        Err(e) => return AttemptResult::without(http2::broken(&e)),
    };
    let report = head.headers.get(http2::LOAD);
    let load = report.map_or(Vec::new(), |report| load(platform, report.as_bytes()));
    let outcome = http2::outcome(head.status, &head.headers);
    if outcome != Outcome::Ok {
        return AttemptResult {
            load,
            ..AttemptResult::without(outcome)
        };
    }
    let statistics = head.headers.get(http2::USE);
    let cost = statistics.and_then(|statistics| resp::cost(platform, statistics.as_bytes()));
    let length = head.headers.get(http::header::CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if let Some(size) = length.filter(|size| (MAX_VALUE + 1..=MAX_PASSED).contains(size)) {
        // One that promises much and gives nothing can still be asked elsewhere.
        let Ok(Some(Ok(first))) = timeout(STALLED * up.dial, stream.data()).await else {
            return AttemptResult::without(Outcome::Reset);
        };
        let (intake, outlet) = up.dispatcher.body_streams().open(size);
        spawn_local(pass_on_http2(stream, first, intake));
        return AttemptResult {
            outcome,
            value: Some(ResponseBody::Streaming(Rc::new(outlet))),
            load,
            settled_units: cost,
        };
    }
    match http2::collect(&mut stream, STALLED * up.dial).await {
        Some(value) => AttemptResult {
            outcome,
            value: Some(ResponseBody::Complete(value)),
            load,
            settled_units: cost,
        },
        // It has begun to answer, so it ran, whatever ended the stream or keeps it from its end.
        None => AttemptResult::without(Outcome::Reset),
    }
}

/// As [`pass_on`], over HTTP/2: what the client has not taken stays in the stream's window.
async fn pass_on_http2(mut stream: RecvStream, first: Bytes, intake: BodySender) {
    let mut part = first;
    loop {
        while !part.is_empty() {
            if intake.gone() || intake.left() == 0 {
                return;
            }
            let n = intake.push(&part);
            let _ = part.split_to(n);
            if stream.flow_control().release_capacity(n).is_err() {
                return;
            }
            if n == 0 {
                intake.room().await;
            }
        }
        if intake.left() == 0 {
            return;
        }
        match timeout(STALLED_PASSING, stream.data()).await {
            Ok(Some(Ok(next))) => part = next,
            _ => return,
        }
    }
}

async fn run(
    up: &Rc<Upstream>,
    attempt: &AttemptStart,
    addr: SocketAddr,
    held: &Handle,
) -> AttemptResult {
    let dispatcher = &up.dispatcher;
    let Some(link) = connect(up, attempt.endpoint, addr).await else {
        return AttemptResult::without(Outcome::ConnectFailed);
    };
    *held.borrow_mut() = Some(Abandon::Close(link.clone()));
    let now = dispatcher.now();
    let mut bytes = Vec::with_capacity(256);
    push_request(
        &mut bytes,
        dispatcher.platform(),
        &attempt.request,
        attempt.until - now,
    );
    let sent = link.output.borrow_mut().push(&bytes).is_ok()
        && dispatcher.accepts_requests(attempt.endpoint);
    if !sent || !write(&link).await {
        return AttemptResult::without(Outcome::ConnectFailed);
    }
    let end = read(&link, STALLED * up.dial, |reply| {
        ending(dispatcher.platform(), reply)
    })
    .await;
    held.borrow_mut().take();
    let unheard = end.is_none() && link.input.borrow().is_empty();
    up.ages.borrow_mut().note(link.age.get(), unheard);
    match end {
        Some(Came::Large(large)) => {
            let (intake, outlet) = dispatcher.body_streams().open(large.size);
            {
                let mut input = link.input.borrow_mut();
                input.consume(large.head);
                let n = intake.push(input.whole());
                input.consume(n);
            }
            spawn_local(pass_on(up.clone(), attempt.endpoint, link, large, intake));
            let value = Some(ResponseBody::Streaming(Rc::new(outlet)));
            AttemptResult {
                value,
                ..AttemptResult::without(Outcome::Ok)
            }
        }
        Some(Came::Reply(end)) => {
            // Anything behind the reply is nobody's: such a connection is not reused.
            if link.input.borrow().is_empty() {
                up.keep(attempt.endpoint, link);
            }
            end
        }
        None => AttemptResult::without(Outcome::Reset),
    }
}

/// Passes the rest of a large value on, as far as its client takes it, and keeps the link if all ends well. A client
/// that is gone, or an endpoint that gives nothing more, ends the link.
async fn pass_on(
    up: Rc<Upstream>,
    endpoint: EndpointId,
    link: Rc<Link>,
    large: Large,
    intake: BodySender,
) {
    while intake.left() > 0 {
        if intake.gone() {
            return;
        }
        match intake.fill(|room| link.stream.try_read(room)) {
            // The client takes its time.
            None => intake.room().await,
            Some(Ok(0)) => return,
            Some(Ok(_)) => {}
            Some(Err(e)) if e.kind() == ErrorKind::WouldBlock => {
                let readable = async {
                    tokio::select! {
                        ready = link.stream.readable() => ready.is_ok(),
                        () = intake.room() => true,
                    }
                };
                if !timeout(STALLED_PASSING, readable).await.unwrap_or(false) {
                    return;
                }
            }
            Some(Err(_)) => return,
        }
    }
    drop(intake);
    let rest = async {
        loop {
            {
                let mut input = link.input.borrow_mut();
                match large_rest(input.whole(), large.items) {
                    Ok(Parsed::Complete(items, n)) => {
                        let load = report(up.dispatcher.platform(), &items);
                        input.consume(n);
                        return Some(load);
                    }
                    Ok(Parsed::More(_)) => {}
                    Err(_) => return None,
                }
            }
            if !read_some(&link)? {
                link.stream.readable().await.ok()?;
            }
        }
    };
    let Ok(Some(load)) = timeout(STALLED * up.dial, rest).await else {
        return;
    };
    if !load.is_empty() {
        up.dispatcher
            .with_requests(|core, now| core.probed(now, endpoint, Outcome::Ok, load));
    }
    if link.input.borrow().is_empty() {
        up.keep(endpoint, link);
    }
}

/// What a reply means, by the table of the protocol page; none: it makes no sense.
fn ending(platform: &Platform, reply: Reply) -> Option<AttemptResult> {
    match reply {
        Reply::Array(items) => match items.as_slice() {
            [Reply::Bulk(Some(value)), rest @ ..] => {
                let (value, load) = (
                    Some(ResponseBody::Complete(value.to_vec())),
                    report(platform, rest),
                );
                let cost = text_at(rest, 0).and_then(|statistics| resp::cost(platform, statistics));
                Some(AttemptResult {
                    outcome: Outcome::Ok,
                    value,
                    load,
                    settled_units: cost,
                })
            }
            _ => None,
        },
        Reply::Error(text) => {
            let mut words = text.split(|b| *b == b' ');
            // What is neither of these is noise, and says nothing of the endpoint's class or queue.
            let outcome = match words.next() {
                Some(b"BUSY") => Outcome::Rejected,
                Some(b"ERR") => Outcome::Error,
                _ => return None,
            };
            let last = words.next_back().filter(|w| w.contains(&b'='));
            let load = last.map_or(Vec::new(), |report| load(platform, report));
            // Units are settled by good answers alone.
            Some(AttemptResult {
                load,
                ..AttemptResult::without(outcome)
            })
        }
        _ => None,
    }
}

/// What comes behind a value: the figures on use, and the load report; none: null, or no text.
fn text_at<'a>(rest: &[Reply<'a>], place: usize) -> Option<&'a [u8]> {
    match rest.get(place) {
        Some(Reply::Bulk(text)) => *text,
        _ => None,
    }
}

/// The load report among what comes behind a value; empty where there is none.
fn report(platform: &Platform, rest: &[Reply]) -> Vec<f64> {
    text_at(rest, 1).map_or(Vec::new(), |report| load(platform, report))
}

/// The figures of a load report in the order of the settings' columns; empty where one is missing or no number.
fn load(platform: &Platform, report: &[u8]) -> Vec<f64> {
    let text = std::str::from_utf8(report).unwrap_or("");
    let find = |column: &String| {
        let other = match column.as_str() {
            "rif" => "inflight",
            "q" => "queue",
            "busy" => "util",
            "lat_ms" => "latency_ms",
            "rate" => "qps",
            "fail_rate" => "eps",
            _ => column,
        };
        let mut named = pairs(text).filter(|(name, _)| name == column || *name == other);
        let value = named
            .next()
            .and_then(|(_, value)| value.parse::<f64>().ok());
        value.filter(|v| v.is_finite() && *v >= 0.0)
    };
    platform
        .columns
        .iter()
        .map(find)
        .collect::<Option<Vec<f64>>>()
        .unwrap_or_default()
}

async fn probe(up: &Upstream, endpoint: EndpointId) -> (Outcome, Vec<f64>) {
    let dispatcher = &up.dispatcher;
    let failed = (Outcome::ConnectFailed, Vec::new());
    let at = dispatcher
        .table()
        .endpoint(endpoint)
        .map(|i| (i.addr, i.protocol));
    let addr = match at {
        Some((addr, EndpointProtocol::Resp)) => addr,
        Some((addr, EndpointProtocol::Http2)) => return probe_http2(up, endpoint, addr).await,
        None => return failed,
    };
    let Some(link) = connect(up, endpoint, addr).await else {
        return failed;
    };
    let mut bytes = Vec::new();
    push_words(&mut bytes, 2, [b"INFO".as_slice(), b"load"].into_iter());
    if link.output.borrow_mut().push(&bytes).is_err() || !write(&link).await {
        return failed;
    }
    let answer = read(&link, STALLED * up.dial, |reply| match reply {
        Reply::Bulk(Some(report)) => Some((Outcome::Ok, load(dispatcher.platform(), report))),
        Reply::Error(_) => Some((Outcome::Error, Vec::new())),
        _ => None,
    });
    match answer.await {
        Some(Came::Reply(result)) => {
            if link.input.borrow().is_empty() {
                up.keep(endpoint, link);
            }
            result
        }
        _ => (Outcome::Reset, Vec::new()),
    }
}

async fn probe_http2(up: &Upstream, endpoint: EndpointId, addr: SocketAddr) -> (Outcome, Vec<f64>) {
    let dispatcher = &up.dispatcher;
    let failed = (Outcome::ConnectFailed, Vec::new());
    let Some(shared) = shared(up, endpoint, addr).await else {
        return failed;
    };
    let Ok(mut send) = shared.send.clone().ready().await else {
        return failed;
    };
    let Ok(request) = http::Request::get("http://instance/-/load").body(()) else {
        return failed;
    };
    let Ok((response, _)) = send.send_request(request, true) else {
        return failed;
    };
    let Ok(response) = response.await else {
        return (Outcome::Reset, Vec::new());
    };
    let (head, mut stream) = response.into_parts();
    match http2::collect(&mut stream, STALLED * up.dial).await {
        Some(report) if head.status == http::StatusCode::OK => {
            shared.heard.set(dispatcher.now());
            (Outcome::Ok, load(dispatcher.platform(), &report))
        }
        _ => (Outcome::Error, Vec::new()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn idle_times_at_which_connections_are_found_dead_are_learnt_and_forgotten() {
        let mut ages = Ages::default();
        let [new, young, middle, old] =
            [None, Some(5.0), Some(150.0), Some(5000.0)].map(|a| ages.place(a));
        assert!(new == 0 && young < middle && middle < old && old < ages.tried.len());
        for i in 0..100 {
            // As many new ones fail as young ones; a third of those that were idle for longer.
            ages.note(new, i % 20 == 0);
            ages.note(young, i % 20 == 0);
            ages.note(middle, i % 3 == 0);
        }
        assert_eq!(
            [young, middle, old].map(|age| ages.stale(age)),
            [false, true, true]
        );
        (0..100).for_each(|_| ages.fade());
        assert!(!ages.stale(middle), "tried again");
    }
}
