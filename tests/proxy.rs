//! Tests of the real program, started as a process.

#[path = "common/proxy.rs"]
mod proxy;

use std::io::Write as _;

use proxy::{Client, Coordinator, Database, Proxy, event, query};

#[test]
fn a_result_of_two_pages_is_served_whole_and_the_statement_goes_on_unchanged() {
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
fn a_silent_database_leaves_one_answer_at_the_deadline() {
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
fn a_load_is_not_sent_again_after_a_reset_but_is_when_turned_away() {
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
    garbage.0.write_all(b"Q\x7f\xff\xff\xff").unwrap();
    let mut rest = String::new();
    std::io::Read::read_to_string(&mut garbage.0, &mut rest).unwrap();
    assert!(rest.contains("54000"), "{rest:?}");
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
fn a_client_that_leaves_has_its_query_called_off() {
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
fn sigterm_lets_what_is_open_finish() {
    let database = Database::new();
    let mut proxy = Proxy::start(&[&database]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    let answer = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(1_500));
        lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
        client.answer()
    });
    assert!(proxy.stop().success());
    assert_eq!(answer.join().unwrap(), "TDC");
}

/// Guards against ending on SIGHUP, waiting for the old coordinator's silence and applying an event twice.
#[test]
fn sighup_moves_to_the_new_coordinator_and_leaves_attempts_alone() {
    let (first, second) = (Database::new(), Database::new());
    let (old, new) = (Coordinator::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&first], Some(&old));
    let (mut stream, last) = old.accept();
    assert_eq!(last, 1);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
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
fn an_event_cut_off_counts_only_once_it_has_come_whole() {
    let (first, second) = (Database::new(), Database::new());
    let coordinator = Coordinator::new();
    let proxy = Proxy::follow(&[&first], Some(&coordinator));
    let told = event(2, &[first.member("s-0", "DELETED"), second.member("s-9", "SERVING")]);
    let (mut stream, _) = coordinator.accept();
    stream.write_all(&told.as_bytes()[..told.len() - 1]).unwrap();
    drop(stream);
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
