//! `driftgap check`: reads all that `serve` would read and names every fault. It owns the order of reading and
//! nothing else: each part judges its own file. It must never open a socket or change anything.

use crate::config::operator_file::OperatorFile;
use crate::config::settings::{Config, ConfigError};
use crate::config::settings_description;
use crate::decision::driver::DecisionDriver;
use crate::discovery::inventory::Inventory;
use crate::discovery::registry::EndpointRegistry;
use crate::plugin::Plugin;
use crate::routing::Source;
use std::path::Path;

/// What there is to say of the files that `serve` would read, a line each.
#[derive(Default)]
pub struct Findings {
    /// Every fault; empty: it would start, if its addresses are free.
    pub faults: Vec<String>,
    /// Keys of the settings that nobody here knows.
    pub unknown: Vec<String>,
    /// What the settings mean.
    pub words: Vec<String>,
}

/// Reads all that `serve` would read.
pub fn look(config: Option<&Path>, operator: Option<&Path>) -> Findings {
    let text = config.map(Config::text);
    let config = text.as_ref().map(|text| {
        text.as_ref()
            .map_err(Clone::clone)
            .and_then(|t| Config::parse(t))
    });
    let mut findings = Findings::default();
    if let (Some(Ok(text)), Some(Ok(config))) = (&text, &config) {
        let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
        findings.unknown = value
            .get("settings")
            .map_or(Vec::new(), settings_description::unknown);
        findings.words = settings_description::words(&config.platform);
    }
    findings.faults = faults(config, operator);
    findings
}

fn faults(config: Option<Result<Config, ConfigError>>, operator: Option<&Path>) -> Vec<String> {
    let mut faults = Vec::new();
    let mut note = |place: &str, problem: &dyn std::fmt::Display| {
        faults.push(format!(
            "{place}: {}",
            problem.to_string().replace('\n', " ")
        ));
    };
    let config = match config {
        None => {
            note("EDGE_CONFIG", &"not set");
            None
        }
        Some(Err(e)) => {
            note("EDGE_CONFIG", &e);
            None
        }
        Some(Ok(config)) => Some(config),
    };
    let zones = config
        .as_ref()
        .map_or(Vec::new(), |config| config.platform.zones.clone());
    let mut table = EndpointRegistry::new(zones);
    if let Some(config) = &config {
        if let Err(e) = DecisionDriver::new(config.platform.decision.clone(), config.seed) {
            note("EDGE_CONFIG: settings", &e);
        }
        if !config.known.is_null() {
            if let Err(e) = table.take(&config.known) {
                note("EDGE_CONFIG: known", &e);
            }
        }
    }
    let Some(path) = operator else { return faults };
    let operator = match OperatorFile::read(path) {
        Ok(operator) => operator,
        Err(e) => {
            note(&path.display().to_string(), &e);
            return faults;
        }
    };
    if let Some(plugin) = &operator.plugin {
        if let Err(e) = Plugin::load(plugin, &operator.folder) {
            note("plugin", &e);
        }
    }
    if let (Some(group), Some(config)) = (&operator.group, &config) {
        if let Err(e) = group.judge_for(&config.name) {
            note(&path.display().to_string(), &e);
        }
    }
    if let Some(config) = &config {
        let rules =
            Source::of(&operator, config.memory_mb).map(|rules| rules.read(&config.platform));
        for fault in rules.and_then(Result::err).unwrap_or_default() {
            note("routes", &fault);
        }
    }
    // Without the settings no zone is known, and each would seem wrong.
    if let (Some(inventory), Some(_)) = (&operator.inventory, &config) {
        let mut inventory = Inventory::new(inventory.clone(), &operator.folder);
        if let Err(e) = inventory.load(&mut table, 0.0) {
            for line in e.lines() {
                note(&format!("inventory {}", inventory.path().display()), &line);
            }
        }
    }
    faults
}
