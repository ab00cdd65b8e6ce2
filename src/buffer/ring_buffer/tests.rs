use super::*;

/// Messages of varying length pass through a ring buffer, so that they wrap around its end at
/// different positions. No byte may be lost or reordered there, and a peer that sends without end
/// must find the buffer full at its cap.
#[test]
fn bytes_stay_in_order_across_wraparound_and_the_cap_holds() {
    let mut ring = RingBuffer::new(4096);
    let mut next_expected = 0u8;
    let mut next = 0u8;
    for round in 0..500 {
        let bytes: Vec<u8> = (0..37 + round % 5)
            .map(|i| next.wrapping_add(i as u8))
            .collect();
        ring.push(&bytes).unwrap();
        next = next.wrapping_add(bytes.len() as u8);
        if ring.len() > 900 {
            let got = ring.contiguous()[..850].to_vec();
            ring.consume(850);
            for b in got {
                assert_eq!(b, next_expected);
                next_expected = next_expected.wrapping_add(1);
            }
        }
    }
    ring.consume(usize::MAX);
    assert!(ring.is_empty());
    assert_eq!(ring.push(&[0; 4097]), Err(RingBufferFull));
    ring.push(&[1; 4096]).unwrap();
    assert_eq!(ring.free_slice().err(), Some(RingBufferFull));
}
