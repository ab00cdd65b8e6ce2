//! Endpoints that staff have taken out. It owns which names are out, and which were ever listed: a call for a name
//! that never was is a slip of the pen and gets a no. It must never forget a name that is out before the call that
//! puts it back, whatever the lists say meanwhile, nor hold more names than its bounds.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Most names that are out at a time.
pub const MAX_EXCLUDED: usize = 1024;
/// Names remembered as listed once; beyond, those first seen go first. Bounds memory on long days.
const MAX_SEEN: usize = 8192;

/// What has become of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionOutcome {
    /// It is done.
    Done,
    /// It was so before.
    Before,
    /// No list has ever named such an endpoint.
    Unknown,
    /// Too many are out.
    TooMany,
}

/// Names that are out, and names ever listed.
#[derive(Clone, Debug, Default)]
pub struct ExcludedEndpoints {
    out: BTreeSet<String>,
    /// Those that the group of ingresses has taken out.
    group: Arc<BTreeSet<String>>,
    seen: BTreeSet<String>,
    order: VecDeque<String>,
}

impl ExcludedEndpoints {
    /// A list names this endpoint.
    pub fn listed(&mut self, name: &str) {
        if !self.seen.contains(name) {
            self.seen.insert(name.to_string());
            self.order.push_back(name.to_string());
            if self.order.len() > MAX_SEEN {
                if let Some(first) = self.order.pop_front() {
                    self.seen.remove(&first);
                }
            }
        }
    }

    /// Whether it is out, by a call here or for the whole group.
    pub fn is_out(&self, name: &str) -> bool {
        self.out.contains(name) || self.group.contains(name)
    }

    /// All that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.union(&self.group).map(String::as_str)
    }

    /// Whether a call here has taken it out.
    pub fn is_excluded_here(&self, name: &str) -> bool {
        self.out.contains(name)
    }

    /// Whether any list has named it.
    pub fn was_listed(&self, name: &str) -> bool {
        self.seen.contains(name)
    }

    /// What the group holds from now on; the names that have changed.
    pub fn set_group_exclusions(&mut self, names: Arc<BTreeSet<String>>) -> Vec<String> {
        let changed = self.group.symmetric_difference(&names).cloned().collect();
        self.group = names;
        changed
    }

    /// Takes one out.
    pub fn suspend(&mut self, name: &str) -> ExclusionOutcome {
        if self.out.contains(name) {
            return ExclusionOutcome::Before;
        }
        if !self.seen.contains(name) {
            return ExclusionOutcome::Unknown;
        }
        if self.out.len() >= MAX_EXCLUDED {
            return ExclusionOutcome::TooMany;
        }
        self.out.insert(name.to_string());
        ExclusionOutcome::Done
    }

    /// Puts one back.
    pub fn restore(&mut self, name: &str) -> ExclusionOutcome {
        if self.out.remove(name) {
            ExclusionOutcome::Done
        } else if self.seen.contains(name) {
            ExclusionOutcome::Before
        } else {
            ExclusionOutcome::Unknown
        }
    }

    /// Takes over what another process of this ingress holds; the names that have changed.
    pub fn take_over(&mut self, names: BTreeSet<String>) -> Vec<String> {
        let names: BTreeSet<String> = names.into_iter().take(MAX_EXCLUDED).collect();
        let changed = self.out.symmetric_difference(&names).cloned().collect();
        self.out = names;
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_out_may_be_repeated_and_one_call_back_ends_it() {
        let mut excluded = ExcludedEndpoints::default();
        excluded.listed("s-1");
        assert_eq!(excluded.suspend("s-1"), ExclusionOutcome::Done);
        assert_eq!(excluded.suspend("s-1"), ExclusionOutcome::Before);
        assert!(excluded.is_out("s-1"));
        assert_eq!(excluded.restore("s-1"), ExclusionOutcome::Done);
        assert_eq!(excluded.restore("s-1"), ExclusionOutcome::Before);
        assert!(!excluded.is_out("s-1"));
        assert_eq!(
            (excluded.suspend("s-2"), excluded.restore("s-2")),
            (ExclusionOutcome::Unknown, ExclusionOutcome::Unknown)
        );
    }

    #[test]
    fn what_is_out_stays_out_however_many_names_come_by() {
        let mut excluded = ExcludedEndpoints::default();
        excluded.listed("s-1");
        excluded.suspend("s-1");
        (0..2 * MAX_SEEN).for_each(|i| excluded.listed(&format!("n-{i}")));
        assert!(
            excluded.is_out("s-1")
                && excluded.seen.len() == MAX_SEEN
                && excluded.order.len() == MAX_SEEN
        );
        assert_eq!(excluded.suspend("s-1"), ExclusionOutcome::Before);
        assert_eq!(excluded.restore("s-1"), ExclusionOutcome::Done);
        let full = (0..MAX_EXCLUDED).all(|i| {
            excluded.suspend(&format!("n-{}", 2 * MAX_SEEN - 1 - i)) == ExclusionOutcome::Done
        });
        assert!(
            full && excluded.suspend(&format!("n-{}", 2 * MAX_SEEN - 1 - MAX_EXCLUDED))
                == ExclusionOutcome::TooMany
        );
    }

    #[test]
    fn another_process_says_what_is_out() {
        let mut excluded = ExcludedEndpoints::default();
        ["s-1", "s-2", "s-3"]
            .iter()
            .for_each(|name| excluded.listed(name));
        excluded.suspend("s-1");
        excluded.suspend("s-2");
        let changed = excluded.take_over(["s-2".to_string(), "s-4".to_string()].into());
        assert_eq!(changed, ["s-1", "s-4"]);
        assert_eq!(excluded.out().collect::<Vec<_>>(), ["s-2", "s-4"]);
    }

    #[test]
    fn what_the_group_holds_stands_beside_what_was_said_here() {
        let mut excluded = ExcludedEndpoints::default();
        ["s-1", "s-2"].iter().for_each(|name| excluded.listed(name));
        excluded.suspend("s-1");
        let held = |names: &[&str]| Arc::new(names.iter().map(|n| n.to_string()).collect());
        assert_eq!(
            excluded.set_group_exclusions(held(&["s-1", "s-2"])),
            ["s-1", "s-2"]
        );
        assert_eq!(excluded.out().collect::<Vec<_>>(), ["s-1", "s-2"]);
        assert_eq!(excluded.set_group_exclusions(held(&[])), ["s-1", "s-2"]);
        assert!(
            excluded.is_out("s-1") && excluded.is_excluded_here("s-1") && !excluded.is_out("s-2")
        );
    }
}
