//! The settings of an ingress that runs on sockets: those of the decision module and others.

use super::decision_settings::decision_settings;
use super::json_field::JsonField;
use super::ConfigError;
use crate::decision::Settings;

/// Default idle time after which an endpoint closes a connection, s.
const DEFAULT_IDLE_CLOSE_S: f64 = 10.0;
/// Default time limit of a connect, s.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// Default time limit of a counter call, s.
const DEFAULT_COUNTER_TIMEOUT_S: f64 = 0.08;
/// Upper bound of the time limit of a counter call, s, since requests wait for it.
const MAX_COUNTER_TIMEOUT_S: f64 = 60.0;
/// Default limit of requests in flight.
const DEFAULT_MAX_IN_FLIGHT_REQUESTS: f64 = 20_000.0;
/// Upper bound of limits; a larger one is a mistake in the settings.
const MAX_LIMIT: f64 = 1e6;

/// The settings of an ingress that runs on sockets. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// The settings of the decision module.
    pub decision: Settings,
    /// Class names, by index.
    pub classes: Vec<String>,
    /// Plan names, by index.
    pub plans: Vec<String>,
    /// Zone names, by index.
    pub zones: Vec<String>,
    /// Column names of a load report.
    pub columns: Vec<String>,
    /// Idle time after which an endpoint closes a connection, ms; 10,000 by default.
    pub endpoint_idle_close_ms: f64,
    /// Time limit of a connect, ms; 250 by default.
    pub connect_timeout_ms: f64,
    /// Time limit of a counter call, ms; 80 by default.
    pub counter_timeout_ms: f64,
    /// Limit of requests in flight; 20,000 by default.
    pub max_in_flight_requests: usize,
}

impl Platform {
    /// Parses the settings object.
    pub(super) fn read(root: &JsonField) -> Result<Platform, ConfigError> {
        let counter_timeout_s = counter_timeout_s(root)?;
        let limit = |key: &str, default: f64| limit(root, key, default);
        Ok(Platform {
            decision: decision_settings(root)?,
            classes: names(&root.require("request_classes")?)?,
            plans: names(&root.require("plans")?)?,
            zones: strings(root.get("zones"))?,
            columns: strings(root.get("report").and_then(|report| report.get("columns")))?,
            endpoint_idle_close_ms: 1e3 * limit("conn_idle", DEFAULT_IDLE_CLOSE_S)?,
            connect_timeout_ms: 1e3 * limit("dial_timeout", DEFAULT_CONNECT_TIMEOUT_S)?,
            counter_timeout_ms: 1e3 * counter_timeout_s,
            max_in_flight_requests: limit("most_held", DEFAULT_MAX_IN_FLIGHT_REQUESTS)? as usize,
        })
    }
}

fn counter_timeout_s(root: &JsonField) -> Result<f64, ConfigError> {
    let timeout_s = root
        .get("family_info")
        .map_or(Ok(DEFAULT_COUNTER_TIMEOUT_S), |family_info| {
            family_info.number_or("count_wait", DEFAULT_COUNTER_TIMEOUT_S)
        })?;
    if !(0.0..=MAX_COUNTER_TIMEOUT_S).contains(&timeout_s) {
        return Err(ConfigError::Unexpected {
            field: "family_info.count_wait".into(),
            expected: "from 0 to 60",
        });
    }
    Ok(timeout_s)
}

/// A value of the `limits` object, which must be above 0.
fn limit(root: &JsonField, key: &str, default: f64) -> Result<f64, ConfigError> {
    let Some(limits) = root.get("limits") else {
        return Ok(default);
    };
    let limit = limits.number_or(key, default)?;
    if !(limit > 0.0 && limit <= MAX_LIMIT) {
        return Err(ConfigError::Unexpected {
            field: format!("limits.{key}"),
            expected: "above 0 and up to 1000000",
        });
    }
    Ok(limit)
}

/// The `name` of each item of a list.
fn names(list: &JsonField) -> Result<Vec<String>, ConfigError> {
    let items = list.items()?;
    items
        .iter()
        .map(|item| Ok(item.require("name")?.text()?.to_string()))
        .collect()
}

fn strings(list: Option<JsonField>) -> Result<Vec<String>, ConfigError> {
    list.map_or(Ok(Vec::new()), |list| list.strings())
}
