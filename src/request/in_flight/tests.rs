use super::*;
use crate::decision::driver::RequestAttributes;
use crate::decision::ALL_ENDPOINTS;

/// How long the endpoints of a keyed class know a key, s.
const WINDOW_S: f64 = 2.0;
const CONNECT_TIMEOUT_MS: f64 = 100.0;

const HERE: Location = Location { zone: 0, cell: 0 };
const OTHER_CELL: Location = Location { zone: 0, cell: 1 };
const OTHER_ZONE: Location = Location { zone: 1, cell: 2 };

fn class(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> Class {
    Class {
        latency_objective: 1.0,
        deadline: 10.0,
        idempotency,
        deduplication_scope,
        idempotency_window: WINDOW_S,
        late_weight_share: 0.0,
        priority_weight: 1.0,
    }
}

fn request() -> InFlightRequest {
    let request = ClientRequest {
        attributes: RequestAttributes {
            class: 0,
            plan: 0,
            tenant: 7,
            units: 1.0,
            ingress_count: 1,
            first_ingress: 0,
            is_retry: false,
            pools: ALL_ENDPOINTS,
        },
        tenant: "0000000000000007".into(),
        id: "k".into(),
        terms: String::new(),
        client_timeout_ms: 10_000.0,
        body: None,
        notes: Vec::new(),
    };
    InFlightRequest::new(Rc::new(request), 10_000.0)
}

/// A request whose one attempt went out at time 0 and ended so.
fn after(outcome: Outcome) -> InFlightRequest {
    let mut request = request();
    request.add_sent_attempt(0.0, HERE);
    assert!(request.end_attempt(0, outcome));
    request
}

fn next(now_ms: f64, location: Location) -> NextAttempt {
    NextAttempt {
        now_ms,
        location,
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
    }
}

/// An attempt ends in each way that there is. Where it may have run, a request with an effect must neither be
/// sent again nor its client be asked to retry: the effect would be there twice.
#[test]
fn only_outcomes_that_prove_that_nothing_ran_allow_an_unsafe_request_to_be_repeated() {
    use Outcome::*;
    let unsafe_class = class(Idempotency::Unsafe, DeduplicationScope::All);
    let safe_class = class(Idempotency::Safe, DeduplicationScope::All);
    let next = next(50.0, HERE);
    for (outcome, harmless) in [
        (Ok, false),
        (Error, false),
        (Rejected, true),
        (Timeout, false),
        (ConnectFailed, true),
        (Reset, false),
        (Cancelled, false),
        (NotSent, true),
    ] {
        let request = after(outcome);
        let repeated = request.may_be_sent_again(&unsafe_class, &next);
        let asked = request.client_may_retry(&unsafe_class);
        assert_eq!((repeated, asked), (harmless, harmless), "{outcome:?}");
        let repeated = request.may_be_sent_again(&safe_class, &next);
        let asked = request.client_may_retry(&safe_class);
        assert_eq!((repeated, asked), (true, true), "{outcome:?}, safe");
    }
}

/// An attempt is still running when the next one is asked for. It may run at any moment, so it counts as one
/// that has.
#[test]
fn a_running_attempt_may_have_run() {
    let unsafe_class = class(Idempotency::Unsafe, DeduplicationScope::All);
    let mut request = request();
    request.add_unsent_attempt(0.0);
    assert!(request.may_be_sent_again(&unsafe_class, &next(1.0, HERE)));
    request.add_sent_attempt(0.0, HERE);
    assert!(!request.may_be_sent_again(&unsafe_class, &next(1.0, HERE)));
    assert!(!request.client_may_retry(&unsafe_class));
    assert_eq!(
        (request.running_attempts(), request.attempts()),
        (vec![1], 2)
    );
    assert!(request.end_attempt(1, Outcome::Rejected) && !request.end_attempt(1, Outcome::Error));
    assert!(request.may_be_sent_again(&unsafe_class, &next(1.0, HERE)));
}

/// A keyed request's first attempt is lost. An endpoint outside the scope does not know its key, and none
/// knows it once the window is over; both would run the request a second time.
#[test]
fn a_keyed_request_is_repeated_within_its_scope_and_window_only() {
    use DeduplicationScope::*;
    let request = after(Outcome::Reset);
    for (scope, here, other_cell, other_zone) in [
        (All, true, true, true),
        (Zone, true, true, false),
        (Cell, true, false, false),
    ] {
        let keyed = class(Idempotency::Keyed, scope);
        let allowed = [HERE, OTHER_CELL, OTHER_ZONE]
            .map(|location| request.may_be_sent_again(&keyed, &next(50.0, location)));
        assert_eq!(allowed, [here, other_cell, other_zone], "{scope:?}");
    }
    // The connection may come up that much later, and the request be written only then.
    let last_ms = 1e3 * WINDOW_S - CONNECT_TIMEOUT_MS;
    let keyed = class(Idempotency::Keyed, All);
    let allowed = [last_ms - 1.0, last_ms]
        .map(|now_ms| request.may_be_sent_again(&keyed, &next(now_ms, HERE)));
    assert_eq!(allowed, [true, false]);
    assert!(
        !request.client_may_retry(&keyed),
        "another ingress knows of no attempt"
    );
}
