//! Start and stop of the program: it owns the order in which its parts come up, the timer, what is read again
//! while it runs, and the drain. It must never decide about a request, nor be needed by any of the parts.

use crate::admin::server::{AdminServer, ExclusionStore, MAX_CALLERS};
use crate::config::operator_file::OperatorFile;
use crate::config::settings::Config;
use crate::counter::{Counter, LANES};
use crate::decision::ListKind;
use crate::discovery::follow;
use crate::discovery::inventory::{Inventory, InventoryError};
use crate::frontend::http2::Http2Frontend;
use crate::frontend::resp::RespFrontend;
use crate::group::{self, Group, GroupError, View};
use crate::plugin::{Plugin, PluginError};
use crate::request::Action;
use crate::routing::reload::{Reading, ReloadError, RuleReload};
use crate::routing::{catalog, Source, MEMORY_SHARE};
use crate::runtime::clock::Clock;
use crate::runtime::dispatcher::{ActionExecutor, Dispatcher};
use crate::runtime::process_takeover::ProcessTakeover;
use crate::upstream::Upstream;
use driftgap_group::DocumentKind;
use socket2::Socket;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, AbortHandle};

/// Longest between two looks at the timers, ms; the module's own tick is as long.
const LOOK_MS: f64 = 50.0;
/// How long new connections are accepted after SIGTERM, ms.
const ACCEPT_MS: f64 = 500.0;
/// The longest deadline counts as this at most when the program is stopped, ms; and what comes on top.
const STOP_MS: (f64, f64) = (3000.0, 650.0);
/// So long before its end it gives up what clients would wait longer for, ms: answers have to go out.
const GIVE_UP_MS: f64 = 150.0;
/// Descriptors that are neither clients' nor endpoints'.
const OTHERS: usize = 24 + LANES;
/// What staff's calls take beside.
const CALLS: usize = 1 + MAX_CALLERS;
/// Part of the memory that bounds are set by where a second process may come beside this one.
const BESIDE: f64 = 0.6;
/// Figures are logged this often, ms.
const STATISTICS_INTERVAL_MS: f64 = 10_000.0;

/// Why the program cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings make no sense to the module.
    #[error("settings: {0}")]
    Settings(#[from] crate::decision::SettingsError),
    /// The list in `known` makes no sense.
    #[error("known: {0}")]
    Known(#[from] crate::discovery::registry::InvalidEndpointList),
    /// The address cannot be listened on.
    #[error("listen: {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The socket that clients come to is none that can be accepted from.
    #[error("EDGE_ACCEPT_FD: {0}")]
    Inherited(String),
    /// The address where staff call cannot be listened on.
    #[error("operator: {0}: {1}")]
    OperatorFile(SocketAddr, std::io::Error),
    /// The inventory makes no sense.
    #[error("inventory {0}: {1}")]
    Inventory(String, InventoryError),
    /// The plug-in does not load.
    #[error("plugin: {0}")]
    Plugin(#[from] PluginError),
    /// The group's folder or address cannot be used.
    #[error("{0}")]
    Group(#[from] GroupError),
    /// The rules make no sense.
    #[error("routes: {0}")]
    Routes(String),
    /// Something that the system refuses.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// The parts that need a start and a stop, round the dispatcher.
struct Node {
    dispatcher: Rc<Dispatcher>,
    upstream: Rc<Upstream>,
    counter: Counter,
    /// Spreads over time what all ingresses would do at once.
    seed: u64,
    /// Who tells the endpoint registry, and the task that follows it.
    agent: RefCell<Option<(SocketAddr, AbortHandle)>>,
}

impl ActionExecutor for Node {
    fn carry_out(&self, effect: Action) {
        match effect {
            Action::StartAttempt(attempt) => self.upstream.start(attempt),
            Action::AbandonAttempt(id, attempt) => self.upstream.abandon(id, attempt),
            Action::Probe(endpoint) => self.upstream.probe(endpoint),
            Action::ReleaseEndpoint(endpoint) => self.upstream.release(endpoint),
            Action::AddToCounter(add) => self.counter.add(&self.dispatcher, add),
            // The hub gives answers itself.
            Action::Reply(..) => {}
        }
    }
}

impl Node {
    fn new(config: &Config, dispatcher: Rc<Dispatcher>) -> Rc<Node> {
        let upstream = Upstream::new(dispatcher.clone(), endpoints(config));
        let counter = Counter::new(config.counter, dispatcher.platform().counter_timeout_ms);
        let node = Rc::new(Node {
            dispatcher,
            upstream,
            counter,
            seed: config.seed,
            agent: RefCell::default(),
        });
        let network: Rc<dyn ActionExecutor> = node.clone();
        node.dispatcher.set_executor(&network);
        node
    }

    /// Reads the inventory into the endpoint registry and tells the core what changed.
    fn load(&self, inventory: &mut Inventory) -> Result<(), StartError> {
        let loaded = inventory.load(&mut self.dispatcher.table(), self.dispatcher.now());
        let (entries, warnings) =
            loaded.map_err(|e| StartError::Inventory(inventory.path().display().to_string(), e))?;
        for warning in driftgap_inventory::summary(&warnings) {
            tracing::warn!(warning, "inventory");
        }
        self.dispatcher.update_endpoints(ListKind::Delta, entries);
        // Those that drain are held until the next reading finds them gone from the list before.
        self.dispatcher.table().forget(|id| inventory.dropped(id));
        Ok(())
    }

    /// Takes the inventory that the group accepted last, since the file cannot be used.
    async fn load_groups(
        &self,
        group: &Group,
        inventory: &mut Inventory,
        fault: StartError,
    ) -> Result<(), StartError> {
        let Some(held) = group.document(DocumentKind::Inventory).await else {
            return Err(fault);
        };
        let loaded = inventory.restore(
            &held.bytes,
            &mut self.dispatcher.table(),
            self.dispatcher.now(),
        );
        let Ok((entries, _)) = loaded else {
            return Err(fault);
        };
        tracing::error!(%fault, number = held.number, "serves the group's last good inventory");
        self.dispatcher.update_endpoints(ListKind::Delta, entries);
        Ok(())
    }

    /// Puts rules in force that were read again; without any, the old ones stay. The text that is in force now, where
    /// there is a group to keep it.
    fn put_rules(&self, read: Result<Reading, ReloadError>, in_group: bool) -> Option<String> {
        let Reading {
            rules,
            text,
            retired,
        } = match read {
            Ok(reading) => reading,
            Err(ReloadError::Faults(faults)) => {
                tracing::error!(faults, "the old rules stay");
                return None;
            }
            Err(e) => {
                tracing::error!(error = %e, "the old rules stay");
                return None;
            }
        };
        let (count, cost, unindexed) = (rules.len(), rules.cost(), rules.unindexed());
        let (taken_over, bytes) = (rules.report().taken_over, rules.heap_bytes());
        let begun = self.dispatcher.now();
        match self.dispatcher.put_rules(rules) {
            Ok(replaced) => {
                let held_ms = self.dispatcher.now() - begun;
                retired.leave(replaced);
                tracing::info!(
                    rules = count,
                    taken_over,
                    cost,
                    unindexed,
                    bytes,
                    held_ms,
                    "rules replaced"
                );
                if in_group {
                    return Some(text);
                }
                retired.leave(text);
                None
            }
            Err(e) => {
                tracing::error!(error = %e, "the old rules stay");
                None
            }
        }
    }

    /// Follows the endpoint registry at this agent from now on; the list held stays until the agent tells another.
    fn follow(self: &Rc<Self>, agent: Option<SocketAddr>, version: Option<u64>) {
        if self.agent.borrow().as_ref().map(|(addr, _)| *addr) == agent {
            return;
        }
        let task = agent.map(|addr| {
            (
                addr,
                spawn_local(follow(self.dispatcher.clone(), addr, version, self.seed))
                    .abort_handle(),
            )
        });
        if let Some((_, old)) = self.agent.replace(task) {
            old.abort();
        }
    }

    /// Reads the configuration again. Discovery and counter move to what it says; requests and calls under way
    /// are not touched by it. What else has changed there is named, since it takes effect at a restart only.
    fn reload(self: &Rc<Self>, path: &Path, held: &mut Config) {
        let mut config = match Config::read(path) {
            Ok(config) => config,
            Err(e) => {
                return tracing::error!(error = %e, "EDGE_CONFIG makes no sense; the old configuration stays")
            }
        };
        self.follow(config.discovery, None);
        self.counter.move_to(&self.dispatcher, config.counter);
        let fixed = held.changes_needing_restart(&config);
        if !fixed.is_empty() {
            tracing::warn!(
                fields = fixed.join(", "),
                "configuration changed where it takes a restart"
            );
        }
        tracing::info!(
            discovery = config.discovery.map(tracing::field::display),
            counter = config.counter.map(tracing::field::display),
            "configuration read again"
        );
        config.known = serde_json::Value::Null;
        *held = config;
    }

    /// Looks after everything that comes due with time.
    async fn keep_time(self: Rc<Self>) {
        let (mut swept, mut logged) = (self.dispatcher.now(), self.dispatcher.now());
        loop {
            let now = self.dispatcher.now();
            let core = self.dispatcher.next_due();
            let counter = self.counter.next_due();
            let due = core
                .into_iter()
                .chain(counter)
                .fold(now + LOOK_MS, f64::min);
            tokio::time::sleep_until(self.dispatcher.clock().instant(due).into()).await;
            self.dispatcher.with_requests(|core, now| core.tick(now));
            let now = self.dispatcher.now();
            self.counter.expire(&self.dispatcher, now);
            if now - swept > 1000.0 {
                swept = now;
                self.upstream.sweep(now);
            }
            if now - logged > STATISTICS_INTERVAL_MS {
                logged = now;
                self.log_statistics();
            }
        }
    }

    fn log_statistics(&self) {
        let (counts, unanswered) = self.dispatcher.statistics();
        tracing::info!(
            taken = counts.taken,
            served = counts.served,
            rejected = counts.rejected,
            failed = counts.failed,
            gone = counts.gone,
            attempts = counts.attempts,
            counts = counts.counts,
            unanswered,
            links = self.upstream.open(),
            "figures"
        );
        if let Some((ready, faults)) = self.dispatcher.pools() {
            tracing::info!(ready, faults, "pools");
        }
    }
}

/// The signals that the program answers to.
pub struct Signals {
    term: Signal,
    int: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Listens for them. To be called before anything else: a signal that nobody listens for ends the program.
    ///
    /// # Errors
    /// The system refuses.
    pub fn listen() -> std::io::Result<Signals> {
        let [term, int, hang_up] = [
            SignalKind::terminate(),
            SignalKind::interrupt(),
            SignalKind::hangup(),
        ]
        .map(signal);
        Ok(Signals {
            term: term?,
            int: int?,
            hang_up: hang_up?,
        })
    }
}

/// Reads again, at each SIGHUP and until the program ends, what an operator may change while it runs.
async fn hear(
    node: Rc<Node>,
    mut hang_up: Signal,
    path: PathBuf,
    mut held: Config,
    inventory: Option<Inventory>,
    rules: Option<(Source, String)>,
    group: Option<Group>,
) {
    let mut inventory = inventory;
    // One of a kind is handed in to the group at a time: the latest.
    let mut handing: BTreeMap<DocumentKind, AbortHandle> = BTreeMap::new();
    let mut submit_document = |kind: DocumentKind, bytes: Vec<u8>, at_start: bool| {
        if let Some(group) = group.clone() {
            let task = spawn_local(group.submit_document(kind, bytes, at_start)).abort_handle();
            if let Some(old) = handing.insert(kind, task) {
                old.abort();
            }
        }
    };
    if let Some(inventory) = &inventory {
        submit_document(DocumentKind::Inventory, inventory.accepted(), true);
    }
    let mut rules = rules.map(|(source, text)| {
        submit_document(DocumentKind::Rules, text.into_bytes(), true);
        RuleReload::new(source, catalog(node.dispatcher.platform()))
    });
    loop {
        tokio::select! {
            heard = hang_up.recv() => if heard.is_none() { return },
            read = finished(rules.as_mut()) => {
                if let Some(text) = node.put_rules(read, group.is_some()) {
                    submit_document(DocumentKind::Rules, text.into_bytes(), false);
                }
                if let Some(rules) = &mut rules {
                    rules.resume(node.dispatcher.rules());
                }
                continue;
            }
        }
        node.reload(&path, &mut held);
        if let Some(rules) = &mut rules {
            rules.request(node.dispatcher.rules());
        }
        if let Some(inventory) = &mut inventory {
            match node.load(inventory) {
                Ok(()) => {
                    tracing::info!("inventory read again");
                    submit_document(DocumentKind::Inventory, inventory.accepted(), false);
                }
                Err(StartError::Inventory(path, e)) => {
                    for fault in e.lines() {
                        tracing::error!(path, fault, "inventory");
                    }
                    tracing::error!(path, "the old list stays");
                }
                Err(e) => tracing::error!(error = %e, "the old list stays"),
            }
        }
    }
}

/// Waits for the reading of rules that is under way; forever without one.
async fn finished(rules: Option<&mut RuleReload>) -> Result<Reading, ReloadError> {
    match rules {
        Some(rules) => rules.finished().await,
        None => std::future::pending().await,
    }
}

/// Descriptors for endpoints.
fn endpoints(config: &Config) -> usize {
    spare(config) * 2 / 5
}

/// Descriptors for clients and endpoints.
fn spare(config: &Config) -> usize {
    let calls = config.operator.map_or(0, |_| CALLS);
    config.sockets.saturating_sub(OTHERS + calls)
}

/// What other processes of this ingress see, where there may be any. Without it what is taken out is lost with the
/// process, which is no reason not to serve.
fn beside(config: &Config, inherited: bool) -> Option<Rc<ProcessTakeover>> {
    config.operator.filter(|_| inherited)?;
    let Some(base) = std::env::var_os("TMPDIR") else {
        tracing::warn!("TMPDIR is not set: what is suspended will not outlive this process");
        return None;
    };
    match ProcessTakeover::open(Path::new(&base), &config.name) {
        Ok(handover) => Some(Rc::new(handover)),
        Err(e) => {
            tracing::error!(error = %e, "TMPDIR: what is suspended will not outlive this process");
            None
        }
    }
}

/// The socket that clients come to: the inherited one if it is what the configuration says, else one of our own.
fn front_door(config: &Config, inherited: Option<Socket>) -> Result<TcpListener, StartError> {
    let Some(socket) = inherited else {
        return bind(config.listen, false).map_err(|e| StartError::Listen(config.listen, e));
    };
    let wrong = |why: String| StartError::Inherited(why);
    let listens = socket.is_listener().map_err(|e| wrong(e.to_string()))?;
    let at = socket
        .local_addr()
        .map_err(|e| wrong(e.to_string()))?
        .as_socket();
    if !listens || at != Some(config.listen) {
        let at = at.map_or("no address".to_string(), |at| at.to_string());
        let what = if listens {
            "listens"
        } else {
            "does not listen"
        };
        return Err(wrong(format!(
            "{what} at {at}, while listen is {}",
            config.listen
        )));
    }
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into())?)
}

/// Serves until SIGTERM or SIGINT, then drains. `path` is where the configuration came from, `clients` the socket
/// that clients come to where the platform holds it for every process of this ingress.
///
/// # Errors
/// What keeps it from starting.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub async fn run(
    signals: Signals,
    path: PathBuf,
    mut config: Config,
    operator: OperatorFile,
    clients: Option<Socket>,
) -> Result<(), StartError> {
    let inherited = clients.is_some();
    let memory_mb = config.memory_mb * if inherited { BESIDE } else { 1.0 };
    let Signals {
        mut term,
        mut int,
        hang_up,
    } = signals;
    let plugin = operator
        .plugin
        .as_ref()
        .map(|p| Plugin::load(p, &operator.folder))
        .transpose()?;
    let source = Source::of(&operator, memory_mb);
    let rules_mb = source.as_ref().map_or(0.0, |_| memory_mb * MEMORY_SHARE);
    let (requests_mb, in_group) = (memory_mb - rules_mb, operator.group.is_some());
    let node = Node::new(
        &config,
        Dispatcher::new(&config, requests_mb, plugin, Clock::system(), in_group)?,
    );
    let dispatcher = node.dispatcher.clone();
    let handover = beside(&config, inherited);
    if let Some(handover) = &handover {
        dispatcher.take_over(handover.read().unwrap_or_default());
    }
    let mut version = None;
    if !config.known.is_null() {
        let update = dispatcher.table().take(&config.known)?;
        version = Some(update.version).filter(|_| !update.entries.is_empty());
        dispatcher.update_endpoints(ListKind::Cached, update.entries);
    }
    let group = operator
        .group
        .as_ref()
        .map(|g| group::start(g, &operator.folder, &config.name))
        .transpose()?;
    if let Some(group) = &group {
        spawn_local(obey(dispatcher.clone(), group.view()));
    }
    let mut rules = None;
    if let Some(source) = source {
        let text = source.text();
        let catalog = catalog(dispatcher.platform());
        let mut read = text
            .clone()
            .and_then(|text| source.judge(&text, &catalog, None));
        let mut text = text.unwrap_or_default();
        if let (Err(faults), Some(group)) = (&read, &group) {
            let Some(held) = unless_stopped(&mut term, group.document(DocumentKind::Rules)).await
            else {
                return Ok(());
            };
            if let Some(held) = held {
                let good = String::from_utf8_lossy(&held.bytes).to_string();
                if let Ok(rules) = source.judge(&good, &catalog, None) {
                    let fault = faults.first().map(|f| &f.line);
                    tracing::error!(
                        fault,
                        number = held.number,
                        "serves the group's last good rules"
                    );
                    (read, text) = (Ok(rules), good);
                }
            }
        }
        rules = Some((source, text));
        let rules = read.map_err(|faults| {
            let first = faults
                .first()
                .map_or(String::new(), |fault| fault.line.clone());
            let more = if faults.len() > 1 {
                format!(" (and {} more: driftgap check)", faults.len() - 1)
            } else {
                String::new()
            };
            StartError::Routes(format!("{first}{more}"))
        })?;
        tracing::info!(
            rules = rules.len(),
            cost = rules.cost(),
            unindexed = rules.unindexed(),
            "rules in force"
        );
        dispatcher
            .put_rules(rules)
            .map_err(|e| StartError::Routes(e.to_string()))?;
    }
    let mut inventory = operator
        .inventory
        .clone()
        .map(|i| Inventory::new(i, &operator.folder));
    if let Some(inventory) = &mut inventory {
        match (node.load(inventory), &group) {
            (Ok(()), _) => {}
            (Err(fault), Some(group)) => {
                let loaded = node.load_groups(group, inventory, fault);
                match unless_stopped(&mut term, loaded).await {
                    Some(loaded) => loaded?,
                    None => return Ok(()),
                }
            }
            (Err(fault), None) => return Err(fault),
        }
    }
    let listener = front_door(&config, clients)?;
    if let Some(address) = config.operator {
        let listener = bind(address, false).map_err(|e| StartError::OperatorFile(address, e))?;
        let keeper = handover.clone().map(|h| h as Rc<dyn ExclusionStore>);
        spawn_local(AdminServer::new(dispatcher.clone(), keeper, group.clone()).listen(listener));
        tracing::info!(%address, "operators call");
    }
    let second = match &operator.http2 {
        // Here the platform holds no socket: that the second process may listen beside the first takes a queue each.
        Some(http2) => {
            let listener =
                bind(http2.listen, inherited).map_err(|e| StartError::Listen(http2.listen, e))?;
            Some((
                listener,
                Http2Frontend::new(dispatcher.clone(), http2.limits()),
            ))
        }
        None => None,
    };
    spawn_local(node.clone().keep_time());
    node.follow(config.discovery, version);
    let streams = operator.http2.as_ref().map_or(0, |http2| http2.connections);
    let clients = (spare(&config) * 3 / 5).saturating_sub(streams).max(16);
    let front = RespFrontend::new(dispatcher.clone(), clients);
    if let Some(handover) = handover {
        let (upstream, front) = (node.upstream.clone(), front.clone());
        let endpoints = endpoints(&config);
        // Two processes of this ingress have the descriptors of one.
        let share = move |beside: bool| {
            let part = if beside { 2 } else { 1 };
            upstream.set_budget(endpoints / part);
            front.set_budget(clients / part);
        };
        let now = handover.beside();
        share(now);
        spawn_local(handover.watch(dispatcher.clone(), now, share));
    }
    let mut accepting = vec![spawn_local(front.clone().listen(listener))];
    spawn_local(front.clone().look());
    tracing::info!(name = config.name, address = %config.listen, "listens");
    let second = second.map(|(listener, front)| {
        accepting.push(spawn_local(front.clone().listen(listener)));
        spawn_local(front.clone().look());
        front
    });
    config.known = serde_json::Value::Null;
    spawn_local(hear(
        node.clone(),
        hang_up,
        path,
        config,
        inventory,
        rules,
        group.clone(),
    ));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    if let Some(group) = group {
        // Beside the drain: who is promised something must not wait for an election.
        spawn_local(async move { group.leave().await });
    }
    drain(&node, &front, second.as_ref(), accepting, inherited).await;
    Ok(())
}

/// What a start waits for, unless the process is told to stop meanwhile.
async fn unless_stopped<T>(term: &mut Signal, wait: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        got = wait => Some(got),
        _ = term.recv() => None,
    }
}

/// Does what the group holds, as soon as this ingress knows it.
async fn obey(dispatcher: Rc<Dispatcher>, mut view: tokio::sync::watch::Receiver<View>) {
    loop {
        let out = view.borrow_and_update().out.clone();
        dispatcher.set_group_exclusions(out);
        if view.changed().await.is_err() {
            // The group's part has ended: what it held last goes on to hold.
            return;
        }
    }
}

/// Listens, beside another process of this ingress where there may be one.
fn bind(addr: SocketAddr, beside: bool) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(beside)?;
    socket.bind(addr)?;
    socket.listen(1024)
}

/// Finishes what was taken, closes what is idle, and ends in time.
async fn drain(
    node: &Rc<Node>,
    front: &Rc<RespFrontend>,
    second: Option<&Rc<Http2Frontend>>,
    mut accepting: Vec<tokio::task::JoinHandle<()>>,
    inherited: bool,
) {
    let connections = || front.connections() + second.map_or(0, |s| s.connections());
    let begun = node.dispatcher.now();
    tracing::info!(
        unanswered = node.dispatcher.statistics().1,
        clients = connections(),
        "stopping"
    );
    node.dispatcher
        .drain()
        .stop(begun, if inherited { 0.0 } else { ACCEPT_MS });
    if inherited {
        // Whoever comes now waits in the line of the process beside this one.
        accepting.remove(0).abort();
        front.leave();
    }
    if !accepting.is_empty() {
        tokio::time::sleep_until(node.dispatcher.clock().instant(begun + ACCEPT_MS).into()).await;
    }
    // The listeners close with their tasks.
    for task in accepting {
        task.abort();
        let _ = task.await;
    }
    front.leave();
    if let Some(second) = second {
        second.leave();
    }
    let longest = node
        .dispatcher
        .platform()
        .decision
        .classes
        .iter()
        .map(|c| c.deadline * 1e3)
        .fold(0.0, f64::max);
    let last = begun + longest.min(STOP_MS.0) + STOP_MS.1;
    let gone_by = async |end: f64| {
        while connections() > 0 && node.dispatcher.now() < end {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        connections() == 0
    };
    if !gone_by(last - GIVE_UP_MS).await {
        tracing::info!(
            unanswered = node.dispatcher.statistics().1,
            "giving up what is owed"
        );
        node.dispatcher.give_up();
        gone_by(last).await;
    }
    node.log_statistics();
    tracing::info!(ms = (node.dispatcher.now() - begun).round(), "stopped");
}
