//! Commands for the roles of the fleet, each of which one member at a time holds under a lease: `duties`,
//! `hand-over`, `take-over` and `declare`.

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
    /// The lease holder's member number; 0 if there is none.
    #[serde(rename = "owner")]
    holder: u64,
    term: u64,
    /// The number of changes of the lease holder.
    changes: u64,
    /// Milliseconds since the responding server applied the last change of the lease holder; 0 if it has
    /// applied none since it started.
    held_ms: u64,
    /// The number of commands that the responding server has rejected for a stale term since it started.
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
        let held_s = self.held_ms as f64 / MILLISECONDS_PER_SECOND;
        format!(
            "{role:<24}  {holder:<10}  term {term:>6}  for {held_s:.0} s  changes {changes}  \
             stale rejected {stale_rejected}\n"
        )
    }
}

/// Shows the roles and their lease holders; the result is negative if a role has no lease holder.
pub(crate) fn list(output: Output, connection: &ConnectionArgs) -> CommandResult {
    let reply::What::Duties(roles) = connection.call(&call::What::Duties(ListDuties {}))? else {
        return Err(CallError::UnexpectedResponse.into());
    };
    let reports: Vec<RoleReport> = roles.duties.into_iter().map(RoleReport::from).collect();
    output.print(&reports, || reports.iter().map(RoleReport::line).collect());
    Ok(ExitStatus::negative_if(reports.iter().any(|role| role.holder == 0)))
}

/// Makes the lease holder of a role hand it over to `successor`; 0 is the member that holds the fewest roles.
pub(crate) fn hand_over(
    output: Output,
    connection: &ConnectionArgs,
    role: &str,
    successor: u64,
) -> CommandResult {
    let request = call::What::HandOver(HandOver { duty: role.into(), to: successor });
    connection.change(output, &request, &format!("role '{role}' was handed over"))
}

/// Adds a role, whose lease the group grants to a member.
pub(crate) fn declare(output: Output, connection: &ConnectionArgs, role: &str) -> CommandResult {
    connection.change(output, &call::What::Declare(role.into()), &format!("role '{role}' exists"))
}

/// Raises the term of a role above all terms that proxies have received. Its lease holder continues under the
/// new term.
pub(crate) fn take_over(output: Output, connection: &ConnectionArgs, role: &str) -> CommandResult {
    let confirmation = format!("the lease holder of '{role}' continues under a higher term");
    connection.change(output, &call::What::TakeOver(role.into()), &confirmation)
}
