//! Compatibility of stored data: this version must read what an older version left on disk, which
//! is a member's folder, a follower's cached replica, and the state of a process takeover. Every
//! example and deployed file must be read without a warning.
//!
//! The tests guard against an upgrade that loses the exclusions. If the new version took its folder
//! for empty or damaged, the member would have to be admitted again, and excluded endpoints would
//! get requests again.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_driftgap");
const SETTINGS: &str = include_str!("stage/settings.json");
/// Time limit for a process to answer on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// A folder for one test, removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("driftgap-stored-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    /// Copies a folder of the fixtures to a folder of this name.
    fn copy_fixture(&self, fixture: &str, name: &str) {
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

/// A process that is killed when it is dropped.
struct Ingress {
    child: Child,
    admin_address: String,
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Ingress {
    /// Sends a call and returns its answer; retries until the process answers.
    fn call(&self, call: &str) -> String {
        let begun = Instant::now();
        loop {
            if let Ok(mut stream) = TcpStream::connect(&self.admin_address) {
                stream.write_all(format!("{call}\n").as_bytes()).unwrap();
                let mut line = String::new();
                BufReader::new(stream).read_line(&mut line).unwrap();
                if !line.is_empty() {
                    return line.trim().to_string();
                }
            }
            assert!(
                begun.elapsed() < START_TIMEOUT,
                "{} does not answer",
                self.admin_address
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Returns a loopback address that no other test program uses. On 127.0.0.1 a client of another program
/// may take a port as its own before the ingress listens there.
fn host() -> String {
    let process = std::process::id();
    format!("127.{}.{}.1", 210 + process % 40, process / 40 % 250)
}

/// Returns a port of [`host`] that no other test of this program uses.
fn free_port() -> u16 {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    NEXT_PORT.fetch_add(1, Ordering::Relaxed)
}

/// Builds the platform's configuration of one ingress with the endpoints `a` to `d`.
fn config(name: &str, clients: u16, admin_port: u16) -> String {
    let server = |id: &str| {
        format!(
            r#"{{"id":"{id}","addr":"127.0.0.1:1","zone":"building-1","cell":0,"state":"active","weight":1.0}}"#
        )
    };
    let servers: Vec<String> = ["a", "b", "c", "d"].map(server).into();
    let host = host();
    format!(
        r#"{{"name":"{name}","listen":"{host}:{clients}","operator":"{host}:{admin_port}","settings":{SETTINGS},
            "known":{{"version":1,"full":true,"servers":[{}]}}}}"#,
        servers.join(",")
    )
}

fn start(command: &mut Command, admin_port: u16) -> Ingress {
    let child = command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    Ingress {
        child,
        admin_address: format!("{}:{admin_port}", host()),
    }
}

/// Builds an operator's file with a folder and three members, none of which listens at its address.
fn group_file(listen: Option<u16>) -> String {
    let listen = listen.map_or(String::new(), |port| {
        format!("listen = \"{}:{port}\"\n", host())
    });
    let members: String = ["m0", "m1", "m2"]
        .map(|name| format!("{name} = \"{}:{}\"\n", host(), free_port()))
        .concat();
    format!("[group]\n{listen}folder = \"group\"\n[group.members]\n{members}")
}

#[test]
fn older_member_folder_passes_the_check_unchanged() {
    let folder = Folder::new("member");
    folder.copy_fixture("member", "group");
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
    let (_, printed) = text.split_once("/group: ").unwrap();
    assert_eq!(printed, expected);
}

#[test]
fn member_resumes_from_older_folder() {
    let folder = Folder::new("resumed");
    folder.copy_fixture("member", "group");
    fs::remove_file(folder.0.join("group/check.txt")).unwrap();
    let admin_port = free_port();
    let config = folder.write("config.json", &config("m0", free_port(), admin_port));
    let operator = folder.write("operator.toml", &group_file(Some(free_port())));
    let ingress = start(
        Command::new(PROGRAM)
            .env("EDGE_CONFIG", config)
            .env("DRIFTGAP_OPERATOR", operator),
        admin_port,
    );
    // Without a majority the group agrees on nothing new, but the state from the folder is known
    // again.
    let status = ingress.call("GROUP STATUS");
    assert!(
        status.contains("form=2 members=m0:1:votes") && status.contains("m2:3:votes"),
        "{status}"
    );
}

#[test]
fn older_cached_replica_keeps_endpoints_excluded() {
    let folder = Folder::new("follower");
    folder.copy_fixture("follower", "group");
    let admin_port = free_port();
    let config = folder.write("config.json", &config("m3", free_port(), admin_port));
    let operator = folder.write("operator.toml", &group_file(None));
    let ingress = start(
        Command::new(PROGRAM)
            .env("EDGE_CONFIG", config)
            .env("DRIFTGAP_OPERATOR", operator),
        admin_port,
    );
    assert_eq!(ingress.call("STATUS"), "ACK ready, 2 suspended");
    let status = ingress.call("GROUP STATUS");
    assert!(
        status.contains("member=none applied=15 age_ms=unknown"),
        "{status}"
    );
}

#[test]
fn older_takeover_state_is_applied() {
    let folder = Folder::new("takeover");
    folder.copy_fixture("takeover/driftgap-6d39-out", "driftgap-6d39-out");
    let listener = TcpListener::bind(format!("{}:0", host())).unwrap();
    let admin_port = free_port();
    let clients = listener.local_addr().unwrap().port();
    let config = folder.write("config.json", &config("m9", clients, admin_port));
    let inherited = socket2::SockRef::from(&listener);
    inherited.set_cloexec(false).unwrap();
    let ingress = start(
        Command::new(PROGRAM)
            .env("EDGE_CONFIG", config)
            .env_remove("DRIFTGAP_OPERATOR")
            .env("TMPDIR", &folder.0)
            .env("EDGE_ACCEPT_FD", listener.as_raw_fd().to_string()),
        admin_port,
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
