//! Commands for the singleton roles of the fleet, each held by one member under a lease: `duties`, `hand-over`,
//! `take-over` and `declare`.

use gaugestep_config::schema::{DutyState, HandOver, ListDuties, call, reply};
use serde::Serialize;

use crate::cli::admin_client::CallError;
use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;

const MILLISECONDS_PER_SECOND: f64 = 1e3;

#[derive(Serialize)]
struct RoleReport {
    #[serde(rename = "duty")]
    role: String,
    /// The member that holds the lease; 0: none.
    #[serde(rename = "owner")]
    holder: u64,
    term: u64,
    changes: u64,
    held_ms: u64,
    #[serde(rename = "stale_refused")]
    stale_rejected: u64,
}

impl From<DutyState> for RoleReport {
    fn from(role: DutyState) -> Self {
        RoleReport {
            role: role.name,
            holder: role.owner,
            term: role.term,
            changes: role.changes,
            held_ms: role.held_ms,
            stale_rejected: role.stale,
        }
    }
}

impl RoleReport {
    fn line(&self) -> String {
        let RoleReport { role, term, changes, stale_rejected, .. } = self;
        let holder = if self.holder == 0 { "nobody".into() } else { format!("member {}", self.holder) };
        let held = self.held_ms as f64 / MILLISECONDS_PER_SECOND;
        format!(
            "{role:<24}  {holder:<10}  term {term:>6}  for {held:.0} s  changes {changes}  \
             stale refused {stale_rejected}\n"
        )
    }
}

/// Shows the roles and who holds them; the result is negative if nobody holds one of them.
pub(crate) fn list(output: Output, connection: &ConnectionArgs) -> CommandResult {
    let reply::What::Duties(roles) = connection.call(&call::What::Duties(ListDuties {}))? else {
        return Err(CallError::UnexpectedReply.into());
    };
    let reports: Vec<RoleReport> = roles.duties.into_iter().map(RoleReport::from).collect();
    output.print(&reports, || reports.iter().map(RoleReport::line).collect());
    Ok(ExitStatus::negative_if(reports.iter().any(|role| role.holder == 0)))
}

/// Has the lease holder of a role hand it over; `successor` of 0: to the member that holds the fewest.
pub(crate) fn hand_over(
    output: Output,
    connection: &ConnectionArgs,
    role: &str,
    successor: u64,
) -> CommandResult {
    let request = call::What::HandOver(HandOver { duty: role.into(), to: successor });
    connection.change(output, &request, &format!("'{role}' was handed over"))
}

/// Adds a role, for which the group finds a holder.
pub(crate) fn declare(output: Output, connection: &ConnectionArgs, role: &str) -> CommandResult {
    connection.change(output, &call::What::Declare(role.into()), &format!("'{role}' is a duty"))
}

/// Has the lease holder of a role go on under a term above those that proxies have seen.
pub(crate) fn take_over(output: Output, connection: &ConnectionArgs, role: &str) -> CommandResult {
    let text = format!("the owner of '{role}' goes on under a higher term");
    connection.change(output, &call::What::TakeOver(role.into()), &text)
}
