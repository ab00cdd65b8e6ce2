//! Inventories and rules that the group keeps, and starts with torn files.

use crate::peers::play;

/// A member's files are torn when it starts. It must serve the group's last good versions; a torn file at a reload
/// must change nothing, and a good one must reach all.
#[test]
fn a_torn_inventory_and_torn_rules_are_served_from_the_groups_last_good_ones() {
    play(
        3,
        r#"file 0 inventory.csv name,address\nz1,127.0.0.1:9\n
         file 1 inventory.csv name,address\nz1,127.0.0.1:9\n
         file 2 inventory.csv name,address\nz1,127.0.0.1:9\n
         start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND z1
         call 0 ACK RESTORE z1
         call 0 ACK SUSPEND z1
         kill 1
         file 1 inventory.csv name,address\nz1,127.0.0.1:
         file 1 rules.toml [[rule]
         start 1
         logged 1 serves the group's last good rules
         logged 1 serves the group's last good inventory
         whole 0 1 2
         call 1 ACK SUSPEND z1
         file 0 inventory.csv name,address\nz1,127.0.0.1:9\nz2,127.0.0.1:10\n
         hup 0
         logged 0 stored by the group kind=Inventory number=2
         file 2 inventory.csv name,address\nz3,127.0.0.1
         hup 2
         logged 2 the old list stays
         kill 1
         start 1
         logged 1 number=2
         call 1 ACK SUSPEND z2
         call 1 NAK SUSPEND z3"#,
    );
}

/// Nothing can be handed in before three members vote: one with torn files that is let in as the second finds a group
/// that answers and holds no version of them yet.
#[test]
fn a_member_with_torn_files_waits_for_the_first_version_that_the_group_keeps() {
    play(
        3,
        r#"file 0 inventory.csv name,address\nz1,127.0.0.1:9\n
         file 1 inventory.csv name,address\nz1,127.0.0.1:
         file 1 rules.toml [[rule]
         file 2 inventory.csv name,address\nz1,127.0.0.1:9\n
         start 0 1
         says 0 m1:2:votes
         runs 1 1000
         start 2
         logged 1 serves the group's last good rules
         logged 1 serves the group's last good inventory
         whole 0 1 2
         call 1 ACK SUSPEND z1"#,
    );
}
