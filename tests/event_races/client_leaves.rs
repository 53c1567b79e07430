//! A client closes, cancels or disconnects at the moment at which its request is sent, retried or relaunched.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use crate::proxy::{
    Client, Coordinator, Engine, EngineConnection, Launch, Proxy, TIMEOUT, event, query, read_to_close,
    wait_within,
};
use crate::{assert_only_next_query_arrives, open_idle_connection, serve, with_long_dial_timeout};

/// Engines that respond to each request after the number of milliseconds in the name of its schema
/// (`sales_900`). The test's own thread runs them, so that it knows at every moment which requests they have
/// received.
struct TimedEngines {
    engines: [Engine; 2],
    connections: Vec<EngineConnection>,
    /// Index of the connection, request id and time of the response.
    running: Vec<(usize, String, Instant)>,
}

impl TimedEngines {
    /// Reads all commands that have arrived and returns the number of requests among them.
    fn receive(&mut self) -> usize {
        for engine in &self.engines {
            engine.0.set_nonblocking(true).unwrap();
            while let Ok((socket, _)) = engine.0.accept() {
                socket.set_nonblocking(false).unwrap();
                self.connections.push(EngineConnection(std::io::BufReader::new(socket)));
            }
        }
        let mut received = 0;
        for (index, connection) in self.connections.iter_mut().enumerate() {
            while !connection.is_silent() {
                let command = connection.command();
                match &*command[0] {
                    "serve" => {
                        let run_ms = command[4].split(['_', '.']).nth(1).unwrap().parse().unwrap();
                        self.running.push((
                            index,
                            command[1].clone(),
                            Instant::now() + Duration::from_millis(run_ms),
                        ));
                        received += 1;
                    }
                    "cancel" => self.running.retain(|(other, id, _)| *other != index || *id != command[1]),
                    "" => break,
                    _ => {}
                }
            }
        }
        received
    }

    /// Sends a query and the responses that are due, until the client has its response.
    fn serve(&mut self, client: &mut Client, text: &str) {
        std::thread::scope(|scope| {
            let request = scope.spawn(|| client.request(text));
            while !request.is_finished() {
                self.receive();
                let now = Instant::now();
                for (index, id, _) in self.running.iter().filter(|(.., due)| *due <= now) {
                    self.connections[*index].send(id, "HIT", "total=1,elapsed=20,rss=1", "a\tb\tc\n");
                }
                self.running.retain(|(.., due)| *due > now);
                std::thread::sleep(Duration::from_millis(1));
            }
            assert_eq!(request.join().unwrap(), "TDC");
        });
    }
}

#[test]
fn a_query_that_is_read_together_with_its_clients_close_is_not_sent() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    let mut other_client = proxy.client();
    for id in 2..6 {
        let mut client = proxy.client();
        proxy.suspend();
        client.send(&query("lookup", id, 15_000));
        client.close();
        proxy.resume();
    }
    assert_eq!(other_client.request(""), "I", "other sessions go on");
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}

/// Guards against attempts for a client whose close cannot arrive before the proxy has read what it sent ahead.
#[test]
fn a_query_is_not_sent_while_the_close_of_its_client_waits_behind_unread_input() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    for id in 2..6 {
        let mut client = proxy.client();
        proxy.suspend();
        client.send(&query("lookup", id, 15_000));
        client.socket.set_nonblocking(true).unwrap();
        while (&client.socket).write(&b"Q\0\0\0\x05\0".repeat(10_000)).is_ok() {}
        drop(client);
        proxy.resume();
        assert_eq!(proxy.attempts_once_idle(), 1, "the query of a client that has left is sent");
    }
    assert_only_next_query_arrives(&proxy, &mut connection);
}

/// Guards against commands that wait for an engine that does not read, and arrive after the client has left.
#[test]
fn a_command_that_its_engine_has_not_read_is_abandoned_when_its_client_leaves() {
    let engine = Engine::new();
    socket2::SockRef::from(&engine.0).set_recv_buffer_size(4096).unwrap();
    let few_descriptors = |text: String| text.replace(r#""sockets":256"#, r#""sockets":64"#);
    let proxy = Launch { edit_config: &few_descriptors, ..Launch::new(&[&engine]) }.start();
    let mut client = proxy.client();
    // Far more than the socket buffers between proxy and engine hold.
    let statement = "x".repeat(900_000);
    client.send(&format!("/* method=load,rid={:016x},budget=9000 */ SELECT '{statement}'", 1));
    let mut connection = engine.accept();
    wait_within(TIMEOUT, "the attempt is sent", || proxy.statistic("/forwards") == Some(1));
    client.close();
    wait_within(TIMEOUT, "the request ends", || proxy.statistic("/outstanding") == Some(0));
    let mut arrived = Vec::new();
    connection.0.read_to_end(&mut arrived).ok();
    assert!(arrived.len() < statement.len(), "the complete command arrived after the client had left");
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
fn a_cancel_that_arrives_in_the_middle_of_a_query_cancels_that_query() {
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
    // A cancel that finds no query in flight has no effect on later queries.
    assert_eq!(read_to_close(&client.cancel()), "");
    client.send(&query("lookup", 3, 15_000));
    assert_eq!(connection.command()[1], format!("{:016x}", 3));
    serve(&mut connection, 3);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(proxy.attempts_once_idle(), 2);
}

#[test]
fn a_queued_request_is_not_sent_after_its_client_disconnects_or_cancels() {
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
    wait_within(TIMEOUT, "both requests are queued", || proxy.statistic("/outstanding") == Some(2));
    // The engine becomes available again, over a connection that is open, before the proxy reads the close
    // and the cancel.
    proxy.suspend();
    publish_phase(3, "SERVING");
    closing.close();
    let _cancel = cancelling.cancel();
    proxy.resume();
    assert!(cancelling.read_response().starts_with("E 57014"));
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}

#[test]
fn a_request_that_waits_for_a_dial_is_not_sent_after_its_client_disconnects() {
    let (engine, backlog) = Engine::with_full_backlog();
    let proxy = Launch { edit_config: &with_long_dial_timeout, ..Launch::new(&[&engine]) }.start();
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    wait_within(TIMEOUT, "the request waits for the dial", || proxy.statistic("/outstanding") == Some(1));
    // The dial completes and the client disconnects while the proxy is suspended.
    proxy.suspend();
    client.close();
    drop((backlog, engine.accept()));
    let mut connection = engine.accept();
    proxy.resume();
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 1);
}

#[test]
fn a_failed_attempt_is_not_retried_after_its_client_disconnects() {
    let (first, second, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&second], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    // Connections to the second engine are open, and idle while it drains.
    let (mut one, mut other) = (proxy.client(), proxy.client());
    one.send(&query("lookup", 8, 15_000));
    let mut connection = second.accept();
    other.send(&query("lookup", 9, 15_000));
    let mut other_connection = second.accept();
    assert_eq!(
        [connection.command()[1].clone(), other_connection.command()[1].clone()],
        [8, 9].map(|id| format!("{id:016x}"))
    );
    serve(&mut connection, 8);
    serve(&mut other_connection, 9);
    assert_eq!([one.read_response(), other.read_response()], ["TDC", "TDC"]);
    let entries = [second.list_entry("s-0", "DRAINING"), first.list_entry("s-9", "SERVING")];
    stream.write_all(event(2, &entries).as_bytes()).unwrap();
    wait_within(TIMEOUT, "the first engine is listed", || proxy.statistic("/discovered") == Some(2));
    // The first attempt of each request fails: one with a SHED response, the other with its connection.
    let (mut shed_client, mut reset_client) = (proxy.client(), proxy.client());
    shed_client.send(&query("lookup", 1, 15_000));
    let mut shedding = first.accept();
    shedding.command();
    reset_client.send(&query("lookup", 2, 15_000));
    let mut breaking = first.accept();
    breaking.command();
    let third = Engine::new();
    let entries = [
        second.list_entry("s-0", "SERVING"),
        first.list_entry("s-9", "SERVING"),
        third.list_entry("s-x", "SERVING"),
    ];
    stream.write_all(event(3, &entries).as_bytes()).unwrap();
    wait_within(TIMEOUT, "the second engine and a third entry are listed", || {
        proxy.statistic("/discovered") == Some(3)
    });
    stream.write_all(event(4, &[third.list_entry("s-x", "DELETED")]).as_bytes()).unwrap();
    wait_within(TIMEOUT, "the third entry is deleted", || proxy.statistic("/discovered") == Some(2));
    proxy.suspend();
    shedding.send(&format!("{:016x}", 1), "SHED", "-", "");
    drop(breaking);
    shed_client.close();
    reset_client.close();
    proxy.resume();
    assert_eq!(proxy.attempts_once_idle(), 4);
    // Neither request is sent to the second engine.
    assert!(connection.is_silent() && other_connection.is_silent());
}

/// An attempt times out at the same moment at which its client disconnects.
#[test]
fn a_timed_out_attempt_is_not_relaunched_after_its_client_disconnects() {
    let engines = [Engine::new(), Engine::new()];
    let proxy = Proxy::start(&[&engines[0], &engines[1]]);
    let mut engines = TimedEngines { engines, connections: Vec::new(), running: Vec::new() };
    let mut last_id = 0x100;
    let mut text = |run_ms: u32| {
        last_id += 1;
        format!(
            "/* method=lookup,rid={last_id:016x},budget=15000,est=20 */ SELECT a FROM sales_{run_ms}.orders"
        )
    };
    // The class gets a timeout from many short runs and a few that take far longer.
    let mut client = proxy.client();
    for number in 0..60 {
        engines.serve(&mut client, &text(if number % 12 == 11 { 900 } else { 1 }));
    }
    // A fraction of all attempts runs without a timeout; at least one of these twenty has one.
    let timed_out = (0..20).any(|_| {
        let mut client = proxy.client();
        client.send(&text(4_000));
        wait_within(TIMEOUT, "the request arrives", || engines.receive() > 0);
        proxy.suspend();
        // A relaunch that was written before the suspension preceded the disconnect: such a round proves
        // nothing.
        let early_relaunches = engines.receive();
        client.close();
        std::thread::sleep(Duration::from_millis(400));
        proxy.resume();
        proxy.attempts_once_idle();
        assert_eq!(engines.receive(), 0, "an attempt started after its client disconnected");
        // A request whose client stays connected is relaunched, which shows that the class has a timeout.
        let before = proxy.statistic("/forwards").unwrap();
        engines.serve(&mut proxy.client(), &text(2_000));
        early_relaunches == 0 && proxy.statistic("/forwards") == Some(before + 2)
    });
    assert!(timed_out, "the class gets no timeout");
}

/// The proxy cannot distinguish a client that closes only its sending side from one that disconnects: it
/// cancels the query, and the final response is an error.
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

/// A client sends many queries before the first response and then disconnects, so that the proxy reads the
/// close late: it cancels the query that runs, and none of the queries behind it starts.
#[test]
fn no_attempt_starts_for_pipelined_queries_of_a_client_that_disconnects() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, command) = client.send_to(&engine, &query("lookup", 1, 15_000));
    let mut other_client = proxy.client();
    for id in 0x100..0x800 {
        // The proxy may reset the connection in the middle, as the client sends too much.
        if client.try_send(&query("lookup", id, 15_000)).is_err() {
            break;
        }
    }
    assert_eq!(connection.command(), ["cancel", &command[1]]);
    drop(client);
    assert_eq!(other_client.request(""), "I");
    assert_only_next_query_arrives(&proxy, &mut connection);
    assert_eq!(proxy.attempts_once_idle(), 2);
}
