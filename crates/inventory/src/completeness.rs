//! Checks that a file is complete, by its last line and by what its comment lines declare:
//! `# driftgap: hosts=120` declares the number of hosts, and `# driftgap: ends` declares that the
//! last line is `# driftgap: end`.
//!
//! Detects a file that is read while a tool writes it: such a file lacks its last hosts and would
//! otherwise be accepted as a shorter list.

use crate::fault::{Fault, Faults, Location};
use std::sync::Arc;

const DECLARATION: &str = "# driftgap:";
const END_MARK: &str = "# driftgap: end";

/// Reports a file whose end is missing. Returns the number of hosts that the file declares, if it
/// declares one.
pub(crate) fn check(text: &str, file: &Arc<str>, faults: &mut Faults) -> Option<usize> {
    let last_line = text
        .lines()
        .rfind(|line| !line.trim().is_empty())
        .unwrap_or("");
    let end = Location::in_file(file, text.lines().count() as u64, 1);
    if !text.is_empty() && !text.ends_with('\n') && !text.trim_end().ends_with('}') {
        let help = "a complete file ends with a newline; the file may have been read while it was being written";
        let fault = Fault::error(&end, "the last line is cut off");
        faults.add(fault.value(last_line).help(help));
    }
    let declarations = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix(DECLARATION))
        .map(str::trim);
    let mut hosts = None;
    for declaration in declarations {
        match declaration {
            "ends" if last_line.trim() != END_MARK => {
                let problem = "the end mark that the file declares is missing";
                let fault = Fault::error(&end, problem);
                faults.add(fault.value(last_line).help(END_MARK));
            }
            "ends" | "end" => {}
            other => match declared_hosts(other) {
                Some(count) => hosts = Some(count),
                None => {
                    let start = Location::in_file(file, 1, 1);
                    let fault = Fault::error(&start, "is not a known declaration");
                    faults.add(fault.value(other).help("expected hosts=N, ends or end"));
                }
            },
        }
    }
    hosts
}

fn declared_hosts(declaration: &str) -> Option<usize> {
    declaration.strip_prefix("hosts=")?.parse().ok()
}
