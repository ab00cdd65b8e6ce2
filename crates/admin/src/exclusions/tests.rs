use super::*;

#[test]
fn repeated_exclude_is_undone_by_one_restore() {
    let mut excluded = ExcludedEndpoints::default();
    excluded.mark_listed("s-1");
    assert_eq!(excluded.exclude("s-1"), ExclusionOutcome::Done);
    assert_eq!(excluded.exclude("s-1"), ExclusionOutcome::AlreadyDone);
    assert!(excluded.is_excluded("s-1"));
    assert_eq!(excluded.restore("s-1"), ExclusionOutcome::Done);
    assert_eq!(excluded.restore("s-1"), ExclusionOutcome::AlreadyDone);
    assert!(!excluded.is_excluded("s-1"));
    assert_eq!(
        (excluded.exclude("s-2"), excluded.restore("s-2")),
        (ExclusionOutcome::NeverListed, ExclusionOutcome::NeverListed)
    );
}

/// Endpoints come and go for days, and the number of remembered names is bounded. An excluded
/// endpoint must not get requests again because its name has been forgotten.
#[test]
fn endpoint_stays_excluded_after_its_name_is_forgotten() {
    let mut excluded = ExcludedEndpoints::default();
    excluded.mark_listed("s-1");
    excluded.exclude("s-1");
    (0..2 * MAX_LISTED).for_each(|i| excluded.mark_listed(&format!("n-{i}")));
    assert!(
        excluded.is_excluded("s-1")
            && excluded.listed.len() == MAX_LISTED
            && excluded.listed_order.len() == MAX_LISTED
    );
    assert_eq!(excluded.exclude("s-1"), ExclusionOutcome::AlreadyDone);
    assert_eq!(excluded.restore("s-1"), ExclusionOutcome::Done);
    let full = (0..MAX_EXCLUDED).all(|i| {
        excluded.exclude(&format!("n-{}", 2 * MAX_LISTED - 1 - i)) == ExclusionOutcome::Done
    });
    assert!(
        full && excluded.exclude(&format!("n-{}", 2 * MAX_LISTED - 1 - MAX_EXCLUDED))
            == ExclusionOutcome::TooMany
    );
}

#[test]
fn takeover_replaces_the_local_exclusions() {
    let mut excluded = ExcludedEndpoints::default();
    ["s-1", "s-2", "s-3"]
        .iter()
        .for_each(|name| excluded.mark_listed(name));
    excluded.exclude("s-1");
    excluded.exclude("s-2");
    let changed = excluded.take_over(["s-2".to_string(), "s-4".to_string()].into());
    assert_eq!(changed, ["s-1", "s-4"]);
    assert_eq!(excluded.iter().collect::<Vec<_>>(), ["s-2", "s-4"]);
}

#[test]
fn group_and_local_exclusions_are_independent() {
    let mut excluded = ExcludedEndpoints::default();
    ["s-1", "s-2"]
        .iter()
        .for_each(|name| excluded.mark_listed(name));
    excluded.exclude("s-1");
    let name_set = |names: &[&str]| Arc::new(names.iter().map(|n| n.to_string()).collect());
    assert_eq!(
        excluded.set_group_exclusions(name_set(&["s-1", "s-2"])),
        ["s-1", "s-2"]
    );
    assert_eq!(excluded.iter().collect::<Vec<_>>(), ["s-1", "s-2"]);
    assert_eq!(excluded.set_group_exclusions(name_set(&[])), ["s-1", "s-2"]);
    assert!(
        excluded.is_excluded("s-1")
            && excluded.is_excluded_here("s-1")
            && !excluded.is_excluded("s-2")
    );
}
