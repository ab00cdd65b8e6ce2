//! The program round the core: it owns the event loop's shared state, carries the core's effects to the
//! network and the network's news to the core, runs the timer, and steps through start and drain. It must
//! never decide about a command, nor hold the core while it touches a socket.

use crate::api::ListKind;
use crate::clock::Clock;
use crate::core::{Command, Core, Effect};
use crate::counter::{Counter, LANES};
use crate::facade::{CommandId, Facade, InstanceId};
use crate::front::http2::Http2Front;
use crate::front::resp::RespFront;
use crate::front::{ServiceClient, Unsent};
use crate::inventory::{Inventory, InventoryError};
use crate::name_table::{follow, NameTable};
use crate::operator::Operator;
use crate::plugin::{Plugin, PluginError, Wish};
use crate::settings::{Config, Platform};
use crate::upstream::Upstream;
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{spawn_local, AbortHandle};

/// Longest between two looks at the timers, ms; the module's own tick is as long.
const LOOK_MS: f64 = 50.0;
/// Without a word from discovery, the last known list serves after this long, ms.
const ALONE_MS: f64 = 300.0;
/// How long new connections are accepted after SIGTERM, ms.
const ACCEPT_MS: f64 = 500.0;
/// The longest deadline counts as this at most when the program is stopped, ms; and what comes on top.
const STOP_MS: (f64, f64) = (3000.0, 650.0);
/// Descriptors that are neither clients' nor instances'.
const OTHERS: usize = 24 + LANES;
/// Figures are logged this often, ms.
const FIGURES_MS: f64 = 10_000.0;

/// Why the program cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings make no sense to the module.
    #[error("settings: {0}")]
    Settings(#[from] crate::api::SettingsError),
    /// The list in `known` makes no sense.
    #[error("known: {0}")]
    Known(#[from] crate::name_table::BadList),
    /// The address cannot be listened on.
    #[error("listen: {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The inventory makes no sense.
    #[error("inventory {0}: {1}")]
    Inventory(String, InventoryError),
    /// The plug-in does not load.
    #[error("plugin: {0}")]
    Plugin(#[from] PluginError),
    /// Something that the system refuses.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// Who is owed an answer, and its mark for the command.
type Owed = (Rc<dyn ServiceClient>, u64);

/// What all tasks share.
pub struct Hub {
    clock: Clock,
    platform: Rc<Platform>,
    core: RefCell<Core>,
    table: RefCell<NameTable>,
    upstream: Upstream,
    counter: Counter,
    /// Who tells the name table, and the task that follows it.
    agent: RefCell<Option<(SocketAddr, AbortHandle)>>,
    clients: RefCell<HashMap<CommandId, Owed>>,
    plugin: Option<Plugin>,
    unsent: Rc<Cell<usize>>,
    most_unsent: usize,
    pumping: Cell<bool>,
    started: f64,
    answered: Cell<bool>,
    me: std::rc::Weak<Hub>,
}

impl Hub {
    /// The shared state of an ingress with this configuration.
    ///
    /// # Errors
    /// Settings that make no sense.
    pub fn new(config: &Config, plugin: Option<Plugin>, clock: Clock) -> Result<Rc<Hub>, StartError> {
        let platform = Rc::new(config.platform.clone());
        let facade = Facade::new(platform.module.clone(), config.seed)?;
        let most_bytes = (config.memory_mb * 1e6 / 3.0) as usize;
        let instances = config.sockets.saturating_sub(OTHERS) * 2 / 5;
        Ok(Rc::new_cyclic(|me| Hub {
            started: clock.now(),
            core: Core::new(platform.clone(), facade, most_bytes).into(),
            table: NameTable::new(platform.zones.clone()).into(),
            upstream: Upstream::new(&platform, instances),
            counter: Counter::new(config.counter, platform.count_wait_ms),
            agent: RefCell::default(),
            clients: RefCell::default(),
            pumping: Cell::new(false),
            // Without discovery, what is known is all there is.
            answered: Cell::new(config.discovery.is_none()),
            plugin,
            unsent: Rc::default(),
            most_unsent: most_bytes / 2,
            me: me.clone(),
            platform,
            clock,
        }))
    }

    /// The time.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The settings.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The name table.
    pub fn table(&self) -> RefMut<'_, NameTable> {
        self.table.borrow_mut()
    }

    /// The connections to instances.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Discovery has answered: the list is as good as it gets.
    pub fn discovery_answered(&self) {
        self.answered.set(true);
    }

    /// A new client's part of what clients may leave unread.
    pub fn unsent(&self) -> Unsent {
        Unsent::new(self.unsent.clone(), self.most_unsent)
    }

    /// Whether commands can be served.
    pub fn can_serve(&self) -> bool {
        let told = self.answered.get() || self.now() - self.started > ALONE_MS;
        told && self.core.borrow().instances() > 0
    }

    /// Lets the core act, then carries out what it wants done.
    pub fn with_core(&self, act: impl FnOnce(&mut Core, f64)) {
        act(&mut self.core.borrow_mut(), self.clock.now());
        self.pump();
    }

    /// Whether an instance may be sent commands right now: asked again just before a command is written, since
    /// the name table may have changed while its connection came up.
    pub fn takes(&self, instance: InstanceId) -> bool {
        self.core.borrow().takes(instance)
    }

    /// Takes a command; `known` hears its number before any answer can come.
    pub fn arrive(
        &self,
        mut command: Command,
        client: Rc<dyn ServiceClient>,
        ticket: u64,
        known: impl FnOnce(CommandId),
    ) {
        let now = self.clock.now();
        let wish = self.plugin.as_ref().map(|plugin| plugin.decide(now, &self.platform, &command));
        let id = match wish {
            Some(Wish::Nack(after_ms)) => self.core.borrow_mut().refuse(after_ms),
            wish => {
                if let Some(Wish::Pass(notes)) = wish.filter(|w| *w != Wish::Pass(Vec::new())) {
                    log::debug!("command {}: {notes:?}", command.id);
                    command.notes = notes;
                }
                self.core.borrow_mut().arrive(now, command)
            }
        };
        self.clients.borrow_mut().insert(id, (client, ticket));
        known(id);
        self.pump();
    }

    /// A service client is gone.
    pub fn client_gone(&self, id: CommandId) {
        self.clients.borrow_mut().remove(&id);
        self.with_core(|core, now| core.client_gone(now, id));
    }

    /// Reads the inventory into the name table and tells the core what changed.
    fn load(&self, inventory: &mut Inventory) -> Result<(), StartError> {
        let loaded = inventory.load(&mut self.table());
        let entries = loaded.map_err(|e| StartError::Inventory(inventory.path().display().to_string(), e))?;
        self.with_core(|core, now| core.names(now, ListKind::Delta, entries));
        // Those that drain are held until the next reading finds them gone from the list before.
        self.table().forget(|id| inventory.dropped(id));
        Ok(())
    }

    /// Follows the name table at this agent from now on; the list held stays until the agent tells another.
    fn follow(self: &Rc<Self>, agent: Option<SocketAddr>) {
        if self.agent.borrow().as_ref().map(|(addr, _)| *addr) == agent {
            return;
        }
        let task = agent.map(|addr| (addr, spawn_local(follow(self.clone(), addr)).abort_handle()));
        if let Some((_, old)) = self.agent.replace(task) {
            old.abort();
        }
    }

    /// Reads the configuration again. Discovery and counter move to what it says; commands and calls under way
    /// are not touched by it. What else has changed there is named, since it takes effect at a restart only.
    fn reload(self: &Rc<Self>, path: &Path, held: &mut Config) {
        let mut config = match Config::read(path) {
            Ok(config) => config,
            Err(e) => return log::error!("EDGE_CONFIG: {e}; the old configuration stays"),
        };
        self.follow(config.discovery);
        self.counter.move_to(self, config.counter);
        let fixed = held.fixed_but_changed(&config);
        if !fixed.is_empty() {
            log::warn!("configuration: {} changed, which takes a restart", fixed.join(", "));
        }
        log::info!(
            "configuration read again: discovery {:?}, counter {:?}",
            config.discovery,
            config.counter
        );
        config.known = serde_json::Value::Null;
        *held = config;
    }

    fn pump(&self) {
        let Some(me) = self.me.upgrade() else { return };
        if self.pumping.replace(true) {
            return;
        }
        loop {
            let effect = self.core.borrow_mut().next_effect();
            match effect {
                Some(Effect::Reply(id, answer)) => {
                    let client = self.clients.borrow_mut().remove(&id);
                    if let Some((client, ticket)) = client {
                        client.answer(ticket, answer);
                    }
                }
                Some(Effect::Start(attempt)) => self.upstream.start(&me, attempt),
                Some(Effect::Abandon(id, attempt)) => self.upstream.abandon(id, attempt),
                Some(Effect::Probe(instance)) => self.upstream.probe(&me, instance),
                Some(Effect::Release(instance)) => self.upstream.release(instance),
                Some(Effect::Count(add)) => self.counter.add(&me, add),
                None => break,
            }
        }
        self.pumping.set(false);
    }

    /// Looks after everything that comes due with time.
    async fn keep_time(self: Rc<Self>) {
        let (mut swept, mut logged) = (self.now(), self.now());
        loop {
            let now = self.now();
            let core = self.core.borrow_mut().next_due();
            let counter = self.counter.next_due();
            let due = core.into_iter().chain(counter).fold(now + LOOK_MS, f64::min);
            tokio::time::sleep_until(self.clock.instant(due).into()).await;
            self.with_core(|core, now| core.tick(now));
            let now = self.now();
            self.counter.expire(&self, now);
            if now - swept > 1000.0 {
                swept = now;
                self.upstream.sweep(now);
            }
            if now - logged > FIGURES_MS {
                logged = now;
                self.log_figures();
            }
        }
    }

    fn log_figures(&self) {
        let core = self.core.borrow();
        log::info!("{:?} owed={} instance links={}", core.tally(), core.owed(), self.upstream.open());
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
        let [term, int, hang_up] =
            [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()].map(signal);
        Ok(Signals { term: term?, int: int?, hang_up: hang_up? })
    }
}

/// Reads again, at each SIGHUP and until the program ends, what an operator may change while it runs.
async fn hear(
    hub: Rc<Hub>,
    mut hang_up: Signal,
    path: PathBuf,
    mut held: Config,
    inventory: Option<Inventory>,
) {
    let mut inventory = inventory;
    while hang_up.recv().await.is_some() {
        hub.reload(&path, &mut held);
        if let Some(inventory) = &mut inventory {
            match hub.load(inventory) {
                Ok(()) => log::info!("inventory read again"),
                Err(e) => log::error!("{e}; the old list stays"),
            }
        }
    }
}

/// Serves until SIGTERM or SIGINT, then drains. `path` is where the configuration came from.
///
/// # Errors
/// What keeps it from starting.
pub async fn run(
    signals: Signals,
    path: PathBuf,
    mut config: Config,
    operator: Operator,
) -> Result<(), StartError> {
    let Signals { mut term, mut int, hang_up } = signals;
    let plugin = operator.plugin.as_ref().map(|p| Plugin::load(p, &operator.folder)).transpose()?;
    let hub = Hub::new(&config, plugin, Clock::system())?;
    if !config.known.is_null() {
        let news = hub.table().take(&config.known)?;
        hub.with_core(|core, now| core.names(now, ListKind::Cached, news.entries));
    }
    let mut inventory = operator.inventory.as_ref().map(|i| Inventory::new(operator.folder.join(&i.file)));
    if let Some(inventory) = &mut inventory {
        hub.load(inventory)?;
    }
    let listener = bind(config.listen).await?;
    let second = match &operator.http2 {
        Some(http2) => Some((bind(http2.listen).await?, Http2Front::new(hub.clone(), http2.limits()))),
        None => None,
    };
    spawn_local(hub.clone().keep_time());
    hub.follow(config.discovery);
    let streams = operator.http2.as_ref().map_or(0, |http2| http2.connections);
    let clients = (config.sockets.saturating_sub(OTHERS) * 3 / 5).saturating_sub(streams).max(16);
    let front = RespFront::new(hub.clone(), clients);
    let mut accepting = vec![spawn_local(front.clone().listen(listener))];
    spawn_local(front.clone().look());
    log::info!("{} listens on {}", config.name, config.listen);
    let second = second.map(|(listener, front)| {
        accepting.push(spawn_local(front.clone().listen(listener)));
        front
    });
    config.known = serde_json::Value::Null;
    spawn_local(hear(hub.clone(), hang_up, path, config, inventory));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    drain(&hub, &front, second.as_ref(), accepting).await;
    Ok(())
}

async fn bind(addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).await.map_err(|e| StartError::Listen(addr, e))
}

/// Finishes what was taken, closes what is idle, and ends in time.
async fn drain(
    hub: &Rc<Hub>,
    front: &Rc<RespFront>,
    second: Option<&Rc<Http2Front>>,
    accepting: Vec<tokio::task::JoinHandle<()>>,
) {
    let connections = || front.connections() + second.map_or(0, |s| s.connections());
    let begun = hub.now();
    log::info!("stopping: {} commands owed, {} clients", hub.core.borrow().owed(), connections());
    tokio::time::sleep_until(hub.clock.instant(begun + ACCEPT_MS).into()).await;
    // The listeners close with their tasks.
    for task in accepting {
        task.abort();
        let _ = task.await;
    }
    front.leave();
    if let Some(second) = second {
        second.leave();
    }
    let longest = hub.platform.module.classes.iter().map(|c| c.deadline * 1e3).fold(0.0, f64::max);
    let last = begun + longest.min(STOP_MS.0) + STOP_MS.1;
    while connections() > 0 && hub.now() < last {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    hub.log_figures();
    log::info!("stopped after {:.0} ms", hub.now() - begun);
}
