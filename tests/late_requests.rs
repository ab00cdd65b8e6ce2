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

/// An endpoint hangs before it gets a booking that its system does not take whole, and reads on after the
/// booking's deadline.
const HUNG_PAST_THE_DEADLINE: &str = r#"with endpoints.small_buffers=true
     hang
     send c k1 book-rebroadcast city 7 d=400 body=24000
     expect c k1 failed
     wait 200
     resume
     wait 300
     runs k1 0"#;

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

/// The system still holds bytes of a request when the attempt is abandoned. It must not deliver them
/// later: the endpoint would get a whole request, long after its deadline.
#[test]
fn unsent_bytes_of_an_abandoned_request_are_discarded() {
    play(Wire::Resp, Wire::Resp, HUNG_PAST_THE_DEADLINE);
}

/// The same for the only request of an HTTP/2 connection.
#[test]
fn unsent_bytes_of_an_abandoned_http2_request_are_discarded() {
    play(Wire::Resp, Wire::Http2, HUNG_PAST_THE_DEADLINE);
}

/// A request waits for a free place among the streams of an endpoint's connection. It must not be sent
/// once its deadline has passed: the client has been answered.
#[test]
fn request_that_waits_for_a_stream_is_not_sent_after_its_deadline() {
    play(
        Wire::Resp,
        Wire::Http2,
        "with endpoints.streams=1
         state b left
         wait 150
         send c k1 book-rebroadcast city 7 d=3000
         expect a k1
         send d k2 fetch-episode city 8 d=400
         wait 600
         answer a k1 value booked
         expect c k1 served booked
         wait 200
         runs k2 0",
    );
}

/// The endpoint drains while a request waits for a free place among the streams of its connection. After
/// the time that a draining endpoint allows, the request must not be sent to it any more.
#[test]
fn request_that_waits_for_a_stream_is_not_sent_to_a_draining_endpoint() {
    play(
        Wire::Resp,
        Wire::Http2,
        "with endpoints.streams=1
         state b left
         wait 150
         send c k1 book-rebroadcast city 7 d=3000
         expect a k1
         send d k2 book-rebroadcast city 8 d=3000
         wait 50
         state a leaving
         state b active
         wait 2300
         answer a k1 value booked
         expect c k1 served booked
         answer b k2 value booked
         expect d k2 served booked
         runs k2 1",
    );
}
