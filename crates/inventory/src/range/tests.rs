use super::*;

#[test]
fn ranges_expand_with_width_letters_and_steps() {
    let expanded = |pattern| {
        names(pattern)
            .map(|names| names.join(" "))
            .unwrap_or_else(|e| format!("!{e}"))
    };
    assert_eq!(expanded("n[01:03].x"), "n01.x n02.x n03.x");
    assert_eq!(expanded("n[8:11]"), "n8 n9 n10 n11");
    assert_eq!(expanded("r[a:c]-[1:2]"), "ra-1 ra-2 rb-1 rb-2 rc-1 rc-2");
    assert_eq!(expanded("n[0:10:5]"), "n0 n5 n10");
    assert_eq!(expanded("plain"), "plain");
    assert_eq!(expanded("[fd00::1]:6379"), "[fd00::1]:6379");
    for wrong in [
        "n[3:1]",
        "n[a:3]",
        "n[01:100]",
        "n[1:2:0]",
        "n[0:4000000000]",
        "n[0:999][0:999]",
        "n[x]",
    ] {
        assert!(
            expanded(wrong).starts_with('!'),
            "{wrong}: {}",
            expanded(wrong)
        );
    }
}
