//! Commands for the members of the group: `members`, `members add` and `members remove`.

use std::net::SocketAddr;

use clap::Args;
use gaugestep_config::schema::{ListMembers, Member, Members, call, reply};
use serde::Serialize;

use crate::cli::admin_client::CallError;
use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;

/// What `members add` takes.
#[derive(Args)]
pub struct NewMemberArgs {
    /// Its number, which no member has had before.
    number: u64,
    /// The address at which proxies and the other members reach it.
    listen: SocketAddr,
    /// The address at which operators reach it.
    operators: SocketAddr,
}

#[derive(Serialize)]
struct MemberReport {
    member: u64,
    listen: String,
    operators: String,
    starts: u64,
    #[serde(rename = "here")]
    reachable: bool,
    leader: bool,
    #[serde(rename = "votes")]
    voter: bool,
}

impl MemberReport {
    fn new(member: &Member, members: &Members) -> Self {
        MemberReport {
            member: member.number,
            listen: member.listen.clone(),
            operators: member.operators.clone(),
            starts: member.boot,
            reachable: members.heard.contains(&member.number),
            leader: member.number == members.leader,
            voter: members.voters.contains(&member.number),
        }
    }

    fn line(&self) -> String {
        let MemberReport { member, listen, operators, starts, .. } = self;
        let presence = if self.reachable { "here" } else { "away" };
        let role = match (self.leader, self.voter) {
            (true, _) => "  leader",
            (false, true) => "",
            (false, false) => "  catches up",
        };
        format!("{member:>4}  {presence}  {listen:<22}  {operators:<22}  starts {starts}{role}\n")
    }
}

#[derive(Serialize)]
struct MembersReport {
    /// The member that answered.
    asked: u64,
    leader: u64,
    members: Vec<MemberReport>,
}

/// Shows the members; the result is negative if the member that answers reaches no majority of the voters.
pub(crate) fn list(output: Output, connection: &ConnectionArgs) -> CommandResult {
    let reply::What::Members(members) = connection.call(&call::What::Members(ListMembers {}))? else {
        return Err(CallError::UnexpectedReply.into());
    };
    let report = MembersReport {
        asked: members.own,
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
    let text = format!("member {number} is of the group, and votes once it has caught up");
    connection.change(output, &call::What::AddMember(member), &text)
}

/// Removes a member for good.
pub(crate) fn remove(output: Output, connection: &ConnectionArgs, number: u64) -> CommandResult {
    let text = format!("member {number} is of the group no more");
    connection.change(output, &call::What::RemoveMember(number), &text)
}
