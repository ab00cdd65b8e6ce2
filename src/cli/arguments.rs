//! The arguments of the program. The doc comments here are the text of `--help`.

use super::logging::LogFormat;
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// An ingress for a service sold by plan: admission, quota, routing and retries.
///
/// Without a sub-command it serves.
#[derive(Debug, Parser)]
#[command(name = "driftgap", version)]
pub struct Arguments {
    /// The platform's configuration (JSON).
    #[arg(long, env = "EDGE_CONFIG", global = true, hide_env_values = true)]
    pub config: Option<PathBuf>,
    /// The operator's file (TOML).
    #[arg(long, env = "DRIFTGAP_OPERATOR", global = true, hide_env_values = true)]
    pub operator: Option<PathBuf>,
    /// How log lines look.
    #[arg(
        long,
        env = "DRIFTGAP_LOG_FORMAT",
        global = true,
        default_value = "text",
        hide_env_values = true
    )]
    pub log_format: LogFormat,
    /// What to do; none: serve.
    #[command(subcommand)]
    pub task: Option<Task>,
}

/// The sub-commands.
#[derive(Debug, Subcommand)]
pub enum Task {
    /// Serves until SIGTERM or SIGINT; as without a sub-command.
    Serve,
    /// Reads all that `serve` would read; one line a fault, and status 2 if there is one. Else it warns of unknown
    /// settings and says what they mean.
    Check,
    /// The group of ingresses: begins one, asks a running ingress about it, looks at a folder.
    Group {
        /// What to do.
        #[command(subcommand)]
        task: GroupTask,
    },
    /// Checks, explains and measures a file of rules, judged by the platform's configuration.
    Rules {
        /// What to do.
        #[command(subcommand)]
        task: RulesTask,
    },
}

/// The sub-commands of `group`.
#[derive(Debug, Subcommand)]
pub enum GroupTask {
    /// Begins a group on this machine, once; the other members' folders stay empty, and they are let in as they come.
    Init,
    /// Looks at this member's folder, while it does not run: every record, and what they say.
    Check,
    /// Begins a new group from one old folder, after a majority is lost for good; says what may be lost.
    Recover {
        /// The old folder; the configured one has to be empty.
        #[arg(long)]
        from: PathBuf,
    },
    /// Asks the running ingress how the group stands; status 1 where it says no.
    Status,
    /// Awaits a further member; its own file has to name it too.
    Add {
        /// Its name.
        name: String,
        /// Where its link listens.
        address: SocketAddr,
    },
    /// Lets a member go for good; never fewer than three stay.
    Remove {
        /// Its name.
        name: String,
    },
    /// Awaits a member that takes another's place: until it has all that was promised, the old one votes.
    Replace {
        /// Who goes.
        old: String,
        /// Who comes.
        new: String,
        /// Where the new one's link listens.
        address: SocketAddr,
    },
}

/// The sub-commands of `rules`.
#[derive(Debug, Subcommand)]
pub enum RulesTask {
    /// Names every fault with the line that it is in, and status 2 if there is one.
    Check {
        /// The file of rules.
        file: PathBuf,
    },
    /// Tells, rule by rule, why a request matches or does not.
    Explain {
        /// The file of rules.
        file: PathBuf,
        /// The request, in JSON.
        #[arg(long)]
        request: PathBuf,
    },
    /// Measures how long a request takes against the first 1, 10, 100, ... rules.
    Bench {
        /// The file of rules.
        file: PathBuf,
        /// The request, in JSON.
        #[arg(long)]
        request: PathBuf,
    },
}
