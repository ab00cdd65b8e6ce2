//! Requests that are still on their way to an endpoint when their time has passed: the window for
//! repeats of a keyed request, its deadline, or the drain of the endpoint. As scenarios for the real
//! program.

mod stage;

use stage::{play, Wire};

/// A keyed booking runs at one endpoint, which resets its connection. The other endpoint hangs, takes only
/// a part of the booking, and reads on after the window for repeats.
const HUNG_PAST_THE_WINDOW: &str = r#"with request_classes.1.effect="token" request_classes.1.window=0.8 endpoints.small_buffers=true
     send c k1 book-rebroadcast city 7 d=3000 k=00000000000000aa body=65536
     expect * k1
     hang
     answer * k1 tcp_reset
     wait 1300
     resume
     expect c k1 failed
     runs k1 1"#;

/// The rest of a body waits for room in the endpoint's buffers. It must not be written after the window:
/// the booking would run twice.
#[test]
fn rest_of_a_keyed_request_is_not_written_after_its_window() {
    play(Wire::Resp, Wire::Resp, HUNG_PAST_THE_WINDOW);
}

/// The rest of a body waits for the endpoint's flow control. It must not be sent after the window.
#[test]
fn rest_of_a_keyed_http2_request_is_not_sent_after_its_window() {
    play(Wire::Resp, Wire::Http2, HUNG_PAST_THE_WINDOW);
}
