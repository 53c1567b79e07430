//! The cost of a request in the proxy: `cargo bench --bench throughput`. Prints figures and asserts none;
//! only ratios of runs on one machine are meaningful. `GAUGESTEP_PROGRAM` names the program of another build,
//! to compare two builds in turns.
#![allow(clippy::unwrap_used, reason = "a benchmark that fails may panic")]

#[path = "../tests/common/control.rs"]
mod control;
#[path = "../tests/common/proxy.rs"]
mod proxy;

use std::time::{Duration, Instant};

use control::RespondingEngine;
use proxy::{Launch, Proxy, query};

/// Clients that run in parallel. Each sends its next request as soon as it has the response.
const CLIENTS: u64 = 16;
/// Engines behind the proxy, which respond at once.
const ENGINES: usize = 4;
/// Requests of each client before the measurement.
const WARM_UP_REQUESTS: u64 = 200;
/// Requests of each client in the measurement.
const REQUESTS: u64 = 3_000;
/// Ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat` after the name of the program, in ticks.
const USER_TIME: usize = 11;
/// Index of the system time, in ticks.
const SYSTEM_TIME: usize = 12;

/// The processor time that a process has used.
fn processor_time(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks: f64 = [USER_TIME, SYSTEM_TIME].map(|index| fields[index].parse::<f64>().unwrap()).iter().sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Has every client send this many requests, one after the other. Request ids start at `first`.
fn run_clients(proxy: &Proxy, first: u64, requests: u64) {
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                let mut session = proxy.client();
                for number in 0..requests {
                    let id = first + client * requests + number;
                    assert_eq!(session.request(&query("lookup", id, 3_000)), "TDC");
                }
            });
        }
    });
}

fn main() {
    let engines: Vec<RespondingEngine> = (0..ENGINES).map(|_| RespondingEngine::new()).collect();
    let engines: Vec<_> = engines.iter().map(|engine| &engine.listener).collect();
    let proxy = Launch::new(&engines).start();
    run_clients(&proxy, 1, WARM_UP_REQUESTS);
    let (began, used) = (Instant::now(), processor_time(proxy.id()));
    run_clients(&proxy, 1_000_000, REQUESTS);
    let requests = (CLIENTS * REQUESTS) as f64;
    let elapsed = began.elapsed().as_secs_f64();
    let processor = (processor_time(proxy.id()) - used).as_secs_f64();
    println!(
        "{CLIENTS} clients, {ENGINES} engines: {:.0} requests/s, {:.1} us of processor time a request ({:.0} requests/s on a \
         whole core); memory {}",
        requests / elapsed,
        processor / requests * 1e6,
        requests / processor,
        proxy.status("VmRSS:")
    );
}
