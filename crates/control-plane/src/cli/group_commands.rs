//! Commands of the group: who is of it, who owns what, and changes of both.

use clap::Args;
use gaugestep_config::schema::{HandOver, ListDuties, ListMembers, ListSeats, Member, call, reply};
use serde_json::{Value, json};

use crate::cli::commands::{Connect, Done, Out, unexpected};

/// What `members add` takes.
#[derive(Args)]
pub struct NewMember {
    /// Its number, which no member ever had.
    number: u64,
    /// Where proxies and the other members reach it.
    listen: std::net::SocketAddr,
    /// Where operators reach it.
    operators: std::net::SocketAddr,
}

fn done(out: &Out, told: reply::What, words: String) -> Done {
    let reply::What::Done(_) = told else { return Err(unexpected()) };
    out.print(&json!({"done": true}), || words + "\n");
    Ok(0)
}

/// Shows the members; exit code 1 if no majority of them was heard of.
pub fn members(out: &Out, connect: &Connect) -> Done {
    let reply::What::Members(told) = connect.call(call::What::Members(ListMembers {}))? else {
        return Err(unexpected());
    };
    let one = |member: &Member| {
        json!({
            "member": member.number, "listen": member.listen, "operators": member.operators,
            "starts": member.boot, "here": told.heard.contains(&member.number),
            "leader": member.number == told.leader, "votes": told.voters.contains(&member.number),
        })
    };
    let all: Vec<Value> = told.members.iter().map(one).collect();
    out.print(&json!({"asked": told.own, "leader": told.leader, "members": all}), || {
        let line = |member: &Member| {
            let here = if told.heard.contains(&member.number) { "here" } else { "away" };
            let leads = match (member.number == told.leader, told.voters.contains(&member.number)) {
                (true, _) => "  leader",
                (false, true) => "",
                (false, false) => "  catches up",
            };
            let (number, listen, operators, boot) =
                (member.number, &member.listen, &member.operators, member.boot);
            format!("{number:>4}  {here}  {listen:<22}  {operators:<22}  starts {boot}{leads}\n")
        };
        told.members.iter().map(line).collect()
    });
    let here = told.voters.iter().filter(|member| told.heard.contains(member)).count();
    Ok(u8::from(2 * here <= told.voters.len()))
}

/// Has a service join.
pub fn add(out: &Out, connect: &Connect, new: &NewMember) -> Done {
    let (number, listen, operators) = (new.number, new.listen.to_string(), new.operators.to_string());
    let told =
        connect.call(call::What::AddMember(Member { number, listen, operators, ..Member::default() }))?;
    done(out, told, format!("member {number} is of the group, and votes once it has caught up"))
}

/// Has a member leave for good.
pub fn remove(out: &Out, connect: &Connect, number: u64) -> Done {
    let told = connect.call(call::What::RemoveMember(number))?;
    done(out, told, format!("member {number} is of the group no more"))
}

/// Shows who owns what; exit code 1 if something has no owner.
pub fn duties(out: &Out, connect: &Connect) -> Done {
    let reply::What::Duties(told) = connect.call(call::What::Duties(ListDuties {}))? else {
        return Err(unexpected());
    };
    let all: Vec<Value> = told
        .duties
        .iter()
        .map(|duty| {
            json!({
                "duty": duty.name, "owner": duty.owner, "term": duty.term, "changes": duty.changes,
                "held_ms": duty.held_ms, "stale_refused": duty.stale,
            })
        })
        .collect();
    out.print(&Value::from(all), || {
        let line = |duty: &gaugestep_config::schema::DutyState| {
            let owner = if duty.owner == 0 { "nobody".into() } else { format!("member {}", duty.owner) };
            let (name, term, changes) = (&duty.name, duty.term, duty.changes);
            let (held, stale) = (duty.held_ms as f64 / 1e3, duty.stale);
            format!("{name:<24}  {owner:<10}  term {term:>6}  for {held:.0} s  changes {changes}  stale refused {stale}\n")
        };
        told.duties.iter().map(line).collect()
    });
    Ok(u8::from(told.duties.iter().any(|duty| duty.owner == 0)))
}

/// Shows who has which seat; exit code 1 if nobody keeps the roster.
pub fn seats(out: &Out, connect: &Connect) -> Done {
    let reply::What::Seats(told) = connect.call(call::What::Seats(ListSeats {}))? else {
        return Err(unexpected());
    };
    let value = json!({
        "keeper": told.keeper, "term": told.term, "epoch": told.epoch, "proxies": told.proxies,
    });
    out.print(&value, || {
        let free = told.proxies.iter().filter(|name| name.is_empty()).count();
        let (keeper, term, epoch, seats) = (told.keeper, told.term, told.epoch, told.proxies.len());
        let head =
            format!("kept by member {keeper}  term {term}  epoch {epoch}  {seats} seats, {free} free\n");
        let line = |(seat, name): (usize, &String)| {
            format!("{seat:>5}  {}\n", if name.is_empty() { "-" } else { name })
        };
        head + &told.proxies.iter().enumerate().map(line).collect::<String>()
    });
    Ok(u8::from(told.keeper == 0))
}

/// Has the owner of a duty hand it over.
pub fn hand_over(out: &Out, connect: &Connect, duty: &str, to: u64) -> Done {
    let told = connect.call(call::What::HandOver(HandOver { duty: duty.into(), to }))?;
    done(out, told, format!("'{duty}' was handed over"))
}

/// Has there be a further duty.
pub fn declare(out: &Out, connect: &Connect, duty: &str) -> Done {
    let told = connect.call(call::What::Declare(duty.into()))?;
    done(out, told, format!("'{duty}' is a duty"))
}

/// Has a duty's owner go on above the terms that proxies have seen.
pub fn take_over(out: &Out, connect: &Connect, duty: &str) -> Done {
    let told = connect.call(call::What::TakeOver(duty.into()))?;
    done(out, told, format!("the owner of '{duty}' goes on under a higher term"))
}
