//! The memory of a proxy whose clients and engines flood it, against the limit in its settings. Each flood keeps
//! every message within its own limit; only the sum of all of them is large.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/proxy.rs"]
mod proxy;

mod emulated_engine;
mod flood;
mod full_speed;

use std::io::Write as _;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use emulated_engine::{Behaviour, EmulatedEngine};
use flood::{Crowd, Flood};
use full_speed::FullSpeed;
use proxy::{Client, Coordinator, Launch, Proxy, SetOnDrop, query, wait_within};

/// The least memory with 1,024 descriptors that docs/capacity.md names, in MB.
const LEAST_MEMORY_MB: usize = 32;
/// How much longer a bystander may wait for its response than without the flood.
const MAX_BYSTANDER_DELAY: Duration = Duration::from_millis(200);
/// Time within which the memory that a flood took is given back.
const GIVE_BACK_TIME: Duration = Duration::from_secs(10);
/// Each half of the time for which one client sends at full speed.
const FULL_SPEED_TIME: Duration = Duration::from_millis(700);
/// Growth of the resident memory after the first half that pages touched for the first time explain.
const MAX_GROWTH_KB: usize = 1024;
/// Clients of one flood: with the bystanders somewhat fewer than the sessions that the descriptors allow.
const CLIENTS: usize = 390;

/// Held during a flood: the tests measure how long a proxy lets others wait, not how the floods share the machine.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

/// Starts a proxy with this limit and 1,024 descriptors.
fn start(memory_mb: usize, engine: &EmulatedEngine) -> Proxy {
    start_following(memory_mb, engine, None)
}

/// Like [`start`], with a coordinator.
fn start_following(memory_mb: usize, engine: &EmulatedEngine, coordinator: Option<&Coordinator>) -> Proxy {
    let limits = format!(r#""limits":{{"memory_mb":{memory_mb},"sockets":1024}}"#);
    let edit_config = |text: String| text.replace(r#""limits":{"sockets":256}"#, &limits);
    Launch { edit_config: &edit_config, coordinator, ..Launch::new(&[&engine.engine]) }.start()
}

/// A field of `/proc/PID/status` in KB.
fn kilobytes(proxy: &Proxy, name: &str) -> usize {
    proxy.status(name).trim_end_matches(" kB").parse().unwrap()
}

/// Time from the end of one bystander to the start of the next one.
const BYSTANDER_INTERVAL: Duration = Duration::from_millis(5);

/// How long a new client waits for the response to an empty query.
fn bystander_wait(proxy: &Proxy) -> Duration {
    let began = Instant::now();
    assert_eq!(Client::open(proxy.address).request(""), "I", "a bystander is served");
    let wait = began.elapsed();
    std::thread::sleep(BYSTANDER_INTERVAL);
    wait
}

/// Floods a proxy with all of `floods` together, and checks its memory, its bystanders, and that it gives the
/// memory back and serves on.
fn check(memory_mb: usize, behaviour: Behaviour, floods: &[Flood]) {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let what = format!("{floods:?}, {behaviour:?}, {memory_mb} MB");
    let engine = EmulatedEngine::start(behaviour);
    let mut proxy = start(memory_mb, &engine);
    let at_rest_kb = kilobytes(&proxy, "VmRSS:");
    let undisturbed_wait = bystander_wait(&proxy);
    let mut crowd = Crowd::connect(proxy.address, CLIENTS, floods);
    let mut longest_wait = Duration::ZERO;
    crowd.write_for(flood::DURATION, || longest_wait = longest_wait.max(bystander_wait(&proxy)));
    let peak_kb = kilobytes(&proxy, "VmHWM:");
    println!("{what}: {peak_kb} KB at the peak, a bystander waited {longest_wait:?} at most");
    assert!(peak_kb <= memory_mb * 1024, "{what}: {peak_kb} KB at the peak");
    assert!(
        longest_wait < undisturbed_wait + MAX_BYSTANDER_DELAY,
        "{what}: a bystander waited {longest_wait:?}"
    );
    drop(crowd);
    let resident_limit_kb = at_rest_kb + memory_mb * 1024 / 4;
    wait_within(GIVE_BACK_TIME, &format!("{what}: the memory is given back"), || {
        kilobytes(&proxy, "VmRSS:") <= resident_limit_kb
    });
    assert!(proxy.is_running(), "{what}: the process ended");
    engine.set_behaviour(Behaviour::Serve);
    wait_within(GIVE_BACK_TIME, &format!("{what}: a query is served after the flood"), || {
        proxy.client().request(&query("load", rand_id(), 4_000)) == "TDC"
    });
}

/// A request id that no other request of this test has.
fn rand_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1 << 40);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Guards against buffers that add up: hundreds of clients that each stop inside a large query.
#[test]
fn hundreds_of_half_written_queries_stay_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::Serve, &[Flood::HalfQuery]);
}

/// Guards against buffers that add up: heads of very many short fields, complete and incomplete.
#[test]
fn queries_with_thousands_of_short_fields_stay_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::Serve, &[Flood::ShortFields]);
}

/// Guards against buffers that add up: startup messages that never end, and clients that write slowly.
#[test]
fn half_written_startups_and_slow_writers_stay_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::Serve, &[Flood::HalfStartup, Flood::SlowQuery]);
}

/// Guards against statements and commands that add up, for engines that never answer or never read.
#[test]
fn large_queries_that_wait_for_engines_stay_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::Silent, &[Flood::LargeQuery]);
    check(LEAST_MEMORY_MB, Behaviour::Unread, &[Flood::LargeQuery]);
}

/// Guards against results that add up where clients do not read them.
#[test]
fn unread_results_and_unread_errors_stay_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::ServeLarge, &[Flood::UnreadResult]);
    check(LEAST_MEMORY_MB, Behaviour::Serve, &[Flood::UnreadErrors]);
}

/// Guards against sessions that send without a pause and together keep the worker from looking for other input.
#[test]
fn hundreds_of_clients_that_never_pause_do_not_delay_a_bystander() {
    check(64, Behaviour::Unread, &[Flood::UnreadErrors]);
}

/// Guards against input that is read ahead while queries run.
#[test]
fn input_ahead_of_responses_stays_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::Silent, &[Flood::ReadAhead]);
}

/// Guards against answers of engines that never end, while clients flood too.
#[test]
fn endless_answers_stay_within_the_memory_limit() {
    check(LEAST_MEMORY_MB, Behaviour::Endless, &[Flood::SmallQuery, Flood::HalfQuery]);
}

/// Guards against a list event that takes many times its length once it is decoded.
#[test]
fn large_events_of_the_endpoint_list_stay_within_the_memory_limit() {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let large_lists = [("1,", 1_900_000), ("{},", 1_200_000), (r#"{"k":1},"#, 450_000)];
    for (item, count) in large_lists {
        let (engine, coordinator) = (EmulatedEngine::start(Behaviour::Serve), Coordinator::new());
        let proxy = start_following(LEAST_MEMORY_MB, &engine, Some(&coordinator));
        let (mut stream, _) = coordinator.accept();
        let members = format!("{}{}", item.repeat(count), item.trim_end_matches(','));
        // The proxy may close the stream of an event that is too long, and opens it again.
        let text =
            format!("id: 2\ndata: {{\"endpoints\":{{\"complete\":false,\"members\":[{members}]}}}}\n\n");
        stream.write_all(text.as_bytes()).ok();
        drop(stream);
        drop(coordinator.accept());
        let peak_kb = kilobytes(&proxy, "VmHWM:");
        assert!(peak_kb <= LEAST_MEMORY_MB * 1024, "{item}: {peak_kb} KB at the peak");
    }
}

/// Guards against one client that occupies the proxy, or whose names are remembered without end.
#[test]
fn one_client_at_full_speed_neither_delays_others_nor_makes_memory_grow() {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    for kind in FullSpeed::ALL {
        let engine = EmulatedEngine::start(Behaviour::Serve);
        let mut proxy = start(LEAST_MEMORY_MB, &engine);
        let undisturbed_wait = bystander_wait(&proxy);
        let (address, done) = (proxy.address, AtomicBool::new(false));
        let mut longest_wait = Duration::ZERO;
        let mut resident_kb = 0;
        std::thread::scope(|scope| {
            scope.spawn(|| kind.run(address, &done));
            let end_of_flood = SetOnDrop(&done);
            for is_second_half in [false, true] {
                let end = Instant::now() + FULL_SPEED_TIME;
                while Instant::now() < end {
                    longest_wait = longest_wait.max(bystander_wait(&proxy));
                    let response = proxy.client().request(&query("load", rand_id(), 4_000));
                    assert_eq!(response, "TDC", "{kind:?}: the query of a bystander is served");
                }
                if !is_second_half {
                    resident_kb = kilobytes(&proxy, "VmRSS:");
                }
            }
            drop(end_of_flood);
        });
        let limit = undisturbed_wait + MAX_BYSTANDER_DELAY;
        assert!(longest_wait < limit, "{kind:?}: a bystander waited {longest_wait:?}");
        let peak_kb = kilobytes(&proxy, "VmHWM:");
        assert!(peak_kb <= LEAST_MEMORY_MB * 1024, "{kind:?}: {peak_kb} KB at the peak");
        // What is remembered without end stays after the flood; the buffers of the flooding client do not.
        wait_within(GIVE_BACK_TIME, &format!("{kind:?}: memory grew beyond {resident_kb} KB"), || {
            kilobytes(&proxy, "VmRSS:") <= resident_kb + MAX_GROWTH_KB
        });
        assert!(proxy.is_running(), "{kind:?}: the process ended");
    }
}

/// Guards against what the tests above do not combine: pairs of floods at each limit, drawn from a seed.
/// `GAUGESTEP_FLOOD_SEEDS=FIRST..END` plays other seeds.
#[test]
fn pairs_of_floods_stay_within_each_memory_limit() {
    for seed in flood::seeds(0..4) {
        let mut random = oorandom::Rand32::new(seed);
        let memory_mb = [LEAST_MEMORY_MB, 48, 64, 192][random.rand_range(0..4) as usize];
        let behaviour = Behaviour::ALL[random.rand_range(0..Behaviour::ALL.len() as u32) as usize];
        let pair = [0; 2].map(|_: u8| Flood::ALL[random.rand_range(0..Flood::ALL.len() as u32) as usize]);
        println!("seed {seed}: {pair:?}, {behaviour:?}, {memory_mb} MB");
        check(memory_mb, behaviour, &pair);
    }
}
