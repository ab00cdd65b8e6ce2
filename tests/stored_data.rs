//! What an older version left on a disk is read by this one: a member's folder, a follower's cached replica, and what
//! one process leaves to the next. And every example and deployed file is read without a complaint.
//!
//! The story: staff replace the program while endpoints are excluded. If the new version read its folder as empty or
//! spoilt, a member would have to be admitted anew, and excluded endpoints would get requests again.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_driftgap");
const SETTINGS: &str = include_str!("stage/settings.json");
/// The longest wait for a process to answer, on a busy machine.
const LONGEST_START: Duration = Duration::from_secs(30);

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// A folder of the test's own, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("driftgap-stored-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// Copies a folder of the fixture to a folder of this name.
    fn take_fixture(&self, fixture: &str, name: &str) {
        let from = root().join("tests/fixtures/stored_data").join(fixture);
        let to = self.0.join(name);
        fs::create_dir_all(&to).unwrap();
        for entry in fs::read_dir(from).unwrap() {
            let entry = entry.unwrap();
            fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
        }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process that is killed with the test.
struct Ingress {
    child: Child,
    staff: String,
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Ingress {
    /// The answer to a call of the staff, once the process answers.
    fn call(&self, call: &str) -> String {
        let begun = Instant::now();
        loop {
            if let Ok(mut stream) = TcpStream::connect(&self.staff) {
                stream.write_all(format!("{call}\n").as_bytes()).unwrap();
                let mut line = String::new();
                BufReader::new(stream).read_line(&mut line).unwrap();
                if !line.is_empty() {
                    return line.trim().to_string();
                }
            }
            assert!(
                begun.elapsed() < LONGEST_START,
                "{} does not answer",
                self.staff
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// A port that nobody listens on at the moment.
fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

/// The platform's configuration of one ingress, with endpoints `a` to `d`.
fn config(name: &str, clients: u16, staff: u16) -> String {
    let server = |id: &str| {
        format!(
            r#"{{"id":"{id}","addr":"127.0.0.1:1","zone":"building-1","cell":0,"state":"active","weight":1.0}}"#
        )
    };
    let servers: Vec<String> = ["a", "b", "c", "d"].map(server).into();
    format!(
        r#"{{"name":"{name}","listen":"127.0.0.1:{clients}","operator":"127.0.0.1:{staff}","settings":{SETTINGS},
            "known":{{"version":1,"full":true,"servers":[{}]}}}}"#,
        servers.join(",")
    )
}

fn start(command: &mut Command, staff: u16) -> Ingress {
    let child = command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Ingress {
        child,
        staff: format!("127.0.0.1:{staff}"),
    }
}

/// An operator's file with three members, of which none listens, and a folder.
fn group_file(listen: Option<u16>) -> String {
    let listen = listen.map_or(String::new(), |port| {
        format!("listen = \"127.0.0.1:{port}\"\n")
    });
    let members: String = ["m0", "m1", "m2"]
        .map(|name| format!("{name} = \"127.0.0.1:{}\"\n", free_port()))
        .concat();
    format!("[group]\n{listen}folder = \"group\"\n[group.members]\n{members}")
}

#[test]
fn a_members_folder_of_the_older_version_is_sound_and_says_the_same() {
    let folder = Folder::new("member");
    folder.take_fixture("member", "group");
    let expected = fs::read_to_string(folder.0.join("group/check.txt")).unwrap();
    fs::remove_file(folder.0.join("group/check.txt")).unwrap();
    let config = folder.write("config.json", &config("m0", free_port(), free_port()));
    let operator = folder.write("operator.toml", &group_file(Some(free_port())));
    let output = Command::new(PROGRAM)
        .args(["group", "check"])
        .env("EDGE_CONFIG", config)
        .env("DRIFTGAP_OPERATOR", operator)
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.success(),
        "{text} {}",
        String::from_utf8_lossy(&output.stderr)
    );
    let (_, said) = text.split_once("/group: ").unwrap();
    assert_eq!(said, expected);
}

#[test]
fn a_member_goes_on_from_the_folder_of_the_older_version() {
    let folder = Folder::new("resumed");
    folder.take_fixture("member", "group");
    fs::remove_file(folder.0.join("group/check.txt")).unwrap();
    let staff = free_port();
    let config = folder.write("config.json", &config("m0", free_port(), staff));
    let operator = folder.write("operator.toml", &group_file(Some(free_port())));
    let ingress = start(
        Command::new(PROGRAM)
            .env("EDGE_CONFIG", config)
            .env("DRIFTGAP_OPERATOR", operator),
        staff,
    );
    // Without a majority nothing is agreed on anew, but what the folder holds of the group is known again.
    let status = ingress.call("GROUP STATUS");
    assert!(
        status.contains("form=2 members=m0:1:votes") && status.contains("m2:3:votes"),
        "{status}"
    );
}

#[test]
fn a_cached_replica_of_the_older_version_keeps_its_endpoints_excluded() {
    let folder = Folder::new("follower");
    folder.take_fixture("follower", "group");
    let staff = free_port();
    let config = folder.write("config.json", &config("m3", free_port(), staff));
    let operator = folder.write("operator.toml", &group_file(None));
    let ingress = start(
        Command::new(PROGRAM)
            .env("EDGE_CONFIG", config)
            .env("DRIFTGAP_OPERATOR", operator),
        staff,
    );
    assert_eq!(ingress.call("STATUS"), "ACK ready, 2 suspended");
    let status = ingress.call("GROUP STATUS");
    assert!(
        status.contains("member=none applied=15 age_ms=unknown"),
        "{status}"
    );
}

#[test]
fn what_a_process_of_the_older_version_left_is_taken_over() {
    let folder = Folder::new("takeover");
    folder.take_fixture("takeover/driftgap-6d39-out", "driftgap-6d39-out");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let staff = free_port();
    let clients = listener.local_addr().unwrap().port();
    let config = folder.write("config.json", &config("m9", clients, staff));
    let inherited = socket2::SockRef::from(&listener);
    inherited.set_cloexec(false).unwrap();
    let ingress = start(
        Command::new(PROGRAM)
            .env("EDGE_CONFIG", config)
            .env_remove("DRIFTGAP_OPERATOR")
            .env("TMPDIR", &folder.0)
            .env("EDGE_ACCEPT_FD", listener.as_raw_fd().to_string()),
        staff,
    );
    assert_eq!(ingress.call("STATUS"), "ACK ready, 2 suspended");
    assert_eq!(ingress.call("RESTORE b"), "ACK b restored");
    assert_eq!(ingress.call("RESTORE d"), "ACK d restored");
    assert_eq!(ingress.call("STATUS"), "ACK ready");
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .current_dir(root())
        .args(arguments)
        .env_remove("EDGE_CONFIG")
        .env_remove("DRIFTGAP_OPERATOR")
        .output()
        .unwrap()
}

#[test]
fn every_example_and_deployed_file_is_read_without_a_warning() {
    for operator in ["examples/operator.toml", "deploy/http2.toml"] {
        let output = run(&[
            "check",
            "--config",
            "examples/config.json",
            "--operator",
            operator,
        ]);
        let text =
            String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{operator}: {text}");
        for word in ["unknown", "warn", "deprecated"] {
            assert!(!text.to_lowercase().contains(word), "{operator}: {text}");
        }
    }
    let config = ["--config", "examples/config.json"];
    let check = run(&[
        config[0],
        config[1],
        "rules",
        "check",
        "examples/rules.toml",
    ]);
    assert!(check.status.success(), "{check:?}");
    let explain = [
        "rules",
        "explain",
        "examples/rules.toml",
        "--request",
        "examples/request.json",
    ];
    let explained = run(&[&config[..], &explain[..]].concat());
    assert!(explained.status.success(), "{explained:?}");
}
