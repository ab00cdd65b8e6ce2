//! Start-up: reads all files, then binds the listeners, then accepts clients. A fault in a file is
//! found before the first client can connect.

use super::descriptors::DescriptorBudget;
use super::ingress::Ingress;
use super::listeners::{bind, client_listener, ListenError};
use super::reload::Reload;
use super::shutdown::Frontends;
use super::{inventory, rules, timers};
use crate::admin::server::{AdminServer, ExclusionStore};
use crate::config::operator_file::OperatorFile;
use crate::config::settings::Config;
use crate::decision::ListKind;
use crate::discovery::inventory::{Inventory, InventoryError};
use crate::frontend::http2::Http2Frontend;
use crate::frontend::resp::RespFrontend;
use crate::group::{self, Group, GroupError, View};
use crate::plugin::{Plugin, PluginError};
use crate::routing::{RuleSource, RULE_MEMORY_SHARE};
use crate::runtime::clock::Clock;
use crate::runtime::dispatcher::Dispatcher;
use crate::runtime::process_takeover::ProcessTakeover;
use socket2::Socket;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Fraction of the memory limit that one process may use where a second process may run at the same
/// time: the limit holds for both together.
const SHARED_MEMORY_FRACTION: f64 = 0.6;

/// The cause that keeps the process from starting, as one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The decision module rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] crate::decision::SettingsError),
    /// The endpoint list in `known` is invalid.
    #[error("known: {0}")]
    Known(#[from] crate::discovery::registry::InvalidEndpointList),
    /// An address cannot be listened on.
    #[error("{0}")]
    Listen(#[from] ListenError),
    /// The inventory is invalid; the values are the path of the file and its faults.
    #[error("inventory {0}: {1}")]
    Inventory(String, InventoryError),
    /// The plug-in cannot be loaded.
    #[error("plugin: the script cannot be loaded: {0}")]
    Plugin(#[from] PluginError),
    /// The group's folder or address cannot be used.
    #[error("{0}")]
    Group(#[from] GroupError),
    /// The rules are invalid; the value is the first error.
    #[error("routes: the rules cannot be used: {0}")]
    Routes(String),
}

/// The components that run after the start.
pub(super) struct Started {
    pub(super) ingress: Rc<Ingress>,
    pub(super) frontends: Frontends,
    /// Handles SIGHUP once it is run.
    pub(super) reload: Reload,
    pub(super) group: Option<Group>,
}

/// Starts the ingress. `client_socket` is the inherited listening socket, if the platform passes
/// one.
///
/// # Errors
/// Returns the first fault in a file, or the address that cannot be listened on.
pub(super) async fn start(
    mut config: Config,
    operator: OperatorFile,
    client_socket: Option<Socket>,
) -> Result<Started, StartError> {
    let inherited = client_socket.is_some();
    let memory_mb = process_memory_mb(&config, inherited);
    let rule_source = RuleSource::of(&operator, memory_mb);
    let dispatcher = new_dispatcher(&config, &operator, memory_mb, rule_source.is_some())?;
    let http2_connections = operator.http2.as_ref().map_or(0, |http2| http2.connections);
    let budget = DescriptorBudget::new(&config, http2_connections);
    let ingress = Ingress::new(&config, dispatcher.clone(), budget.endpoints);
    let takeover = open_takeover(&config, inherited);
    if let Some(takeover) = &takeover {
        dispatcher.take_over(takeover.read().unwrap_or_default());
        dispatcher.share_request_ids(takeover.request_ids());
        takeover.wait_for_peers().await;
    }
    let known_version = load_known_list(&dispatcher, &config)?;
    let group = join_group(&dispatcher, &config, &operator)?;
    let rules = load_rules(&dispatcher, rule_source, group.as_ref()).await?;
    let inventory = load_inventory(&dispatcher, &operator, group.as_ref()).await?;

    let client_listener = client_listener(config.listen, client_socket)?;
    let store = takeover.clone().map(|t| t as Rc<dyn ExclusionStore>);
    serve_admin(&dispatcher, &config, store, group.clone())?;
    let http2 = open_http2(&dispatcher, &operator, inherited)?;
    spawn_local(timers::run(ingress.clone()));
    ingress.follow_discovery(config.discovery, known_version);
    let resp = RespFrontend::new(dispatcher.clone(), budget.clients);
    if let Some(takeover) = takeover {
        share_descriptors(takeover, &ingress, &resp, budget);
    }
    let mut frontends = Frontends::serve_resp(resp, client_listener, inherited);
    tracing::info!(name = config.name, address = %config.listen, "accepting RESP clients");
    if let Some(http2) = http2 {
        frontends.serve_http2(http2);
    }
    // The list is in the registry now; it may be large.
    config.last_known_endpoints = serde_json::Value::Null;
    Ok(Started {
        reload: Reload::new(ingress.clone(), config, inventory, rules, group.clone()),
        ingress,
        frontends,
        group,
    })
}

/// Returns the memory from which limits are computed, MB.
fn process_memory_mb(config: &Config, inherited: bool) -> f64 {
    config.memory_mb
        * if inherited {
            SHARED_MEMORY_FRACTION
        } else {
            1.0
        }
}

fn new_dispatcher(
    config: &Config,
    operator: &OperatorFile,
    memory_mb: f64,
    has_rules: bool,
) -> Result<Rc<Dispatcher>, StartError> {
    let plugin = match &operator.plugin {
        Some(settings) => Some(Plugin::load(settings, &operator.folder)?),
        None => None,
    };
    let rules_mb = if has_rules {
        memory_mb * RULE_MEMORY_SHARE
    } else {
        0.0
    };
    let in_group = operator.group.is_some();
    let requests_mb = memory_mb - rules_mb;
    let dispatcher = Dispatcher::new(config, requests_mb, plugin, Clock::system(), in_group)?;
    Ok(dispatcher)
}

/// Opens the state that other processes of this ingress share, if there may be any. A failure is
/// logged and does not prevent the start: exclusions are then lost with this process.
fn open_takeover(config: &Config, inherited: bool) -> Option<Rc<ProcessTakeover>> {
    config.operator.filter(|_| inherited)?;
    let Some(base) = std::env::var_os("TMPDIR") else {
        tracing::warn!("TMPDIR is not set: exclusions will be lost when this process ends");
        return None;
    };
    match ProcessTakeover::open(Path::new(&base), &config.name) {
        Ok(takeover) => Some(Rc::new(takeover)),
        Err(e) => {
            tracing::error!(error = %e, "TMPDIR cannot be used: exclusions will be lost when this process ends");
            None
        }
    }
}

/// Puts the endpoint list of the configuration in force, as a list that may be out of date. Returns
/// its version unless it is empty.
fn load_known_list(dispatcher: &Dispatcher, config: &Config) -> Result<Option<u64>, StartError> {
    if config.last_known_endpoints.is_null() {
        return Ok(None);
    }
    let update = dispatcher
        .registry()
        .apply_list(&config.last_known_endpoints)?;
    let version = (!update.entries.is_empty()).then_some(update.version);
    dispatcher.update_endpoints(ListKind::Cached, update.entries);
    Ok(version)
}

fn join_group(
    dispatcher: &Rc<Dispatcher>,
    config: &Config,
    operator: &OperatorFile,
) -> Result<Option<Group>, StartError> {
    let Some(settings) = &operator.group else {
        return Ok(None);
    };
    let group = group::start(settings, &operator.folder, &config.name)?;
    spawn_local(apply_group_exclusions(dispatcher.clone(), group.view()));
    Ok(Some(group))
}

/// Puts the group's exclusions in force, now and after each change.
async fn apply_group_exclusions(dispatcher: Rc<Dispatcher>, mut view: watch::Receiver<View>) {
    loop {
        let excluded = view.borrow_and_update().excluded.clone();
        dispatcher.set_group_exclusions(excluded);
        if view.changed().await.is_err() {
            // The group's thread has ended: the last exclusions stay in force.
            return;
        }
    }
}

/// Loads the rules. Returns their source and the text in force, or `None` without rules.
async fn load_rules(
    dispatcher: &Dispatcher,
    source: Option<RuleSource>,
    group: Option<&Group>,
) -> Result<Option<(RuleSource, String)>, StartError> {
    let Some(source) = source else {
        return Ok(None);
    };
    let text = rules::load_at_start(dispatcher, &source, group).await?;
    Ok(Some((source, text)))
}

async fn load_inventory(
    dispatcher: &Dispatcher,
    operator: &OperatorFile,
    group: Option<&Group>,
) -> Result<Option<Inventory>, StartError> {
    let Some(settings) = operator.inventory.clone() else {
        return Ok(None);
    };
    let mut inventory = Inventory::new(settings, &operator.folder);
    inventory::load_at_start(dispatcher, &mut inventory, group).await?;
    Ok(Some(inventory))
}

/// Starts to answer operators' calls, if the configuration has an address for them.
fn serve_admin(
    dispatcher: &Rc<Dispatcher>,
    config: &Config,
    store: Option<Rc<dyn ExclusionStore>>,
    group: Option<Group>,
) -> Result<(), ListenError> {
    let Some(address) = config.operator else {
        return Ok(());
    };
    let listener = bind(address, false).map_err(|e| ListenError::Admin(address, e))?;
    let admin = AdminServer::new(dispatcher.clone(), store, group);
    spawn_local(admin.listen(listener));
    tracing::info!(%address, "accepting operators' calls");
    Ok(())
}

/// Opens the HTTP/2 frontend and its listener, if the operator's file has settings for HTTP/2. The
/// platform passes no socket for HTTP/2: two processes share the port, each with a queue of its
/// own.
fn open_http2(
    dispatcher: &Rc<Dispatcher>,
    operator: &OperatorFile,
    share_port: bool,
) -> Result<Option<(Rc<Http2Frontend>, TcpListener)>, ListenError> {
    let Some(settings) = &operator.http2 else {
        return Ok(None);
    };
    let listener =
        bind(settings.listen, share_port).map_err(|e| ListenError::Clients(settings.listen, e))?;
    let frontend = Http2Frontend::new(dispatcher.clone(), settings.limits());
    Ok(Some((frontend, listener)))
}

/// Limits this process to half of the descriptors while another process of this ingress runs.
fn share_descriptors(
    takeover: Rc<ProcessTakeover>,
    ingress: &Ingress,
    resp: &Rc<RespFrontend>,
    budget: DescriptorBudget,
) {
    let (upstream, resp) = (ingress.upstream.clone(), resp.clone());
    let share = move |peer_runs: bool| {
        let budget = if peer_runs { budget.halved() } else { budget };
        upstream.set_budget(budget.endpoints);
        resp.set_budget(budget.clients);
    };
    let peer_runs = takeover.peer_runs();
    share(peer_runs);
    spawn_local(takeover.watch(ingress.dispatcher.clone(), peer_runs, share));
}
