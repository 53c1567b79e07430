//! What versioned configuration costs: `cargo bench --bench versions`. Prints figures and asserts none; those of note are
//! kept in docs/versioned-configuration.md, as ratios within one run.

#[path = "../tests/common/control.rs"]
mod control;
#[path = "../tests/common/proxy.rs"]
mod proxy;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use control::{Control, Engine, until};
use gaugestep_config::schema::{Answer, FromClient, FromService, Hello, from_client, from_service};
use prost::Message as _;
use proxy::{Launch, Proxy, query};

fn say(socket: &mut TcpStream, said: from_client::Said) -> std::io::Result<()> {
    let body = FromClient { said: Some(said) }.encode_to_vec();
    socket.write_all(&(body.len() as u32).to_be_bytes())?;
    socket.write_all(&body)
}

/// A subscriber that acknowledges all it is offered and tells when. Its reads tell how many bytes came.
fn subscribe(service: SocketAddr, name: String, told: &Sender<(u64, Instant, usize)>) -> std::io::Result<()> {
    let mut socket = TcpStream::connect(service)?;
    socket.set_nodelay(true)?;
    say(&mut socket, from_client::Said::Hello(Hello { protocol: 1, proxy: name, ..Hello::default() }))?;
    loop {
        let mut head = [0; 4];
        socket.read_exact(&mut head)?;
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        socket.read_exact(&mut body)?;
        match FromService::decode(body.as_slice()).map_err(std::io::Error::other)?.said {
            Some(from_service::Said::Offer(offer)) => {
                let number = offer.version.map_or(0, |version| version.number);
                say(
                    &mut socket,
                    from_client::Said::Answer(Answer { nonce: offer.nonce, number, refusal: None }),
                )?;
                let _ = told.send((number, Instant::now(), body.len() + 4));
            }
            _ => drop(told.send((0, Instant::now(), body.len() + 4))),
        }
    }
}

fn subscribers(control: &Control, count: usize) -> Receiver<(u64, Instant, usize)> {
    let (told, heard) = channel();
    for number in 0..count {
        let (told, service) = (told.clone(), control.listen);
        let run = move || drop(subscribe(service, format!("n{number}"), &told));
        std::thread::Builder::new().stack_size(64 * 1024).spawn(run).unwrap();
    }
    for _ in 0..count {
        // Its welcome.
        heard.recv().unwrap();
    }
    heard
}

/// A figure of a process as the system tells it, in KB.
fn resident(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

fn median(mut all: Vec<f64>) -> (f64, f64) {
    all.sort_by(f64::total_cmp);
    (all[all.len() / 2], all[all.len() - 1])
}

/// A document of some size: a hundred routes.
fn document(open: u64) -> String {
    let route = |at: u64| {
        format!(
            "routes {{ name: \"r{at}\" classes: \"lookup\" tenants: \"t{at}\" targets {{ zone: \"dc\" weight: 2 }} }}\n"
        )
    };
    (0..100).map(route).collect::<String>() + &format!("limits {{ max_open: {open} }}")
}

fn published(count: usize) {
    let control = Control::start();
    let empty = resident(control.process());
    let heard = subscribers(&control, count);
    let filled = resident(control.process());
    let (mut spans, mut first, mut later) = (Vec::new(), 0, 0);
    for round in 1..=10u64 {
        let file = control.file("d", &document(round));
        let began = Instant::now();
        assert_eq!(control.run(&["publish", &file]).0, 0);
        let ends: Vec<(u64, Instant, usize)> = (0..count).map(|_| heard.recv().unwrap()).collect();
        spans.extend(ends.iter().map(|(_, at, _)| (*at - began).as_secs_f64() * 1e3));
        let bytes = ends.iter().map(|(.., bytes)| bytes).sum::<usize>() / count;
        if round == 1 { first = bytes } else { later = bytes }
    }
    let (middle, worst) = median(spans);
    println!(
        "{count:>4} subscribers: publish to acknowledged {middle:.1} ms median, {worst:.1} ms worst; {} KB at the service \
         for each; {first} bytes for a first version of 100 routes, {later} for a change of one limit",
        (filled.saturating_sub(empty)) / count as u64
    );
}

/// All subscribers lose the service at one moment and come back by the waits that proxies draw.
fn storm() {
    let control = Control::start();
    control.publish(&document(1), &[]);
    let (told, heard) = channel();
    let began = Instant::now();
    for number in 0..300u64 {
        let (told, service) = (told.clone(), control.listen);
        let run = move || {
            let wait = gaugestep_control::backoff::Backoff::new(number).ended(60_000.0);
            std::thread::sleep(Duration::from_secs_f64(wait / 1e3));
            let _ = subscribe(service, format!("n{number}"), &told);
        };
        std::thread::Builder::new().stack_size(64 * 1024).spawn(run).unwrap();
    }
    let mut have = 0;
    while have < 300 {
        have += u64::from(heard.recv().unwrap().0 == 1);
    }
    println!(
        "storm: 300 subscribers are back and have the newest version {:.0} ms after they lost it",
        began.elapsed().as_secs_f64() * 1e3
    );
}

fn real(count: usize) {
    let control = Control::start();
    let kept = tempfile::tempdir().unwrap();
    let named = |number: usize| {
        let operator = Some(control.operator(&kept.path().join(format!("n{number}"))));
        let name = format!(r#""name":"p{number}""#);
        Launch { operator, change: &|text| text.replace(r#""name":"n0""#, &name), ..Launch::new(&[]) }.start()
    };
    let proxies: Vec<Proxy> = (0..count).map(named).collect();
    let have = |number: u64| {
        let status = control.json(&["status"]);
        status["proxies"].as_array().unwrap().iter().filter(|it| it["in_force"] == number).count()
    };
    until("all are here", || control.json(&["status"])["proxies"].as_array().unwrap().len() == count);
    let mut spans = Vec::new();
    for round in 1..=5u64 {
        let began = Instant::now();
        let number = control.publish(&format!("limits {{ max_open: {} }}", 50 + round), &[]);
        while have(number) < count {}
        spans.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let (middle, worst) = median(spans);
    println!(
        "{count:>4} real proxies: publish to in force and synced at all {middle:.1} ms median, {worst:.1} ms worst"
    );
    drop(proxies);
}

fn recovery() {
    let (mut control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.operator(&kept.path().join("n0")));
    let mut proxy = Launch { operator, ..Launch::new(&[]) }.start();
    let number = control.publish("limits { max_open: 7 }", &[]);
    until("in force", || proxy.figure("/configuration/version") == Some(number));
    proxy.kill();
    control.kill();
    let began = Instant::now();
    proxy.restart();
    assert_eq!(proxy.figure("/configuration/version"), Some(number));
    println!(
        "recovery: a killed proxy serves on its last good version {:.0} ms after its start",
        began.elapsed().as_secs_f64() * 1e3
    );
    let began = Instant::now();
    control.restart();
    println!(
        "recovery: a killed service answers {:.0} ms after its start",
        began.elapsed().as_secs_f64() * 1e3
    );
}

/// What following adds to a proxy that serves: its memory, and the time of a request, in turns within one run.
fn idle() {
    let control = Control::start();
    let kept = tempfile::tempdir().unwrap();
    let engine = Engine::new();
    let databases = [&engine.database];
    let operator = Some(control.operator(&kept.path().join("n0")));
    let with = Launch { operator, ..Launch::new(&databases) }.start();
    let without = Launch::new(&databases).start();
    control.publish("limits { max_open: 90 }", &[]);
    until("in force", || with.figure("/configuration/version") == Some(1));
    let mut spans = [Vec::new(), Vec::new()];
    let mut clients = [with.client(), without.client()];
    for id in 0..20_000u64 {
        // Whoever comes second finds the engine's thread warm: in turns.
        for turn in 0..2 {
            let which = (turn + id as usize) % 2;
            let began = Instant::now();
            assert_eq!(clients[which].ask(&query("lookup", id, 3_000)), "TDC");
            spans[which].push(began.elapsed().as_secs_f64() * 1e6);
        }
    }
    let [with_span, without_span] = spans.map(|all| median(all).0);
    let kb = |proxy: &Proxy| proxy.status("VmRSS:").trim_end_matches(" kB").trim().parse::<u64>().unwrap();
    println!(
        "idle: a request takes {:.3} times as long (median {with_span:.0} and {without_span:.0} us); memory {} and {} KB",
        with_span / without_span,
        kb(&with),
        kb(&without)
    );
}

fn main() {
    for count in [1, 30, 300] {
        published(count);
    }
    for count in [1, 30] {
        real(count);
    }
    storm();
    recovery();
    idle();
}
