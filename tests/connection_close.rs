//! The stop, in the instants in which something is still owed.

mod stage;

use stage::{play_all, play_resp};

const REQUEST: &str = r"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n$2\r\nk1\r\n$54\r\nc=fetch-episode,t=city,d=1000,units=2,spread=1,first=0\r\n";

/// SIGTERM comes when half a request has been read. The rest arrives: the request was accepted, so it is
/// answered before the connection ends.
#[test]
fn a_request_of_which_half_had_come_at_the_stop_is_answered() {
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

/// A request crosses the end of its connection. If it is read and then the connection is closed, it is lost;
/// it is answered, or the close came before it was read.
#[test]
fn a_request_that_comes_in_the_instant_of_the_stop_is_answered_or_its_connection_was_closed_before()
{
    // On a connection that rests, and on new ones: at 0 to 40 ms around the signal.
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

/// SIGTERM comes again during a shutdown. If the second one ended the process, requests in flight would be
/// lost.
#[test]
fn a_second_term_changes_nothing() {
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

/// Endpoints hang through the whole shutdown. Before the process ends every request gets a final answer: a
/// failure where it may have run, a rejection where that does no harm.
#[test]
fn an_endpoint_that_hangs_until_the_end_costs_no_request_its_answer() {
    // The one may have run and has failed, the other is harmless; both in time for the program to end.
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

/// Clients rest on their connections and never close them. The shutdown must not wait for them.
#[test]
fn a_client_that_rests_until_it_is_ended_is_ended_and_one_that_says_nothing_too() {
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

/// A connection is closed while bytes of the client are unread. The system then resets it, and answers that
/// are not delivered yet would go with the reset.
#[test]
fn a_connection_that_is_closed_over_unread_bytes_has_brought_its_answers() {
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

/// The same with a client that reads slowly, so that most of its answers are still to be sent when its bytes
/// turn out to make no sense.
#[test]
fn a_client_that_reads_slowly_has_its_answers_before_a_close_over_unread_bytes() {
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
