//! Several processes of the program in a group, every directed link between them through a relay of the test's own.

mod clients;
mod endpoints;
mod relay;
pub mod schedule;
mod steps;

use clients::{call_operator, steady_http2, steady_resp};
use endpoints::{http2_endpoint, resp_endpoint, Arrivals};
use relay::{relay, Link, Links};
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
/// Every wait for something that has to come.
const LONG: Duration = Duration::from_secs(30);

/// Ports: clients, HTTP/2 clients, operators' calls, links, and the relays before links.
const FRONT: usize = 7000;
const HTTP2: usize = 8000;
const CALLS: usize = 9000;
const LINK: usize = 10_000;

/// The port at which P finds Q.
fn relay_port(p: usize, q: usize) -> usize {
    20_000 + 8 * p + q
}

pub struct Peers {
    pub size: usize,
    members: usize,
    host: String,
    folder: PathBuf,
    programs: Vec<Option<Child>>,
    links: Links,
    /// A call whose answer is waited for later.
    begun_call: Option<JoinHandle<String>>,
    pub arrivals: Arrivals,
    /// The wire of clients and endpoints.
    wire: Wire,
    /// How large each one's files may be, in blocks of 512 bytes; 0: without a bound.
    max_file_blocks: Vec<u64>,
    /// What each one's `[group] form` says.
    format_versions: Vec<Option<u16>>,
    program: PathBuf,
}

/// The wire that clients and endpoints speak.
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

/// A relay for every directed link.
async fn start_relays(size: usize, host: &str) -> Links {
    let links = Links::default();
    for i in 0..size {
        // Nobody keeps a link to those who only follow, but some of the first become members.
        for j in 0..size.min(8) {
            if i == j {
                continue;
            }
            links.borrow_mut().insert((i, j), Link::Sound);
            let at = format!("{host}:{}", relay_port(i, j));
            let listener = TcpListener::bind(at).await.unwrap();
            let to = format!("{host}:{}", LINK + j);
            spawn_local(relay(listener, to, (i, j), links.clone()));
        }
    }
    links
}

/// Endpoints for requests, as a configuration names them.
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
    /// So many members, and followers.
    pub async fn new(members: usize, followers: usize) -> Peers {
        Peers::with_wire(members, followers, Wire::Resp).await
    }

    /// The same with clients and endpoints that speak this.
    pub async fn with_wire(members: usize, followers: usize, wire: Wire) -> Peers {
        let size = members + followers;
        let host = own_address();
        let folder =
            std::env::temp_dir().join(format!("driftgap-peers-{}-{host}", std::process::id()));
        let links = start_relays(size, &host).await;
        let arrivals = Arrivals::default();
        let endpoints = start_endpoints(wire, &host, &arrivals).await;
        // Another build is measured beside this one by its path.
        let program =
            std::env::var_os("DRIFTGAP_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_driftgap").into());
        let peers = Peers {
            size,
            members,
            host,
            folder,
            programs: (0..size).map(|_| None).collect(),
            links,
            begun_call: None,
            arrivals,
            wire,
            max_file_blocks: vec![0; size],
            format_versions: vec![None; size],
            program: program.into(),
        };
        for i in 0..size {
            peers.write_files(i, &endpoints);
        }
        peers.begin_group();
        peers
    }

    /// All files of one process. `endpoints`: those that it knows, as its configuration has them.
    fn write_files(&self, i: usize, endpoints: &str) {
        let home = self.home(i);
        std::fs::create_dir_all(&home).unwrap();
        let config = format!(
            r#"{{"name":"m{i}","listen":"{0}:{1}","operator":"{0}:{2}","settings":{SETTINGS},
                "known":{{"version":1,"full":true,"servers":[{endpoints}]}}}}"#,
            self.host,
            FRONT + i,
            CALLS + i,
        );
        std::fs::write(home.join("config.json"), config).unwrap();
        std::fs::write(home.join("inventory.csv"), "name,address\n").unwrap();
        std::fs::write(home.join("rules.toml"), "").unwrap();
        self.write_operator_file(i, &(0..self.members).collect::<Vec<_>>());
    }

    /// The first member begins the group.
    fn begin_group(&self) {
        let init = self.request(0).args(["group", "init"]).output().unwrap();
        assert!(
            init.status.success(),
            "{}",
            String::from_utf8_lossy(&init.stderr)
        );
    }

    /// The operator's file of one process, with these members.
    pub fn write_operator_file(&self, i: usize, members: &[usize]) {
        let members = members.iter().map(|j| {
            let port = if *j == i { LINK + i } else { relay_port(i, *j) };
            format!("m{j} = \"{}:{port}\"\n", self.host)
        });
        let form = self.format_versions[i].filter(|_| self.older(i).is_none());
        let form = form.map_or(String::new(), |form| format!("form = {form}\n"));
        let http2 = match self.wire {
            Wire::Http2 => format!("[http2]\nlisten = \"{}:{}\"\n", self.host, HTTP2 + i),
            Wire::Resp => String::new(),
        };
        let text = format!(
            "{http2}[inventory]\nfile = \"inventory.csv\"\n[routes]\nfile = \"rules.toml\"\n\
             [group]\nlisten = \"{}:{}\"\nfolder = \"group\"\n{form}[group.members]\n{}",
            self.host,
            LINK + i,
            members.collect::<String>()
        );
        std::fs::write(self.home(i).join("operator.toml"), text).unwrap();
    }

    /// Where P's link listens, not by a relay.
    pub fn link(&self, i: usize) -> String {
        format!("{}:{}", self.host, LINK + i)
    }

    pub fn home(&self, i: usize) -> PathBuf {
        self.folder.join(format!("m{i}"))
    }

    pub fn request(&self, i: usize) -> Command {
        let path = self.older(i).unwrap_or_else(|| self.program.clone());
        let mut program = match self.max_file_blocks[i] {
            0 => Command::new(path),
            // A write that is too much fails as on a full disk, rather than by a signal.
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

    /// An older build takes the place of those that are kept to the first form, where one is named: by hand only.
    fn older(&self, i: usize) -> Option<PathBuf> {
        let older = std::env::var_os("DRIFTGAP_OLDER").map(PathBuf::from);
        older.filter(|_| self.format_versions[i] == Some(1))
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
            .request(i)
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

    /// An operator's call and its answer; empty: there was none.
    pub async fn call(&self, i: usize, text: &str) -> String {
        call_operator(format!("{}:{}", self.host, CALLS + i), text.to_string()).await
    }

    /// Sends requests at P without an end, each once the last has its one answer; how many have been answered.
    pub fn steady(&self, i: usize) -> Rc<Cell<u64>> {
        self.steady_timed(i, Rc::default()).0
    }

    /// The same; each one's time goes to the list, ms (RESP). With it the handle that ends them.
    pub fn steady_timed(
        &self,
        i: usize,
        times: Rc<RefCell<Vec<f64>>>,
    ) -> (Rc<Cell<u64>>, AbortHandle) {
        let answered = Rc::new(Cell::new(0));
        if self.wire == Wire::Http2 {
            let at = format!("{}:{}", self.host, HTTP2 + i);
            let task = spawn_local(steady_http2(at, i, answered.clone()));
            return (answered, task.abort_handle());
        }
        let at = format!("{}:{}", self.host, FRONT + i);
        let task = spawn_local(steady_resp(at, i, answered.clone(), times));
        (answered, task.abort_handle())
    }

    /// The time on a processor that all threads of P have had.
    pub fn processor(&self, i: usize) -> Duration {
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

    /// P's resident memory, kB.
    pub fn resident(&self, i: usize) -> u64 {
        let id = self.programs[i].as_ref().expect("a process").id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// P is in no group from its next start on.
    pub fn leave_out_group_section(&self, i: usize) {
        let path = self.home(i).join("operator.toml");
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(path, text.split_once("[group]").unwrap().0).unwrap();
    }

    /// A call that can be waited for elsewhere.
    pub fn calling(&self, i: usize, text: String) -> impl Future<Output = String> + 'static {
        call_operator(format!("{}:{}", self.host, CALLS + i), text)
    }

    /// A value of `GROUP STATUS`, as `leader`.
    pub async fn status(&self, i: usize, key: &str) -> Option<String> {
        let answer = self.call(i, "GROUP STATUS").await;
        let value = answer
            .split_ascii_whitespace()
            .find_map(|w| w.strip_prefix(&format!("{key}=")));
        value.map(str::to_string)
    }

    /// Whether P's process runs: one that has ended by itself is a zombie until it is waited for.
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

    /// The ends of all logs and which processes run, for whoever looks into a failure.
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

/// Runs a test with its relays and stand-ins.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
