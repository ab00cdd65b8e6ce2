//! Describes the effect of the settings' values, one sentence per line.

use crate::config::settings::Platform;
use crate::decision::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// Describes the effect of the settings, one sentence per line.
pub fn describe(platform: &Platform) -> Vec<String> {
    let settings = &platform.decision;
    let classes = platform.classes.iter().zip(&settings.classes);
    let plans = platform.plans.iter().zip(&settings.plans);
    let mut lines = Vec::new();
    lines.extend(classes.map(|(name, class)| describe_class(name, class)));
    lines.extend(plans.map(|(name, plan)| describe_plan(name, plan)));
    lines.push(describe_quotas(settings, platform.counter_timeout_ms));
    lines.push(describe_attempts(settings));
    lines
}

fn describe_class(name: &str, class: &Class) -> String {
    let scope = match class.deduplication_scope {
        DeduplicationScope::All => "all endpoints",
        DeduplicationScope::Zone => "endpoints of the same zone",
        DeduplicationScope::Cell => "endpoints of the same cell",
    };
    let retry_rule = match class.idempotency {
        Idempotency::Safe => "safe to repeat".to_string(),
        Idempotency::Keyed => format!(
            "retried by its key at {scope} within {} s, requires the term k",
            class.idempotency_window
        ),
        Idempotency::Unsafe => "not retried once it may have run".to_string(),
    };
    format!(
        "class {name}: latency objective {} s, deadline {} s, {retry_rule}",
        class.latency_objective, class.deadline
    )
}

fn describe_plan(name: &str, plan: &Plan) -> String {
    let mut limits = Vec::new();
    if plan.rate > 0.0 {
        let (rate, burst) = (plan.rate, plan.burst);
        limits.push(format!("{rate} units per second with a burst of {burst}"));
    }
    if plan.max_in_flight > 0 {
        limits.push(format!("{} attempts in flight", plan.max_in_flight));
    }
    if plan.ceiling_rate > 0.0 {
        let (rate, burst) = (plan.ceiling_rate, plan.ceiling_burst);
        limits.push(format!(
            "ceiling of {rate} units per second with a burst of {burst}"
        ));
    }
    let quota = if limits.is_empty() {
        "no quota".to_string()
    } else {
        limits.join(", ")
    };
    format!("plan {name}: {quota}")
}

fn describe_quotas(settings: &Settings, counter_timeout_ms: f64) -> String {
    if !settings.counter {
        return "quotas: no counter, each ingress enforces an even share".to_string();
    }
    let units = if settings.settles_units_later {
        "estimates, settled by answers"
    } else {
        "those that requests state"
    };
    format!(
        "quotas: enforced through the counter, time-out {counter_timeout_ms} ms; units are {units}"
    )
}

fn describe_attempts(settings: &Settings) -> String {
    let hedging = if settings.hedging {
        "a hedged attempt may run in parallel"
    } else {
        "one at a time"
    };
    let health_checks = if settings.health_checks_allowed {
        "allowed"
    } else {
        "not allowed"
    };
    let max_attempts = settings.max_attempts;
    format!("attempts: {max_attempts} at most, {hedging}; health checks {health_checks}")
}
