//! Configuration of an ingress: classes, plans and rules of the service, all fixed at start.
//!
//! Plain data in seconds and quota units. [`Settings::check`] is the only logic: it rejects values
//! that the mechanisms could not compute with (no class, a rate without a burst, a value that is
//! not a number). Invalid settings thus fail at start with an error that names the field, and do
//! not cause wrong decisions later.

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Safe,
    /// Carries a key by which the endpoints of one group discard repeats for some time.
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
    /// Time within which an answer earns the full priority weight, seconds.
    pub latency_objective: f64,
    /// Longest time that the client waits, including its own retries, seconds.
    pub deadline: f64,
    /// Whether a request of the class may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: which endpoints share the memory of idempotency keys.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: how long repeats are discarded, from the first attempt that may have run,
    /// seconds.
    pub idempotency_window: f64,
    /// Share of the priority weight that an answer after the latency objective still earns, 0 to 1.
    pub late_weight_share: f64,
    /// Value of one request answered in time, relative to requests of other classes.
    pub priority_weight: f64,
}

/// A plan: quotas that apply to each tenant over all ingresses together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0: no rate quota.
    pub rate: f64,
    /// Size of the quota's token bucket, units.
    pub burst: f64,
    /// Limit on attempts in flight; 0: no limit.
    pub max_in_flight: u32,
    /// Share of its priority weight that a request served beyond the quota earns.
    pub excess_weight_share: f64,
    /// Share of its priority weight that a request served beyond the quota costs.
    pub excess_cost_share: f64,
    /// Units a second of the hard ceiling; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Size of the ceiling's token bucket, units.
    pub ceiling_burst: f64,
}

/// A value in an endpoint's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests that are being handled.
    InFlight,
    /// Requests that are waiting.
    Queue,
    /// Share of CPU in use.
    Utilization,
    /// Recent service time without queueing, milliseconds.
    LatencyMs,
    /// A value that the module does not use.
    Other,
}

/// Settings of an ingress, fixed when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of ingresses.
    pub ingresses: u32,
    /// Index of this ingress among them, from 0.
    pub ingress_index: u32,
    /// Zone of this ingress.
    pub zone: u32,
    /// Request classes, referred to by index.
    pub classes: Vec<Class>,
    /// Plans, referred to by index.
    pub plans: Vec<Plan>,
    /// Fields of an endpoint's load report, by position.
    pub load_report_fields: Vec<LoadReportField>,
    /// Whether load reports come only with health checks, not with answers.
    pub load_reports_by_health_check: bool,
    /// Whether the endpoint list must be requested (see [`super::Action::FollowEndpointList`]).
    pub endpoint_list_is_polled: bool,
    /// Whether health checks are allowed.
    pub health_checks_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Whether there is a counter service.
    pub counter: bool,
    /// Timeout of a counter call, seconds.
    pub counter_timeout: f64,
    /// Whether the units of a request are estimates that its answer corrects.
    pub settles_units_later: bool,
    /// Largest number of units of one request.
    pub max_units: f64,
    /// Largest number of attempts of one request.
    pub max_attempts: u32,
    /// Longest Retry-After that clients follow, seconds.
    pub max_retry_after: f64,
    /// Shortest time between two rounds of events, seconds. It limits the precision of every
    /// deadline.
    pub resolution: f64,
    /// Smallest share of its capacity that a newly started endpoint has, 0 to 1.
    pub initial_capacity_share: f64,
    /// Time after which an endpoint has its full capacity at the latest, seconds.
    pub warm_up: f64,
    /// Multiple of its current capacity above which an endpoint that is warming up fails, if it is
    /// exceeded for `overload_tolerance`.
    pub overload_factor: f64,
    /// Time for which an endpoint that is warming up withstands such an overload, seconds.
    pub overload_tolerance: f64,
}

/// Error of [`Settings::check`] for an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {problem}")]
pub struct SettingsError {
    /// The field, under the name used in error messages, for example `classes[0].aim`. It can
    /// differ from the key in the settings file.
    pub field: String,
    /// The requirement that the value does not meet.
    pub problem: String,
}

impl Settings {
    /// Checks that all values are valid.
    ///
    /// # Errors
    /// Returns the first invalid field and the requirement that it does not meet.
    pub fn check(&self) -> Result<(), SettingsError> {
        require(self.ingresses > 0, "balancers", "must be at least 1")?;
        require(
            self.ingress_index < self.ingresses,
            "position",
            "must be less than the number of ingresses",
        )?;
        require(!self.classes.is_empty(), "classes", "must not be empty")?;
        require(!self.plans.is_empty(), "plans", "must not be empty")?;
        require(self.max_attempts > 0, "max_attempts", "must be at least 1")?;
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
            "must be above 0 if the plan has a rate",
        )
    }
}

fn require(valid: bool, field: &str, problem: &str) -> Result<(), SettingsError> {
    if valid {
        return Ok(());
    }
    Err(SettingsError {
        field: field.to_string(),
        problem: problem.to_string(),
    })
}

fn require_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    let valid = value.is_finite() && value > 0.0;
    require(valid, field, "must be above 0")
}

fn require_not_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    let valid = value.is_finite() && value >= 0.0;
    require(valid, field, "must be 0 or more")
}
