use super::*;

/// A body of a megabyte is streamed to a client that reads in small pieces. All bytes must come out in order,
/// and no more than the buffer's size may wait in memory.
#[test]
fn a_value_goes_through_a_ring_far_smaller_than_itself() {
    let value: Vec<u8> = (0..1_000_000u32).map(|i| (i % 251) as u8).collect();
    let streams = BodyStreams::new(1_000_000);
    let (sender, receiver) = streams.open(value.len());
    let (mut sent, mut got) = (0, Vec::new());
    while !receiver.over() {
        sent += sender.push(&value[sent..]);
        assert!(receiver.bytes().len() <= BUFFER_BYTES && !receiver.broken());
        let n = 777.min(receiver.bytes().front().len());
        got.extend_from_slice(&receiver.bytes().front()[..n]);
        receiver.took(n);
    }
    assert!(got == value && sender.left() == 0);
    drop(sender);
    assert!(receiver.over() && !receiver.broken());
}

/// A client closes its connection in the middle of a body, or an endpoint does. The other side must learn of
/// it, or it would wait for good, and a body that is broken off must not be taken for a complete one.
#[test]
fn either_side_learns_that_the_other_is_gone() {
    let streams = BodyStreams::new(0);
    let (sender, receiver) = streams.open(10);
    assert_eq!(sender.push(b"abcdefghijkl"), 10, "nothing beyond the value");
    drop(receiver);
    assert!(sender.gone());
    drop(sender);
    let (sender, receiver) = streams.open(10);
    sender.push(b"abc");
    drop(sender);
    assert!(receiver.broken() && !receiver.over() && receiver.bytes().front() == b"abc");
    drop(receiver);
    assert_eq!(streams.open_streams.get(), 0);
}
