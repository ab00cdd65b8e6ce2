//! The arguments of the program. The doc comments in this module are the text of `--help`.

use super::logging::LogFormat;
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// An ingress for radio catch-up services with usage plans: admission, quotas, routing and retries.
///
/// Without a sub-command, the program serves requests.
#[derive(Debug, Parser)]
#[command(name = "driftgap", version)]
pub struct Arguments {
    /// Path of the platform's configuration (JSON).
    #[arg(long, env = "EDGE_CONFIG", global = true, hide_env_values = true)]
    pub config: Option<PathBuf>,
    /// Path of the operator's file (TOML).
    #[arg(long, env = "DRIFTGAP_OPERATOR", global = true, hide_env_values = true)]
    pub operator: Option<PathBuf>,
    /// Format of log lines.
    #[arg(
        long,
        env = "DRIFTGAP_LOG_FORMAT",
        global = true,
        default_value = "text",
        hide_env_values = true
    )]
    pub log_format: LogFormat,
    /// The sub-command; `serve` if absent.
    #[command(subcommand)]
    pub task: Option<Task>,
}

/// The sub-commands.
#[derive(Debug, Subcommand)]
pub enum Task {
    /// Serves requests until SIGTERM or SIGINT; the default.
    Serve,
    /// Validates every file that `serve` reads. Prints one line per fault and exits with status 2
    /// if there are any; otherwise warns of unknown settings and describes the settings.
    Check,
    /// Manages the group of ingresses: initializes or recovers a group, queries or changes a
    /// running one, checks a folder.
    Group {
        /// The sub-command.
        #[command(subcommand)]
        task: GroupTask,
    },
    /// Checks, explains or measures a file of routing rules against the platform's configuration.
    Rules {
        /// The sub-command.
        #[command(subcommand)]
        task: RulesTask,
    },
}

/// Sub-commands of `group`.
#[derive(Debug, Subcommand)]
pub enum GroupTask {
    /// Initializes a group with this machine as its first member. Run it on one member only: the
    /// folders of the others stay empty, and they join when they start.
    Init,
    /// Checks this member's folder while the member is stopped: verifies every record and prints a
    /// summary.
    Check,
    /// Initializes a new group from one old folder after a majority was lost permanently. Prints
    /// what may be lost.
    Recover {
        /// The old folder; the configured folder must be empty.
        #[arg(long)]
        from: PathBuf,
    },
    /// Prints the state of the group as the running ingress reports it; exits with status 1 if the
    /// ingress rejects the call.
    Status,
    /// Adds a member to the group. The new member's own file must name it too.
    Add {
        /// Name of the new member.
        name: String,
        /// Address at which the new member's group link listens.
        address: SocketAddr,
    },
    /// Removes a member permanently; at least three members must remain.
    Remove {
        /// Name of the member.
        name: String,
    },
    /// Replaces a member with a new one. The old member keeps its vote until the new one has every
    /// committed change.
    Replace {
        /// Name of the member to remove.
        old: String,
        /// Name of the new member.
        new: String,
        /// Address at which the new member's group link listens.
        address: SocketAddr,
    },
}

/// Sub-commands of `rules`.
#[derive(Debug, Subcommand)]
pub enum RulesTask {
    /// Prints every fault with its line; exits with status 2 if there are any.
    Check {
        /// Path of the file of rules.
        file: PathBuf,
    },
    /// Prints for each rule why a request matches it or not.
    Explain {
        /// Path of the file of rules.
        file: PathBuf,
        /// Path of the sample request (JSON).
        #[arg(long)]
        request: PathBuf,
    },
    /// Measures the time per request with the first 1, 10, 100, ... rules.
    Bench {
        /// Path of the file of rules.
        file: PathBuf,
        /// Path of the sample request (JSON).
        #[arg(long)]
        request: PathBuf,
    },
}
