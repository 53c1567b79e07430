//! Commands that check a document and publish it: `validate`, `publish` and `rollback`.

use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Args;
use gaugestep_config::schema::{Plan, Publish, Rollback, call, reply};
use gaugestep_config::{Document, check, short_digest};
use serde::Serialize;

use crate::cli::admin_client::CallError;
use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandError, CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::text_file::{TextFileError, read_text_file};

/// The range of `--hold` in seconds.
const HOLD_SECONDS: std::ops::RangeInclusive<f64> = 0.0..=1e9;
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// The arguments and options of `publish`.
#[derive(Args)]
pub struct PublishArgs {
    /// The file with the document, in protobuf text format.
    document: PathBuf,
    /// The author that the list of versions shows.
    #[arg(long, env = "USER", default_value = "")]
    author: String,
    /// A note that the list of versions shows.
    #[arg(long, default_value = "")]
    note: String,
    /// The number of proxies in the canary stage; 0 offers the version to all proxies at once.
    #[arg(long, default_value_t = 0)]
    first: u32,
    /// The fraction of all proxies in the partial stage, 0 to 1; 0 omits this stage.
    #[arg(long, default_value_t = 0.0)]
    share: f64,
    /// Seconds for which the proxies of a stage must have the version in force before the next stage starts.
    #[arg(long, default_value_t = 10.0)]
    hold: f64,
    /// The number of rejections at which the rollout halts.
    #[arg(long, default_value_t = 1)]
    refusals: u32,
    /// The rollout halts if the fraction of unserved requests is larger by more than this, 0 to 1, on proxies
    /// with the version than on the others; 0 disables the comparison.
    #[arg(long, default_value_t = 0.0)]
    worse_by: f64,
    /// Publishes only if the newest version has this number; 0 publishes in any case.
    #[arg(long, default_value_t = 0)]
    expect: u64,
    /// The idempotency key: a publication with a key that was used before is not published again. Random by
    /// default.
    #[arg(long, value_name = "KEY", default_value_t = random_key())]
    once: String,
}

/// Returns a random idempotency key for a publication.
fn random_key() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = since_epoch.as_nanos() ^ (u128::from(std::process::id()) << 96);
    format!("{:016x}", oorandom::Rand64::new(seed).rand_u64())
}

/// Reads a document from a file in protobuf text format.
pub(crate) fn read_document(path: &Path) -> Result<Document, TextFileError> {
    read_text_file("Document", path)
}

#[derive(Serialize)]
struct FaultReport {
    code: &'static str,
    path: String,
    reason: String,
}

#[derive(Serialize)]
struct ValidationReport {
    document: String,
    #[serde(rename = "sound")]
    is_valid: bool,
    faults: Vec<FaultReport>,
}

/// Checks a document and reports all of its faults; the result is negative if there are any.
pub(crate) fn validate(output: Output, path: &Path) -> CommandResult {
    let faults = match read_document(path) {
        Err(error) => {
            vec![FaultReport { code: "unreadable", path: String::new(), reason: error.to_string() }]
        }
        Ok(document) => check::check(&document)
            .iter()
            .map(|fault| FaultReport {
                code: fault.code(),
                path: fault.path().to_owned(),
                reason: fault.to_string(),
            })
            .collect(),
    };
    let report =
        ValidationReport { document: path.display().to_string(), is_valid: faults.is_empty(), faults };
    output.print(&report, || {
        if report.is_valid {
            format!("{}: valid\n", report.document)
        } else {
            report.faults.iter().map(|fault| format!("{}\n", fault.reason)).collect()
        }
    });
    Ok(ExitStatus::negative_if(!report.is_valid))
}

/// Publishes a document as the next version.
pub(crate) fn publish(output: Output, connection: &ConnectionArgs, args: &PublishArgs) -> CommandResult {
    let document = read_document(&args.document)?;
    if let Some(reason) = check::check(&document).into_iter().next() {
        return Err(CommandError::InvalidDocument { path: args.document.clone(), reason });
    }
    let publish = Publish {
        document: Some(document),
        author: args.author.clone(),
        note: args.note.clone(),
        plan: Some(rollout_plan(args)?),
        expected_newest: args.expect,
        key: args.once.clone(),
    };
    let response = connection
        .call(&call::What::Publish(publish))
        .map_err(|source| CommandError::Publish { key: args.once.clone(), source })?;
    report_published(output, response)
}

fn rollout_plan(args: &PublishArgs) -> Result<Plan, CommandError> {
    if !HOLD_SECONDS.contains(&args.hold) {
        return Err(CommandError::InvalidHold);
    }
    Ok(Plan {
        first: args.first,
        share: args.share,
        hold_ms: (args.hold * MILLISECONDS_PER_SECOND) as u64,
        refusals: Some(args.refusals),
        worse_by: args.worse_by,
        least_requests: None,
    })
}

/// Publishes the content of an earlier version as the next one.
pub(crate) fn rollback(
    output: Output,
    connection: &ConnectionArgs,
    target: u64,
    note: String,
) -> CommandResult {
    let author = std::env::var("USER").unwrap_or_default();
    let rollback = Rollback { to: target, author, note, key: random_key() };
    report_published(output, connection.call(&call::What::Rollback(rollback))?)
}

#[derive(Serialize)]
struct PublishedReport {
    version: u64,
    digest: String,
}

fn report_published(output: Output, response: reply::What) -> CommandResult {
    let reply::What::Published(published) = response else {
        return Err(CallError::UnexpectedResponse.into());
    };
    let version = published.version.unwrap_or_default();
    let report = PublishedReport { version: version.number, digest: short_digest(&version.digest) };
    output.print(&report, || format!("published version {} ({})\n", report.version, report.digest));
    Ok(ExitStatus::Success)
}
