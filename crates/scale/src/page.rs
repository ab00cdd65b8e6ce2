//! The tables of `docs/CAPACITY.md`. They are generated between markers from the measurements in `docs/capacity/*.json`
//! and the targets, budgets and rows in `docs/capacity/targets.toml`, so that no figure in a table is typed by hand.

mod measurement;
mod need;
mod number;
mod table;
mod targets;

pub use measurement::Measurements;
pub use need::{Basis, Need, Share};
pub use targets::{Owner, Row, Targets, Term};

use std::path::{Path, PathBuf};

/// Where the page and what it follows from lie.
#[derive(Clone, Debug)]
pub struct PageFiles {
    /// The page with its markers.
    pub page: PathBuf,
    /// Targets, budgets and rows.
    pub targets: PathBuf,
    /// The folder of the measurements.
    pub measurements: PathBuf,
}

/// Why the page cannot be made, or does not hold.
#[derive(Debug, thiserror::Error)]
pub enum PageError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A file of measurements cannot be read, or is not in their form; the error names it.
    #[error("{0}")]
    Measurements(std::io::Error),
    /// The targets are not in their form.
    #[error("{path}: {source}")]
    Targets {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<toml::de::Error>,
    },
    /// A row names something that there is not.
    #[error("row {row:?}: {problem}")]
    Row {
        /// The row's name.
        row: String,
        /// What it lacks.
        problem: String,
    },
    /// The markers of the page are not in order.
    #[error("the page's markers: {0}")]
    Markers(String),
    /// Two measurements have one name.
    #[error("{experiment}/{quantity} is measured in two files")]
    Doubled {
        /// The experiment.
        experiment: String,
        /// What it measured.
        quantity: String,
    },
    /// The page differs from what its files give.
    #[error("line {line} of the page is not what its files give; run `driftgap-scale page --write`\n  page:  {found}\n  files: {expected}")]
    Stale {
        /// The first line that differs, from 1.
        line: usize,
        /// What the page has there.
        found: String,
        /// What belongs there.
        expected: String,
    },
}

impl PageFiles {
    /// The files of the repository at `root`.
    pub fn of_repository(root: &Path) -> PageFiles {
        let docs = root.join("docs");
        PageFiles {
            page: docs.join("CAPACITY.md"),
            targets: docs.join("capacity/targets.toml"),
            measurements: docs.join("capacity"),
        }
    }

    /// The page as it stands, and as its files give it.
    fn versions(&self) -> Result<(String, String), PageError> {
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

    /// Makes the page's tables anew; whether anything changed.
    ///
    /// # Errors
    /// A file is missing or out of form, or the page's markers are.
    pub fn write(&self) -> Result<bool, PageError> {
        let (page, rendered) = self.versions()?;
        if page == rendered {
            return Ok(false);
        }
        std::fs::write(&self.page, rendered).map_err(|source| PageError::File {
            path: self.page.clone(),
            source,
        })?;
        Ok(true)
    }

    /// Whether the page's tables follow from its files.
    ///
    /// # Errors
    /// The first line that does not, or why the tables cannot be made.
    pub fn check(&self) -> Result<(), PageError> {
        let (page, rendered) = self.versions()?;
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

/// The name in a marker line, if the line is one of this kind.
fn marker<'a>(line: &'a str, kind: &str) -> Option<&'a str> {
    line.strip_prefix(kind)?.strip_suffix(CLOSE)
}

/// The page with all its tables made anew; what stands outside of markers stays.
///
/// # Errors
/// A marker without its other half, a table without rows, rows without a table, or a row that cannot be worked out.
pub fn render(
    page: &str,
    targets: &Targets,
    measurements: &Measurements,
) -> Result<String, PageError> {
    let mut rendered = String::new();
    let mut made = Vec::new();
    let mut lines = page.lines();
    while let Some(line) = lines.next() {
        rendered.push_str(line);
        rendered.push('\n');
        let Some(name) = marker(line, BEGIN) else {
            if let Some(name) = marker(line, END) {
                return Err(PageError::Markers(format!(
                    "table {name:?} ends without its begin"
                )));
            }
            continue;
        };
        let end = lines.find(|line| marker(line, END).is_some() || marker(line, BEGIN).is_some());
        let Some(end) = end.filter(|end| marker(end, END) == Some(name)) else {
            return Err(PageError::Markers(format!(
                "table {name:?} begins without its end"
            )));
        };
        rendered.push_str(&table::render(name, targets, measurements)?);
        rendered.push_str(end);
        rendered.push('\n');
        made.push(name);
    }
    match targets.tables().find(|table| !made.contains(table)) {
        Some(table) => Err(PageError::Markers(format!(
            "no place for the rows of table {table:?}"
        ))),
        None => Ok(rendered),
    }
}
