//! Polls of real processes: a dozen ingresses of one fleet with lists on request, and a discovery
//! of fixed capacity that recovers from an outage. Each ingress must call it once, in its time
//! slot, and get the changes that it missed.

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
/// Time that discovery needs for a call; it serves one call at a time.
const CALL: Duration = Duration::from_millis(200);
/// One call of each ingress takes 2.4 s, and a round takes at least 2.5 s.
const ROUND: Duration = Duration::from_millis(2500);
/// Extra time for twelve processes and the test's discovery on a shared machine.
const SLACK: Duration = Duration::from_millis(1000);

/// A call of an ingress that reached discovery while it was available.
#[derive(Clone, Copy, Debug)]
struct Call {
    ingress: usize,
    at: Instant,
    /// The version that the ingress has.
    index: u64,
    /// Whether the call may wait for a change.
    waits: bool,
}

/// The discovery that all ingresses poll.
struct Discovery {
    available: Cell<bool>,
    /// The latest version.
    version: watch::Sender<u64>,
    /// Serializes calls; waiting ones are served in order.
    worker: Mutex<()>,
    calls: RefCell<Vec<Call>>,
    /// The tasks that serve the open connections.
    connections: RefCell<Vec<tokio::task::AbortHandle>>,
}

/// The number after this name in a request line.
fn number(head: &str, name: &str) -> Option<u64> {
    let value = head.split(name).nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}

async fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

impl Discovery {
    /// Listens for one ingress and returns the port.
    async fn listen(self: Rc<Self>, ingress: usize) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let port = listener.local_addr().unwrap().port();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if self.available.get() {
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
            let index = number(&head, "index=").expect("each ingress has a list");
            let wait = number(&head, "wait=").expect("the call names a version");
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
                // Discovery works on an abandoned call too: this task continues.
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

    /// Resets the open connections, and every new one from now on.
    fn stop(&self) {
        self.available.set(false);
        self.connections
            .borrow_mut()
            .drain(..)
            .for_each(|connection| connection.abort());
    }

    fn recover(&self) -> Instant {
        self.calls.borrow_mut().clear();
        self.available.set(true);
        Instant::now()
    }

    /// The time of each ingress's first call that matches.
    fn first(&self, matches: impl Fn(&Call) -> bool) -> Vec<Option<Instant>> {
        let calls = self.calls.borrow();
        let first_call = |i| {
            calls
                .iter()
                .find(|call| call.ingress == i && matches(call))
                .map(|call| call.at)
        };
        (0..INGRESSES).map(first_call).collect()
    }

    /// Waits until each ingress has opened a watch with this version.
    async fn wait_until_each_watches(&self, version: u64, longest: Duration) -> Vec<Instant> {
        let all_watches = timeout(longest, async {
            loop {
                let watches = self.first(|call| call.waits && call.index == version);
                if let Some(all_watches) = watches.into_iter().collect::<Option<Vec<_>>>() {
                    return all_watches;
                }
                sleep(Duration::from_millis(10)).await;
            }
        });
        all_watches
            .await
            .unwrap_or_else(|_| panic!("not every ingress watches: {:?}", self.calls.borrow()))
    }
}

/// The ingress processes, which are killed at the end of the test.
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
            // No request is sent to this endpoint.
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

/// Discovery is unavailable for more than 6 s, has a change meanwhile, and recovers; each of a
/// dozen ingresses has lost its watch. If all of them called at once, the last would wait for 2.4
/// s, longer than the time-out of a call. Each must call once, in its slot, and watch for later
/// changes within a round and a call.
#[test]
fn recovered_discovery_is_called_once_by_each_process_in_its_slot() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let discovery = Rc::new(Discovery {
            available: Cell::new(true),
            version: watch::Sender::new(1),
            worker: Mutex::new(()),
            calls: RefCell::default(),
            connections: RefCell::default(),
        });
        let _processes = Processes::start(&discovery).await;
        discovery
            .wait_until_each_watches(1, Duration::from_secs(10))
            .await;
        discovery.stop();
        sleep(Duration::from_millis(6300)).await;
        discovery.version.send_replace(2);
        let recovered_at = discovery.recover();

        // The first watch with the new version shows that the ingress has the change.
        let updated = discovery.wait_until_each_watches(2, 2 * ROUND).await;
        let reached: Vec<Instant> = discovery.first(|_| true).into_iter().flatten().collect();
        let latest = |times: &[Instant]| times.iter().max().unwrap().duration_since(recovered_at);
        println!(
            "last call after {:?}, last update after {:?}",
            latest(&reached),
            latest(&updated)
        );
        assert!(
            latest(&reached) <= ROUND + SLACK,
            "{:?}",
            discovery.calls.borrow()
        );
        assert!(
            latest(&updated) <= ROUND + CALL + SLACK,
            "{:?}",
            discovery.calls.borrow()
        );
        let immediate_calls = discovery
            .calls
            .borrow()
            .iter()
            .filter(|call| !call.waits)
            .count();
        assert_eq!(
            immediate_calls,
            INGRESSES,
            "one call of each ingress: {:?}",
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
        let in_rank_order = order[1..]
            .iter()
            .zip(next)
            .filter(|(i, next)| **i == *next)
            .count();
        assert_eq!(
            in_rank_order,
            INGRESSES - 1,
            "calls in order of rank: {order:?}"
        );
    });
}
