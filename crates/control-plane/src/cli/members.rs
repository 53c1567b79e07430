//! Commands for the members of the group: `members`, `members add` and `members remove`.

use std::net::SocketAddr;

use clap::Args;
use gaugestep_config::schema::{ListMembers, Member, Members, call, reply};
use serde::Serialize;

use crate::cli::admin_client::CallError;
use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;

/// The arguments of `members add`.
#[derive(Args)]
pub struct NewMemberArgs {
    /// The number of the new member, which no member has had before.
    number: u64,
    /// The new member's address for proxies and other members.
    listen: SocketAddr,
    /// The new member's address for operators.
    operators: SocketAddr,
}

#[derive(Serialize)]
struct MemberReport {
    member: u64,
    listen: String,
    operators: String,
    /// The number of starts of the member's server.
    starts: u64,
    #[serde(rename = "here")]
    is_reachable: bool,
    #[serde(rename = "leader")]
    is_leader: bool,
    #[serde(rename = "votes")]
    is_voter: bool,
}

impl MemberReport {
    fn new(member: &Member, members: &Members) -> Self {
        MemberReport {
            member: member.number,
            listen: member.listen.clone(),
            operators: member.operators.clone(),
            starts: member.boot,
            is_reachable: members.heard.contains(&member.number),
            is_leader: member.number == members.leader,
            is_voter: members.voters.contains(&member.number),
        }
    }

    fn line(&self) -> String {
        let MemberReport { member, listen, operators, starts, .. } = self;
        let presence = if self.is_reachable { "here" } else { "away" };
        let role = match (self.is_leader, self.is_voter) {
            (true, _) => "  leader",
            (false, true) => "",
            (false, false) => "  catching up",
        };
        format!("{member:>4}  {presence}  {listen:<22}  {operators:<22}  starts {starts}{role}\n")
    }
}

#[derive(Serialize)]
struct MembersReport {
    /// The member that sent the response.
    #[serde(rename = "asked")]
    responding_member: u64,
    /// The Raft leader; 0 if there is none.
    leader: u64,
    members: Vec<MemberReport>,
}

/// Shows the members; the result is negative if the responding member reaches no majority of the voters.
pub(crate) fn list(output: Output, connection: &ConnectionArgs) -> CommandResult {
    let reply::What::Members(members) = connection.call(&call::What::Members(ListMembers {}))? else {
        return Err(CallError::UnexpectedResponse.into());
    };
    let report = MembersReport {
        responding_member: members.own,
        leader: members.leader,
        members: members.members.iter().map(|member| MemberReport::new(member, &members)).collect(),
    };
    output.print(&report, || report.members.iter().map(MemberReport::line).collect());
    let reachable = members.voters.iter().filter(|member| members.heard.contains(member)).count();
    Ok(ExitStatus::negative_if(2 * reachable <= members.voters.len()))
}

/// Adds a member.
pub(crate) fn add(output: Output, connection: &ConnectionArgs, args: &NewMemberArgs) -> CommandResult {
    let number = args.number;
    let (listen, operators) = (args.listen.to_string(), args.operators.to_string());
    let member = Member { number, listen, operators, ..Member::default() };
    let confirmation = format!("member {number} was added to the group, and votes once it has caught up");
    connection.change(output, &call::What::AddMember(member), &confirmation)
}

/// Permanently removes a member.
pub(crate) fn remove(output: Output, connection: &ConnectionArgs, number: u64) -> CommandResult {
    let confirmation = format!("member {number} was removed from the group");
    connection.change(output, &call::What::RemoveMember(number), &confirmation)
}
