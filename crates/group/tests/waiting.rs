//! An ingress with an empty folder before its admission: its links carry no incarnation, and the
//! other end closes a link on which it sends a frame that only members may send.

use driftgap_group::{Frame, MessageRecord, Peer, Settings, StoredMember};
use std::collections::BTreeMap;

fn settings(name: &str) -> Settings {
    let members =
        ["m0", "m1", "m2"].map(|member| (member.to_string(), format!("10.0.0.{}:1", &member[1..])));
    Settings::new(name, 1, BTreeMap::from(members))
}

/// The vote request of a candidate.
fn message_to_m1() -> MessageRecord {
    let mut loaded = StoredMember::first(77, "m0", "10.0.0.0:1", 1);
    loaded.snapshot.conf.voters = vec![1, 2, 3];
    let mut candidate = Peer::from_member(settings("m0"), loaded, 0.0).unwrap();
    candidate.receive(0.0, "m1", 2, Frame::Idle);
    for now in (0..10_000).step_by(50).map(f64::from) {
        candidate.tick(now);
        while candidate.next_write(now).is_some() {
            candidate.written(now).unwrap();
        }
        for (to, frame) in candidate.frames(now) {
            match frame {
                Frame::Raft(message) if to == "m1" => return message,
                _ => {}
            }
        }
    }
    panic!("the candidate requests no votes");
}

/// An ingress that has not been admitted receives frames that a member would forward. Its links
/// carry no incarnation, and the other end closes a link with such a frame, which loses the request
/// to be admitted. The ingress must forward nothing, and repeat its request.
#[test]
fn joining_ingress_forwards_nothing_and_repeats_its_request() {
    let mut joining_peer = Peer::joining(settings("m2"), 9);
    joining_peer.receive(0.0, "m1", 2, Frame::Idle);
    joining_peer.receive(
        0.0,
        "m0",
        1,
        Frame::Reachability {
            of: "m0".into(),
            receives_from: vec!["m1".into()],
        },
    );
    joining_peer.receive(0.0, "m0", 1, Frame::Forward(message_to_m1()));
    let mut joins = Vec::new();
    for now in [0.0, 250.0, 501.0] {
        joining_peer.tick(now);
        for (to, frame) in joining_peer.frames(now) {
            assert!(frame.is_allowed_from(0), "{now} ms: to {to}: {frame:?}");
            if frame == (Frame::Join { nonce: 9 }) {
                joins.push((now, to));
            }
        }
    }
    let all = [0.0, 501.0]
        .map(|now| ["m0", "m1"].map(|to| (now, to.to_string())))
        .concat();
    assert_eq!(joins, all);
}

/// An ingress sends frames in the name of another one. A link must carry only frames that are
/// allowed for the incarnation in the sender's hello.
#[test]
fn link_carries_only_frames_allowed_for_its_incarnation() {
    let message = message_to_m1();
    let report = Frame::Reachability {
        of: "m0".into(),
        receives_from: Vec::new(),
    };
    for (frame, from_none, from_its_sender, from_another) in [
        (Frame::Idle, true, true, true),
        (Frame::Join { nonce: 1 }, true, true, true),
        (Frame::Raft(message.clone()), false, true, false),
        (Frame::Forward(message.clone()), false, true, true),
        (Frame::Forwarded(message), false, true, true),
        (report, false, true, true),
        (
            Frame::Admitted {
                group: 77,
                id: 3,
                nonce: 1,
            },
            false,
            true,
            true,
        ),
        (Frame::Follow { have: Vec::new() }, true, false, false),
    ] {
        let allowed = [0, 1, 2].map(|incarnation| frame.is_allowed_from(incarnation));
        assert_eq!(
            allowed,
            [from_none, from_its_sender, from_another],
            "{frame:?}"
        );
    }
}
