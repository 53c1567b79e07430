//! Two events that cross: the real program with scripted peers, each test with the order that would do harm. The proxy is
//! stopped (SIGSTOP) while both events come, so that it finds them together whatever the machine is doing; docs/crossings.md
//! names each crossing, what holds against it and its test.

#[path = "common/proxy.rs"]
mod proxy;

use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use proxy::{
    Client, Coordinator, Database, Launch, Lines, PATIENCE, Proxy, event, free_address, query, rest,
    wait_within,
};

const ANSWER: (&str, &str) = ("total=1", "a\tb\tc\n");

/// A configuration with far more time to dial than anything here takes.
fn patient(text: String) -> String {
    text.replace(r#""dial_timeout_ms": 250"#, r#""dial_timeout_ms": 15000"#)
}

/// A configuration with a coordinator at this address.
fn follows(text: String, coordinator: SocketAddr) -> String {
    text.replace(r#""seed":"8c1f""#, &format!(r#""seed":"8c1f","coordinator":"{coordinator}""#))
}

fn serve(lines: &mut Lines, id: u64) {
    lines.say(&format!("{id:016x}"), "HIT", ANSWER.0, ANSWER.1);
}

/// Has one query served, so that a connection to the database is open and rests. Returns that connection.
fn warm(proxy: &Proxy, database: &Database, id: u64) -> Lines {
    let mut client = proxy.client();
    client.send(&query("lookup", id, 15_000));
    let mut lines = database.accept();
    assert_eq!(lines.command()[1], format!("{id:016x}"));
    serve(&mut lines, id);
    assert_eq!(client.answer(), "TDC");
    lines
}

/// Sends a query behind all that came before, and has it served: whatever was to be sent has been sent by then. The database
/// must hear of this query and of nothing else.
fn marked(proxy: &Proxy, lines: &mut Lines) {
    let mut client = proxy.client();
    client.send(&query("lookup", 0xeeee, 15_000));
    let told = lines.command();
    assert_eq!(told[..2], ["serve", "000000000000eeee"], "nothing else is sent");
    serve(lines, 0xeeee);
    assert_eq!(client.answer(), "TDC");
}

// The client leaves.

#[test]
fn a_query_that_is_read_together_with_its_clients_close_is_not_sent() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut lines = warm(&proxy, &database, 1);
    let mut others = proxy.client();
    for id in 2..6 {
        let mut client = proxy.client();
        proxy.pause();
        client.send(&query("lookup", id, 15_000));
        drop(client);
        proxy.go_on();
    }
    assert_eq!(others.ask(""), "I", "other sessions go on");
    marked(&proxy, &mut lines);
    assert_eq!(proxy.attempts_at_rest(), 2);
}

#[test]
fn a_query_that_is_read_together_with_its_cancel_is_not_sent() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut lines = warm(&proxy, &database, 1);
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    for (id, client) in (2..).zip(&mut clients) {
        proxy.pause();
        client.send(&query("lookup", id, 15_000));
        let cancel = client.call_off();
        proxy.go_on();
        assert!(client.answer().starts_with("E 57014"));
        assert_eq!(rest(&cancel), "");
        assert_eq!(client.ask(""), "I", "the session goes on");
    }
    marked(&proxy, &mut lines);
    assert_eq!(proxy.attempts_at_rest(), 2);
}

#[test]
fn a_cancel_that_arrives_amid_its_query_cancels_all_of_it() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut lines = warm(&proxy, &database, 1);
    let mut client = proxy.client();
    let text = query("lookup", 2, 15_000);
    let length = (text.len() as u32 + 5).to_be_bytes();
    let message = [&b"Q"[..], &length, text.as_bytes(), b"\0"].concat();
    proxy.pause();
    client.socket.write_all(&message[..40]).unwrap();
    proxy.go_on();
    assert_eq!(rest(&client.call_off()), "", "the cancel has been read");
    client.socket.write_all(&message[40..]).unwrap();
    assert!(client.answer().starts_with("E 57014"));
    // A cancel that finds nothing holds for nothing that comes later.
    assert_eq!(rest(&client.call_off()), "");
    client.send(&query("lookup", 3, 15_000));
    assert_eq!(lines.command()[1], format!("{:016x}", 3));
    serve(&mut lines, 3);
    assert_eq!(client.answer(), "TDC");
    assert_eq!(proxy.attempts_at_rest(), 2);
}

#[test]
fn a_request_that_waits_for_an_engine_is_not_sent_once_its_client_has_left() {
    let (database, coordinator) = (Database::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&database], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut lines = warm(&proxy, &database, 9);
    let mut told = |index: u64, phase: &str| {
        stream.write_all(event(index, &[database.member("s-0", phase)]).as_bytes()).unwrap();
    };
    told(2, "DRAINING");
    let (mut closing, mut cancelling) = (proxy.client(), proxy.client());
    closing.send(&query("lookup", 1, 15_000));
    cancelling.send(&query("load", 2, 15_000));
    wait_within(PATIENCE, "they wait", || proxy.figure("/outstanding") == Some(2));
    // The engine takes work again, over a connection that is open, before it is seen that they have left.
    proxy.pause();
    told(3, "SERVING");
    drop(closing);
    let _cancel = cancelling.call_off();
    proxy.go_on();
    assert!(cancelling.answer().starts_with("E 57014"));
    marked(&proxy, &mut lines);
    assert_eq!(proxy.attempts_at_rest(), 2);
}

#[test]
fn a_request_that_waits_for_a_dial_is_not_sent_once_its_client_has_left() {
    let (database, first) = Database::narrow();
    let proxy = Launch { change: &patient, ..Launch::new(&[&database]) }.start();
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    wait_within(PATIENCE, "it waits", || proxy.figure("/outstanding") == Some(1));
    // The dial comes up while the proxy stands still, and its client leaves.
    proxy.pause();
    drop(client);
    drop((first, database.accept()));
    let mut lines = database.accept();
    proxy.go_on();
    marked(&proxy, &mut lines);
    assert_eq!(proxy.attempts_at_rest(), 1);
}

#[test]
fn no_retry_follows_once_the_client_has_left() {
    let (first, second, coordinator) = (Database::new(), Database::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&second], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    // Connections to the second are open, and rest while it drains.
    let (mut one, mut other) = (proxy.client(), proxy.client());
    one.send(&query("lookup", 8, 15_000));
    let mut lines = second.accept();
    other.send(&query("lookup", 9, 15_000));
    let mut more = second.accept();
    assert_eq!(
        [lines.command()[1].clone(), more.command()[1].clone()],
        [8, 9].map(|id| format!("{id:016x}"))
    );
    serve(&mut lines, 8);
    serve(&mut more, 9);
    assert_eq!([one.answer(), other.answer()], ["TDC", "TDC"]);
    let told = [second.member("s-0", "DRAINING"), first.member("s-9", "SERVING")];
    stream.write_all(event(2, &told).as_bytes()).unwrap();
    wait_within(PATIENCE, "the first is listed", || proxy.figure("/discovered") == Some(2));
    // The first attempt fails: refused by a full database, or with its connection.
    let (mut full, mut broken) = (proxy.client(), proxy.client());
    full.send(&query("lookup", 1, 15_000));
    let mut sheds = first.accept();
    sheds.command();
    broken.send(&query("lookup", 2, 15_000));
    let mut breaks = first.accept();
    breaks.command();
    let told =
        [second.member("s-0", "SERVING"), first.member("s-9", "SERVING"), first.member("s-x", "SERVING")];
    stream.write_all(event(3, &told).as_bytes()).unwrap();
    wait_within(PATIENCE, "the second is back", || proxy.figure("/discovered") == Some(3));
    stream.write_all(event(4, &[first.member("s-x", "DELETED")]).as_bytes()).unwrap();
    wait_within(PATIENCE, "and the third is gone", || proxy.figure("/discovered") == Some(2));
    proxy.pause();
    sheds.say(&format!("{:016x}", 1), "SHED", "-", "");
    drop(breaks);
    drop((full, broken));
    proxy.go_on();
    assert_eq!(proxy.attempts_at_rest(), 4);
    // The second hears of neither.
    assert!(lines.silent() && more.silent());
}

/// The run of one is cut at its class's timeout at the moment in which its client leaves: it is not relaunched.
#[test]
fn an_attempt_that_times_out_is_not_relaunched_once_its_client_has_left() {
    let databases = [Database::new(), Database::new()];
    let proxy = Proxy::start(&[&databases[0], &databases[1]]);
    let mut engines = Engines { databases, lines: Vec::new(), running: Vec::new() };
    let mut asked = 0x100;
    let mut text = |cost: u32| {
        asked += 1;
        format!("/* method=lookup,rid={asked:016x},budget=15000,est=20 */ SELECT a FROM sales_{cost}.orders")
    };
    // A class learns its timeout from quick runs and a few that take far longer.
    let mut client = proxy.client();
    for at in 0..60 {
        engines.serve(&mut client, &text(if at % 12 == 11 { 900 } else { 1 }));
    }
    // A share of all runs is never cut; one of these is.
    let cut = (0..20).any(|_| {
        let mut client = proxy.client();
        client.send(&text(4_000));
        wait_within(PATIENCE, "it arrives", || engines.take() > 0);
        proxy.pause();
        // What was written before the stop is there to be read: a relaunch among it tells nothing.
        let early = engines.take();
        drop(client);
        std::thread::sleep(Duration::from_millis(400));
        proxy.go_on();
        proxy.attempts_at_rest();
        assert_eq!(engines.take(), 0, "an attempt began behind its client's back");
        // Had its client stayed, it would have been sent again.
        let before = proxy.figure("/forwards").unwrap();
        engines.serve(&mut proxy.client(), &text(2_000));
        early == 0 && proxy.figure("/forwards") == Some(before + 2)
    });
    assert!(cut, "the class learns no timeout");
}

/// Databases that answer each request after the milliseconds that its schema names, all by the thread of the test: what they
/// have taken is known at every moment.
struct Engines {
    databases: [Database; 2],
    lines: Vec<Lines>,
    /// Connection, id, and when it is answered.
    running: Vec<(usize, String, Instant)>,
}

impl Engines {
    /// Takes all that has come by now; how many requests.
    fn take(&mut self) -> usize {
        for database in &self.databases {
            database.0.set_nonblocking(true).unwrap();
            while let Ok((socket, _)) = database.0.accept() {
                socket.set_nonblocking(false).unwrap();
                self.lines.push(Lines(std::io::BufReader::new(socket)));
            }
        }
        let mut taken = 0;
        for (at, lines) in self.lines.iter_mut().enumerate() {
            while !lines.silent() {
                let told = lines.command();
                match &*told[0] {
                    "serve" => {
                        let cost = told[4].split(['_', '.']).nth(1).unwrap().parse().unwrap();
                        self.running.push((
                            at,
                            told[1].clone(),
                            Instant::now() + Duration::from_millis(cost),
                        ));
                        taken += 1;
                    }
                    "cancel" => self.running.retain(|(place, id, _)| *place != at || *id != told[1]),
                    "" => break,
                    _ => {}
                }
            }
        }
        taken
    }

    /// Answers what is due, until the client has its answer.
    fn serve(&mut self, client: &mut Client, text: &str) {
        std::thread::scope(|scope| {
            let asks = scope.spawn(|| client.ask(text));
            while !asks.is_finished() {
                self.take();
                let now = Instant::now();
                for (at, id, _) in self.running.iter().filter(|it| it.2 <= now) {
                    self.lines[*at].say(id, "HIT", "total=1,elapsed=20,rss=1", "a\tb\tc\n");
                }
                self.running.retain(|it| it.2 > now);
                std::thread::sleep(Duration::from_millis(1));
            }
            assert_eq!(asks.join().unwrap(), "TDC");
        });
    }
}

/// A client that closes its side only is taken to have left, as nobody can tell: it gets its one answer, an error.
#[test]
fn a_client_that_half_closes_its_connection_receives_an_error() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let told = lines.command();
    client.socket.shutdown(Shutdown::Write).unwrap();
    assert_eq!(lines.command(), ["cancel", &told[1]]);
    assert!(rest(&client.socket).contains("57014"));
}

/// Much is sent ahead of the answer, so that the close behind it is not read for long: the query that runs is called off, and
/// none of the others begins.
#[test]
fn no_attempt_starts_for_pipelined_queries_of_a_client_that_disconnects() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let told = lines.command();
    let mut others = proxy.client();
    for id in 0x100..0x800 {
        // It may be reset in the middle, as it is sending too much.
        if client.try_send(&query("lookup", id, 15_000)).is_err() {
            break;
        }
    }
    assert_eq!(lines.command(), ["cancel", &told[1]]);
    drop(client);
    assert_eq!(others.ask(""), "I");
    marked(&proxy, &mut lines);
    assert_eq!(proxy.attempts_at_rest(), 2);
}

// A connection is closed.

/// The proxy closes a resting session as it shuts down, and its client's next query crosses that: it is not sent on, and the
/// client sees an orderly close and no reset.
#[test]
fn a_query_that_crosses_the_close_of_its_session_is_neither_forwarded_nor_reset() {
    let database = Database::new();
    let mut proxy = Proxy::start(&[&database]);
    let lines = warm(&proxy, &database, 1);
    let mut client = proxy.client();
    proxy.signal("-TERM");
    assert_eq!(client.socket.read(&mut [0]).unwrap(), 0, "the session is closed");
    client.send(&query("lookup", 2, 15_000));
    assert!(proxy.wait().success());
    assert_eq!(client.socket.read(&mut [0]).unwrap(), 0);
    assert!(client.socket.take_error().unwrap().is_none(), "and not reset");
    let mut unheard = String::new();
    let mut lines = lines;
    lines.0.read_to_string(&mut unheard).unwrap();
    assert_eq!(unheard, "", "nothing was sent on");
}

/// A client that sends its query and its good-bye at once gets its answer, whatever it sends behind that.
#[test]
fn bytes_after_a_terminate_message_do_not_discard_the_answer() {
    let proxy = Proxy::start(&[&Database::new()]);
    let mut client = proxy.client();
    proxy.pause();
    client.send("SELECT 1");
    client.socket.write_all(b"X\0\0\0\x04").unwrap();
    client.socket.write_all(&[b'x'; 4_000]).unwrap();
    proxy.go_on();
    assert!(rest(&client.socket).contains("42601"));
}

/// Many connect as the proxy stops listening, more than it takes in at a time: each is told so, or let in and then closed in
/// order. Nobody is reset.
#[test]
fn clients_that_connect_as_the_listener_closes_are_not_reset() {
    let mut proxy = Proxy::start(&[&Database::new()]);
    let resting = proxy.client();
    proxy.signal("-TERM");
    wait_within(PATIENCE, "it stops", || proxy.call("GET", "/ops/readiness").0 != 200);
    // It stands still past the time in which clients still come, and finds them behind that.
    proxy.pause();
    let late: Vec<TcpStream> = (0..60)
        .map(|_| {
            let mut late = TcpStream::connect(proxy.address).unwrap();
            late.write_all(b"\0\0\0\x12\0\x03\0\0user\0app\0\0").unwrap();
            late
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    proxy.go_on();
    for late in &late {
        let told = rest(late);
        assert!(told.contains("57P03") || told.ends_with("Z\0\0\0\x05I"), "{told}");
    }
    drop(resting);
    assert!(proxy.wait().success());
}

/// The database closes a resting connection as the next request goes out on it: that request is sent on a new one, also if it
/// must not be repeated, as nothing of it was written.
#[test]
fn a_request_that_meets_the_close_of_an_idle_connection_is_sent_on_a_new_one() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let lines = warm(&proxy, &database, 1);
    let mut client = proxy.client();
    proxy.pause();
    client.send(&query("load", 2, 15_000));
    drop(lines);
    proxy.go_on();
    let mut lines = database.accept();
    assert_eq!(lines.command()[1], format!("{:016x}", 2));
    serve(&mut lines, 2);
    assert_eq!(client.answer(), "TDC");
    assert_eq!(proxy.attempts_at_rest(), 2);
}

/// A whole answer and the reset of its connection come together: the answer counts. Half a line is none.
#[test]
fn a_complete_answer_counts_though_its_connection_breaks_and_a_partial_line_does_not() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    for (id, length, told) in [(1, 1_000, "TDC"), (2, 40, "E 58000 failed: the statement may have run")] {
        let mut client = proxy.client();
        client.send(&query("load", id, 15_000));
        let mut lines = database.accept();
        wait_within(PATIENCE, "it is sent", || proxy.figure("/forwards") == Some(id));
        proxy.pause();
        let answer = format!("{id:016x} HIT total=1,elapsed=5 6\r\na\tb\tc\n\r\n");
        let part = &answer.as_bytes()[..answer.len().min(length)];
        lines.0.get_mut().write_all(part).unwrap();
        // The command is still unread, so this resets the connection.
        drop(lines);
        proxy.go_on();
        assert_eq!(client.answer(), told);
    }
}

/// It may have run, as a note has told; that it was turned away proves nothing any more.
#[test]
fn a_rejection_after_a_progress_report_does_not_prove_that_the_query_never_ran() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 15_000));
    let mut lines = database.accept();
    let told = lines.command();
    lines.say(&told[1], "INFO", "detail=done,datum=0.4", "");
    lines.say(&told[1], "SHED", "-", "");
    assert!(client.answer().starts_with("E 58000"));
    assert_eq!(proxy.attempts_at_rest(), 1);
}

// Lists, windows and drains.

/// The dial of a repeat comes up behind the window in which databases drop repeats: it is not sent, and answered for.
#[test]
fn a_retry_whose_dial_outlasts_its_deduplication_window_is_not_sent() {
    for (group, told) in [("all", "E 53000"), ("zone", "E 58000")] {
        let (first, coordinator) = (Database::new(), Coordinator::new());
        let (second, fills) = Database::narrow();
        let keyed = format!(r#""load", "effect": "keyed", "group": "{group}", "window_ms": 600"#);
        let at = coordinator.0.local_addr().unwrap();
        let change = |text: String| {
            let text = patient(text);
            let text = text.replace(r#""load", "effect": "unsafe""#, &keyed);
            follows(text, at)
        };
        let proxy = Launch { change: &change, ..Launch::new(&[&first]) }.start();
        let (mut stream, _) = coordinator.accept();
        let mut client = proxy.client();
        client.send(&query("load", 1, 15_000));
        let mut lines = first.accept();
        lines.command();
        let sent = Instant::now();
        stream.write_all(event(2, &[second.member("s-9", "SERVING")]).as_bytes()).unwrap();
        wait_within(PATIENCE, "the second is listed", || proxy.figure("/discovered") == Some(2));
        drop(lines);
        // The window has passed, by far more than what rules leave for a slow clock.
        std::thread::sleep(Duration::from_millis(900).saturating_sub(sent.elapsed()));
        drop((fills, second.accept()));
        assert!(client.answer().starts_with(told), "group {group}");
        assert_eq!(proxy.attempts_at_rest(), 1);
    }
}

/// The database begins to drain as a request is on its way to it.
#[test]
fn a_request_that_crosses_a_drain_is_not_sent_after_it() {
    let (database, first) = Database::narrow();
    let coordinator = Coordinator::new();
    let at = coordinator.0.local_addr().unwrap();
    let change = |text: String| {
        let text = patient(text);
        follows(text, at)
    };
    let proxy = Launch { change: &change, ..Launch::new(&[&database]) }.start();
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    client.send(&query("load", 1, 4_000));
    wait_within(PATIENCE, "it waits", || proxy.figure("/outstanding") == Some(1));
    stream.write_all(event(2, &[database.member("s-0", "DRAINING")]).as_bytes()).unwrap();
    // Told and read: what comes behind an event of the stream is applied in its order.
    let other = Database::new();
    stream.write_all(event(3, &[other.member("s-1", "SERVING")]).as_bytes()).unwrap();
    let mut lines = other.accept();
    drop((first, database.accept()));
    assert_eq!(lines.command()[1], format!("{:016x}", 1), "it goes elsewhere");
    serve(&mut lines, 1);
    assert_eq!(client.answer(), "TDC");
    assert_eq!(proxy.attempts_at_rest(), 1);
}

/// A listed database is at another address from now on: what answers at the old one is another.
#[test]
fn a_database_that_moves_is_reached_on_new_connections() {
    let (old, new, coordinator) = (Database::new(), Database::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&old], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut lines = warm(&proxy, &old, 1);
    stream.write_all(event(2, &[new.member("s-0", "SERVING")]).as_bytes()).unwrap();
    // Events are applied in their order.
    stream.write_all(event(3, &[Database::new().member("s-1", "DRAINING")]).as_bytes()).unwrap();
    wait_within(PATIENCE, "both are applied", || proxy.figure("/discovered") == Some(2));
    let mut moved = warm(&proxy, &new, 2);
    marked(&proxy, &mut moved);
    let mut told = String::new();
    lines.0.read_line(&mut told).unwrap();
    assert_eq!(told, "", "the old connection is closed and nothing was sent on it");
}

// Floods.

/// Idle clients by the hundred while discovery is down: descriptors stay within their bound, whoever comes last is served, and
/// discovery is reached as soon as it is there.
#[test]
fn idle_clients_do_not_exhaust_the_descriptors_for_discovery_and_databases() {
    let database = Database::new();
    let place = free_address();
    let change = |text: String| follows(text, place);
    let proxy = Launch { change: &change, ..Launch::new(&[]) }.start();
    let done = std::sync::atomic::AtomicBool::new(false);
    let (idle, most) = std::thread::scope(|scope| {
        let look = scope.spawn(|| {
            let mut most = 0;
            while !done.load(std::sync::atomic::Ordering::SeqCst) {
                most = most.max(proxy.descriptors());
            }
            most
        });
        let idle: Vec<TcpStream> = (0..800).filter_map(|_| TcpStream::connect(proxy.address).ok()).collect();
        // Whoever comes last is let in behind all of them.
        assert_eq!(proxy.client().ask(""), "I");
        done.store(true, std::sync::atomic::Ordering::SeqCst);
        (idle, look.join().unwrap())
    });
    // 102 sessions and 8 that make room; the rest is what a proxy holds that has no client.
    assert!(most <= 102 + 8 + 30, "{most} descriptors");
    let coordinator = Coordinator(std::net::TcpListener::bind(place).unwrap());
    let (mut stream, _) = coordinator.accept();
    stream.write_all(event(2, &[database.member("s-0", "SERVING")]).as_bytes()).unwrap();
    wait_within(PATIENCE, "the list is followed", || proxy.figure("/discovered") == Some(1));
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    assert_eq!(lines.command()[1], format!("{:016x}", 1));
    serve(&mut lines, 1);
    assert_eq!(client.answer(), "TDC");
    drop(idle);
}

/// A client asks on and on, faster than it is answered, and reads nothing: little of it is read ahead, and others are served.
#[test]
fn the_proxy_does_not_buffer_without_limit_for_a_client_that_sends_without_end() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut flood = proxy.client();
    flood.socket.set_write_timeout(Some(Duration::from_secs(2))).unwrap();
    let many = b"Q\0\0\0\x05\0".repeat(10_000);
    // It fails once the system takes no more, as the proxy does not.
    let all = (0..500).all(|_| flood.socket.write_all(&many).is_ok());
    let held: usize = proxy.status("VmRSS:").trim_end_matches(" kB").parse().unwrap();
    assert!(held < 25_000, "{held} KB are held, all of 30 MB was taken: {all}");
    let mut lines = warm(&proxy, &database, 1);
    marked(&proxy, &mut lines);
}

/// A database that never stops sending, and a list that never ends, do not keep others from being served.
#[test]
fn endless_answers_and_an_endless_engine_list_do_not_affect_other_requests() {
    let (endless, well, coordinator) = (Database::new(), Database::new(), Coordinator::new());
    // A busy machine may take long to dial; this is not about that.
    let coordinated = Some(&coordinator);
    let proxy = Launch { coordinator: coordinated, change: &patient, ..Launch::new(&[&endless]) }.start();
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    client.send(&query("load", 1, 2_000));
    let mut lines = endless.accept();
    let id = lines.command()[1].clone();
    let told = [well.member("s-1", "SERVING"), endless.member("s-0", "DRAINING")];
    stream.write_all(event(2, &told).as_bytes()).unwrap();
    wait_within(PATIENCE, "both are listed", || proxy.figure("/discovered") == Some(2));
    let line = format!("{id} INFO detail=waits,datum=2 0\r\n\r\n").repeat(100);
    let mut socket = lines.0.get_ref().try_clone().unwrap();
    std::thread::spawn(move || while socket.write_all(line.as_bytes()).is_ok() {});
    let data = format!("data: {}\n", "x".repeat(1_000)).repeat(100);
    std::thread::spawn(move || while stream.write_all(data.as_bytes()).is_ok() {});
    // The stream is given up as too long, and asked for anew.
    let (_stream, last) = coordinator.accept();
    assert_eq!(last, 2);
    let _lines = warm(&proxy, &well, 3);
    assert!(client.answer().starts_with("E 58000"), "its deadline comes in time");
}

// Starts.

/// All proxies restart together while discovery hangs, or refuses: each is ready as soon as it runs.
#[test]
fn restarted_proxies_become_ready_though_discovery_hangs_or_refuses() {
    let (database, (hangs, _first)) = (Database::new(), Database::narrow());
    for at in [hangs.0.local_addr().unwrap(), free_address()] {
        let change = |text: String| follows(text, at);
        let launch = || Launch { change: &change, ..Launch::new(&[&database]) }.start();
        let mut proxies: Vec<Proxy> = (0..10).map(|_| launch()).collect();
        proxies.iter_mut().for_each(Proxy::kill);
        let began = Instant::now();
        std::thread::scope(|scope| {
            for proxy in &mut proxies {
                scope.spawn(|| proxy.restart());
            }
        });
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    }
}
