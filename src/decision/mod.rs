//! Decisions about a request: whether it is admitted, which endpoint it is sent to, whether it is
//! retried.
//!
//! The module is sans-I/O: a [`DecisionEngine`] takes one [`Event`] at a time with the time of the
//! event and appends [`Action`]s for the program that embeds it. The same events produce the same
//! actions. The module uses no sockets, clocks or wire formats, and its only information about load
//! comes from events.
//!
//! Each file contains one mechanism and opens with its rule, its inputs, and the failures that it
//! guards against:
//!
//! | question | file |
//! | --- | --- |
//! | Is a request admitted, rejected or failed? | `admission` |
//! | How loaded is this ingress? | `load_level` |
//! | Does its tenant's quota hold a request? | `quota` |
//! | ... if the quota is large, small | `quota_lease` with `lease_window`, `shared_token_bucket` |
//! | Can the counter be relied on? | `counter_health`, `counter_call` |
//! | Which endpoint is an attempt sent to? | `endpoint_selection`, with `latency` |
//! | How many attempts is a new endpoint sent? | `slow_start` |
//! | When is an endpoint ejected and readmitted? | `outlier_ejection` |
//! | For which classes and plans is an endpoint excluded? | `exclusion` |
//! | Is a request retried? | `retry` |
//! | What happens to attempts that take long? Is a request hedged? | `hedging` |
//! | What does the end of an attempt change? | `attempt` |
//!
//! State: `endpoint`, `request`, `tenant`. [`DecisionEngine::handle`] (`engine`) passes each event
//! to its mechanism. `settings` and `event` are the interface; [`driver`] turns it into calls for
//! network code.
//!
//! ```
//! use driftgap::decision::*;
//!
//! let settings = Settings {
//!     ingresses: 2,
//!     ingress_index: 0,
//!     zone: 0,
//!     classes: vec![Class {
//!         latency_objective: 0.5,
//!         deadline: 2.0,
//!         idempotency: Idempotency::Safe,
//!         deduplication_scope: DeduplicationScope::All,
//!         idempotency_window: 0.0,
//!         late_weight_share: 0.0,
//!         priority_weight: 1.0,
//!     }],
//!     plans: vec![Plan {
//!         rate: 10.0,
//!         burst: 20.0,
//!         max_in_flight: 0,
//!         excess_weight_share: 0.0,
//!         excess_cost_share: 1.0,
//!         ceiling_rate: 0.0,
//!         ceiling_burst: 0.0,
//!     }],
//!     load_report_fields: vec![],
//!     load_reports_by_health_check: false,
//!     endpoint_list_is_polled: false,
//!     health_checks_allowed: true,
//!     cancellation_allowed: true,
//!     hedging: true,
//!     counter: true,
//!     counter_timeout: 0.1,
//!     settles_units_later: false,
//!     max_units: 4.0,
//!     max_attempts: 3,
//!     max_retry_after: 2.0,
//!     resolution: 0.002,
//!     initial_capacity_share: 0.2,
//!     warm_up: 15.0,
//!     overload_factor: 3.0,
//!     overload_tolerance: 2.0,
//! };
//! let mut engine = DecisionEngine::new(settings, 7)?;
//! let mut actions = Vec::new();
//!
//! // Announce one endpoint.
//! let entry = EndpointEntry {
//!     id: 42,
//!     zone: 0,
//!     cell: 0,
//!     state: EndpointState::Ready,
//!     capacity: 1.0,
//!     started_at: 0.0,
//!     pools: ALL_ENDPOINTS,
//! };
//! let list = Event::EndpointList { kind: ListKind::Full, entries: vec![entry] };
//! engine.handle(100.0, list, &mut actions);
//!
//! // A request waits while the engine asks the counter for a lease of its tenant's units ...
//! let request = Request {
//!     id: 1,
//!     gives_up_at: 202.0,
//!     class: 0,
//!     plan: 0,
//!     tenant: 9,
//!     units: 2.0,
//!     ingress_count: 2,
//!     first_ingress: 0,
//!     is_retry: false,
//!     pools: ALL_ENDPOINTS,
//! };
//! actions.clear();
//! engine.handle(200.1, Event::RequestArrived(request), &mut actions);
//! let call = actions.iter().find_map(|a| match a {
//!     Action::AddToCounter { name, amount, .. } => Some((*name, *amount)),
//!     _ => None,
//! });
//! let (name, amount) = call.expect("a call");
//!
//! // ... is admitted and sent when the counter answers ...
//! actions.clear();
//! let answer = Event::CounterAnswered { name, outcome: Outcome::Ok, total: amount };
//! engine.handle(200.11, answer, &mut actions);
//! assert!(actions.contains(&Action::Send { id: 1, endpoint: 42, timeout: 0.0 }));
//!
//! // ... and is finished when its attempt succeeds: no action remains.
//! actions.clear();
//! let ended = Event::AttemptEnded(AttemptEnd {
//!     id: 1,
//!     attempt: 0,
//!     outcome: Outcome::Ok,
//!     request_finished: true,
//!     settled_units: None,
//!     report: vec![],
//! });
//! engine.handle(200.2, ended, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```

mod admission;
mod attempt;
mod counter_call;
mod counter_health;
pub mod driver;
mod endpoint;
mod endpoint_selection;
mod engine;
mod event;
mod exclusion;
mod hedging;
mod latency;
mod lease_window;
mod load_level;
mod outlier_ejection;
mod quota;
mod quota_lease;
mod rejection_counts;
mod request;
mod retry;
mod settings;
mod shared_token_bucket;
mod slow_start;
mod stable_hash;
mod tenant;

pub use engine::DecisionEngine;
pub use event::*;
pub use rejection_counts::RejectionCounts;
pub use settings::*;
