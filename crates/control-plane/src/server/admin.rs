//! Operators' calls: one on each connection, one reply.

use std::io;
use std::time::{Duration, Instant};

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{
    Act, Call, Declare, Done, Fleet, FromClient, FromService, HandOver, NewVersion, Plan, Proxy, Published,
    Reply, Shown, Versions, call, from_client, from_service, reply,
};
use gaugestep_leadership::group_state::{MAX_TERM_RAISE, Outcome};
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};
use may::net::TcpStream;

use crate::raft::replica::Responder;
use crate::server::{ControlServer, NAME, SILENCE, Session};
use crate::transport::connection::FramedConnection;
use crate::{clock, lock};

/// Operators' calls open together.
const CALLS: usize = 64;
/// Bytes of what an operator writes about a version.
const WORDS: usize = 4_096;

pub(crate) fn reply(what: reply::What) -> Reply {
    Reply { what: Some(what) }
}

fn error(why: impl Into<String>) -> Reply {
    reply(reply::What::Error(why.into()))
}

fn later(why: impl Into<String>) -> Reply {
    reply(reply::What::Later(why.into()))
}

impl ControlServer {
    /// An operator's connection: one call, one reply.
    pub(crate) fn operator(&self, stream: TcpStream) -> io::Result<()> {
        let mut channel = FramedConnection::from_accepted(stream, self.operators_keys())?;
        let line = {
            let mut inner = lock(&self.inner);
            if inner.calls >= CALLS {
                return Err(io::Error::other("too many calls are open"));
            }
            inner.calls += 1;
            inner.next_stream += 1;
            let number = inner.next_stream;
            // So that its clock is looked at.
            inner.lines.insert(number, Session::new(channel.waker()));
            number
        };
        let ended = self.answer(&mut channel);
        let mut inner = lock(&self.inner);
        inner.calls -= 1;
        inner.lines.remove(&line);
        ended
    }

    fn answer(&self, channel: &mut FramedConnection) -> io::Result<()> {
        let began = Instant::now();
        let mut answered = false;
        loop {
            let closed = channel.pump()?;
            if !answered {
                if let Some(message) = channel.next_message::<FromClient>()? {
                    let Some(from_client::Said::Call(call)) = message.said else {
                        return Err(io::Error::other("no call"));
                    };
                    let reply = self.call(call);
                    channel.send(&FromService { said: Some(from_service::Said::Reply(reply)) })?;
                    channel.pump()?;
                    answered = true;
                }
            }
            if closed {
                return Ok(());
            }
            if began.elapsed() >= SILENCE {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the call took too long"));
            }
            channel.wait();
        }
    }

    /// Carries out a call; the coroutine waits while it is agreed on.
    fn call(&self, call: Call) -> Reply {
        match call.what {
            Some(call::What::Publish(publish)) => self.publish(NewVersion {
                document: publish.document,
                author: publish.author,
                note: publish.note,
                plan: publish.plan,
                expected_newest: publish.expected_newest,
                key: publish.key,
                ..NewVersion::default()
            }),
            Some(call::What::Rollback(back)) => {
                let held = self.group.with_state(|charter| charter.versions.get(&back.to).cloned());
                let Some(held) = held else { return error(format!("there is no version {}", back.to)) };
                self.publish(NewVersion {
                    document: Some((*held.document).clone()),
                    author: back.author,
                    note: back.note,
                    rolls_back_to: back.to,
                    key: back.key,
                    ..NewVersion::default()
                })
            }
            Some(call::What::List(list)) => self.list(list.most as usize),
            Some(call::What::Show(show)) => self.show(show.number),
            Some(call::What::Status(_)) => self.status(),
            Some(call::What::Members(_)) => reply(reply::What::Members(self.group.members())),
            Some(call::What::Duties(_)) => reply(reply::What::Duties(self.group.roles())),
            Some(call::What::Seats(_)) => match self.seats() {
                Some(seats) => reply(reply::What::Seats(seats)),
                None => error(format!("no roster is kept: `declare {ORDINALS_ROLE}` has one kept")),
            },
            Some(call::What::AddMember(member)) => self.change_members(|tell| {
                if member.listen.parse::<std::net::SocketAddr>().is_err() {
                    return tell(Ok(Outcome::Rejected(format!("'{}' is no address", member.listen))));
                }
                self.group.add_member(member, tell);
            }),
            Some(call::What::RemoveMember(member)) => {
                self.change_members(|tell| self.group.remove_member(member, tell))
            }
            Some(call::What::HandOver(wish)) => self.hand_over(&wish),
            Some(call::What::Declare(duty)) => {
                self.agree(Act { duty, what: Some(What::Declare(Declare {})), ..Act::default() })
            }
            Some(call::What::TakeOver(duty)) => self.take_over(&duty),
            None => error("a call that this build does not know"),
        }
    }

    /// Has something agreed on, and says what became of it.
    fn agree(&self, act: Act) -> Reply {
        told(|tell| self.group.propose(act, tell))
    }

    /// The term under which this service acts for a duty, or where else to ask.
    fn acting(&self, duty: &str) -> Result<u64, Box<Reply>> {
        if let Some(term) = self.group.acting_term(duty) {
            return Ok(term);
        }
        let (owner, term) = self.group.with_state(|charter| charter.holder(duty));
        let elsewhere = owner > 0 && owner != self.group.member_number() && self.group.leader() > 0;
        match self.owner(owner, term).filter(|_| elsewhere) {
            Some(owner) => Err(Box::new(reply(reply::What::Owner(owner)))),
            None => Err(Box::new(later(self.group.unavailable_reason()))),
        }
    }

    fn publish(&self, new: NewVersion) -> Reply {
        if new.author.len() > NAME || new.note.len() > WORDS {
            return error("author or note is too long");
        }
        let plan = new.plan.unwrap_or_default();
        if let Some(why) = bad_plan(&plan) {
            return error(why);
        }
        let term = match self.acting(CONFIGURATION_ROLE) {
            Ok(term) => term,
            Err(elsewhere) => return *elsewhere,
        };
        if let Some(why) = self.outranked(term) {
            return error(why);
        }
        self.check_suspension(&mut lock(&self.inner), clock::now());
        let stood = lock(&self.doubt).suspended_for().filter(|_| self.group.is_single_voter());
        if let Some(stood) = stood {
            return later(format!(
                "this service stood still for {:.0} s, and no proxy has come back since: another may have taken its \
                 place (if not: `take-over {CONFIGURATION_ROLE}`)",
                stood / 1e3
            ));
        }
        let new = self.numbered(&lock(&self.inner), NewVersion { plan: Some(plan), ..new });
        self.agree(Act {
            duty: CONFIGURATION_ROLE.into(),
            term,
            what: Some(What::Version(new)),
            ..Act::default()
        })
    }

    /// Members are changed at the leader.
    fn change_members(&self, change: impl FnOnce(Responder)) -> Reply {
        let (own, leader) = (self.group.member_number(), self.group.leader());
        if leader != own {
            let there = if leader > 0 { self.owner(leader, 0) } else { None };
            return there.map_or_else(
                || later(self.group.unavailable_reason()),
                |there| reply(reply::What::Owner(there)),
            );
        }
        told(change)
    }

    fn hand_over(&self, wish: &HandOver) -> Reply {
        let term = match self.acting(&wish.duty) {
            Ok(term) => term,
            Err(elsewhere) => return *elsewhere,
        };
        let Some(to) = self.heir(wish.to) else {
            return error("there is no such member that was heard of within the last seconds");
        };
        told(|tell| self.group.hand_over(&wish.duty, term, to, tell))
    }

    /// Who may be handed a duty: this member, or whichever has the fewest if none is named.
    fn heir(&self, wanted: u64) -> Option<u64> {
        let members = self.group.members();
        let here = |member: &u64| {
            *member != members.own && members.heard.contains(member) && members.voters.contains(member)
        };
        let owns = |member: u64| {
            self.group.with_state(|charter| charter.roles.values().filter(|it| it.owner == member).count())
        };
        match wanted {
            0 => members.heard.iter().copied().filter(here).min_by_key(|member| (owns(*member), *member)),
            wanted => Some(wanted).filter(here),
        }
    }

    /// Hands all duties over, as before the end of the process, and waits for that, but not for long. Blocks its thread.
    pub fn hand_all_over(&self, within: Duration) {
        let (tell, told) = std::sync::mpsc::channel();
        let own = self.group.member_number();
        let owned: Vec<String> = self.group.with_state(|charter| {
            charter.roles.values().filter(|duty| duty.owner == own).map(|duty| duty.name.clone()).collect()
        });
        let mut wait = 0;
        for duty in owned {
            let (Some(term), Some(to)) = (self.group.acting_term(&duty), self.heir(0)) else { continue };
            let tell = tell.clone();
            tracing::info!(role = duty, term, to, "handing over a role before shutdown");
            self.group.hand_over(&duty, term, to, Box::new(move |outcome| drop(tell.send(outcome))));
            wait += 1;
        }
        let until = Instant::now() + within;
        for _ in 0..wait {
            if told.recv_timeout(until.saturating_duration_since(Instant::now())).is_err() {
                return;
            }
        }
    }

    /// Goes on above the terms that proxies have seen.
    fn take_over(&self, duty: &str) -> Reply {
        let term = match self.acting(duty) {
            Ok(term) => term,
            Err(elsewhere) => return *elsewhere,
        };
        lock(&self.doubt).clear();
        let inner = lock(&self.inner);
        let near = |seen: &u64| seen.saturating_sub(term) <= MAX_TERM_RAISE;
        let above = inner.lines.values().map(Session::seen).filter(near).max().unwrap_or(0).max(term);
        drop(inner);
        tracing::warn!(role = duty, term, above, "an operator forces a takeover");
        self.agree(Act { duty: duty.into(), term, what: Some(What::Raise(above)), ..Act::default() })
    }

    fn list(&self, most: usize) -> Reply {
        let most = if most == 0 { usize::MAX } else { most };
        let entries = self.group.with_state(|charter| {
            charter.versions.values().rev().take(most).map(|held| held.entry.clone()).collect()
        });
        reply(reply::What::Versions(Versions { entries }))
    }

    fn show(&self, number: u64) -> Reply {
        let held = self.group.with_state(|charter| {
            let number = if number == 0 { charter.newest_version() } else { number };
            charter.versions.get(&number).cloned()
        });
        let Some(held) = held else { return error(format!("there is no version {number}")) };
        let (entry, document) = (Some(held.entry), Some((*held.document).clone()));
        reply(reply::What::Shown(Shown { entry, document }))
    }

    fn status(&self) -> Reply {
        if let Err(elsewhere) = self.acting(CONFIGURATION_ROLE) {
            return *elsewhere;
        }
        let inner = lock(&self.inner);
        let now = clock::now();
        let proxy = |(name, proxy): (&String, &gaugestep_config::rollout::ProxyStatus)| {
            let (incarnation, name_term) = inner.names.holder(name).unwrap_or_default();
            Proxy {
                name: name.clone(),
                connected: proxy.stream.is_some(),
                build: proxy.build.clone(),
                in_force: proxy.in_force,
                offered: proxy.offered.map_or(0, |(_, number, _)| number),
                refusal: proxy.rejected.as_ref().map(|(_, refusal)| refusal.clone()),
                refused: proxy.rejected.as_ref().map_or(0, |(number, _)| *number),
                heard_ms: (now - proxy.last_seen).max(0.0) as u64,
                ahead: proxy.ahead,
                incarnation,
                name_term,
                ..Proxy::default()
            }
        };
        let mut proxies: Vec<Proxy> = inner.rollout.proxies().iter().map(proxy).collect();
        // Those that this service drives nothing for: whose name is another's, or who have seen a later owner.
        let term = inner.acting.unwrap_or(0);
        for (stream, line) in &inner.lines {
            let Some((hello, _)) = &line.hello else { continue };
            let displaced = !inner.names.is_holder(&hello.proxy, *stream);
            let beyond = Some(line.seen()).filter(|seen| *seen > term).unwrap_or(0);
            if displaced || beyond > 0 {
                proxies.push(Proxy {
                    name: hello.proxy.clone(),
                    connected: true,
                    build: hello.build.clone(),
                    in_force: hello.in_force.as_ref().map_or(0, |version| version.number),
                    incarnation: hello.incarnation,
                    name_term: hello.name_term,
                    displaced,
                    beyond,
                    ..Proxy::default()
                });
            }
        }
        proxies.sort_by(|a, b| (&a.name, a.displaced).cmp(&(&b.name, b.displaced)));
        let newest = self.group.with_state(gaugestep_leadership::group_state::GroupState::newest_version);
        reply(reply::What::Fleet(Fleet { newest, proxies }))
    }
}

/// Asks for something, waits, and says what became of it.
fn told(ask: impl FnOnce(Responder)) -> Reply {
    let (tell, told) = may::sync::mpsc::channel();
    ask(Box::new(move |outcome| drop(tell.send(outcome))));
    answer(told.recv().unwrap_or_else(|_| Err("the service is ending".into())))
}

/// What an outcome is to whoever called.
fn answer(outcome: Result<Outcome, String>) -> Reply {
    match outcome {
        Ok(Outcome::Applied) => reply(reply::What::Done(Done {})),
        Ok(Outcome::Published(version)) => {
            reply(reply::What::Published(Published { version: Some(version) }))
        }
        Ok(Outcome::Rejected(why)) => error(why),
        // The duty went to another while the act was under way.
        Ok(Outcome::StaleTerm { .. }) => later("the duty has another owner by now"),
        Err(why) => later(why),
    }
}

/// What is wrong with a plan.
fn bad_plan(plan: &Plan) -> Option<&'static str> {
    if !(0.0..=1.0).contains(&plan.share) {
        return Some("the plan's share must lie between 0 and 1");
    }
    if !(0.0..=1.0).contains(&plan.worse_by) {
        return Some("the plan's worsening must lie between 0 and 1");
    }
    (plan.refusals == Some(0)).then_some("the plan must allow for one refusal at least before it halts")
}
