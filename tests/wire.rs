//! The simulator's adapter: decodes and encodes records against bytes derived by hand from the
//! protocol's layout, and checks the exit status.

#[path = "../src/bin/driftgap-simulator-adapter/wire/mod.rs"]
mod wire;

use driftgap::decision::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use wire::{encode_action, Record, RecordReader};

fn bytes(hex: &str) -> Vec<u8> {
    let hex: String = hex.split_whitespace().collect();
    (0..hex.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap())
        .collect()
}

fn event(hex: &str) -> Event {
    let body = bytes(hex);
    let mut reader = RecordReader::new(&body);
    let Some(Record::Event { ingress: 3, event }) = reader.next_record().unwrap() else {
        panic!("not an event for ingress 3")
    };
    assert_eq!(reader.next_record(), Ok(None));
    event
}

#[test]
fn query_record_decodes_to_request_arrived() {
    let decoded = event(
        "03 0003 5d3a91c4 40214df3b645a1cb 40400000 00 0000 3f800000 0000000000000009 40000000 02",
    );
    let Event::RequestArrived(r) = decoded else {
        panic!("{decoded:?}")
    };
    assert_eq!(
        (r.id, r.ingress_count, r.first_ingress, r.class, r.plan),
        (0x5d3a_91c4, 3, 1, 0, 0)
    );
    assert_eq!((r.tenant, r.units, r.is_retry), (9, 2.0, true));
    assert!((r.gives_up_at - 8.652).abs() < 0.01, "{}", r.gives_up_at);
}

#[test]
fn targets_record_decodes_to_endpoint_list() {
    let decoded = event(
        "02 0003 02 00000029 00000002
         03124a07 00 0000 0005 00 3f800000 0000000000000000
         2c9011f2 01 0000 0006 02 3fc00000 4018000000000000",
    );
    let Event::EndpointList {
        kind: ListKind::Cached,
        entries,
    } = decoded
    else {
        panic!("{decoded:?}")
    };
    let first = EndpointEntry {
        id: 0x0312_4a07,
        zone: 0,
        cell: 5,
        state: EndpointState::Ready,
        capacity: 1.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    };
    let second = EndpointEntry {
        id: 0x2c90_11f2,
        zone: 1,
        cell: 6,
        state: EndpointState::Draining,
        capacity: 1.5,
        started_at: 6.0,
        pools: ALL_ENDPOINTS,
    };
    assert_eq!(entries, vec![first, second]);
}

#[test]
fn response_and_echo_records_decode() {
    let decoded =
        event("05 0003 00000007 0001 00000008 1e 3fb0000000000000 01 0056 0003 01 40000000");
    let expected = Event::AttemptEnded(AttemptEnd {
        id: 7,
        attempt: 1,
        outcome: Outcome::Rejected,
        request_finished: true,
        settled_units: Some(3.0),
        report: vec![2.0],
    });
    assert_eq!(decoded, expected);
    let decoded = event("08 0003 00000008 32 3fb0000000000000 00");
    assert_eq!(
        decoded,
        Event::ProbeEnded {
            endpoint: 8,
            outcome: Outcome::ConnectFailed,
            report: vec![]
        }
    );
}

#[test]
fn other_event_records_decode() {
    assert_eq!(
        event("06 0003 0e6f2b19"),
        Event::ClientGone { id: 0x0e6f_2b19 }
    );
    assert_eq!(
        event("07 0003 000000000000004d"),
        Event::Timer { token: 77 }
    );
    let first = event("04 0003 00000007 0002 00000008 3fb0000000000000");
    assert_eq!(first, Event::StreamStarted { id: 7, attempt: 2 });
    let counted = event("0b 0003 000000000089f690 0a 42180000 3f619ce075f6fd22");
    assert_eq!(
        counted,
        Event::CounterAnswered {
            name: 0x0089_f690,
            outcome: Outcome::Ok,
            total: 38.0
        }
    );
    let body = bytes("0a 0005 09 0005 00000001 0002 6869 01 0006 0000000000000009 00000002 7b7d");
    let mut reader = RecordReader::new(&body);
    assert_eq!(reader.next_record(), Ok(Some(Record::Stop { ingress: 5 })));
    assert_eq!(reader.next_record(), Ok(Some(Record::Ignored)));
    assert_eq!(
        reader.next_record(),
        Ok(Some(Record::Start {
            ingress: 6,
            seed: 9,
            settings: "{}".into()
        }))
    );
}

#[test]
fn action_records_encode() {
    let cases = [
        (
            Action::Send {
                id: 0x5d3a_91c4,
                endpoint: 0x0312_4a07,
                timeout: 0.08,
            },
            "01 0003 5d3a91c4 03124a07 3fb47ae147ae147b",
        ),
        (
            Action::Reject {
                id: 7,
                retry_after: 0.5,
            },
            "02 0003 00000007 3fe0000000000000",
        ),
        (Action::Fail { id: 7 }, "03 0003 00000007"),
        (
            Action::Cancel { id: 7, attempt: 1 },
            "04 0003 00000007 0001",
        ),
        (
            Action::Timer {
                after: 0.5,
                token: 77,
            },
            "05 0003 3fe0000000000000 000000000000004d",
        ),
        (Action::Probe { endpoint: 8 }, "06 0003 00000008"),
        (Action::FollowEndpointList, "0b 0003 01"),
        (
            Action::AddToCounter {
                name: 0x0089_f690,
                amount: 4.0,
                lives: 3.0,
            },
            "0d 0003 000000000089f690 40800000 4008000000000000",
        ),
    ];
    for (action, hex) in cases {
        let mut out = Vec::new();
        encode_action(3, &action, &mut out);
        assert_eq!(out, bytes(hex), "{action:?}");
    }
}

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_driftgap-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

/// Builds a frame at time 0 with these records.
fn frame(records: &str) -> Vec<u8> {
    let body = bytes(records);
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend([0; 8]);
    out.extend(body);
    out
}

#[test]
fn empty_batch_gets_empty_reply_and_exit_status_0() {
    let out = run_adapter(&bytes("00000000 4020d3126e978d50"));
    assert_eq!((out.status.code(), out.stdout), (Some(0), vec![0, 0, 0, 0]));
}

/// The input ends early, contains bytes that are not a record, or starts an ingress with invalid
/// settings. The adapter must exit at once with status 2 and one line that gives the error and its
/// place; a reply to half a frame would corrupt the simulation unnoticed.
#[test]
fn malformed_input_gives_one_error_line_and_no_reply() {
    let start_frame = |json: &str| {
        let mut hex = format!("01 0000 0000000000000001 {:08x}", json.len());
        json.bytes().for_each(|b| hex.push_str(&format!("{b:02x}")));
        frame(&hex)
    };
    let cases = [
        (bytes("0000"), "input ends after 2 of 12 bytes"),
        (bytes("00000005 0000000000000000 06"), "input ends"),
        (frame("63 0003"), "unknown event code 99"),
        (frame("06 0003 0e"), "Aborted"),
        (
            frame("05 0003 00000007 0001 00000008 63"),
            "unknown outcome 99",
        ),
        (frame("06 0003 0e6f2b19"), "there was no Born record"),
        (start_frame("{"), "not JSON"),
        (start_frame("{}"), "balancers is missing"),
        (
            start_frame(r#"{"balancers":0,"request_classes":[],"plans":[]}"#),
            "balancers: must be at least 1",
        ),
        (
            start_frame(r#"{"balancers":1,"request_classes":[{"aim":"x"}],"plans":[]}"#),
            "request_classes[0].effect",
        ),
    ];
    for (input, expected) in cases {
        let out = run_adapter(&input);
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(2), "{expected}");
        assert!(
            out.stdout.is_empty() && stderr.lines().count() == 1,
            "{stderr}"
        );
        assert!(
            stderr.contains(expected),
            "{stderr} should contain {expected}"
        );
    }
}
