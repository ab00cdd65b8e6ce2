//! What an ingress on sockets needs of the settings object beside the decision module's part.

use super::decision_settings::decision_settings;
use super::json_field::JsonField;
use super::ConfigError;
use crate::decision::Settings;

/// An endpoint closes a connection that was idle this long, where the settings do not say, s.
const DEFAULT_IDLE_CLOSE_S: f64 = 10.0;
/// A connection that is not up by then has failed, where the settings do not say, s.
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
/// A counter call without an answer by then has timed out, where the settings do not say, s.
const DEFAULT_COUNTER_TIMEOUT_S: f64 = 0.08;
/// Longest time-out of a counter call, s: a request waits for it.
const MAX_COUNTER_TIMEOUT_S: f64 = 60.0;
/// Most requests in flight, where the settings do not say.
const DEFAULT_MAX_IN_FLIGHT_REQUESTS: f64 = 20_000.0;
/// Highest value of a limit: more is a mistake in the settings.
const MAX_LIMIT: f64 = 1e6;

/// What an ingress on sockets needs of the settings beside the decision module's part. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// The decision module's part.
    pub decision: Settings,
    /// Class names, by index.
    pub classes: Vec<String>,
    /// Plan names, by index.
    pub plans: Vec<String>,
    /// Zone names, by index.
    pub zones: Vec<String>,
    /// Names in a load report, by column.
    pub columns: Vec<String>,
    /// An endpoint closes a connection that was idle this long, ms; 10,000 by default.
    pub endpoint_idle_close_ms: f64,
    /// A connection that is not up by then has failed, ms; 250 by default.
    pub connect_timeout_ms: f64,
    /// A counter call without an answer by then has timed out, ms; 80 by default.
    pub counter_timeout_ms: f64,
    /// Most requests in flight at once; 20,000 by default.
    pub max_in_flight_requests: usize,
}

impl Platform {
    /// The settings object.
    pub(super) fn read(root: &JsonField) -> Result<Platform, ConfigError> {
        let counter_timeout_s = counter_timeout_s(root)?;
        let limit = |key: &str, absent: f64| limit(root, key, absent);
        Ok(Platform {
            decision: decision_settings(root)?,
            classes: names(&root.require("request_classes")?)?,
            plans: names(&root.require("plans")?)?,
            zones: texts(root.get("zones"))?,
            columns: texts(root.get("report").and_then(|report| report.get("columns")))?,
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

/// One of the limits: above 0.
fn limit(root: &JsonField, key: &str, absent: f64) -> Result<f64, ConfigError> {
    let Some(limits) = root.get("limits") else {
        return Ok(absent);
    };
    let limit = limits.number_or(key, absent)?;
    if !(limit > 0.0 && limit <= MAX_LIMIT) {
        return Err(ConfigError::Unexpected {
            field: format!("limits.{key}"),
            expected: "above 0 and up to 1000000",
        });
    }
    Ok(limit)
}

/// The names of a list's items.
fn names(list: &JsonField) -> Result<Vec<String>, ConfigError> {
    let items = list.items()?;
    items
        .iter()
        .map(|item| Ok(item.require("name")?.text()?.to_string()))
        .collect()
}

fn texts(list: Option<JsonField>) -> Result<Vec<String>, ConfigError> {
    list.map_or(Ok(Vec::new()), |list| list.texts())
}
