//! A relay before a member's link: it passes bytes on in both directions and counts them, and the frames in them.

use crate::hollow::Traffic;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Length and checksum of a frame.
const HEAD_BYTES: usize = 8;
/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// Counts frames in a stream of bytes, however it is cut into pieces.
#[derive(Debug, Default)]
pub struct FrameCounter {
    head: Vec<u8>,
    body_left: usize,
    frames: u64,
}

impl FrameCounter {
    /// Takes in the next bytes of the stream.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let wanted = if self.body_left > 0 {
                self.body_left
            } else {
                HEAD_BYTES - self.head.len()
            };
            let (piece, rest) = bytes.split_at(wanted.min(bytes.len()));
            bytes = rest;
            if self.body_left > 0 {
                self.body_left -= piece.len();
                self.frames += u64::from(self.body_left == 0);
            } else {
                self.take_head(piece);
            }
        }
    }

    fn take_head(&mut self, piece: &[u8]) {
        self.head.extend(piece);
        if self.head.len() < HEAD_BYTES {
            return;
        }
        if let Some(length) = self.head.first_chunk::<4>() {
            self.body_left = u32::from_le_bytes(*length) as usize;
        }
        self.frames += u64::from(self.body_left == 0);
        self.head.clear();
    }

    /// Whole frames so far.
    pub fn frames(&self) -> u64 {
        self.frames
    }
}

/// What has gone through a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// From those who connect.
    pub there: Traffic,
    /// To those.
    pub back: Traffic,
}

impl RelayCounts {
    /// What came in after an earlier reading.
    #[must_use]
    pub fn since(self, earlier: RelayCounts) -> RelayCounts {
        RelayCounts {
            there: self.there.since(earlier.there),
            back: self.back.since(earlier.back),
        }
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug)]
enum Direction {
    There,
    Back,
}

/// A listener that passes every connection on to one address. It ends when it is dropped; its connections end with
/// either of their ends.
pub struct Relay {
    address: SocketAddr,
    counts: Arc<Mutex<RelayCounts>>,
    ended: Arc<AtomicBool>,
}

impl Relay {
    /// A relay at an address, to another one.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let relay = Relay {
            address,
            counts: Arc::default(),
            ended: Arc::default(),
        };
        let (counts, ended) = (relay.counts.clone(), relay.ended.clone());
        thread::spawn(move || accept(&listener, to, &counts, &ended));
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What has gone through so far.
    pub fn counts(&self) -> RelayCounts {
        *self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, so that it sees the end.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(
    listener: &TcpListener,
    to: SocketAddr,
    counts: &Arc<Mutex<RelayCounts>>,
    ended: &AtomicBool,
) {
    while let Ok((near, _)) = listener.accept() {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let Ok(far) = TcpStream::connect(to) else {
            continue;
        };
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else {
            continue;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (there, back) = (counts.clone(), counts.clone());
        thread::spawn(move || pass(near_reader, far, Direction::There, &there));
        thread::spawn(move || pass(far_reader, near, Direction::Back, &back));
    }
}

/// Passes bytes on until one side ends, and ends the other.
fn pass(mut from: TcpStream, mut to: TcpStream, direction: Direction, counts: &Mutex<RelayCounts>) {
    let mut frames = FrameCounter::default();
    let mut bytes = [0; PIECE_BYTES];
    while let Ok(count) = from.read(&mut bytes) {
        let before = frames.frames();
        frames.feed(&bytes[..count]);
        note(counts, direction, frames.frames() - before, count);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

fn note(counts: &Mutex<RelayCounts>, direction: Direction, frames: u64, bytes: usize) {
    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    let traffic = match direction {
        Direction::There => &mut counts.there,
        Direction::Back => &mut counts.back,
    };
    traffic.messages += frames;
    traffic.bytes += bytes as u64;
}
