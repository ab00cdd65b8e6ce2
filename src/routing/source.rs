//! Where the operator's rules are read from, and how much memory they may take.

use super::catalog;
use crate::config::operator_file::OperatorFile;
use crate::config::settings::Platform;
use driftgap_routes::{Catalog, Fault, ReadOptions, Rules};
use std::path::PathBuf;

/// The part of the memory that rules may take where there are any: the file's text, the rules in force and those that
/// a reload compiles, all together. Requests share what is left.
pub const RULE_MEMORY_SHARE: f64 = 0.25;

/// Where rules are read from: a file of their own, or a table of the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSource {
    path: PathBuf,
    /// The table of the file that holds them; none: the file holds nothing else.
    part: Option<&'static str>,
    /// Bytes that the file's text, the rules in force and those that are compiled anew may take together.
    max_bytes: usize,
}

impl RuleSource {
    /// The rules that the operator's file has or names, for an ingress with `memory_mb`; none: it has no rules.
    pub fn of(operator: &OperatorFile, memory_mb: f64) -> Option<RuleSource> {
        let routes = operator.routes.as_ref()?;
        let (path, part) = match &routes.file {
            Some(file) => (operator.folder.join(file), None),
            None => (operator.path.clone(), Some("routes")),
        };
        Some(RuleSource {
            path,
            part,
            max_bytes: max_bytes(memory_mb),
        })
    }

    /// A file of rules by itself, for an ingress with `memory_mb`.
    pub fn file(path: PathBuf, memory_mb: f64) -> RuleSource {
        RuleSource {
            path,
            part: None,
            max_bytes: max_bytes(memory_mb),
        }
    }

    /// Bytes that rules may take while they are read again: [`RULE_MEMORY_SHARE`] of the memory.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Reads and compiles the rules.
    ///
    /// # Errors
    /// The file cannot be read, or every fault of its rules.
    pub fn read(&self, platform: &Platform) -> Result<Rules, Vec<Fault>> {
        self.judge(&self.text()?, &catalog(platform), None)
    }

    /// The file's text.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn text(&self) -> Result<String, Vec<Fault>> {
        std::fs::read_to_string(&self.path).map_err(|e| {
            let line = format!("{}: {e}", self.path.display());
            vec![Fault {
                shown: line.clone(),
                line,
            }]
        })
    }

    /// Compiles rules from their text; rules of `previous` that have not changed are taken over as they are.
    ///
    /// # Errors
    /// Every fault of the rules.
    pub fn judge(
        &self,
        text: &str,
        catalog: &Catalog,
        previous: Option<&Rules>,
    ) -> Result<Rules, Vec<Fault>> {
        let file = self.path.display().to_string();
        let options = ReadOptions {
            previous,
            max_bytes: self.max_bytes,
        };
        Rules::read_part(text, &file, self.part, catalog, &options)
    }
}

/// Bytes that rules may take, out of the memory of the ingress.
fn max_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1e6 * RULE_MEMORY_SHARE) as usize
}
