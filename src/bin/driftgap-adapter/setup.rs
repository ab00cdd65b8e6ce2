//! The settings that come as JSON with a fresh instance, mapped to the module's.

use serde_json::Value;
use driftgap::{Class, Effect, Field, Group, Plan, Settings};

type Res<T> = Result<T, String>;

/// A place in the settings, for messages.
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn get(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        let dot = if self.path.is_empty() { "" } else { "." };
        Some(At { value, path: format!("{}{dot}{key}", self.path) })
    }
    fn need(&self, key: &str) -> Res<At<'a>> {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.get(key).ok_or_else(|| format!("settings: {}{dot}{key} is missing", self.path))
    }
    fn number(&self) -> Res<f64> {
        self.value.as_f64().ok_or_else(|| format!("settings: {} is not a number", self.path))
    }
    fn text(&self) -> Res<&'a str> {
        self.value.as_str().ok_or_else(|| format!("settings: {} is not a text", self.path))
    }
    fn flag(&self) -> Res<bool> {
        self.value.as_bool().ok_or_else(|| format!("settings: {} is not true or false", self.path))
    }
    fn items(&self) -> Res<Vec<At<'a>>> {
        let list = self.value.as_array().ok_or_else(|| format!("settings: {} is not a list", self.path))?;
        let item = |(i, value)| At { value, path: format!("{}[{i}]", self.path) };
        Ok(list.iter().enumerate().map(item).collect())
    }
    fn number_or(&self, key: &str, absent: f64) -> Res<f64> {
        self.get(key).map_or(Ok(absent), |at| at.number())
    }
    fn flag_or(&self, key: &str, absent: bool) -> Res<bool> {
        self.get(key).map_or(Ok(absent), |at| at.flag())
    }
}

fn class(at: &At) -> Res<Class> {
    let effect = at.need("effect")?;
    let group = at.get("group").map_or(Ok("all"), |g| g.text())?;
    Ok(Class {
        aim: at.need("aim")?.number()?,
        deadline: at.need("deadline")?.number()?,
        effect: match effect.text()? {
            "pure" => Effect::Safe,
            "token" => Effect::Keyed,
            "side_effect" => Effect::Unsafe,
            other => return Err(format!("settings: {}: unknown effect {other}", effect.path)),
        },
        group: match group {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("settings: {}.group: unknown group {other}", at.path)),
        },
        window: at.number_or("window", 0.0)?,
        late_share: at.number_or("late_share", 0.0)?,
        worth: at.number_or("credit", 1.0)?,
    })
}

fn plan(at: &At) -> Res<Plan> {
    Ok(Plan {
        rate: at.number_or("units_per_s", 0.0)?,
        burst: at.number_or("store_size", 0.0)?,
        at_once: at.number_or("at_once", 0.0)? as u32,
        excess_worth: at.number_or("excess_worth", 0.0)?,
        over_cost: at.number_or("over_cost", 0.0)?,
        ceiling_rate: at.number_or("never_over_rate", 0.0)?,
        ceiling_burst: at.number_or("ceiling_burst", 0.0)?,
    })
}

fn field(at: &At) -> Res<Field> {
    Ok(match at.text()? {
        "rif" => Field::InFlight,
        "q" => Field::Queue,
        "busy" => Field::Utilization,
        "lat_ms" => Field::LatencyMs,
        _ => Field::Other,
    })
}

/// Settings from the JSON text of a fresh instance.
pub fn settings(text: &str) -> Res<Settings> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("settings: not JSON: {e}"))?;
    let root = At { value: &value, path: String::new() };
    let empty = Value::Object(serde_json::Map::new());
    let part = |key: &str| root.get(key).unwrap_or_else(|| At { value: &empty, path: key.to_string() });
    let (limits, rules, info, report) = (part("limits"), part("rules"), part("family_info"), part("report"));
    let columns = report.get("columns").map_or(Ok(Vec::new()), |c| c.items())?;
    Ok(Settings {
        gateways: root.need("balancers")?.number()? as u32,
        position: root.number_or("position", 0.0)? as u32,
        zone: root.number_or("my_zone", 0.0)? as u32,
        classes: root.need("request_classes")?.items()?.iter().map(class).collect::<Res<_>>()?,
        plans: root.need("plans")?.items()?.iter().map(plan).collect::<Res<_>>()?,
        report: columns.iter().map(field).collect::<Res<_>>()?,
        report_by_probe: report.get("how").map_or(Ok(""), |h| h.text())? == "probe",
        list_on_request: root.get("discovery").map_or(Ok(""), |d| d.text())? == "subscribe",
        may_probe: limits.flag_or("probes", false)?,
        may_cancel: limits.flag_or("may_cancel", false)?,
        second_copies: limits.flag_or("parallel_tries", false)?,
        counter: info.flag_or("counter", false)?,
        counter_timeout: info.number_or("count_wait", 0.0)?,
        settled_later: info.flag_or("cost_after", false)?,
        most_units: info.number_or("most_units", 1.0)?,
        max_attempts: limits.number_or("most_tries", 1.0)? as u32,
        max_retry_after: limits.number_or("max_retry_after", 0.0)?,
        resolution: root.number_or("resolution", 0.0)?,
        cold_share: rules.number_or("cold_share", 1.0)?,
        warm_up: rules.number_or("warm_up", 0.0)?,
        overload_factor: rules.number_or("overload_factor", 1.0)?,
        tip_after: rules.number_or("tip_after", 1.0)?,
    })
}
