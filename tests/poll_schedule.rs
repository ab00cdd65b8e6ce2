//! A dozen real processes of one fleet, whose lists come on request, and a discovery of fixed capacity that comes
//! back to them: each calls it once, in its turn, and has what it missed.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

const SETTINGS: &str = include_str!("stage/settings.json");
const INGRESSES: usize = 12;
/// Discovery takes so long for a call, one after the other.
const CALL: Duration = Duration::from_millis(200);
/// One call of each takes 2.4 s, and a round is no shorter than 2.5 s.
const ROUND: Duration = Duration::from_millis(2500);
/// For twelve processes and their stand-in on a machine that others share.
const SLACK: Duration = Duration::from_millis(1000);

/// A call of an ingress that reached discovery while it was there.
#[derive(Clone, Copy, Debug)]
struct Call {
    ingress: usize,
    at: Instant,
    /// The version that the ingress holds.
    index: u64,
    /// It may wait for a change.
    waits: bool,
}

/// What the ingresses share.
struct Discovery {
    here: Cell<bool>,
    /// The newest version.
    version: watch::Sender<u64>,
    /// One call at a time; those that wait are served in their order.
    worker: Mutex<()>,
    calls: RefCell<Vec<Call>>,
    /// Each ingress's open connection.
    connections: RefCell<Vec<tokio::task::AbortHandle>>,
}

/// The number behind this name in a request's line.
fn number(head: &str, name: &str) -> Option<u64> {
    let value = head.split(name).nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}

async fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

impl Discovery {
    /// Listens for one ingress; its port.
    async fn listen(self: Rc<Self>, ingress: usize) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if self.here.get() {
                    let serving = spawn_local(self.clone().serve(ingress, stream)).abort_handle();
                    self.connections.borrow_mut().push(serving);
                } else {
                    reset(stream).await;
                }
            }
        });
        port
    }

    async fn serve(self: Rc<Self>, ingress: usize, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        loop {
            while !buffer.windows(4).any(|w| w == b"\r\n\r\n") {
                if !stream.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
                    return;
                }
            }
            let head = String::from_utf8_lossy(&buffer).to_string();
            buffer.clear();
            let index = number(&head, "index=").expect("each holds a list");
            let wait = number(&head, "wait=").expect("a call after a version");
            let waits = wait > 1;
            self.calls.borrow_mut().push(Call {
                ingress,
                at: Instant::now(),
                index,
                waits,
            });
            if waits {
                self.wait_for_update(index, Duration::from_millis(wait))
                    .await;
            } else {
                // Also worked on if the caller gives it up: this task goes on.
                let _working = self.worker.lock().await;
                sleep(CALL).await;
            }
            let version = *self.version.borrow();
            let body = format!(r#"{{"version":{version},"full":false,"servers":[]}}"#);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_update(&self, index: u64, wait: Duration) {
        let mut version = self.version.subscribe();
        let update = version.wait_for(|version| *version > index);
        let _ = timeout_at(Instant::now() + wait, update).await;
    }

    /// Resets what is open and takes nothing new.
    fn go_away(&self) {
        self.here.set(false);
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|connection| connection.abort());
    }

    fn come_back(&self) -> Instant {
        self.calls.borrow_mut().clear();
        self.here.set(true);
        Instant::now()
    }

    /// The first call of each ingress that this holds for.
    fn first(&self, wanted: impl Fn(&Call) -> bool) -> Vec<Option<Instant>> {
        let calls = self.calls.borrow();
        let of = |i| {
            calls
                .iter()
                .find(|call| call.ingress == i && wanted(call))
                .map(|call| call.at)
        };
        (0..INGRESSES).map(of).collect()
    }

    /// Waits until each ingress opened a watch with this version in hand.
    async fn each_watches(&self, version: u64, longest: Duration) -> Vec<Instant> {
        let all = timeout(longest, async {
            loop {
                let watches = self.first(|call| call.waits && call.index == version);
                if let Some(all) = watches.into_iter().collect::<Option<Vec<_>>>() {
                    return all;
                }
                sleep(Duration::from_millis(10)).await;
            }
        });
        all.await
            .unwrap_or_else(|_| panic!("not all watch: {:?}", self.calls.borrow()))
    }
}

/// The processes, which end with the test.
struct Processes {
    programs: Vec<Child>,
    folder: PathBuf,
}

impl Processes {
    async fn start(discovery: &Rc<Discovery>) -> Processes {
        let process = std::process::id();
        let host = format!("127.{}.{}.251", 10 + process % 200, process / 200 % 250);
        let folder = std::env::temp_dir().join(format!("driftgap-turns-{process}"));
        std::fs::create_dir_all(&folder).unwrap();
        let mut programs = Vec::new();
        for ingress in 0..INGRESSES {
            let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).unwrap();
            settings["balancers"] = INGRESSES.into();
            settings["position"] = ingress.into();
            settings["discovery"] = "subscribe".into();
            let port = discovery.clone().listen(ingress).await;
            // Nobody sends it anything.
            let server = serde_json::json!({
                "id": "a", "addr": "127.0.0.1:9", "zone": "building-1", "kind": "small-2c", "cell": 0,
                "state": "active", "weight": 1.0, "started_ms": 0,
            });
            let config = serde_json::json!({
                "name": format!("n{ingress}"),
                "listen": format!("{host}:{}", 7000 + ingress),
                "discovery": format!("127.0.0.1:{port}"),
                "seed": format!("{:x}", 17 + ingress),
                "settings": settings,
                "known": {"version": 1, "full": true, "servers": [server]},
            });
            let file = folder.join(format!("config-{ingress}.json"));
            std::fs::write(&file, config.to_string()).unwrap();
            let mut program = Command::new(env!("CARGO_BIN_EXE_driftgap"));
            program
                .env("EDGE_CONFIG", file)
                .env_remove("DRIFTGAP_OPERATOR")
                .env("TMPDIR", &folder);
            programs.push(
                program
                    .stdout(Stdio::null())
                    .stderr(Stdio::null())
                    .spawn()
                    .unwrap(),
            );
        }
        Processes { programs, folder }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for program in &mut self.programs {
            let _ = program.kill();
            let _ = program.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Discovery goes away for more than 6 s, has a change meanwhile, and comes back to a dozen ingresses, each of which has
/// lost its watch. If they all called at once, the last would wait for 2.4 s, longer than a call is given. Each must
/// call once, in its slot, and watch for what comes after the change within a round and a call.
#[test]
fn a_discovery_that_comes_back_to_a_dozen_processes_is_called_by_each_once_in_its_turn() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let discovery = Rc::new(Discovery {
            here: Cell::new(true),
            version: watch::Sender::new(1),
            worker: Mutex::new(()),
            calls: RefCell::default(),
            connections: RefCell::default(),
        });
        let _processes = Processes::start(&discovery).await;
        discovery.each_watches(1, Duration::from_secs(10)).await;
        discovery.go_away();
        sleep(Duration::from_millis(6300)).await;
        discovery.version.send_replace(2);
        let back = discovery.come_back();

        // The first watch behind the change shows that the ingress holds it.
        let informed = discovery.each_watches(2, 2 * ROUND).await;
        let reached: Vec<Instant> = discovery.first(|_| true).into_iter().flatten().collect();
        let by = |times: &[Instant]| times.iter().max().unwrap().duration_since(back);
        println!(
            "called after {:?} at the latest, informed after {:?}",
            by(&reached),
            by(&informed)
        );
        assert!(
            by(&reached) <= ROUND + SLACK,
            "{:?}",
            discovery.calls.borrow()
        );
        assert!(
            by(&informed) <= ROUND + CALL + SLACK,
            "{:?}",
            discovery.calls.borrow()
        );
        let at_once = discovery
            .calls
            .borrow()
            .iter()
            .filter(|call| !call.waits)
            .count();
        assert_eq!(
            at_once,
            INGRESSES,
            "one call of each: {:?}",
            discovery.calls.borrow()
        );
        let order: Vec<usize> = discovery
            .calls
            .borrow()
            .iter()
            .filter(|c| !c.waits)
            .map(|c| c.ingress)
            .collect();
        let next = order.iter().map(|i| (i + 1) % INGRESSES);
        let in_turn = order[1..]
            .iter()
            .zip(next)
            .filter(|(i, next)| **i == *next)
            .count();
        assert_eq!(in_turn, INGRESSES - 1, "by rank: {order:?}");
    });
}
