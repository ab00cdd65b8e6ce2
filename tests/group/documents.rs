//! Inventories and rules that the group stores, and starts with damaged files.

use crate::peers::play;

/// A member's files are truncated when it starts. The member must serve the group's last accepted
/// versions. A damaged file at a reload must change nothing, and a valid file must reach all
/// members.
#[test]
fn truncated_files_are_replaced_by_the_groups_versions() {
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
         logged 1 rules file cannot be used: using the last rules that the group accepted
         logged 1 inventory file cannot be used: using the last inventory that the group accepted
         whole 0 1 2
         call 1 ACK SUSPEND z1
         file 0 inventory.csv name,address\nz1,127.0.0.1:9\nz2,127.0.0.1:10\n
         hup 0
         logged 0 document stored by the group kind=Inventory number=2
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

/// No document can be submitted before three members vote. A member with truncated files that joins
/// as the second one therefore gets an answer from the group before the group holds a version. The
/// member must wait for the first version.
#[test]
fn member_with_truncated_files_waits_for_the_first_version() {
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
         logged 1 rules file cannot be used: using the last rules that the group accepted
         logged 1 inventory file cannot be used: using the last inventory that the group accepted
         whole 0 1 2
         call 1 ACK SUSPEND z1"#,
    );
}
