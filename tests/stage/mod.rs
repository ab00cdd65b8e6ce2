//! The stage: the real program between stand-ins for clients, endpoints, counter and discovery, all on
//! loopback, and the scenario language that drives them. One line, one step; `C` is a client's connection,
//! `I` an endpoint, `K` a request's id:
//!
//!     send C K CLASS PLAN PARTNER [d=MS] [units=N] [body=BYTES] [k=KEY]   a client sends a request
//!     raw C TEXT                           a client writes bytes as they stand (\r\n are escapes)
//!     with PATH=VALUE ...                  (first line) the settings hold these: `request_classes.1.effect="token"`
//!     small                                (first line) the program's memory is 10 MB
//!     roomy                                (first line) the program may hold 1024 descriptors
//!     tight                                clients of RESP that come from now on have little room for what they do not read
//!     spill C N                            a client writes N bytes that make no sense, as far as they are taken
//!     part C N                             a client writes all but the end of a request with a body of N bytes
//!     long C N                             a client writes a request of N bytes
//!     expect C K WHAT                      its answer: served V, busy, failed, closed; or a prefix of a raw line
//!     expect I K                           an attempt arrives whole (`*`: at any endpoint)
//!     answer I K HOW                       value V, cost N V (with its true units), last V (and closes, RESP), busy, error, half (breaks halfway), reset, cut (a reset of the connection itself), refuse, goaway, garbage,
//!                                          large N (a value of N bytes), torn N (breaks off in its middle), pieces N (comes slowly),
//!                                          vain N (promises N bytes and gives 9), hang (halfway), noise (RESP), twice V, tardy V (the same, the second 5 ms later, or none if it would be later than 8 ms, RESP), odd V (with figures that make no sense, RESP)
//!     always HOW                           from now on endpoints answer at once (`echo`: with the request's id)
//!     reset C K / close C                  the client gives up a request (its connection on RESP) / closes
//!     state I STATE                        discovery tells of an endpoint (a, b): active, leaving, left
//!     inventory NAME[=STATE] ...           the operator's file names these, and is read again (SIGHUP)
//!     unseen                               endpoints send GOAWAY below every stream (HTTP/2)
//!     counter HOW                          it is silent, full, late, or answers garbage, spoilt, half, close, ok
//!     agent HOW                            discovery answers garbage, error, nonsense, ok, indented, endless (without a length), torn
//!                                          (so, and reset within), reset, or silent (open calls too, which stay so)
//!     rush N                               N clients connect at once, say nothing and stay
//!     burst C N                            a client writes N requests at once (ids C0, C1 and so on), as far as they are taken
//!     fin C                                a client ends its sending and reads on
//!     clog NAME                            discovery tells of a further endpoint, to which no connection comes up
//!     unclog NAME                          it takes connections from now on, as an endpoint
//!     move PARTS                           discovery, counter: are elsewhere from now on, as the configuration (SIGHUP) says
//!     rules TEXT                           the file of rules holds this (\n are escapes), and is read again (SIGHUP)
//!     pooled I BITS                        discovery tells of an endpoint with the label pool=BITS
//!     flood C N                            a client sends N requests with ids of their own, some at a time, and reads all answers
//!     tardies C I N MOST                   a client sends requests one behind the other, each with the answer `tardy` from
//!                                          this endpoint, until N second answers were written; MOST requests at most
//!     persist C CLASS PLAN PARTNER         a client comes again while it is refused, until it is served
//!     memory / memory MB                   notes the program's memory / it has grown by so much at most
//!     advice C K LEAST MOST                the answer is a refusal, to come back in so many ms
//!     get C K PATH [NAME=VALUE ...]        a client asks for a path by GET, with these headers (HTTP/2)
//!     post C K PATH [NAME=VALUE ...]       the same by POST
//!     config TEXT                          the configuration file holds this, and is read again (SIGHUP)
//!     stop / expect exit                   SIGTERM / the program ends with status 0
//!     held                                 (first line) the stage holds the clients' socket, and processes inherit it
//!     beside                               the program is started a second time and is ready; stop and exit mean the first
//!     stillborn                            a second process finds its address for calls taken and ends with status 2
//!     kill                                 SIGKILL to the first process; the second is the first from then on
//!     call WORD CALL                       an operator's call to the newest process; the answer begins with the word
//!     crowd N                              N clients ask PING, have their answers and stay (RESP)
//!     descriptors N                        all processes of the program together hold so many at most
//!     murmur TEXT                          a caller writes half a call and stays
//!     freeze / thaw                        SIGSTOP, SIGCONT
//!     wait MS                              time passes
//!     runs K N                             N attempts for K have arrived in all
//!     begun LEAST / begun none             notes that at least so many attempts have arrived / none has since
//!     counted N                            the counter holds N units, and under one that time brought
//!     counted N RATE                       it holds N units, and at most RATE for each second since it got the first
#![allow(dead_code)]

mod clients;
mod endpoints;
mod program;
mod services;
mod setup;
pub mod steady;
mod steps;

use clients::{write_taken, Client};
use endpoints::{describe_value, http2_endpoint, resp_endpoint};
use services::{counter, discovery};
use setup::entry;

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

/// The wire that a side speaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wire {
    Resp,
    Http2,
}

const SETTINGS: &str = include_str!("settings.json");
const OPERATOR: &str = r#"
[routes]
file = "rules.toml"
[inventory]
file = "inventory.csv"
[plugin]
script = "hook.rhai"
on_error = "nack"
"#;
const HEADER: &str = "name,address,zone,protocol,state\n";
/// Refuses one tenant and fails on another.
const HOOK: &str = r#"fn decide(c) {
    if c.partner == "000000000000dead" { return #{ nack: 300 }; }
    if c.partner == "000000000000beef" { c.no_such_function(); }
}"#;
const LONG: Duration = Duration::from_secs(4);
/// Descriptors of the program, and where it has much room.
const SOCKETS: usize = 256;
const ROOMY_SOCKETS: usize = 1024;
/// What an endpoint says of its load when it is probed.
const LOAD: &str = "lat_ms=40,rif=1,busy=0.5";
/// What a client with little room takes without reading, bytes, and the largest segment that it takes.
const TIGHT_ROOM: usize = 8 * 1024;
const TIGHT_SEGMENT: u32 = 1400;

type ArrivedAttempts = Rc<RefCell<HashMap<(String, String), oneshot::Sender<String>>>>;

/// What all stand-ins share.
#[derive(Clone, Default)]
struct Shared {
    arrived: ArrivedAttempts,
    runs: Rc<RefCell<HashMap<String, usize>>>,
    totals: Rc<RefCell<HashMap<String, f64>>>,
    /// When the counter got its first units.
    first_counted: Rc<Cell<Option<Instant>>>,
    always: Rc<RefCell<Option<String>>>,
    /// How the counter and the agent behave; empty: as they should.
    counter: Rc<RefCell<String>>,
    discovery: Rc<RefCell<String>>,
    /// HTTP/2 endpoints turn connections away unseen.
    unseen: Rc<RefCell<bool>>,
    /// Second answers of `tardy` that were written.
    second_answers: Rc<Cell<usize>>,
}

impl Shared {
    /// An attempt has arrived whole; how it is to be answered.
    fn arrive(&self, endpoint: &str, id: &str) -> oneshot::Receiver<String> {
        let (reply, notified) = oneshot::channel();
        *self.runs.borrow_mut().entry(id.to_string()).or_default() += 1;
        if let Some(how) = &*self.always.borrow() {
            let echo = how == "echo";
            let _ = reply.send(if echo {
                format!("value {id}")
            } else {
                how.clone()
            });
            return notified;
        }
        self.arrived
            .borrow_mut()
            .insert((endpoint.to_string(), id.to_string()), reply);
        notified
    }
}

/// Listens and serves each connection by `serve`; the port, and the task that holds it all.
async fn stand_in<F: Future<Output = ()> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> (u16, AbortHandle) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let task = spawn_local(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.spawn_local(serve(stream));
        }
    });
    (port, task.abort_handle())
}

async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    stream.read_buf(buffer).await.is_ok_and(|n| n > 0)
}

/// A listener whose line is full, and those who stand in it.
type FullListener = (
    String,
    socket2::Socket,
    Vec<tokio::task::JoinHandle<std::io::Result<TcpStream>>>,
);

/// The program and everything round it.
pub struct Stage {
    program: Child,
    /// Started beside the first, with the port where staff call it.
    second: Option<Child>,
    staff_port: u16,
    /// The clients' socket, where the stage holds it.
    held: Option<socket2::Socket>,
    idle_connections: Vec<TcpStream>,
    full_listeners: Vec<FullListener>,
    /// The program has little memory.
    small: bool,
    /// The descriptors of the program.
    sockets: usize,
    /// New clients have little room for what they do not read.
    tight: bool,
    settings: String,
    front: Wire,
    ports: HashMap<&'static str, String>,
    clients: HashMap<String, Client>,
    shared: Shared,
    list: watch::Sender<Vec<String>>,
    /// Discovery and counter: where they are.
    services: HashMap<&'static str, (u16, AbortHandle)>,
    endpoints: HashMap<String, (u16, Wire)>,
    answers: Vec<String>,
    folder: PathBuf,
    /// Memory of the program when it was noted last, MB.
    memory: f64,
    /// Attempts that had arrived when they were noted last.
    begun: usize,
}

impl Stage {
    fn staff_address(&self) -> String {
        let host = self.ports["resp"].split(':').next().unwrap().to_string();
        format!("{host}:{}", self.staff_port)
    }

    /// An operator's call and its answer.
    async fn call(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.staff_address()).await.unwrap();
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

    /// Waits for an attempt at an endpoint, or at any (`*`).
    async fn arrived(&self, endpoint: &str, id: &str) -> (String, String) {
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

    /// Attempts that have arrived in all.
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

/// Runs what a test does by itself, with tasks of its own.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Plays a scenario with these wires in front and behind; the answers that it expected.
pub fn play(front: Wire, behind: Wire, scenario: &str) -> Vec<String> {
    run(async {
        let mut stage =
            Stage::set(front, behind, scenario.trim().lines().next().unwrap_or("")).await;
        for line in scenario
            .lines()
            .map(str::trim)
            .filter(|l| !l.starts_with('#'))
        {
            let long = if line.starts_with("flood") || line.starts_with("tardies") {
                LONG * 20
            } else {
                LONG
            };
            let done = tokio::time::timeout(long, stage.step(line)).await;
            assert!(
                done.is_ok(),
                "{front:?} to {behind:?}: nothing came of: {line}"
            );
        }
        std::mem::take(&mut stage.answers)
    })
}

/// Plays a scenario for RESP clients with either wire behind.
pub fn play_resp(scenario: &str) {
    for behind in [Wire::Resp, Wire::Http2] {
        play(Wire::Resp, behind, scenario);
    }
}

/// Plays a scenario with every pair of wires: the answers must be the same.
pub fn play_all(scenario: &str) {
    let mut first: Option<Vec<String>> = None;
    for front in [Wire::Resp, Wire::Http2] {
        for behind in [Wire::Resp, Wire::Http2] {
            let answers = play(front, behind, scenario);
            assert_eq!(
                first.get_or_insert_with(|| answers.clone()),
                &answers,
                "{front:?} to {behind:?}"
            );
        }
    }
}
