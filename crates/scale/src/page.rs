//! The tables of `docs/CAPACITY.md`. They are generated between markers from the measurements in
//! `docs/capacity/*.json` and the targets, budgets and rows in `docs/capacity/targets.toml`, so
//! that no figure in a table is typed by hand.

mod measurement;
mod need;
mod number;
mod table;
mod targets;

pub use measurement::Measurements;
pub use need::{Basis, Need, Share};
pub use targets::{Owner, Row, Targets, Term};

use std::path::{Path, PathBuf};

/// Paths of the page and of its data files.
#[derive(Clone, Debug)]
pub struct PageFiles {
    /// The page with its markers.
    pub page: PathBuf,
    /// The file of targets, budgets and rows.
    pub targets: PathBuf,
    /// The folder of the measurement files.
    pub measurements: PathBuf,
}

/// Why the page cannot be generated, or is not up to date.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// A file cannot be read or written.
    #[error("cannot read or write {path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// A measurement file cannot be read or has another format; the error contains its path.
    #[error("cannot read a measurement file: {0}")]
    Measurements(std::io::Error),
    /// The targets file has another format.
    #[error("invalid targets file {path}: {source}")]
    Targets {
        /// Path of the file.
        path: PathBuf,
        /// The parse error.
        source: Box<toml::de::Error>,
    },
    /// A row refers to a measurement, target or assumption that does not exist.
    #[error("invalid row {row:?} in the targets file: {problem}")]
    Row {
        /// Name of the row.
        row: String,
        /// The missing reference.
        problem: String,
    },
    /// The table markers of the page are invalid.
    #[error("the page's table markers are invalid: {0}")]
    Markers(String),
    /// Two files contain the same measurement.
    #[error("{experiment}/{quantity} is measured in two files")]
    DuplicateMeasurement {
        /// Name of the experiment.
        experiment: String,
        /// Name of the quantity.
        quantity: String,
    },
    /// The page differs from what its data files give.
    #[error("line {line} of the page differs from its data files; run `driftgap-scale page --write`\n  page:  {found}\n  files: {expected}")]
    Stale {
        /// Number of the first line that differs, from 1.
        line: usize,
        /// The page's line.
        found: String,
        /// The generated line.
        expected: String,
    },
}

impl PageFiles {
    /// Returns the files of the repository at `root`.
    pub fn of_repository(root: &Path) -> PageFiles {
        let docs = root.join("docs");
        PageFiles {
            page: docs.join("CAPACITY.md"),
            targets: docs.join("capacity/targets.toml"),
            measurements: docs.join("capacity"),
        }
    }

    /// Returns the current page and the generated page.
    fn current_and_rendered(&self) -> Result<(String, String), PageError> {
        let page = read(&self.page)?;
        let targets =
            Targets::parse(&read(&self.targets)?).map_err(|source| PageError::Targets {
                path: self.targets.clone(),
                source: Box::new(source),
            })?;
        let measurements = Measurements::read(&self.measurements)?;
        let rendered = render(&page, &targets, &measurements)?;
        Ok((page, rendered))
    }

    /// Regenerates the page's tables. Returns whether the page changed.
    ///
    /// # Errors
    /// A file is missing or invalid, or the page's markers are invalid.
    pub fn write(&self) -> Result<bool, PageError> {
        let (page, rendered) = self.current_and_rendered()?;
        if page == rendered {
            return Ok(false);
        }
        std::fs::write(&self.page, rendered).map_err(|source| PageError::File {
            path: self.page.clone(),
            source,
        })?;
        Ok(true)
    }

    /// Checks that the page's tables are up to date.
    ///
    /// # Errors
    /// The page is out of date (the error contains the first line that differs), or the tables
    /// cannot be generated.
    pub fn check(&self) -> Result<(), PageError> {
        let (page, rendered) = self.current_and_rendered()?;
        if page == rendered {
            return Ok(());
        }
        let mut found = page.lines();
        let mut expected = rendered.lines();
        let mut line = 1;
        loop {
            let (found, expected) = (found.next(), expected.next());
            if found != expected || found.is_none() {
                let text = |line: Option<&str>| line.unwrap_or("(end of the page)").to_string();
                return Err(PageError::Stale {
                    line,
                    found: text(found),
                    expected: text(expected),
                });
            }
            line += 1;
        }
    }
}

fn read(path: &Path) -> Result<String, PageError> {
    std::fs::read_to_string(path).map_err(|source| PageError::File {
        path: path.into(),
        source,
    })
}

const BEGIN: &str = "<!-- begin table ";
const END: &str = "<!-- end table ";
const CLOSE: &str = " -->";

/// Returns the table name if the line is a marker of this kind.
fn marker<'a>(line: &'a str, kind: &str) -> Option<&'a str> {
    line.strip_prefix(kind)?.strip_suffix(CLOSE)
}

/// Returns the page with all tables regenerated. Text outside of the markers is unchanged.
///
/// # Errors
/// A marker has no counterpart, a table has no rows, rows have no table, or a row cannot be
/// computed.
pub fn render(
    page: &str,
    targets: &Targets,
    measurements: &Measurements,
) -> Result<String, PageError> {
    let mut rendered = String::new();
    let mut rendered_tables = Vec::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        rendered.push_str(line);
        rendered.push('\n');
        let Some(name) = marker(line, BEGIN) else {
            if let Some(name) = marker(line, END) {
                return Err(PageError::Markers(format!(
                    "table {name:?} has an end marker without a begin marker"
                )));
            }
            continue;
        };
        let end = lines.find(|line| marker(line, END).is_some() || marker(line, BEGIN).is_some());
        let Some(end) = end.filter(|end| marker(end, END) == Some(name)) else {
            return Err(PageError::Markers(format!(
                "table {name:?} has a begin marker without an end marker"
            )));
        };
        rendered.push_str(&table::render(name, targets, measurements)?);
        rendered.push_str(end);
        rendered.push('\n');
        rendered_tables.push(name);
    }
    match targets
        .tables()
        .find(|table| !rendered_tables.contains(table))
    {
        Some(table) => Err(PageError::Markers(format!(
            "the rows of table {table:?} have no markers in the page"
        ))),
        None => Ok(rendered),
    }
}
