//! The platform's front: RESP2 over TCP. It owns the listening socket, the clients' connections with
//! one ring a direction, and the order of pipelined answers. It must never answer a request twice or out of
//! turn, read on while too many are unanswered, or decide about a request.

use super::advice;
use crate::buffer::body_stream::BodyReceiver;
use crate::buffer::ring_buffer::RingBuffer;
use crate::decision::driver::RequestId;
use crate::protocol::resp::{parse_request, request_words, Parsed, MAX_VALUE};
use crate::request::{ClientRequest, FinalAnswer, ResponseBody};
use crate::routing;
use crate::runtime::dispatcher::{Dispatcher, ResponseSink, UnsentBudget};
use driftgap_admin::DrainState;
use driftgap_routes::{NoHeaders, Ticket, Verdict};
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{IpAddr, Shutdown};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A request with its longest body and some room.
const MAX_INPUT: usize = MAX_VALUE + 16 * 1024;
/// Answers that a client does not read.
const MAX_OUTPUT: usize = 1024 * 1024;
/// A client that has not read an answer for this long is stuck, ms.
const STALE_MS: f64 = 10_000.0;
/// From connecting, or from its first byte, a request has this long to come whole, ms.
const WHOLE_MS: f64 = 2500.0;
/// A client that has said nothing yet may have its first request under way for this long, ms.
const FRESH_MS: f64 = 500.0;
/// A request of which no more than this has come counts for nothing; and how long a longer one waits where all
/// together have too much on the way.
const SHORT: usize = 4 * 1024;
const CHOKED: Duration = Duration::from_millis(20);
/// Clients are looked through this often.
const LOOK: Duration = Duration::from_millis(200);
/// While nothing is read from a client, its end is looked for this often: nothing may be begun for one that has been
/// gone for 100 ms.
const GONE: Duration = Duration::from_millis(25);
/// What comes behind the end of a client's requests is discarded for so long at most.
const LINGER: Duration = Duration::from_millis(1000);
/// So many bytes at once.
const DISCARDED: usize = 16 * 1024;
/// Requests taken from one client before others have their turn.
const AT_ONCE: usize = 16;
/// Unanswered requests on one connection; more are left unread.
const MAX_PIPELINED: usize = 128;

/// One request's place in the order of answers.
enum Slot {
    Open(Option<RequestId>),
    Answered(Vec<u8>),
    /// A large value, which goes out while it comes.
    Streaming(Rc<BodyReceiver>),
}

struct Client {
    stream: OwnedWriteHalf,
    peer: IpAddr,
    dispatcher: Rc<Dispatcher>,
    output: RefCell<RingBuffer>,
    slots: RefCell<VecDeque<Slot>>,
    /// The large value that is going out.
    passing: RefCell<Option<Rc<BodyReceiver>>>,
    unsent: UnsentBudget,
    /// Ticket of the first slot.
    first: Cell<u64>,
    wake: Notify,
    broken: Cell<bool>,
    /// Asked to end as soon as nothing is owed.
    leaving: Cell<bool>,
    /// Since when a request is awaited or coming that is not whole yet; none: whole ones have come and no
    /// further one has begun.
    incoming: Cell<Option<f64>>,
    /// Has sent a whole request; has sent a part of the next.
    spoken: Cell<bool>,
    begun: Cell<bool>,
    /// Its time for a request is over.
    expired: Cell<bool>,
    /// Its requests have ended, and what it still wrote is discarded; its place is wanted.
    lingers: Cell<bool>,
    unwanted: Cell<bool>,
    used: Cell<f64>,
}

/// The front.
pub struct RespFrontend {
    dispatcher: Rc<Dispatcher>,
    clients: RefCell<HashMap<u64, Weak<Client>>>,
    next: Cell<u64>,
    budget: Cell<usize>,
}

impl RespFrontend {
    /// A front that holds `budget` connections at most.
    pub fn new(dispatcher: Rc<Dispatcher>, budget: usize) -> Rc<RespFrontend> {
        Rc::new(RespFrontend {
            dispatcher,
            clients: RefCell::default(),
            next: Cell::new(0),
            budget: Cell::new(budget),
        })
    }

    /// Keeps to so many connections from now on, and ends idle ones above that.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        for _ in budget..self.connections() {
            if !self.shed() {
                return;
            }
        }
    }

    /// Takes in connections until its task is ended.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            // With every place taken by somebody who is owed an answer, others wait in the listener's line.
            while self.connections() >= self.budget.get() {
                if self.shed() {
                    // Guards the descriptors of others: the place is free once that connection has ended.
                    tokio::task::yield_now().await;
                } else {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                // Out of descriptors, or the client is gone already.
                Err(e) => {
                    tracing::warn!(error = %e, "accept");
                    self.shed();
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let peer = stream
            .peer_addr()
            .map_or(IpAddr::from([0, 0, 0, 0]), |addr| addr.ip());
        let (read, write) = stream.into_split();
        let client = Rc::new(Client {
            stream: write,
            peer,
            dispatcher: self.dispatcher.clone(),
            output: RingBuffer::new(MAX_OUTPUT).into(),
            slots: RefCell::default(),
            passing: RefCell::default(),
            unsent: self.dispatcher.unsent_budget(),
            first: Cell::new(0),
            wake: Notify::new(),
            broken: Cell::new(false),
            leaving: Cell::new(false),
            incoming: Cell::new(Some(self.dispatcher.now())),
            spoken: Cell::new(false),
            begun: Cell::new(false),
            expired: Cell::new(false),
            lingers: Cell::new(false),
            unwanted: Cell::new(false),
            used: Cell::new(self.dispatcher.now()),
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.clients
            .borrow_mut()
            .insert(number, Rc::downgrade(&client));
        let front = self.clone();
        spawn_local(async move {
            serve(&client, read).await;
            let unanswered: Vec<RequestId> = client.unanswered();
            for id in unanswered {
                client.dispatcher.client_gone(id);
            }
            front.clients.borrow_mut().remove(&number);
        });
    }

    /// Looks after clients that take a place and neither finish a request nor read an answer.
    pub async fn supervise(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            if self.dispatcher.drain_state() >= DrainState::Draining {
                self.drain();
            }
            let now = self.dispatcher.now();
            for client in self.clients.borrow().values().filter_map(Weak::upgrade) {
                let unanswered = client.owes();
                let stuck = now - client.used.get() > STALE_MS && client.unsent_now();
                if !unanswered
                    && client
                        .incoming
                        .get()
                        .is_some_and(|since| now - since > WHOLE_MS)
                {
                    client.expired.set(true);
                    client.wake.notify_one();
                } else if stuck && (!unanswered || client.passing.borrow().is_some()) {
                    client.broken.set(true);
                    client.wake.notify_one();
                }
            }
        }
    }

    /// Closes a connection that nothing is owed on; false: there is none. Those whose requests have ended go first, and
    /// those that have never said anything before those that serve, the longest idle first; but not while a first
    /// request may be under way.
    fn shed(&self) -> bool {
        let (clients, now) = (self.clients.borrow(), self.dispatcher.now());
        let idle = clients
            .values()
            .filter_map(Weak::upgrade)
            .filter(|c| c.idle() && !c.leaving.get());
        let idle = idle.filter(|c| c.spoken.get() || now - c.used.get() > FRESH_MS);
        let order = |c: &Rc<Client>| (!c.lingers.get(), c.spoken.get(), c.used.get());
        match idle.min_by(|a, b| order(a).partial_cmp(&order(b)).unwrap_or(Ordering::Equal)) {
            Some(client) => {
                client.unwanted.set(true);
                client.leave();
                true
            }
            None => false,
        }
    }

    /// Ends every connection as soon as nothing is owed on it. One that has said nothing yet has its time for that:
    /// its first request may be under way.
    pub fn drain(&self) {
        let now = self.dispatcher.now();
        for client in self.clients.borrow().values().filter_map(Weak::upgrade) {
            if client.spoken.get() || now - client.used.get() > FRESH_MS {
                client.leave();
            }
        }
    }

    /// Connections held.
    pub fn connections(&self) -> usize {
        self.clients.borrow().len()
    }
}

impl Client {
    fn idle(&self) -> bool {
        let between = self.incoming.get().is_none() || !self.spoken.get() && !self.begun.get();
        (between || self.lingers.get()) && !self.owes() && self.output.borrow().is_empty()
    }

    /// Whether answers are still to be written.
    fn owes(&self) -> bool {
        !self.slots.borrow().is_empty() || self.passing.borrow().is_some()
    }

    /// Whether there are bytes that the client has not taken.
    fn unsent_now(&self) -> bool {
        !self.output.borrow().is_empty()
            || self
                .passing
                .borrow()
                .as_ref()
                .is_some_and(|value| !value.dry())
    }

    fn leave(&self) {
        self.leaving.set(true);
        self.wake.notify_one();
    }

    fn unanswered(&self) -> Vec<RequestId> {
        let open = |slot: &Slot| if let Slot::Open(id) = slot { *id } else { None };
        self.slots.borrow().iter().filter_map(open).collect()
    }

    /// Notes further bytes of what may become a request.
    fn came(&self, input: &mut RingBuffer, n: usize) {
        input.filled(n);
        self.begun.set(true);
        if self.incoming.get().is_none() {
            self.incoming.set(Some(self.dispatcher.now()));
        }
    }

    /// Opens a place for an answer; its ticket.
    fn ticket(&self) -> u64 {
        let mut slots = self.slots.borrow_mut();
        slots.push_back(Slot::Open(None));
        self.first.get() + slots.len() as u64 - 1
    }

    /// Fills a place and writes what is due in turn.
    fn fill(&self, ticket: u64, bytes: Vec<u8>) {
        self.put(ticket, Slot::Answered(bytes));
    }

    fn put(&self, ticket: u64, filled: Slot) {
        let full = self.slots.borrow().len() >= MAX_PIPELINED;
        {
            let mut slots = self.slots.borrow_mut();
            let Some(at) = ticket.checked_sub(self.first.get()) else {
                return;
            };
            let Some(slot) = slots.get_mut(at as usize) else {
                return;
            };
            if matches!(&filled, Slot::Answered(bytes) if !self.unsent.add(bytes.len())) {
                self.broken.set(true);
            }
            *slot = filled;
        }
        self.advance();
        self.flush();
        // A full line of requests is not read on: it is now.
        let more = !self.output.borrow().is_empty() || self.passing.borrow().is_some();
        if full || self.broken.get() || self.leaving.get() || more {
            self.wake.notify_one();
        }
    }

    /// Moves answers that are due out of their places, up to a value that is still coming.
    fn advance(&self) {
        let mut slots = self.slots.borrow_mut();
        while self.passing.borrow().is_none() {
            match slots.front() {
                Some(Slot::Answered(bytes)) => {
                    if self.output.borrow_mut().push(bytes).is_err() {
                        self.broken.set(true);
                    }
                }
                Some(Slot::Streaming(value)) => {
                    let head = format!("${}\r\n", value.size());
                    if self.output.borrow_mut().push(head.as_bytes()).is_err() {
                        self.broken.set(true);
                    }
                    *self.passing.borrow_mut() = Some(value.clone());
                }
                Some(Slot::Open(_)) | None => return,
            }
            slots.pop_front();
            self.first.set(self.first.get() + 1);
        }
    }

    /// Writes what the client takes now.
    fn flush(&self) {
        while !self.broken.get() {
            let mut output = self.output.borrow_mut();
            while !output.is_empty() {
                match self.stream.try_write(output.front()) {
                    Ok(n) => {
                        output.consume(n);
                        self.unsent.sent(n);
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                    Err(_) => return self.broken.set(true),
                }
            }
            let Some(value) = self.passing.borrow().clone() else {
                return;
            };
            if value.over() {
                *self.passing.borrow_mut() = None;
                // Room for an end of line is always there: the ring has just been emptied.
                let _ = output.push(b"\r\n");
                drop(output);
                self.advance();
                continue;
            }
            if value.broken() {
                return self.broken.set(true);
            }
            if value.dry() {
                return;
            }
            let written = self.stream.try_write(value.bytes().front());
            match written {
                Ok(n) => {
                    value.took(n);
                    self.used.set(self.dispatcher.now());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.broken.set(true),
            }
        }
    }
}

impl ResponseSink for Client {
    fn answer(&self, ticket: u64, answer: FinalAnswer) {
        self.used.set(self.dispatcher.now());
        self.put(ticket, wording(answer));
    }
}

/// An answer as what goes into its place: the platform's words, or a value that goes out while it comes.
fn wording(answer: FinalAnswer) -> Slot {
    Slot::Answered(match answer {
        FinalAnswer::Served(ResponseBody::Streaming(value)) => return Slot::Streaming(value),
        FinalAnswer::Served(ResponseBody::Complete(value)) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
            out.extend_from_slice(&value);
            out.extend_from_slice(b"\r\n");
            out
        }
        FinalAnswer::Rejected { retry_after_ms } => match advice(retry_after_ms) {
            Some(ms) => format!("-BUSY {ms}\r\n").into_bytes(),
            None => b"-BUSY\r\n".to_vec(),
        },
        FinalAnswer::Failed { late: true } => b"-ERR failed: no answer in time\r\n".to_vec(),
        FinalAnswer::Failed { late: false } => b"-ERR failed\r\n".to_vec(),
    })
}

/// What a client's words ask for.
enum Wanted {
    Words(&'static [u8]),
    ClientRequest(Box<ClientRequest>),
    Quit,
}

fn wanted(dispatcher: &Dispatcher, words: &[&[u8]]) -> Wanted {
    let verb = words.first().map_or(Vec::new(), |w| w.to_ascii_uppercase());
    match (verb.as_slice(), words.len()) {
        (b"PING", 1) if dispatcher.ready() => Wanted::Words(b"+PONG\r\n"),
        (b"PING", 1) => Wanted::Words(b"-ERR not ready\r\n"),
        (b"QUIT", _) => Wanted::Quit,
        (b"SVC.QUERY" | b"SVC.SUBMIT", 4 | 5) => {
            match parse_request(dispatcher.platform(), verb == b"SVC.QUERY", &words[1..]) {
                Ok(request) => Wanted::ClientRequest(Box::new(request)),
                Err(problem) => {
                    tracing::debug!(%problem, "no command");
                    Wanted::Words(b"-ERR failed: the command makes no sense\r\n")
                }
            }
        }
        (b"SVC.QUERY" | b"SVC.SUBMIT", _) => Wanted::Words(b"-ERR wrong number of arguments\r\n"),
        _ => Wanted::Words(b"-ERR unknown command\r\n"),
    }
}

/// Why a request goes no further than the rules.
enum Turned {
    /// Refused, to come back after so long, ms.
    Away(f64),
    /// It makes no sense to a rule.
    Down,
}

/// Takes a request through the operator's rules, if there are any: they may choose its pool, note something on
/// it, or turn it away, and change nothing that the platform's protocol says of it.
fn routed(client: &Client, request: &mut ClientRequest) -> Result<Vec<Ticket>, Turned> {
    let dispatcher = &client.dispatcher;
    if !dispatcher.has_rules() {
        return Ok(Vec::new());
    }
    let path = routing::path(dispatcher.platform(), request);
    let routed_request = routing::request_of(
        dispatcher.platform(),
        request,
        &path,
        &NoHeaders,
        client.peer,
    );
    match dispatcher.route(&routed_request) {
        Verdict::Go(route) => {
            (request.ask.pools, request.notes) = (route.pools, route.notes);
            Ok(route.tickets)
        }
        Verdict::Reject { retry_after_ms, by } => {
            tracing::debug!(id = request.id, by, retry_after_ms, "refused by a rule");
            Err(Turned::Away(retry_after_ms))
        }
        Verdict::Bad { rule, why } => {
            tracing::debug!(id = request.id, rule, why, "makes no sense to a rule");
            Err(Turned::Down)
        }
    }
}

/// What is left to do after the requests that were taken in.
enum Next {
    /// Wait for more bytes, so many at the least.
    Read(usize),
    /// There is more to take in, or nothing is read until answers are out.
    Again,
    /// The connection is to end.
    End,
}

/// Carries out the whole requests that have come, some at a time. Those of a client that has gone are not begun.
fn take_in(client: &Rc<Client>, input: &mut RingBuffer, gone: bool) -> Next {
    for _ in 0..AT_ONCE {
        if client.slots.borrow().len() >= MAX_PIPELINED {
            return Next::Again;
        }
        if input.is_empty() {
            return Next::Read(1);
        }
        let (wanted, n) = match request_words(input.whole()) {
            Ok(Parsed::Complete(words, n)) => (wanted(&client.dispatcher, &words), n),
            Ok(Parsed::More(n)) => return Next::Read(n),
            Err(_) => {
                client.fill(client.ticket(), b"-ERR malformed command\r\n".to_vec());
                return Next::End;
            }
        };
        input.consume(n);
        let now = client.dispatcher.now();
        client.used.set(now);
        client.spoken.set(true);
        client.incoming.set(None);
        if client.dispatcher.drain().state(now) >= DrainState::Draining {
            client.leaving.set(true);
        }
        let ticket = client.ticket();
        match wanted {
            Wanted::Words(words) => client.fill(ticket, words.to_vec()),
            Wanted::Quit => {
                client.fill(ticket, b"+OK\r\n".to_vec());
                return Next::End;
            }
            Wanted::ClientRequest(_) if gone => return Next::End,
            Wanted::ClientRequest(mut request) => {
                let known = |id| {
                    let at = (ticket - client.first.get()) as usize;
                    if let Some(slot) = client.slots.borrow_mut().get_mut(at) {
                        *slot = Slot::Open(Some(id));
                    }
                };
                match routed(client, &mut request) {
                    Ok(places) => {
                        client
                            .dispatcher
                            .arrive(*request, client.clone(), ticket, places, known)
                    }
                    Err(Turned::Away(retry_after_ms)) => {
                        client
                            .dispatcher
                            .reject(retry_after_ms, client.clone(), ticket, known)
                    }
                    Err(Turned::Down) => {
                        client.fill(
                            ticket,
                            b"-ERR failed: the command makes no sense\r\n".to_vec(),
                        );
                    }
                }
            }
        }
    }
    Next::Again
}

/// One connection, from its first byte to its end.
async fn serve(client: &Rc<Client>, mut read: OwnedReadHalf) {
    let mut input = RingBuffer::new(MAX_INPUT);
    let incoming = client.dispatcher.incoming_budget();
    let (mut going, mut min) = (true, 1);
    loop {
        // Guards against parsing a request from its start for each few bytes of it.
        if going && input.len() >= min {
            // Guards against work for nobody: its end may be here already, behind what it wrote. The runtime reads from a
            // new connection before it has asked the system about it.
            if !client.spoken.get() {
                tokio::task::yield_now().await;
            }
            let gone = tokio::select! {
                biased;
                ready = read.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
                () = std::future::ready(()) => false,
            };
            match take_in(client, &mut input, gone) {
                Next::Read(more) => min = input.len() + more,
                Next::Again => min = input.len().min(1),
                Next::End => going = false,
            }
            client.begun.set(false);
            if going && !input.is_empty() {
                client.came(&mut input, 0);
            }
        }
        if client.expired.take() && going {
            going = false;
            client.fill(
                client.ticket(),
                b"-ERR no whole command in time\r\n".to_vec(),
            );
        }
        let passing = client.passing.borrow().clone();
        let unanswered = client.slots.borrow().len() + usize::from(passing.is_some());
        let unsent = client.unsent_now();
        let more = going && !input.is_empty() && input.len() >= min;
        if more && unanswered < MAX_PIPELINED {
            // Guards the others against one that sends hundreds of requests at once.
            tokio::task::yield_now().await;
            continue;
        }
        if client.broken.get() {
            return;
        }
        if unanswered == 0 && !unsent && !going {
            return linger(client, &mut read).await;
        }
        let left = client.leaving.get() && !client.begun.get();
        // Guards memory against many that write long requests and do not finish: those that have begun a long one
        // wait for others to finish theirs. Without more bytes theirs ends for want of time.
        let held = if input.len() > SHORT { input.len() } else { 0 };
        let choked = !incoming.hold(held) && held > 0;
        let Ok(spare) = input.spare() else {
            // The ring holds no whole request and has no room for the rest of one.
            going = false;
            client.fill(client.ticket(), b"-ERR command too long\r\n".to_vec());
            continue;
        };
        if left && unanswered == 0 && !unsent {
            // Guards a request that has just come: only a connection on which nothing waits is closed.
            match read.try_read(spare) {
                Ok(n) if n > 0 => client.came(&mut input, n),
                _ => return,
            }
            continue;
        }
        // What is written behind an end is left unread: a client sends it again elsewhere.
        let reads = going && unanswered < MAX_PIPELINED && !left && !choked;
        tokio::select! {
            // Reading by the half spares the read that would only find nothing more.
            got = async { if reads { read.read(spare).await } else { gone(&read).await } } => match got {
                Ok(0) | Err(_) => return,
                Ok(n) => client.came(&mut input, n),
            },
            _ = client.stream.writable(), if unsent => client.flush(),
            () = comes(passing.as_deref()), if !unsent && passing.is_some() => client.flush(),
            () = client.wake.notified() => {}
            () = tokio::time::sleep(CHOKED), if choked => {}
        }
    }
}

/// Ends the sending on a connection whose requests have ended, and discards what the client still wrote. Guards the
/// answers: a close over unread bytes resets the connection, and what the system has not sent yet goes with it.
async fn linger(client: &Client, read: &mut OwnedReadHalf) {
    let mut discarded = vec![0; DISCARDED];
    // Nothing is unread: the system sends the rest and then the end.
    if !matches!(read.try_read(&mut discarded), Ok(n) if n > 0) {
        return;
    }
    let _ = socket2::SockRef::from(client.stream.as_ref()).shutdown(Shutdown::Write);
    client.lingers.set(true);
    let ended = async { while read.read(&mut discarded).await.is_ok_and(|n| n > 0) {} };
    let unwanted = async {
        while !client.unwanted.get() {
            client.wake.notified().await;
        }
    };
    tokio::select! {
        _ = timeout(LINGER, ended) => {}
        () = unwanted => {}
    }
}

/// Waits until the client has ended its connection, whatever of it is still unread here. Guards against work for
/// nobody: its end is seen also while nothing is read from it.
async fn gone(read: &OwnedReadHalf) -> std::io::Result<usize> {
    // With bytes to read it is ready at once, each time.
    while !read.ready(Interest::READABLE).await?.is_read_closed() {
        tokio::time::sleep(GONE).await;
    }
    Ok(0)
}

/// Waits for more of a value that is coming.
async fn comes(value: Option<&BodyReceiver>) {
    if let Some(value) = value {
        value.more().await;
    }
}
