//! What a request costs the proxy: `cargo bench --bench throughput`. Prints figures and asserts none; only ratios of runs on one
//! machine say something. `GAUGESTEP_PROGRAM` names the program of another build, to compare two builds in turns.
#![allow(clippy::unwrap_used, reason = "a benchmark that fails may panic")]

#[path = "../tests/common/control.rs"]
mod control;
#[path = "../tests/common/proxy.rs"]
mod proxy;

use std::time::{Duration, Instant};

use control::RespondingEngine;
use proxy::{Launch, Proxy, query};

/// Clients that ask at the same time, each as soon as it has its answer.
const CLIENTS: u64 = 16;
/// Engines behind the proxy, which answer at once.
const ENGINES: usize = 4;
/// Requests of each client before and while measuring.
const WARM_UP_REQUESTS: u64 = 200;
const REQUESTS: u64 = 3_000;
/// Ticks of the processor time in `/proc`, a second.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` behind the name of the program: user time and system time, in ticks.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// The processor time that a process has used.
fn processor_time(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    let ticks: f64 = [USER_TIME, SYSTEM_TIME].map(|at| fields[at].parse::<f64>().unwrap()).iter().sum();
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Has every client ask this many requests, one after the other.
fn ask_all(proxy: &Proxy, first: u64, requests: u64) {
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
    ask_all(&proxy, 1, WARM_UP_REQUESTS);
    let (began, used) = (Instant::now(), processor_time(proxy.id()));
    ask_all(&proxy, 1_000_000, REQUESTS);
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
