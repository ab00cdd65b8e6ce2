//! The counting relay in front of real processes: bytes are forwarded unchanged, and bytes and
//! frames are counted.

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
fn frames_are_counted_for_any_piece_size() {
    let bytes = frames();
    for piece in 1..=bytes.len() {
        let mut counter = FrameCounter::default();
        bytes.chunks(piece).for_each(|piece| counter.feed(piece));
        assert_eq!(counter.frames(), 3, "pieces of {piece}");
    }
    let mut counter = FrameCounter::default();
    counter.feed(&bytes[..bytes.len() - 1]);
    assert_eq!(counter.frames(), 2, "the last frame is incomplete");
}

#[test]
fn relay_forwards_and_counts_both_directions() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(
        "127.0.0.1:0".parse().unwrap(),
        listener.local_addr().unwrap(),
    )
    .unwrap();
    let mut client = TcpStream::connect(relay.address()).unwrap();
    let (mut server, _) = listener.accept().unwrap();
    let bytes = frames();
    client.write_all(&bytes).unwrap();
    let mut to_server = vec![0; bytes.len()];
    server.read_exact(&mut to_server).unwrap();
    server.write_all(&Frame::Idle.bytes()).unwrap();
    drop(server);
    let mut to_client = Vec::new();
    client.read_to_end(&mut to_client).unwrap();
    assert_eq!(
        (to_server, to_client.len()),
        (bytes.clone(), Frame::Idle.bytes().len())
    );
    let counts = relay.counts();
    assert_eq!(
        counts.to_server,
        Traffic {
            messages: 3,
            bytes: bytes.len() as u64
        }
    );
    assert_eq!(
        counts.to_client,
        Traffic {
            messages: 1,
            bytes: to_client.len() as u64
        }
    );
}
