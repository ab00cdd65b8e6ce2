//! Clients that send at full speed. Each runs on threads of its own, so that it waits neither for the
//! clients that are measured nor for the simulated services.

use super::{encode_request, Stage, Wire};
use bytes::Bytes;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Plans of the settings. Requests of one flooding tenant have all of them.
const PLANS: [&str; 4] = ["community", "district", "city", "national"];
/// Requests in one write of a RESP client.
const REQUESTS_PER_WRITE: u64 = 200;
/// Requests that an HTTP/2 client sends before it reads answers.
const STREAMS_PER_TURN: usize = 64;
/// Frames in one write of a client that writes HTTP/2 frames.
const FRAMES_PER_WRITE: usize = 1000;
/// Time limit of a blocking call, so that the threads end: also when nobody accepts any more.
const SOCKET_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay between two attempts to connect when there is no free port.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Bytes that a RESP client sends after the end of its connection's requests.
const NOISE: [u8; 16 * 1024] = [b'x'; 16 * 1024];
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
const HTTP2_PING: &[u8] = b"\0\0\x08\x06\0\0\0\0\0pingpong";
const HTTP2_SETTINGS: &[u8] = b"\0\0\0\x04\0\0\0\0\0";
const HTTP2_PRIORITY: &[u8] = b"\0\0\x05\x02\0\0\0\0\x01\0\0\0\0\x10";

/// What a flooding client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Requests whose id is empty.
    NoId,
    /// Requests of classes that do not exist, each of another one.
    NewClasses,
    /// Sound requests, each of another tenant.
    NewTenants,
    /// Sound requests of one tenant, each with a new id.
    NewIds,
    /// Requests that all have the same id.
    SameId,
    /// Commands that do not exist, each another one (RESP).
    NewCommands,
    /// PING (RESP: the command, HTTP/2: the frame).
    Pings,
    /// The same without reading the answers.
    UnreadPings,
    /// One malformed request, then noise on the same connection (RESP).
    NoiseAfterMalformed,
    /// QUIT, then noise on the same connection (RESP).
    NoiseAfterQuit,
    /// A connection for each unsound request.
    NewConnections,
    /// A request whose body never ends, one byte at a time, on ever new connections (RESP).
    SingleBytes,
    /// Empty SETTINGS frames (HTTP/2).
    Settings,
    /// PRIORITY frames (HTTP/2).
    Priorities,
}

impl Flood {
    /// The floods over this protocol.
    pub fn all(wire: Wire) -> &'static [Flood] {
        match wire {
            Wire::Resp => &[
                Flood::NoId,
                Flood::NewClasses,
                Flood::NewTenants,
                Flood::NewIds,
                Flood::SameId,
                Flood::NewCommands,
                Flood::Pings,
                Flood::UnreadPings,
                Flood::NoiseAfterMalformed,
                Flood::NoiseAfterQuit,
                Flood::NewConnections,
                Flood::SingleBytes,
            ],
            Wire::Http2 => &[
                Flood::NoId,
                Flood::NewClasses,
                Flood::NewTenants,
                Flood::NewIds,
                Flood::SameId,
                Flood::Pings,
                Flood::UnreadPings,
                Flood::NewConnections,
                Flood::Settings,
                Flood::Priorities,
            ],
        }
    }
}

/// The identifying values of one request.
struct RequestNames {
    class: String,
    plan: &'static str,
    tenant: String,
    id: String,
}

/// State that the threads of one flood share.
struct FloodState {
    flood: Flood,
    /// `host:port` of the program.
    address: String,
    stopped: AtomicBool,
    next_number: AtomicU64,
    /// Bytes written by all clients.
    written: AtomicU64,
}

impl FloodState {
    fn runs(&self) -> bool {
        !self.stopped.load(Ordering::Relaxed)
    }

    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    fn names(&self) -> RequestNames {
        let number = self.next_number();
        let class = match self.flood {
            Flood::NewClasses => format!("class-{number}"),
            _ => "fetch-episode".into(),
        };
        let tenant = match self.flood {
            Flood::NewTenants => 0x1000 + number,
            _ => 0x99,
        };
        let id = match self.flood {
            Flood::NoId | Flood::NewConnections => String::new(),
            Flood::SameId => "same".into(),
            _ => format!("f{number:x}"),
        };
        RequestNames {
            class,
            plan: PLANS[number as usize % PLANS.len()],
            tenant: format!("{tenant:016x}"),
            id,
        }
    }

    fn resp_request(&self) -> Vec<u8> {
        match self.flood {
            Flood::Pings | Flood::UnreadPings => return b"*1\r\n$4\r\nPING\r\n".to_vec(),
            Flood::NewCommands => {
                return encode_request(&[&format!("CMD{}", self.next_number())]).into_bytes();
            }
            _ => {}
        }
        let names = self.names();
        let terms = format!(
            "c={},t={},d=800,units=1,spread=1,first=0",
            names.class, names.plan
        );
        encode_request(&["SVC.QUERY", &names.tenant, &names.id, &terms]).into_bytes()
    }

    /// Writes bytes. Returns false once the connection has ended or the flood is over.
    fn write(&self, stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() && self.runs() {
            match stream.write(bytes) {
                Ok(count) => {
                    self.written.fetch_add(count as u64, Ordering::Relaxed);
                    bytes = &bytes[count..];
                }
                Err(e) if is_timeout(&e) => {}
                Err(_) => return false,
            }
        }
        self.runs()
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

/// Clients that send at full speed until they are stopped.
pub struct FloodingClients {
    state: Arc<FloodState>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClients {
    /// Starts this number of clients, each with one connection at a time.
    pub fn start(stage: &Stage, wire: Wire, flood: Flood, clients: usize) -> FloodingClients {
        let port = if wire == Wire::Resp { "resp" } else { "http2" };
        let state = Arc::new(FloodState {
            flood,
            address: stage.ports[port].clone(),
            stopped: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            written: AtomicU64::new(0),
        });
        let threads = (0..clients).map(|_| {
            let state = state.clone();
            std::thread::spawn(move || run_client(&state, wire))
        });
        FloodingClients {
            threads: threads.collect(),
            state,
        }
    }

    /// Stops the clients and waits for their ends. Returns the bytes that they have written.
    pub fn stop(self) -> u64 {
        self.state.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        self.state.written.load(Ordering::Relaxed)
    }
}

/// Connects from the address of the program, so that the ports of 127.0.0.1 stay free for the
/// listeners of other tests.
pub(super) fn connect(address: &str) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().unwrap();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(address.ip(), 0).into())?;
    socket.connect_timeout(&address.into(), SOCKET_TIMEOUT)?;
    Ok(socket.into())
}

fn run_client(state: &Arc<FloodState>, wire: Wire) {
    while state.runs() {
        let Ok(stream) = connect(&state.address) else {
            std::thread::sleep(CONNECT_RETRY_DELAY);
            continue;
        };
        stream.set_write_timeout(Some(SOCKET_TIMEOUT)).unwrap();
        stream.set_read_timeout(Some(SOCKET_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        match (wire, state.flood) {
            (Wire::Resp, _) => run_resp_connection(state, stream),
            (Wire::Http2, Flood::Pings | Flood::UnreadPings) => {
                write_frames(state, stream, HTTP2_PING)
            }
            (Wire::Http2, Flood::Settings) => write_frames(state, stream, HTTP2_SETTINGS),
            (Wire::Http2, Flood::Priorities) => write_frames(state, stream, HTTP2_PRIORITY),
            (Wire::Http2, _) => run_http2_connection(state, stream),
        }
    }
}

/// Reads and discards answers until the connection ends, unless the client reads none.
fn discard_answers(state: Arc<FloodState>, stream: &TcpStream) -> JoinHandle<()> {
    let mut stream = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        if state.flood == Flood::UnreadPings {
            return;
        }
        let mut buffer = vec![0; 64 * 1024];
        while state.runs() {
            match stream.read(&mut buffer) {
                Ok(0) => return,
                Err(e) if !is_timeout(&e) => return,
                _ => {}
            }
        }
    })
}

fn run_resp_connection(state: &Arc<FloodState>, mut stream: TcpStream) {
    if state.flood == Flood::NewConnections {
        state.write(&mut stream, b"*1\r\n$3\r\nBAD\r\n");
        return;
    }
    let reader = discard_answers(state.clone(), &stream);
    match state.flood {
        Flood::NoiseAfterMalformed => {
            state.write(&mut stream, b"what?\r\n");
            while state.write(&mut stream, &NOISE) {}
        }
        Flood::NoiseAfterQuit => {
            state.write(&mut stream, b"*1\r\n$4\r\nQUIT\r\n");
            while state.write(&mut stream, &NOISE) {}
        }
        Flood::SingleBytes => {
            state.write(&mut stream, b"*4\r\n$9\r\nSVC.QUERY\r\n$60000\r\n");
            while state.write(&mut stream, b"x") {}
        }
        _ => loop {
            let requests = (0..REQUESTS_PER_WRITE).map(|_| state.resp_request());
            let bytes: Vec<u8> = requests.flatten().collect();
            if !state.write(&mut stream, &bytes) {
                break;
            }
        },
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    reader.join().unwrap();
}

fn write_frames(state: &Arc<FloodState>, mut stream: TcpStream, frame: &[u8]) {
    let reader = discard_answers(state.clone(), &stream);
    let frames = frame.repeat(FRAMES_PER_WRITE);
    state.write(&mut stream, HTTP2_PREFACE);
    while state.write(&mut stream, &frames) {}
    let _ = stream.shutdown(std::net::Shutdown::Both);
    reader.join().unwrap();
}

fn run_http2_connection(state: &Arc<FloodState>, stream: TcpStream) {
    super::run(async {
        stream.set_nonblocking(true).unwrap();
        let stream = tokio::net::TcpStream::from_std(stream).unwrap();
        let Ok((mut send, connection)) = h2::client::handshake(stream).await else {
            return;
        };
        let connection = tokio::task::spawn_local(connection);
        while state.runs() && send_http2_requests(state, &mut send).await.is_ok() {
            if state.flood == Flood::NewConnections {
                break;
            }
        }
        connection.abort();
    });
}

/// Sends as many requests as one turn has, and reads their answers.
async fn send_http2_requests(
    state: &FloodState,
    send: &mut h2::client::SendRequest<Bytes>,
) -> Result<(), h2::Error> {
    let count = match state.flood {
        Flood::NewConnections => 1,
        _ => STREAMS_PER_TURN,
    };
    let mut responses = Vec::new();
    for _ in 0..count {
        let names = state.names();
        let request = http::Request::get(format!("http://ingress/commands/{}", names.class))
            .header("api-customer", names.tenant)
            .header("req-id", names.id)
            .header("api-plan", names.plan)
            .header("req-deadline-ms", "800")
            .header("api-terms", "units=1,spread=1,first=0")
            .body(())
            .unwrap();
        let mut ready = send.clone().ready().await?;
        responses.push(ready.send_request(request, true)?.0);
        state.written.fetch_add(1, Ordering::Relaxed);
    }
    for response in responses {
        let within = tokio::time::timeout(SOCKET_TIMEOUT * 5, response).await;
        if let Ok(response) = within {
            response?;
        }
    }
    Ok(())
}
