//! Which versions a proxy accepts, and how they take effect while requests are in flight.

use std::io::Write as _;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::control::{
    ControlServer, RespondingEngine, ScriptedControlServer, encode_frame, offer, offer_message, wait_until,
    write_operator_file,
};
use crate::proxy::{Coordinator, Launch, event, query};
use crate::{in_force, run_query, state_folder};

/// A route applies to the requests that it names. A version with a route to a draining engine is rejected
/// completely, also its other settings.
#[test]
fn a_route_takes_effect_and_one_to_a_draining_engine_is_rejected_without_partial_effect() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (RespondingEngine::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&a.listener, &b.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let launch = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&engines) };
    let proxy = launch.start();
    let (mut list, _) = coordinator.accept();
    let to_b = r#"routes { name: "lookups" classes: "lookup" targets { engine: "s-1" } }"#;
    let first = control.publish(to_b, &[]);
    wait_until("the version is in force", || in_force(&proxy) == first);
    for id in 0..6 {
        assert_eq!(run_query(&proxy, "lookup", id), "TDC");
    }
    assert_eq!((a.served(), b.served()), (0, 6));

    list.write_all(event(2, &[b.listener.list_entry("s-1", "DRAINING")]).as_bytes()).unwrap();
    wait_until("the statistics name the weak route", || {
        proxy.statistics().pointer("/configuration/weak_routes/0").is_some_and(|route| route == "lookups")
    });
    let second = control.publish(&format!("{to_b} limits {{ max_open: 7 }}"), &[]);
    wait_until("the version is rejected", || control.proxy_status("n0")["refused"] == second);
    let rejection = control.proxy_status("n0")["refusal"].clone();
    assert_eq!(rejection["code"], "no-usable-engine");
    assert_eq!(rejection["path"], "routes[0].targets");
    assert!(rejection["reason"].as_str().unwrap().contains("draining: s-1"), "{rejection}");
    // The rollout is halted and rolled back, and no part of the rejected version is in force.
    wait_until("the version before is in force", || {
        in_force(&proxy) == second + 1 || in_force(&proxy) == first
    });
    let open_to_all = control.publish(&to_b.replace("} }", "} otherwise: ANY }"), &[]);
    wait_until("the third version is in force", || in_force(&proxy) == open_to_all);
    assert_eq!(run_query(&proxy, "lookup", 100), "TDC");
    assert_eq!((a.served(), b.served()), (1, 6), "the draining engine receives no further request");
}

/// The notice of a drain and a version with a route to the same engine arrive together, in either order and
/// in many rounds: no lookup reaches the engine once it has drained for 250 ms.
#[test]
fn an_engine_that_drains_between_validation_and_apply_receives_no_request() {
    let (server, folder) = (ScriptedControlServer::new(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (RespondingEngine::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&a.listener, &b.listener];
    let operator =
        Some(write_operator_file(folder.path(), server.0.local_addr().unwrap(), &state_folder(&folder), ""));
    let proxy = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&engines) }.start();
    let (mut stream, (mut list, _)) = (server.accept(), coordinator.accept());
    let (mut rejected, mut accepted) = (0, 0);
    for round in 0..12u64 {
        let (number, phase) = (2 * round + 1, if round % 2 == 0 { "DRAINING" } else { "SERVING" });
        let notice = event(2 + round, &[b.listener.list_entry("s-1", phase)]);
        let document = r#"routes { name: "r" classes: "lookup" targets { engine: "s-1" } }"#;
        let bytes = encode_frame(&offer_message(offer(number, number, document)));
        if round % 4 < 2 {
            list.write_all(notice.as_bytes()).unwrap();
            stream.socket.write_all(&bytes).unwrap();
        } else {
            stream.socket.write_all(&bytes).unwrap();
            list.write_all(notice.as_bytes()).unwrap();
        }
        let (nonce, rejection) = stream.next_acknowledgement();
        assert_eq!(nonce, number);
        match rejection.as_deref() {
            None => accepted += 1,
            Some("no-usable-engine") => rejected += 1,
            other => panic!("{other:?}"),
        }
        assert_eq!(in_force(&proxy) == number, rejection.is_none());
        std::thread::sleep(Duration::from_millis(250));
        if phase == "DRAINING" {
            let before = b.served();
            proxy.client().request(&query("lookup", 1_000 + round, 100));
            assert_eq!(b.served(), before, "sent to a draining engine in round {round}");
        }
        // A version without routes prepares the next round.
        stream.send(&offer_message(offer(number + 1, number + 1, "")));
        assert_eq!(stream.next_acknowledgement(), (number + 1, None));
    }
    assert!(rejected > 0 && accepted > 0, "{rejected} rejected, {accepted} accepted");
}

/// Versions that are truncated, altered, numbered wrongly or that cannot be decoded never come into force.
#[test]
fn invalid_versions_are_rejected_and_malformed_streams_closed() {
    let (server, folder) = (ScriptedControlServer::new(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator =
        Some(write_operator_file(folder.path(), server.0.local_addr().unwrap(), &state_folder(&folder), ""));
    let proxy = Launch { operator, ..Launch::new(&engines) }.start();
    let mut stream = server.accept();
    assert_eq!(stream.hello.proxy, "n0");
    let mut nonce = 0;
    let mut offer_altered =
        |stream: &mut crate::control::ControlStream, alter: &dyn Fn(&mut gaugestep_config::schema::Offer)| {
            nonce += 1;
            let mut offer = offer(5, nonce, "limits { max_open: 50 }");
            alter(&mut offer);
            stream.send(&offer_message(offer));
            let (acknowledged, rejection) = stream.next_acknowledgement();
            assert_eq!(acknowledged, nonce, "one response to each offer");
            rejection
        };
    assert_eq!(offer_altered(&mut stream, &|offer| offer.content = None).as_deref(), Some("missing"));
    assert_eq!(
        offer_altered(&mut stream, &|offer| offer.version.as_mut().unwrap().digest[0] ^= 1).as_deref(),
        Some("digest-differs")
    );
    assert_eq!(in_force(&proxy), 0);
    assert_eq!(offer_altered(&mut stream, &|_| {}), None);
    assert_eq!(offer_altered(&mut stream, &|_| {}), None, "offered again, acknowledged again");
    let lower = offer_altered(&mut stream, &|offer| offer.version.as_mut().unwrap().number = 4);
    assert_eq!(lower.as_deref(), Some("not-newer"));
    let other = gaugestep_config::text::parse("limits { max_open: 51 }").unwrap();
    let conflicting =
        offer_altered(&mut stream, &|offer| offer.version = Some(gaugestep_config::version(5, &other)));
    assert_eq!(conflicting.as_deref(), Some("conflicting"));

    // The stream breaks in the middle of a version, announces a message of 4 GB, or carries an undecodable
    // message.
    let complete = encode_frame(&offer_message(offer(6, 99, "limits { max_open: 60 }")));
    let truncated = [1, 4, 5, complete.len() / 2, complete.len() - 1].map(|length| &complete[..length]);
    let malformed: [&[u8]; 2] = [&[0xff; 8], &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]];
    for bytes in truncated.into_iter().chain(malformed) {
        stream.socket.write_all(bytes).unwrap();
        if truncated.contains(&bytes) {
            stream.socket.shutdown(std::net::Shutdown::Both).unwrap();
        }
        stream = server.accept();
        let version = stream.hello.in_force.as_ref().map_or(0, |version| version.number);
        assert_eq!(version, 5, "the last good version stays in force");
        assert_eq!(run_query(&proxy, "lookup", bytes.len() as u64), "TDC", "clients are served");
    }
    stream.socket.write_all(&complete).unwrap();
    assert_eq!(stream.next_acknowledgement(), (99, None));
}

/// A version that removes the class of a load in flight is rejected. The load completes and runs once, and
/// afterwards the class can be removed.
#[test]
fn a_class_is_not_removed_while_a_load_of_it_is_in_flight() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let proxy = Launch { operator, ..Launch::new(&engines) }.start();
    wait_until("the proxy follows", || control.proxy_status("n0")["connected"] == true);
    engine.paused.store(true, Ordering::SeqCst);
    let mut client = proxy.client();
    client.send(&query("load", 1, 3_900));
    wait_until("the load runs", || engine.received.load(Ordering::SeqCst) == 1);
    let without_load = r#"classes: "lookup""#;
    let first = control.publish(without_load, &[]);
    wait_until("the version is rejected", || control.proxy_status("n0")["refused"] == first);
    assert_eq!(control.proxy_status("n0")["refusal"]["code"], "class-in-use");
    engine.paused.store(false, Ordering::SeqCst);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(engine.served(), 1, "the load ran once");
    let second = control.publish(without_load, &[]);
    wait_until("the class is removed", || in_force(&proxy) == second);
    assert!(client.request(&query("load", 2, 1_000)).starts_with("E 22023"));
    assert_eq!(client.request(&query("lookup", 3, 1_000)), "TDC");
    control.publish("", &[]);
    wait_until("the class exists again", || client.request(&query("load", 4, 1_000)) == "TDC");
}

#[test]
fn a_sighup_and_a_concurrent_version_both_take_effect() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let proxy = Launch { operator, ..Launch::new(&engines) }.start();
    wait_until("the proxy follows", || control.proxy_status("n0")["connected"] == true);
    for round in 0..4u64 {
        let document = format!("limits {{ max_open: {} }} retries {{ ratio: 0.1 }}", 30 + round);
        let number = std::thread::scope(|scope| {
            let publishing = scope.spawn(|| control.publish(&document, &[]));
            proxy.reload_with(
                r#""aim_ms": 500"#,
                &format!(r#""aim_ms": {}"#, 600 + round),
                "/sighup_applied",
            );
            publishing.join().unwrap()
        });
        wait_until("the version is in force", || in_force(&proxy) == number);
        assert_eq!(run_query(&proxy, "lookup", 10 + round), "TDC");
        assert_eq!(run_query(&proxy, "load", 20 + round), "TDC");
    }
    // The reloaded file takes precedence over a version that was validated against an older file.
    proxy.reload_with(r#""max_open": 1000"#, r#""max_open": 1001"#, "/sighup_applied");
    assert_eq!(in_force(&proxy), 4);
}
