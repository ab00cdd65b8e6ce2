//! Properties of reading arbitrary bytes and damaged files. A failing case prints its input.

use driftgap_inventory::{read, File, Reading, Schema, Severity};
use proptest::prelude::*;
use std::collections::BTreeSet;

fn schema() -> Schema {
    Schema {
        zones: vec!["building-1".into()],
        ..Schema::default()
    }
}

fn read_file(path: &str, bytes: Vec<u8>) -> Reading {
    read(
        &[File {
            path: path.into(),
            bytes,
        }],
        &schema(),
    )
}

fn good_csv() -> String {
    let rows = (0..20).map(|i| format!("n{i},10.0.0.{i}:7001,building-1,{}\n", 1 + i % 3));
    format!(
        "# driftgap: hosts=20\n# driftgap: ends\nname,address,zone,weight\n{}# driftgap: end\n",
        rows.collect::<String>()
    )
}

fn good_yaml() -> String {
    let hosts = (0..20).map(|i| {
        format!(
            "        n{i}: {{ansible_host: 10.0.0.{i}, weight: {}}}\n",
            1 + i % 3
        )
    });
    format!(
        "# driftgap: hosts=20\n# driftgap: ends\nall:\n  vars: {{zone: building-1}}\n  children:\n    g:\n      hosts:\n{}# driftgap: end\n",
        hosts.collect::<String>()
    )
}

/// Returns variants of a text with bytes removed, changed, duplicated or inserted.
fn damaged(text: String) -> impl Strategy<Value = Vec<u8>> {
    let length = text.len();
    (0..4u8, 0..length, 1..200usize, any::<u8>()).prop_map(move |(how, from, span, byte)| {
        let mut bytes = text.clone().into_bytes();
        let to = (from + span).min(bytes.len());
        match how {
            0 => drop(bytes.drain(from..to)),
            1 => bytes[from] = byte,
            2 => {
                let part = bytes[from..to].to_vec();
                bytes.splice(from..from, part);
            }
            _ => bytes.insert(from, byte),
        }
        bytes
    })
}

/// Asserts that an accepted list has the declared number of hosts, and no name or address twice.
fn check_consistency(reading: &Reading) -> Result<(), TestCaseError> {
    if reading.has_no_errors() {
        prop_assert_eq!(reading.hosts.len(), 20);
    } else {
        prop_assert!(reading
            .faults
            .iter()
            .any(|fault| fault.severity == Severity::Error));
    }
    let names: BTreeSet<&str> = reading
        .hosts
        .iter()
        .map(|host| host.name.as_str())
        .collect();
    let addresses: BTreeSet<_> = reading.hosts.iter().map(|host| host.address).collect();
    let twice = names.len() < reading.hosts.len() || addresses.len() < reading.hosts.len();
    prop_assert!(!(twice && reading.has_no_errors()));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn damaged_csv_is_refused_or_complete(bytes in damaged(good_csv())) {
        // Damage to the declaration can remove it, so that the file declares no number of hosts.
        if bytes.starts_with(b"# driftgap: hosts=20\n# driftgap: ends\n") {
            check_consistency(&read_file("n.csv", bytes))?;
        }
    }

    #[test]
    fn damaged_yaml_is_refused_or_complete(bytes in damaged(good_yaml())) {
        if bytes.starts_with(b"# driftgap: hosts=20\n# driftgap: ends\n") {
            check_consistency(&read_file("n.yml", bytes))?;
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), csv in any::<bool>()) {
        let _ = read_file(if csv { "n.csv" } else { "n.yml" }, bytes);
    }

    #[test]
    fn arbitrary_tokens_do_not_panic(tokens in prop::collection::vec(prop::sample::select(TOKENS.to_vec()), 0..40)) {
        let _ = read_file("n.yml", tokens.concat().into_bytes());
    }
}

const TOKENS: [&str; 22] = [
    "all",
    ":",
    " ",
    "\n",
    "\n  ",
    "\n    ",
    "hosts",
    "vars",
    "children",
    "{",
    "}",
    "[",
    "]",
    "- ",
    "&a ",
    "*a",
    "n[1:3]",
    "ansible_host: 10.0.0.1",
    "<<",
    ",",
    "'",
    "_meta",
];
