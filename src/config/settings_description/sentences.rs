//! What follows from the values of the settings, a sentence a line.

use crate::config::settings::Platform;
use crate::decision::{Class, DeduplicationScope, Idempotency, Plan, Settings};

/// What follows from the settings, a sentence a line.
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
        DeduplicationScope::Zone => "those of its zone",
        DeduplicationScope::Cell => "those of its cell",
    };
    let repeat = match class.idempotency {
        Idempotency::Safe => "safe to repeat".to_string(),
        Idempotency::Keyed => format!(
            "repeated by its key to {scope} within {} s, needs k",
            class.idempotency_window
        ),
        Idempotency::Unsafe => "never sent again once it may have run".to_string(),
    };
    format!(
        "class {name}: wanted within {} s, given up after {} s, {repeat}",
        class.latency_objective, class.deadline
    )
}

fn describe_plan(name: &str, plan: &Plan) -> String {
    let mut parts = Vec::new();
    if plan.rate > 0.0 {
        let (rate, burst) = (plan.rate, plan.burst);
        parts.push(format!("{rate} units a second, {burst} saved up"));
    }
    if plan.max_in_flight > 0 {
        parts.push(format!("{} attempts at once", plan.max_in_flight));
    }
    if plan.ceiling_rate > 0.0 {
        let (rate, burst) = (plan.ceiling_rate, plan.ceiling_burst);
        parts.push(format!("never over {rate} a second and {burst}"));
    }
    let quota = if parts.is_empty() {
        "no quota".to_string()
    } else {
        parts.join(", ")
    };
    format!("plan {name}: {quota}")
}

fn describe_quotas(settings: &Settings, counter_timeout_ms: f64) -> String {
    if !settings.counter {
        return "quotas: no counter, each ingress has its even share".to_string();
    }
    let units = if settings.settles_units_later {
        "guesses, settled by answers"
    } else {
        "what requests say"
    };
    format!("quotas: by the counter, given up after {counter_timeout_ms} ms; units are {units}")
}

fn describe_attempts(settings: &Settings) -> String {
    let hedging = if settings.hedging {
        "a hedged request may be out"
    } else {
        "never two at once"
    };
    let probes = if settings.health_checks_allowed {
        "allowed"
    } else {
        "not allowed"
    };
    let max_attempts = settings.max_attempts;
    format!("attempts: {max_attempts} at most, {hedging}; probes {probes}")
}
