//! Local limits by key: the number of requests that pass, the Retry-After of rejected ones, and the
//! memory.

use driftgap_routes::{Allowance, Limit, LimitExceeded, LimitPermit};
use std::sync::Arc;

/// Checks the limit and, if it admits the request, acquires it.
fn check_and_acquire(
    limit: &Arc<Limit>,
    key: &str,
    now: f64,
) -> Result<Option<LimitPermit>, LimitExceeded> {
    limit.check(key, now).map(|hash| limit.acquire(hash, now))
}

/// Creates a limit of `rate` requests per second with a burst, for `keys` keys.
fn rate(rate: f64, burst: f64, keys: usize) -> Arc<Limit> {
    Arc::new(Limit::new(Allowance::Rate { rate, burst }, keys))
}

/// A client sends a burst and is rejected. A retry exactly after the Retry-After must be admitted,
/// and one half a millisecond earlier must not.
#[test]
fn rate_admits_burst_and_gives_exact_retry_after() {
    let limit = rate(10.0, 5.0, 64);
    assert_eq!(
        (0..20)
            .filter(|_| check_and_acquire(&limit, "a", 1000.0).is_ok())
            .count(),
        5
    );
    let wait = limit.check("a", 1000.0).unwrap_err().retry_after_ms;
    assert!((wait - 100.0).abs() < 1e-6, "{wait}");
    assert!(limit.check("a", 1000.0 + wait - 0.5).is_err());
    assert!(check_and_acquire(&limit, "a", 1000.0 + wait).is_ok());
    // Another key has its own bucket. A pause fills this bucket up to the burst and no further.
    assert!(check_and_acquire(&limit, "b", 1000.0).is_ok());
    assert_eq!(
        (0..20)
            .filter(|_| check_and_acquire(&limit, "a", 1e6).is_ok())
            .count(),
        5
    );
}

/// A client sends a request every millisecond for a minute. Rounding errors must not add up to more
/// or fewer requests than the rate.
#[test]
fn admitted_requests_match_rate_over_time() {
    let limit = rate(7.0, 3.0, 64);
    let count = (0..60_000)
        .filter(|ms| check_and_acquire(&limit, "a", f64::from(*ms)).is_ok())
        .count();
    assert!((420..=423).contains(&count), "{count}");
}

/// Two requests of a key are in flight, and a third is rejected. Once they have ended, the key must
/// not take memory any more; otherwise every key ever seen would.
#[test]
fn concurrency_limit_forgets_keys_without_requests_in_flight() {
    let limit = Arc::new(Limit::new(
        Allowance::Concurrency {
            max: 2,
            retry_after_ms: 250.0,
        },
        0,
    ));
    let permits: Vec<_> = (0..2)
        .map(|_| check_and_acquire(&limit, "a", 0.0).unwrap())
        .collect();
    assert_eq!(
        limit.check("a", 0.0),
        Err(LimitExceeded {
            retry_after_ms: 250.0
        })
    );
    assert!(limit.check("b", 0.0).is_ok());
    drop(permits);
    assert!(check_and_acquire(&limit, "a", 0.0).is_ok());
    assert_eq!(limit.active_keys(0.0), 0);
}

/// An attacker uses a new key for each request. The table must not grow, and all keys together must
/// not get more than its buckets allow.
#[test]
fn many_keys_are_bounded_in_memory_and_rate() {
    let limit = rate(1.0, 2.0, 1024);
    let before = limit.heap_bytes();
    let mut admitted = 0;
    for round in 0..5 {
        for key in 0..100_000 {
            let now = f64::from(round) * 1000.0 + f64::from(key) * 0.01;
            admitted += usize::from(check_and_acquire(&limit, &format!("k{key}"), now).is_ok());
        }
    }
    assert_eq!(limit.heap_bytes(), before);
    // 1,024 buckets with a burst of 2 and a rate of 1 per second, over 5 s.
    assert!(admitted <= 1024 * (2 + 5), "{admitted}");
    assert!(admitted >= 1024 * 4, "{admitted}");
    assert!(limit.statistics().evicted > 0 && limit.active_keys(1e9) == 0);
}

/// Many keys of regular clients are active, fewer than the table has buckets. None may lose its
/// debt to another one.
#[test]
fn keys_keep_their_debt_while_table_has_room() {
    let limit = rate(1.0, 1.0, 4096);
    for key in 0..400 {
        assert!(check_and_acquire(&limit, &format!("k{key}"), 0.0).is_ok());
    }
    for key in 0..400 {
        assert!(check_and_acquire(&limit, &format!("k{key}"), 500.0).is_err());
    }
}
