//! Shared parts of the cases 6 to 10: starting the ingress with the deploy file's command, the record,
//! free ports, operators' calls, and stand-ins for discovery, the counter, endpoints and clients. Only
//! the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the start of the case.
pub fn now_ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(ms / 1e3));
    }
}

/// Waits until the case's clock shows `ms`.
pub fn sleep_until(ms: f64) {
    sleep_ms(ms - now_ms());
}

/// Polls a condition; returns whether it held within the time.
pub fn wait_for(limit_ms: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = now_ms() + limit_ms;
    while now_ms() < end {
        if condition() {
            return true;
        }
        sleep_ms(5.0);
    }
    false
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------- record

/// The record of a run: `record.txt` in the case's folder.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn new(folder: &Path) -> Record {
        now_ms();
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record(Arc::new(Mutex::new(file)))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:9.1} {}", now_ms(), text.as_ref());
    }
}

// ----------------------------------------------------------------------------- folders and ports

/// The case's folder (first argument), the repository's root, and a temporary folder that is removed
/// at the end.
pub struct Place {
    pub case: PathBuf,
    pub root: PathBuf,
    pub temp: PathBuf,
}

/// Process ids of the ingresses that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case ends after this time at the latest, s.
const LIMIT_S: u64 = 110;

/// Kills every process that this case has started and that still runs.
fn kill_all() {
    let running = match RUNNING.lock() {
        Ok(running) => running.clone(),
        Err(poisoned) => poisoned.into_inner().clone(),
    };
    for pid in running {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
}

fn could_not_run(why: &str) -> ! {
    kill_all();
    println!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

impl Place {
    pub fn new() -> Place {
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            // A thread of a stand-in whose connection has ended may fail; the case goes on.
            if std::thread::current().name() == Some("main") {
                could_not_run("the case itself failed");
            }
        }));
        std::thread::spawn(|| {
            std::thread::sleep(Duration::from_secs(LIMIT_S));
            could_not_run("the case took too long");
        });
        let case = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
        let case = case.canonicalize().expect("the case's folder");
        let root = case.parent().unwrap().parent().unwrap().to_path_buf();
        let temp = std::env::temp_dir().join(format!(
            "review-{}-{}",
            case.file_name().unwrap().to_string_lossy(),
            std::process::id()
        ));
        std::fs::create_dir_all(&temp).expect("a temporary folder");
        Place { case, root, temp }
    }

    pub fn folder(&self, name: &str) -> PathBuf {
        let path = self.temp.join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        path
    }
}

/// Ports that were free a moment ago, all different.
pub fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    listeners.iter().map(|l| l.local_addr().unwrap().port()).collect()
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// --------------------------------------------------------------------------------------- ingress

/// The value of a command in the deploy file.
pub fn deploy_command(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.split('=').next().is_some_and(|k| k.trim() == key))
        .expect("a command of the deploy file");
    let value = line.split_once('=').unwrap().1.trim();
    let value = &value[1..];
    value[..value.find('"').unwrap()].to_string()
}

/// One running ingress.
pub struct Ingress {
    child: Child,
    pub name: String,
}

/// What an ingress is started with.
pub struct IngressStart<'a> {
    pub name: &'a str,
    pub config: String,
    pub operator: Option<String>,
    /// The folder of its files; its log is there, too.
    pub folder: PathBuf,
}

impl Ingress {
    /// Writes the files of an ingress without starting it.
    pub fn write_files(start: &IngressStart) -> (PathBuf, Option<PathBuf>) {
        let config = start.folder.join(format!("{}.json", start.name));
        std::fs::write(&config, &start.config).expect("a configuration");
        let operator = start.operator.as_ref().map(|text| {
            let path = start.folder.join(format!("{}.toml", start.name));
            std::fs::write(&path, text).expect("an operator's file");
            path
        });
        (config, operator)
    }

    /// The deploy file's `run`, started by the shell from the root, with `extra` words after it.
    pub fn command(place: &Place, start: &IngressStart, extra: &str) -> Command {
        let (config, operator) = Ingress::write_files(start);
        let tmp = start.folder.join(format!("tmp-{}", start.name));
        let _ = std::fs::remove_dir_all(&tmp);
        std::fs::create_dir_all(&tmp).expect("TMPDIR");
        let mut command = Command::new("/bin/sh");
        let line = format!("{} {extra}", deploy_command(&place.root, "run"));
        command.arg("-c").arg(line.trim()).current_dir(&place.root);
        command.env("EDGE_CONFIG", config).env("TMPDIR", tmp);
        command.env_remove("EDGE_OPERATOR").env_remove("EDGE_ACCEPT_FD").env_remove("DRIFTGAP_OPERATOR");
        if let Some(operator) = operator {
            command.env("DRIFTGAP_OPERATOR", operator);
        }
        if std::env::var_os("RUST_LOG").is_none() {
            command.env("RUST_LOG", "info");
        }
        command.stdin(Stdio::null());
        command
    }

    pub fn start(place: &Place, start: &IngressStart) -> Ingress {
        let log = File::options()
            .create(true)
            .append(true)
            .open(start.folder.join(format!("{}.log", start.name)))
            .expect("a log");
        let mut command = Ingress::command(place, start, "");
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().expect("the deploy file's run");
        RUNNING.lock().unwrap().push(child.id());
        Ingress { child, name: start.name.to_string() }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.pid())).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.pid();
        RUNNING.lock().unwrap().retain(|running| *running != pid);
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the case: processes have been dropped before; removes the temporary folder.
pub fn finish(place: &Place, record: &Record, code: i32, verdict: &str) -> ! {
    kill_all();
    record.line(format!("verdict: {verdict} (exit {code})"));
    println!("{verdict}");
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&place.temp);
    }
    std::process::exit(code);
}

/// Sends one operators' call and returns its answer.
pub fn operator_call(port: u16, call: &str) -> String {
    let run = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&local(port), Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim().to_string())
    };
    run().unwrap_or_else(|e| format!("no answer: {e}"))
}

/// Whether the ingress answers `PING` with `+PONG`.
pub fn pongs(port: u16) -> bool {
    let run = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&local(port), Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut bytes = [0; 64];
        let n = stream.read(&mut bytes)?;
        Ok(bytes[..n].starts_with(b"+PONG"))
    };
    run().unwrap_or(false)
}

// -------------------------------------------------------------------------------------- settings

/// Values in the template of the settings that a case sets.
pub struct Settings {
    pub position: usize,
    pub balancers: usize,
    pub classes: String,
    pub streams_per_conn: usize,
}

/// The two classes of the deployment.
pub const CLASSES: &str = r#"[
 {"aim":0.4,"credit":2.0,"deadline":1.2,"effect":"pure","group":"all","late_share":0.2,"name":"fetch-episode","streaming":false,"window":5.0},
 {"aim":0.8,"credit":5.0,"deadline":3.0,"effect":"side_effect","group":"all","late_share":0.0,"name":"book-rebroadcast","streaming":false,"window":5.0}]"#;

impl Settings {
    pub fn new() -> Settings {
        Settings { position: 0, balancers: 2, classes: CLASSES.into(), streams_per_conn: 100 }
    }

    pub fn json(&self) -> String {
        include_str!("settings.json")
            .replace("@POSITION@", &self.position.to_string())
            .replace("@BALANCERS@", &self.balancers.to_string())
            .replace("@STREAMS@", &self.streams_per_conn.to_string())
            .replace("@CLASSES@", &self.classes)
    }
}

/// The platform's configuration of one ingress.
pub struct Config<'a> {
    pub name: &'a str,
    pub listen: u16,
    pub discovery: u16,
    pub counter: u16,
    pub operator: Option<u16>,
    /// The list that the ingress last had.
    pub known: String,
    pub settings: Settings,
}

impl Config<'_> {
    pub fn json(&self) -> String {
        let operator = self.operator.map_or(String::new(), |port| format!("\"operator\":\"127.0.0.1:{port}\","));
        format!(
            "{{\"name\":\"{}\",\"listen\":\"127.0.0.1:{}\",\"discovery\":\"127.0.0.1:{}\",\"counter\":\"127.0.0.1:{}\",{operator}\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{},\"settings\":{}}}",
            self.name, self.listen, self.discovery, self.counter, self.known, self.settings.json()
        )
    }
}

// ------------------------------------------------------------------------------------- discovery

/// One entry of the list.
#[derive(Clone, PartialEq)]
pub struct Listed {
    pub id: String,
    pub port: u16,
    pub state: &'static str,
    pub http2: bool,
    pub zone: &'static str,
}

impl Listed {
    /// An active endpoint over RESP.
    pub fn resp(number: usize, port: u16) -> Listed {
        Listed { id: format!("s-{number}"), port, state: "active", http2: false, zone: "building-1" }
    }

    pub fn json(&self) -> String {
        let protocol = if self.http2 { ",\"protocol\":\"http2\"" } else { "" };
        format!(
            "{{\"id\":\"{}\",\"addr\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"kind\":\"small-2c\",\"cell\":0,\
             \"state\":\"{}\",\"weight\":1.0,\"started_ms\":0{protocol}}}",
            self.id, self.port, self.zone, self.state
        )
    }
}

pub fn list_json(version: u64, full: bool, servers: &[Listed]) -> String {
    let servers: Vec<String> = servers.iter().map(Listed::json).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", servers.join(","))
}

struct DiscoveryState {
    version: u64,
    servers: Vec<Listed>,
    /// Version at which each entry changed last.
    changed: BTreeMap<String, u64>,
}

/// The agent of discovery on the ingress's machine: it answers at once with what it has, and holds
/// watches until something newer is there.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    pub port: u16,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, servers: Vec<Listed>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery's port");
        let port = listener.local_addr().unwrap().port();
        let state = DiscoveryState { version: 41, servers, changed: BTreeMap::new() };
        let discovery = Discovery { state: Arc::new((Mutex::new(state), Condvar::new())), port, record: record.clone() };
        let this = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    pub fn known(&self) -> String {
        let state = self.state.0.lock().unwrap();
        list_json(state.version, true, &state.servers)
    }

    /// Changes the state of an entry; watches answer with it at once.
    pub fn set_state(&self, id: &str, value: &'static str) {
        let (lock, condition) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for server in state.servers.iter_mut().filter(|server| server.id == id) {
            server.state = value;
        }
        state.changed.insert(id.to_string(), version);
        self.record.line(format!("discovery: {id} is {value}, version {version}"));
        condition.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(path) = read_http_head(&mut input) {
            let body = self.answer(&path);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            if output.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> String {
        let value = |name: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (lock, condition) = &*self.state;
        let mut state = lock.lock().unwrap();
        let Some(index) = value("index") else {
            return list_json(state.version, true, &state.servers);
        };
        let end = Instant::now() + Duration::from_millis(value("wait").unwrap_or(0).min(60_000));
        while state.version <= index {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = condition.wait_timeout(state, left).unwrap().0;
        }
        let changed: Vec<Listed> = state
            .servers
            .iter()
            .filter(|server| state.changed.get(&server.id).is_some_and(|version| *version > index))
            .cloned()
            .collect();
        list_json(state.version, false, &changed)
    }
}

/// Reads the head of an HTTP/1.1 request without a body; returns its path.
fn read_http_head(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            return first.split(' ').nth(1).map(str::to_string);
        }
    }
}

// --------------------------------------------------------------------------------------- counter

/// The counter: adds an amount to a name and answers with the total.
pub fn start_counter() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the counter's port");
    let port = listener.local_addr().unwrap().port();
    let names: Arc<Mutex<BTreeMap<String, (f64, Instant)>>> = Arc::default();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let names = names.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut output) = stream.try_clone() else { return };
                let mut input = BufReader::new(stream);
                while let Some(path) = read_http_head(&mut input) {
                    let total = add(&mut names.lock().unwrap(), &path);
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{total}", total.len());
                    if output.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    port
}

fn add(names: &mut BTreeMap<String, (f64, Instant)>, path: &str) -> String {
    let (name, query) = path.trim_start_matches("/tally/").split_once('?').unwrap_or((path, ""));
    let value = |key: &str| -> f64 {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).and_then(|(_, v)| v.parse().ok()).unwrap_or(0.0)
    };
    let now = Instant::now();
    let keep = Duration::from_millis((value("keep_ms") as u64).clamp(1, 60_000));
    let entry = names.entry(name.to_string()).or_insert((0.0, now + keep));
    if entry.1 < now {
        *entry = (0.0, now + keep);
    }
    entry.0 += value("n");
    format!("{}", entry.0)
}

// ------------------------------------------------------------------------------------------ RESP

/// Reads one RESP array of bulk strings; none at the end of the connection.
pub fn read_words(input: &mut impl BufRead) -> std::io::Result<Option<Vec<Vec<u8>>>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let invalid = || std::io::Error::from(std::io::ErrorKind::InvalidData);
    let count: usize = line.trim().strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(invalid)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut head = String::new();
        input.read_line(&mut head)?;
        let length: usize = head.trim().strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(invalid)?;
        let mut word = vec![0; length + 2];
        input.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

pub fn encode_words(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).into_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// An answer that a client read.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    Busy(String),
    Failed(String),
    /// The connection ended, or was reset, without a whole answer.
    Ended(String),
    /// Nothing in time.
    Nothing,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::Value(value) if value.len() > 60 => format!("value of {} bytes", value.len()),
            Answer::Value(value) => format!("value {}", String::from_utf8_lossy(value)),
            Answer::Busy(text) | Answer::Failed(text) => text.clone(),
            Answer::Ended(why) => format!("connection ended: {why}"),
            Answer::Nothing => "nothing".into(),
        }
    }
}

/// One request of a client over RESP, on a connection of its own unless `stream` is given.
pub struct RespClient {
    input: BufReader<TcpStream>,
    output: TcpStream,
}

impl RespClient {
    pub fn connect(port: u16) -> std::io::Result<RespClient> {
        let stream = TcpStream::connect_timeout(&local(port), Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(RespClient { output: stream.try_clone()?, input: BufReader::new(stream) })
    }

    pub fn send(&mut self, words: &[&str]) -> std::io::Result<()> {
        let words: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
        self.output.write_all(&encode_words(&words))
    }

    /// Reads one answer, for at most `limit_ms`.
    pub fn read(&mut self, limit_ms: f64) -> Answer {
        let _ = self.output.set_read_timeout(Some(Duration::from_secs_f64(limit_ms.max(1.0) / 1e3)));
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => return Answer::Ended("end".into()),
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => return Answer::Nothing,
            Err(e) => return Answer::Ended(e.to_string()),
        }
        let line = line.trim().to_string();
        if let Some(length) = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
            let mut value = vec![0; length + 2];
            return match self.input.read_exact(&mut value) {
                Ok(()) => {
                    value.truncate(length);
                    Answer::Value(value)
                }
                Err(e) => Answer::Ended(format!("within the value: {e}")),
            };
        }
        if line.starts_with("-BUSY") {
            Answer::Busy(line)
        } else {
            Answer::Failed(line)
        }
    }
}

/// The words of a request.
pub fn request_words(class: &str, safe: bool, customer: u64, id: &str, d_ms: u64, more: &str) -> Vec<String> {
    let verb = if safe { "SVC.QUERY" } else { "SVC.SUBMIT" };
    let mut words = vec![
        verb.into(),
        format!("{customer:016x}"),
        id.into(),
        format!("c={class},t=national,d={d_ms},units=1,spread=2,first=0{more}"),
    ];
    if !safe {
        words.push("a booking".into());
    }
    words
}

// -------------------------------------------------------------------------------- RESP endpoint

/// A request that has arrived whole at an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub endpoint: String,
    pub at_ms: f64,
    pub id: String,
}

/// What arrived at all endpoints of a case.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A sound endpoint over RESP: it answers after `work_ms`, and `INFO load` at once.
pub struct RespEndpoint {
    pub port: u16,
    pub open: Arc<AtomicUsize>,
    pub down: Arc<AtomicBool>,
}

impl RespEndpoint {
    pub fn start(record: &Record, name: &str, arrivals: Arrivals, work_ms: f64, value_bytes: usize) -> RespEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an endpoint's port");
        let port = listener.local_addr().unwrap().port();
        let endpoint = RespEndpoint { port, open: Arc::default(), down: Arc::default() };
        let (name, record, open) = (name.to_string(), record.clone(), endpoint.open.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, arrivals, open) = (name.clone(), record.clone(), arrivals.clone(), open.clone());
                std::thread::spawn(move || {
                    let _ = serve_resp(&name, &record, &arrivals, &open, stream, work_ms, value_bytes);
                });
            }
        });
        endpoint
    }
}

fn serve_resp(
    name: &str,
    record: &Record,
    arrivals: &Arrivals,
    open: &AtomicUsize,
    stream: TcpStream,
    work_ms: f64,
    value_bytes: usize,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(words) = read_words(&mut input)? {
        let text = |i: usize| words.get(i).map_or(String::new(), |w| String::from_utf8_lossy(w).into_owned());
        match text(0).as_str() {
            "SVC.QUERY" | "SVC.SUBMIT" => {
                let arrival = Arrival { endpoint: name.to_string(), at_ms: now_ms(), id: text(2) };
                record.line(format!("{name}: {} {} arrived", text(0), arrival.id));
                arrivals.lock().unwrap().push(arrival);
                open.fetch_add(1, Ordering::SeqCst);
                sleep_ms(work_ms);
                open.fetch_sub(1, Ordering::SeqCst);
                let value = value_of(&text(2), value_bytes);
                output.write_all(format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).as_bytes())?;
            }
            "INFO" => {
                let inflight = open.load(Ordering::SeqCst);
                let report = format!("lat_ms={work_ms},rif={inflight},busy={:.2}", (inflight as f64 / 2.0).min(1.0));
                output.write_all(format!("${}\r\n{report}\r\n", report.len()).as_bytes())?;
            }
            "PING" => output.write_all(b"+PONG\r\n")?,
            "CLIENT" | "SELECT" => output.write_all(b"+OK\r\n")?,
            _ => output.write_all(b"-ERR unknown\r\n")?,
        }
    }
    Ok(())
}

/// The value that an endpoint made for a request: its id, filled up to a size.
pub fn value_of(id: &str, bytes: usize) -> String {
    let mut value = format!("value-for-{id};");
    while value.len() < bytes {
        let rest = bytes - value.len();
        value.push_str(&"0123456789abcdef"[..rest.min(16)]);
    }
    value
}

/// A small generator of numbers, the same in each run.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}
