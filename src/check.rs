//! `driftgap check`: reads all that `serve` would read and names every fault. It owns the order of reading and
//! nothing else: each part judges its own file. It must never open a socket or change anything.

use crate::facade::Facade;
use crate::inventory::Inventory;
use crate::meaning;
use crate::name_table::NameTable;
use crate::operator::Operator;
use crate::plugin::Plugin;
use crate::routing::Source;
use crate::settings::Config;
use std::path::Path;

/// What an operator should know of a configuration that `serve` would take: keys that nobody here knows, and what
/// the settings mean.
pub fn notes(config: Option<&Path>) -> (Vec<String>, Vec<String>) {
    let text = config.and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let unknown = value.get("settings").map_or(Vec::new(), meaning::unknown);
    let words = Config::parse(&text).map_or(Vec::new(), |config| meaning::words(&config.platform));
    (unknown, words)
}

/// Every fault of the files that `serve` would read, a line each; empty: it would start, if its addresses are
/// free.
pub fn faults(config: Option<&Path>, operator: Option<&Path>) -> Vec<String> {
    let mut faults = Vec::new();
    let mut note = |place: &str, problem: &dyn std::fmt::Display| {
        faults.push(format!("{place}: {}", problem.to_string().replace('\n', " ")));
    };
    let config = match config.map(Config::read) {
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
    let zones = config.as_ref().map_or(Vec::new(), |config| config.platform.zones.clone());
    let mut table = NameTable::new(zones);
    if let Some(config) = &config {
        if let Err(e) = Facade::new(config.platform.module.clone(), config.seed) {
            note("EDGE_CONFIG: settings", &e);
        }
        if !config.known.is_null() {
            if let Err(e) = table.take(&config.known) {
                note("EDGE_CONFIG: known", &e);
            }
        }
    }
    let Some(path) = operator else { return faults };
    let operator = match Operator::read(path) {
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
    if let (Some(rules), Some(config)) = (Source::of(&operator), &config) {
        for fault in rules.read(&config.platform).err().unwrap_or_default() {
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
