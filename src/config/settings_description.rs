//! What the settings mean, in words, for operators who bring up a deployment: every key that the platform names, who
//! reads it or why nobody does, and what follows from the values. It owns that table and the sentences. It must never
//! judge a value, which is the parser's, nor be needed to serve.

use crate::config::settings::Platform;
use crate::decision::{DeduplicationScope, Idempotency, Settings};
use serde_json::Value;

/// Keys of the settings, `[]` for each item of a list, and what becomes of them.
pub const KEYS: &[(&str, &str)] = &[
    (
        "balancers",
        "module: even shares, thin customers, the threshold; ingress: polls of discovery",
    ),
    ("charges", "nobody: prices of the platform's own account"),
    (
        "client_habits.marks_retry",
        "nobody: a mark is taken where it comes",
    ),
    (
        "discovery",
        "module and ingress: whether the list must be asked for",
    ),
    ("family", "nobody: there is one"),
    (
        "family_info.cost_after",
        "module and ingress: units are guesses, settled by answers",
    ),
    (
        "family_info.count_fee",
        "nobody: calls are as few as the quotas allow",
    ),
    (
        "family_info.count_wait",
        "module and ingress: when a counter call has failed",
    ),
    ("family_info.counter", "module: whether there is a counter"),
    (
        "family_info.mail_per_s",
        "nobody: ingresses do not talk to each other",
    ),
    (
        "family_info.meter",
        "nobody yet: what it could give while the counter is silent is not measured",
    ),
    (
        "family_info.most_units",
        "module and ingress: more units make no command and no cost",
    ),
    ("goal", "nobody: weights of the platform's own account"),
    ("kinds", "nobody: kinds tell nothing that weights do not"),
    (
        "limits.conn_idle",
        "ingress: connections are retired well before",
    ),
    (
        "limits.cpu_us_per_request",
        "nobody: a limit to keep to, not to decide by",
    ),
    ("limits.cpu_us_per_s", "nobody: the same"),
    ("limits.dial_timeout", "ingress: when a connect has failed"),
    (
        "limits.max_retry_after",
        "module: longest advice with a refusal",
    ),
    (
        "limits.may_cancel",
        "module: whether the other copy is cancelled",
    ),
    ("limits.most_held", "ingress: most commands held"),
    (
        "limits.most_tries",
        "module and ingress: most attempts for a command",
    ),
    (
        "limits.parallel_tries",
        "module and ingress: whether a second copy may be out",
    ),
    (
        "limits.peers",
        "nobody: ingresses do not talk to each other",
    ),
    (
        "limits.probes",
        "module: whether a host that was left out is probed before it is tried",
    ),
    (
        "limits.retry_after",
        "nobody: advice does no harm where clients do not take it",
    ),
    (
        "limits.streams_per_conn",
        "nobody: one attempt at a time on a connection (RESP); the peer's own limit (HTTP/2)",
    ),
    ("my_zone", "module: which hosts are near"),
    ("plans[].at_once", "module: attempts out at once"),
    ("plans[].ceiling_burst", "module: the ceiling's store"),
    (
        "plans[].ceiling_slack",
        "nobody: the ceiling is kept without it",
    ),
    ("plans[].excess_worth", "module: checked, decides nothing"),
    ("plans[].name", "ingress: `t` of a command"),
    ("plans[].never_over_rate", "module: the ceiling"),
    ("plans[].over_cost", "module: checked, decides nothing"),
    ("plans[].pays", "nobody: plans are refused alike"),
    ("plans[].store_size", "module: the quota's store"),
    ("plans[].units_per_s", "module: the quota"),
    ("position", "module: this ingress among the others"),
    (
        "report.columns",
        "module and ingress: figures of a load report",
    ),
    ("report.how", "nobody: a report counts wherever it comes"),
    (
        "request_classes[].aim",
        "module: the threshold, second copies",
    ),
    (
        "request_classes[].aim_stretch",
        "nobody: the aim alone counts",
    ),
    (
        "request_classes[].credit",
        "module: checked; classes are refused alike",
    ),
    (
        "request_classes[].deadline",
        "module and ingress: longest wait",
    ),
    (
        "request_classes[].effect",
        "module and ingress: what a repeat does",
    ),
    (
        "request_classes[].group",
        "module and ingress: who knows a key",
    ),
    (
        "request_classes[].late_share",
        "module: who is refused first under load",
    ),
    ("request_classes[].name", "ingress: `c` of a command"),
    (
        "request_classes[].streaming",
        "nobody: every value is passed on once its size is known",
    ),
    (
        "request_classes[].window",
        "module and ingress: for how long a key is known",
    ),
    ("resolution", "module: how late a timer may be"),
    (
        "rules.answer_slack",
        "nobody: answers are due at the deadline",
    ),
    (
        "rules.ask_within",
        "nobody: the watch never pauses that long",
    ),
    ("rules.cold_share", "module: what a cold host can do"),
    (
        "rules.drain_grace",
        "nobody: nothing new goes out once a drain is told, whatever grace there is",
    ),
    ("rules.overload_factor", "module: what a cold host bears"),
    ("rules.tip_after", "module: over which span"),
    ("rules.warm_up", "module: until when a host is cold"),
    ("tier", "nobody: there is one"),
    ("tiers", "nobody: there is one"),
    ("weights", "nobody: sizes are taken as they come"),
    ("zones", "ingress: names of zones"),
];

/// The settings that no one here knows: misspelt, or newer than this program.
pub fn unknown(settings: &Value) -> Vec<String> {
    let mut found = Vec::new();
    walk(settings, "", &mut found);
    found
}

fn walk(value: &Value, path: &str, found: &mut Vec<String>) {
    let known = |path: &str| KEYS.iter().any(|(key, _)| *key == path);
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                let below = KEYS.iter().any(|(key, _)| {
                    key.strip_prefix(&path)
                        .is_some_and(|rest| rest.starts_with(['.', '[']))
                });
                if below {
                    walk(value, &path, found);
                } else if !known(&path) && !found.contains(&path) {
                    found.push(path);
                }
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| walk(item, &format!("{path}[]"), found)),
        _ => {}
    }
}

/// What follows from the settings, a sentence a line.
pub fn words(platform: &Platform) -> Vec<String> {
    let set: &Settings = &platform.decision;
    let mut lines = Vec::new();
    for (name, class) in platform.classes.iter().zip(&set.classes) {
        let group = match class.deduplication_scope {
            DeduplicationScope::All => "all instances",
            DeduplicationScope::Zone => "those of its zone",
            DeduplicationScope::Cell => "those of its cell",
        };
        let repeat = match class.idempotency {
            Idempotency::Safe => "safe to repeat".to_string(),
            Idempotency::Keyed => format!(
                "repeated by its key to {group} within {} s, needs k",
                class.idempotency_window
            ),
            Idempotency::Unsafe => "never sent again once it may have run".to_string(),
        };
        lines.push(format!(
            "class {name}: wanted within {} s, given up after {} s, {repeat}",
            class.latency_objective, class.deadline
        ));
    }
    for (name, plan) in platform.plans.iter().zip(&set.plans) {
        let mut parts = Vec::new();
        if plan.rate > 0.0 {
            parts.push(format!(
                "{} units a second, {} saved up",
                plan.rate, plan.burst
            ));
        }
        if plan.at_once > 0 {
            parts.push(format!("{} attempts at once", plan.at_once));
        }
        if plan.ceiling_rate > 0.0 {
            parts.push(format!(
                "never over {} a second and {}",
                plan.ceiling_rate, plan.ceiling_burst
            ));
        }
        let quota = if parts.is_empty() {
            "no quota".to_string()
        } else {
            parts.join(", ")
        };
        lines.push(format!("plan {name}: {quota}"));
    }
    lines.push(match (set.counter, set.settles_units_later) {
        (false, _) => "quotas: no counter, each ingress has its even share".to_string(),
        (true, settled) => format!(
            "quotas: by the counter, given up after {} ms; units are {}",
            platform.counter_timeout_ms,
            if settled {
                "guesses, settled by answers"
            } else {
                "what commands say"
            }
        ),
    });
    lines.push(format!(
        "attempts: {} at most, {}; probes {}",
        set.max_attempts,
        if set.hedging {
            "a second copy may be out"
        } else {
            "never two at once"
        },
        if set.probes_allowed {
            "allowed"
        } else {
            "not allowed"
        }
    ));
    lines
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_setting_has_its_line_here_and_in_the_operators_page() {
        let settings: Value =
            serde_json::from_str(include_str!("../../tests/stage/settings.json")).unwrap();
        assert_eq!(unknown(&settings), Vec::<String>::new());
        let page = include_str!("../../docs/deployments.md");
        for (key, what) in KEYS {
            assert!(
                page.contains(&format!("| `{key}` | {what} |")),
                "{key} is not in docs/deployments.md as here"
            );
        }
    }

    #[test]
    fn keys_that_nobody_knows_are_named_once() {
        let settings = serde_json::json!({
            "rules": {"drain_grase": 1, "warm_up": 1},
            "plans": [{"rate": 1}, {"rate": 2, "name": "x"}],
            "charges": {"anything": 1},
            "tempo": {"a": 1}
        });
        let mut unknown = unknown(&settings);
        unknown.sort();
        assert_eq!(unknown, ["plans[].rate", "rules.drain_grase", "tempo"]);
    }
}
