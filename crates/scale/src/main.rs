//! `driftgap-scale`: measures what an ingress costs as a deployment grows, and reports the slopes.

#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use driftgap_scale::experiment::Experiment;
use driftgap_scale::page::PageFiles;
use driftgap_scale::report::{self, Folders, TABLES};
use driftgap_scale::run::{measure_point, run, Plan};
use driftgap_scale::{check, registry, results};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Default folder of the result files.
const DEFAULT_FOLDER: &str = "target/scale";
/// Default number of repeats of each size.
const DEFAULT_REPEATS: u32 = 5;
/// Default number of repeats of each size in a quick run.
const DEFAULT_QUICK_REPEATS: u32 = 3;

/// Measures what an ingress costs in heap, processor time and messages as a deployment grows.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Runs experiments one after the other, writes a result file for each and prints its path.
    Run {
        /// Names of the experiments to run; all experiments if none is given.
        experiments: Vec<String>,
        /// Measures smaller sizes; all experiments together take less than 3 minutes.
        #[arg(long)]
        quick: bool,
        /// Comma-separated sizes that replace each experiment's own.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<u64>,
        /// Seed of all generated data; the same seed gives the same counts.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Repeats of each size; of processor times the smallest is used [default: 5, with --quick
        /// 3].
        #[arg(long)]
        repeats: Option<u32>,
        /// Folder that the result files are written to.
        #[arg(long, default_value = DEFAULT_FOLDER)]
        out: PathBuf,
    },
    /// Lists the experiments with their descriptions.
    List,
    /// Fits lines through the results of a run, writes slopes, tables and plots, and prints the
    /// path of the tables and the quantities that do not grow linearly.
    Report {
        /// Folder of the result files of a run.
        #[arg(default_value = DEFAULT_FOLDER)]
        results: PathBuf,
        /// Folder of the tables and plots [default: `report` in the folder of the results].
        #[arg(long)]
        out: Option<PathBuf>,
        /// Folder of the slope files [default: the folder of the tables].
        #[arg(long)]
        slopes: Option<PathBuf>,
    },
    /// Generates the tables of the capacity page from its data files, or checks that they are up to
    /// date.
    Page {
        #[command(flatten)]
        mode: PageMode,
        /// Root folder of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
    /// Measures an idle group in simulation and with real processes on loopback, prints both values
    /// of each quantity and writes them to a result file.
    Check {
        /// Path of the ingress program [default: `driftgap` in the folder of this program].
        #[arg(long)]
        program: Option<PathBuf>,
        /// Comma-separated numbers of followers in addition to the three members; each follower is
        /// a process.
        #[arg(long, value_delimiter = ',', default_value = "1,3,10,30")]
        followers: Vec<u64>,
        /// Seed of the simulated group.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder that the result file is written to.
        #[arg(long, default_value = DEFAULT_FOLDER)]
        out: PathBuf,
    },
    /// Measures one experiment at one size in this process and prints the result as JSON.
    #[command(hide = true)]
    Measure {
        experiment: String,
        #[arg(long)]
        size: u64,
        #[arg(long)]
        seed: u64,
        #[arg(long, default_value_t = 0)]
        repeat: u32,
    },
}

/// What to do with the capacity page; exactly one option is required.
#[derive(Args)]
#[group(required = true, multiple = false)]
struct PageMode {
    /// Regenerates the tables and writes the page.
    #[arg(long)]
    write: bool,
    /// Fails if the tables differ from what the data files give.
    #[arg(long)]
    check: bool,
}

type Result<T> = std::result::Result<T, Box<dyn Error>>;

fn find(name: &str) -> Result<Box<dyn Experiment>> {
    registry::find(name)
        .ok_or_else(|| format!("unknown experiment {name:?}; `list` prints all names").into())
}

fn run_all(names: &[String], plan: &Plan) -> Result<()> {
    let experiments = match names {
        [] => registry::all(),
        names => names.iter().map(|name| find(name)).collect::<Result<_>>()?,
    };
    for path in run(&experiments, plan)? {
        println!("{}", path.display());
    }
    Ok(())
}

fn list() {
    for experiment in registry::all() {
        println!("{:<20} {}", experiment.name(), experiment.description());
    }
}

fn write_report(results: &Path, out: Option<PathBuf>, slopes: Option<PathBuf>) -> Result<()> {
    let report = out.unwrap_or_else(|| results.join("report"));
    let slopes = slopes.unwrap_or_else(|| report.clone());
    let folders = Folders {
        results: results.into(),
        report,
        slopes,
    };
    let files = report::write(&folders)?;
    println!("{}", folders.report.join(TABLES).display());
    for slope in files
        .iter()
        .flat_map(|file| &file.slopes)
        .filter(|slope| !slope.linear)
    {
        println!("not linear: {} {}", slope.experiment, slope.quantity);
    }
    Ok(())
}

fn page(mode: &PageMode, root: &Path) -> Result<()> {
    let files = PageFiles::of_repository(root);
    if mode.write {
        let changed = files.write()?;
        println!(
            "{}: {}",
            files.page.display(),
            if changed { "written" } else { "unchanged" }
        );
    } else {
        files.check()?;
    }
    Ok(())
}

fn check_hollow(program: Option<PathBuf>, followers: &[u64], seed: u64, out: &Path) -> Result<()> {
    let program = match program {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("driftgap"),
    };
    let file = check::group_idle(&program, followers, seed)?;
    for row in &file.rows {
        println!("{row}");
    }
    std::fs::create_dir_all(out)?;
    let path = out.join(check::RESULT_FILE);
    results::write(&path, &file)?;
    println!("{}", path.display());
    Ok(())
}

fn measure(name: &str, size: u64, seed: u64, repeat: u32) -> Result<()> {
    let point: results::Point = measure_point(find(name)?.as_ref(), size, seed, repeat)?;
    println!("{}", serde_json::to_string(&point)?);
    Ok(())
}

fn execute(action: Action) -> Result<()> {
    match action {
        Action::Run {
            experiments,
            quick,
            sizes,
            seed,
            repeats,
            out,
        } => {
            let repeats = repeats
                .unwrap_or(if quick {
                    DEFAULT_QUICK_REPEATS
                } else {
                    DEFAULT_REPEATS
                })
                .max(1);
            run_all(
                &experiments,
                &Plan {
                    quick,
                    sizes,
                    seed,
                    repeats,
                    out,
                },
            )
        }
        Action::List => {
            list();
            Ok(())
        }
        Action::Report {
            results,
            out,
            slopes,
        } => write_report(&results, out, slopes),
        Action::Page { mode, root } => page(&mode, &root),
        Action::Check {
            program,
            followers,
            seed,
            out,
        } => check_hollow(program, &followers, seed, &out),
        Action::Measure {
            experiment,
            size,
            seed,
            repeat,
        } => measure(&experiment, size, seed, repeat),
    }
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftgap-scale: {e}");
            ExitCode::FAILURE
        }
    }
}
