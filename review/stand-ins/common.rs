//! Stand-ins for the platform that the cases share: discovery, endpoints, clients, and the start and
//! end of the project's own programs. Only the standard library is used. All addresses are loopback
//! addresses, and all files are in a temporary folder that is removed at the end.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// Exit status: the rule was broken, the rule held, or the case could not run.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;
/// A case that runs longer than this is ended as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, bytes: u32) -> i32;
}

/// Gives this client's own socket a small receive buffer, as a small device has one.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// The record of a run: one line an event, with the time since the start in ms.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<BufWriter<File>>)>);

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.0 .0.elapsed().as_secs_f64() * 1e3;
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{ms:9.1} {}", text.as_ref());
        let _ = file.flush();
    }

    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }
}

/// One run of a case.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub trouble: bool,
    run: String,
    /// Processes that this case has started and that have not been waited for.
    running: Arc<Mutex<BTreeMap<u32, ()>>>,
}

impl Case {
    /// Reads the environment that `run.sh` sets. Ends the process with status 2 on any panic.
    pub fn start() -> Case {
        let var = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set"));
        let running: Arc<Mutex<BTreeMap<u32, ()>>> = Arc::default();
        let at_panic = running.clone();
        std::panic::set_hook(Box::new(move |info| {
            eprintln!("the case could not run: {info}");
            end_all(&at_panic);
            std::process::exit(COULD_NOT_RUN);
        }));
        let at_limit = running.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            eprintln!("the case could not run: its time is up");
            end_all(&at_limit);
            std::process::exit(COULD_NOT_RUN);
        });
        let folder = PathBuf::from(var("CASE_FOLDER"));
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        let temp = std::env::temp_dir().join(format!("driftgap-review-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("temporary folder");
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let record = Record(Arc::new((Instant::now(), Mutex::new(BufWriter::new(file)))));
        record.line(format!(
            "case starts, {}",
            if trouble {
                "with the disruption"
            } else {
                "without the disruption"
            }
        ));
        Case {
            root: PathBuf::from(var("CASE_ROOT")),
            temp,
            record,
            trouble,
            run: var("CASE_RUN"),
            running,
        }
    }

    /// Ends all processes, removes the temporary folder, and ends this process with `status`.
    pub fn end(&self, status: i32, verdict: &str) -> ! {
        self.record.line(format!("verdict {status}: {verdict}"));
        println!("{status}: {verdict}");
        end_all(&self.running);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.temp);
        } else {
            println!("kept {}", self.temp.display());
        }
        std::process::exit(status);
    }

    /// Starts the project's program with the `run` command of the deploy file.
    pub fn start_ingress(&self, name: &str, config: &Path, more: &[(&str, String)]) -> Ingress {
        self.start_command(name, &self.run.clone(), config, more)
    }

    /// Starts the program with further arguments, as `run` starts it.
    pub fn start_command(
        &self,
        name: &str,
        command: &str,
        config: &Path,
        more: &[(&str, String)],
    ) -> Ingress {
        let tmpdir = self.temp.join(format!("{name}-tmp"));
        std::fs::create_dir_all(&tmpdir).expect("TMPDIR");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.temp.join(format!("{name}.log")))
            .expect("log");
        let mut start = Command::new("/bin/sh");
        start
            .arg("-c")
            .arg(command)
            .current_dir(&self.root)
            .env("EDGE_CONFIG", config)
            .env("EDGE_NAME", name)
            .env("TMPDIR", &tmpdir)
            .env("RUST_LOG", "info")
            .envs(more.iter().map(|(name, value)| (*name, value.clone())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log);
        // A process that this case starts ends with it, however it ends.
        unsafe {
            start.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = start.spawn().expect("the program starts");
        self.running.lock().unwrap().insert(child.id(), ());
        self.record
            .line(format!("{name}: started as process {}", child.id()));
        Ingress {
            name: name.into(),
            child,
            record: self.record.clone(),
            running: self.running.clone(),
        }
    }
}

fn end_all(running: &Arc<Mutex<BTreeMap<u32, ()>>>) {
    let pids: Vec<u32> = running.lock().unwrap().keys().copied().collect();
    for pid in pids {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// A process of the project's program.
pub struct Ingress {
    pub name: String,
    child: Child,
    record: Record,
    running: Arc<Mutex<BTreeMap<u32, ()>>>,
}

impl Ingress {
    pub fn signal(&self, signal: i32) {
        self.record
            .line(format!("{}: signal {signal} sent", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let status = self.child.wait();
        self.running.lock().unwrap().remove(&self.child.id());
        self.record
            .line(format!("{}: ended, {status:?}", self.name));
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            self.running.lock().unwrap().remove(&self.child.id());
        }
        ended
    }
}

/// A free port on the loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("address")
}

/// Several different free ports.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("address");
    listeners.iter().map(address).collect()
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    now.as_millis() as u64
}

/// The settings of a small deployment. Figures come from the ranges of the operators' brief.
/// `fetch_deadline` and `book_deadline` are in seconds.
pub fn settings(fetch_deadline: f64, book_deadline: f64) -> String {
    format!(
        r#"{{"balancers":1,"position":0,"my_zone":0,"zones":["building-1","building-2"],"tier":0,"tiers":["catchup-api"],
"discovery":"automatic","family":"gate","weights":"rough","resolution":0.002,"kinds":["small-2c"],
"charges":{{"connection":0.0,"cross_zone":0.01,"discovery":0.0,"handshake":0.0,"late_fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.014,"waste":0.084}},
"client_habits":{{"marks_retry":false}},
"family_info":{{"cost_after":false,"count_fee":0.02,"count_wait":0.08,"counter":false,"mail_per_s":0.0,"meter":0.0,"most_units":3}},
"goal":{{"whole":0.65,"worst_class":0.0,"worst_tenant":0.15,"worst_window":0.2}},
"limits":{{"conn_idle":15.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout":0.25,"max_retry_after":1.0,"may_cancel":true,"most_held":20000,"most_tries":4,"parallel_tries":false,"peers":false,"probes":true,"retry_after":true,"streams_per_conn":100}},
"plans":[{{"at_once":0,"ceiling_burst":0.0,"ceiling_slack":0.0,"excess_worth":0.0,"name":"national","never_over_rate":0.0,"over_cost":1.2,"pays":1.6,"store_size":30.0,"units_per_s":25.0}}],
"report":{{"columns":["lat_ms","rif","busy"],"how":"probe"}},
"request_classes":[
{{"aim":0.4,"credit":2.0,"deadline":{fetch_deadline},"effect":"pure","group":"all","late_share":0.2,"name":"fetch-episode","streaming":false,"window":5.0}},
{{"aim":0.8,"credit":5.0,"deadline":{book_deadline},"effect":"side_effect","group":"all","late_share":0.0,"name":"book-rebroadcast","streaming":false,"window":5.0}}],
"rules":{{"answer_slack":0.008,"ask_within":10.0,"cold_share":0.15,"drain_grace":2.0,"overload_factor":2.5,"tip_after":1.5,"warm_up":16.0}}}}"#
    )
}

/// Writes the platform's configuration file of one ingress.
#[allow(clippy::too_many_arguments)]
pub fn write_config(
    case: &Case,
    name: &str,
    listen: SocketAddr,
    operator: Option<SocketAddr>,
    discovery: &Discovery,
    settings: &str,
) -> PathBuf {
    let operator = operator.map_or(String::new(), |at| format!(r#""operator":"{at}","#));
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}",{operator}"discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{settings}}}"#,
        discovery.address,
        // The list as this ingress last had it may be older than discovery's.
        discovery.list().replace("\"version\":41", "\"version\":40")
    );
    let path = case.temp.join(format!("{name}.json"));
    std::fs::write(&path, text).expect("configuration");
    path
}

/// Discovery's agent: the whole list, and watches that wait for the time they ask for. The list does
/// not change.
pub struct Discovery {
    pub address: SocketAddr,
    servers: String,
}

impl Discovery {
    /// Starts the agent for endpoints with these names and addresses.
    pub fn start(endpoints: &[(String, SocketAddr)]) -> Discovery {
        let entry = |(name, at): &(String, SocketAddr)| {
            format!(
                r#"{{"id":"{name}","addr":"{at}","zone":"building-1","kind":"small-2c","cell":0,"state":"active","weight":1.0,"started_ms":0}}"#
            )
        };
        let servers: Vec<String> = endpoints.iter().map(entry).collect();
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let discovery = Discovery {
            address: listener.local_addr().expect("address"),
            servers: servers.join(","),
        };
        let full = discovery.list();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let full = full.clone();
                thread::spawn(move || serve_discovery(stream, &full));
            }
        });
        discovery
    }

    /// The whole list, in discovery's form.
    pub fn list(&self) -> String {
        format!(
            r#"{{"version":41,"full":true,"servers":[{}]}}"#,
            self.servers
        )
    }
}

fn serve_discovery(mut stream: TcpStream, full: &str) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut unread = Vec::new();
    loop {
        let head = loop {
            if let Some(end) = find(&unread, b"\r\n\r\n") {
                let head: Vec<u8> = unread.drain(..end + 4).collect();
                break String::from_utf8_lossy(&head).to_string();
            }
            read_more(&mut stream, &mut unread)?;
        };
        let path = head.split(' ').nth(1)?;
        let number = |name: &str| {
            let (_, rest) = path.split_once(&format!("{name}="))?;
            rest.split('&').next()?.parse::<u64>().ok()
        };
        let body = match number("index") {
            Some(41) => {
                let wait = number("wait").unwrap_or(0).min(60_000);
                thread::sleep(Duration::from_millis(wait));
                r#"{"version":41,"full":false,"servers":[]}"#
            }
            _ => full,
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn read_more(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 * 1024];
    match stream.read(&mut part) {
        Ok(count) if count > 0 => {
            unread.extend_from_slice(&part[..count]);
            Some(())
        }
        _ => None,
    }
}

/// A command as an endpoint received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub endpoint: String,
    pub ms: f64,
    pub id: String,
    pub class: String,
    pub terms: String,
}

/// What an endpoint does with a command.
#[derive(Clone, Copy)]
pub struct Service {
    /// Time until the answer, ms.
    pub ms: u64,
    /// Size of the value, bytes.
    pub value_bytes: usize,
}

type Serve = dyn Fn(&Received) -> Service + Send + Sync;

/// An endpoint: serves each command after the time that `serve` gives, with a value that names the
/// request's id.
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Endpoint {
    pub fn start(
        case: &Case,
        name: &str,
        serve: impl Fn(&Received) -> Service + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("endpoint");
        let endpoint = Endpoint {
            name: name.into(),
            address: listener.local_addr().expect("address"),
            received: Arc::default(),
        };
        let serve: Arc<Serve> = Arc::new(serve);
        let (record, received, name) = (
            case.record.clone(),
            endpoint.received.clone(),
            endpoint.name.clone(),
        );
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, received, name, serve) = (
                    record.clone(),
                    received.clone(),
                    name.clone(),
                    serve.clone(),
                );
                thread::spawn(move || serve_endpoint(stream, &name, &record, &received, &*serve));
            }
        });
        endpoint
    }

    /// The commands whose last byte has arrived.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

/// The value that an endpoint makes for a request: its id, filled up to `size` bytes.
pub fn value_for(id: &str, size: usize) -> Vec<u8> {
    let pattern = format!("value of {id};");
    pattern.bytes().cycle().take(size).collect()
}

fn serve_endpoint(
    mut stream: TcpStream,
    name: &str,
    record: &Record,
    received: &Mutex<Vec<Received>>,
    serve: &Serve,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut unread = Vec::new();
    loop {
        let words = loop {
            if let Some((words, length)) = command(&unread) {
                unread.drain(..length);
                break words;
            }
            read_more(&mut stream, &mut unread)?;
        };
        let text = |i: usize| {
            let word: &[u8] = words.get(i).map_or(&[], |word| word);
            String::from_utf8_lossy(word).to_string()
        };
        let answer = match text(0).as_str() {
            "SVC.QUERY" | "SVC.SUBMIT" => {
                let terms = text(3);
                let term = |name: &str| {
                    let pairs = terms.split(',').filter_map(|pair| pair.split_once('='));
                    let mut values = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v);
                    values.next().unwrap_or("").to_string()
                };
                let command = Received {
                    endpoint: name.into(),
                    ms: record.ms(),
                    id: text(2),
                    class: term("c"),
                    terms: terms.clone(),
                };
                record.line(format!(
                    "endpoint {name}: runs {} {} ({terms})",
                    command.class, command.id
                ));
                received.lock().unwrap().push(command.clone());
                let service = serve(&command);
                thread::sleep(Duration::from_millis(service.ms));
                let value = value_for(&command.id, service.value_bytes);
                let mut answer = format!("*3\r\n${}\r\n", value.len()).into_bytes();
                answer.extend_from_slice(&value);
                answer.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
                let written = stream.write_all(&answer);
                record.line(format!(
                    "endpoint {name}: answered {}{}",
                    command.id,
                    written
                        .as_ref()
                        .err()
                        .map_or(String::new(), |e| format!(", the ingress had closed: {e}"))
                ));
                written.ok()?;
                continue;
            }
            "PING" => b"+PONG\r\n".to_vec(),
            "INFO" => b"$25\r\nlat_ms=30,rif=0,busy=0.10\r\n".to_vec(),
            "CLIENT" | "SELECT" => b"+OK\r\n".to_vec(),
            _ => b"-ERR unknown\r\n".to_vec(),
        };
        stream.write_all(&answer).ok()?;
    }
}

/// Parses a command: an array of bulk strings.
fn command(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let (count, mut at) = number(bytes, 0, b'*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (size, start) = number(bytes, at, b'$')?;
        let word = bytes.get(start..start + size as usize)?;
        bytes.get(start + size as usize + 1)?;
        words.push(word.to_vec());
        at = start + size as usize + 2;
    }
    Some((words, at))
}

/// Parses `KIND NUMBER CRLF` at a position. Returns the number and the position after it.
fn number(bytes: &[u8], at: usize, kind: u8) -> Option<(i64, usize)> {
    let rest = bytes.get(at..)?;
    if *rest.first()? != kind {
        return None;
    }
    let end = find(rest, b"\r\n")?;
    let text = std::str::from_utf8(&rest[1..end]).ok()?;
    Some((text.parse().ok()?, at + end + 2))
}

/// Encodes a command.
pub fn encode(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

/// A request that a client sends.
pub fn fetch(customer: u64, id: &str, deadline_ms: u64) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let terms = format!("c=fetch-episode,t=national,d={deadline_ms},units=1,spread=1,first=0");
    encode(&["SVC.QUERY", &customer, id, &terms])
}

/// A request with an effect.
pub fn book(customer: u64, id: &str, deadline_ms: u64) -> Vec<u8> {
    let customer = format!("{customer:016x}");
    let terms = format!("c=book-rebroadcast,t=national,d={deadline_ms},units=1,spread=1,first=0");
    encode(&["SVC.SUBMIT", &customer, id, &terms, "21:00 news"])
}

/// An answer of the ingress.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// An error line, `-BUSY` included.
    Line(String),
}

impl Answer {
    pub fn summary(&self) -> String {
        match self {
            Answer::Served(value) => format!("served, {} bytes", value.len()),
            Answer::Line(line) => line.clone(),
        }
    }
}

/// Parses the next whole answer. Returns it with its length.
pub fn answer(bytes: &[u8]) -> Option<(Answer, usize)> {
    match bytes.first()? {
        b'$' => {
            let (size, start) = number(bytes, 0, b'$')?;
            let value = bytes.get(start..start + size as usize)?;
            bytes.get(start + size as usize + 1)?;
            Some((Answer::Served(value.to_vec()), start + size as usize + 2))
        }
        _ => {
            let end = find(bytes, b"\r\n")?;
            let line = String::from_utf8_lossy(&bytes[..end]).to_string();
            Some((Answer::Line(line), end + 2))
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Read1 {
    Answer(Answer),
    /// The ingress ended the connection: closed (`None`) or reset.
    Ended(Option<String>),
    /// Nothing whole has arrived by the time limit.
    TimedOut,
}

impl Client {
    pub fn connect(at: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            unread: Vec::new(),
        })
    }

    /// Reads the next answer, at most until `until`.
    pub fn read(&mut self, until: Instant) -> Read1 {
        loop {
            if let Some((answer, length)) = answer(&self.unread) {
                self.unread.drain(..length);
                return Read1::Answer(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Read1::TimedOut;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut part = [0; 64 * 1024];
            match self.stream.read(&mut part) {
                Ok(0) => return Read1::Ended(None),
                Ok(count) => self.unread.extend_from_slice(&part[..count]),
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(e) => return Read1::Ended(Some(e.to_string())),
            }
        }
    }
}

/// Waits until the ingress answers `PING` with `+PONG`, as the front does.
pub fn wait_until_ready(case: &Case, name: &str, at: SocketAddr) {
    let limit = Instant::now() + Duration::from_secs(20);
    while Instant::now() < limit {
        if let Ok(mut client) = Client::connect(at) {
            if client.stream.write_all(&encode(&["PING"])).is_ok() {
                let until = Instant::now() + Duration::from_secs(1);
                if client.read(until) == Read1::Answer(Answer::Line("+PONG".into())) {
                    case.record.line(format!("{name}: ready"));
                    return;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{name} is not ready within 20 s");
}

/// Sends an operator's call and returns its answer.
pub fn call(case: &Case, at: SocketAddr, line: &str) -> String {
    let answered = (|| -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim().to_string())
    })();
    let answer = answered.unwrap_or_else(|e| format!("(no answer: {e})"));
    case.record
        .line(format!("operator: {line} at {at}: {answer}"));
    answer
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
