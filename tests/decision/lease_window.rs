//! Totals that are missing, late, or lower than before.

use super::*;

#[test]
fn next_total_grants_units_of_call_without_total() {
    // The counter adds the units of a lease, but its answer contains no total. The units are
    // counted although no ingress holds them, so a tenant would lose a lease with each such answer.
    // The next total must grant them.
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(0, 1, 5, 1.0);
    let (name, first) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Error, 0.0);
    let (name, second) = ingress.counter_calls()[0];
    assert!(
        ingress.requests_sent().is_empty() && !ingress.is_rejected(id),
        "not pending while the next total is read"
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
fn late_total_grants_the_units_of_its_call() {
    // A counter call times out and its total arrives afterwards. The units were added, so they must
    // be granted. A ceiling keeps the even share from admitting requests.
    let mut settings = settings();
    (
        settings.plans[1].ceiling_rate,
        settings.plans[1].ceiling_burst,
    ) = (20.0, 40.0);
    let mut ingress = TestIngress::just_started(settings, 4);
    // Under a ceiling, the total of the last window is read first.
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
    assert_eq!(
        ingress.request_unit(5).len(),
        1,
        "units are not held locally"
    );
}

#[test]
fn counter_restart_does_not_grant_units_twice() {
    // The counter restarts empty within a window, so its totals decrease. Units that this ingress
    // was granted in the window must not be granted again, or each restart of the counter would
    // allow another burst.
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
        "{admitted} units admitted with a burst of 20 and a share of 10"
    );
}
