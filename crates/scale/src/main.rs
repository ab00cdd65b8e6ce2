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

/// Where results go by default.
const OUT: &str = "target/scale";
/// How often each size is measured by default.
const REPEATS: u32 = 5;
/// How often each size is measured by default in a quick run.
const QUICK_REPEATS: u32 = 3;

/// Measures what an ingress costs in heap, processor time and messages as a deployment grows.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Runs experiments, one after the other, and writes a result file for each.
    Run {
        /// Names of experiments; none: all of them.
        experiments: Vec<String>,
        /// Takes smaller sizes: all experiments in under 3 minutes.
        #[arg(long)]
        quick: bool,
        /// Sizes in place of the experiments' own.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<u64>,
        /// Seed of all that is generated: the same one gives the same counts.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How often each size is measured; of processor times the smallest counts.
        #[arg(long)]
        repeats: Option<u32>,
        /// Folder of the result files.
        #[arg(long, default_value = OUT)]
        out: PathBuf,
    },
    /// Lists the experiments.
    List,
    /// Fits lines through the results of a run; writes slopes, tables and plots.
    Report {
        /// Folder of the result files.
        #[arg(default_value = OUT)]
        results: PathBuf,
        /// Where tables and plots go; by default `report` in the folder of the results.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Where the files of slopes go; by default beside the tables.
        #[arg(long)]
        slopes: Option<PathBuf>,
    },
    /// Makes the tables of the capacity page from its files, or checks that they follow from these.
    Page {
        #[command(flatten)]
        mode: PageMode,
        /// Root of the repository.
        #[arg(long, default_value = ".")]
        root: PathBuf,
    },
    /// Compares the hollow group with one of real processes on loopback, and writes both figures of each quantity.
    Check {
        /// The program; by default the one beside this.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Followers beside the three members, a process each.
        #[arg(long, value_delimiter = ',', default_value = "1,3,10,30")]
        followers: Vec<u64>,
        /// Seed of the hollow group.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder of the result file.
        #[arg(long, default_value = OUT)]
        out: PathBuf,
    },
    /// Measures one size in this process and prints it as JSON.
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

/// What is done with the capacity page: exactly one of these.
#[derive(Args)]
#[group(required = true, multiple = false)]
struct PageMode {
    /// Writes the page with its tables made anew.
    #[arg(long)]
    write: bool,
    /// Fails where the page differs from what its files give.
    #[arg(long)]
    check: bool,
}

type Result<T> = std::result::Result<T, Box<dyn Error>>;

fn find(name: &str) -> Result<Box<dyn Experiment>> {
    registry::find(name).ok_or_else(|| format!("no experiment {name:?}; `list` names them").into())
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
    let path = out.join(check::FILE);
    results::write(&path, &file)?;
    println!("{}", path.display());
    Ok(())
}

fn measure(name: &str, size: u64, seed: u64, repeat: u32) -> Result<()> {
    let point: results::Point = measure_point(find(name)?.as_ref(), size, seed, repeat)?;
    println!("{}", serde_json::to_string(&point)?);
    Ok(())
}

fn carry_out(action: Action) -> Result<()> {
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
                .unwrap_or(if quick { QUICK_REPEATS } else { REPEATS })
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
    match carry_out(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("driftgap-scale: {e}");
            ExitCode::FAILURE
        }
    }
}
