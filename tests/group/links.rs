//! Invalid connections to a member's link port.

use crate::peers::{run, Peers};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends these bytes on a new connection, and returns how long the connection stays open.
async fn time_until_closed(at: &str, bytes: &[u8], trickle: bool) -> Duration {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let began = Instant::now();
    let _ = stream.write_all(bytes).await;
    let mut rest = [0; 256];
    loop {
        let read = tokio::time::timeout(Duration::from_millis(200), stream.read(&mut rest)).await;
        match read {
            Ok(Ok(0) | Err(_)) => return began.elapsed(),
            // A trickling peer keeps sending while no answer arrives.
            _ if trickle && stream.write_all(b"\0").await.is_err() => return began.elapsed(),
            _ => {}
        }
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "the connection is never closed"
        );
    }
}

/// Strangers connect to a member's link port. They send nothing, foreign bytes, truncated or
/// corrupt frames, frames that only members may send, or one byte at a time, or open many
/// connections. Each connection must be closed in time and counted by its cause, and the group must
/// keep working.
#[test]
fn invalid_links_are_closed_in_time_and_counted() {
    use driftgap_group::{Frame, Hello};
    run(async {
        let mut peers = Peers::new(3, 0).await;
        peers.steps(&["start 0 1 2", "whole 0 1 2"]).await;
        let at = peers.link(0);
        let hello = Hello::new(2, 0, 0, "m1", "m0").bytes();
        let after_hello = |frame: Vec<u8>| [hello.clone(), frame].concat();
        let mut corrupt = Frame::Idle.bytes();
        corrupt[5] ^= 1;
        let other_group = Hello::new(2, 1, 9, "m1", "m0").bytes();
        let admitted = Frame::Admitted {
            group: 1,
            id: 9,
            nonce: 1,
        }
        .bytes();
        let cases: [(&str, Vec<u8>); 9] = [
            ("sends nothing", vec![]),
            ("foreign bytes", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
            ("another group", other_group),
            ("another member", Hello::new(2, 0, 0, "m1", "m2").bytes()),
            ("sends a hello and nothing else", hello.clone()),
            (
                "a truncated frame",
                after_hello(Frame::Idle.bytes()[..5].to_vec()),
            ),
            ("a corrupt frame", after_hello(corrupt)),
            ("a frame without an end", after_hello(vec![0xff; 64])),
            ("claims to be a member", after_hello(admitted)),
        ];
        for (case, bytes) in cases {
            let time = time_until_closed(&at, &bytes, false).await;
            assert!(time < Duration::from_secs(3), "{case}: {time:?}");
        }
        // 300 silent connections must not keep a member out, and a frame that trickles in must be
        // closed in the end.
        let mut crowd = Vec::new();
        for _ in 0..300 {
            crowd.push(TcpStream::connect(&at).await.unwrap());
        }
        peers
            .steps(&["call 1 ACK SUSPEND a", "out 0 a", "served 0 k1"])
            .await;
        drop(crowd);
        let time = time_until_closed(&at, &after_hello(vec![0, 0, 1, 0]), true).await;
        assert!(time < Duration::from_secs(12), "{time:?}");
        peers.step("call 2 ACK SUSPEND b").await;
        peers.step("led 0 1 2").await;
        // Each connection is counted by its cause in the statistics of every ten seconds.
        for cause in [
            "bad_frame",
            "frame_not_allowed",
            "frame_timeout",
            "greeting_timeout",
            "no_greeting",
            "other_group",
            "other_member",
            "read_timeout",
        ] {
            peers.step(&format!("logged 0 {cause}=")).await;
        }
    });
}
