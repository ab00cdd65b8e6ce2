//! Compatibility with bytes on disks and links that the program of commit e6ec670 wrote. Records
//! are encoded by position: a field or variant that is moved, added or of another type changes the
//! bytes, and older programs or the folders that they left could not be read any more.
//! `fixtures/encoded-by-e6ec670.txt` was written by a test of that commit with the values below:
//! each line is a name and bytes in hexadecimal.

use driftgap_group::{
    Document, DocumentKind, EntryRecord, Frame, Hello, LogPosition, MemberAnswer, MessageRecord,
    OpId, Outcome, Peer, Proposal, Proposed, Replica, Settings, State, StoredMember, Welcome,
};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// The bytes that e6ec670 wrote, by name.
struct Fixture(BTreeMap<&'static str, Vec<u8>>);

impl Fixture {
    fn load() -> Fixture {
        let lines = include_str!("fixtures/encoded-by-e6ec670.txt").lines();
        let bytes = lines.map(|line| {
            let (name, hexadecimal) = line.split_once(' ').expect("a name and bytes");
            (name, from_hexadecimal(hexadecimal))
        });
        Fixture(bytes.collect())
    }

    /// Removes and returns the bytes of this name, so that no other check uses them.
    fn take(&mut self, name: &str) -> Vec<u8> {
        self.0
            .remove(name)
            .unwrap_or_else(|| panic!("no bytes of {name}"))
    }

    /// Checks that the old bytes decode to this value, and that the value encodes to these bytes.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let bytes = self.take(name);
        assert_eq!(postcard::to_stdvec(value).unwrap(), bytes, "{name}");
        assert_eq!(postcard::from_bytes::<T>(&bytes).unwrap(), *value, "{name}");
    }

    /// Checks the same for a state, whose newer fields follow the old ones.
    fn check_state(&mut self, name: &str, state: &State) {
        let bytes = self.take(name);
        assert_eq!(state.encode(), bytes, "{name}");
        assert_eq!(State::decode(&bytes).as_ref(), Some(state), "{name}");
    }
}

fn from_hexadecimal(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text
        .chars()
        .map(|c| c.to_digit(16).expect("a digit") as u8)
        .collect();
    digits
        .chunks(2)
        .map(|pair| pair[0] << 4 | pair[1])
        .collect()
}

fn admit(name: &str, address: &str, nonce: u64) -> Proposal {
    Proposal::Admit {
        name: name.into(),
        address: address.into(),
        nonce,
    }
}

/// Every kind of proposal, with the expected outcome of each in turn.
fn proposals() -> Vec<(Proposal, Outcome)> {
    vec![
        (admit("m1", "10.0.0.1:1", 2), Outcome::Admitted(2)),
        (admit("m2", "10.0.0.2:1", 3), Outcome::Admitted(3)),
        (Proposal::Suspend("a".into()), Outcome::Done),
        (Proposal::Suspend("b".into()), Outcome::Done),
        (Proposal::Restore("a".into()), Outcome::Done),
        (
            Proposal::Write(DocumentKind::Inventory, 0, b"name,address\n".to_vec()),
            Outcome::Written(1),
        ),
        (
            Proposal::Write(DocumentKind::Rules, 0, b"[[rule]]\n".to_vec()),
            Outcome::Written(1),
        ),
        (admit("m1", "10.0.0.1:2", 4), Outcome::Admitted(4)),
        (
            Proposal::Invite {
                name: "m3".into(),
                address: "10.0.0.3:1".into(),
                instead_of: Some("m2".into()),
            },
            Outcome::Done,
        ),
        (Proposal::Remove("m2".into()), Outcome::Refused),
        (Proposal::Raise(2), Outcome::Done),
    ]
}

fn op(number: u64) -> OpId {
    OpId { origin: 9, number }
}

/// The state after all proposals but the raise of the format version, and the state after the
/// raise.
fn states(fixture: &mut Fixture) -> [State; 2] {
    let mut state = State::first(77, "m0", "10.0.0.0:1", 1);
    let mut before_raise = State::default();
    for (i, (proposal, outcome)) in proposals().into_iter().enumerate() {
        if matches!(proposal, Proposal::Raise(_)) {
            before_raise = state.clone();
        }
        let proposed = Proposed {
            op: op(i as u64 + 1),
            made_at: 1,
            proposal,
        };
        fixture.check(&format!("proposed-{i}"), &proposed);
        fixture.check(&format!("outcome-{i}"), &outcome);
        assert_eq!(state.apply(i as u64 + 2, &proposed), outcome, "{i}");
    }
    [before_raise, state]
}

/// A member that is started on a folder of the older program, or receives frames from it, must
/// decode every record.
#[test]
fn records_of_an_older_program_are_decoded_and_encoded_identically() {
    let mut fixture = Fixture::load();
    let [format_1, format_2] = states(&mut fixture);
    fixture.check_state("state-format-1", &format_1);
    fixture.check_state("state-format-2", &format_2);
    let loaded = StoredMember::first(77, "m0", "10.0.0.0:1", 1);
    fixture.check("hard-state", &loaded.hard);
    fixture.check("snapshot", &loaded.snapshot);
    let compacted = LogPosition {
        index: 2048,
        term: 3,
    };
    fixture.check("compacted", &compacted);
    let entry = EntryRecord {
        kind: 2,
        term: 3,
        index: 2049,
        data: vec![1, 2],
        context: vec![3],
    };
    fixture.check("entry", &entry);
    let copy = Replica {
        group: 77,
        applied: 12,
        excluded: ["b".to_string()].into(),
        documents: format_2.documents.clone(),
    };
    fixture.check("follower-copy", &copy);
    let hello = Hello::new(2, 77, 1, "m0", "m1");
    assert_eq!(hello.bytes(), fixture.take("hello"));
    let welcome = Welcome {
        format_version: 2,
        group: 77,
        id: 2,
    };
    assert_eq!(welcome.bytes(), fixture.take("welcome"));
    let documents = format_2.documents.into_iter().collect();
    for (name, frame) in frames(documents) {
        let name = format!("frame-{name}");
        assert_eq!(frame.bytes(), fixture.take(&name), "{name}");
    }
    let unchecked: Vec<&str> = fixture.0.into_keys().collect();
    assert!(unchecked.is_empty(), "{unchecked:?}");
}

/// Every kind of frame.
fn frames(documents: Vec<(DocumentKind, Document)>) -> Vec<(&'static str, Frame)> {
    let answer = |answer| Frame::Answer { op: op(1), answer };
    let ask = |proposal| Frame::Call {
        op: op(1),
        made_at: 7,
        proposal,
    };
    vec![
        ("idle", Frame::Idle),
        ("raft", Frame::Raft(message())),
        ("join", Frame::Join { nonce: 5 }),
        (
            "admitted",
            Frame::Admitted {
                group: 77,
                id: 3,
                nonce: 5,
            },
        ),
        (
            "reachability",
            Frame::Reachability {
                of: "m0".into(),
                receives_from: vec!["m1".into(), "m2".into()],
            },
        ),
        ("forward", Frame::Forward(message())),
        ("forwarded", Frame::Forwarded(message())),
        (
            "follow",
            Frame::Follow {
                have: vec![(DocumentKind::Rules, 3)],
            },
        ),
        ("propose", ask(Some(Proposal::Suspend("a".into())))),
        ("read", ask(None)),
        (
            "answer-done",
            answer(MemberAnswer::Done(Outcome::Written(3))),
        ),
        ("answer-read", answer(MemberAnswer::Read)),
        ("answer-refused", answer(MemberAnswer::Refused("no".into()))),
        ("answer-open", answer(MemberAnswer::Unknown)),
        (
            "copy",
            Frame::ReplicaUpdate {
                applied: 12,
                age_ms: 3.5,
                out: Some(vec!["b".into()]),
                documents,
            },
        ),
    ]
}

/// The vote request of a candidate.
fn message() -> MessageRecord {
    let members =
        ["m0", "m1", "m2"].map(|name| (name.to_string(), format!("10.0.0.{}:1", &name[1..])));
    let settings = Settings::new("m0", 1, BTreeMap::from(members));
    let mut loaded = StoredMember::first(77, "m0", "10.0.0.0:1", 1);
    loaded.snapshot.conf.voters = vec![1, 2, 3];
    let mut candidate = Peer::from_member(settings, loaded, 0.0).unwrap();
    candidate.receive(0.0, "m1", 2, Frame::Idle);
    for now_ms in (0..10_000).step_by(50).map(f64::from) {
        candidate.tick(now_ms);
        while candidate.next_write(now_ms).is_some() {
            candidate.written(now_ms).unwrap();
        }
        for (to, frame) in candidate.frames(now_ms) {
            match frame {
                Frame::Raft(message) if to == "m1" => return message,
                _ => {}
            }
        }
    }
    panic!("the candidate requests no votes");
}
