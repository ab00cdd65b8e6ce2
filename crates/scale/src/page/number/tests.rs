//! Tests of number formatting.

use super::*;

#[test]
fn formats_three_significant_digits_and_groups_thousands() {
    let written = [
        0.0,
        0.000_123_46,
        1.0,
        64.0,
        99.96,
        1234.0,
        1_100_000.0,
        -20_480.4,
    ]
    .map(number);
    assert_eq!(
        written,
        [
            "0",
            "0.000123",
            "1",
            "64",
            "100",
            "1,230",
            "1,100,000",
            "-20,500"
        ]
    );
    assert_eq!(share(Share::At(0.048_76)), "4.88%");
}
