//! Which engines are a proxy's own, out of many.
//!
//! With seats, all proxies draw the same table: a row of engines for each seat, in which every engine stands as often as its
//! size says, rounded up or down, within each zone. It is rendezvous hashing with exact bounds: all pairs of a seat and an
//! engine are gone through in the order of a lot that the pair alone draws, and each is taken if both still have room. A
//! pair's lot does not change with who else is there, so a change moves few pairs.
//!
//! Without a seat a proxy draws by its name alone, also by rendezvous: the same after a restart, but no evener than chance, as
//! nothing ties its choice to the others'.

use std::collections::BTreeMap;

use crate::lot;
use crate::position::FleetPosition;

/// An engine to draw from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Its number at the embedder.
    pub id: u32,
    /// Its key, the same at every proxy.
    pub key: u64,
    /// Its size against the others', above 0.
    pub size: f64,
    /// Its zone.
    pub zone: u64,
}

/// Engines for each seat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AssignmentTable {
    /// Places in the list of members, by seat.
    rows: Vec<Vec<usize>>,
}

/// How many engines of each of these zones belong to a subset of `size`: by the size of the zones, largest remainders first.
/// Every zone has one at least, while the subset has room for that.
fn parts(sizes: &BTreeMap<u64, (f64, usize)>, size: usize) -> BTreeMap<u64, usize> {
    let whole: f64 = sizes.values().map(|it| it.0).sum();
    let mut parts: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..size {
        // The zone that has least for its size is next: what it would have, with one more, over what it should have.
        let open = sizes.iter().filter(|(zone, it)| parts.get(*zone).copied().unwrap_or(0) < it.1);
        let next = open.min_by(|a, b| {
            let need = |(zone, it): &(&u64, &(f64, usize))| match parts.get(*zone) {
                None => -it.0,
                Some(has) => (*has as f64 + 0.5) * whole / it.0,
            };
            need(a).total_cmp(&need(b))
        });
        let Some((zone, _)) = next else { break };
        *parts.entry(*zone).or_default() += 1;
    }
    parts
}

/// How often each engine is to stand in all rows together: its share by size, no more than once in each row, rounded so that
/// the sum is exact.
fn quotas(members: &[&Member], seats: usize, size: usize) -> Vec<usize> {
    let mut shares = vec![0.0f64; members.len()];
    let mut full = vec![false; members.len()];
    loop {
        // Engines too large for their share stand in every row; the others share what is left.
        let taken = full.iter().filter(|it| **it).count();
        let rest: f64 = members.iter().zip(&full).filter(|(_, full)| !**full).map(|(it, _)| it.size).sum();
        let mut more = false;
        for (at, member) in members.iter().enumerate().filter(|(at, _)| !full[*at]) {
            shares[at] = (size - taken) as f64 * member.size / rest;
        }
        for (at, share) in shares.iter_mut().enumerate() {
            if *share >= 1.0 && !full[at] {
                (*share, full[at], more) = (1.0, true, true);
            }
        }
        if !more {
            break;
        }
    }
    let exact: Vec<f64> = shares.iter().map(|share| share * seats as f64).collect();
    let mut quotas: Vec<usize> = exact.iter().map(|it| (it + 1e-9).floor() as usize).collect();
    let mut order: Vec<usize> = (0..members.len()).collect();
    let part = |at: usize| exact[at] - exact[at].floor();
    order.sort_by(|a, b| {
        // By a lot where parts are alike, which does not change as the parts of all grow together.
        let (left, right) = ((part(*a) * 1e6).round(), (part(*b) * 1e6).round());
        right.total_cmp(&left).then_with(|| lot(members[*a].key, 1).total_cmp(&lot(members[*b].key, 1)))
    });
    let missing = (seats * size).saturating_sub(quotas.iter().sum());
    let open: Vec<usize> = order.into_iter().filter(|at| quotas[*at] < seats).collect();
    open.into_iter().take(missing).for_each(|at| quotas[at] += 1);
    quotas
}

impl AssignmentTable {
    /// Draws the rows of all seats, each of `size` engines, or of all if there are no more. The order of the members does not
    /// matter, and keys must differ.
    pub fn draw(seats: u32, members: &[Member], size: usize) -> Self {
        let seats = seats as usize;
        let mut rows = vec![Vec::new(); seats];
        let mut zones: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (at, member) in members.iter().enumerate() {
            zones.entry(member.zone).or_default().push(at);
        }
        let sizes = zones
            .iter()
            .map(|(zone, all)| (*zone, (all.iter().map(|at| members[*at].size).sum::<f64>(), all.len())));
        let parts = parts(&sizes.collect(), size);
        for (zone, all) in &zones {
            let here: Vec<&Member> = all.iter().map(|at| &members[*at]).collect();
            for (row, drawn) in
                rows.iter_mut().zip(zone_rows(seats, &here, parts.get(zone).copied().unwrap_or(0)))
            {
                row.extend(drawn.into_iter().map(|at| all[at]));
            }
        }
        AssignmentTable { rows }
    }

    /// A seat's engines, as places in the list of members; none if there is no such seat.
    pub fn subset_of(&self, seat: u32) -> &[usize] {
        self.rows.get(seat as usize).map_or(&[], Vec::as_slice)
    }

    /// All rows.
    pub fn subsets(&self) -> &[Vec<usize>] {
        &self.rows
    }
}

/// The rows of all seats within one zone.
fn zone_rows(seats: usize, members: &[&Member], size: usize) -> Vec<Vec<usize>> {
    let size = size.min(members.len());
    if size == members.len() {
        return vec![(0..size).collect(); seats];
    }
    let mut left = quotas(members, seats, size);
    let mut rows: Vec<Vec<usize>> = vec![Vec::with_capacity(size); seats];
    let mut pairs: Vec<(f64, u32, u32)> = Vec::with_capacity(seats * members.len());
    for (at, member) in members.iter().enumerate() {
        let share = left[at].max(1) as f64;
        for seat in 0..seats {
            // Exponential lots, so that engines fill up at one pace whatever their share.
            pairs.push((-lot(member.key, seat as u64).max(1e-300).ln() / share, seat as u32, at as u32));
        }
    }
    pairs.sort_unstable_by(|a, b| {
        let key = |at: u32| members[at as usize].key;
        a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then_with(|| key(a.2).cmp(&key(b.2)))
    });
    for (_, seat, at) in pairs {
        let (row, at) = (&mut rows[seat as usize], at as usize);
        if row.len() < size && left[at] > 0 {
            row.push(at);
            left[at] -= 1;
        }
    }
    // What is left are seats with room and engines with room that are pairs already. Another seat, which does not have the
    // engine, takes it in place of one that the seat with room lacks.
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|at| members[*at].key);
    for seat in 0..seats {
        while rows[seat].len() < size {
            let Some(&engine) = order.iter().find(|at| left[**at] > 0) else { break };
            if !rows[seat].contains(&engine) {
                rows[seat].push(engine);
            } else {
                let lacks = |row: &Vec<usize>| {
                    let spare = row.iter().position(|other| !rows[seat].contains(other));
                    spare.filter(|_| !row.contains(&engine))
                };
                let Some((other, place)) =
                    rows.iter().enumerate().find_map(|(other, row)| Some((other, lacks(row)?)))
                else {
                    break;
                };
                let given = std::mem::replace(&mut rows[other][place], engine);
                rows[seat].push(given);
            }
            left[engine] -= 1;
        }
    }
    rows
}

/// The engines in the order in which a proxy is to prefer them, its own first, and for each own one whose turn is when.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// Where the proxy stood when it was drawn.
    pub position: Option<FleetPosition>,
    /// Ids of the engines: the subset, and behind it all others by lot, to step in for those that are left alone.
    pub order: Vec<u32>,
    /// How many of them are the subset.
    pub own_count: usize,
    /// Where the proxy stands among those whose own an engine is, by id.
    stands: BTreeMap<u32, RotationSlot>,
}

impl Subset {
    /// Draws a proxy's subset among so many proxies.
    pub fn draw(place: FleetPosition, proxies: usize, members: &[Member], size: usize) -> Self {
        let seed = match place {
            FleetPosition::Ordinal { ordinal: seat, .. } => u64::from(seat),
            FleetPosition::NameKey(name) => name,
        };
        let mut order: Vec<usize> = (0..members.len()).collect();
        let own_lot = |at: usize| -lot(members[at].key, seed).max(1e-300).ln() / members[at].size;
        order.sort_by(|a, b| own_lot(*a).total_cmp(&own_lot(*b)));
        let own = size.min(members.len());
        // How many have an engine as their own on average, where nothing better is known.
        let of = (proxies as f64 * own as f64 / members.len().max(1) as f64).max(1.0);
        let by_lot = |member: &Member| RotationSlot {
            index: lot(member.key, seed ^ STANDS) * of,
            count: of,
            exclusive: false,
        };
        let mut stands: BTreeMap<u32, RotationSlot> = members.iter().map(|it| (it.id, by_lot(it))).collect();
        if let FleetPosition::Ordinal { ordinal: seat, fleet_size: seats } = place {
            let table = AssignmentTable::draw(seats, members, size);
            let row = table.subset_of(seat);
            // Those of its own come first, each group in its order.
            order.sort_by_key(|at| !row.contains(at));
            for at in row {
                let member = &members[*at];
                let lot_of = |seat: usize| (lot(member.key, seat as u64 ^ STANDS), seat);
                let mine = lot_of(seat as usize);
                let others = table.rows.iter().enumerate().filter(|(_, row)| row.contains(at));
                let (all, before) = others.fold((0.0, 0.0), |sum, (other, _)| {
                    (sum.0 + 1.0, sum.1 + f64::from(u8::from(lot_of(other) < mine)))
                });
                stands.insert(member.id, RotationSlot { index: before, count: all, exclusive: true });
            }
        }
        Subset {
            position: Some(place),
            order: order.into_iter().map(|at| members[at].id).collect(),
            own_count: own,
            stands,
        }
    }

    /// Where the proxy stands at an engine; alone, where the engine is not known.
    pub fn rotation_slot(&self, id: u32) -> RotationSlot {
        self.stands.get(&id).copied().unwrap_or(RotationSlot { index: 0.0, count: 1.0, exclusive: false })
    }
}

/// Keeps lots for standing apart from lots for belonging.
const STANDS: u64 = 1 << 40;

/// Where a proxy stands among those who take turns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RotationSlot {
    /// How many are before it.
    pub index: f64,
    /// How many there are, at least 1.
    pub count: f64,
    /// Nobody else stands there.
    pub exclusive: bool,
}
