//! Whether a file is complete: its last line, and what it declares of itself in comment lines, `# driftgap: hosts=120`
//! and `# driftgap: ends` where its last line is `# driftgap: end`.
//!
//! Guards against a file that is read while a tool writes it, which shows as a list that lacks its last hosts.

use crate::fault::{Fault, Faults, Location};
use std::sync::Arc;

const DECLARATION: &str = "# driftgap:";
const END_MARK: &str = "# driftgap: end";

/// Checks a file for its end; the number of hosts that it declares, if it does.
pub(crate) fn check(text: &str, file: &Arc<str>, faults: &mut Faults) -> Option<usize> {
    let last_line = text
        .lines()
        .rfind(|line| !line.trim().is_empty())
        .unwrap_or("");
    let end = Location::in_file(file, text.lines().count() as u64, 1);
    if !text.is_empty() && !text.ends_with('\n') && !text.trim_end().ends_with('}') {
        let help = "a whole file ends with a line break; it may have been read half-written";
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
                    let fault = Fault::error(&start, "is nothing that a file can declare");
                    faults.add(fault.value(other).help("hosts=N, ends or end"));
                }
            },
        }
    }
    hosts
}

fn declared_hosts(declaration: &str) -> Option<usize> {
    declaration.strip_prefix("hosts=")?.parse().ok()
}
