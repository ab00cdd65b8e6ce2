use super::*;

#[test]
fn advice_is_never_earlier_than_was_meant() {
    assert_eq!(
        [0.0, 0.2, 250.0, 250.1].map(advice),
        [None, Some(1), Some(250), Some(251)]
    );
}
