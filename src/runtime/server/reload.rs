//! Reload of the configuration on SIGHUP, without effect on requests in flight.
//!
//! 1. The configuration file is read again. Discovery and counter move to the new addresses; other
//!    changed fields are logged, since they take effect at a restart only.
//! 2. The rules are read and compiled on a separate thread ([`RuleReload`]). The serving thread
//!    replaces them when that thread has finished. All SIGHUPs that arrive meanwhile cause one more
//!    run.
//! 3. The inventory is read again, and its changes go to the endpoint registry.
//!
//! The operator's file itself and the plug-in's script are read at the start only.
//!
//! Each file is checked on its own. An invalid file is logged, and the version in force stays.
//! Rules and inventory that come into force are also stored in the group, if there is one, for
//! members that start with an invalid file.

use super::ingress::Ingress;
use super::{inventory, rules};
use crate::config::regular_file::require_regular;
use crate::config::settings::{Config, ConfigError};
use crate::discovery::inventory::Inventory;
use crate::group::Group;
use crate::routing::reload::{Reading, ReloadError, RuleReload};
use crate::routing::{catalog, RuleSource};
use driftgap_group::DocumentKind;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::task::{spawn_local, AbortHandle};

/// Reads the configuration file on the serving thread. At the start it may also be a pipe.
fn read_config(path: &Path) -> Result<Config, ConfigError> {
    require_regular(path).map_err(|e| ConfigError::Read {
        path: path.display().to_string(),
        problem: e.to_string(),
    })?;
    Config::read(path)
}

/// The files to read again at a reload, and the versions to compare them with.
pub(super) struct Reload {
    ingress: Rc<Ingress>,
    /// The configuration that was read last, without its endpoint list. The next one is compared
    /// with it.
    config: Config,
    inventory: Option<Inventory>,
    /// The source of the rules, and the text that is in force at the start.
    rules: Option<(RuleSource, String)>,
    documents: GroupDocuments,
}

impl Reload {
    /// Creates the reload of the files that this ingress was started with.
    pub(super) fn new(
        ingress: Rc<Ingress>,
        config: Config,
        inventory: Option<Inventory>,
        rules: Option<(RuleSource, String)>,
        group: Option<Group>,
    ) -> Reload {
        Reload {
            ingress,
            config,
            inventory,
            rules,
            documents: GroupDocuments {
                group,
                submissions: BTreeMap::new(),
            },
        }
    }

    /// Submits the documents in force to the group, then reloads at each SIGHUP until the process
    /// ends.
    pub(super) async fn run(mut self, mut hang_up: Signal, config_path: PathBuf) {
        if let Some(inventory) = &self.inventory {
            self.documents
                .submit(DocumentKind::Inventory, inventory.accepted_bytes(), true);
        }
        let mut rule_reload = self.rules.take().map(|(source, text)| {
            self.documents
                .submit(DocumentKind::Rules, text.into_bytes(), true);
            RuleReload::new(source, catalog(self.ingress.dispatcher.platform()))
        });
        loop {
            tokio::select! {
                signal = hang_up.recv() => match signal {
                    Some(()) => self.reload_all(&config_path, rule_reload.as_mut()),
                    None => return,
                },
                read = finished(rule_reload.as_mut()) => {
                    self.replace_rules(read, rule_reload.as_mut());
                }
            }
        }
    }

    /// Reads all files again, in the order of the module's documentation.
    fn reload_all(&mut self, config_path: &Path, rule_reload: Option<&mut RuleReload>) {
        self.reload_config(config_path);
        if let Some(rule_reload) = rule_reload {
            rule_reload.request(self.ingress.dispatcher.rules());
        }
        self.reload_inventory();
    }

    fn reload_config(&mut self, path: &Path) {
        let mut config = match read_config(path) {
            Ok(config) => config,
            Err(e) => {
                tracing::error!(error = %e, "EDGE_CONFIG is invalid; the old configuration stays in force");
                return;
            }
        };
        let ingress = &self.ingress;
        ingress.follow_discovery(config.discovery, None);
        ingress.counter.move_to(&ingress.dispatcher, config.counter);
        let restart_fields = self.config.changes_needing_restart(&config);
        if !restart_fields.is_empty() {
            tracing::warn!(
                fields = restart_fields.join(", "),
                "changed fields take effect at the next restart only"
            );
        }
        tracing::info!(
            discovery = config.discovery.map(tracing::field::display),
            counter = config.counter.map(tracing::field::display),
            "configuration reloaded"
        );
        config.last_known_endpoints = serde_json::Value::Null;
        self.config = config;
    }

    /// Puts the result of a reading in force, then starts the reading that was requested meanwhile,
    /// if any.
    fn replace_rules(
        &mut self,
        read: Result<Reading, ReloadError>,
        rule_reload: Option<&mut RuleReload>,
    ) {
        let dispatcher = &self.ingress.dispatcher;
        let in_group = self.documents.group.is_some();
        if let Some(text) = rules::replace(dispatcher, read, in_group) {
            self.documents
                .submit(DocumentKind::Rules, text.into_bytes(), false);
        }
        if let Some(rule_reload) = rule_reload {
            rule_reload.resume(dispatcher.rules());
        }
    }

    fn reload_inventory(&mut self) {
        let Some(inventory) = &mut self.inventory else {
            return;
        };
        match inventory::load(&self.ingress.dispatcher, inventory) {
            Ok(()) => {
                tracing::info!("inventory reloaded");
                let accepted = inventory.accepted_bytes();
                self.documents
                    .submit(DocumentKind::Inventory, accepted, false);
            }
            Err(error) => {
                let path = inventory.path().display().to_string();
                for fault in error.lines() {
                    tracing::error!(path, fault, "inventory is invalid");
                }
                tracing::error!(path, "inventory not reloaded: the old list stays in force");
            }
        }
    }
}

/// Submits documents to the group. A newer document replaces one of its kind whose submission is
/// still running.
struct GroupDocuments {
    group: Option<Group>,
    submissions: BTreeMap<DocumentKind, AbortHandle>,
}

impl GroupDocuments {
    fn submit(&mut self, kind: DocumentKind, bytes: Vec<u8>, at_start: bool) {
        let Some(group) = self.group.clone() else {
            return;
        };
        let task = spawn_local(group.submit_document(kind, bytes, at_start)).abort_handle();
        if let Some(previous) = self.submissions.insert(kind, task) {
            previous.abort();
        }
    }
}

/// Waits for the result of the reading in progress; never completes without rules.
async fn finished(rule_reload: Option<&mut RuleReload>) -> Result<Reading, ReloadError> {
    match rule_reload {
        Some(rule_reload) => rule_reload.finished().await,
        None => std::future::pending().await,
    }
}
