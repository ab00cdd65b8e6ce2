//! Shutdown and closing of connections while requests or answers are still pending.

mod stage;

use stage::{play_all, play_resp};

const REQUEST: &str = r"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n$2\r\nk1\r\n$54\r\nc=fetch-episode,t=city,d=1000,units=2,spread=1,first=0\r\n";

/// SIGTERM arrives when half a request has been read. The other half arrives later. The request was
/// accepted, so it must be answered before the connection ends.
#[test]
fn request_half_read_at_shutdown_is_answered() {
    for cut in [1, 20, 60, REQUEST.len() - 6] {
        let cut = REQUEST[..cut]
            .rfind('\\')
            .filter(|at| at + 2 > cut)
            .unwrap_or(cut);
        let (head, rest) = REQUEST.split_at(cut);
        play_resp(&format!(
            "always value news
             raw c {head}
             wait 50
             stop
             wait 300
             raw c {rest}
             expect c k1 served news
             expect c k2 closed
             expect exit"
        ));
    }
}

/// A request arrives while its connection is being closed. The request must be answered, or the
/// connection must have been closed before the request was read; a request that was read must not
/// be lost.
#[test]
fn request_arriving_at_shutdown_is_answered_or_never_read() {
    // On an idle connection and on new ones, 0 to 40 ms around the signal.
    for ms in [0, 5, 20, 40] {
        play_resp(&format!(
            "always value news
             send c k1 fetch-episode city 7
             expect c k1 served news
             send d k2 fetch-episode city 7
             stop
             wait {ms}
             send e k3 fetch-episode city 7
             expect d k2 served news
             expect e k3 served news
             expect exit"
        ));
    }
}

/// SIGTERM arrives again during a shutdown. If the second signal ended the process, requests in
/// flight would be lost.
#[test]
fn second_sigterm_has_no_effect() {
    play_all(
        "send c k1 book-rebroadcast city 7
         expect * k1
         stop
         wait 100
         stop
         wait 500
         stop
         answer * k1 value booked
         expect c k1 served booked
         expect exit",
    );
}

/// Endpoints hang during the whole shutdown. Every request must get a final answer before the
/// process ends: a failure if it may have run, and a rejection if a retry is safe.
#[test]
fn hanging_endpoints_do_not_prevent_answers_at_shutdown() {
    // The booking may have run, so it fails; the fetch is safe to retry. Both are answered in time
    // for the exit.
    play_all(
        "send c k1 book-rebroadcast city 7 d=3000
         send c k2 fetch-episode national 8 d=3000
         expect * k1
         expect * k2
         stop
         wait 600
         expect c k1 failed
         expect c k2
         expect exit",
    );
}

/// Clients keep idle connections open. The shutdown must not wait for them.
#[test]
fn shutdown_closes_idle_and_silent_clients() {
    play_resp(
        "always value news
         send c k1 fetch-episode city 7
         expect c k1 served news
         idle_after_ping 20
         idle 20
         stop
         expect c k2 closed
         expect exit",
    );
}

/// A connection is closed while bytes from its client are unread. The operating system then resets
/// the connection, which would discard answers that have not been delivered yet.
#[test]
fn answers_precede_a_close_with_unread_bytes() {
    play_resp(
        "send c k1 fetch-episode city 7
         send c k2 book-rebroadcast city 7
         expect * k1
         expect * k2
         raw c what?\\r\\n
         garbage c 200000
         answer * k1 value one
         answer * k2 value two
         wait 300
         expect c k1 served one
         expect c k2 served two
         expect c - -ERR malformed
         expect c - closed",
    );
}

/// A connection is closed while bytes from its client are unread, and the client reads slowly: most
/// of its answers are still to be sent when its bytes turn out to be malformed. The client must get
/// these answers before the close.
#[test]
fn slow_reader_gets_answers_before_close_with_unread_bytes() {
    let send: String = (0..10)
        .map(|i| format!("send c k{i} fetch-episode national 7\n"))
        .collect();
    let expect: String = (0..10)
        .map(|i| format!("expect c k{i} served 60000 bytes\n"))
        .collect();
    play_resp(&format!(
        "always large 60000
         small_receive_buffer
         {send}
         wait 1500
         raw c what?\\r\\n
         garbage c 200000
         wait 300
         {expect}
         expect c - -ERR malformed
         expect c - closed"
    ));
}
