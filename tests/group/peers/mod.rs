//! Several processes of the program in a group. Every directed link between two of them runs
//! through a relay of the test.

mod clients;
mod endpoints;
mod relay;
pub mod schedule;
mod steps;

use clients::{call_operator, send_http2_requests, send_resp_requests};
use endpoints::{http2_endpoint, resp_endpoint, Arrivals};
use relay::{relay, Fault, LinkFaults};
pub use schedule::{play, play_with_followers};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle, JoinHandle};

const SETTINGS: &str = include_str!("../../stage/settings.json");
/// Timeout of every condition that a test waits for.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Base ports for clients, HTTP/2 clients, operators' calls and links. A process listens on the sum
/// of the base port and its number, which starts at 0.
const CLIENT_BASE_PORT: usize = 7000;
const HTTP2_BASE_PORT: usize = 8000;
const CALL_BASE_PORT: usize = 9000;
const LINK_BASE_PORT: usize = 10_000;

/// Returns the port of the relay through which `p` connects to `q`.
fn relay_port(p: usize, q: usize) -> usize {
    20_000 + 8 * p + q
}

pub struct Peers {
    pub size: usize,
    members: usize,
    host: String,
    folder: PathBuf,
    programs: Vec<Option<Child>>,
    links: LinkFaults,
    /// The call of the last `begin` step, whose answer has not been checked yet.
    pending_call: Option<JoinHandle<String>>,
    pub arrivals: Arrivals,
    /// The protocol of clients and endpoints.
    wire: Wire,
    /// The file size limit of each process, in blocks of 512 bytes; 0 for no limit.
    max_file_blocks: Vec<u64>,
    /// The `[group] form` setting of each process.
    format_versions: Vec<Option<u16>>,
    program: PathBuf,
}

/// The protocol of clients and endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wire {
    Resp,
    Http2,
}

fn own_address() -> String {
    static GROUPS: AtomicU32 = AtomicU32::new(0);
    let (group, process) = (GROUPS.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!(
        "127.{}.{}.{}",
        10 + process % 200,
        process / 200 % 250,
        1 + group % 250
    )
}

/// Starts a relay for every directed link.
async fn start_relays(size: usize, host: &str) -> LinkFaults {
    let links = LinkFaults::default();
    for i in 0..size {
        // No link leads to a process that always follows, but some of the first ones become
        // members.
        for j in 0..size.min(8) {
            if i == j {
                continue;
            }
            links.borrow_mut().insert((i, j), Fault::None);
            let at = format!("{host}:{}", relay_port(i, j));
            let listener = TcpListener::bind(at).await.unwrap();
            let to = format!("{host}:{}", LINK_BASE_PORT + j);
            spawn_local(relay(listener, to, (i, j), links.clone()));
        }
    }
    links
}

/// Starts the endpoints, and returns them in the format of the configuration.
async fn start_endpoints(wire: Wire, host: &str, arrivals: &Arrivals) -> String {
    let mut endpoints = Vec::new();
    for name in ["a", "b", "c", "d"] {
        let listener = TcpListener::bind(format!("{host}:0")).await.unwrap();
        endpoints.push(format!(
            r#"{{"id":"{name}","addr":"{}","zone":"building-1","kind":"small-2c","cell":0,
                "state":"active","weight":1.0,"started_ms":0,"protocol":"{}"}}"#,
            listener.local_addr().unwrap(),
            if wire == Wire::Http2 { "http2" } else { "resp" }
        ));
        let arrivals = arrivals.clone();
        match wire {
            Wire::Resp => drop(spawn_local(resp_endpoint(listener, name, arrivals))),
            Wire::Http2 => drop(spawn_local(http2_endpoint(listener, name, arrivals))),
        }
    }
    endpoints.join(",")
}

impl Peers {
    /// Prepares a group of members and followers, none of which runs yet.
    pub async fn new(members: usize, followers: usize) -> Peers {
        Peers::with_wire(members, followers, Wire::Resp).await
    }

    /// Prepares a group as [`Peers::new`] does, with the given protocol for clients and endpoints.
    pub async fn with_wire(members: usize, followers: usize, wire: Wire) -> Peers {
        let size = members + followers;
        let host = own_address();
        let folder =
            std::env::temp_dir().join(format!("driftgap-peers-{}-{host}", std::process::id()));
        let links = start_relays(size, &host).await;
        let arrivals = Arrivals::default();
        let endpoints = start_endpoints(wire, &host, &arrivals).await;
        // The environment variable selects another build for a measurement.
        let program =
            std::env::var_os("DRIFTGAP_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_driftgap").into());
        let peers = Peers {
            size,
            members,
            host,
            folder,
            programs: (0..size).map(|_| None).collect(),
            links,
            pending_call: None,
            arrivals,
            wire,
            max_file_blocks: vec![0; size],
            format_versions: vec![None; size],
            program: program.into(),
        };
        for i in 0..size {
            peers.write_files(i, &endpoints);
        }
        peers.init_group();
        peers
    }

    /// Writes all files of one process. `endpoints` is the list of endpoints in its configuration.
    fn write_files(&self, i: usize, endpoints: &str) {
        let home = self.home(i);
        std::fs::create_dir_all(&home).unwrap();
        let config = format!(
            r#"{{"name":"m{i}","listen":"{0}:{1}","operator":"{0}:{2}","settings":{SETTINGS},
                "known":{{"version":1,"full":true,"servers":[{endpoints}]}}}}"#,
            self.host,
            CLIENT_BASE_PORT + i,
            CALL_BASE_PORT + i,
        );
        std::fs::write(home.join("config.json"), config).unwrap();
        std::fs::write(home.join("inventory.csv"), "name,address\n").unwrap();
        std::fs::write(home.join("rules.toml"), "").unwrap();
        self.write_operator_file(i, &(0..self.members).collect::<Vec<_>>());
    }

    /// Initializes the group in the folder of the first member.
    fn init_group(&self) {
        let init = self.command(0).args(["group", "init"]).output().unwrap();
        assert!(
            init.status.success(),
            "{}",
            String::from_utf8_lossy(&init.stderr)
        );
    }

    /// Writes the operator's file of one process, with the given members.
    pub fn write_operator_file(&self, i: usize, members: &[usize]) {
        let members = members.iter().map(|j| {
            let port = if *j == i {
                LINK_BASE_PORT + i
            } else {
                relay_port(i, *j)
            };
            format!("m{j} = \"{}:{port}\"\n", self.host)
        });
        let form = self.format_versions[i].filter(|_| self.older_program(i).is_none());
        let form = form.map_or(String::new(), |form| format!("form = {form}\n"));
        let http2 = match self.wire {
            Wire::Http2 => format!(
                "[http2]\nlisten = \"{}:{}\"\n",
                self.host,
                HTTP2_BASE_PORT + i
            ),
            Wire::Resp => String::new(),
        };
        let text = format!(
            "{http2}[inventory]\nfile = \"inventory.csv\"\n[routes]\nfile = \"rules.toml\"\n\
             [group]\nlisten = \"{}:{}\"\nfolder = \"group\"\n{form}[group.members]\n{}",
            self.host,
            LINK_BASE_PORT + i,
            members.collect::<String>()
        );
        std::fs::write(self.home(i).join("operator.toml"), text).unwrap();
    }

    /// Returns the address on which a process accepts links, without a relay.
    pub fn link(&self, i: usize) -> String {
        format!("{}:{}", self.host, LINK_BASE_PORT + i)
    }

    pub fn home(&self, i: usize) -> PathBuf {
        self.folder.join(format!("m{i}"))
    }

    pub fn command(&self, i: usize) -> Command {
        let path = self
            .older_program(i)
            .unwrap_or_else(|| self.program.clone());
        let mut program = match self.max_file_blocks[i] {
            0 => Command::new(path),
            // Ignoring SIGXFSZ makes a write beyond the limit fail as on a full disk.
            blocks => {
                let mut shell = Command::new("sh");
                let line = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" \"$@\"");
                shell.arg("-c").arg(line).arg(path);
                shell
            }
        };
        program
            .env("EDGE_CONFIG", self.home(i).join("config.json"))
            .env("DRIFTGAP_OPERATOR", self.home(i).join("operator.toml"));
        program
    }

    /// Returns an older build (`DRIFTGAP_OLDER`) for a process that is limited to format version 1,
    /// if one is named.
    fn older_program(&self, i: usize) -> Option<PathBuf> {
        let older_program = std::env::var_os("DRIFTGAP_OLDER").map(PathBuf::from);
        older_program.filter(|_| self.format_versions[i] == Some(1))
    }

    fn start(&mut self, i: usize) {
        if let Some(program) = &mut self.programs[i] {
            if program.try_wait().unwrap().is_none() {
                return;
            }
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.home(i).join("log"))
            .unwrap();
        let program = self
            .command(i)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.programs[i] = Some(program);
    }

    fn signal(&self, i: usize, signal: &str) {
        let id = self.programs[i]
            .as_ref()
            .expect("a process")
            .id()
            .to_string();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Sends an operator's call and returns its answer, or an empty string if there is none.
    pub async fn call(&self, i: usize, text: &str) -> String {
        call_operator(
            format!("{}:{}", self.host, CALL_BASE_PORT + i),
            text.to_string(),
        )
        .await
    }

    /// Sends requests to a process without an end. Returns the number of answers so far.
    pub fn send_requests(&self, i: usize) -> Rc<Cell<u64>> {
        self.send_timed_requests(i, Rc::default()).0
    }

    /// Sends requests to a process without an end, and appends the duration of each request to
    /// `times`, ms (RESP only). Returns the number of answers so far and a handle that stops the
    /// requests.
    pub fn send_timed_requests(
        &self,
        i: usize,
        times: Rc<RefCell<Vec<f64>>>,
    ) -> (Rc<Cell<u64>>, AbortHandle) {
        let answered = Rc::new(Cell::new(0));
        if self.wire == Wire::Http2 {
            let at = format!("{}:{}", self.host, HTTP2_BASE_PORT + i);
            let task = spawn_local(send_http2_requests(at, i, answered.clone()));
            return (answered, task.abort_handle());
        }
        let at = format!("{}:{}", self.host, CLIENT_BASE_PORT + i);
        let task = spawn_local(send_resp_requests(at, i, answered.clone(), times));
        (answered, task.abort_handle())
    }

    /// Returns the processor time that all threads of a process have used.
    pub fn cpu_time(&self, i: usize) -> Duration {
        let id = self.programs[i].as_ref().expect("a process").id();
        let tasks = std::fs::read_dir(format!("/proc/{id}/task"))
            .unwrap()
            .flatten();
        let ns = tasks.filter_map(|task| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        });
        Duration::from_nanos(ns.sum())
    }

    /// Returns the resident memory of a process, kB.
    pub fn resident_kb(&self, i: usize) -> u64 {
        let id = self.programs[i].as_ref().expect("a process").id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Removes the `[group]` section from the operator's file of a process, which applies from its
    /// next start on.
    pub fn leave_out_group_section(&self, i: usize) {
        let path = self.home(i).join("operator.toml");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, text.split_once("[group]").unwrap().0).unwrap();
    }

    /// Returns a call as a future that can be awaited in another task.
    pub fn call_future(&self, i: usize, text: String) -> impl Future<Output = String> + 'static {
        call_operator(format!("{}:{}", self.host, CALL_BASE_PORT + i), text)
    }

    /// Returns a value of `GROUP STATUS`, for example `leader`.
    pub async fn status(&self, i: usize, key: &str) -> Option<String> {
        let answer = self.call(i, "GROUP STATUS").await;
        let value = answer
            .split_ascii_whitespace()
            .find_map(|w| w.strip_prefix(&format!("{key}=")));
        value.map(str::to_string)
    }

    /// Returns whether the process runs. A process that has exited is a zombie until it is waited
    /// for.
    fn is_running(&self, i: usize) -> bool {
        let Some(program) = &self.programs[i] else {
            return false;
        };
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", program.id())).unwrap_or_default();
        status
            .lines()
            .any(|line| line.starts_with("State:") && !line.contains("zombie"))
    }

    /// Returns the last lines of all logs and the state of each process, for the message of a
    /// failed test.
    pub fn logs(&self) -> String {
        let end = |i: usize| {
            let text = std::fs::read_to_string(self.home(i).join("log")).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let state = if self.is_running(i) {
                "runs"
            } else {
                "does not run"
            };
            format!(
                "\n-- m{i} {state}\n{}",
                lines[lines.len().saturating_sub(12)..].join("\n")
            )
        };
        (0..self.size).map(end).collect()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        for program in self.programs.iter_mut().flatten() {
            let _ = program.kill();
            let _ = program.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a test together with the relays and endpoints that it has started.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
