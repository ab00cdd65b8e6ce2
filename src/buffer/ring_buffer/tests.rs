use super::*;

/// Messages of changing length pass through a ring buffer, so that they wrap around its end at ever new
/// places. No byte may be lost or swapped there, and a peer that sends without end must find the buffer full
/// at its cap.
#[test]
fn bytes_come_out_in_order_across_the_seam_and_the_cap_holds() {
    let mut ring = RingBuffer::new(4096);
    let mut expect = 0u8;
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
                assert_eq!(b, expect);
                expect = expect.wrapping_add(1);
            }
        }
    }
    ring.consume(usize::MAX);
    assert!(ring.is_empty());
    assert_eq!(ring.push(&[0; 4097]), Err(RingBufferFull));
    ring.push(&[1; 4096]).unwrap();
    assert_eq!(ring.free_slice().err(), Some(RingBufferFull));
}
