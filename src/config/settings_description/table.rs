//! The table of all settings keys of the platform: what reads each key, or why it is not used.

/// A settings key and its use.
#[derive(Clone, Copy, Debug)]
pub struct SettingDescription {
    /// The key's path, with `[]` for the items of a list.
    pub key: &'static str,
    /// What reads the key and for which purpose, or why nothing does.
    pub reader: &'static str,
}

const fn setting(key: &'static str, reader: &'static str) -> SettingDescription {
    SettingDescription { key, reader }
}

/// All settings in the order of their keys; `docs/deployments.md` contains the same table.
pub const SETTINGS: &[SettingDescription] = &[
    setting(
        "balancers",
        "module: even shares, small-quota tenants, the threshold; ingress: polls of discovery",
    ),
    setting("charges", "nobody: prices of the platform's own account"),
    setting(
        "client_habits.marks_retry",
        "nobody: a mark is taken where it comes",
    ),
    setting(
        "discovery",
        "module and ingress: whether the list must be asked for",
    ),
    setting("family", "nobody: there is one"),
    setting(
        "family_info.cost_after",
        "module and ingress: units are guesses, settled by answers",
    ),
    setting(
        "family_info.count_fee",
        "nobody: calls are as few as the quotas allow",
    ),
    setting(
        "family_info.count_wait",
        "module and ingress: when a counter call has failed",
    ),
    setting("family_info.counter", "module: whether there is a counter"),
    setting(
        "family_info.mail_per_s",
        "nobody: ingresses do not talk to each other",
    ),
    setting(
        "family_info.meter",
        "nobody yet: what it could give while the counter is unavailable is not measured",
    ),
    setting(
        "family_info.most_units",
        "module and ingress: more units make no request and no cost",
    ),
    setting("goal", "nobody: weights of the platform's own account"),
    setting("kinds", "nobody: kinds tell nothing that weights do not"),
    setting(
        "limits.conn_idle",
        "ingress: connections are retired well before",
    ),
    setting(
        "limits.cpu_us_per_request",
        "nobody: a limit to keep to, not to decide by",
    ),
    setting("limits.cpu_us_per_s", "nobody: the same"),
    setting("limits.dial_timeout", "ingress: when a connect has failed"),
    setting(
        "limits.max_retry_after",
        "module: longest Retry-After of a rejection",
    ),
    setting(
        "limits.may_cancel",
        "module: whether the other attempt is cancelled",
    ),
    setting("limits.most_held", "ingress: most requests in flight"),
    setting(
        "limits.most_tries",
        "module and ingress: most attempts for a request",
    ),
    setting(
        "limits.parallel_tries",
        "module and ingress: whether a hedged request may be out",
    ),
    setting(
        "limits.peers",
        "nobody: ingresses do not talk to each other",
    ),
    setting(
        "limits.probes",
        "module: whether an ejected endpoint is probed before the next attempt goes to it",
    ),
    setting(
        "limits.retry_after",
        "nobody: a Retry-After does no harm where clients do not take it",
    ),
    setting(
        "limits.streams_per_conn",
        "nobody: one attempt at a time on a connection (RESP); the peer's own limit (HTTP/2)",
    ),
    setting("my_zone", "module: which endpoints are near"),
    setting("plans[].at_once", "module: attempts out at once"),
    setting(
        "plans[].ceiling_burst",
        "module: the ceiling's token bucket",
    ),
    setting(
        "plans[].ceiling_slack",
        "nobody: the ceiling is kept without it",
    ),
    setting("plans[].excess_worth", "module: checked, decides nothing"),
    setting("plans[].name", "ingress: `t` of a request"),
    setting("plans[].never_over_rate", "module: the ceiling"),
    setting(
        "plans[].over_cost",
        "module: lowers the share of unchecked requests that are admitted while the counter is congested",
    ),
    setting("plans[].pays", "nobody: plans are rejected alike"),
    setting("plans[].store_size", "module: the quota's token bucket"),
    setting("plans[].units_per_s", "module: the quota"),
    setting("position", "module: this ingress among the others"),
    setting(
        "report.columns",
        "module and ingress: figures of a load report",
    ),
    setting("report.how", "nobody: a report counts wherever it comes"),
    setting(
        "request_classes[].aim",
        "module: the threshold, hedged requests",
    ),
    setting(
        "request_classes[].aim_stretch",
        "nobody: the latency objective alone counts",
    ),
    setting(
        "request_classes[].credit",
        "module: checked; classes are rejected alike",
    ),
    setting(
        "request_classes[].deadline",
        "module and ingress: longest wait",
    ),
    setting(
        "request_classes[].effect",
        "module and ingress: what a repeat does",
    ),
    setting(
        "request_classes[].group",
        "module and ingress: who knows a key",
    ),
    setting(
        "request_classes[].late_share",
        "module: which class is rejected first under load",
    ),
    setting("request_classes[].name", "ingress: `c` of a request"),
    setting(
        "request_classes[].streaming",
        "nobody: every response body is passed on once its size is known",
    ),
    setting(
        "request_classes[].window",
        "module and ingress: for how long a key is known",
    ),
    setting("resolution", "module: how late a timer may be"),
    setting(
        "rules.answer_slack",
        "nobody: answers are due at the deadline",
    ),
    setting(
        "rules.ask_within",
        "nobody: the watch never pauses that long",
    ),
    setting(
        "rules.cold_share",
        "module: what an endpoint that warms up can do",
    ),
    setting(
        "rules.drain_grace",
        "nobody: nothing new goes out once a drain is notified, whatever grace there is",
    ),
    setting(
        "rules.overload_factor",
        "module: what an endpoint that warms up bears",
    ),
    setting("rules.tip_after", "module: over which span"),
    setting("rules.warm_up", "module: until when an endpoint warms up"),
    setting("tier", "nobody: there is one"),
    setting("tiers", "nobody: there is one"),
    setting("weights", "nobody: sizes are taken as they come"),
    setting("zones", "ingress: names of zones"),
];
