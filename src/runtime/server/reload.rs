//! How a new configuration comes into force: on each SIGHUP, and without touching requests under way.
//!
//! 1. The configuration file is read again. Discovery and counter move to the new addresses; other changed fields are
//!    logged, since they take effect at a restart only.
//! 2. The rules are read and compiled by a thread of their own ([`RuleReload`]). When it has finished, the serving
//!    thread exchanges them; SIGHUPs during a reading lead to one more reading.
//! 3. The inventory is read again, and its changes go to the endpoint registry.
//!
//! The operator's file itself and the plug-in's script are read at the start only.
//!
//! Each file is judged by itself: a wrong one is logged, and what it would replace stays in force. Rules and
//! inventory that are in force are handed to the group, where there is one.

use super::ingress::Ingress;
use super::{inventory, rules};
use crate::config::settings::Config;
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

/// Everything that a reload reads again or compares with.
pub(super) struct Reload {
    ingress: Rc<Ingress>,
    /// The configuration file as it was read last, without its endpoint list: the next one is compared with it.
    config: Config,
    inventory: Option<Inventory>,
    /// Where rules come from, with the text that is in force at the start.
    rules: Option<(RuleSource, String)>,
    documents: GroupDocuments,
}

impl Reload {
    /// Reloads what this ingress was started with.
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

    /// Hands what is in force to the group, then reloads at each SIGHUP until the process ends.
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

    /// Reads everything again, in the order of the module's comment.
    fn reload_all(&mut self, config_path: &Path, rule_reload: Option<&mut RuleReload>) {
        self.reload_config(config_path);
        if let Some(rule_reload) = rule_reload {
            rule_reload.request(self.ingress.dispatcher.rules());
        }
        self.reload_inventory();
    }

    fn reload_config(&mut self, path: &Path) {
        let mut config = match Config::read(path) {
            Ok(config) => config,
            Err(e) => {
                tracing::error!(error = %e, "EDGE_CONFIG makes no sense; the old configuration stays");
                return;
            }
        };
        let ingress = &self.ingress;
        ingress.follow_discovery(config.discovery, None);
        ingress.counter.move_to(&ingress.dispatcher, config.counter);
        let fixed = self.config.changes_needing_restart(&config);
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
        config.last_known_endpoints = serde_json::Value::Null;
        self.config = config;
    }

    /// Puts the rules in force that a reading has brought, then begins the reading that was asked for meanwhile.
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
                tracing::info!("inventory read again");
                let accepted = inventory.accepted_bytes();
                self.documents
                    .submit(DocumentKind::Inventory, accepted, false);
            }
            Err(error) => {
                let path = inventory.path().display().to_string();
                for fault in error.lines() {
                    tracing::error!(path, fault, "inventory");
                }
                tracing::error!(path, "the old list stays");
            }
        }
    }
}

/// Hands documents to the group: of each kind only the latest, which replaces one that is still being handed over.
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

/// Waits for the reading of rules that is under way; forever without one.
async fn finished(rule_reload: Option<&mut RuleReload>) -> Result<Reading, ReloadError> {
    match rule_reload {
        Some(rule_reload) => rule_reload.finished().await,
        None => std::future::pending().await,
    }
}
