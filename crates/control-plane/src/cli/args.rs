//! The command line as it is parsed: commands and their options.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::cli::connection::ConnectionArgs;
use crate::cli::members::NewMemberArgs;
use crate::cli::publish::PublishArgs;

/// The control server, which distributes versions of the operators' configuration, and the commands to operate it.
#[derive(Parser)]
#[command(name = "gaugestep-control", version)]
pub(crate) struct Cli {
    /// Prints JSON: one value, or one a line for `watch`. The server logs JSON lines.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs the control server in the foreground until SIGTERM.
    Serve {
        /// The server's settings, as protobuf text format; see deploy/control.textproto.
        #[arg(long, env = "GAUGESTEP_CONTROL_CONFIG")]
        config: PathBuf,
        /// Accepts a store that is a copy, or older than its generation file. Only for a group of one member, and only if
        /// the server that used the store before never runs again.
        #[arg(long)]
        restored: bool,
    },
    /// Checks a document; needs no server.
    Validate {
        /// The document, as protobuf text format.
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
        /// The most to list; 0: all.
        #[arg(long, default_value_t = 20)]
        most: u32,
    },
    /// Shows a version with its document.
    Show {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its number; 0: the newest.
        #[arg(default_value_t = 0)]
        version: u64,
    },
    /// Shows what differs between two versions, each a number or a file. Exit code 1 if anything does.
    Diff {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The older one.
        from: String,
        /// The newer one.
        to: String,
    },
    /// Shows for each proxy which version it has in force, was offered, and rejected.
    Status {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Shows this proxy only. Exit code 1 if it is unknown.
        #[arg(long)]
        proxy: Option<String>,
    },
    /// Follows the rollout of a version until it is complete and every connected proxy has the version in force (exit code
    /// 0) or some have rejected it (1), or until it is halted or superseded (3).
    Watch {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its number; 0: the newest.
        #[arg(default_value_t = 0)]
        version: u64,
        /// Seconds after which it gives up, with exit code 4.
        #[arg(long, default_value_t = 600)]
        within: u64,
    },
    /// Publishes the content of an earlier version as the next one, to all proxies at once.
    Rollback {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The earlier version.
        to: u64,
        /// A note for the list of versions.
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Shows the members of the group, adds one, or removes one for good. Exit code 1 if no majority is reachable.
    Members {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(subcommand)]
        change: Option<MembersCommand>,
    },
    /// Shows which member holds which role for the fleet, under which term and for how long. Exit code 1 if nobody holds one.
    Duties {
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Shows which proxy has which ordinal. Exit code 1 if no member assigns them.
    Seats {
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Hands a role over to another member, as before maintenance.
    HandOver {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The role.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
        /// The member; 0: the one that holds the fewest roles.
        #[arg(long, default_value_t = 0)]
        to: u64,
    },
    /// Raises the term of a role above all that proxies have seen. Only if the servers that granted those never run again.
    TakeOver {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The role.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
    },
    /// Adds a role, which the group assigns to a member.
    Declare {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its name.
        duty: String,
    },
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
pub(crate) enum MembersCommand {
    /// Adds a member, whose server runs on an empty store with `joins: true`.
    Add {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(flatten)]
        new: NewMemberArgs,
    },
    /// Removes a member for good; its number is never used again.
    Remove {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its number.
        number: u64,
    },
}
