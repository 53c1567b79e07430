//! Commands that show versions: `list`, `show` and `diff`.

use std::path::Path;

use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Entry, List, call, reply};
use gaugestep_config::{Document, digest, short_digest, text};
use serde::Serialize;

use crate::cli::admin_client::CallError;
use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandError, CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::cli::publish::read_document;

/// The number of unchanged lines that `diff` shows around a change.
const CONTEXT_LINES: usize = 3;

/// The name of a rollout state in the output of commands.
pub(crate) fn state_name(state: State) -> &'static str {
    match state {
        State::Rolling => "rolling",
        State::Complete => "complete",
        State::Halted => "halted",
        State::Overtaken => "overtaken",
    }
}

#[derive(Serialize)]
struct VersionReport {
    version: u64,
    digest: String,
    published_ms: u64,
    author: String,
    note: String,
    rolls_back_to: u64,
    state: &'static str,
    halted_for: String,
    /// The document in protobuf text format; `None` in lists.
    #[serde(skip_serializing_if = "Option::is_none")]
    document: Option<String>,
}

impl VersionReport {
    fn new(entry: Entry) -> Self {
        let state = state_name(entry.state());
        let version = entry.version.unwrap_or_default();
        VersionReport {
            version: version.number,
            digest: short_digest(&version.digest),
            published_ms: entry.published_ms,
            author: entry.author,
            note: entry.note,
            rolls_back_to: entry.rolls_back_to,
            state,
            halted_for: entry.halted_for,
            document: None,
        }
    }

    fn line(&self) -> String {
        let VersionReport { version, digest, state, author, note, halted_for, .. } = self;
        let remark = if halted_for.is_empty() { note.clone() } else { format!("halted: {halted_for}") };
        format!("{version:>6}  {digest}  {state:<9}  {author:<16}  {remark}\n")
    }
}

/// Lists at most `limit` versions, newest first; 0 lists all.
pub(crate) fn list(output: Output, connection: &ConnectionArgs, limit: u32) -> CommandResult {
    let reply::What::Versions(versions) = connection.call(&call::What::List(List { most: limit }))? else {
        return Err(CallError::UnexpectedResponse.into());
    };
    let reports: Vec<VersionReport> = versions.entries.into_iter().map(VersionReport::new).collect();
    output.print(&reports, || reports.iter().map(VersionReport::line).collect());
    Ok(ExitStatus::Success)
}

fn print_document(document: &Document) -> Result<String, CommandError> {
    text::print(document).map_err(CommandError::PrintDocument)
}

/// Shows a version with its document.
pub(crate) fn show(output: Output, connection: &ConnectionArgs, number: u64) -> CommandResult {
    let shown = connection.version(number)?;
    let document = print_document(&shown.document.unwrap_or_default())?;
    let mut report = VersionReport::new(shown.entry.unwrap_or_default());
    let header = report.line();
    report.document = Some(document.clone());
    output.print(&report, || format!("# {}{document}\n", header.trim_start()));
    Ok(ExitStatus::Success)
}

#[derive(Serialize)]
struct DiffReport {
    differs: bool,
    diff: String,
}

/// Returns the document of a version, or that of a file if the argument is not a number.
fn document_of(connection: &ConnectionArgs, version_or_path: &str) -> Result<Document, CommandError> {
    match version_or_path.parse::<u64>() {
        Ok(number) => Ok(connection.version(number)?.document.unwrap_or_default()),
        Err(_) => Ok(read_document(Path::new(version_or_path))?),
    }
}

/// Shows the differences between two documents, each of a version or a file; the result is negative if there
/// are any.
pub(crate) fn diff(output: Output, connection: &ConnectionArgs, from: &str, to: &str) -> CommandResult {
    let (old, new) = (document_of(connection, from)?, document_of(connection, to)?);
    let (old_text, new_text) = (print_document(&old)?, print_document(&new)?);
    let lines = similar::TextDiff::from_lines(&old_text, &new_text);
    let unified = lines.unified_diff().context_radius(CONTEXT_LINES).header(from, to).to_string();
    let report = DiffReport { differs: digest(&old) != digest(&new), diff: unified };
    output.print(&report, || report.diff.clone());
    Ok(ExitStatus::negative_if(report.differs))
}
