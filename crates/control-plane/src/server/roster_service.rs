//! Seats of the fleet: a shell round the [`RosterManager`], which decides who sits where, at the owner of the duty [`ORDINALS_ROLE`]; and, at
//! every member, what proxies are told of it. Members tell the owner which proxies they hear; the roster is agreed on like
//! all else, so every member knows it.

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{self, Act, Keep, Present, Seated, from_service};
use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_leadership::group_state::Outcome;
use gaugestep_subsetting::roster::{Roster, RosterManager};
use prost::Message as _;

use crate::server::{ControlServer, ServerState};
use crate::{clock, lock};

/// How often members tell the owner whom they hear, in milliseconds.
const TELL_EVERY: f64 = 1_000.0;

/// What a service knows of seats.
#[derive(Default)]
pub(crate) struct RosterState {
    /// The term under which this service keeps the roster, and the keeper.
    keeping: Option<(u64, RosterManager)>,
    told_at: f64,
}

fn read(state: &[u8]) -> Roster {
    let told = schema::Roster::decode(state).unwrap_or_default();
    Roster { epoch: told.epoch, names: told.proxies }
}

impl ControlServer {
    /// The duty as it is agreed on: its term and the roster; none while no operator has declared it.
    fn agreed(&self) -> Option<(schema::Duty, Roster)> {
        let duty = self.group.with_state(|charter| charter.roles.get(ORDINALS_ROLE).cloned())?;
        let roster = read(&duty.state);
        Some((duty, roster))
    }

    /// Looks at the clock: tells whom this service hears, and keeps the roster if it is its own.
    pub(crate) fn keep_seats(&self, inner: &mut ServerState, now: f64) {
        let acts = self.group.acting_term(ORDINALS_ROLE);
        if acts != inner.seating.keeping.as_ref().map(|(term, ..)| *term) {
            inner.seating.keeping = None;
            match (acts, self.agreed()) {
                (Some(term), Some((_, roster))) => {
                    let (epoch, seats) = (roster.epoch, roster.names.len());
                    tracing::info!(role = ORDINALS_ROLE, term, epoch, seats, "lease acquired");
                    inner.seating.keeping = Some((term, RosterManager::resume(now, roster)));
                }
                _ => tracing::warn!(role = ORDINALS_ROLE, "lease lost"),
            }
        }
        let owner = self.group.with_state(|charter| charter.holder(ORDINALS_ROLE).0);
        if owner > 0 && now - inner.seating.told_at >= TELL_EVERY {
            inner.seating.told_at = now;
            let here =
                inner.lines.iter().filter_map(|(stream, line)| Some((stream, &line.hello.as_ref()?.0)));
            let here = here.filter(|(stream, hello)| inner.names.is_holder(&hello.proxy, **stream));
            let told = Present { proxies: here.map(|(_, hello)| hello.proxy.clone()).collect() };
            match owner == self.group.member_number() {
                true => self.group.report_presence(told),
                false if !told.proxies.is_empty() => drop(self.group.links.send(owner, Said::Present(told))),
                false => {}
            }
        }
        let Some((term, keeper)) = &mut inner.seating.keeping else { return };
        for told in self.group.take_presence_reports() {
            keeper.record_heartbeats(now, told.proxies.iter().map(String::as_str));
        }
        let Some(next) = keeper.next_change(now) else { return };
        let (term, epoch, seats) = (*term, next.epoch, next.names.len());
        let state = schema::Roster { epoch, proxies: next.names.clone() }.encode_to_vec();
        // The order behind what is agreed: of two proposals that were made of one roster only the first is taken.
        let order =
            self.group.with_state(|charter| charter.roles.get(ORDINALS_ROLE).map_or(0, |duty| duty.order))
                + 1;
        let keep = What::Keep(Keep { state, order });
        let service = self.itself();
        let tell = move |outcome| {
            let done = outcome == Ok(Outcome::Applied);
            tracing::info!(role = ORDINALS_ROLE, term, epoch, seats, done, "roster committed");
            let Some(service) = service.upgrade() else { return };
            let there = service.agreed().is_some_and(|(_, roster)| roster == next);
            let mut inner = lock(&service.inner);
            match inner.seating.keeping.as_mut().filter(|(own, _)| *own == term) {
                Some((_, keeper)) if there => keeper.change_decided(clock::now(), epoch, true),
                // It may be agreed on yet, or another one was: begins again with whatever is there.
                Some(_) => inner.seating.keeping = None,
                None => {}
            }
        };
        self.group.propose(
            Act { duty: ORDINALS_ROLE.into(), term, what: Some(keep), ..Act::default() },
            Box::new(tell),
        );
    }

    /// What proxies may be told of: nothing while this member could be behind. The lease is looked at before the roster is
    /// read: the other way round the roster could be an old one and the lease a new one.
    fn told(&self) -> Option<(schema::Duty, Roster)> {
        let leased = self.group.has_lease() || crate::failpoints::is_check_disabled("owner");
        self.agreed().filter(|(duty, _)| leased && duty.term > 0)
    }

    /// What a proxy is told of its seat: nothing while another process has the name.
    pub(crate) fn seated(&self, inner: &ServerState, stream: u64) -> Option<Seated> {
        seated(inner, stream, &self.told()?)
    }

    /// Tells all proxies of their seats.
    pub(crate) fn seat_all(&self, inner: &mut ServerState) {
        // Read once for all of them, as the lines are locked meanwhile.
        let Some(told) = self.told() else { return };
        let streams: Vec<u64> = inner.lines.keys().copied().collect();
        for stream in streams {
            let seated = seated(inner, stream, &told);
            if let (Some(seated), Some(line)) = (seated, inner.lines.get_mut(&stream)) {
                line.send(from_service::Said::Seated(seated));
            }
        }
    }

    /// What a command `seats` shows.
    pub(crate) fn seats(&self) -> Option<schema::Seats> {
        let (duty, roster) = self.agreed()?;
        let (keeper, term, epoch) = (duty.owner, duty.term, roster.epoch);
        Some(schema::Seats { keeper, term, epoch, proxies: roster.names })
    }
}

fn seated(inner: &ServerState, stream: u64, (duty, roster): &(schema::Duty, Roster)) -> Option<Seated> {
    let line = inner.lines.get(&stream)?;
    let (hello, _) = line.hello.as_ref().filter(|(hello, _)| inner.names.is_holder(&hello.proxy, stream))?;
    let seat = roster.ordinal_of(&hello.proxy).map(|(seat, _)| seat);
    let (term, epoch, seats) = (duty.term, roster.epoch, roster.names.len() as u32);
    Some(Seated { term, epoch, asked_ms: line.asked, seat, seats })
}
