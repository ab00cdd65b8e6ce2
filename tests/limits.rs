//! The limits on the decision module: its size, its line length, its head.

const BALANCE: &str = include_str!("../src/balance.rs");

#[test]
fn the_module_stays_small() {
    let lines = BALANCE.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines that are not blank");
}

#[test]
fn no_line_is_long() {
    for (i, line) in BALANCE.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", i + 1);
    }
}

#[test]
fn the_head_names_the_interface() {
    assert!(BALANCE.lines().take(5).any(|l| l.contains("src/api.rs")));
}
