//! Totals that are missing, late, or lower than they were.

use super::*;

#[test]
fn what_a_call_without_a_total_added_is_granted_by_the_next_total() {
    // The counter adds a lease's units and its answer comes back spoilt. The units are counted and nobody has them: with
    // each such answer a tenant would lose a lease. The next total must grant them.
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(0, 1, 5, 1.0);
    let (name, first) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Error, 0.0);
    let (name, second) = ingress.counter_calls()[0];
    assert!(
        ingress.requests_sent().is_empty() && !ingress.is_rejected(id),
        "pending: the next total comes at once"
    );
    ingress.answer_counter(name, Outcome::Ok, first + second);
    assert_eq!(ingress.requests_sent(), vec![id]);
    let granted = 1
        + (0..100)
            .take_while(|_| !ingress.request_unit(5).is_empty())
            .count();
    assert_eq!(granted, (first + second) as usize);
}

#[test]
fn a_late_total_grants_what_its_call_added() {
    // A call to the counter times out, and its total comes after that. The units were added, so they must be granted.
    // Under a ceiling, so that no even share admits anything.
    let mut settings = settings();
    (
        settings.plans[1].ceiling_rate,
        settings.plans[1].ceiling_burst,
    ) = (20.0, 40.0);
    let mut ingress = TestIngress::just_started(settings, 4);
    // The last window is read first, as it is under a ceiling.
    ingress.request(0, 1, 5, 1.0);
    let (name, _) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, 0.0);
    let (name, amount) = ingress.counter_calls()[0];
    ingress.now += 0.1;
    ingress.answer_counter(name, Outcome::Timeout, 0.0);
    assert!(ingress.requests_sent().is_empty());
    ingress.handle(Event::CounterAnsweredLate {
        name,
        amount,
        total: amount,
    });
    assert_eq!(ingress.request_unit(5).len(), 1, "held locally");
}

#[test]
fn totals_that_go_back_are_not_granted_again() {
    // The counter restarts empty within a window, so that its totals go back. What this ingress was granted in the
    // window must not be granted again: each restart of the counter would be a new burst.
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let (mut name, mut amount) = ingress.counter_calls()[0];
    let mut total = amount;
    let mut admitted = 0;
    for i in 0..100 {
        if i == 10 {
            total = 0.0;
        }
        ingress.answer_counter(name, Outcome::Ok, total);
        admitted += ingress.requests_sent().len();
        ingress.request(0, 1, 5, 1.0);
        admitted += ingress.requests_sent().len();
        if let Some(&(n, a)) = ingress.counter_calls().first() {
            (name, amount) = (n, a);
            total += amount;
        }
    }
    assert!(
        admitted <= 31,
        "{admitted} units at once from a burst of 20 and a share of 10"
    );
}
