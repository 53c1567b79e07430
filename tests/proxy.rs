//! Tests of the real program, started as a process.

#[path = "common/proxy.rs"]
mod proxy;

use std::io::Write as _;
use std::net::TcpStream;

use proxy::{Client, Coordinator, Database, Proxy, event, query, rest};

#[test]
fn a_result_of_two_pages_is_served_completely_and_the_statement_is_forwarded_unchanged() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 5_000));
    let mut lines = database.accept();
    let serve = lines.command();
    assert_eq!(serve[1], format!("{:016x}", 1));
    assert!(serve[2].starts_with("queue=lookup,budget="), "{}", serve[2]);
    assert_eq!(serve[4], "SELECT a FROM sales_17.orders");
    lines.say(&serve[1], "HIT", "total=2,elapsed=5,rss=8,use=q:0;rif:1;x0:0.1", "a\tb\tc\n");
    assert_eq!(lines.command(), ["read", &serve[1], "1"]);
    lines.say(&serve[1], "PART", "index=1", "d\te\tf\n");
    assert_eq!(client.answer(), "TDDC");
}

/// Guards against losing what the module ends while the deadline is being dealt with (facade.rs, last_word).
#[test]
fn a_silent_database_yields_one_answer_at_the_deadline() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let (mut safe, mut load) = (proxy.client(), proxy.client());
    safe.send(&query("lookup", 1, 600));
    load.send(&query("load", 2, 600));
    assert_eq!(safe.answer(), "E 53000 refused, nothing was done: backoff=700");
    // It may have run: a refusal would invite the client to run it twice.
    assert_eq!(load.answer(), "E 58000 failed: the statement may have run");
}

/// Guards the unsafe class: a reset proves nothing, a refused connection does.
#[test]
fn a_load_is_retried_after_a_rejection_but_not_after_a_reset() {
    let (first, second) = (Database::new(), Database::new());
    let proxy = Proxy::start(&[&first]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 5_000));
    let mut lines = first.accept();
    lines.command();
    drop(lines);
    assert_eq!(client.answer(), "E 58000 failed: the statement may have run");
    drop(proxy);
    let proxy = Proxy::start(&[&second]);
    let mut client = proxy.client();
    client.send(&query("load", 2, 900));
    let mut lines = second.accept();
    let serve = lines.command();
    lines.say(&serve[1], "SHED", "-", "");
    assert!(client.answer().starts_with("E 53000 refused"));
}

#[test]
fn bad_fields_and_messages_get_an_error_at_once() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    for bad in ["SELECT 1", "/* rid=1,method=lookup,budget=5 */ SELECT 1", "/* */", "/* method=lookup"] {
        assert!(client.ask(bad).starts_with("E 42601"), "{bad}");
    }
    assert!(client.ask(&query("none", 1, 50)).starts_with("E 22023"));
    assert!(client.ask(&query("lookup", 1, 0)).starts_with("E 42601"));
    assert_eq!(client.ask(" ; "), "I");
    let mut garbage = Client::open(proxy.address);
    garbage.socket.write_all(b"Q\x7f\xff\xff\xff").unwrap();
    let told = rest(&garbage.socket);
    assert!(told.contains("54000"), "{told:?}");
    for bad in ["budget=1e9", "budget=50,est=1e12", "budget=50,est=-1", "budget=50,space=NaN", "budget=inf"] {
        let text = format!("/* method=lookup,rid={:016x},{bad} */ SELECT a FROM sales_17.orders", 1);
        assert!(client.ask(&text).starts_with("E 42601"), "{bad}");
    }
}

#[test]
fn a_garbled_line_ends_the_connection_and_not_the_proxy() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 5_000));
    let mut lines = database.accept();
    lines.command();
    lines.0.get_mut().write_all(b"what is this\r\n").unwrap();
    assert!(client.answer().starts_with("E 58000"));
    assert_eq!(client.ask(""), "I");
}

#[test]
fn the_query_of_a_client_that_disconnects_is_cancelled() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 7, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    drop(client);
    assert_eq!(lines.command(), ["cancel", &serve[1]]);
}

#[test]
fn sigterm_lets_open_requests_finish() {
    let database = Database::new();
    let mut proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    client.send(&query("lookup", 2, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    let answer = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(1_500));
        lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
        (client.answer(), rest(&client.socket))
    });
    assert!(proxy.stop().success());
    let (answer, rest) = answer.join().unwrap();
    assert_eq!(answer, "TDC");
    assert!(rest.contains("57P03"), "what comes behind the window is refused: {rest:?}");
}

/// Guards against ending on SIGHUP, waiting for the old coordinator's silence and applying an event twice.
#[test]
fn sighup_switches_to_the_new_coordinator_without_touching_attempts() {
    let (first, second) = (Database::new(), Database::new());
    let (old, new) = (Coordinator::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&first], Some(&old));
    let (mut stream, last) = old.accept();
    assert_eq!(last, 1);
    let mut client = proxy.client();
    // Of another class than those below: on a busy machine this one is answered late, and its class is taken to be slow.
    client.send(&query("load", 1, 15_000));
    let mut lines = first.accept();
    let serve = lines.command();
    // The new configuration holds event 1 again, by which the first database would be back.
    let gone = [first.member("s-0", "DRAINING"), second.member("s-9", "SERVING")];
    stream.write_all(event(2, &gone).as_bytes()).unwrap();
    reached(&proxy, &second);
    proxy.spoil_configuration();
    proxy.reconfigure(&[&first], &new);
    let (_stream, last) = new.accept();
    assert_eq!(last, 2);
    assert_eq!(std::io::Read::read(&mut stream, &mut [0]).unwrap(), 0, "the old stream is shut");
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(client.answer(), "TDC");
    reached(&proxy, &second);
}

/// Guards against applying half an event, and against a list that never comes after a stream that breaks.
#[test]
fn a_truncated_event_counts_only_once_it_is_complete() {
    let (first, second) = (Database::new(), Database::new());
    let coordinator = Coordinator::new();
    let proxy = Proxy::follow(&[&first], Some(&coordinator));
    let told = event(2, &[first.member("s-0", "DELETED"), second.member("s-9", "SERVING")]);
    let (mut stream, _) = coordinator.accept();
    stream.write_all(&told.as_bytes()[..told.len() - 1]).unwrap();
    drop(stream);
    coordinator.fail();
    let (mut stream, last) = coordinator.accept();
    assert_eq!(last, 1);
    stream.write_all(told.as_bytes()).unwrap();
    stream.write_all(told.as_bytes()).unwrap();
    reached(&proxy, &second);
}

/// Sends short queries until one reaches this database, as it does once the proxy has been told of it.
fn reached(proxy: &Proxy, database: &Database) {
    database.0.set_nonblocking(true).unwrap();
    let mut client = proxy.client();
    for id in 1_000.. {
        client.send(&query("lookup", id, 100));
        std::thread::sleep(std::time::Duration::from_millis(50));
        if database.0.accept().is_ok() {
            return;
        }
        assert!(id < 1_100, "the event is never applied");
        client.answer();
    }
}

/// Guards the descriptors against those who connect and say nothing, or half of something.
#[test]
fn an_unfinished_client_message_is_answered_with_an_error() {
    let proxy = Proxy::start(&[&Database::new()]);
    let silent = TcpStream::connect(proxy.address).unwrap();
    let mut half = proxy.client();
    let idle = &mut proxy.client();
    half.socket.write_all(b"Q\0\0\0\x20/* met").unwrap();
    assert!(rest(&silent).contains("57014"));
    assert!(rest(&half.socket).contains("57014"));
    assert_eq!(idle.ask(""), "I", "an idle session is left alone");
}

/// Guards the error: a connection closed with bytes unread is reset, and what was sent last is lost.
#[test]
fn an_oversized_message_is_answered_while_the_client_still_sends() {
    let proxy = Proxy::start(&[&Database::new()]);
    let mut client = proxy.client();
    client.socket.write_all(b"Q\x03\x93\x87\0").unwrap();
    for _ in 0..600 {
        client.socket.write_all(&[b'x'; 10_000]).expect("the proxy goes on reading");
    }
    assert!(rest(&client.socket).contains("54000"));
}

/// Guards the request that is open: the answer would go to whoever names its id.
#[test]
fn the_id_of_an_open_request_is_rejected_for_other_requests() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    first.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    assert!(second.ask(&query("load", 1, 15_000)).starts_with("E 42710"));
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(first.answer(), "TDC");
}

/// Guards usual clients against those who ask once and keep their connection for good.
#[test]
fn the_longest_idle_session_is_evicted_and_a_busy_one_is_not() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut busy = proxy.client();
    busy.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    // Two fifths of 256 descriptors are for sessions.
    let idle: Vec<Client> = (0..101).map(|_| proxy.client()).collect();
    assert_eq!(proxy.client().ask(""), "I");
    assert_eq!(rest(&idle[0].socket), "");
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(busy.answer(), "TDC");
}

/// Guards what is taken against SIGKILL, which comes long before some deadlines.
#[test]
fn sigterm_answers_requests_that_would_outlast_the_shutdown() {
    let database = Database::new();
    let mut proxy = Proxy::start(&[&database]);
    let (mut safe, mut load) = (proxy.client(), proxy.client());
    safe.send(&query("lookup", 1, 60_000));
    load.send(&query("load", 2, 60_000));
    let _open = [database.accept().command(), database.accept().command()];
    assert!(proxy.stop().success());
    assert!(safe.answer().starts_with("E 53000"));
    assert!(load.answer().starts_with("E 58000"));
}

/// Guards both clients: what belongs to no request is dropped, and the connection goes on.
#[test]
fn answers_with_an_unknown_id_and_duplicate_answers_are_ignored() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    lines.say("00000000deadbeef", "HIT", "total=1", "x\ty\tz\n");
    lines.say(&serve[1], "HIT", "total=2", "a\tb\tc\n");
    lines.say(&serve[1], "HIT", "total=2", "a\tb\tc\n");
    for _ in 0..2 {
        lines.say(&serve[1], "PART", "index=1", "d\te\tf\n");
    }
    assert_eq!(client.answer(), "TDDC");
    client.send(&query("lookup", 2, 15_000));
    assert_eq!(lines.command()[..2], ["read", &serve[1]]);
    assert_eq!(lines.command()[1], format!("{:016x}", 2));
}

/// Guards the client against noise, and the unsafe class against being told that it never ran.
#[test]
fn a_malformed_answer_fails_a_load_without_affecting_other_requests() {
    let spoilt = [
        ("HIT", "total=1", "a\tb\n"),
        ("HIT", "total=1", "a\tb\tc"),
        ("HIT", "total=x", "a\tb\tc\n"),
        ("SHED", "-", "-"),
    ];
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let (mut client, mut other) = (proxy.client(), proxy.client());
    other.send(&query("load", 99, 15_000));
    let mut well = database.accept();
    let serve = well.command();
    for (id, (word, fields, body)) in (1..).zip(spoilt) {
        client.send(&query("load", id, 15_000));
        let mut lines = database.accept();
        let id = lines.command()[1].clone();
        if word == "SHED" {
            lines.say(&id, "HIT", "total=2", "a\tb\tc\n");
        }
        lines.say(&id, word, fields, body);
        assert!(client.answer().starts_with("E 58000"), "{word} {fields} {body}");
    }
    well.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(other.answer(), "TDC");
}

/// Guards against a machine that has vanished: its connections stay open and say nothing.
#[test]
fn a_silent_connection_is_closed() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 60_000));
    let mut lines = database.accept();
    lines.command();
    assert_eq!(lines.command(), ["health", "check"]);
    assert!(client.answer().starts_with("E 58000"));
}

/// Guards against a length that is too long: whatever comes is taken for the answer's own bytes.
#[test]
fn an_answer_that_never_completes_ends_its_connection() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 60_000));
    let mut lines = database.accept();
    let serve = lines.command();
    let socket = lines.0.get_mut();
    write!(socket, "{} HIT total=1 5000\r\n", serve[1]).unwrap();
    while socket.write_all(b"x").is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(client.answer().starts_with("E 58000"));
}

/// Guards against meeting an old connection, and old news of health, at an address or id that is used again.
#[test]
fn a_database_that_returns_at_another_address_is_reached_on_new_connections() {
    let (first, second) = (Database::new(), Database::new());
    let coordinator = Coordinator::new();
    let proxy = Proxy::follow(&[&first], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut lines = first.accept();
    let serve = lines.command();
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(client.answer(), "TDC");
    stream.write_all(event(2, &[first.member("s-0", "DELETED")]).as_bytes()).unwrap();
    assert_eq!(rest(lines.0.get_ref()), "", "the old connection is closed");
    stream.write_all(event(3, &[second.member("s-0", "SERVING")]).as_bytes()).unwrap();
    reached(&proxy, &second);
}

/// Guards the one worker: a coroutine whose sleep runs out in may's own timers goes on in another thread beside it.
#[cfg(target_os = "linux")]
#[test]
fn coroutines_run_on_one_thread() {
    let proxy = Proxy::start(&[&Database::new()]);
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let busy = proxy.threads().iter().filter(|(name, waits)| name == "gaugestep" && *waits > 8).count();
    assert_eq!(busy, 1, "{:?}", proxy.threads());
}

/// Guards against a worker that stands still while the kernel makes room for descriptors.
#[cfg(target_os = "linux")]
#[test]
fn the_descriptor_table_has_its_full_size_from_the_start() {
    let room: usize = Proxy::roomy(900).status("FDSize:").parse().unwrap();
    assert!(room >= 900, "room for {room}");
}
