//! Large and slow response bodies over every pair of protocols, as scenarios for the real program.

mod stage;

use stage::{play, play_all, Wire};

/// A response too large to be buffered completely is streamed to the client. Every byte must
/// arrive, and the connection must serve the next request.
#[test]
fn large_values_are_streamed_unchanged() {
    play_all(
        "send c k1 fetch-episode city 7
         answer * k1 large 65537
         expect c k1 served 65537 bytes
         send c k2 book-rebroadcast city 7
         answer * k2 large 4194304
         expect c k2 served 4194304 bytes
         send c k3 fetch-episode city 7
         answer * k3 large 65536
         expect c k3 served 65536 bytes
         send c k4 fetch-episode city 7
         answer * k4 value news
         expect c k4 served news
         runs k1 1
         runs k2 1",
    );
}

/// The deadline passes while a large response is being streamed. The client has received the
/// beginning of the answer, so cutting the stream would only make that answer incomplete.
#[test]
fn slow_value_continues_after_its_deadline() {
    play_all(
        "send c k1 fetch-episode city 7 d=600
         answer * k1 pieces 300000
         expect c k1 served 300000 bytes
         send c k2 book-rebroadcast city 7 d=2900
         answer * k2 pieces 60000
         expect c k2 served 60000 bytes
         runs k1 1
         runs k2 1",
    );
}

/// The endpoint ends its connection in the middle of a large response. The client has received part
/// of it, so it must see a closed connection: neither a complete answer nor a second one.
#[test]
fn truncated_value_closes_the_connection_without_retry() {
    play_all(
        "send c k1 book-rebroadcast city 7
         answer * k1 truncated 500000
         expect c k1 closed
         send d k2 fetch-episode city 7
         answer * k2 value news
         expect d k2 served news
         runs k1 1",
    );
}

/// An endpoint announces more bytes than it sends, or more than any response may have. The attempt
/// must be given up, and a request that is safe to repeat must be retried.
#[test]
fn wrong_length_is_retried_at_another_endpoint() {
    play(
        Wire::Resp,
        Wire::Resp,
        "send c k1 fetch-episode city 7 d=1900
         answer * k1 short 3000000
         answer * k1 value news
         expect c k1 served news
         runs k1 2
         send c k2 fetch-episode city 7 d=1900
         answer * k2 large 5000000
         answer * k2 value news
         expect c k2 served news",
    );
}

/// Many clients read large responses slowly. If the ingress buffered everything that they have not
/// read, its memory would grow with the number of clients. Pipelined answers must keep their order.
#[test]
fn slow_readers_keep_memory_bounded_and_answers_in_order() {
    let mut scenario = String::from("memory\n");
    for i in 0..24 {
        scenario += &format!(
            "send c{i} k{i} fetch-episode city {}\nanswer * k{i} large 4000000\n",
            10 + i
        );
    }
    scenario += "wait 500\nmemory 12\n";
    scenario += "send c3 after fetch-episode city 7\nanswer * after value news\n";
    for i in 0..24 {
        scenario += &format!("expect c{i} k{i} served 4000000 bytes\n");
    }
    scenario += "expect c3 after served news\n";
    play(Wire::Resp, Wire::Resp, &scenario);
    play(Wire::Resp, Wire::Http2, &scenario);
}

/// Many clients write long requests and stop before the end. The memory for these bytes must be
/// bounded over all connections, and other clients must be served.
#[test]
fn memory_is_bounded_when_clients_write_incomplete_requests() {
    // 80 incomplete requests of 60 KB are 4.8 MB. The bound is a sixth of 10 MB, halved because
    // ring buffers double: 0.8 MB.
    let mut scenario = String::from("small_memory\nmemory\n");
    for i in 0..80 {
        scenario += &format!("incomplete c{i} 60000\n");
    }
    scenario += "wait 300\nmemory 3\n";
    scenario += "send d k1 fetch-episode city 7\nanswer * k1 value news\nexpect d k1 served news\n";
    // The incomplete requests have timed out by now, so a long request is served again.
    scenario += "wait 3000\nsend e k2 book-rebroadcast city 7 body=60000\n";
    scenario += "answer * k2 value booked\nexpect e k2 served booked\n";
    play(Wire::Resp, Wire::Resp, &scenario);
}

/// A client disconnects in the middle of a large response. The endpoint's connection must not stay
/// blocked by bytes that nobody reads, and the process must still be able to exit.
#[test]
fn client_disconnect_during_stream_releases_the_endpoint() {
    play_all(
        "send c k1 fetch-episode city 7
         answer * k1 pieces 4000000
         wait 150
         close c
         send d k2 fetch-episode city 7
         answer * k2 value news
         expect d k2 served news
         stop
         expect exit",
    );
}
