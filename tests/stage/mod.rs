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
//!                                          vain N (promises N bytes and gives 9), hang (halfway), noise (RESP), twice V, tardy V (the same, the second 5 ms later, RESP), odd V (with figures that make no sense, RESP)
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
#![allow(dead_code)]

mod program;
pub mod steady;

use bytes::Bytes;
use driftgap::protocol::http2::push_body;
use driftgap::protocol::resp::{endpoint_reply, request_words, Parsed, Reply};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::future::{poll_fn, Future};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
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

type Arrived = Rc<RefCell<HashMap<(String, String), oneshot::Sender<String>>>>;

/// What all stand-ins share.
#[derive(Clone, Default)]
struct Shared {
    arrived: Arrived,
    runs: Rc<RefCell<HashMap<String, usize>>>,
    totals: Rc<RefCell<HashMap<String, f64>>>,
    always: Rc<RefCell<Option<String>>>,
    /// How the counter and the agent behave; empty: as they should.
    counter: Rc<RefCell<String>>,
    agent: Rc<RefCell<String>>,
    /// HTTP/2 endpoints turn connections away unseen.
    unseen: Rc<RefCell<bool>>,
}

impl Shared {
    /// An attempt has arrived whole; how it is to be answered.
    fn arrive(&self, endpoint: &str, id: &str) -> oneshot::Receiver<String> {
        let (tell, notified) = oneshot::channel();
        *self.runs.borrow_mut().entry(id.to_string()).or_default() += 1;
        if let Some(how) = &*self.always.borrow() {
            let echo = how == "echo";
            let _ = tell.send(if echo {
                format!("value {id}")
            } else {
                how.clone()
            });
            return notified;
        }
        self.arrived
            .borrow_mut()
            .insert((endpoint.to_string(), id.to_string()), tell);
        notified
    }
}

async fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    stream.read_buf(buffer).await.is_ok_and(|n| n > 0)
}

/// Writes this as far as it is taken: what waits for 50 ms stays with the writer.
async fn write_taken(stream: &mut TcpStream, mut rest: &[u8]) {
    while !rest.is_empty() {
        match tokio::time::timeout(Duration::from_millis(50), stream.write(rest)).await {
            Ok(Ok(n)) => rest = &rest[n..],
            _ => return,
        }
    }
}

/// A large value: its bytes tell their places.
fn large(n: &str) -> Vec<u8> {
    (0..n.parse::<u32>().unwrap())
        .map(|i| (i % 251) as u8)
        .collect()
}

/// A large value in the parts in which an endpoint sends it, with a pause behind each.
struct Parts<'a> {
    /// The size that it promises.
    size: &'a str,
    parts: Vec<Vec<u8>>,
    /// That is all of it.
    whole: bool,
}

fn parts(how: &str) -> Option<Parts<'_>> {
    let (how, size) = how.split_once(' ')?;
    if !["large", "torn", "vain", "pieces"].contains(&how) {
        return None;
    }
    let value = large(size);
    let half = value.len() / 2;
    let (parts, whole) = match how {
        "torn" => (vec![value[..half].to_vec()], false),
        "vain" => (vec![b"nine-long".to_vec()], true),
        "pieces" => (
            value.chunks(value.len() / 12).map(<[u8]>::to_vec).collect(),
            true,
        ),
        _ => (vec![value], true),
    };
    Some(Parts { size, parts, whole })
}

/// A value as the language names it: by length, and whether it is as an endpoint gave it, where it is large.
fn named(value: &[u8]) -> String {
    if value.len() < 1000 {
        return String::from_utf8_lossy(value).to_string();
    }
    let good = value == large(&value.len().to_string());
    format!("{} {}", value.len(), if good { "bytes" } else { "SPOILT" })
}

/// The figures on use and the value of `cost N V`.
fn figured(v: &str) -> (String, &str) {
    let (cost, v) = v.split_once(' ').unwrap();
    (format!("used=37,cost={cost}"), v)
}

async fn resp_endpoint(name: String, mut stream: TcpStream, shared: Shared) {
    let mut buffer = Vec::new();
    loop {
        let (id, used) = loop {
            if let Ok(Parsed::Complete(words, n)) = request_words(&buffer) {
                break (
                    words
                        .get(2)
                        .map(|id| String::from_utf8_lossy(id).to_string()),
                    n,
                );
            }
            if !read_some(&mut stream, &mut buffer).await {
                return;
            }
        };
        buffer.drain(..used);
        let Some(id) = id else {
            // A probe.
            let _ = stream
                .write_all(format!("${}\r\n{LOAD}\r\n", LOAD.len()).as_bytes())
                .await;
            continue;
        };
        let Ok(how) = shared.arrive(&name, &id).await else {
            return;
        };
        if let Some(Parts { size, parts, whole }) = parts(&how) {
            let _ = stream
                .write_all(format!("*3\r\n${size}\r\n").as_bytes())
                .await;
            for part in parts {
                let _ = stream.write_all(&part).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            if !whole {
                return;
            }
            let _ = stream.write_all(b"\r\n$-1\r\n$-1\r\n").await;
            continue;
        }
        let reply = match how.split_once(' ').unwrap_or((&how, "")) {
            ("value" | "last" | "tardy", v) => {
                format!("*3\r\n${}\r\n{v}\r\n$-1\r\n$-1\r\n", v.len())
            }
            ("cost", v) => {
                let (statistics, v) = figured(v);
                format!(
                    "*3\r\n${}\r\n{v}\r\n${}\r\n{statistics}\r\n$-1\r\n",
                    v.len(),
                    statistics.len()
                )
            }
            ("busy" | "refuse", _) => "-BUSY\r\n".to_string(),
            ("error", _) => "-ERR failed\r\n".to_string(),
            ("half" | "hang", _) => "*3\r\n$10\r\nabc".to_string(),
            ("twice", v) => format!("*3\r\n${0}\r\n{v}\r\n$-1\r\n$-1\r\n", v.len()).repeat(2),
            ("noise", _) => "-what is this\r\n".to_string(),
            ("odd", v) => format!("*3\r\n${}\r\n{v}\r\n+what\r\n$9\r\nlat_ms=no\r\n", v.len()),
            ("garbage", _) => "!what is this\r\n".to_string(),
            _ => String::new(),
        };
        let _ = stream.write_all(reply.as_bytes()).await;
        if how.starts_with("tardy") {
            tokio::time::sleep(Duration::from_millis(5)).await;
            let _ = stream.write_all(reply.as_bytes()).await;
        }
        if how == "cut" {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if matches!(
            how.split(' ').next(),
            Some("half" | "reset" | "goaway" | "last")
        ) {
            return;
        }
    }
}

/// Sends GOAWAY with last stream id 0: the streams that were opened have not been seen.
async fn unseen(mut stream: TcpStream) {
    let _ = stream.write_all(&[0, 0, 0, 4, 0, 0, 0, 0, 0]).await;
    let mut buffer = Vec::new();
    // Behind the preface: frames up to the headers of the first stream.
    let headers = |bytes: &[u8]| {
        let mut at = 24;
        while let Some([a, b, c, kind]) = bytes.get(at..at + 4) {
            if *kind == 1 {
                return true;
            }
            at += 9 + usize::from(*a) * 65536 + usize::from(*b) * 256 + usize::from(*c);
        }
        false
    };
    while !headers(&buffer) && read_some(&mut stream, &mut buffer).await {}
    let _ = stream
        .write_all(&[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0])
        .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
}

#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
async fn http2_endpoint(name: String, stream: TcpStream, shared: Shared) {
    if *shared.unseen.borrow() {
        return unseen(stream).await;
    }
    let socket = socket2::SockRef::from(&stream).try_clone().unwrap();
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    let abrupt = Rc::new(tokio::sync::Notify::new());
    let cut = Rc::new(tokio::sync::Notify::new());
    loop {
        let next = tokio::select! {
            next = connection.accept() => next,
            () = cut.notified() => return socket.set_linger(Some(Duration::ZERO)).unwrap(),
            () = abrupt.notified() => { connection.abrupt_shutdown(h2::Reason::NO_ERROR); continue }
        };
        let Some(Ok((request, mut respond))) = next else {
            return;
        };
        let (name, shared) = (name.clone(), shared.clone());
        let (abrupt, cut) = (abrupt.clone(), cut.clone());
        spawn_local(async move {
            let Some(id) = request
                .headers()
                .get("req-id")
                .map(|id| id.to_str().unwrap().to_string())
            else {
                // A probe.
                let load = http::Response::new(());
                let mut send = respond.send_response(load, false).unwrap();
                return send
                    .send_data(Bytes::from_static(LOAD.as_bytes()), true)
                    .unwrap();
            };
            let mut body = request.into_body();
            while let Some(Ok(part)) = body.data().await {
                let _ = body.flow_control().release_capacity(part.len());
            }
            let how = tokio::select! {
                how = shared.arrive(&name, &id) => how,
                _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
            };
            let Ok(how) = how else { return };
            let head = |status: u16| http::Response::builder().status(status);
            if let Some(Parts { size, parts, whole }) = parts(&how) {
                let head = head(200).header("content-length", size).body(()).unwrap();
                let mut send = respond.send_response(head, false).unwrap();
                for part in parts {
                    if !push_body(&mut send, part.into(), false).await {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                if !whole {
                    return send.send_reset(h2::Reason::INTERNAL_ERROR);
                }
                if how.starts_with("vain") {
                    std::future::pending::<()>().await;
                }
                let _ = send.send_data(Bytes::new(), true);
                return;
            }
            match how.split_once(' ').unwrap_or((&how, "")) {
                (word @ ("value" | "cost"), v) => {
                    let (mut head, mut v) = (head(200), v);
                    if word == "cost" {
                        let (statistics, value) = figured(v);
                        (head, v) = (head.header("srv-use", statistics), value);
                    }
                    let mut send = respond
                        .send_response(head.body(()).unwrap(), false)
                        .unwrap();
                    send.send_data(Bytes::copy_from_slice(v.as_bytes()), true)
                        .unwrap();
                }
                ("busy", _) => {
                    let declined = head(503).header("srv-declined", "1").body(()).unwrap();
                    respond.send_response(declined, true).unwrap();
                }
                ("error" | "garbage", _) => {
                    respond
                        .send_response(head(500).body(()).unwrap(), true)
                        .unwrap();
                }
                ("half", _) => {
                    let mut send = respond
                        .send_response(head(200).body(()).unwrap(), false)
                        .unwrap();
                    send.send_data(Bytes::from_static(b"abc"), false).unwrap();
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    send.send_reset(h2::Reason::INTERNAL_ERROR);
                }
                ("refuse", _) => respond.send_reset(h2::Reason::REFUSED_STREAM),
                ("hang", _) => {
                    let mut send = respond
                        .send_response(head(200).body(()).unwrap(), false)
                        .unwrap();
                    send.send_data(Bytes::from_static(b"abc"), false).unwrap();
                    std::future::pending::<()>().await;
                }
                ("goaway", _) => {
                    abrupt.notify_one();
                    std::future::pending::<()>().await;
                }
                ("cut", _) => {
                    cut.notify_one();
                    std::future::pending::<()>().await;
                }
                _ => respond.send_reset(h2::Reason::INTERNAL_ERROR),
            }
        });
    }
}

/// The counter: adds, and answers with the total.
async fn counter(mut stream: TcpStream, shared: Shared) {
    let mut buffer = Vec::new();
    loop {
        while let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 4);
            let path = head.split(' ').nth(1).unwrap();
            let (name, query) = path
                .strip_prefix("/tally/")
                .unwrap()
                .split_once('?')
                .unwrap();
            let amount = query.split('&').find_map(|p| p.strip_prefix("n=")).unwrap();
            let total = {
                let mut totals = shared.totals.borrow_mut();
                let total = totals.entry(name.to_string()).or_default();
                *total += amount.parse::<f64>().unwrap();
                total.to_string()
            };
            let mut answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}",
                total.len()
            );
            let how = shared.counter.borrow().clone();
            match how.as_str() {
                "silent" => continue,
                "close" => return,
                "late" => tokio::time::sleep(Duration::from_millis(200)).await,
                "full" => answer = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into(),
                "garbage" => answer = "what?\r\n\r\n".into(),
                "spoilt" => answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhat".into(),
                "half" => answer = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nwhat".into(),
                _ => answer.insert_str(0, "HTTP/1.1 103 Early Hints\r\n\r\n"),
            }
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        if !read_some(&mut stream, &mut buffer).await {
            return;
        }
    }
}

/// The agent: the whole list, then the changes after the version held, as soon as there are any.
async fn agent(mut stream: TcpStream, mut changes: watch::Receiver<Vec<String>>, shared: Shared) {
    let mut buffer = Vec::new();
    loop {
        while !buffer.windows(4).any(|w| w == b"\r\n\r\n") {
            if !read_some(&mut stream, &mut buffer).await {
                return;
            }
        }
        let head = String::from_utf8_lossy(&buffer).to_string();
        buffer.clear();
        let asked = |name: &str| {
            let value = head.split(name).nth(1)?;
            value.split(['&', ' ']).next()?.parse::<usize>().ok()
        };
        let held = asked("index=");
        let until =
            tokio::time::Instant::now() + Duration::from_millis(asked("wait=").unwrap_or(0) as u64);
        while changes.borrow().len() <= held.unwrap_or(0) {
            match tokio::time::timeout_at(until, changes.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => break,
            }
        }
        let how = shared.agent.borrow().clone();
        if how == "silent" {
            // As if cut off: nothing is ever answered here, and nothing ends.
            std::future::pending::<()>().await;
        }
        if how == "reset" {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        let (full, version, servers) = match held {
            None => (true, 1, changes.borrow()[0].clone()),
            Some(held) => (
                false,
                changes.borrow().len(),
                changes.borrow()[held..].join(","),
            ),
        };
        let body = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if how == "endless" || how == "torn" {
            let half = if how == "torn" {
                body.len() - 1
            } else {
                body.len()
            };
            let _ = stream
                .write_all(format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..half]).as_bytes())
                .await;
            // What was written must have been read before a reset, or it goes with it.
            tokio::time::sleep(Duration::from_millis(30)).await;
            if how == "torn" {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            return;
        }
        match how.as_str() {
            "garbage" => answer = "what?\r\n\r\n".into(),
            "indented" => {
                let list: serde_json::Value = serde_json::from_str(&body).unwrap();
                let body = serde_json::to_string_pretty(&list).unwrap();
                answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
            }
            "error" => answer = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".into(),
            "nonsense" => answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]".into(),
            _ => {}
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
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

/// A connection to this address, with little room for what is not read if it is `tight`.
async fn connect(address: &str, tight: bool) -> TcpStream {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    if tight {
        socket.set_recv_buffer_size(TIGHT_ROOM as u32).unwrap();
        socket2::SockRef::from(&socket)
            .set_tcp_mss(TIGHT_SEGMENT)
            .unwrap();
    }
    socket.connect(address.parse().unwrap()).await.unwrap()
}

enum Client {
    Resp {
        stream: TcpStream,
        buffer: Vec<u8>,
        sent: VecDeque<String>,
    },
    Http2 {
        send: h2::client::SendRequest<Bytes>,
        streams: HashMap<String, Stream>,
        ended: Rc<RefCell<bool>>,
    },
}

type Stream = (h2::client::ResponseFuture, h2::SendStream<Bytes>);

/// A listener whose line is full, and those who stand in it.
type Clogged = (
    String,
    socket2::Socket,
    Vec<tokio::task::JoinHandle<std::io::Result<TcpStream>>>,
);

/// The program and everything round it.
pub struct Stage {
    program: Child,
    /// Started beside the first, with the port where staff call it.
    second: Option<Child>,
    calls: u16,
    /// The clients' socket, where the stage holds it.
    held: Option<socket2::Socket>,
    murmurs: Vec<TcpStream>,
    clogged: Vec<Clogged>,
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
    parties: HashMap<&'static str, (u16, AbortHandle)>,
    endpoints: HashMap<String, (u16, Wire)>,
    answers: Vec<String>,
    folder: PathBuf,
    /// Memory of the program when it was noted last, MB.
    memory: f64,
    /// Attempts that had arrived when they were noted last.
    begun: usize,
}

/// The settings with these changes: `limits.parallel_tries=true request_classes.1.effect="token"`.
fn changed(changes: &str) -> String {
    let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).unwrap();
    for change in changes.split_whitespace() {
        let (path, value) = change.split_once('=').unwrap();
        let pointer = format!("/{}", path.replace('.', "/"));
        *settings
            .pointer_mut(&pointer)
            .unwrap_or_else(|| panic!("no setting {path}")) = serde_json::from_str(value).unwrap();
    }
    settings.to_string()
}

/// A loopback address of this stage alone, so that no other test's program or connection can hold its ports.
fn own_address() -> String {
    static STAGES: AtomicU32 = AtomicU32::new(0);
    let (stage, process) = (STAGES.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!(
        "127.{}.{}.{}",
        10 + process % 200,
        process / 200 % 250,
        1 + stage % 250
    )
}

fn entry(name: &str, port: u16, wire: Wire, state: &str) -> String {
    let protocol = if wire == Wire::Http2 { "http2" } else { "resp" };
    format!(
        r#"{{"id":"{name}","addr":"127.0.0.1:{port}","zone":"building-1","kind":"small-2c","cell":0,
            "state":"{state}","weight":1.0,"started_ms":0,"protocol":"{protocol}"}}"#
    )
}

impl Stage {
    /// Sets it up; `first` is a scenario's first line.
    pub async fn set(front: Wire, wire: Wire, first: &str) -> Stage {
        let (held, small) = (first == "held", first == "small");
        let shared = Shared::default();
        let mut endpoints = HashMap::new();
        for name in ["a", "b", "extra"] {
            let shared = shared.clone();
            let port = match wire {
                Wire::Resp => {
                    stand_in(move |s| resp_endpoint(name.into(), s, shared.clone())).await
                }
                Wire::Http2 => {
                    stand_in(move |s| http2_endpoint(name.into(), s, shared.clone())).await
                }
            };
            endpoints.insert(name.to_string(), (port.0, wire));
        }
        let listed = endpoints.iter().filter(|(name, _)| *name != "extra");
        let entries: Vec<_> = listed
            .map(|(n, (p, w))| entry(n, *p, *w, "active"))
            .collect();
        let (list, _) = watch::channel(vec![entries.join(",")]);
        let (host, listen, second) = (own_address(), 6379, 8080);
        let folder =
            std::env::temp_dir().join(format!("driftgap-stage-{}-{host}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let operator = folder.join("operator.toml");
        let sections = format!("[http2]\nlisten = \"{host}:{second}\"\n{OPERATOR}");
        std::fs::write(&operator, sections).unwrap();
        std::fs::write(folder.join("hook.rhai"), HOOK).unwrap();
        std::fs::write(folder.join("rules.toml"), "").unwrap();
        std::fs::write(folder.join("inventory.csv"), HEADER).unwrap();
        let ports = [("resp", listen), ("http2", second)]
            .map(|(wire, port)| (wire, format!("{host}:{port}")))
            .into();
        let (clients, parties, answers) = Default::default();
        // Replaced by the program once everything that it needs is there.
        let program = Command::new("true").spawn().unwrap();
        let held = held.then(|| {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            let address: std::net::SocketAddr = format!("{host}:{listen}").parse().unwrap();
            socket.bind(&address.into()).unwrap();
            socket.listen(1024).unwrap();
            socket.set_cloexec(false).unwrap();
            socket
        });
        let mut stage = Stage {
            program,
            second: None,
            calls: 19_000,
            held,
            murmurs: Vec::new(),
            clogged: Vec::new(),
            small,
            sockets: if first == "roomy" {
                ROOMY_SOCKETS
            } else {
                SOCKETS
            },
            tight: false,
            settings: changed(first.strip_prefix("with ").unwrap_or("")),
            front,
            ports,
            clients,
            shared,
            list,
            parties,
            endpoints,
            answers,
            folder,
            memory: 0.0,
            begun: 0,
        };
        stage.relocate(&["discovery", "counter"]).await;
        stage.program = stage.start();
        stage.ready().await;
        stage
    }

    fn operators(&self) -> String {
        let host = self.ports["resp"].split(':').next().unwrap().to_string();
        format!("{host}:{}", self.calls)
    }

    /// An operator's call and its answer.
    async fn call(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.operators()).await.unwrap();
        stream
            .write_all(format!("{text}\n").as_bytes())
            .await
            .unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer.trim_end().to_string()
    }

    /// Puts these parties at new ports and says so in the configuration; what they held stays theirs.
    async fn relocate(&mut self, parties: &[&str]) -> Vec<AbortHandle> {
        let mut old = Vec::new();
        for party in parties {
            let shared = self.shared.clone();
            let (name, new) = match *party {
                "counter" => (
                    "counter",
                    stand_in(move |s| counter(s, shared.clone())).await,
                ),
                "discovery" => {
                    let list = self.list.clone();
                    (
                        "discovery",
                        stand_in(move |s| agent(s, list.subscribe(), shared.clone())).await,
                    )
                }
                other => panic!("no such party: {other}"),
            };
            old.extend(self.parties.insert(name, new).map(|(_, task)| task));
        }
        let at = |party: &str| self.parties[party].0;
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"127.0.0.1:{}","counter":"127.0.0.1:{}",
                "seed":"1f","limits":{{"sockets":{},"memory_mb":{}}},"settings":{}}}"#,
            self.ports["resp"],
            at("discovery"),
            at("counter"),
            self.sockets,
            if self.small { 10 } else { 192 },
            self.settings
        );
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        old
    }

    /// Waits until the program says that it can serve.
    async fn ready(&mut self) {
        for _ in 0..400 {
            if self.ping().await.is_some() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the program is not ready");
    }

    /// A client that asks PING; none: it hears no yes.
    async fn ping(&self) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(&self.ports["resp"]).await.ok()?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").await.ok()?;
        let mut answer = Vec::new();
        let yes = read_some(&mut stream, &mut answer).await && answer == b"+PONG\r\n";
        yes.then_some(stream)
    }

    async fn client(&mut self, name: &str) -> &mut Client {
        if !self.clients.contains_key(name) {
            let address = if self.front == Wire::Resp {
                &self.ports["resp"]
            } else {
                &self.ports["http2"]
            };
            let tight = self.tight && self.front == Wire::Resp;
            let stream = connect(address, tight).await;
            let client = match self.front {
                Wire::Resp => Client::Resp {
                    stream,
                    buffer: Vec::new(),
                    sent: VecDeque::new(),
                },
                Wire::Http2 => {
                    let (send, connection) = h2::client::handshake(stream).await.unwrap();
                    let ended = Rc::new(RefCell::new(false));
                    let end = ended.clone();
                    spawn_local(async move {
                        let _ = connection.await;
                        *end.borrow_mut() = true;
                    });
                    Client::Http2 {
                        send,
                        streams: HashMap::new(),
                        ended,
                    }
                }
            };
            self.clients.insert(name.to_string(), client);
        }
        self.clients.get_mut(name).unwrap()
    }

    async fn send(&mut self, words: &[&str]) {
        let [name, id, class, plan, tenant, rest @ ..] = words else {
            panic!("{words:?}")
        };
        let size = rest
            .iter()
            .find_map(|w| w.strip_prefix("body="))
            .unwrap_or("4");
        let safe = *class == "fetch-episode";
        let content = if safe {
            String::new()
        } else {
            "B".repeat(size.parse().unwrap())
        };
        let d = rest
            .iter()
            .find_map(|w| w.strip_prefix("d="))
            .unwrap_or("2000");
        let units = rest
            .iter()
            .find_map(|w| w.strip_prefix("units="))
            .unwrap_or("2");
        let key = rest.iter().find_map(|w| w.strip_prefix("k="));
        match self.client(name).await {
            Client::Resp { stream, sent, .. } => {
                let verb = if safe { "SVC.QUERY" } else { "SVC.SUBMIT" };
                let key = key.map_or(String::new(), |key| format!(",k={key}"));
                let terms = format!("c={class},t={plan},d={d},units={units},spread=1,first=0{key}");
                let tenant = format!("{tenant:0>16}");
                let words = [verb, tenant.as_str(), id, &terms, &content];
                let words = &words[..if safe { 4 } else { 5 }];
                let mut text = format!("*{}\r\n", words.len());
                for word in words {
                    text.push_str(&format!("${}\r\n{word}\r\n", word.len()));
                }
                stream.write_all(text.as_bytes()).await.unwrap();
                sent.push_back(id.to_string());
            }
            Client::Http2 { send, streams, .. } => {
                let mut request = http::Request::post(format!("http://ingress/commands/{class}"));
                if let Some(key) = key {
                    request = request.header("idempotency-key", key);
                }
                let request = request
                    .header("api-customer", format!("{tenant:0>16}"))
                    .header("req-id", *id)
                    .header("api-plan", *plan)
                    .header("req-deadline-ms", d)
                    .header("api-terms", format!("units={units},spread=1,first=0"))
                    .body(())
                    .unwrap();
                let mut ready = send.clone().ready().await.unwrap();
                let (response, mut body) = ready.send_request(request, false).unwrap();
                body.send_data(content.into(), true).unwrap();
                streams.insert(id.to_string(), (response, body));
            }
        }
    }

    /// The answer to a request, in the language's words.
    async fn answer(&mut self, name: &str, id: &str) -> String {
        match self.clients.get_mut(name).unwrap() {
            Client::Resp {
                stream,
                buffer,
                sent,
            } => loop {
                let size = buffer.strip_prefix(b"$").and_then(|rest| {
                    let end = rest.iter().position(|b| *b == b'\r')?;
                    let size = std::str::from_utf8(&rest[..end])
                        .ok()?
                        .parse::<usize>()
                        .ok()?;
                    Some((end + 3, size))
                });
                if let Some((from, size)) = size.filter(|(_, size)| *size > 64 * 1024) {
                    if buffer.len() >= from + size + 2 {
                        let value = named(&buffer[from..from + size]);
                        buffer.drain(..from + size + 2);
                        assert!(
                            sent.pop_front().is_none_or(|s| s == id),
                            "answers out of order at {id}"
                        );
                        return format!("served {value}");
                    }
                } else if let Ok(Parsed::Complete(reply, n)) = endpoint_reply(buffer) {
                    let text = |b: &[u8]| String::from_utf8_lossy(b).to_string();
                    let word = match reply {
                        Reply::Bulk(Some(value)) => format!("served {}", named(value)),
                        Reply::Error(e) if e.starts_with(b"BUSY") => "busy".to_string(),
                        Reply::Error(e) if e.starts_with(b"ERR failed") => "failed".to_string(),
                        Reply::Error(e) => format!("-{}", text(e)),
                        Reply::Simple(s) => format!("+{}", text(s)),
                        other => format!("{other:?}"),
                    };
                    buffer.drain(..n);
                    assert!(
                        sent.pop_front().is_none_or(|s| s == id),
                        "answers out of order at {id}"
                    );
                    return word;
                }
                if !read_some(stream, buffer).await {
                    return "closed".into();
                }
            },
            Client::Http2 { streams, ended, .. } => {
                let Some((response, _)) = streams.remove(id) else {
                    while !*ended.borrow() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                    return "closed".into();
                };
                let Ok(response) = response.await else {
                    return "closed".into();
                };
                let (head, mut body) = response.into_parts();
                let mut value = Vec::new();
                while let Some(part) = body.data().await {
                    let Ok(part) = part else {
                        return "closed".into();
                    };
                    let _ = body.flow_control().release_capacity(part.len());
                    value.extend_from_slice(&part);
                }
                match head.status.as_u16() {
                    200 => format!("served {}", named(&value)),
                    503 if value == b"not ready" => "not ready".into(),
                    429 | 503 => {
                        assert!(head.headers.contains_key("retry-after"));
                        "busy".into()
                    }
                    502 | 504 => "failed".into(),
                    other => other.to_string(),
                }
            }
        }
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

    /// Requests in batches, each with an id that no other has.
    async fn flood(&mut self, name: &str, n: usize) {
        const BATCH: usize = 100;
        for batch in 0..n / BATCH {
            let ids: Vec<String> = (0..BATCH)
                .map(|i| format!("f{}", batch * BATCH + i))
                .collect();
            for id in &ids {
                self.send(&[name, id, "fetch-episode", "city", "7"]).await;
            }
            for id in &ids {
                let answer = self.answer(name, id).await;
                assert!(
                    answer == "busy" || answer.starts_with("served"),
                    "{id}: {answer}"
                );
            }
        }
    }

    /// Attempts that have arrived in all.
    fn attempts(&self) -> usize {
        self.shared.runs.borrow().values().sum()
    }

    /// Does one step of a scenario.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub async fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["send", rest @ ..] => self.send(rest).await,
            ["raw", name, ..] => {
                let text = line.splitn(3, ' ').nth(2).unwrap_or("");
                let text = text.replace("\\r", "\r").replace("\\n", "\n");
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("raw is for RESP")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
            ["burst", name, n] => {
                let terms = "c=fetch-episode,t=national,d=3000,units=1,spread=1,first=0";
                let request = |i: usize| {
                    let id = format!("{name}{i}");
                    let tenant = format!("{i:016x}");
                    let words = ["SVC.QUERY", &tenant, &id, terms];
                    let words = words.map(|word| format!("${}\r\n{word}\r\n", word.len()));
                    format!("*4\r\n{}", words.concat())
                };
                let text: String = (0..n.parse().unwrap()).map(request).collect();
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("burst is for RESP")
                };
                write_taken(stream, text.as_bytes()).await;
            }
            ["spill", name, n] => {
                let noise = "x".repeat(n.parse().unwrap());
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("spill is for RESP")
                };
                write_taken(stream, noise.as_bytes()).await;
            }
            ["fin", name] => {
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("fin is for RESP")
                };
                stream.shutdown().await.unwrap();
            }
            ["clog", name] => {
                // A line of connections that nobody takes: further ones do not come up.
                let socket =
                    socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
                        .unwrap();
                socket
                    .bind(
                        &"127.0.0.1:0"
                            .parse::<std::net::SocketAddr>()
                            .unwrap()
                            .into(),
                    )
                    .unwrap();
                socket.listen(0).unwrap();
                let at = socket.local_addr().unwrap().as_socket().unwrap();
                let line = (0..4)
                    .map(|_| spawn_local(TcpStream::connect(at)))
                    .collect::<Vec<_>>();
                tokio::time::sleep(Duration::from_millis(50)).await;
                let wire = self.endpoints["a"].1;
                self.endpoints.insert(name.to_string(), (at.port(), wire));
                self.clogged.push((name.to_string(), socket, line));
                let entry = entry(name, at.port(), wire, "active");
                self.list.send_modify(|changes| changes.push(entry));
            }
            ["unclog", name] => {
                let at = self
                    .clogged
                    .iter()
                    .position(|clogged| clogged.0 == *name)
                    .expect("one that is clogged");
                let (name, socket, line) = self.clogged.remove(at);
                line.iter().for_each(tokio::task::JoinHandle::abort);
                socket.set_nonblocking(true).unwrap();
                let listener = TcpListener::from_std(socket.into()).unwrap();
                let (wire, shared) = (self.endpoints[&name].1, self.shared.clone());
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        match wire {
                            Wire::Resp => {
                                spawn_local(resp_endpoint(name.clone(), stream, shared.clone()))
                            }
                            Wire::Http2 => {
                                spawn_local(http2_endpoint(name.clone(), stream, shared.clone()))
                            }
                        };
                    }
                });
            }
            ["long", name, n] => {
                let value = "x".repeat(n.parse::<usize>().unwrap() / 2);
                let text = format!(
                    "*3\r\n$4\r\nPING\r\n${0}\r\n{value}\r\n${0}\r\n{value}\r\n",
                    value.len()
                );
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("long is for RESP")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
            ["expect", "exit"] => loop {
                if let Some(status) = self.program.try_wait().unwrap() {
                    assert!(status.success(), "{status}");
                    if let Some(second) = self.second.take() {
                        self.program = second;
                    }
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            },
            ["expect", endpoint, id]
                if *endpoint == "*" || self.endpoints.contains_key(*endpoint) =>
            {
                self.arrived(endpoint, id).await;
            }
            ["expect", name, id, what @ ..] => {
                let (got, want) = (self.answer(name, id).await, what.join(" "));
                assert!(
                    got.starts_with(&want),
                    "{:?}: {line}: got {got}",
                    self.front
                );
                self.answers.push(got);
            }
            ["answer", endpoint, id, how @ ..] => {
                let key = self.arrived(endpoint, id).await;
                let tell = self.shared.arrived.borrow_mut().remove(&key).unwrap();
                let _ = tell.send(how.join(" "));
            }
            ["reset", name, id] => match self.clients.get_mut(*name).unwrap() {
                Client::Resp { .. } => drop(self.clients.remove(*name)),
                Client::Http2 { streams, .. } => {
                    streams
                        .remove(*id)
                        .unwrap()
                        .1
                        .send_reset(h2::Reason::CANCEL);
                }
            },
            ["close", name] => drop(self.clients.remove(*name)),
            ["state", name, state] => {
                let (port, wire) = self.endpoints[*name];
                let entry = entry(name, port, wire, state);
                self.list.send_modify(|changes| changes.push(entry));
            }
            ["always", how @ ..] => *self.shared.always.borrow_mut() = Some(how.join(" ")),
            ["inventory", names @ ..] => {
                let row = |name: &&str| {
                    let (name, state) = name.split_once('=').unwrap_or((name, ""));
                    match self.endpoints.get(name) {
                        Some((port, Wire::Http2)) => {
                            format!("{name},127.0.0.1:{port},building-1,http2,{state}\n")
                        }
                        Some((port, Wire::Resp)) => {
                            format!("{name},127.0.0.1:{port},building-1,resp,{state}\n")
                        }
                        None => format!("{name},nowhere,,,\n"),
                    }
                };
                let rows: String = names.iter().map(row).collect();
                std::fs::write(self.folder.join("inventory.csv"), format!("{HEADER}{rows}"))
                    .unwrap();
                self.read_again().await;
            }
            ["move", parties @ ..] => {
                let old = self.relocate(parties).await;
                self.read_again().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                old.iter().for_each(AbortHandle::abort);
            }
            ["rules", ..] => {
                let text = line
                    .split_once(' ')
                    .map_or("", |x| x.1)
                    .replace("\\n", "\n");
                std::fs::write(self.folder.join("rules.toml"), text).unwrap();
                self.read_again().await;
            }
            ["pooled", name, label] => {
                let (port, wire) = self.endpoints[*name];
                let entry = entry(name, port, wire, "active");
                let labels = format!(r#""labels":{{"pool":"{label}"}},"state""#);
                self.list
                    .send_modify(|changes| changes.push(entry.replace(r#""state""#, &labels)));
                tokio::time::sleep(Duration::from_millis(60)).await;
            }
            [method @ ("get" | "post"), name, id, path, headers @ ..] => {
                let Client::Http2 { send, streams, .. } = self.client(name).await else {
                    panic!("HTTP/2 alone")
                };
                let mut request = http::Request::builder()
                    .method(method.to_uppercase().as_str())
                    .uri(format!("http://ingress{path}"));
                for (name, value) in headers.iter().filter_map(|h| h.split_once('=')) {
                    request = request.header(name, value);
                }
                let mut ready = send.clone().ready().await.unwrap();
                let stream = ready.send_request(request.body(()).unwrap(), true).unwrap();
                streams.insert(id.to_string(), stream);
            }
            ["flood", name, n] => self.flood(name, n.parse().unwrap()).await,
            ["persist", name, terms @ ..] => {
                for turn in 0.. {
                    let id = format!("{name}-{turn}");
                    self.send(&[&[*name, id.as_str()], terms].concat()).await;
                    let answer = self.answer(name, &id).await;
                    if answer.starts_with("served") {
                        break;
                    }
                    assert_eq!(answer, "busy", "{:?}: {line}", self.front);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            ["memory"] => self.memory = self.resident(),
            ["memory", max] => {
                let grown = self.resident() - self.memory;
                assert!(
                    grown <= max.parse().unwrap(),
                    "{:?}: {line}: {grown} MB",
                    self.front
                );
            }
            ["advice", name, id, min, max] => {
                let ms: u64 = match self.clients.get_mut(*name).unwrap() {
                    Client::Http2 { streams, .. } => {
                        let response = streams.remove(*id).unwrap().0.await.unwrap();
                        response.headers()["retry-after-ms"]
                            .to_str()
                            .unwrap()
                            .parse()
                            .unwrap()
                    }
                    Client::Resp {
                        stream,
                        buffer,
                        sent,
                    } => {
                        while !buffer.ends_with(b"\r\n") && read_some(stream, buffer).await {}
                        let text = String::from_utf8_lossy(buffer).to_string();
                        buffer.clear();
                        sent.pop_front();
                        let ms = text
                            .strip_prefix("-BUSY ")
                            .unwrap_or_else(|| panic!("{line}: {text}"));
                        ms.trim().parse().unwrap()
                    }
                };
                let range = min.parse::<u64>().unwrap()..=max.parse().unwrap();
                assert!(range.contains(&ms), "{:?}: {line}: {ms}", self.front);
                self.answers.push("advice".into());
            }
            ["config", text @ ..] => {
                std::fs::write(self.folder.join("config.json"), text.join(" ")).unwrap();
                self.read_again().await;
            }
            ["unseen"] => *self.shared.unseen.borrow_mut() = true,
            ["counter", how] => *self.shared.counter.borrow_mut() = how.to_string(),
            ["agent", how] => *self.shared.agent.borrow_mut() = how.to_string(),
            ["stop"] => self.signal("-TERM"),
            ["freeze"] => {
                self.signal("-STOP");
                let stopped = || {
                    let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.program.id()))
                        .unwrap();
                    stat.rsplit(')')
                        .next()
                        .unwrap()
                        .trim_start()
                        .starts_with('T')
                };
                while !stopped() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            ["thaw"] => self.signal("-CONT"),
            ["held" | "small" | "roomy"] | ["with", ..] => {}
            ["tight"] => self.tight = true,
            ["rush", n] => {
                let to = &self.ports[if self.front == Wire::Resp {
                    "resp"
                } else {
                    "http2"
                }];
                let connects = (0..n.parse::<usize>().unwrap())
                    .map(|_| spawn_local(TcpStream::connect(to.clone())));
                for connect in connects.collect::<Vec<_>>() {
                    self.murmurs.push(connect.await.unwrap().unwrap());
                }
            }
            ["crowd", n] => {
                for _ in 0..n.parse::<usize>().unwrap() {
                    let stream = self.ping().await.expect("a yes to PING");
                    self.murmurs.push(stream);
                }
            }
            ["descriptors", max] => {
                let of = |program: &Child| {
                    std::fs::read_dir(format!("/proc/{}/fd", program.id()))
                        .map_or(0, Iterator::count)
                };
                let all = of(&self.program) + self.second.as_ref().map_or(0, of);
                assert!(all <= max.parse().unwrap(), "{line}: {all}");
            }
            ["part", name, n] => {
                let head = "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n0000000000000007\r\n$1\r\np\r\n";
                let terms = "c=book-rebroadcast,t=city,d=2000,units=1,spread=1,first=0";
                let n = n.parse::<usize>().unwrap();
                let text = format!(
                    "{head}${}\r\n{terms}\r\n${n}\r\n{}",
                    terms.len(),
                    "x".repeat(n - 1)
                );
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("part is for RESP")
                };
                // What is not read on stays with the writer.
                let _ = stream.try_write(text.as_bytes());
            }
            ["beside"] => {
                self.calls += 1;
                self.second = Some(self.start());
                for turn in 0.. {
                    let up = TcpStream::connect(self.operators()).await.is_ok();
                    if up && self.call("STATUS").await.starts_with("ACK") {
                        break;
                    }
                    assert!(turn < 400, "the second process is not ready");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
            ["stillborn"] => {
                // Its second address is taken, by the stage.
                self.calls += 1;
                let _taken = TcpListener::bind(self.operators()).await.unwrap();
                let mut program = self.start();
                let status = program.wait().unwrap();
                assert_eq!(status.code(), Some(2));
                self.calls -= 1;
            }
            ["kill"] => {
                self.program.kill().unwrap();
                self.program.wait().unwrap();
                self.program = self.second.take().expect("a second process");
            }
            ["call", word, text @ ..] => {
                let answer = self.call(&text.join(" ")).await;
                assert!(
                    answer.starts_with(word),
                    "{:?}: {line}: {answer}",
                    self.front
                );
            }
            ["murmur", text @ ..] => {
                let mut stream = TcpStream::connect(self.operators()).await.unwrap();
                stream.write_all(text.join(" ").as_bytes()).await.unwrap();
                self.murmurs.push(stream);
            }
            ["wait", ms] => tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await,
            ["runs", id, n] => {
                let runs = self.shared.runs.borrow().get(*id).copied().unwrap_or(0);
                assert_eq!(runs.to_string(), *n, "{line}");
            }
            ["begun", "none"] => assert_eq!(self.attempts(), self.begun, "{line}"),
            ["begun", min] => {
                self.begun = self.attempts();
                assert!(self.begun >= min.parse().unwrap(), "{line}: {}", self.begun);
            }
            ["counted", n] => {
                let total: f64 = self.shared.totals.borrow().values().sum();
                let n: f64 = n.parse().unwrap();
                assert!((n..n + 1.0).contains(&total), "{line}: {total}");
            }
            [] => {}
            _ => panic!("no such step: {line}"),
        }
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
            let long = if line.starts_with("flood") {
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
