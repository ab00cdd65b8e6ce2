use super::*;

#[test]
fn fixed_clock_never_goes_back() {
    let clock = Clock::fixed(1e12);
    clock.set(1e12 + 5.0);
    clock.set(1e12);
    assert_eq!(clock.now(), 1e12 + 5.0);
    assert_eq!(
        clock.instant(1e12 + 20.0) - clock.instant(1e12),
        std::time::Duration::from_millis(20)
    );
}

#[test]
fn system_clock_shows_unix_time_and_advances() {
    let clock = Clock::system();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs_f64()
        * 1e3;
    let first = clock.now();
    assert!(
        (first - unix).abs() < 1000.0,
        "clock shows {first}, system time is {unix}"
    );
    assert!(clock.now() >= first);
}
