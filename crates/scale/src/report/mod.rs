//! Renders result files: fitted slopes as JSON, tables in Markdown, plots in SVG.

mod plot;
mod table;

pub use plot::PlotError;
pub use table::tables;

use crate::fit::FitError;
use crate::results::{self, RunFile, SlopeFile};
use std::path::{Path, PathBuf};

/// Name of the file of tables.
pub const TABLES: &str = "tables.md";

/// Why a report could not be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be read or written.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// No line goes through an experiment's points.
    #[error("{0}: {1}")]
    Fit(String, FitError),
    /// A plot could not be drawn.
    #[error("{0}")]
    Plot(#[from] PlotError),
    /// The folder of results holds none.
    #[error("{0}: no result files; run the experiments first")]
    Empty(PathBuf),
}

/// Folders of a report.
#[derive(Clone, Debug)]
pub struct Folders {
    /// Result files of runs.
    pub results: PathBuf,
    /// Where tables and plots go.
    pub report: PathBuf,
    /// Where the files of slopes go.
    pub slopes: PathBuf,
}

/// Fits every result file of a folder and writes slopes, tables and plots.
///
/// # Errors
/// A file cannot be read or written, or holds too few points.
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
