//! A relay in front of a member's link: it forwards bytes in both directions and counts the bytes
//! and frames.

use crate::hollow::Traffic;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Length of a frame's header: the body's length and a checksum.
const HEADER_BYTES: usize = 8;
/// Size of the buffer for forwarding, bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Counts the frames in a byte stream that arrives in pieces of any size.
#[derive(Debug, Default)]
pub struct FrameCounter {
    header: Vec<u8>,
    body_left: usize,
    frames: u64,
}

impl FrameCounter {
    /// Processes the next bytes of the stream.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let needed = if self.body_left > 0 {
                self.body_left
            } else {
                HEADER_BYTES - self.header.len()
            };
            let (piece, rest) = bytes.split_at(needed.min(bytes.len()));
            bytes = rest;
            if self.body_left > 0 {
                self.body_left -= piece.len();
                self.frames += u64::from(self.body_left == 0);
            } else {
                self.feed_header(piece);
            }
        }
    }

    fn feed_header(&mut self, piece: &[u8]) {
        self.header.extend(piece);
        if self.header.len() < HEADER_BYTES {
            return;
        }
        if let Some(length) = self.header.first_chunk::<4>() {
            self.body_left = u32::from_le_bytes(*length) as usize;
        }
        self.frames += u64::from(self.body_left == 0);
        self.header.clear();
    }

    /// Returns the number of complete frames so far.
    pub fn frames(&self) -> u64 {
        self.frames
    }
}

/// The traffic of a relay in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// Traffic from the connecting clients to the target address.
    pub to_server: Traffic,
    /// Traffic from the target address to the clients.
    pub to_client: Traffic,
}

impl RelayCounts {
    /// Returns the traffic since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: RelayCounts) -> RelayCounts {
        RelayCounts {
            to_server: self.to_server.since(earlier.to_server),
            to_client: self.to_client.since(earlier.to_client),
        }
    }
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug)]
enum Direction {
    ToServer,
    ToClient,
}

/// A listener that forwards every connection to one address. The listener closes when this value is
/// dropped; a forwarded connection closes when either side closes it.
pub struct Relay {
    address: SocketAddr,
    counts: Arc<Mutex<RelayCounts>>,
    stopped: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay that listens at `listen` and forwards to `to`.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let relay = Relay {
            address,
            counts: Arc::default(),
            stopped: Arc::default(),
        };
        let (counts, stopped) = (relay.counts.clone(), relay.stopped.clone());
        thread::spawn(move || accept(&listener, to, &counts, &stopped));
        Ok(relay)
    }

    /// Returns the address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the traffic so far.
    pub fn counts(&self) -> RelayCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The connection wakes the listener, which then reads the flag and returns.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(
    listener: &TcpListener,
    to: SocketAddr,
    counts: &Arc<Mutex<RelayCounts>>,
    stopped: &AtomicBool,
) {
    while let Ok((client, _)) = listener.accept() {
        if stopped.load(Ordering::SeqCst) {
            return;
        }
        let Ok(server) = TcpStream::connect(to) else {
            continue;
        };
        let (Ok(client_reader), Ok(server_reader)) = (client.try_clone(), server.try_clone())
        else {
            continue;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (to_server, to_client) = (counts.clone(), counts.clone());
        thread::spawn(move || forward(client_reader, server, Direction::ToServer, &to_server));
        thread::spawn(move || forward(server_reader, client, Direction::ToClient, &to_client));
    }
}

/// Forwards bytes until one side closes the connection, then closes both sides.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    counts: &Mutex<RelayCounts>,
) {
    let mut frames = FrameCounter::default();
    let mut bytes = [0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut bytes) {
        let before = frames.frames();
        frames.feed(&bytes[..count]);
        record(counts, direction, frames.frames() - before, count);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

fn record(counts: &Mutex<RelayCounts>, direction: Direction, frames: u64, bytes: usize) {
    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    let traffic = match direction {
        Direction::ToServer => &mut counts.to_server,
        Direction::ToClient => &mut counts.to_client,
    };
    traffic.messages += frames;
    traffic.bytes += bytes as u64;
}
