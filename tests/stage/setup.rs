//! Setup of a scenario: simulated servers, files, and the program.

use super::*;

/// Returns the settings with changes such as
/// `limits.parallel_tries=true request_classes.1.effect="token"`.
pub(super) fn settings_with(changes: &str) -> String {
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

/// Returns a loopback address that no other test uses, so that no other program or connection can
/// occupy its ports.
pub(super) fn unique_address() -> String {
    static STAGES: AtomicU32 = AtomicU32::new(0);
    let (stage, process) = (STAGES.fetch_add(1, Ordering::Relaxed), std::process::id());
    format!(
        "127.{}.{}.{}",
        10 + process % 200,
        process / 200 % 250,
        1 + stage % 250
    )
}

/// Returns the JSON entry of an endpoint in discovery's list.
pub(super) fn endpoint_entry(name: &str, port: u16, wire: Wire, state: &str) -> String {
    let protocol = if wire == Wire::Http2 { "http2" } else { "resp" };
    format!(
        r#"{{"id":"{name}","addr":"127.0.0.1:{port}","zone":"building-1","kind":"small-2c","cell":0,
            "state":"{state}","weight":1.0,"started_ms":0,"protocol":"{protocol}"}}"#
    )
}

/// Separates the properties of the endpoints, such as `endpoints.streams=1`, from the changes of the
/// settings on the first line of a scenario.
fn endpoint_properties(first: &str) -> (HashMap<String, String>, String) {
    let (properties, changes): (Vec<&str>, Vec<&str>) = first
        .split_whitespace()
        .partition(|change| change.starts_with("endpoints."));
    let properties = properties.iter().filter_map(|change| {
        let (name, value) = change.strip_prefix("endpoints.")?.split_once('=')?;
        Some((name.to_string(), value.to_string()))
    });
    (properties.collect(), changes.join(" "))
}

/// Starts the endpoints with these properties. Returns the port and protocol of each.
async fn start_endpoints(
    endpoint_wire: Wire,
    properties: &HashMap<String, String>,
    shared: &Shared,
) -> HashMap<String, (u16, Wire)> {
    let max_streams = properties.get("streams").map(|n| n.parse().unwrap());
    shared.max_streams.set(max_streams);
    let mut endpoints = HashMap::new();
    for name in ["a", "b", "extra"] {
        let shared = shared.clone();
        let listener = if properties.contains_key("small_buffers") {
            listener_with_small_buffers()
        } else {
            TcpListener::bind("127.0.0.1:0").await.unwrap()
        };
        let port = match endpoint_wire {
            Wire::Resp => spawn_server_at(listener, move |s| {
                resp_endpoint(name.into(), s, shared.clone())
            }),
            Wire::Http2 => spawn_server_at(listener, move |s| {
                http2_endpoint(name.into(), s, shared.clone())
            }),
        };
        endpoints.insert(name.to_string(), (port.0, endpoint_wire));
    }
    endpoints
}

impl Stage {
    /// Sets up the environment and starts the program. `first` is the first line of the scenario.
    pub async fn set_up(client_wire: Wire, endpoint_wire: Wire, first: &str) -> Stage {
        let (inherited_socket, small_memory) =
            (first == "inherited_socket", first == "small_memory");
        let (properties, first) = endpoint_properties(first);
        let first = first.as_str();
        let shared = Shared::default();
        let endpoints = start_endpoints(endpoint_wire, &properties, &shared).await;
        let listed = endpoints.iter().filter(|(name, _)| *name != "extra");
        let entries: Vec<_> = listed
            .map(|(n, (p, w))| endpoint_entry(n, *p, *w, "active"))
            .collect();
        let (endpoint_list, _) = watch::channel(vec![entries.join(",")]);
        let (host, resp_port, http2_port) = (unique_address(), 6379, 8080);
        let folder =
            std::env::temp_dir().join(format!("driftgap-stage-{}-{host}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let operator = folder.join("operator.toml");
        let sections = format!("[http2]\nlisten = \"{host}:{http2_port}\"\n{OPERATOR_FILE}");
        std::fs::write(&operator, sections).unwrap();
        std::fs::write(folder.join("hook.rhai"), HOOK_SCRIPT).unwrap();
        std::fs::write(folder.join("rules.toml"), "").unwrap();
        std::fs::write(folder.join("inventory.csv"), INVENTORY_HEADER).unwrap();
        let ports = [("resp", resp_port), ("http2", http2_port)]
            .map(|(wire, port)| (wire, format!("{host}:{port}")))
            .into();
        let (clients, services, answers) = Default::default();
        // A placeholder until the program can be started.
        let program = Command::new("true").spawn().unwrap();
        let inherited_socket = inherited_socket.then(|| {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            let address: std::net::SocketAddr = format!("{host}:{resp_port}").parse().unwrap();
            socket.bind(&address.into()).unwrap();
            socket.listen(1024).unwrap();
            socket.set_cloexec(false).unwrap();
            socket
        });
        let mut stage = Stage {
            program,
            second: None,
            operator_port: 19_000,
            inherited_socket,
            idle_connections: Vec::new(),
            full_listeners: Vec::new(),
            small_memory,
            descriptor_limit: if first == "more_descriptors" {
                RAISED_DESCRIPTOR_LIMIT
            } else {
                DESCRIPTOR_LIMIT
            },
            small_receive_buffer: false,
            settings: settings_with(first.strip_prefix("with ").unwrap_or("")),
            client_wire,
            ports,
            clients,
            shared,
            endpoint_list,
            services,
            endpoints,
            flooded: 0,
            answers,
            folder,
            noted_memory_mb: 0.0,
            noted_attempts: 0,
        };
        stage.relocate(&["discovery", "counter"]).await;
        stage.program = stage.start();
        stage.ready().await;
        stage
    }

    /// Moves these services to new ports and writes the ports to the configuration file. The
    /// services keep their data. Returns the tasks of the old servers.
    pub(super) async fn relocate(&mut self, services: &[&str]) -> Vec<AbortHandle> {
        let mut old_servers = Vec::new();
        for service in services {
            let shared = self.shared.clone();
            let (name, new) = match *service {
                "counter" => (
                    "counter",
                    spawn_server(move |s| counter(s, shared.clone())).await,
                ),
                "discovery" => {
                    let list = self.endpoint_list.clone();
                    (
                        "discovery",
                        spawn_server(move |s| discovery(s, list.subscribe(), shared.clone())).await,
                    )
                }
                other => panic!("unknown service: {other}"),
            };
            old_servers.extend(self.services.insert(name, new).map(|(_, task)| task));
        }
        let port_of = |service: &str| self.services[service].0;
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"127.0.0.1:{}","counter":"127.0.0.1:{}",
                "seed":"1f","limits":{{"sockets":{},"memory_mb":{}}},"settings":{}}}"#,
            self.ports["resp"],
            port_of("discovery"),
            port_of("counter"),
            self.descriptor_limit,
            if self.small_memory { 10 } else { 192 },
            self.settings
        );
        std::fs::write(self.folder.join("config.json"), text).unwrap();
        old_servers
    }

    /// Waits until the program answers PING.
    pub(super) async fn ready(&mut self) {
        for _ in 0..400 {
            if self.ping().await.is_some() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the program does not answer PING");
    }
}
