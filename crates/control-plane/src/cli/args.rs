//! The commands of the command line, with their options and arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::cli::connection::ConnectionArgs;
use crate::cli::members::NewMemberArgs;
use crate::cli::publish::PublishArgs;

/// The control server, which distributes configuration versions to proxies, and the commands to operate it.
#[derive(Parser)]
#[command(name = "gaugestep-control", version)]
pub(crate) struct Cli {
    /// Prints JSON instead of text: one value, or one per line for `watch`. `serve` logs JSON lines.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs the control server in the foreground until SIGTERM.
    Serve {
        /// The file with the server's settings, in protobuf text format; see deploy/control.textproto.
        #[arg(long, env = "GAUGESTEP_CONTROL_CONFIG")]
        config: PathBuf,
        /// Accepts a store that is a copy, or older than its generation file. Use it only for a group of one
        /// member, and only if the server that used the store before never runs again.
        #[arg(long)]
        restored: bool,
    },
    /// Checks a document without contacting a control server. Exit code 1 if it is invalid.
    Validate {
        /// The file with the document, in protobuf text format.
        document: PathBuf,
    },
    /// Publishes a document as the next version.
    Publish {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(flatten)]
        publish: PublishArgs,
    },
    /// Lists versions, newest first.
    List {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The maximum number of versions to list; 0 lists all.
        #[arg(long, default_value_t = 20)]
        most: u32,
    },
    /// Shows a version with its document.
    Show {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The number of the version; 0 is the newest.
        #[arg(default_value_t = 0)]
        version: u64,
    },
    /// Shows the differences between two documents. Exit code 1 if there are any.
    Diff {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The older document: a version's number or a file.
        from: String,
        /// The newer document: a version's number or a file.
        to: String,
    },
    /// Shows for each proxy the versions that it has in force, was offered and rejected.
    Status {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Shows only the proxy with this name. Exit code 1 if it is unknown.
        #[arg(long)]
        proxy: Option<String>,
    },
    /// Follows the rollout of a version until it ends. Exit code 0 if every connected proxy has the version
    /// in force, 1 if some rejected it, 3 if the rollout was halted or superseded.
    Watch {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The number of the version; 0 is the newest.
        #[arg(default_value_t = 0)]
        version: u64,
        /// Seconds after which the command ends with exit code 4.
        #[arg(long, default_value_t = 600)]
        within: u64,
    },
    /// Publishes the content of an earlier version as the next one, to all proxies at once.
    Rollback {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The number of the earlier version.
        to: u64,
        /// A note that the list of versions shows.
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Shows the members of the group, adds one, or permanently removes one. Exit code 1 if no majority is
    /// reachable.
    Members {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(subcommand)]
        change: Option<MembersCommand>,
    },
    /// Shows the lease holder and the term of each role of the fleet, and for how long the lease holder has
    /// held it. Exit code 1 if a role has no lease holder.
    Duties {
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Shows the ordinals of the fleet and the proxies that have them. Exit code 1 if no member assigns
    /// ordinals.
    Seats {
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Hands over a role to another member, for example before maintenance.
    HandOver {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The name of the role.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
        /// The number of the member; 0 is the one that holds the fewest roles.
        #[arg(long, default_value_t = 0)]
        to: u64,
    },
    /// Raises the term of a role above all terms that proxies have received. Use it only if the servers that
    /// held the role under those terms never run again.
    TakeOver {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The name of the role.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
    },
    /// Adds a role, whose lease the group grants to a member.
    Declare {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The name of the role.
        duty: String,
    },
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
pub(crate) enum MembersCommand {
    /// Adds a member. Its server must run with an empty store and `joins: true` in its settings.
    Add {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(flatten)]
        new: NewMemberArgs,
    },
    /// Permanently removes a member. Its number cannot be used again.
    Remove {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The number of the member.
        number: u64,
    },
}
