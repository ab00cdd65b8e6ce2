//! Peers other than clients that write at full speed: endpoints, discovery, the counter, operators.
//! Each runs on threads of its own.

use super::{endpoint_entry, Stage, Wire};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Time limit of a blocking call, so that the threads end.
const SOCKET_TIMEOUT: Duration = Duration::from_millis(200);
/// Copies of a message in one write.
const COPIES_PER_WRITE: usize = 500;
/// Endpoints whose address is not of this process's list.
const NOISY_ENDPOINT: &str = "noisy";
/// Version of the lists of a noisy discovery service: newer than any other.
const LIST_VERSION: u64 = 1_000_000;

/// What a peer writes without a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoisyPeer {
    /// A RESP endpoint answers with noise.
    EndpointNoise,
    /// A RESP endpoint answers each request many times over.
    EndpointReplies,
    /// A RESP endpoint writes a value byte by byte.
    EndpointSingleBytes,
    /// An HTTP/2 endpoint writes PING frames.
    EndpointPings,
    /// Discovery answers polls at once, and goes on to write answers that nobody asked for.
    DiscoveryAnswers,
    /// Discovery writes an answer without an end.
    DiscoveryEndless,
    /// The counter writes answers that nobody asked for.
    CounterAnswers,
    /// The counter writes interim answers without a final one.
    CounterInterim,
    /// Operators ask for the status, each time on a new connection.
    OperatorCalls,
    /// Operators write noise.
    OperatorNoise,
}

impl NoisyPeer {
    /// All kinds.
    pub const ALL: [NoisyPeer; 10] = [
        NoisyPeer::EndpointNoise,
        NoisyPeer::EndpointReplies,
        NoisyPeer::EndpointSingleBytes,
        NoisyPeer::EndpointPings,
        NoisyPeer::DiscoveryAnswers,
        NoisyPeer::DiscoveryEndless,
        NoisyPeer::CounterAnswers,
        NoisyPeer::CounterInterim,
        NoisyPeer::OperatorCalls,
        NoisyPeer::OperatorNoise,
    ];

    /// What the peer writes first on a connection, and then again and again.
    fn messages(self) -> (Vec<u8>, Vec<u8>) {
        let copies = |message: &[u8]| message.repeat(COPIES_PER_WRITE);
        match self {
            NoisyPeer::EndpointNoise | NoisyPeer::OperatorNoise => (Vec::new(), copies(b"what? ")),
            NoisyPeer::EndpointReplies => (Vec::new(), copies(b"*1\r\n$5\r\nnoisy\r\n")),
            NoisyPeer::EndpointSingleBytes => (b"*1\r\n$60000\r\n".to_vec(), b"x".to_vec()),
            NoisyPeer::EndpointPings => (
                b"\0\0\0\x04\0\0\0\0\0".to_vec(),
                copies(b"\0\0\x08\x06\0\0\0\0\0pingpong"),
            ),
            NoisyPeer::DiscoveryAnswers => (Vec::new(), copies(&empty_list())),
            NoisyPeer::DiscoveryEndless => (
                b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n".to_vec(),
                copies(b"          "),
            ),
            NoisyPeer::CounterAnswers => (
                Vec::new(),
                copies(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"),
            ),
            NoisyPeer::CounterInterim => (Vec::new(), copies(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
            NoisyPeer::OperatorCalls => (b"STATUS\n".to_vec(), Vec::new()),
        }
    }

    /// Makes the program talk to the peer, on this many connections of operators if it is one. Returns
    /// the peer, which writes until it is stopped.
    pub async fn start(self, stage: &mut Stage, operators: usize) -> RunningPeer {
        let running = RunningPeer::new();
        match self {
            NoisyPeer::OperatorCalls | NoisyPeer::OperatorNoise => {
                let address = stage.operator_address().parse().unwrap();
                for _ in 0..operators {
                    running.spawn_caller(self, address);
                }
            }
            NoisyPeer::DiscoveryAnswers | NoisyPeer::DiscoveryEndless => {
                stage.move_service("discovery", running.listen(self)).await;
            }
            NoisyPeer::CounterAnswers | NoisyPeer::CounterInterim => {
                stage.move_service("counter", running.listen(self)).await;
            }
            NoisyPeer::EndpointPings => {
                stage.list(NOISY_ENDPOINT, running.listen(self), Wire::Http2)
            }
            _ => stage.list(NOISY_ENDPOINT, running.listen(self), Wire::Resp),
        }
        running
    }
}

/// A list of discovery that changes nothing.
fn empty_list() -> Vec<u8> {
    let body = format!(r#"{{"version":{LIST_VERSION},"full":false,"servers":[]}}"#);
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A peer that writes without a pause.
#[derive(Clone)]
pub struct RunningPeer {
    stopped: Arc<AtomicBool>,
    written: Arc<AtomicU64>,
}

impl RunningPeer {
    fn new() -> RunningPeer {
        RunningPeer {
            stopped: Arc::default(),
            written: Arc::default(),
        }
    }

    /// Stops the peer. Returns the bytes that it has written.
    pub fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        self.written.load(Ordering::Relaxed)
    }

    fn runs(&self) -> bool {
        !self.stopped.load(Ordering::Relaxed)
    }

    /// Starts a server for the peer and returns its port.
    fn listen(&self, kind: NoisyPeer) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let running = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = running.clone();
                std::thread::spawn(move || connection.serve(kind, stream));
            }
        });
        port
    }

    /// Waits for the first bytes of the program, then writes.
    fn serve(&self, kind: NoisyPeer, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        if !stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {
            return;
        }
        self.write_on(kind, stream);
    }

    /// Writes until the connection ends or the peer is stopped, and discards what arrives.
    fn write_on(&self, kind: NoisyPeer, mut stream: TcpStream) {
        let (first, repeated) = kind.messages();
        stream.set_write_timeout(Some(SOCKET_TIMEOUT)).unwrap();
        let mut reader = stream.try_clone().unwrap();
        std::thread::spawn(move || {
            let mut buffer = [0; 4096];
            while reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        if !self.write(&mut stream, &first) || repeated.is_empty() {
            return;
        }
        while self.write(&mut stream, &repeated) {}
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }

    /// Returns false once the connection has ended or the peer is stopped.
    fn write(&self, stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() && self.runs() {
            match stream.write(bytes) {
                Ok(count) => {
                    self.written.fetch_add(count as u64, Ordering::Relaxed);
                    bytes = &bytes[count..];
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        self.runs()
    }

    /// Starts an operator who calls without a pause.
    fn spawn_caller(&self, kind: NoisyPeer, address: SocketAddr) {
        let running = self.clone();
        std::thread::spawn(move || {
            while running.runs() {
                let Ok(mut stream) = super::flood::connect(&address.to_string()) else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                if kind == NoisyPeer::OperatorCalls {
                    running.write(&mut stream, b"STATUS\n");
                    let _ = stream.read_to_end(&mut Vec::new());
                } else {
                    running.write_on(kind, stream);
                }
            }
        });
    }
}

impl Stage {
    /// Lists one more endpoint in discovery.
    fn list(&self, name: &str, port: u16, wire: Wire) {
        let entry = endpoint_entry(name, port, wire, "active");
        self.endpoint_list
            .send_modify(|changes| changes.push(entry));
    }

    /// Moves a service to a port of this machine and reloads the configuration.
    async fn move_service(&mut self, service: &'static str, port: u16) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.0 = port;
        }
        self.relocate(&[]).await;
        self.signal("-HUP");
    }
}
