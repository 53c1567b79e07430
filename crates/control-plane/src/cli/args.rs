//! The command line as it is parsed: commands and their options.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

use crate::cli::connection::ConnectionArgs;
use crate::cli::members::NewMemberArgs;
use crate::cli::publish::PublishArgs;

/// Versions of the operators' configuration: the service that streams them, and commands to operate it.
#[derive(Parser)]
#[command(name = "gaugestep-control", version)]
pub(crate) struct Cli {
    /// Output for machines: one JSON value, or one a line for `watch`; the service's log as JSON lines.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Runs the service in the foreground until SIGTERM.
    Serve {
        /// The service's file, as protobuf text format; see deploy/control.textproto.
        #[arg(long, env = "GAUGESTEP_CONTROL_CONFIG")]
        config: PathBuf,
        /// Uses a store that is a copy, or older than its seal: whoever used it is gone for good. Only for a service that
        /// is alone.
        #[arg(long)]
        restored: bool,
    },
    /// Says whether a document can be used; needs no service.
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
        /// At most so many; 0: all.
        #[arg(long, default_value_t = 20)]
        most: u32,
    },
    /// Shows a version, the newest if none is named.
    Show {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its number.
        #[arg(default_value_t = 0)]
        version: u64,
    },
    /// Shows what differs between two versions, each a number or a file; exit code 1 if anything does.
    Diff {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The older one.
        from: String,
        /// The newer one.
        to: String,
    },
    /// Shows each proxy: what it has in force, was offered, and turned down.
    Status {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Only this one; exit code 1 if nothing is known of it.
        #[arg(long)]
        proxy: Option<String>,
    },
    /// Follows a version until it was offered to all and every proxy that is here has it (exit code 0), or until it was
    /// halted or overtaken (exit code 3).
    Watch {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its number, the newest if none is named.
        #[arg(default_value_t = 0)]
        version: u64,
        /// Seconds after which to give up, with exit code 4.
        #[arg(long, default_value_t = 600)]
        within: u64,
    },
    /// Publishes the content of an earlier version as the next one, to all at once.
    Rollback {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The earlier version.
        to: u64,
        /// Why.
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Shows the services of the group, adds one, or removes one for good. Exit code 1 if no majority is here.
    Members {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(subcommand)]
        change: Option<MembersCommand>,
    },
    /// Shows who owns what for the fleet, under which term and for how long. Exit code 1 if something has no owner.
    Duties {
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Shows which proxy has which seat. Exit code 1 if nobody keeps the roster.
    Seats {
        #[command(flatten)]
        connection: ConnectionArgs,
    },
    /// Has the owner of a duty hand it over to another member, as before maintenance.
    HandOver {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The duty.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
        /// The member; whichever has the fewest duties if none is named.
        #[arg(long, default_value_t = 0)]
        to: u64,
    },
    /// Has the owner of a duty go on above all terms that proxies have seen, where whoever had those is gone for good.
    TakeOver {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// The duty.
        #[arg(default_value = gaugestep_leadership::CONFIGURATION_ROLE)]
        duty: String,
    },
    /// Has there be a further duty, for which the group finds an owner.
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
    /// Has a service join that runs on an empty store with `joins: true`.
    Add {
        #[command(flatten)]
        connection: ConnectionArgs,
        #[command(flatten)]
        new: NewMemberArgs,
    },
    /// Has a member leave for good; its number is never used again.
    Remove {
        #[command(flatten)]
        connection: ConnectionArgs,
        /// Its number.
        number: u64,
    },
}
