//! Local limits by key: how many requests pass, when rejected ones may be retried, and what is remembered.

use driftgap_routes::{Allowance, Limit, LimitExceeded, LimitPermit};
use std::sync::Arc;

/// Checks the limit and, if it admits the request, acquires it.
fn passed(limit: &Arc<Limit>, key: &str, now: f64) -> Result<Option<LimitPermit>, LimitExceeded> {
    limit.check(key, now).map(|hash| limit.acquire(hash, now))
}

/// A rate a second, with a burst, for so many keys.
fn rate(rate: f64, burst: f64, keys: usize) -> Arc<Limit> {
    Arc::new(Limit::new(Allowance::Rate { rate, burst }, keys))
}

/// A client sends a burst and is rejected. If it comes back exactly when it was told to, it must be admitted, and half a
/// millisecond earlier it must not.
#[test]
fn a_rate_lets_a_burst_through_and_gives_an_exact_retry_after() {
    let limit = rate(10.0, 5.0, 64);
    assert_eq!(
        (0..20)
            .filter(|_| passed(&limit, "a", 1000.0).is_ok())
            .count(),
        5
    );
    let wait = limit.check("a", 1000.0).unwrap_err().retry_after_ms;
    assert!((wait - 100.0).abs() < 1e-6, "{wait}");
    assert!(limit.check("a", 1000.0 + wait - 0.5).is_err());
    assert!(passed(&limit, "a", 1000.0 + wait).is_ok());
    // Another key has a bucket of its own; a pause fills this one, up to the burst and no further.
    assert!(passed(&limit, "b", 1000.0).is_ok());
    assert_eq!(
        (0..20).filter(|_| passed(&limit, "a", 1e6).is_ok()).count(),
        5
    );
}

/// A client asks every millisecond for a minute. Rounding must not add up to more or fewer requests than the rate.
#[test]
fn over_a_long_time_exactly_the_rate_passes() {
    let limit = rate(7.0, 3.0, 64);
    let count = (0..60_000)
        .filter(|ms| passed(&limit, "a", f64::from(*ms)).is_ok())
        .count();
    assert!((420..=423).contains(&count), "{count}");
}

/// Two requests of a key are in flight, and a third is rejected. Once they have ended nothing of the key is remembered:
/// otherwise every key ever seen would take memory.
#[test]
fn a_concurrency_limit_counts_what_is_in_flight_and_forgets_the_rest() {
    let limit = Arc::new(Limit::new(
        Allowance::Concurrency {
            max: 2,
            retry_after_ms: 250.0,
        },
        0,
    ));
    let held: Vec<_> = (0..2).map(|_| passed(&limit, "a", 0.0).unwrap()).collect();
    assert_eq!(
        limit.check("a", 0.0),
        Err(LimitExceeded {
            retry_after_ms: 250.0
        })
    );
    assert!(limit.check("b", 0.0).is_ok());
    drop(held);
    assert!(passed(&limit, "a", 0.0).is_ok());
    assert_eq!(limit.active_keys(0.0), 0);
}

/// An attacker sends each request under a new key. The table must not grow, and all keys together must not get more than
/// its buckets allow.
#[test]
fn whatever_keys_arrive_memory_stays_and_all_together_get_what_the_buckets_allow() {
    let limit = rate(1.0, 2.0, 1024);
    let before = limit.heap_bytes();
    let mut admitted = 0;
    for round in 0..5 {
        for key in 0..100_000 {
            let now = f64::from(round) * 1000.0 + f64::from(key) * 0.01;
            admitted += usize::from(passed(&limit, &format!("k{key}"), now).is_ok());
        }
    }
    assert_eq!(limit.heap_bytes(), before);
    // 1,024 buckets with a burst of 2 and one a second over 5 s.
    assert!(admitted <= 1024 * (2 + 5), "{admitted}");
    assert!(admitted >= 1024 * 4, "{admitted}");
    assert!(limit.statistics().evicted > 0 && limit.active_keys(1e9) == 0);
}

/// Many honest keys are active, fewer than the table has buckets. None may lose its debt to another one.
#[test]
fn a_key_keeps_its_limit_beside_as_many_as_there_are_buckets_for() {
    let limit = rate(1.0, 1.0, 4096);
    for key in 0..400 {
        assert!(passed(&limit, &format!("k{key}"), 0.0).is_ok());
    }
    for key in 0..400 {
        assert!(passed(&limit, &format!("k{key}"), 500.0).is_err());
    }
}
