//! The operator's script does not end. Requests in flight and later ones must get their final answers in
//! time, over every pair of protocols.

mod stage;

use stage::play_all;

/// The script blocks, or works without end in a native function, while a booking is in flight. It must be
/// stopped within its time: nothing else is answered meanwhile, by the whole process.
#[test]
fn script_that_does_not_end_delays_no_other_request() {
    for tenant in ["f00d", "feed"] {
        play_all(&format!(
            "send c k1 book-rebroadcast city 7 d=1200
             wait 100
             send d k2 fetch-episode city {tenant}
             expect d k2 busy
             answer * k1 value booked
             expect c k1 served booked
             send c k3 book-rebroadcast city 7
             answer * k3 value booked
             expect c k3 served booked
             runs k1 1
             runs k2 0"
        ));
    }
}

/// The script does not end on any of many requests that arrive at once. Together they must not keep the
/// thread from other requests.
#[test]
fn script_that_never_ends_on_many_requests_delays_no_other_request() {
    let hostile: String = (0..300)
        .map(|i| format!("send d{} h{i} fetch-episode city f00d\n", i % 3))
        .collect();
    play_all(&format!(
        "always echo
         {hostile}
         send c k1 book-rebroadcast city 7 d=900
         expect c k1 served k1
         expect d0 h0 busy"
    ));
}
