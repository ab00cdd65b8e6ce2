use super::*;

#[test]
fn longest_delay_is_taken_once_and_long_ones_are_counted() {
    let delay = TimerDelay::default();
    delay.record(1000.0, 1003.0);
    delay.record(1050.0, 1050.0 + LOGGED_DELAY_MS);
    delay.record(1400.0, 1401.0);
    assert_eq!(delay.take_longest_ms(), LOGGED_DELAY_MS);
    assert_eq!(delay.take_longest_ms(), 0.0);
    assert_eq!(delay.long_delays(), 1);
}
