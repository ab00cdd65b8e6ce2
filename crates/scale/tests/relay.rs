//! The relay of the check by real processes: what goes through comes out whole and is counted, frames by their heads.

use driftgap_group::Frame;
use driftgap_scale::hollow::Traffic;
use driftgap_scale::real::{FrameCounter, Relay};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn frames() -> Vec<u8> {
    [
        Frame::Idle,
        Frame::Follow { have: Vec::new() },
        Frame::Join { nonce: 7 },
    ]
    .iter()
    .flat_map(Frame::bytes)
    .collect()
}

#[test]
fn frames_are_counted_however_the_bytes_are_cut() {
    let bytes = frames();
    for piece in 1..=bytes.len() {
        let mut counter = FrameCounter::default();
        bytes.chunks(piece).for_each(|piece| counter.feed(piece));
        assert_eq!(counter.frames(), 3, "pieces of {piece}");
    }
    let mut counter = FrameCounter::default();
    counter.feed(&bytes[..bytes.len() - 1]);
    assert_eq!(counter.frames(), 2, "the last one is not whole");
}

#[test]
fn a_relay_passes_both_ways_and_counts_each() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(
        "127.0.0.1:0".parse().unwrap(),
        listener.local_addr().unwrap(),
    )
    .unwrap();
    let mut near = TcpStream::connect(relay.address()).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    let bytes = frames();
    near.write_all(&bytes).unwrap();
    let mut there = vec![0; bytes.len()];
    far.read_exact(&mut there).unwrap();
    far.write_all(&Frame::Idle.bytes()).unwrap();
    drop(far);
    let mut back = Vec::new();
    near.read_to_end(&mut back).unwrap();
    assert_eq!(
        (there, back.len()),
        (bytes.clone(), Frame::Idle.bytes().len())
    );
    let counts = relay.counts();
    assert_eq!(
        counts.there,
        Traffic {
            messages: 3,
            bytes: bytes.len() as u64
        }
    );
    assert_eq!(
        counts.back,
        Traffic {
            messages: 1,
            bytes: back.len() as u64
        }
    );
}
