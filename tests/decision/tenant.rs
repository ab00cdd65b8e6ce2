//! Eviction of tenants, and the state of an ingress that has just started.

use super::*;

#[test]
fn memory_is_bounded_under_a_flood_of_new_tenants() {
    // A client sends every request under a new tenant id. The remembered tenants must not exhaust
    // memory.
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
fn idle_tenants_are_evicted_when_bucket_is_full() {
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
    // Three windows of 2 s at 10 new tenants a second, with one second between two evictions.
    assert!(
        (60..=80).contains(&ingress.engine.tenants()),
        "{}",
        ingress.engine.tenants()
    );
}

#[test]
fn restarted_ingress_grants_no_units_under_a_ceiling() {
    // An ingress restarts repeatedly while the counter is unavailable. Units granted after each
    // restart would add up beyond the ceiling, so it must grant nothing at first.
    let mut settings = settings();
    (
        settings.plans[1].ceiling_rate,
        settings.plans[1].ceiling_burst,
    ) = (20.0, 40.0);
    let mut sent = 0;
    for _ in 0..2 {
        // The counter is unavailable, and the ingress has no state from before its restart.
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
    assert_eq!(sent, 0, "reserve not empty after the start");
}

#[test]
fn only_new_ingress_reads_previous_total_before_granting() {
    // An ingress loses its tenants when it restarts. If it assumed full buckets, each restart would
    // grant them another burst, so it must read the total of the last window before it grants
    // anything.
    let mut ingress = TestIngress::just_started(settings(), 4);
    ingress.now += 0.1;
    let id = ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    assert_eq!(amount, 0.0, "the last total is not read first");
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
        "no lease requested immediately long after the start"
    );
}
