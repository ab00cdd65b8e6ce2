//! `driftgap check`: validates every file that `serve` reads, and reports every fault.
//!
//! The parser of each file validates it; this module calls them in order. It opens no socket and
//! changes nothing.

use crate::config::operator_file::OperatorFile;
use crate::config::settings::{Config, ConfigError};
use crate::config::settings_description;
use crate::decision::driver::DecisionDriver;
use crate::discovery::inventory::Inventory;
use crate::discovery::registry::EndpointRegistry;
use crate::plugin::Plugin;
use crate::routing::RuleSource;
use std::fmt::Display;
use std::path::Path;

/// The result of the check, as lines of text.
#[derive(Default)]
pub struct Findings {
    /// All faults. If empty, the program can start, provided that its addresses are free.
    pub faults: Vec<String>,
    /// Unknown keys of the settings, which are ignored.
    pub unknown: Vec<String>,
    /// Description of the settings.
    pub description: Vec<String>,
}

/// Reads and validates the platform's configuration at `config`, the operator's file at `operator`,
/// and the files that it names.
pub fn read_all(config: Option<&Path>, operator: Option<&Path>) -> Findings {
    let mut findings = Findings::default();
    let mut faults = Faults::default();
    let config = match config {
        None => {
            faults.add("EDGE_CONFIG", "not set");
            None
        }
        Some(path) => read_config(path, &mut findings)
            .map_err(|e| faults.add("EDGE_CONFIG", e))
            .ok(),
    };
    let zones = config
        .as_ref()
        .map_or(Vec::new(), |config| config.platform.zones.clone());
    let mut registry = EndpointRegistry::new(zones);
    if let Some(config) = &config {
        check_config(config, &mut registry, &mut faults);
    }
    if let Some(path) = operator {
        check_operator_file(path, config.as_ref(), &mut registry, &mut faults);
    }
    findings.faults = faults.0;
    findings
}

/// Faults, one line for each.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    fn add(&mut self, place: impl Display, problem: impl Display) {
        let problem = problem.to_string().replace('\n', " ");
        self.0.push(format!("{place}: {problem}"));
    }
}

fn read_config(path: &Path, findings: &mut Findings) -> Result<Config, ConfigError> {
    let text = Config::text(path)?;
    let config = Config::parse(&text)?;
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    findings.unknown = value
        .get("settings")
        .map_or(Vec::new(), settings_description::unknown);
    findings.description = settings_description::describe(&config.platform);
    Ok(config)
}

fn check_config(config: &Config, registry: &mut EndpointRegistry, faults: &mut Faults) {
    if let Err(e) = DecisionDriver::new(config.platform.decision.clone(), config.seed) {
        faults.add("EDGE_CONFIG: settings", e);
    }
    if config.last_known_endpoints.is_null() {
        return;
    }
    if let Err(e) = registry.apply_list(&config.last_known_endpoints) {
        faults.add("EDGE_CONFIG: known", e);
    }
}

fn check_operator_file(
    path: &Path,
    config: Option<&Config>,
    registry: &mut EndpointRegistry,
    faults: &mut Faults,
) {
    let operator = match OperatorFile::read(path) {
        Ok(operator) => operator,
        Err(e) => return faults.add(path.display(), e),
    };
    if let Some(plugin) = &operator.plugin {
        if let Err(e) = Plugin::load(plugin, &operator.folder) {
            faults.add("plugin", e);
        }
    }
    // The rest depends on the zones and classes of the configuration; without them, all of it would
    // be reported as faulty.
    let Some(config) = config else {
        return;
    };
    if let Some(group) = &operator.group {
        if let Err(e) = group.validate_for(&config.name) {
            faults.add(path.display(), e);
        }
    }
    check_rules(&operator, config, faults);
    check_inventory(&operator, registry, faults);
}

fn check_rules(operator: &OperatorFile, config: &Config, faults: &mut Faults) {
    let Some(source) = RuleSource::of(operator, config.memory_mb) else {
        return;
    };
    let read = source.read(&config.platform);
    for fault in read.err().unwrap_or_default() {
        faults.add("routes", fault);
    }
}

fn check_inventory(operator: &OperatorFile, registry: &mut EndpointRegistry, faults: &mut Faults) {
    let Some(settings) = &operator.inventory else {
        return;
    };
    let mut inventory = Inventory::new(settings.clone(), &operator.folder);
    if let Err(e) = inventory.load(registry, 0.0) {
        let place = format!("inventory {}", inventory.path().display());
        for line in e.lines() {
            faults.add(&place, line);
        }
    }
}
