//! The command `seats`, which shows the ordinals of the fleet and their proxies.

use gaugestep_config::schema::{ListSeats, Seats, call, reply};
use serde::Serialize;

use crate::cli::admin_client::CallError;
use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;

#[derive(Serialize)]
struct RosterReport {
    /// The member that assigns the ordinals; 0 if there is none.
    #[serde(rename = "keeper")]
    holder: u64,
    term: u64,
    epoch: u64,
    /// The names of the proxies by ordinal; empty for a free ordinal.
    proxies: Vec<String>,
}

impl From<Seats> for RosterReport {
    fn from(Seats { keeper, term, epoch, proxies }: Seats) -> Self {
        RosterReport { holder: keeper, term, epoch, proxies }
    }
}

impl RosterReport {
    fn text(&self) -> String {
        let RosterReport { holder, term, epoch, proxies } = self;
        let free = proxies.iter().filter(|name| name.is_empty()).count();
        let ordinals = proxies.len();
        let header = format!(
            "assigned by member {holder}  term {term}  epoch {epoch}  {ordinals} seats, {free} free\n"
        );
        let line = |(ordinal, name): (usize, &String)| {
            format!("{ordinal:>5}  {}\n", if name.is_empty() { "-" } else { name })
        };
        header + &proxies.iter().enumerate().map(line).collect::<String>()
    }
}

/// Shows the ordinals and the proxies that have them; the result is negative if no member assigns ordinals.
pub(crate) fn list(output: Output, connection: &ConnectionArgs) -> CommandResult {
    let reply::What::Seats(seats) = connection.call(&call::What::Seats(ListSeats {}))? else {
        return Err(CallError::UnexpectedResponse.into());
    };
    let report = RosterReport::from(seats);
    output.print(&report, || report.text());
    Ok(ExitStatus::negative_if(report.holder == 0))
}
