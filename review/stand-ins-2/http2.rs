//! A small HTTP/2 client and a small HTTP/2 endpoint (RFC 9113, clear text, prior knowledge). They send
//! headers as literals, and read of headers only what they need.
#![allow(dead_code)]

use crate::common::*;
use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
pub const CANCEL: u32 = 8;

pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}

pub fn read_frame(input: &mut impl Read) -> std::io::Result<Frame> {
    let mut head = [0; 9];
    input.read_exact(&mut head)?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let mut payload = vec![0; length];
    input.read_exact(&mut payload)?;
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
    Ok(Frame { kind: head[3], flags: head[4], stream, payload })
}

pub fn settings(values: &[(u16, u32)]) -> Vec<u8> {
    let mut payload = Vec::new();
    for (id, value) in values {
        payload.extend(id.to_be_bytes());
        payload.extend(value.to_be_bytes());
    }
    frame(SETTINGS, 0, 0, &payload)
}

fn literal(out: &mut Vec<u8>, name: &str, value: &str) {
    out.push(0);
    for text in [name, value] {
        string(out, text);
    }
}

fn string(out: &mut Vec<u8>, text: &str) {
    assert!(text.len() < 127, "a short header");
    out.push(text.len() as u8);
    out.extend(text.as_bytes());
}

/// The status of a response's header block, sent to a decoder without a dynamic table.
pub fn status(block: &[u8]) -> u16 {
    let mut at = 0;
    while at < block.len() && block[at] & 0xe0 == 0x20 {
        // A size update of the dynamic table; more than one byte only for large sizes.
        let long = block[at] & 0x1f == 0x1f;
        at += 1;
        while long && at < block.len() && block[at - 1] & 0x80 != 0 {
            at += 1;
        }
    }
    match block.get(at) {
        Some(0x88) => return 200,
        Some(0x89) => return 204,
        Some(0x8c) => return 400,
        Some(0x8d) => return 404,
        Some(0x8e) => return 500,
        Some(0x08 | 0x18 | 0x48) => {}
        _ => return 0,
    }
    let Some(length) = block.get(at + 1) else { return 0 };
    let bytes = &block[at + 2..(at + 2 + (length & 0x7f) as usize).min(block.len())];
    if length & 0x80 == 0 {
        return String::from_utf8_lossy(bytes).parse().unwrap_or(0);
    }
    // Digits in the Huffman code of RFC 7541: 0 to 2 have five bits, 3 to 9 have six.
    let bits: Vec<u8> = bytes.iter().flat_map(|byte| (0..8).rev().map(move |i| byte >> i & 1)).collect();
    let value = |from: usize, count: usize| bits[from..from + count].iter().fold(0, |v, bit| v * 2 + u16::from(*bit));
    let (mut at, mut status) = (0, 0);
    while at + 5 <= bits.len() {
        let short = value(at, 5);
        if short <= 2 {
            status = status * 10 + short;
            at += 5;
        } else if at + 6 <= bits.len() && (25..=31).contains(&value(at, 6)) {
            status = status * 10 + value(at, 6) - 22;
            at += 6;
        } else {
            break;
        }
    }
    status
}

// ---------------------------------------------------------------------------------------- client

/// One stream as its client sees it.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    pub status: u16,
    pub body: usize,
    pub body_start: Vec<u8>,
    /// When the answer was whole, ms.
    pub whole_ms: Option<f64>,
    /// The code of the ingress's RST_STREAM.
    pub reset: Option<u32>,
    /// Whether the client gave the request up.
    pub given_up: bool,
}

#[derive(Default)]
struct ClientState {
    streams: BTreeMap<u32, Stream>,
    goaway: Option<(u32, u32, f64)>,
    ended: Option<(String, f64)>,
}

/// A client's connection. It opens its windows as it reads.
pub struct Client {
    output: Arc<Mutex<TcpStream>>,
    state: Arc<(Mutex<ClientState>, Condvar)>,
    next: u32,
}

/// What a client wants of its connection.
pub struct ClientOptions {
    /// Window of each stream and of the connection, bytes.
    pub window: u32,
    /// Bytes that the client reads a second; 0: as fast as they come.
    pub read_rate: f64,
}

impl Client {
    pub fn connect(port: u16, options: ClientOptions) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&local(port), Duration::from_secs(1))?;
        Client::over(stream, options)
    }

    pub fn over(mut stream: TcpStream, options: ClientOptions) -> std::io::Result<Client> {
        stream.set_nodelay(true)?;
        stream.write_all(PREFACE)?;
        // No dynamic table, no push.
        stream.write_all(&settings(&[(1, 0), (2, 0), (4, options.window)]))?;
        let more = options.window.saturating_sub(65_535);
        if more > 0 {
            stream.write_all(&frame(WINDOW_UPDATE, 0, 0, &more.to_be_bytes()))?;
        }
        let input = stream.try_clone()?;
        let client = Client { output: Arc::new(Mutex::new(stream)), state: Arc::default(), next: 1 };
        let (output, state) = (client.output.clone(), client.state.clone());
        std::thread::spawn(move || {
            let problem = match read_client(Paced::new(input, options.read_rate), &output, &state) {
                Ok(()) => "end".to_string(),
                Err(e) => e.to_string(),
            };
            let (lock, condition) = &*state;
            lock.lock().unwrap().ended = Some((problem, now_ms()));
            condition.notify_all();
        });
        Ok(client)
    }

    /// Sends the head of a request and a part of its body; returns its stream.
    pub fn begin_request(&mut self, class: &str, customer: u64, id: &str, d_ms: u64, part: &[u8]) -> u32 {
        let (stream, mut bytes) = self.head(class, customer, id, d_ms, None);
        bytes.extend(frame(DATA, 0, stream, part));
        let _ = self.output.lock().unwrap().write_all(&bytes);
        stream
    }

    /// Opens a stream; returns it and its encoded head.
    fn head(&mut self, class: &str, customer: u64, id: &str, d_ms: u64, key: Option<&str>) -> (u32, Vec<u8>) {
        let stream = self.next;
        self.next += 2;
        let mut block = vec![0x83, 0x86, 0x04];
        string(&mut block, &format!("/commands/{class}"));
        block.push(0x01);
        string(&mut block, "ingress");
        literal(&mut block, "api-customer", &format!("{customer:016x}"));
        literal(&mut block, "req-id", id);
        literal(&mut block, "api-plan", "national");
        literal(&mut block, "req-deadline-ms", &d_ms.to_string());
        let key = key.map_or(String::new(), |key| format!(",k={key}"));
        literal(&mut block, "api-terms", &format!("units=1,spread=2,first=0{key}"));
        let (lock, _) = &*self.state;
        lock.lock().unwrap().streams.insert(stream, Stream::default());
        (stream, frame(HEADERS, END_HEADERS, stream, &block))
    }

    /// Sends a request; returns its stream.
    pub fn request(&mut self, class: &str, customer: u64, id: &str, d_ms: u64, key: Option<&str>, body: &[u8]) -> u32 {
        let (stream, mut bytes) = self.head(class, customer, id, d_ms, key);
        let mut parts = body.chunks(16 * 1024).peekable();
        if parts.peek().is_none() {
            bytes.extend(frame(DATA, END_STREAM, stream, body));
        }
        while let Some(part) = parts.next() {
            let last = if parts.peek().is_none() { END_STREAM } else { 0 };
            bytes.extend(frame(DATA, last, stream, part));
        }
        let _ = self.output.lock().unwrap().write_all(&bytes);
        stream
    }

    /// Gives a request up.
    pub fn give_up(&mut self, stream: u32) {
        let (lock, _) = &*self.state;
        {
            let mut state = lock.lock().unwrap();
            let Some(entry) = state.streams.get_mut(&stream) else { return };
            if entry.whole_ms.is_some() || entry.reset.is_some() {
                return;
            }
            entry.given_up = true;
        }
        let _ = self.output.lock().unwrap().write_all(&frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes()));
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.output.lock().unwrap().write_all(bytes)
    }

    pub fn stream(&self, stream: u32) -> Stream {
        self.state.0.lock().unwrap().streams.get(&stream).cloned().unwrap_or_default()
    }

    /// The ingress's GOAWAY: last stream, code, time.
    pub fn goaway(&self) -> Option<(u32, u32, f64)> {
        self.state.0.lock().unwrap().goaway
    }

    /// How and when the connection ended.
    pub fn ended(&self) -> Option<(String, f64)> {
        self.state.0.lock().unwrap().ended.clone()
    }

    pub fn is_open(&self) -> bool {
        let state = self.state.0.lock().unwrap();
        state.goaway.is_none() && state.ended.is_none()
    }
}

/// Reads at most so many bytes a second.
struct Paced {
    input: TcpStream,
    rate: f64,
    due_ms: f64,
}

impl Paced {
    fn new(input: TcpStream, rate: f64) -> Paced {
        Paced { input, rate, due_ms: now_ms() }
    }
}

impl Read for Paced {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.rate <= 0.0 {
            return self.input.read(buffer);
        }
        sleep_until(self.due_ms);
        let most = buffer.len().min(4096);
        let count = self.input.read(&mut buffer[..most])?;
        self.due_ms = self.due_ms.max(now_ms() - 20.0) + count as f64 / self.rate * 1e3;
        Ok(count)
    }
}

fn read_client(mut input: Paced, output: &Mutex<TcpStream>, state: &(Mutex<ClientState>, Condvar)) -> std::io::Result<()> {
    loop {
        let frame_in = read_frame(&mut input)?;
        let mut reply = Vec::new();
        {
            let mut state = state.0.lock().unwrap();
            let entry = state.streams.entry(frame_in.stream);
            match frame_in.kind {
                HEADERS => {
                    let stream = entry.or_default();
                    stream.status = status(&frame_in.payload);
                    if frame_in.flags & END_STREAM != 0 {
                        stream.whole_ms = Some(now_ms());
                    }
                }
                DATA => {
                    let stream = entry.or_default();
                    stream.body += frame_in.payload.len();
                    if stream.body_start.len() < 64 {
                        stream.body_start.extend(&frame_in.payload[..frame_in.payload.len().min(64)]);
                    }
                    if frame_in.flags & END_STREAM != 0 {
                        stream.whole_ms = Some(now_ms());
                    }
                    if !frame_in.payload.is_empty() {
                        let count = (frame_in.payload.len() as u32).to_be_bytes();
                        reply.extend(frame(WINDOW_UPDATE, 0, 0, &count));
                        if frame_in.flags & END_STREAM == 0 {
                            reply.extend(frame(WINDOW_UPDATE, 0, frame_in.stream, &count));
                        }
                    }
                }
                RST_STREAM => {
                    let code = frame_in.payload.get(..4).map_or(0, |b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]));
                    entry.or_default().reset = Some(code);
                }
                SETTINGS if frame_in.flags & ACK == 0 => reply = frame(SETTINGS, ACK, 0, &[]),
                PING if frame_in.flags & ACK == 0 => reply = frame(PING, ACK, 0, &frame_in.payload),
                GOAWAY if frame_in.payload.len() >= 8 => {
                    let word = |i: usize| u32::from_be_bytes(frame_in.payload[i..i + 4].try_into().unwrap());
                    state.goaway = Some((word(0) & 0x7fff_ffff, word(4), now_ms()));
                }
                _ => {}
            }
        }
        state.1.notify_all();
        if !reply.is_empty() {
            output.lock().unwrap().write_all(&reply)?;
        }
    }
}

// -------------------------------------------------------------------------------------- endpoint

/// A request that an endpoint over HTTP/2 has whole. Its body names it: `ID` or `ID KEY`.
pub struct Work {
    pub id: String,
    pub key: Option<String>,
    pub at_ms: f64,
}

/// What an endpoint does with a request.
pub enum Reaction {
    /// Answers it after this time, ms.
    Answer(f64),
    /// Begins it and resets the connection under it after this time, ms.
    ResetConnection(f64),
}

/// Starts an endpoint over HTTP/2 that takes `max_streams` requests at once on a connection. `react` is
/// called when a request has arrived whole. While `hung` is set nothing is answered.
pub fn start_endpoint(
    max_streams: u32,
    hung: Arc<AtomicBool>,
    react: Arc<dyn Fn(&Work) -> Reaction + Send + Sync>,
) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an endpoint's port");
    let port = listener.local_addr().unwrap().port();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (hung, react) = (hung.clone(), react.clone());
            std::thread::spawn(move || {
                let _ = serve_endpoint(stream, max_streams, hung, react);
            });
        }
    });
    port
}

fn serve_endpoint(
    stream: TcpStream,
    max_streams: u32,
    hung: Arc<AtomicBool>,
    react: Arc<dyn Fn(&Work) -> Reaction + Send + Sync>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = std::io::BufReader::new(stream.try_clone()?);
    let output = Arc::new(Mutex::new(stream));
    let mut preface = [0; 24];
    input.read_exact(&mut preface)?;
    output.lock().unwrap().write_all(&settings(&[(3, max_streams)]))?;
    let cancelled: Arc<Mutex<VecDeque<u32>>> = Arc::default();
    let mut bodies: BTreeMap<u32, Vec<u8>> = BTreeMap::new();
    loop {
        let frame_in = read_frame(&mut input)?;
        let mut reply = Vec::new();
        match frame_in.kind {
            SETTINGS if frame_in.flags & ACK == 0 => reply = frame(SETTINGS, ACK, 0, &[]),
            PING if frame_in.flags & ACK == 0 => reply = frame(PING, ACK, 0, &frame_in.payload),
            RST_STREAM => {
                let mut cancelled = cancelled.lock().unwrap();
                cancelled.push_back(frame_in.stream);
                if cancelled.len() > 1000 {
                    cancelled.pop_front();
                }
                bodies.remove(&frame_in.stream);
            }
            HEADERS => {
                bodies.insert(frame_in.stream, Vec::new());
            }
            DATA => {
                if let Some(body) = bodies.get_mut(&frame_in.stream) {
                    body.extend(&frame_in.payload);
                }
                if !frame_in.payload.is_empty() {
                    let count = (frame_in.payload.len() as u32).to_be_bytes();
                    reply = frame(WINDOW_UPDATE, 0, 0, &count);
                    if frame_in.flags & END_STREAM == 0 {
                        reply.extend(frame(WINDOW_UPDATE, 0, frame_in.stream, &count));
                    }
                }
            }
            _ => {}
        }
        if !reply.is_empty() && hung.load(Ordering::SeqCst) {
            // A hung process opens no window and acknowledges nothing. What arrives at its machine is read
            // here only to note the time of its arrival.
            let (output, hung) = (output.clone(), hung.clone());
            std::thread::spawn(move || {
                while hung.load(Ordering::SeqCst) {
                    sleep_ms(2.0);
                }
                let _ = output.lock().unwrap().write_all(&reply);
            });
        } else if !reply.is_empty() {
            output.lock().unwrap().write_all(&reply)?;
        }
        let ends = matches!(frame_in.kind, HEADERS | DATA) && frame_in.flags & END_STREAM != 0;
        let Some(body) = ends.then(|| bodies.remove(&frame_in.stream)).flatten() else {
            continue;
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let mut words = text.split(' ').map(str::to_string);
        let id = words.next().unwrap_or_default();
        let work = Work { id: id.clone(), key: words.next(), at_ms: now_ms() };
        // A request without a body asks for the load report.
        let reaction = if id.is_empty() { Reaction::Answer(0.0) } else { react(&work) };
        let (output, cancelled, hung, number) = (output.clone(), cancelled.clone(), hung.clone(), frame_in.stream);
        std::thread::spawn(move || {
            match reaction {
                Reaction::Answer(work_ms) => sleep_ms(work_ms),
                Reaction::ResetConnection(after_ms) => {
                    sleep_ms(after_ms);
                    return reset(&output.lock().unwrap());
                }
            }
            while hung.load(Ordering::SeqCst) {
                sleep_ms(5.0);
            }
            if cancelled.lock().unwrap().contains(&number) {
                return;
            }
            let mut block = vec![0x88];
            if id.is_empty() {
                literal(&mut block, "srv-load", "lat_ms=100,rif=1,busy=0.2");
            }
            let value = value_of(&id, 0);
            let mut bytes = frame(HEADERS, END_HEADERS, number, &block);
            bytes.extend(frame(DATA, END_STREAM, number, value.as_bytes()));
            let _ = output.lock().unwrap().write_all(&bytes);
        });
    }
}

/// Ends a connection with a reset, also while other threads hold its socket: a socket that is connected to
/// no address any more is disconnected at once.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    /// An address of the family AF_UNSPEC.
    #[repr(C)]
    struct NoAddress {
        family: u16,
        rest: [u8; 14],
    }
    extern "C" {
        fn connect(fd: i32, address: *const NoAddress, length: u32) -> i32;
    }
    let none = NoAddress { family: 0, rest: [0; 14] };
    // The address outlives the call, and its length is given.
    let _ = unsafe { connect(stream.as_raw_fd(), &none, std::mem::size_of::<NoAddress>() as u32) };
}
