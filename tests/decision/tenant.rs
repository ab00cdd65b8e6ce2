//! Which tenants are remembered, and what an ingress that has just started does not know.

use super::*;

#[test]
fn memory_is_bounded_under_a_flood_of_new_tenants() {
    // A client sends every request under another tenant's id. What is remembered of tenants must not exhaust memory.
    let mut ingress = TestIngress::new(settings(), 2);
    for tenant in 0..60_000 {
        let id = ingress.request(0, 1, tenant, 1.0);
        if !ingress.is_rejected(id) {
            ingress.end_attempt(id, 0, Outcome::Ok);
        }
        if let Some(&(name, amount)) = ingress.counter_calls().first() {
            ingress.answer_counter(name, Outcome::Ok, amount);
        }
    }
    assert!(ingress.engine.tenants() <= 20_000);
}

#[test]
fn tenants_that_come_once_are_forgotten_when_their_bucket_is_full_again() {
    let mut ingress = TestIngress::new(settings(), 2);
    for tenant in 0..2000 {
        ingress.now += 0.05;
        let id = ingress.request(0, (tenant % 2) as usize, tenant, 1.0);
        if let Some(&(name, amount)) = ingress.counter_calls().first() {
            ingress.answer_counter(name, Outcome::Ok, amount);
        }
        ingress.end_attempt(id, 0, Outcome::Ok);
        ingress.tick(0.0);
    }
    // Windows of 2 s, three of them, at 10 new tenants a second, and a second between two looks.
    assert!(
        (60..=80).contains(&ingress.engine.tenants()),
        "{}",
        ingress.engine.tenants()
    );
}

#[test]
fn an_ingress_that_restarts_gets_no_second_burst_under_a_ceiling() {
    // An ingress restarts again and again while the counter is unavailable. Whatever it gave each time would add up
    // beyond the ceiling, so it gives nothing at first.
    let mut settings = settings();
    (
        settings.plans[1].ceiling_rate,
        settings.plans[1].ceiling_burst,
    ) = (20.0, 40.0);
    let mut sent = 0;
    for _ in 0..2 {
        // The counter is unavailable, and the ingress remembers nothing.
        let mut ingress = TestIngress::just_started(settings.clone(), 4);
        for _ in 0..30 {
            ingress.request(0, 1, 5, 1.0);
            sent += ingress.requests_sent().len();
            if let Some(&(name, _)) = ingress.counter_calls().first() {
                ingress.answer_counter(name, Outcome::Timeout, 0.0);
                sent += ingress.requests_sent().len();
            }
        }
    }
    assert_eq!(sent, 0, "the reserve starts empty");
}

#[test]
fn an_ingress_that_has_just_started_reads_what_was_used_before_and_an_older_one_does_not() {
    // An ingress forgets its tenants when it restarts. If it took their buckets to be full, each restart would give
    // them a second burst; so it reads what the last window had used before it grants anything.
    let mut ingress = TestIngress::just_started(settings(), 4);
    ingress.now += 0.1;
    let id = ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    assert_eq!(amount, 0.0, "the last window's total");
    ingress.answer_counter(name, Outcome::Ok, 60.0);
    let units_asked_for: f64 = ingress.counter_calls().iter().map(|c| c.1).sum();
    assert!(
        ingress.requests_sent().is_empty()
            && units_asked_for <= 1.0
            && (ingress.is_rejected(id) || units_asked_for > 0.0)
    );
    ingress.now += 60.0;
    ingress.request(0, 1, 6, 1.0);
    assert!(
        ingress.counter_calls()[0].1 > 0.0,
        "met long after the start: a lease at once"
    );
}
