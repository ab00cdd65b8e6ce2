//! Runs experiments sequentially and measures every point in a separate process.

use crate::experiment::{Experiment, ExperimentError};
use crate::machine::{commit, Machine};
use crate::probe::peak_resident;
use crate::results::{self, Point, Provenance, RunFile, FORMAT};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Whether to measure the sizes of a quick run.
    pub quick: bool,
    /// Sizes that replace each experiment's own; empty to use the experiment's sizes.
    pub sizes: Vec<u64>,
    /// Seed of all generated data.
    pub seed: u64,
    /// Number of repeats of each size.
    pub repeats: u32,
    /// Folder of the result files.
    pub out: PathBuf,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An experiment could not be measured at a size.
    #[error("experiment {experiment} failed at size {size}: {problem}")]
    Point {
        /// Name of the experiment.
        experiment: String,
        /// Size at which the measurement fails.
        size: u64,
        /// Cause of the failure.
        problem: String,
    },
    /// A file could not be written or a process could not be started.
    #[error("cannot write a file or start a process: {0}")]
    File(#[from] std::io::Error),
}

impl Plan {
    /// Returns the sizes to measure in rising order.
    pub fn sizes_of(&self, experiment: &dyn Experiment) -> Vec<u64> {
        let mut sizes = if self.sizes.is_empty() {
            experiment.sizes(self.quick)
        } else {
            self.sizes.clone()
        };
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    }
}

/// Measures one point in this process.
///
/// # Errors
/// The experiment cannot be run at this size.
pub fn measure_point(
    experiment: &dyn Experiment,
    size: u64,
    seed: u64,
    repeat: u32,
) -> Result<Point, ExperimentError> {
    let measurements = experiment.measure(size, seed)?;
    Ok(Point {
        size,
        repeat,
        peak_resident: peak_resident(),
        measurements,
    })
}

/// Runs experiments, writes a result file for each and returns the paths of the files.
///
/// # Errors
/// A size cannot be measured. The result files of earlier experiments are already written.
pub fn run(experiments: &[Box<dyn Experiment>], plan: &Plan) -> Result<Vec<PathBuf>, RunError> {
    std::fs::create_dir_all(&plan.out)?;
    let points: usize = experiments
        .iter()
        .map(|experiment| plan.sizes_of(experiment.as_ref()).len())
        .sum();
    let progress = ProgressBar::new(points as u64 * u64::from(plan.repeats));
    // The template is a constant without unknown keys, so parsing does not fail.
    let style = ProgressStyle::with_template("{elapsed_precise} [{bar:40}] {pos}/{len} {msg}");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let files = experiments
        .iter()
        .map(|experiment| run_one(experiment.as_ref(), plan, &progress))
        .collect();
    progress.finish_and_clear();
    files
}

fn run_one(
    experiment: &dyn Experiment,
    plan: &Plan,
    progress: &ProgressBar,
) -> Result<PathBuf, RunError> {
    let provenance = Provenance {
        format: FORMAT,
        experiment: experiment.name().into(),
        description: experiment.description().into(),
        axis: experiment.axis().into(),
        seed: plan.seed,
        quick: plan.quick,
        commit: commit(),
        machine: Machine::current(),
    };
    let mut points = Vec::new();
    for size in plan.sizes_of(experiment) {
        for repeat in 0..plan.repeats {
            progress.set_message(format!("{} {size}", experiment.name()));
            points.push(measure_in_child(experiment, size, plan.seed, repeat)?);
            progress.inc(1);
        }
    }
    let path = plan.out.join(format!("{}.json", experiment.name()));
    results::write(&path, &RunFile { provenance, points })?;
    Ok(path)
}

/// Measures one point in a child process, so that memory left by other measurements does not affect
/// it.
fn measure_in_child(
    experiment: &dyn Experiment,
    size: u64,
    seed: u64,
    repeat: u32,
) -> Result<Point, RunError> {
    let failed = |problem: String| RunError::Point {
        experiment: experiment.name().into(),
        size,
        problem,
    };
    let program: &Path = &std::env::current_exe()?;
    let output = Command::new(program)
        .args(["measure", experiment.name()])
        .args(["--size", &size.to_string()])
        .args(["--seed", &seed.to_string()])
        .args(["--repeat", &repeat.to_string()])
        .output()?;
    if !output.status.success() {
        return Err(failed(
            String::from_utf8_lossy(&output.stderr).trim().to_string(),
        ));
    }
    serde_json::from_slice(&output.stdout).map_err(|e| failed(e.to_string()))
}
