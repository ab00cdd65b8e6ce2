use super::*;

/// A body of a megabyte is streamed to a client that reads in small pieces. All bytes must arrive
/// in order, and the stream must never hold more than its buffer's size.
#[test]
fn body_larger_than_the_buffer_arrives_in_order() {
    let value: Vec<u8> = (0..1_000_000u32).map(|i| (i % 251) as u8).collect();
    let streams = BodyStreams::new(1_000_000);
    let (sender, receiver) = streams.open(value.len());
    let (mut sent, mut got) = (0, Vec::new());
    while !receiver.is_complete() {
        sent += sender.write(&value[sent..]);
        assert!(receiver.buffer().len() <= BUFFER_BYTES && !receiver.is_broken_off());
        let n = 777.min(receiver.buffer().first_slice().len());
        got.extend_from_slice(&receiver.buffer().first_slice()[..n]);
        receiver.consume(n);
    }
    assert!(got == value && sender.unsent_bytes() == 0);
    drop(sender);
    assert!(receiver.is_complete() && !receiver.is_broken_off());
}

/// A client closes its connection in the middle of a body, or an endpoint does. If the other side
/// did not notice, it would wait forever; and a truncated body must not be taken for a complete
/// one.
#[test]
fn each_side_detects_that_the_other_was_dropped() {
    let streams = BodyStreams::new(0);
    let (sender, receiver) = streams.open(10);
    assert_eq!(sender.write(b"abcdefghijkl"), 10, "nothing beyond the body");
    drop(receiver);
    assert!(sender.is_receiver_dropped());
    drop(sender);
    let (sender, receiver) = streams.open(10);
    sender.write(b"abc");
    drop(sender);
    assert!(
        receiver.is_broken_off()
            && !receiver.is_complete()
            && receiver.buffer().first_slice() == b"abc"
    );
    drop(receiver);
    assert_eq!(streams.open_streams.get(), 0);
}
