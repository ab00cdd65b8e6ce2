//! Renders result files: fitted slopes as JSON, tables in Markdown, plots in SVG.

mod plot;
mod table;

pub use plot::PlotError;
pub use table::tables;

use crate::fit::FitError;
use crate::results::{self, RunFile, SlopeFile};
use std::path::{Path, PathBuf};

/// File name of the tables.
pub const TABLES: &str = "tables.md";

/// Why a report could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be read or written.
    #[error("cannot read or write a file of the report: {0}")]
    File(#[from] std::io::Error),
    /// No line could be fitted to an experiment's points.
    #[error("cannot fit a line to the results of experiment {0}: {1}")]
    Fit(String, FitError),
    /// A plot could not be drawn.
    #[error("{0}")]
    Plot(#[from] PlotError),
    /// The folder contains no result files.
    #[error("folder {0} contains no result files; run the experiments first")]
    Empty(PathBuf),
}

/// Folders that a report reads and writes.
#[derive(Clone, Debug)]
pub struct Folders {
    /// Folder of the result files.
    pub results: PathBuf,
    /// Folder of the tables and plots.
    pub report: PathBuf,
    /// Folder of the slope files.
    pub slopes: PathBuf,
}

/// Fits every result file of a folder, writes slopes, tables and plots, and returns the slopes.
///
/// # Errors
/// A file cannot be read or written, or has too few points.
pub fn write(folders: &Folders) -> Result<Vec<SlopeFile>, ReportError> {
    let slopes = fit_all(&folders.results)?;
    std::fs::create_dir_all(&folders.report)?;
    std::fs::create_dir_all(&folders.slopes)?;
    for file in &slopes {
        let name = &file.provenance.experiment;
        results::write(&folders.slopes.join(format!("{name}.json")), file)?;
        for slope in &file.slopes {
            plot::draw(
                &folders
                    .report
                    .join(format!("{name}-{}.svg", slope.quantity)),
                slope,
            )?;
        }
    }
    std::fs::write(folders.report.join(TABLES), tables(&slopes))?;
    Ok(slopes)
}

fn fit_all(folder: &Path) -> Result<Vec<SlopeFile>, ReportError> {
    let files = results::json_files(folder)?;
    if files.is_empty() {
        return Err(ReportError::Empty(folder.into()));
    }
    let fit = |path: &PathBuf| {
        let run: RunFile = results::read(path)?;
        run.slopes()
            .map_err(|e| ReportError::Fit(run.provenance.experiment.clone(), e))
    };
    files.iter().map(fit).collect()
}
