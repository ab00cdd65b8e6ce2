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
        "decision module: shares of quotas and load; ingress: discovery polls, `spread`, `first`",
    ),
    setting(
        "charges",
        "not used: prices that only the platform's accounting needs",
    ),
    setting(
        "client_habits.marks_retry",
        "not used: the retry mark of a request is always accepted",
    ),
    setting(
        "discovery",
        "decision module and ingress: whether the endpoint list must be polled",
    ),
    setting("family", "not used: the ingress handles all values alike"),
    setting(
        "family_info.cost_after",
        "decision module and ingress: whether an answer corrects the units of its request",
    ),
    setting(
        "family_info.count_fee",
        "not used: the number of counter calls does not depend on their price",
    ),
    setting(
        "family_info.count_wait",
        "decision module and ingress: time-out of a counter call",
    ),
    setting(
        "family_info.counter",
        "decision module: whether there is a counter",
    ),
    setting(
        "family_info.mail_per_s",
        "not used: ingresses exchange no messages for decisions",
    ),
    setting(
        "family_info.meter",
        "not used: quotas are enforced without it",
    ),
    setting(
        "family_info.most_units",
        "decision module and ingress: largest valid number of units of a request",
    ),
    setting(
        "goal",
        "not used: weights that only the platform's accounting needs",
    ),
    setting(
        "kinds",
        "not used: endpoints are compared by their weights and load",
    ),
    setting(
        "limits.conn_idle",
        "ingress: idle connections to endpoints are closed before this time",
    ),
    setting(
        "limits.cpu_us_per_request",
        "not used: no decision depends on this limit",
    ),
    setting(
        "limits.cpu_us_per_s",
        "not used: no decision depends on this limit",
    ),
    setting(
        "limits.dial_timeout",
        "ingress: time-out of a connect to an endpoint",
    ),
    setting(
        "limits.max_retry_after",
        "decision module: longest Retry-After of a rejection",
    ),
    setting(
        "limits.may_cancel",
        "decision module: whether the other attempt is cancelled once a request is answered",
    ),
    setting("limits.most_held", "ingress: most requests in flight"),
    setting(
        "limits.most_tries",
        "decision module and ingress: most attempts for a request",
    ),
    setting(
        "limits.parallel_tries",
        "decision module and ingress: whether two attempts of a request may be in flight at once",
    ),
    setting(
        "limits.peers",
        "not used: ingresses exchange no messages for decisions",
    ),
    setting(
        "limits.probes",
        "decision module: whether an ejected endpoint gets a health check before its next attempt",
    ),
    setting(
        "limits.retry_after",
        "not used: a rejection has a Retry-After whether clients follow it or not",
    ),
    setting(
        "limits.streams_per_conn",
        "not used: one attempt at a time on a connection (RESP); the endpoint's limit (HTTP/2)",
    ),
    setting(
        "my_zone",
        "decision module: which endpoints are in the zone of this ingress",
    ),
    setting(
        "plans[].at_once",
        "decision module: most attempts of a tenant in flight at the same time",
    ),
    setting(
        "plans[].ceiling_burst",
        "decision module: size of the ceiling's token bucket",
    ),
    setting(
        "plans[].ceiling_slack",
        "not used: the ceiling is enforced without a tolerance",
    ),
    setting(
        "plans[].excess_worth",
        "decision module: validated; no decision depends on it",
    ),
    setting("plans[].name", "ingress: the term `t` of a request"),
    setting(
        "plans[].never_over_rate",
        "decision module: rate of the ceiling",
    ),
    setting(
        "plans[].over_cost",
        "decision module: fewer unchecked requests are admitted while the counter is congested",
    ),
    setting(
        "plans[].pays",
        "not used: rejection does not depend on the price of a plan",
    ),
    setting(
        "plans[].store_size",
        "decision module: size of the quota's token bucket",
    ),
    setting("plans[].units_per_s", "decision module: rate of the quota"),
    setting(
        "position",
        "decision module and ingress: index of this ingress among all ingresses",
    ),
    setting(
        "report.columns",
        "decision module and ingress: fields of a load report",
    ),
    setting(
        "report.how",
        "not used: load reports are accepted from answers and from health checks",
    ),
    setting(
        "request_classes[].aim",
        "decision module: load threshold, hedged attempts, rejections under load",
    ),
    setting(
        "request_classes[].aim_stretch",
        "not used: decisions depend on the latency objective (`aim`) alone",
    ),
    setting(
        "request_classes[].credit",
        "decision module: validated; no decision depends on it",
    ),
    setting(
        "request_classes[].deadline",
        "decision module and ingress: longest time until a request is answered",
    ),
    setting(
        "request_classes[].effect",
        "decision module and ingress: whether a request of the class may be repeated",
    ),
    setting(
        "request_classes[].group",
        "decision module and ingress: which endpoints share idempotency keys",
    ),
    setting(
        "request_classes[].late_share",
        "decision module: how likely a late request is rejected under load",
    ),
    setting(
        "request_classes[].name",
        "ingress: the term `c` of a request",
    ),
    setting(
        "request_classes[].streaming",
        "not used: every response body is passed on once its size is known",
    ),
    setting(
        "request_classes[].window",
        "decision module and ingress: how long endpoints remember an idempotency key",
    ),
    setting("resolution", "decision module: precision of timers"),
    setting(
        "rules.answer_slack",
        "not used: answers are due at the deadline",
    ),
    setting(
        "rules.ask_within",
        "not used: discovery polls are timed by `balancers`, `position` and `discovery`",
    ),
    setting(
        "rules.cold_share",
        "decision module: initial capacity of an endpoint that has just started",
    ),
    setting(
        "rules.drain_grace",
        "not used: an endpoint gets no new requests once its drain is known",
    ),
    setting(
        "rules.overload_factor",
        "decision module: overload at which an endpoint that is warming up fails",
    ),
    setting(
        "rules.tip_after",
        "decision module: how long an endpoint that is warming up withstands an overload",
    ),
    setting(
        "rules.warm_up",
        "decision module: how long an endpoint warms up",
    ),
    setting("tier", "not used: the ingress handles all values alike"),
    setting("tiers", "not used: the ingress handles all values alike"),
    setting(
        "weights",
        "not used: endpoint weights come with the endpoint list",
    ),
    setting("zones", "ingress: names of zones"),
];
