//! Subsetting and slow start in a fleet of many proxies with emulated engines, under faults. Each proxy
//! decides on its own; the tests audit the sum of the requests that reach each engine.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "common/group.rs"]
mod group;
#[path = "common/proxy.rs"]
mod proxy;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gaugestep_config::schema::call;
use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_subsetting::fairness::fairness;
use gaugestep_testbed::audit::SlowStartRule;
use gaugestep_testbed::emulated_fleet::{Arrival, ArrivalLog, EmulatedEngine, EngineList};
use gaugestep_testbed::fleet_audit::{EngineCapacity, arrivals_after_drain, proxies_by_engine, warm_up_load};
use group::{Group, wait_until};
use oorandom::Rand64;
use proxy::{Client, Launch, Proxy};

const PROXIES: u64 = 20;
/// Locked by the test that runs: twenty or thirty proxies with their clients load the machine too much to run
/// in parallel.
static EXCLUSIVE: Mutex<()> = Mutex::new(());
/// The slow-start rule that [`Fleet::edit_config`] sets.
const RULE: SlowStartRule =
    SlowStartRule { initial_fraction: 0.3, warm_up_ms: 8_000.0, capacity_multiple: 2.5, window_ms: 1_000.0 };
/// The capacity of the emulated engines.
const CAPACITY: EngineCapacity = EngineCapacity { cores: 8.0, rule: RULE };

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The number of the proxy that forwarded a request: the first four hex digits of the request id.
fn proxy_of(id: &str) -> u64 {
    u64::from_str_radix(&id[..4], 16).unwrap()
}

/// Counts of responses to clients by proxy: served requests, and rejected or failed ones.
type ResponseCounts = Arc<Mutex<BTreeMap<u64, (u64, u64)>>>;

struct Fleet {
    log: ArrivalLog,
    engines: Vec<EmulatedEngine>,
    /// The list that most proxies follow, and the one of the proxies that receive changes late.
    lists: [EngineList; 2],
    proxies: Vec<Proxy>,
    responses: ResponseCounts,
    /// Set when clients are to stop.
    stop_requested: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// The last field, so that it is dropped last.
    _exclusive: MutexGuard<'static, ()>,
}

impl Fleet {
    fn start(engines: usize) -> Self {
        let exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
        let log = ArrivalLog::default();
        let engines: Vec<EmulatedEngine> = (0..engines)
            .map(|index| EmulatedEngine::start(&format!("s-{index}"), 1.0, &log).unwrap())
            .collect();
        let lists = [EngineList::start().unwrap(), EngineList::start().unwrap()];
        Fleet {
            log,
            engines,
            lists,
            proxies: Vec::new(),
            responses: Arc::default(),
            stop_requested: Arc::default(),
            clients: Vec::new(),
            _exclusive: exclusive,
        }
    }

    /// Changes the default configuration to that of the proxy with this number; every fourth proxy follows
    /// the late list.
    fn edit_config(&self, text: String, number: u64, ordinal_setting: &str) -> String {
        let entries: Vec<String> =
            self.engines.iter().map(|engine| engine.list_entry("SERVING", 0)).collect();
        let list = self.lists[usize::from(number % 4 == 3)].address;
        let rules = format!(
            r#""rules": {{"cold_share": {}, "warm_within_ms": {}, "tip_multiple": {}, "overload_for_ms": {}, "#,
            RULE.initial_fraction, RULE.warm_up_ms, RULE.capacity_multiple, RULE.window_ms
        );
        let text = text.replace(r#""settings":"#, &format!(r#""coordinator":"{list}","settings":"#));
        let text =
            text.replace(r#""balancers": 1,"#, &format!(r#""balancers": {PROXIES}, {ordinal_setting}"#));
        let text = text.replace(r#""rules": {"#, &rules).replace(r#""aim_ms": 500"#, r#""aim_ms": 3000"#);
        text.replace(r#""members":[]"#, &format!(r#""members":[{}]"#, entries.join(",")))
    }

    /// Starts a proxy whose settings contain its ordinal.
    fn start_proxy(&mut self, number: u64) {
        self.start_proxy_with_ordinal_setting(number, &format!(r#""me": {number},"#));
    }

    /// Starts a proxy with this text as the setting of its ordinal; empty for none.
    fn start_proxy_with_ordinal_setting(&mut self, number: u64, ordinal_setting: &str) {
        let edit_config = |text: String| {
            let text = text.replace(r#""name":"n0""#, &format!(r#""name":"n{number}""#));
            self.edit_config(text, number, ordinal_setting)
        };
        let proxy = Launch { edit_config: &edit_config, ..Launch::new(&[]) }.start();
        self.proxies.push(proxy);
    }

    /// Starts a proxy without an ordinal in its settings that follows the group, which assigns an ordinal.
    fn start_following_proxy(&mut self, group: &Group, number: u64) {
        let name = format!("n{number}");
        let edit_config = |text| self.edit_config(text, number, "");
        let proxy = group.start_edited_proxy("", &name, &name, 0, &edit_config);
        self.proxies.push(proxy);
    }

    /// Starts three clients for each of these proxies. A client sends light and heavy requests one after the
    /// other until [`stop_clients`](Self::stop_clients), and connects again if its proxy ends.
    fn start_clients(&mut self, seed: u64, numbers: std::ops::Range<u64>) {
        for number in numbers {
            for lane in 0..3u64 {
                let address = self.proxies[number as usize].address;
                let stop_requested = self.stop_requested.clone();
                let responses = self.responses.clone();
                let run = move || {
                    let mut random = Rand64::new(u128::from(seed << 16 | number << 4 | lane));
                    let mut sent = 0u64;
                    'sessions: while !stop_requested.load(Ordering::SeqCst) {
                        let Ok(mut client) = Client::try_open(address) else {
                            std::thread::sleep(Duration::from_millis(50));
                            continue;
                        };
                        while !stop_requested.load(Ordering::SeqCst) {
                            sent += 1;
                            let id = number << 48 | lane << 40 | sent;
                            let work = if random.rand_float() < 0.2 { 400 } else { 20 };
                            let text = format!(
                                "/* method=lookup,rid={id:016x},budget=4000,est={work} */ SELECT a FROM sales_17.work_{work}"
                            );
                            let Ok(response) = client.try_request(&text) else { continue 'sessions };
                            let mut responses = responses.lock().unwrap();
                            let counts = responses.entry(number).or_default();
                            match response.contains('C') && !response.starts_with('E') {
                                true => counts.0 += 1,
                                false => counts.1 += 1,
                            }
                            drop(responses);
                            std::thread::sleep(Duration::from_millis(random.rand_range(5..40)));
                        }
                    }
                };
                self.clients.push(std::thread::spawn(run));
            }
        }
    }

    fn served(&self) -> u64 {
        self.responses.lock().unwrap().values().map(|(served, _)| served).sum()
    }

    /// Waits until this many more requests are served.
    fn wait_for_served(&self, more: u64) {
        let until = self.served() + more;
        wait_until("requests are served", || self.served() >= until);
    }

    /// Replaces an engine by a new one that has to warm up. The late list is changed `late_by` after the
    /// other one. Returns the index of the new engine, when it was started and when the old one began to
    /// drain, both in the time of the log.
    fn replace_engine(&mut self, index: usize, late_by: Duration) -> (usize, f64, f64) {
        let name = format!("s-{}", self.engines.len());
        let new = EmulatedEngine::start(&name, 1.0, &self.log).unwrap();
        let (drained, started) = (self.log.now(), unix_ms());
        let entries = [self.engines[index].list_entry("DRAINING", 0), new.list_entry("SERVING", started)];
        self.lists[0].publish(&entries);
        std::thread::sleep(late_by);
        self.lists[1].publish(&entries);
        self.engines.push(new);
        (self.engines.len() - 1, drained, drained)
    }

    /// Restarts a killed proxy after the engines up to this index have been replaced. Its configuration has
    /// the list that the coordinator has published so far, as under a platform.
    fn restart_proxy(&mut self, proxy: usize, last_replaced: usize) {
        for engine in &self.engines[..=last_replaced] {
            let (before, now) = (engine.list_entry("SERVING", 0), engine.list_entry("DRAINING", 0));
            self.proxies[proxy].rewrite(&before, &now);
        }
        self.proxies[proxy].restart();
    }

    fn stop_clients(&mut self) {
        self.stop_requested.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| client.join().unwrap());
    }
}

/// Jain's fairness index of the numbers of requests that the proxies have served.
fn fairness_of(responses: &ResponseCounts) -> f64 {
    fairness(responses.lock().unwrap().values().map(|(served, _)| (*served as f64, 1.0))).jain_index
}

#[test]
fn engines_that_warm_up_are_not_overloaded_while_proxies_are_killed_suspended_or_receive_changes_late() {
    let seed = 7;
    eprintln!("seed {seed}");
    let mut fleet = Fleet::start(12);
    (0..PROXIES).for_each(|number| fleet.start_proxy(number));
    fleet.start_clients(seed, 0..PROXIES);
    fleet.wait_for_served(6_000);
    // 20 proxies with subsets of 8 of 12 engines: every engine is in the subsets of 13 or 14 proxies.
    let steady = fleet.log.arrivals();
    let counts = proxies_by_engine(&steady, proxy_of);
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| (13..=14).contains(count)), "{counts:?}");
    assert!(fairness_of(&fleet.responses) > 0.95, "{:?}", fleet.responses);
    // Half of the engines are replaced. Meanwhile some proxies receive the changes late, two are suspended
    // for a while, and four are killed and restarted.
    let mut replaced = Vec::new();
    for index in 0..6 {
        replaced.push((index, fleet.replace_engine(index, Duration::from_millis(150))));
        match index {
            1 => [4, 5].iter().for_each(|proxy| fleet.proxies[*proxy].suspend()),
            2 => [8, 9, 10, 12].iter().for_each(|proxy| fleet.proxies[*proxy].kill()),
            3 => {
                for proxy in [8, 9, 10, 12] {
                    fleet.restart_proxy(proxy, index);
                }
            }
            _ => {}
        }
        fleet.wait_for_served(150);
    }
    // The suspended proxies resume with unread notices of drains in their streams and an expired slow-start
    // budget.
    let resumed_at = fleet.log.now();
    [4, 5].iter().for_each(|proxy| fleet.proxies[*proxy].resume());
    fleet.wait_for_served(3_000);
    fleet.stop_clients();
    let arrivals = fleet.log.arrivals();
    let mut worst = Vec::new();
    for (old, (new, started, drained)) in &replaced {
        let name = &fleet.engines[*new].name;
        let load = warm_up_load(&arrivals, name, *started, &CAPACITY, proxy_of);
        let (window, proxies, sum) = (load.worst_window_ratio, load.proxies, load.work);
        worst.push((window * 100.0).round() / 100.0);
        assert!(
            window <= 1.0,
            "{name}: {window} of what the rule allows in one window, from {proxies} proxies"
        );
        assert!(proxies > 5 && sum > 0.0, "{name} is used: {proxies} proxies, {sum} ms");
        // The late list is changed 150 ms later; the rest allows for a busy machine.
        let late_arrivals =
            arrivals_after_drain(&arrivals, &format!("s-{old}"), *drained, 150.0 + 250.0 + 400.0);
        let sent_by_suspended =
            |arrival: &&&Arrival| [4, 5].contains(&proxy_of(&arrival.id)) && arrival.at < resumed_at + 400.0;
        let violations: Vec<&&Arrival> =
            late_arrivals.iter().filter(|arrival| !sent_by_suspended(arrival)).collect();
        assert!(violations.is_empty(), "s-{old}: {violations:?}, drained at {drained}");
    }
    eprintln!("worst windows over the limit: {worst:?}");
    // Each served request has reached an engine. tests/proxy.rs checks that the attempts of a request do not
    // run in parallel.
    let ids: BTreeSet<&str> = arrivals.iter().map(|arrival| arrival.id.as_str()).collect();
    assert!(ids.len() as u64 >= fleet.served(), "{} ids, {} served", ids.len(), fleet.served());
    let most = fleet.engines.iter().map(EmulatedEngine::peak_connections).max().unwrap_or(0);
    assert!(most <= PROXIES * 5, "{most} connections at one engine");
    assert!(fairness_of(&fleet.responses) > 0.8, "{:?}", fleet.responses);
}

/// The roster follows the size of the fleet, although the number of proxies in the settings is wrong by a
/// factor of two. Ten proxies are doubled under load while engines are replaced by new ones, and then half of
/// the proxies are killed at once.
#[test]
fn subsets_are_even_again_after_the_fleet_is_doubled_and_halved_under_load() {
    let group = Group::start(3);
    group.call_until_accepted(call::What::Declare(ORDINALS_ROLE.into()));
    let mut fleet = Fleet::start(12);
    (0..10).for_each(|number| fleet.start_following_proxy(&group, number));
    group.wait_for_ordinals(&fleet.proxies.iter().collect::<Vec<_>>(), 10);
    fleet.start_clients(3, 0..10);
    // The number of proxies that use each engine, over the next `more` requests. The first 500 ms are
    // skipped, in which proxies receive the latest roster.
    let proxies_by_engine_now = |fleet: &Fleet, more: u64| {
        let from = fleet.log.now() + 500.0;
        fleet.wait_for_served(more);
        let recent: Vec<Arrival> =
            fleet.log.arrivals().into_iter().filter(|arrival| arrival.at > from).collect();
        proxies_by_engine(&recent, proxy_of)
    };
    let few = proxies_by_engine_now(&fleet, 4_000);
    assert!(few.len() == 12 && few.values().all(|count| (6..=7).contains(count)), "{few:?}");
    // The fleet is doubled, and two engines are replaced while some proxies still use the old roster.
    let mut replaced = Vec::new();
    for number in 10..20 {
        fleet.start_following_proxy(&group, number);
        if number % 5 == 2 {
            let index = replaced.len();
            replaced.push(fleet.replace_engine(index, Duration::from_millis(100)));
        }
    }
    fleet.start_clients(4, 10..20);
    group.wait_for_ordinals(&fleet.proxies.iter().collect::<Vec<_>>(), 20);
    wait_until("the replaced engines are warm", || {
        replaced.iter().all(|(_, started, _)| fleet.log.now() > started + RULE.warm_up_ms)
    });
    let many = proxies_by_engine_now(&fleet, 8_000);
    assert!(many.len() == 12 && many.values().all(|count| (13..=14).contains(count)), "{many:?}");
    fleet.proxies[..10].iter_mut().for_each(Proxy::kill);
    group.wait_for_ordinals(&fleet.proxies[10..].iter().collect::<Vec<_>>(), 10);
    let half = proxies_by_engine_now(&fleet, 4_000);
    assert!(half.len() == 12 && half.values().all(|count| (6..=7).contains(count)), "{half:?}");
    fleet.stop_clients();
    let arrivals = fleet.log.arrivals();
    for (new, started, _) in &replaced {
        let load = warm_up_load(&arrivals, &fleet.engines[*new].name, *started, &CAPACITY, proxy_of);
        let (window, proxies) = (load.worst_window_ratio, load.proxies);
        assert!(window <= 1.0, "{window} of what the rule allows in one window, from {proxies} proxies");
        assert!(proxies > 3, "the new engine is used");
    }
}

/// Thirty proxies without ordinals, whose settings state a fleet of twenty, keep the slow-start budget in sum
/// for each engine that warms up, while half of the engines are replaced, a third of the proxies is killed
/// and restarted, and five are killed.
#[test]
fn thirty_proxies_without_ordinals_keep_the_slow_start_budget_while_a_third_restarts() {
    let mut fleet = Fleet::start(8);
    (0..30).for_each(|number| fleet.start_proxy_with_ordinal_setting(number, ""));
    fleet.start_clients(9, 0..30);
    fleet.wait_for_served(4_000);
    let mut replaced = Vec::new();
    for index in 0..4 {
        replaced.push(fleet.replace_engine(index, Duration::from_millis(100)));
        match index {
            0 => fleet.proxies[..10].iter_mut().for_each(Proxy::kill),
            1 => fleet.proxies[..10].iter_mut().for_each(Proxy::restart),
            2 => fleet.proxies[25..].iter_mut().for_each(Proxy::kill),
            _ => {}
        }
        fleet.wait_for_served(300);
    }
    let last = replaced[3].1;
    wait_until("the replaced engines are warm", || fleet.log.now() > last + RULE.warm_up_ms);
    fleet.stop_clients();
    let arrivals = fleet.log.arrivals();
    for (new, started, _) in &replaced {
        let name = &fleet.engines[*new].name;
        let load = warm_up_load(&arrivals, name, *started, &CAPACITY, proxy_of);
        let (window, proxies, sum) = (load.worst_window_ratio, load.proxies, load.work);
        eprintln!(
            "{name}: {window:.2} of what the rule allows in the worst window, {proxies} proxies, {sum:.0} ms"
        );
        // Random variation could add two calls and twice the square root of the budget's calls; this check
        // allows no part of that.
        assert!(window <= 1.0, "{name}: {window} of what the rule allows in one window");
        assert!(proxies > 8 && sum > 0.0, "{name} is used: {proxies} proxies, {sum} ms");
    }
}
