//! Reads valid, invalid and truncated files of configuration tools.

use driftgap_inventory::{
    read, summary, suspicious, File, Host, Protocol, Reading, Schema, Severity, Shares, State,
};
use std::time::{Duration, Instant};

fn schema() -> Schema {
    Schema {
        zones: vec!["building-1".into(), "building-2".into()],
        columns: [("site".to_string(), "zone".to_string())].into(),
    }
}

fn files(all: &[(&str, &str)]) -> Reading {
    let files: Vec<File> = all
        .iter()
        .map(|(path, text)| File {
            path: path.to_string(),
            bytes: text.as_bytes().to_vec(),
        })
        .collect();
    read(&files, &schema())
}

fn csv(text: &str) -> Reading {
    files(&[("nodes.csv", text)])
}

fn yaml(text: &str) -> Reading {
    files(&[("nodes.yml", text)])
}

fn fault_lines(reading: &Reading) -> Vec<String> {
    reading.faults.iter().map(ToString::to_string).collect()
}

fn plain(hosts: &[Host]) -> Vec<String> {
    let one = |h: &Host| {
        let labels: Vec<String> = h.labels.iter().map(|(n, v)| format!("{n}={v}")).collect();
        format!(
            "{} {} {:?} {} {} {:?} {:?} {}",
            h.name,
            h.address,
            h.zone,
            h.cell,
            h.weight,
            h.protocol,
            h.state,
            labels.join(",")
        )
    };
    hosts.iter().map(one).collect()
}

#[test]
fn csv_dialects_read_alike() {
    let want = csv("name,address,zone,cell,weight,protocol,state,rack\n\
                    n1,10.0.0.1:7001,building-1,2,1.5,http2,draining,r 9\n\
                    n2,10.0.0.2:7001,building-2,,,,,\n");
    assert!(
        want.has_no_errors() && want.faults.is_empty(),
        "{:?}",
        fault_lines(&want)
    );
    let variants = [
        // Another column order, a renamed column, a byte order mark, CRLF, `;`, quotes, comments.
        "\u{feff}rack;state;name;site;address;protocol;weight;cell\r\n\
         # from the tool\r\n\
         \"r 9\";draining;n1;building-1;10.0.0.1:7001;http2;1.5;2\r\n\
         ;;n2;building-2;10.0.0.2:7001;;;\r\n",
        "name\taddress\tzone\tcell\tweight\tprotocol\tstate\track\n\
         n1\t10.0.0.1:7001\tbuilding-1\t2\t1.5\thttp2\tdraining\tr 9\n\
         n2\t10.0.0.2:7001\tbuilding-2\t\t\t\tactive\t\n",
    ];
    for text in variants {
        let got = csv(text);
        assert!(got.faults.is_empty(), "{:?}", fault_lines(&got));
        assert_eq!(plain(&got.hosts), plain(&want.hosts));
    }
    assert_eq!(want.hosts[0].state, State::Draining(None));
    assert_eq!(want.hosts[0].protocol, Protocol::Http2);
}

#[test]
fn yaml_json_and_variable_files_read_alike() {
    let inventory = "\
all:
  vars: {zone: building-1, ansible_port: 7001, rack: none}
  children:
    coast:
      vars: &shared {weight: 2}
      hosts:
        n-[01:02]: {}
        n3: {ansible_host: 10.0.0.3, rack: r3}
    inner:
      vars: {zone: building-2, ansible_group_priority: 5}
      hosts: {n3: }
";
    let hosts = "n-01: {ansible_host: 10.0.0.1}\n";
    let want = files(&[
        ("nodes.yml", inventory),
        ("host_vars/n-01.yml", "ansible_host: 10.0.0.1\n"),
        ("host_vars/n-02.yml", "ansible_host: 10.0.0.2\nstate: out\n"),
        ("group_vars/coast.yml", "cell: 4\n"),
    ]);
    assert!(want.faults.is_empty(), "{:?} {hosts}", fault_lines(&want));
    assert_eq!(
        plain(&want.hosts),
        [
            "n-01 10.0.0.1:7001 Some(\"building-1\") 4 2 Resp Active rack=none",
            "n-02 10.0.0.2:7001 Some(\"building-1\") 4 2 Resp Out rack=none",
            "n3 10.0.0.3:7001 Some(\"building-2\") 4 2 Resp Active rack=r3",
        ]
    );
    let listed = r#"{"_meta": {"hostvars": {
        "n-01": {"ansible_host": "10.0.0.1", "ansible_port": 7001, "zone": "building-1", "weight": 2, "cell": 4, "rack": "none"},
        "n-02": {"ansible_host": "10.0.0.2", "ansible_port": 7001, "zone": "building-1", "weight": 2, "cell": 4, "state": "out", "rack": "none"},
        "n3": {"ansible_host": "10.0.0.3", "ansible_port": 7001, "zone": "building-2", "weight": 2, "cell": 4, "rack": "r3"}}},
        "all": {"children": ["coast", "inner", "ungrouped"]}, "coast": {"hosts": ["n-01", "n-02", "n3"]}, "inner": {"hosts": ["n3"]}}"#;
    let got = files(&[("list.json", listed)]);
    assert!(got.faults.is_empty(), "{:?}", fault_lines(&got));
    assert_eq!(plain(&got.hosts), plain(&want.hosts));
    // Merged anchors, and a host whose name is its address.
    let anchored = yaml(
        "all:\n  hosts:\n    10.0.0.9: &one {zone: building-2, rack: x}\n    '10.0.0.8:99': *one\n",
    );
    assert!(anchored.faults.is_empty(), "{:?}", fault_lines(&anchored));
    assert_eq!(anchored.hosts[0].address.to_string(), "10.0.0.8:99");
    assert_eq!(anchored.hosts[1].address.to_string(), "10.0.0.9:6379");
}

#[test]
fn variables_follow_ansible_precedence() {
    let text = |priority: &str| {
        format!(
            "all:\n  vars: {{cell: 1}}\n  children:\n    parent:\n      vars: {{cell: 2}}\n      children:\n        a: {{vars: {{cell: 3{priority}}}, hosts: {{h: {{ansible_host: 10.0.0.1}}}}}}\n    b: {{vars: {{cell: 4}}, hosts: {{h: }}}}\n    parentb: {{children: {{b: }}}}\n"
        )
    };
    // Of two groups of equal depth the later name takes precedence, unless its priority is lower.
    assert_eq!(yaml(&text("")).hosts[0].cell, 4);
    assert_eq!(yaml(&text(", ansible_group_priority: 10")).hosts[0].cell, 3);
    let own = "all:\n  children:\n    g: {vars: {cell: 3}, hosts: {h: {ansible_host: 10.0.0.1, cell: 9}}}\n";
    assert_eq!(yaml(own).hosts[0].cell, 9);
}

/// An operator's list has many mistakes. One reading must report all of them with their locations,
/// and repeated faults must not hide the others.
#[test]
fn all_faults_are_reported_with_locations() {
    let reading = csv("name,address,zone,weight,state,cell,protocol\n\
                       a,10.0.0.1:7001,building-1,heavy,active,1,resp\n\
                       b,here,building-1,1,activ,1,resp\n\
                       c,10.0.0.3:7001,buildng-1,1,,1.5,smtp\n\
                       d,10.0.0.4:7001,moon,inf,,1,resp\n\
                       e,10.0.0.5:7001\n\
                       ,10.0.0.6:7001,,,,,\n\
                       g,10.0.0.7:0,,,,,\n");
    let all = fault_lines(&reading);
    for want in [
        "nodes.csv:2:28: row 2: weight: \"heavy\" is not a number from 0.01 to 1000",
        "nodes.csv:3:3: row 3: address: \"here\" is not an IP address and port",
        "row 3: state: \"activ\" is not a state; did you mean active?",
        "row 4: warning: zone: \"buildng-1\" is not in the settings; treated as building-1",
        "row 4: cell: \"1.5\" is not a whole number",
        "row 4: protocol: \"smtp\" is not a protocol",
        "row 5: zone: \"moon\" is not in the settings; known zones: building-1, building-2",
        "row 5: weight: \"inf\" is not a number",
        "row 6: \"e\" has 2 values, but the header has 7 columns",
        "row 7: name: is not a valid name",
        "row 8: address: \"10.0.0.7:0\"",
    ] {
        assert!(
            all.iter().any(|f| f.contains(want)),
            "{want}\nnot among\n{}",
            all.join("\n")
        );
    }
    assert_eq!(all.len(), 11, "{}", all.join("\n"));
    assert!(!reading.has_no_errors());
    let many: String = (0..500)
        .map(|i| format!("n{i},10.0.{}.{}:7001,moon\n", i / 250, i % 250))
        .collect();
    let reading = csv(&format!("name,address,zone\n{many}"));
    let short = summary(&reading.faults);
    assert!(
        short.len() == 1 && short[0].contains("and 499 more like it"),
        "{short:?}"
    );
}

/// A host is listed twice, or two hosts have one address. Neither entry may silently win: the fault
/// names both locations.
#[test]
fn contradicting_hosts_are_refused_with_both_locations() {
    let cases = [
        (
            "n1,10.0.0.1:1,5\nn1,10.0.0.1:1,9\n",
            "row 3: capacity: \"9\" \"n1\" is already listed at nodes.csv:2:1: row 2 with 5",
        ),
        (
            "n1,10.0.0.1:1,5\nn1,10.0.0.1:1,5\n",
            "row 3: name: \"n1\" is already listed at nodes.csv:2:1: row 2",
        ),
        (
            "n1,10.0.0.1:1,5\nn2,10.0.0.1:1,9\n",
            "row 3: address: \"10.0.0.1:1\" is already the address of \"n1\" at nodes.csv:2:1",
        ),
    ];
    for (rows, want) in cases {
        let reading = csv(&format!("name,address,capacity\n{rows}"));
        assert!(
            !reading.has_no_errors() && fault_lines(&reading).iter().any(|f| f.contains(want)),
            "{:?}",
            fault_lines(&reading)
        );
    }
    let twice = yaml("all:\n  children:\n    a: {hosts: {n1: {ansible_host: 10.0.0.1, capacity: 5}}}\n    b: {hosts: {n1: {capacity: 9}}}\n");
    assert!(
        fault_lines(&twice)
            .iter()
            .any(|f| f.contains("capacity: \"9\" differs from the value at nodes.yml:3")),
        "{:?}",
        fault_lines(&twice)
    );
    let two = files(&[
        ("a.csv", "name,address\nn1,10.0.0.1:1\n"),
        ("b.csv", "name,address\nn1,10.0.0.2:1\n"),
    ]);
    assert!(
        fault_lines(&two)
            .iter()
            .any(|f| f.contains("b.csv:2:1: row 2: name") && f.contains("a.csv:2:1")),
        "{:?}",
        fault_lines(&two)
    );
}

/// A list is read while a tool writes it, so that its end is missing. The truncation must be
/// detected, or the list must be confirmed: it must not be accepted as a list of fewer hosts.
#[test]
fn truncated_file_is_refused_or_suspicious() {
    let rows: String = (0..30)
        .map(|i| format!("n{i},10.0.0.{i}:70{i:02},building-1\n"))
        .collect();
    let marked = format!(
        "# driftgap: hosts=30\n# driftgap: ends\nname,address,zone\n{rows}# driftgap: end\n"
    );
    assert!(
        csv(&marked).has_no_errors(),
        "{:?}",
        fault_lines(&csv(&marked))
    );
    for cut in 0..marked.len() - 1 {
        assert!(!csv(&marked[..cut]).has_no_errors(), "cut at {cut}");
    }
    // Without declarations, a cut inside a row is detected; a cut between rows changes only the
    // number of hosts.
    let plain = format!("name,address,zone\n{rows}");
    let whole = csv(&plain);
    for cut in 18..plain.len() - 1 {
        let reading = csv(&plain[..cut]);
        if reading.has_no_errors() {
            assert!(plain[..cut].ends_with('\n'), "cut at {cut}");
            let missing = whole.hosts.len() - reading.hosts.len();
            let held = suspicious(&whole.hosts, &reading.hosts, Shares::default()).is_some();
            assert_eq!(held, missing > 9, "{missing} missing");
        }
    }
    let wrong = csv("# driftgap: hosts=3\nname,address\nn1,10.0.0.1:1\n");
    assert!(fault_lines(&wrong)
        .iter()
        .any(|f| f.contains("3 hosts are declared, 1 were read")));
}

/// A valid list takes a large share of the hosts out of service, whichever state it sets. It must
/// be confirmed.
#[test]
fn list_that_removes_many_hosts_is_suspicious() {
    let list = |states: &[&str]| {
        let rows = states
            .iter()
            .enumerate()
            .map(|(i, state)| format!("n{i},10.0.0.{i}:1,{state}\n"));
        csv(&format!("name,address,state\n{}", rows.collect::<String>())).hosts
    };
    let shares = Shares::default();
    let old = list(&["active"; 10]);
    let with = |n: usize, state: &'static str| {
        let mut states = ["active"; 10];
        states[..n].fill(state);
        suspicious(&old, &list(&states), shares)
    };
    assert_eq!(with(3, "draining"), None);
    assert!(with(4, "draining")
        .unwrap()
        .contains("takes 4 of 10 serving hosts out"));
    assert!(with(4, "out").is_some() && suspicious(&[], &old, shares).is_none());
    assert!(suspicious(&old, &old[..6], shares)
        .unwrap()
        .contains("4 of 10 hosts are missing"));
}

/// A file expands to far more than its size, is nested without end, or is not a list. It must be
/// refused in bounded time, with short faults.
#[test]
fn malicious_files_are_refused_in_bounded_time() {
    let bomb = "a: &a [x,x,x,x,x,x,x,x,x]\n".to_string()
        + &(1..12)
            .map(|i| {
                let (name, last) = ((b'a' + i) as char, (b'a' + i - 1) as char);
                format!(
                    "{name}: &{name} [{}]\n",
                    vec![format!("*{last}"); 9].join(",")
                )
            })
            .collect::<String>();
    let deep = "[".repeat(100_000) + "\n";
    let ring = "all: {children: {a: {children: {b: }}, b: {children: {a: }}}}\n".to_string();
    let nested = (0..200).fold("x: {hosts: {}}".to_string(), |inner, i| {
        format!("g{i}: {{children: {{{inner}}}}}")
    }) + "\n";
    let ranges = "all: {hosts: {'n[0:99999][0:99999]': {}}}\n".to_string();
    for (i, text) in [
        bomb,
        deep,
        ring,
        nested,
        ranges,
        "- a\n- b\n".into(),
        "just text\n".into(),
        "\u{0}\u{1}\n".into(),
    ]
    .iter()
    .enumerate()
    {
        let begun = Instant::now();
        let reading = yaml(text);
        assert!(!reading.has_no_errors(), "case {i}");
        assert!(
            begun.elapsed() < Duration::from_secs(if cfg!(debug_assertions) { 20 } else { 2 }),
            "case {i}: {:?}",
            begun.elapsed()
        );
        assert!(
            fault_lines(&reading).iter().all(|f| f.len() < 600),
            "case {i}"
        );
    }
    let long = File {
        path: "x.csv".into(),
        bytes: vec![b'a'; 33 << 20],
    };
    assert!(!read(&[long], &schema()).has_no_errors());
    let latin = File {
        path: "x.csv".into(),
        bytes: b"name,address\nn\xe9,10.0.0.1:1\n".to_vec(),
    };
    let reading = read(&[latin], &schema());
    assert!(
        fault_lines(&reading)[0].starts_with("x.csv:2:1: is not UTF-8"),
        "{:?}",
        fault_lines(&reading)
    );
    let weights = csv(
        "name,address,weight\na,10.0.0.1:1,1\nb,10.0.0.2:1,1\nc,10.0.0.3:1,1\nd,10.0.0.4:1,50\n",
    );
    assert!(
        weights.has_no_errors() && weights.faults[0].severity == Severity::Warning,
        "{:?}",
        fault_lines(&weights)
    );
}
