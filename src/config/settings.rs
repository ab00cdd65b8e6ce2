//! The one parser of the settings object: the simulator's first message and the platform's `EDGE_CONFIG`
//! carry the same one. It owns the names and units of that object and the messages on what is wrong with
//! it. It must never decide anything, fill in what is required, or read anything but the file it is given.

use crate::decision::{Class, DeduplicationScope, Idempotency, LoadReportField, Plan, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Settings that cannot be used; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConfigError(pub String);

type Res<T> = Result<T, ConfigError>;

fn wrong<T>(text: String) -> Res<T> {
    Err(ConfigError(text))
}

/// A place in the settings, for messages.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn get(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        let dot = if self.path.is_empty() { "" } else { "." };
        Some(At {
            value,
            path: format!("{}{dot}{key}", self.path),
        })
    }
    fn need(&self, key: &str) -> Res<At<'a>> {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.get(key)
            .ok_or_else(|| ConfigError(format!("settings: {}{dot}{key} is missing", self.path)))
    }
    fn number(&self) -> Res<f64> {
        self.value
            .as_f64()
            .ok_or_else(|| ConfigError(format!("settings: {} is not a number", self.path)))
    }
    /// A whole number, 0 or more: -1 or 2.5 of something countable is a mistake, not a 0 or a 2.
    fn whole(&self) -> Res<u32> {
        let number = self.number()?;
        if !(0.0..=1e6).contains(&number) || number.fract() != 0.0 {
            return wrong(format!(
                "settings: {} is not a whole number from 0 to 1000000",
                self.path
            ));
        }
        Ok(number as u32)
    }
    fn text(&self) -> Res<&'a str> {
        self.value
            .as_str()
            .ok_or_else(|| ConfigError(format!("settings: {} is not a text", self.path)))
    }
    fn flag(&self) -> Res<bool> {
        self.value
            .as_bool()
            .ok_or_else(|| ConfigError(format!("settings: {} is not true or false", self.path)))
    }
    fn items(&self) -> Res<Vec<At<'a>>> {
        let list = self
            .value
            .as_array()
            .ok_or_else(|| ConfigError(format!("settings: {} is not a list", self.path)))?;
        let item = |(i, value)| At {
            value,
            path: format!("{}[{i}]", self.path),
        };
        Ok(list.iter().enumerate().map(item).collect())
    }
    fn number_or(&self, key: &str, absent: f64) -> Res<f64> {
        self.get(key).map_or(Ok(absent), |at| at.number())
    }
    fn whole_or(&self, key: &str, absent: u32) -> Res<u32> {
        self.get(key).map_or(Ok(absent), |at| at.whole())
    }
    fn flag_or(&self, key: &str, absent: bool) -> Res<bool> {
        self.get(key).map_or(Ok(absent), |at| at.flag())
    }
}

fn class(at: &At) -> Res<Class> {
    let effect = at.need("effect")?;
    let group = at.get("group").map_or(Ok("all"), |g| g.text())?;
    Ok(Class {
        latency_objective: at.need("aim")?.number()?,
        deadline: at.need("deadline")?.number()?,
        idempotency: match effect.text()? {
            "pure" => Idempotency::Safe,
            "token" => Idempotency::Keyed,
            "side_effect" => Idempotency::Unsafe,
            other => return wrong(format!("settings: {}: unknown effect {other}", effect.path)),
        },
        deduplication_scope: match group {
            "all" => DeduplicationScope::All,
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            other => {
                return wrong(format!(
                    "settings: {}.group: unknown group {other}",
                    at.path
                ))
            }
        },
        idempotency_window: at.number_or("window", 0.0)?,
        late_share: at.number_or("late_share", 0.0)?,
        priority_weight: at.number_or("credit", 1.0)?,
    })
}

fn plan(at: &At) -> Res<Plan> {
    Ok(Plan {
        rate: at.number_or("units_per_s", 0.0)?,
        burst: at.number_or("store_size", 0.0)?,
        at_once: at.whole_or("at_once", 0)?,
        excess_worth: at.number_or("excess_worth", 0.0)?,
        over_cost: at.number_or("over_cost", 0.0)?,
        ceiling_rate: at.number_or("never_over_rate", 0.0)?,
        ceiling_burst: at.number_or("ceiling_burst", 0.0)?,
    })
}

fn field(at: &At) -> Res<LoadReportField> {
    Ok(match at.text()? {
        "rif" => LoadReportField::InFlight,
        "q" => LoadReportField::Queue,
        "busy" => LoadReportField::Utilization,
        "lat_ms" => LoadReportField::LatencyMs,
        _ => LoadReportField::Other,
    })
}

/// Settings from the JSON text of a fresh endpoint.
///
/// # Errors
/// The field that is missing or makes no sense.
pub fn settings(text: &str) -> Res<Settings> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| ConfigError(format!("settings: not JSON: {e}")))?;
    module(&At {
        value: &value,
        path: String::new(),
    })
}

/// The module's part of the settings object.
fn module(root: &At) -> Res<Settings> {
    let empty = Value::Object(serde_json::Map::new());
    let part = |key: &str| {
        root.get(key).unwrap_or_else(|| At {
            value: &empty,
            path: key.to_string(),
        })
    };
    let (limits, rules, info, report) = (
        part("limits"),
        part("rules"),
        part("family_info"),
        part("report"),
    );
    let columns = report
        .get("columns")
        .map_or(Ok(Vec::new()), |c| c.items())?;
    Ok(Settings {
        ingresses: root.need("balancers")?.whole()?,
        position: root.whole_or("position", 0)?,
        zone: root.whole_or("my_zone", 0)?,
        classes: root
            .need("request_classes")?
            .items()?
            .iter()
            .map(class)
            .collect::<Res<_>>()?,
        plans: root
            .need("plans")?
            .items()?
            .iter()
            .map(plan)
            .collect::<Res<_>>()?,
        report: columns.iter().map(field).collect::<Res<_>>()?,
        report_by_probe: report.get("how").map_or(Ok(""), |h| h.text())? == "probe",
        list_on_request: root.get("discovery").map_or(Ok(""), |d| d.text())? == "subscribe",
        probes_allowed: limits.flag_or("probes", false)?,
        cancellation_allowed: limits.flag_or("may_cancel", false)?,
        hedging: limits.flag_or("parallel_tries", false)?,
        counter: info.flag_or("counter", false)?,
        counter_timeout: info.number_or("count_wait", 0.0)?,
        settles_units_later: info.flag_or("cost_after", false)?,
        max_units: info.number_or("most_units", 1.0)?,
        max_attempts: limits.whole_or("most_tries", 1)?,
        max_retry_after: limits.number_or("max_retry_after", 0.0)?,
        resolution: root.number_or("resolution", 0.0)?,
        cold_share: rules.number_or("cold_share", 1.0)?,
        warm_up: rules.number_or("warm_up", 0.0)?,
        overload_factor: rules.number_or("overload_factor", 1.0)?,
        tip_after: rules.number_or("tip_after", 1.0)?,
    })
}

/// What an ingress on sockets needs of the settings beside the module's part. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// The module's part.
    pub decision: Settings,
    /// Class names, by index.
    pub classes: Vec<String>,
    /// Plan names, by index.
    pub plans: Vec<String>,
    /// Zone names, by index.
    pub zones: Vec<String>,
    /// Names in a load report, by column.
    pub columns: Vec<String>,
    /// An endpoint closes a connection that was idle this long.
    pub idle_ms: f64,
    /// A connection that is not up by then has failed.
    pub connect_timeout_ms: f64,
    /// A counter call without an answer by then has timed out.
    pub counter_timeout_ms: f64,
    /// Most requests held at once.
    pub max_in_flight_requests: usize,
}

/// Everything that an ingress is told at its start (`EDGE_CONFIG`).
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where staff call, if they may.
    pub operator: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors held.
    pub sockets: usize,
    /// Memory, MB.
    pub memory_mb: f64,
    /// The last known list of endpoints, in discovery's form.
    pub known: Value,
    /// The settings.
    pub platform: Platform,
}

fn names(root: &At, list: &str, key: &str) -> Res<Vec<String>> {
    root.need(list)?
        .items()?
        .iter()
        .map(|at| Ok(at.need(key)?.text()?.to_string()))
        .collect()
}

fn texts(at: Option<At>) -> Res<Vec<String>> {
    at.map_or(Ok(vec![]), |z| {
        z.items()?
            .iter()
            .map(|at| Ok(at.text()?.to_string()))
            .collect()
    })
}

fn platform(root: &At) -> Res<Platform> {
    let limits = root.get("limits");
    let limit = |key: &str, absent: f64| match limits.as_ref().map(|l| l.number_or(key, absent)) {
        Some(Ok(x)) if !(x > 0.0 && x <= 1e6) => wrong(format!(
            "settings: limits.{key} is not above 0 and up to 1000000"
        )),
        other => other.unwrap_or(Ok(absent)),
    };
    let report = root.get("report");
    let count_wait = root
        .get("family_info")
        .map_or(Ok(0.08), |f| f.number_or("count_wait", 0.08))?;
    if !(0.0..=60.0).contains(&count_wait) {
        return wrong("settings: family_info.count_wait is not from 0 to 60".into());
    }
    Ok(Platform {
        decision: module(root)?,
        classes: names(root, "request_classes", "name")?,
        plans: names(root, "plans", "name")?,
        zones: texts(root.get("zones"))?,
        columns: texts(report.and_then(|r| r.get("columns")))?,
        idle_ms: 1e3 * limit("conn_idle", 10.0)?,
        connect_timeout_ms: 1e3 * limit("dial_timeout", 0.25)?,
        counter_timeout_ms: 1e3 * count_wait,
        max_in_flight_requests: limit("most_held", 20_000.0)? as usize,
    })
}

fn address(at: &At) -> Res<SocketAddr> {
    address_of(&at.path, at.text()?)
}

/// An address and port, from a field or a variable of this name.
///
/// # Errors
/// It is none.
pub fn address_of(name: &str, text: &str) -> Res<SocketAddr> {
    text.parse()
        .or_else(|_| wrong(format!("{name}: {text:?} is not an address and port")))
}

impl Config {
    /// The configuration from its file.
    ///
    /// # Errors
    /// It cannot be read, or a field is missing or makes no sense.
    pub fn read(path: &Path) -> Res<Config> {
        Config::parse(&Config::text(path)?)
    }

    /// The text of its file.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn text(path: &Path) -> Res<String> {
        std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))
    }

    /// The keys in which `new` differs although a running program cannot follow them.
    pub fn changes_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let changed = [
            ("listen", self.listen != new.listen),
            ("operator", self.operator != new.operator),
            (
                "limits",
                (self.sockets, self.memory_mb) != (new.sockets, new.memory_mb),
            ),
            ("settings", self.platform != new.platform),
        ];
        changed
            .iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| *key)
            .collect()
    }

    /// The configuration from its JSON text.
    ///
    /// # Errors
    /// The field that is missing or makes no sense.
    pub fn parse(text: &str) -> Res<Config> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| ConfigError(format!("not JSON: {e}")))?;
        let root = At {
            value: &value,
            path: String::new(),
        };
        let limits = root.get("limits");
        let limit = |key: &str, absent: f64| {
            limits
                .as_ref()
                .map_or(Ok(absent), |l| l.number_or(key, absent))
        };
        let seed = match root.get("seed") {
            Some(at) => u64::from_str_radix(at.text()?, 16)
                .or_else(|_| wrong(format!("{}: not a hexadecimal number", at.path)))?,
            None => 1,
        };
        let sockets = limit("sockets", 1024.0)?;
        if !(64.0..=1e6).contains(&sockets) {
            return wrong(format!(
                "limits.sockets: {sockets} is not from 64 to 1000000"
            ));
        }
        let memory_mb = limit("memory_mb", 192.0)?;
        if !(1.0..=1e9).contains(&memory_mb) {
            return wrong(format!(
                "limits.memory_mb: {memory_mb} is not from 1 to 1e9"
            ));
        }
        let settings = root.need("settings")?;
        Ok(Config {
            name: root
                .get("name")
                .map_or(Ok("ingress"), |n| n.text())?
                .to_string(),
            listen: address(&root.need("listen")?)?,
            discovery: root.get("discovery").map(|d| address(&d)).transpose()?,
            counter: root.get("counter").map(|c| address(&c)).transpose()?,
            operator: root.get("operator").map(|o| address(&o)).transpose()?,
            seed,
            sockets: sockets as usize,
            memory_mb,
            known: value.get("known").cloned().unwrap_or(Value::Null),
            platform: platform(&At {
                value: settings.value,
                path: String::new(),
            })?,
        })
    }
}
