//! What a member's link takes from whoever connects.

use crate::peers::{run, Peers};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a connection with these bytes is kept.
async fn time_until_closed(at: &str, bytes: &[u8], trickle: bool) -> Duration {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let began = Instant::now();
    let _ = stream.write_all(bytes).await;
    let mut rest = [0; 256];
    loop {
        let read = tokio::time::timeout(Duration::from_millis(200), stream.read(&mut rest)).await;
        match read {
            Ok(Ok(0) | Err(_)) => return began.elapsed(),
            // Where nothing is to come, whoever trickles goes on.
            _ if trickle && stream.write_all(b"\0").await.is_err() => return began.elapsed(),
            _ => {}
        }
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "it is never closed"
        );
    }
}

/// Others than members connect to a member's link: they send nothing, foreign bytes, torn or spoilt frames, frames
/// that only members may send, a byte at a time, or come in a crowd. Each connection must be closed in time and
/// counted by its cause, and the group must go on.
#[test]
fn links_that_are_none_are_closed_in_time_and_harm_nobody() {
    use driftgap_group::{Frame, Hello};
    run(async {
        let mut peers = Peers::new(3, 0).await;
        peers.steps(&["start 0 1 2", "whole 0 1 2"]).await;
        let at = peers.link(0);
        let hello = Hello::new(2, 0, 0, "m1", "m0").bytes();
        let with = |frame: Vec<u8>| [hello.clone(), frame].concat();
        let mut spoilt = Frame::Idle.bytes();
        spoilt[5] ^= 1;
        let elsewhere = Hello::new(2, 1, 9, "m1", "m0").bytes();
        let admitted = Frame::Admitted {
            group: 1,
            id: 9,
            nonce: 1,
        }
        .bytes();
        let cases: [(&str, Vec<u8>); 9] = [
            ("says nothing", vec![]),
            ("foreign bytes", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
            ("another group", elsewhere),
            ("another member", Hello::new(2, 0, 0, "m1", "m2").bytes()),
            ("greets and says nothing", hello.clone()),
            ("a torn frame", with(Frame::Idle.bytes()[..5].to_vec())),
            ("a spoilt frame", with(spoilt)),
            ("a frame without an end", with(vec![0xff; 64])),
            ("speaks as a member that it is not", with(admitted)),
        ];
        for (what, bytes) in cases {
            let time = time_until_closed(&at, &bytes, false).await;
            assert!(time < Duration::from_secs(3), "{what}: {time:?}");
        }
        // A frame that trickles is closed in the end, and 300 that say nothing keep no member out.
        let mut crowd = Vec::new();
        for _ in 0..300 {
            crowd.push(TcpStream::connect(&at).await.unwrap());
        }
        peers
            .steps(&["call 1 ACK SUSPEND a", "out 0 a", "served 0 k1"])
            .await;
        drop(crowd);
        let time = time_until_closed(&at, &with(vec![0, 0, 1, 0]), true).await;
        assert!(time < Duration::from_secs(12), "{time:?}");
        peers.step("call 2 ACK SUSPEND b").await;
        peers.step("led 0 1 2").await;
        // Each is counted by its cause, in the figures of every ten seconds.
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
