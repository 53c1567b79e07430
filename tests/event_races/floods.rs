//! Clients, engines and coordinators that send without end or keep connections open, and starts while
//! discovery fails.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::proxy::{
    Coordinator, Engine, Launch, Proxy, SetOnDrop, TIMEOUT, event, free_address, query, wait_within,
};
use crate::{
    assert_only_next_query_arrives, open_idle_connection, serve, with_coordinator, with_long_dial_timeout,
};

/// Hundreds of idle clients connect while discovery is down: descriptors stay within their bound, the last
/// client is served, and the proxy reaches discovery as soon as it is up.
#[test]
fn idle_clients_do_not_exhaust_the_descriptors_for_discovery_and_engines() {
    let engine = Engine::new();
    let coordinator_address = free_address();
    let edit_config = |text: String| with_coordinator(text, coordinator_address);
    let proxy = Launch { edit_config: &edit_config, ..Launch::new(&[]) }.start();
    let done = AtomicBool::new(false);
    let (idle, most) = std::thread::scope(|scope| {
        let observer = scope.spawn(|| {
            let mut most = 0;
            while !done.load(Ordering::SeqCst) {
                most = most.max(proxy.descriptors());
            }
            most
        });
        let end_of_observation = SetOnDrop(&done);
        let idle: Vec<TcpStream> = (0..800).filter_map(|_| TcpStream::connect(proxy.address).ok()).collect();
        // This client is accepted after all idle ones.
        assert_eq!(proxy.client().request(""), "I");
        drop(end_of_observation);
        (idle, observer.join().unwrap())
    });
    // 102 sessions and 8 that are being evicted; the other 30 cover a proxy without clients.
    assert!(most <= 102 + 8 + 30, "{most} descriptors");
    let coordinator = Coordinator(std::net::TcpListener::bind(coordinator_address).unwrap());
    let (mut stream, _) = coordinator.accept();
    stream.write_all(event(2, &[engine.list_entry("s-0", "SERVING")]).as_bytes()).unwrap();
    wait_within(TIMEOUT, "the engine is listed", || proxy.statistic("/discovered") == Some(1));
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let mut connection = engine.accept();
    assert_eq!(connection.command()[1], format!("{:016x}", 1));
    serve(&mut connection, 1);
    assert_eq!(client.read_response(), "TDC");
    drop(idle);
}

/// A client sends queries without reading any response: the proxy buffers little of it and serves other
/// clients.
#[test]
fn the_proxy_does_not_buffer_without_limit_for_a_client_that_sends_without_end() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut flood = proxy.client();
    flood.socket.set_write_timeout(Some(Duration::from_secs(2))).unwrap();
    let many_queries = b"Q\0\0\0\x05\0".repeat(10_000);
    // A write fails once the proxy stops reading and the socket buffers are full.
    let all_written = (0..500).all(|_| flood.socket.write_all(&many_queries).is_ok());
    let resident_kb: usize = proxy.status("VmRSS:").trim_end_matches(" kB").parse().unwrap();
    assert!(resident_kb < 25_000, "{resident_kb} KB resident; all of 30 MB was written: {all_written}");
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    assert_only_next_query_arrives(&proxy, &mut connection);
}

/// An engine that never stops sending and a coordinator event that never ends do not prevent the proxy from
/// serving other requests.
#[test]
fn endless_responses_and_an_endless_engine_list_do_not_affect_other_requests() {
    let (endless, healthy, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    // A dial may take long on a busy machine and must not fail this test.
    let coordinated = Some(&coordinator);
    let proxy =
        Launch { coordinator: coordinated, edit_config: &with_long_dial_timeout, ..Launch::new(&[&endless]) }
            .start();
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    client.send(&query("load", 1, 2_000));
    let mut connection = endless.accept();
    let id = connection.command()[1].clone();
    let entries = [healthy.list_entry("s-1", "SERVING"), endless.list_entry("s-0", "DRAINING")];
    stream.write_all(event(2, &entries).as_bytes()).unwrap();
    wait_within(TIMEOUT, "both engines are listed", || proxy.statistic("/discovered") == Some(2));
    let line = format!("{id} INFO detail=waits,datum=2 0\r\n\r\n").repeat(100);
    let mut socket = connection.0.get_ref().try_clone().unwrap();
    std::thread::spawn(move || while socket.write_all(line.as_bytes()).is_ok() {});
    let data = format!("data: {}\n", "x".repeat(1_000)).repeat(100);
    std::thread::spawn(move || while stream.write_all(data.as_bytes()).is_ok() {});
    // The proxy closes the stream as its event is too long, and opens it again.
    let (_stream, last_event) = coordinator.accept();
    assert_eq!(last_event, 2);
    let _connection = open_idle_connection(&proxy, &healthy, 3);
    assert!(client.read_response().starts_with("E 58000"), "the deadline of the load expires in time");
}

/// Ten proxies restart together while dials to discovery hang or are refused: each becomes ready without the
/// list of the coordinator.
#[test]
fn restarted_proxies_become_ready_though_discovery_hangs_or_refuses_connections() {
    let (engine, (hanging, _backlog)) = (Engine::new(), Engine::with_full_backlog());
    for coordinator_address in [hanging.0.local_addr().unwrap(), free_address()] {
        let edit_config = |text: String| with_coordinator(text, coordinator_address);
        let launch = || Launch { edit_config: &edit_config, ..Launch::new(&[&engine]) }.start();
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
