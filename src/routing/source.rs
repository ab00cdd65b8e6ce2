//! The file that the operator's rules are read from, and the memory limit of the rules.

use super::catalog;
use crate::config::operator_file::OperatorFile;
use crate::config::regular_file::require_regular;
use crate::config::settings::Platform;
use driftgap_routes::{Catalog, Fault, ReadOptions, Rules};
use std::path::PathBuf;

/// Share of the memory that is reserved for rules, if there are any: for the file's text, the rules
/// in force, and the rules that a reload compiles. Requests share the rest.
pub const RULE_MEMORY_SHARE: f64 = 0.25;

/// The source of the rules: a separate file, or a table of the operator's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleSource {
    path: PathBuf,
    /// The table of the file that contains the rules; `None` if the whole file does.
    table: Option<&'static str>,
    /// Memory limit for the file's text, the rules in force and the rules that a reload compiles,
    /// bytes.
    max_bytes: usize,
}

impl RuleSource {
    /// The source of the rules that the operator's file contains or names, for an ingress with
    /// `memory_mb`; `None` if there are none.
    pub fn of(operator: &OperatorFile, memory_mb: f64) -> Option<RuleSource> {
        let routes = operator.routes.as_ref()?;
        let (path, table) = match &routes.file {
            Some(file) => (operator.folder.join(file), None),
            None => (operator.path.clone(), Some("routes")),
        };
        Some(RuleSource {
            path,
            table,
            max_bytes: max_bytes(memory_mb),
        })
    }

    /// A separate file of rules, for an ingress with `memory_mb`.
    pub fn file(path: PathBuf, memory_mb: f64) -> RuleSource {
        RuleSource {
            path,
            table: None,
            max_bytes: max_bytes(memory_mb),
        }
    }

    /// Memory limit of the rules during a reload, bytes: [`RULE_MEMORY_SHARE`] of the memory.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Reads and compiles the rules.
    ///
    /// # Errors
    /// The file cannot be read, or its rules have faults; all of them.
    pub fn read(&self, platform: &Platform) -> Result<Rules, Vec<Fault>> {
        self.compile(&self.text()?, &catalog(platform), None)
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn text(&self) -> Result<String, Vec<Fault>> {
        std::fs::read_to_string(&self.path).map_err(|e| self.unreadable(&e))
    }

    /// Reads the file's text, which must be in a regular file: a reload that waits for the writer of a
    /// pipe would be the last one.
    ///
    /// # Errors
    /// The file cannot be read, or is not a regular file.
    pub fn text_of_regular_file(&self) -> Result<String, Vec<Fault>> {
        require_regular(&self.path).map_err(|e| self.unreadable(&e))?;
        self.text()
    }

    fn unreadable(&self, error: &std::io::Error) -> Vec<Fault> {
        let line = format!("{}: {error}", self.path.display());
        vec![Fault {
            shown: line.clone(),
            line,
        }]
    }

    /// Compiles rules from their text. Rules of `previous` that have not changed are reused.
    ///
    /// # Errors
    /// All faults of the rules.
    pub fn compile(
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
        Rules::read_table(text, &file, self.table, catalog, &options)
    }
}

/// Memory limit of the rules, bytes, for an ingress with this memory.
fn max_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1e6 * RULE_MEMORY_SHARE) as usize
}
