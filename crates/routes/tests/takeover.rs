//! What a file takes over from the rules in force, and how they are replaced.

use driftgap_routes::{Replaced, Rules, Ticket};

fn can_change_threads<T: Send>() {}

fn can_be_shared<T: Send + Sync + Clone>() {}

#[test]
fn rules_are_read_and_dropped_on_other_threads_than_the_serving_one() {
    can_be_shared::<Rules>();
    can_change_threads::<Replaced>();
    can_change_threads::<Ticket>();
}
