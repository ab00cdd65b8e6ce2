//! A new group from what one folder of a lost one holds.

use crate::peers::Peers;

/// P's folder of the lost group begins a new one. Where the old folder is now, and what was said.
pub fn recover(peers: &Peers, i: usize) -> (std::path::PathBuf, String) {
    let old = peers.home(i).join("old");
    std::fs::rename(peers.home(i).join("group"), &old).unwrap();
    let said = peers
        .request(i)
        .args(["group", "recover", "--from"])
        .arg(&old)
        .output()
        .unwrap();
    assert!(
        said.status.success(),
        "{}",
        String::from_utf8_lossy(&said.stderr)
    );
    (old, String::from_utf8_lossy(&said.stdout).to_string())
}
