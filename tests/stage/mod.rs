//! Test environment: the real program between simulated clients, endpoints, counter and discovery,
//! all on loopback, and the scenario language that drives them. A scenario has one step a line. `C`
//! names a connection of a client, `I` an endpoint and `K` the id of a request.
//!
//! Settings, on the first line only:
//!
//!     with PATH=VALUE ...            changes settings: `request_classes.1.effect="token"`, or
//!                                    properties of the endpoints: `endpoints.streams=N` (streams of
//!                                    one connection, HTTP/2), `endpoints.small_buffers=true` (their
//!                                    systems hold little of a request that they have not read)
//!     small_memory                   the program's memory limit is 10 MB
//!     more_descriptors               the program's descriptor limit is 1024
//!     inherited_socket               the environment binds the clients' socket; processes inherit
//!                                    it
//!
//! Clients:
//!
//!     send C K CLASS PLAN PARTNER [d=MS] [units=N] [body=BYTES] [k=KEY]   sends a request
//!     send C K CLASS ... unfinished  sends a request without the end of its body (HTTP/2)
//!     finish C K                     sends that end (HTTP/2)
//!     raw C TEXT                     writes TEXT unchanged; \r and \n are escapes (RESP)
//!     garbage C N                    writes N malformed bytes, until the program stops reading
//!                                    (RESP)
//!     incomplete C N                 writes a request with a body of N bytes, all but its end
//!                                    (RESP)
//!     long C N                       writes a request of N bytes (RESP)
//!     burst C N [MS]                 writes N requests at once, with the ids C0, C1 and so on and
//!                                    this deadline, until the program stops reading (RESP)
//!     flood C N                      sends N requests with new ids in batches, reads all
//!                                    answers
//!     late_duplicates C I N MAX      sends requests in sequence, which endpoint I answers with
//!                                    `late_duplicate`, until N duplicates were written; at most
//!                                    MAX
//!     many_fields C N FIELDS         opens N streams whose heads have this many short fields, and
//!                                    whose bodies do not end (HTTP/2)
//!     window_updates SECONDS         a client writes window updates at full speed (HTTP/2)
//!     fetches_within C N MS          sends N requests in sequence; half of the answers at least
//!                                    arrive within MS
//!     retry C CLASS PLAN PARTNER     repeats a request while it is refused, until it is served
//!     get C K PATH [NAME=VALUE ...]  requests PATH by GET, with these headers (HTTP/2)
//!     post C K PATH [NAME=VALUE ...] the same by POST
//!     reset C K                      cancels a request (RESP: closes its connection)
//!     close C                        closes the connection
//!     read C N RATE                  reads N bytes of answers, RATE bytes a second (RESP)
//!     ends_before C N                reads until the connection ends, after fewer than N bytes (RESP)
//!     answers C N                    reads the answers to N requests of a burst (RESP)
//!     fin C                          ends the sending side; the client still reads (RESP)
//!     idle N                         N clients connect at once and stay without sending
//!     idle_after_ping N              N clients send PING, read the answer and stay idle (RESP)
//!     small_receive_buffer           RESP clients that connect from now on have small receive
//!                                    buffers
//!     expect C K ANSWER              the answer begins with ANSWER: served V, busy, failed,
//!                                    closed, an HTTP status, or a raw line
//!     retry_after C K MIN MAX        the answer is a refusal whose retry-after is in these bounds,
//!                                    ms
//!
//! Endpoints:
//!
//!     expect I K                     waits until a whole attempt has arrived (`*`: at any
//!                                    endpoint)
//!     answer I K REPLY               waits for the attempt and answers it with REPLY, see below
//!     always REPLY                   from now on every attempt gets REPLY at once (`echo`: its id,
//!                                    `mixed`: one that depends on its id)
//!     state I STATE                  discovery lists the endpoint (a, b) as active, leaving or
//!                                    left
//!     list_at I J                    discovery lists the endpoint I at the address of J
//!     pool I LABEL                   discovery lists the endpoint with the label pool=LABEL
//!     inventory NAME[=STATE] ...     the inventory file lists these endpoints; reloads it (SIGHUP)
//!     hang / resume                  endpoints read nothing from now on / read on
//!     reject_by_goaway               endpoints send GOAWAY with last stream id 0 (HTTP/2)
//!     add_unreachable NAME           discovery lists a new endpoint that accepts no connection
//!     make_reachable NAME            the same endpoint accepts connections from now on
//!
//! REPLY is one of:
//!
//!     value V                        the value V
//!     cost N V                       the value V, with its actual units N
//!     last V                         the value V, then the connection is closed (RESP)
//!     twice V                        the value V twice at once (RESP)
//!     late_duplicate V               the value V, and 5 ms later again unless 8 ms have passed
//!                                    (RESP)
//!     odd_fields V                   the value V, with malformed fields after it (RESP)
//!     large N                        a value of N bytes
//!     truncated N                    a value of N bytes that breaks off in its middle
//!     pieces N                       a value of N bytes that arrives slowly
//!     late_body MS N                 announces N bytes and sends them after MS
//!     halting MS N                   a value of N bytes with a pause of MS in its middle
//!     slow_start MS N                a value of N bytes, the first 2,000 of them over MS
//!     short N                        announces N bytes and sends 9
//!     after MS REPLY                 another reply, after MS
//!     busy, error, refuse, garbage   a rejection, a failure, a refused stream, malformed bytes
//!     unknown_error                  an error reply that the protocol does not define (RESP)
//!     half, hang                     part of a value, then a failure / then nothing
//!     reset, goaway, tcp_reset       ends the stream / the connection / resets the TCP connection
//!
//! Counter, discovery and files:
//!
//!     counter FAULT                  silent, full, late, garbage, no_number, half, close, or ok
//!     discovery FAULT                garbage, error, nonsense, indented, no_length (ends with the
//!                                    connection), truncated (reset within the list), reset, silent
//!                                    (also for polls that are open, for good), or ok
//!     move SERVICE ...               discovery, counter: change ports; reloads the configuration
//!     rules TEXT                     replaces the rule file (\n is an escape), reloads it (SIGHUP)
//!     pipe NAME                      replaces this file of the program by a pipe that nobody writes
//!                                    to, and reloads it (SIGHUP)
//!     config TEXT                    replaces the configuration file and reloads it (SIGHUP)
//!
//! Processes:
//!
//!     stop / expect exit             SIGTERM / the program ends with status 0
//!     freeze / thaw                  SIGSTOP / SIGCONT
//!     start_second                   starts a second process and waits until it is ready; stop and
//!                                    exit still refer to the first
//!     start_fails                    a second process finds its operator address in use and ends
//!                                    with status 2
//!     kill                           SIGKILL to the first process; the second takes its place
//!     call WORD CALL                 an operator's call to the newest process; its answer begins
//!                                    with WORD
//!     partial_call TEXT              an operator writes part of a call and stays connected
//!
//! Time and checks:
//!
//!     wait MS                        sleeps
//!     runs K N                       N attempts for K have arrived in total
//!     attempts MIN / attempts none   notes that at least MIN attempts have arrived / none since
//!                                    then
//!     counted N                      the counter holds at least N units and fewer than N + 1
//!     counted N RATE                 the counter holds at least N units, and at most RATE more for
//!                                    each second since it received its first units
//!     descriptors N                  all processes together hold at most N descriptors
//!     memory / memory MB             notes the program's memory / it has grown by at most MB
#![allow(dead_code)]

mod clients;
mod endpoints;
pub mod flood;
pub mod mixed_replies;
pub mod noisy_peers;
pub mod pipelined;
mod program;
mod services;
mod setup;
pub mod steady;
mod steps;

use clients::{read_at_rate, write_until_blocked, Client};
use endpoints::{describe_value, http2_endpoint, resp_endpoint};
use services::{counter, discovery};
use setup::endpoint_entry;

use bytes::Bytes;
use driftgap::protocol::http2::send_body;
use driftgap::protocol::resp::{endpoint_reply, request_words, Parsed, Reply};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::{poll_fn, Future};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, AbortHandle};

/// The protocol of the clients or of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wire {
    Resp,
    Http2,
}

/// Settings of the program, as a JSON object.
const SETTINGS: &str = include_str!("settings.json");
/// The operator's file, without the section of the HTTP/2 listener.
const OPERATOR_FILE: &str = r#"
[routes]
file = "rules.toml"
[inventory]
file = "inventory.csv"
[plugin]
script = "hook.rhai"
on_error = "nack"
"#;
/// First line of the inventory file.
const INVENTORY_HEADER: &str = "name,address,zone,protocol,state\n";
/// Plug-in script that refuses one tenant, fails on another, and does not end on two more: it blocks, or
/// works without end in a native function.
const HOOK_SCRIPT: &str = r#"fn decide(c) {
    if c.partner == "000000000000dead" { return #{ nack: 300 }; }
    if c.partner == "000000000000beef" { c.no_such_function(); }
    if c.partner == "000000000000f00d" { loop { sleep(1); } }
    if c.partner == "000000000000feed" {
        let list = [];
        list.pad(4000, 1);
        loop { list.reduce(|sum, entry| sum); }
    }
}"#;
/// Time limit of a step; steps that send many requests have 20 times this.
const STEP_TIMEOUT: Duration = Duration::from_secs(4);
/// Descriptor limit of the program, and the limit after `more_descriptors`.
const DESCRIPTOR_LIMIT: usize = 256;
const RAISED_DESCRIPTOR_LIMIT: usize = 1024;
/// Load report with which an endpoint answers a health check.
const LOAD_REPORT: &str = "lat_ms=40,rif=1,busy=0.5";
/// Receive buffer, bytes, and largest segment of a client after `small_receive_buffer`, and of endpoints
/// with small buffers.
const SMALL_RECEIVE_BUFFER: usize = 8 * 1024;
const SMALL_SEGMENT_SIZE: u32 = 1400;

/// Senders of the replies to attempts that wait for one, by endpoint and request id.
type ArrivedAttempts = Rc<RefCell<HashMap<(String, String), oneshot::Sender<String>>>>;

/// State that all simulated servers share.
#[derive(Clone, Default)]
struct Shared {
    arrived: ArrivedAttempts,
    /// Number of attempts that have arrived, by request id.
    runs: Rc<RefCell<HashMap<String, usize>>>,
    /// Totals of the counter, by name.
    totals: Rc<RefCell<HashMap<String, f64>>>,
    /// When the counter received its first units.
    first_counted: Rc<Cell<Option<Instant>>>,
    /// Reply to every attempt, after the step `always`.
    always: Rc<RefCell<Option<String>>>,
    /// Faults of the counter and of discovery; empty if there is none.
    counter: Rc<RefCell<String>>,
    discovery: Rc<RefCell<String>>,
    /// Whether HTTP/2 endpoints reject connections by GOAWAY with last stream id 0.
    reject_by_goaway: Rc<RefCell<bool>>,
    /// Whether endpoints read nothing.
    hung: Rc<watch::Sender<bool>>,
    /// Limit on the streams of one connection to an HTTP/2 endpoint, if there is one.
    max_streams: Rc<Cell<Option<u32>>>,
    /// Number of duplicates that `late_duplicate` has written.
    duplicates_written: Rc<Cell<usize>>,
}

impl Shared {
    /// Records an attempt that has arrived whole. Returns the receiver of the reply to send.
    fn attempt_arrived(&self, endpoint: &str, id: &str) -> oneshot::Receiver<String> {
        let (reply, reply_receiver) = oneshot::channel();
        *self.runs.borrow_mut().entry(id.to_string()).or_default() += 1;
        if let Some(behavior) = &*self.always.borrow() {
            let _ = reply.send(match behavior.as_str() {
                "echo" => format!("value {id}"),
                "mixed" => mixed_replies::reply_to(id),
                behavior => behavior.to_string(),
            });
            return reply_receiver;
        }
        self.arrived
            .borrow_mut()
            .insert((endpoint.to_string(), id.to_string()), reply);
        reply_receiver
    }
}

/// Returns a listener at a free port whose connections have small receive buffers and segments.
fn listener_with_small_buffers() -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
    socket.set_tcp_mss(SMALL_SEGMENT_SIZE).unwrap();
    let address: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(1024).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpListener::from_std(socket.into()).unwrap()
}

/// Starts a server that handles each connection by `serve`. Returns its port, and the task that
/// owns the listener and all connections.
async fn spawn_server<F: Future<Output = ()> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> (u16, AbortHandle) {
    spawn_server_at(TcpListener::bind("127.0.0.1:0").await.unwrap(), serve)
}

/// Starts a server on this listener.
fn spawn_server_at<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F + 'static,
) -> (u16, AbortHandle) {
    let port = listener.local_addr().unwrap().port();
    let task = spawn_local(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn_local(serve(stream));
        }
    });
    (port, task.abort_handle())
}

/// Encodes a request in the platform's protocol: an array of bulk strings.
fn encode_request(words: &[&str]) -> String {
    let encode_word = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    let encoded: String = words.iter().map(encode_word).collect();
    format!("*{}\r\n{encoded}", words.len())
}

/// Reads more bytes into the buffer. Returns false at the end of the connection or on an error.
async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    stream.read_buf(buffer).await.is_ok_and(|n| n > 0)
}

/// Name and listener of an endpoint that accepts nothing, and the connections that fill its queue.
type FullListener = (
    String,
    socket2::Socket,
    Vec<tokio::task::JoinHandle<std::io::Result<TcpStream>>>,
);

/// The program and the simulated clients and servers around it.
pub struct Stage {
    program: Child,
    /// The process of `start_second`.
    second: Option<Child>,
    /// Port for operators' calls to the newest process.
    operator_port: u16,
    /// The clients' socket, if the processes inherit it.
    inherited_socket: Option<socket2::Socket>,
    /// Connections that stay open without being used.
    idle_connections: Vec<TcpStream>,
    full_listeners: Vec<FullListener>,
    /// Whether the program has the small memory limit.
    small_memory: bool,
    /// Descriptor limit of the program.
    descriptor_limit: usize,
    /// Whether new RESP clients have small receive buffers.
    small_receive_buffer: bool,
    settings: String,
    client_wire: Wire,
    /// Addresses on which the program accepts clients, by protocol.
    ports: HashMap<&'static str, String>,
    clients: HashMap<String, Client>,
    shared: Shared,
    /// Entries of discovery's list: all at the start, then one for each change.
    endpoint_list: watch::Sender<Vec<String>>,
    /// Port and task of discovery and of the counter.
    services: HashMap<&'static str, (u16, AbortHandle)>,
    /// Port and protocol of each endpoint.
    endpoints: HashMap<String, (u16, Wire)>,
    /// Number of requests that `flood` steps have sent.
    flooded: usize,
    /// Answers that `expect` steps received.
    answers: Vec<String>,
    /// Folder of the program's files and its log.
    folder: PathBuf,
    /// Memory of the program at the last `memory` step, MB.
    noted_memory_mb: f64,
    /// Number of attempts at the last `attempts` step.
    noted_attempts: usize,
}

impl Stage {
    fn operator_address(&self) -> String {
        let host = self.ports["resp"].split(':').next().unwrap().to_string();
        format!("{host}:{}", self.operator_port)
    }

    /// Sends an operator's call and returns its answer.
    async fn call(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.operator_address()).await.unwrap();
        stream
            .write_all(
                format!(
                    "{text}
"
                )
                .as_bytes(),
            )
            .await
            .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer.trim_end().to_string()
    }

    /// Waits for an attempt at an endpoint, or at any (`*`). Returns the endpoint and the request
    /// id.
    async fn wait_for_attempt(&self, endpoint: &str, id: &str) -> (String, String) {
        loop {
            let found = self
                .shared
                .arrived
                .borrow()
                .keys()
                .find(|k| k.1 == id && (endpoint == "*" || k.0 == endpoint))
                .cloned();
            if let Some(key) = found {
                return key;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Returns the number of attempts that have arrived for a request.
    pub fn runs(&self, id: &str) -> usize {
        self.shared.runs.borrow().get(id).copied().unwrap_or(0)
    }

    /// Returns the number of attempts that have arrived.
    fn attempts(&self) -> usize {
        self.shared.runs.borrow().values().sum()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        for program in [Some(&mut self.program), self.second.as_mut()]
            .into_iter()
            .flatten()
        {
            let _ = program.kill();
            let _ = program.wait();
        }
        if std::thread::panicking() {
            eprintln!("{}", self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a test on a current-thread runtime that supports local tasks.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Runs a scenario with these protocols of clients and endpoints. Returns the answers that its
/// `expect` steps received.
pub fn play(client_wire: Wire, endpoint_wire: Wire, scenario: &str) -> Vec<String> {
    run(async {
        let mut stage = Stage::set_up(
            client_wire,
            endpoint_wire,
            scenario.trim().lines().next().unwrap_or(""),
        )
        .await;
        for line in scenario
            .lines()
            .map(str::trim)
            .filter(|l| !l.starts_with('#'))
        {
            let long = if line.starts_with("flood") || line.starts_with("late_duplicates") {
                STEP_TIMEOUT * 20
            } else {
                STEP_TIMEOUT
            };
            let done = tokio::time::timeout(long, stage.step(line)).await;
            assert!(
                done.is_ok(),
                "{client_wire:?} to {endpoint_wire:?}: timeout at step: {line}"
            );
        }
        std::mem::take(&mut stage.answers)
    })
}

/// Runs a scenario for RESP clients, with either protocol of the endpoints.
pub fn play_resp(scenario: &str) {
    for endpoint_wire in [Wire::Resp, Wire::Http2] {
        play(Wire::Resp, endpoint_wire, scenario);
    }
}

/// Runs a scenario with every pair of protocols. The answers must be the same.
pub fn play_all(scenario: &str) {
    let mut first: Option<Vec<String>> = None;
    for client_wire in [Wire::Resp, Wire::Http2] {
        for endpoint_wire in [Wire::Resp, Wire::Http2] {
            let answers = play(client_wire, endpoint_wire, scenario);
            assert_eq!(
                first.get_or_insert_with(|| answers.clone()),
                &answers,
                "{client_wire:?} to {endpoint_wire:?}"
            );
        }
    }
}
