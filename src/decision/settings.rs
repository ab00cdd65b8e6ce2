//! What an ingress is configured with: classes, plans and the service's rules, all fixed at start.
//!
//! Plain data in seconds and quota units. [`Settings::check`] is the only rule here: it rejects
//! values that the mechanisms could not compute with (no class, a rate without a burst, a figure
//! that is not a number), so that a wrong start is one message that names the field and not a wrong
//! decision later.

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Safe,
    /// Carries a key: endpoints of one group discard repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which endpoints share the memory that discards repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this many seconds earns the whole priority weight.
    pub latency_objective: f64,
    /// Longest the client waits over all its own attempts, seconds.
    pub deadline: f64,
    /// What repeating a request of the class does.
    pub idempotency: Idempotency,
    /// For keyed classes: which endpoints discard repeats together.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: for how long after the first attempt that may have run, seconds.
    pub idempotency_window: f64,
    /// Share of the priority weight that an answer after the latency objective still earns, 0 to 1.
    pub late_weight_share: f64,
    /// What one request answered in time is worth beside one of another class.
    pub priority_weight: f64,
}

/// A plan: quotas that hold for each tenant over all ingresses together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0: no quota by rate.
    pub rate: f64,
    /// Most units that can be saved up: the size of the quota's token bucket.
    pub burst: f64,
    /// Most attempts in flight at once; 0: no such quota.
    pub max_in_flight: u32,
    /// Share of its priority weight that a request served beyond the quota earns.
    pub excess_weight_share: f64,
    /// Share of its priority weight that a request served beyond the quota costs.
    pub excess_cost_share: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Most units that the ceiling's token bucket holds.
    pub ceiling_burst: f64,
}

/// A value in an endpoint's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests being handled.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Share of CPU in use.
    Utilization,
    /// Recent service time without waiting, milliseconds.
    LatencyMs,
    /// Any value that the module does not use.
    Other,
}

/// Everything that is fixed when an ingress starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many ingresses there are.
    pub ingresses: u32,
    /// Number of this ingress among them, from 0.
    pub ingress_index: u32,
    /// Zone of this ingress.
    pub zone: u32,
    /// Request classes, referred to by index.
    pub classes: Vec<Class>,
    /// Plans, referred to by index.
    pub plans: Vec<Plan>,
    /// Columns of an endpoint's load report.
    pub load_report_fields: Vec<LoadReportField>,
    /// Load reports come with health checks alone, not with answers.
    pub load_reports_by_health_check: bool,
    /// The endpoint list must be polled for.
    pub endpoint_list_is_polled: bool,
    /// Health checks are permitted.
    pub health_checks_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// There is a counter service.
    pub counter: bool,
    /// A counter call that has no answer by then has failed, seconds.
    pub counter_timeout: f64,
    /// Units on a request are estimates, settled by its answer.
    pub settles_units_later: bool,
    /// Most units that one request counts.
    pub max_units: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest retry-after that clients honour, seconds.
    pub max_retry_after: f64,
    /// Smallest time between two rounds of events, seconds: the precision of every deadline.
    pub resolution: f64,
    /// An endpoint that has just started has at least this share of its capacity, 0 to 1.
    pub initial_capacity_share: f64,
    /// It has all of its capacity after this many seconds at the latest.
    pub warm_up: f64,
    /// An endpoint that is warming up fails when it is sent more than this multiple of its capacity
    /// ...
    pub overload_factor: f64,
    /// ... over this many seconds.
    pub overload_tolerance: f64,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The field, in the spelling that operators know from earlier messages, for example
    /// `classes[0].aim`; it is not always the key of the settings file.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Settings {
    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// The first field that does not, with what is wrong.
    pub fn check(&self) -> Result<(), SettingsError> {
        require(self.ingresses > 0, "gateways", "there must be one at least")?;
        require(
            self.ingress_index < self.ingresses,
            "position",
            "must be under the number of gateways",
        )?;
        require(
            !self.classes.is_empty(),
            "classes",
            "there must be one at least",
        )?;
        require(
            !self.plans.is_empty(),
            "plans",
            "there must be one at least",
        )?;
        require(
            self.max_attempts > 0,
            "max_attempts",
            "there must be one at least",
        )?;
        for (index, class) in self.classes.iter().enumerate() {
            class.check(index)?;
        }
        for (index, plan) in self.plans.iter().enumerate() {
            plan.check(index)?;
        }
        require_not_negative("most_units", self.max_units)?;
        require_not_negative("counter_timeout", self.counter_timeout)?;
        require_not_negative("max_retry_after", self.max_retry_after)?;
        require_not_negative("resolution", self.resolution)?;
        require_not_negative("cold_share", self.initial_capacity_share)?;
        require_not_negative("warm_up", self.warm_up)?;
        require_not_negative("overload_factor", self.overload_factor)?;
        require_not_negative("tip_after", self.overload_tolerance)
    }
}

impl Class {
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        require_positive(&format!("classes[{index}].aim"), self.latency_objective)?;
        require_positive(&format!("classes[{index}].deadline"), self.deadline)?;
        require_not_negative(&format!("classes[{index}].window"), self.idempotency_window)?;
        require_not_negative(
            &format!("classes[{index}].late_share"),
            self.late_weight_share,
        )?;
        require_not_negative(&format!("classes[{index}].worth"), self.priority_weight)
    }
}

impl Plan {
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        require_not_negative(&format!("plans[{index}].rate"), self.rate)?;
        require_not_negative(&format!("plans[{index}].burst"), self.burst)?;
        require_not_negative(
            &format!("plans[{index}].excess_worth"),
            self.excess_weight_share,
        )?;
        require_not_negative(&format!("plans[{index}].over_cost"), self.excess_cost_share)?;
        require_not_negative(&format!("plans[{index}].ceiling_rate"), self.ceiling_rate)?;
        require_not_negative(&format!("plans[{index}].ceiling_burst"), self.ceiling_burst)?;
        require(
            self.rate <= 0.0 || self.burst > 0.0,
            &format!("plans[{index}].burst"),
            "must be above 0 where there is a rate",
        )
    }
}

fn require(sound: bool, field: &str, problem: &str) -> Result<(), SettingsError> {
    if sound {
        return Ok(());
    }
    Err(SettingsError {
        field: field.to_string(),
        problem: problem.to_string(),
    })
}

fn require_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    let sound = value.is_finite() && value > 0.0;
    require(sound, field, "must be above 0")
}

fn require_not_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    let sound = value.is_finite() && value >= 0.0;
    require(sound, field, "must be 0 or more")
}
