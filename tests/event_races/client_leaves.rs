//! A client closes, cancels or disconnects while its request takes its next step.

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use crate::proxy::{
    Client, Coordinator, Engine, EngineConnection, Launch, Proxy, TIMEOUT, event, query, read_to_close,
    wait_within,
};
use crate::{assert_only_next_query_arrives, open_idle_connection, serve, with_long_dial_timeout};

/// Engines that answer each request after the milliseconds that its schema names, all by the thread of the test: what they
/// have taken is known at every moment.
struct Engines {
    engines: [Engine; 2],
    connections: Vec<EngineConnection>,
    /// Connection, id, and when it is answered.
    running: Vec<(usize, String, Instant)>,
}

impl Engines {
    /// Takes all that has come by now; how many requests.
    fn take(&mut self) -> usize {
        for engine in &self.engines {
            engine.0.set_nonblocking(true).unwrap();
            while let Ok((socket, _)) = engine.0.accept() {
                socket.set_nonblocking(false).unwrap();
                self.connections.push(EngineConnection(std::io::BufReader::new(socket)));
            }
        }
        let mut taken = 0;
        for (at, connection) in self.connections.iter_mut().enumerate() {
            while !connection.is_silent() {
                let command = connection.command();
                match &*command[0] {
                    "serve" => {
                        let cost = command[4].split(['_', '.']).nth(1).unwrap().parse().unwrap();
                        self.running.push((
                            at,
                            command[1].clone(),
                            Instant::now() + Duration::from_millis(cost),
                        ));
                        taken += 1;
                    }
                    "cancel" => self.running.retain(|(place, id, _)| *place != at || *id != command[1]),
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
            let asks = scope.spawn(|| client.request(text));
            while !asks.is_finished() {
                self.take();
                let now = Instant::now();
                for (at, id, _) in self.running.iter().filter(|it| it.2 <= now) {
                    self.connections[*at].send(id, "HIT", "total=1,elapsed=20,rss=1", "a\tb\tc\n");
                }
                self.running.retain(|it| it.2 > now);
                std::thread::sleep(Duration::from_millis(1));
            }
            assert_eq!(asks.join().unwrap(), "TDC");
        });
    }
}

#[test]
fn a_query_that_is_read_together_with_its_clients_close_is_not_sent() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    let mut others = proxy.client();
    for id in 2..6 {
        let mut client = proxy.client();
        proxy.suspend();
        client.send(&query("lookup", id, 15_000));
        drop(client);
        proxy.resume();
    }
    assert_eq!(others.request(""), "I", "other sessions go on");
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}

#[test]
fn a_query_that_is_read_together_with_its_cancel_is_not_sent() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    let mut clients: Vec<Client> = (0..4).map(|_| proxy.client()).collect();
    for (id, client) in (2..).zip(&mut clients) {
        proxy.suspend();
        client.send(&query("lookup", id, 15_000));
        let cancel = client.cancel();
        proxy.resume();
        assert!(client.read_response().starts_with("E 57014"));
        assert_eq!(read_to_close(&cancel), "");
        assert_eq!(client.request(""), "I", "the session goes on");
    }
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}

#[test]
fn a_cancel_that_arrives_amid_its_query_cancels_all_of_it() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    let mut client = proxy.client();
    let text = query("lookup", 2, 15_000);
    let length = (text.len() as u32 + 5).to_be_bytes();
    let message = [&b"Q"[..], &length, text.as_bytes(), b"\0"].concat();
    proxy.suspend();
    client.socket.write_all(&message[..40]).unwrap();
    proxy.resume();
    assert_eq!(read_to_close(&client.cancel()), "", "the cancel has been read");
    client.socket.write_all(&message[40..]).unwrap();
    assert!(client.read_response().starts_with("E 57014"));
    // A cancel that finds nothing holds for nothing that comes later.
    assert_eq!(read_to_close(&client.cancel()), "");
    client.send(&query("lookup", 3, 15_000));
    assert_eq!(connection.command()[1], format!("{:016x}", 3));
    serve(&mut connection, 3);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(proxy.attempts_once_idle(), 2);
}

#[test]
fn a_request_that_waits_for_an_engine_is_not_sent_once_its_client_has_left() {
    let (engine, coordinator) = (Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&engine], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut connection = open_idle_connection(&proxy, &engine, 9);
    let mut publish_phase = |index: u64, phase: &str| {
        stream.write_all(event(index, &[engine.list_entry("s-0", phase)]).as_bytes()).unwrap();
    };
    publish_phase(2, "DRAINING");
    let (mut closing, mut cancelling) = (proxy.client(), proxy.client());
    closing.send(&query("lookup", 1, 15_000));
    cancelling.send(&query("load", 2, 15_000));
    wait_within(TIMEOUT, "they wait", || proxy.statistic("/outstanding") == Some(2));
    // The engine takes work again, over a connection that is open, before it is seen that they have left.
    proxy.suspend();
    publish_phase(3, "SERVING");
    drop(closing);
    let _cancel = cancelling.cancel();
    proxy.resume();
    assert!(cancelling.read_response().starts_with("E 57014"));
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}

#[test]
fn a_request_that_waits_for_a_dial_is_not_sent_once_its_client_has_left() {
    let (engine, first) = Engine::with_full_backlog();
    let proxy = Launch { edit_config: &with_long_dial_timeout, ..Launch::new(&[&engine]) }.start();
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    wait_within(TIMEOUT, "it waits", || proxy.statistic("/outstanding") == Some(1));
    // The dial completes while the proxy is suspended, and its client leaves.
    proxy.suspend();
    drop(client);
    drop((first, engine.accept()));
    let mut connection = engine.accept();
    proxy.resume();
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 1);
}

#[test]
fn no_retry_follows_once_the_client_has_left() {
    let (first, second, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&second], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    // Connections to the second are open, and rest while it drains.
    let (mut one, mut other) = (proxy.client(), proxy.client());
    one.send(&query("lookup", 8, 15_000));
    let mut connection = second.accept();
    other.send(&query("lookup", 9, 15_000));
    let mut more = second.accept();
    assert_eq!(
        [connection.command()[1].clone(), more.command()[1].clone()],
        [8, 9].map(|id| format!("{id:016x}"))
    );
    serve(&mut connection, 8);
    serve(&mut more, 9);
    assert_eq!([one.read_response(), other.read_response()], ["TDC", "TDC"]);
    let entries = [second.list_entry("s-0", "DRAINING"), first.list_entry("s-9", "SERVING")];
    stream.write_all(event(2, &entries).as_bytes()).unwrap();
    wait_within(TIMEOUT, "the first is listed", || proxy.statistic("/discovered") == Some(2));
    // The first attempt fails: rejected by a full engine, or with its connection.
    let (mut full, mut broken) = (proxy.client(), proxy.client());
    full.send(&query("lookup", 1, 15_000));
    let mut sheds = first.accept();
    sheds.command();
    broken.send(&query("lookup", 2, 15_000));
    let mut breaks = first.accept();
    breaks.command();
    let entries = [
        second.list_entry("s-0", "SERVING"),
        first.list_entry("s-9", "SERVING"),
        first.list_entry("s-x", "SERVING"),
    ];
    stream.write_all(event(3, &entries).as_bytes()).unwrap();
    wait_within(TIMEOUT, "the second is back", || proxy.statistic("/discovered") == Some(3));
    stream.write_all(event(4, &[first.list_entry("s-x", "DELETED")]).as_bytes()).unwrap();
    wait_within(TIMEOUT, "and the third is gone", || proxy.statistic("/discovered") == Some(2));
    proxy.suspend();
    sheds.send(&format!("{:016x}", 1), "SHED", "-", "");
    drop(breaks);
    drop((full, broken));
    proxy.resume();
    assert_eq!(proxy.attempts_once_idle(), 4);
    // Neither is sent to the second.
    assert!(connection.is_silent() && more.is_silent());
}

/// An attempt times out at the moment in which its client leaves: it is not relaunched.
#[test]
fn an_attempt_that_times_out_is_not_relaunched_once_its_client_has_left() {
    let engines = [Engine::new(), Engine::new()];
    let proxy = Proxy::start(&[&engines[0], &engines[1]]);
    let mut engines = Engines { engines, connections: Vec::new(), running: Vec::new() };
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
        wait_within(TIMEOUT, "it arrives", || engines.take() > 0);
        proxy.suspend();
        // What was written before the stop is there to be read: a relaunch among it tells nothing.
        let early = engines.take();
        drop(client);
        std::thread::sleep(Duration::from_millis(400));
        proxy.resume();
        proxy.attempts_once_idle();
        assert_eq!(engines.take(), 0, "an attempt began behind its client's back");
        // Had its client stayed, it would have been sent again.
        let before = proxy.statistic("/forwards").unwrap();
        engines.serve(&mut proxy.client(), &text(2_000));
        early == 0 && proxy.statistic("/forwards") == Some(before + 2)
    });
    assert!(cut, "the class learns no timeout");
}

/// A client that closes its side only is taken to have left, as nobody can distinguish the two: its one answer is an error.
#[test]
fn a_client_that_half_closes_its_connection_receives_an_error() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, command) = client.send_to(&engine, &query("lookup", 1, 15_000));
    client.socket.shutdown(Shutdown::Write).unwrap();
    assert_eq!(connection.command(), ["cancel", &command[1]]);
    assert!(read_to_close(&client.socket).contains("57014"));
}

/// Many queries are sent before the answer, so that the close after them is not read for long: the query that runs is
/// cancelled, and none of the others starts.
#[test]
fn no_attempt_starts_for_pipelined_queries_of_a_client_that_disconnects() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, command) = client.send_to(&engine, &query("lookup", 1, 15_000));
    let mut others = proxy.client();
    for id in 0x100..0x800 {
        // It may be reset in the middle, as it is sending too much.
        if client.try_send(&query("lookup", id, 15_000)).is_err() {
            break;
        }
    }
    assert_eq!(connection.command(), ["cancel", &command[1]]);
    drop(client);
    assert_eq!(others.request(""), "I");
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}
