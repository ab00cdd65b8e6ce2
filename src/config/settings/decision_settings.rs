//! The decision module's part of the settings object: classes, plans and common settings. Maps the
//! platform's names to the fields of `decision::Settings`.

use super::json_field::JsonField;
use super::ConfigError;
use crate::decision::{Class, DeduplicationScope, Idempotency, LoadReportField, Plan, Settings};
use serde_json::Value;

/// The sections of the settings object that may be absent.
struct OptionalSections<'a> {
    limits: JsonField<'a>,
    rules: JsonField<'a>,
    family_info: JsonField<'a>,
    report: JsonField<'a>,
}

impl<'a> OptionalSections<'a> {
    fn of(root: &JsonField<'a>, empty: &'a Value) -> OptionalSections<'a> {
        let section = |key: &str| {
            root.get(key)
                .unwrap_or_else(|| JsonField::placeholder(empty, key))
        };
        OptionalSections {
            limits: section("limits"),
            rules: section("rules"),
            family_info: section("family_info"),
            report: section("report"),
        }
    }
}

pub(super) fn decision_settings(root: &JsonField) -> Result<Settings, ConfigError> {
    let empty = Value::Object(serde_json::Map::new());
    let OptionalSections {
        limits,
        rules,
        family_info,
        report,
    } = OptionalSections::of(root, &empty);
    let columns = report
        .get("columns")
        .map_or(Ok(Vec::new()), |columns| columns.items())?;
    Ok(Settings {
        ingresses: root.require("balancers")?.count()?,
        ingress_index: root.count_or("position", 0)?,
        zone: root.count_or("my_zone", 0)?,
        classes: parse_items(&root.require("request_classes")?, class)?,
        plans: parse_items(&root.require("plans")?, plan)?,
        load_report_fields: columns
            .iter()
            .map(load_report_field)
            .collect::<Result<_, _>>()?,
        load_reports_by_health_check: report.text_or("how", "")? == "probe",
        endpoint_list_is_polled: root.text_or("discovery", "")? == "subscribe",
        health_checks_allowed: limits.flag_or("probes", false)?,
        cancellation_allowed: limits.flag_or("may_cancel", false)?,
        hedging: limits.flag_or("parallel_tries", false)?,
        counter: family_info.flag_or("counter", false)?,
        counter_timeout: family_info.number_or("count_wait", 0.0)?,
        settles_units_later: family_info.flag_or("cost_after", false)?,
        max_units: family_info.number_or("most_units", 1.0)?,
        max_attempts: limits.count_or("most_tries", 1)?,
        max_retry_after: limits.number_or("max_retry_after", 0.0)?,
        resolution: root.number_or("resolution", 0.0)?,
        initial_capacity_share: rules.number_or("cold_share", 1.0)?,
        warm_up: rules.number_or("warm_up", 0.0)?,
        overload_factor: rules.number_or("overload_factor", 1.0)?,
        overload_tolerance: rules.number_or("tip_after", 1.0)?,
    })
}

fn parse_items<T>(
    list: &JsonField,
    read: impl Fn(&JsonField) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    list.items()?.iter().map(read).collect()
}

fn class(field: &JsonField) -> Result<Class, ConfigError> {
    let effect = field.require("effect")?;
    let group = field.text_or("group", "all")?;
    Ok(Class {
        latency_objective: field.require("aim")?.number()?,
        deadline: field.require("deadline")?.number()?,
        idempotency: idempotency(&effect)?,
        deduplication_scope: deduplication_scope(group).ok_or_else(|| {
            ConfigError::UnknownName {
                field: format!("{}.group", field.path()),
                kind: "group",
                value: group.to_string(),
            }
        })?,
        idempotency_window: field.number_or("window", 0.0)?,
        late_weight_share: field.number_or("late_share", 0.0)?,
        priority_weight: field.number_or("credit", 1.0)?,
    })
}

fn idempotency(effect: &JsonField) -> Result<Idempotency, ConfigError> {
    match effect.text()? {
        "pure" => Ok(Idempotency::Safe),
        "token" => Ok(Idempotency::Keyed),
        "side_effect" => Ok(Idempotency::Unsafe),
        other => Err(effect.unknown_name("effect", other)),
    }
}

fn deduplication_scope(group: &str) -> Option<DeduplicationScope> {
    match group {
        "all" => Some(DeduplicationScope::All),
        "zone" => Some(DeduplicationScope::Zone),
        "cell" => Some(DeduplicationScope::Cell),
        _ => None,
    }
}

fn plan(field: &JsonField) -> Result<Plan, ConfigError> {
    Ok(Plan {
        rate: field.number_or("units_per_s", 0.0)?,
        burst: field.number_or("store_size", 0.0)?,
        max_in_flight: field.count_or("at_once", 0)?,
        excess_weight_share: field.number_or("excess_worth", 0.0)?,
        excess_cost_share: field.number_or("over_cost", 0.0)?,
        ceiling_rate: field.number_or("never_over_rate", 0.0)?,
        ceiling_burst: field.number_or("ceiling_burst", 0.0)?,
    })
}

fn load_report_field(field: &JsonField) -> Result<LoadReportField, ConfigError> {
    Ok(match field.text()? {
        "rif" => LoadReportField::InFlight,
        "q" => LoadReportField::Queue,
        "busy" => LoadReportField::Utilization,
        "lat_ms" => LoadReportField::LatencyMs,
        _ => LoadReportField::Other,
    })
}
