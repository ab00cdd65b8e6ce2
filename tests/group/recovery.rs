//! Recovery of a group from one folder of a lost one.

use crate::peers::Peers;

/// Recovers a new group from the folder of process `i`. Returns where the old folder is now, and
/// the command's output.
pub fn recover(peers: &Peers, i: usize) -> (std::path::PathBuf, String) {
    let old = peers.home(i).join("old");
    std::fs::rename(peers.home(i).join("group"), &old).unwrap();
    let output = peers
        .command(i)
        .args(["group", "recover", "--from"])
        .arg(&old)
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    (old, String::from_utf8_lossy(&output.stdout).to_string())
}
