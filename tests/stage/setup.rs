//! Everything that has to be there before a scenario: stand-ins, files, the program.

use super::*;

/// The settings with these changes: `limits.parallel_tries=true request_classes.1.effect="token"`.
pub(super) fn changed(changes: &str) -> String {
    let mut settings: serde_json::Value = serde_json::from_str(SETTINGS).unwrap();
    for change in changes.split_whitespace() {
        let (path, value) = change.split_once('=').unwrap();
        let pointer = format!("/{}", path.replace('.', "/"));
        *settings
            .pointer_mut(&pointer)
            .unwrap_or_else(|| panic!("no setting {path}")) = serde_json::from_str(value).unwrap();
    }
    settings.to_string()
}

/// A loopback address of this stage alone, so that no other test's program or connection can hold its ports.
pub(super) fn own_address() -> String {
    static STAGES: AtomicU32 = AtomicU32::new(0);
    let (stage, process) = (STAGES.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!(
        "127.{}.{}.{}",
        10 + process % 200,
        process / 200 % 250,
        1 + stage % 250
    )
}

pub(super) fn entry(name: &str, port: u16, wire: Wire, state: &str) -> String {
    let protocol = if wire == Wire::Http2 { "http2" } else { "resp" };
    format!(
        r#"{{"id":"{name}","addr":"127.0.0.1:{port}","zone":"building-1","kind":"small-2c","cell":0,
            "state":"{state}","weight":1.0,"started_ms":0,"protocol":"{protocol}"}}"#
    )
}

impl Stage {
    /// Sets it up; `first` is a scenario's first line.
    pub async fn set(front: Wire, wire: Wire, first: &str) -> Stage {
        let (held, small) = (first == "inherited_socket", first == "small_memory");
        let shared = Shared::default();
        let mut endpoints = HashMap::new();
        for name in ["a", "b", "extra"] {
            let shared = shared.clone();
            let port = match wire {
                Wire::Resp => {
                    stand_in(move |s| resp_endpoint(name.into(), s, shared.clone())).await
                }
                Wire::Http2 => {
                    stand_in(move |s| http2_endpoint(name.into(), s, shared.clone())).await
                }
            };
            endpoints.insert(name.to_string(), (port.0, wire));
        }
        let listed = endpoints.iter().filter(|(name, _)| *name != "extra");
        let entries: Vec<_> = listed
            .map(|(n, (p, w))| entry(n, *p, *w, "active"))
            .collect();
        let (list, _) = watch::channel(vec![entries.join(",")]);
        let (host, listen, second) = (own_address(), 6379, 8080);
        let folder =
            std::env::temp_dir().join(format!("driftgap-stage-{}-{host}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let operator = folder.join("operator.toml");
        let sections = format!("[http2]\nlisten = \"{host}:{second}\"\n{OPERATOR}");
        std::fs::write(&operator, sections).unwrap();
        std::fs::write(folder.join("hook.rhai"), HOOK).unwrap();
        std::fs::write(folder.join("rules.toml"), "").unwrap();
        std::fs::write(folder.join("inventory.csv"), HEADER).unwrap();
        let ports = [("resp", listen), ("http2", second)]
            .map(|(wire, port)| (wire, format!("{host}:{port}")))
            .into();
        let (clients, services, answers) = Default::default();
        // Replaced by the program once everything that it needs is there.
        let program = Command::new("true").spawn().unwrap();
        let held = held.then(|| {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            let address: std::net::SocketAddr = format!("{host}:{listen}").parse().unwrap();
            socket.bind(&address.into()).unwrap();
            socket.listen(1024).unwrap();
            socket.set_cloexec(false).unwrap();
            socket
        });
        let mut stage = Stage {
            program,
            second: None,
            operator_port: 19_000,
            held,
            idle_connections: Vec::new(),
            full_listeners: Vec::new(),
            small,
            sockets: if first == "more_descriptors" {
                ROOMY_SOCKETS
            } else {
                SOCKETS
            },
            tight: false,
            settings: changed(first.strip_prefix("with ").unwrap_or("")),
            front,
            ports,
            clients,
            shared,
            list,
            services,
            endpoints,
            answers,
            folder,
            memory: 0.0,
            begun: 0,
        };
        stage.relocate(&["discovery", "counter"]).await;
        stage.program = stage.start();
        stage.ready().await;
        stage
    }

    /// Puts these parties at new ports and says so in the configuration; what they held stays theirs.
    pub(super) async fn relocate(&mut self, services: &[&str]) -> Vec<AbortHandle> {
        let mut old = Vec::new();
        for service in services {
            let shared = self.shared.clone();
            let (name, new) = match *service {
                "counter" => (
                    "counter",
                    stand_in(move |s| counter(s, shared.clone())).await,
                ),
                "discovery" => {
                    let list = self.list.clone();
                    (
                        "discovery",
                        stand_in(move |s| discovery(s, list.subscribe(), shared.clone())).await,
                    )
                }
                other => panic!("no such party: {other}"),
            };
            old.extend(self.services.insert(name, new).map(|(_, task)| task));
        }
        let at = |service: &str| self.services[service].0;
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"127.0.0.1:{}","counter":"127.0.0.1:{}",
                "seed":"1f","limits":{{"sockets":{},"memory_mb":{}}},"settings":{}}}"#,
            self.ports["resp"],
            at("discovery"),
            at("counter"),
            self.sockets,
            if self.small { 10 } else { 192 },
            self.settings
        );
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        old
    }

    /// Waits until the program says that it can serve.
    pub(super) async fn ready(&mut self) {
        for _ in 0..400 {
            if self.ping().await.is_some() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the program is not ready");
    }
}
