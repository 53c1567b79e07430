//! Which versions a proxy accepts, and how they take effect beside requests in flight.

use std::io::Write as _;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::control::{
    ControlServer, RespondingEngine, ScriptedControlServer, encode_frame, offer, offer_message, wait_until,
    write_operator_file,
};
use crate::proxy::{Coordinator, Launch, event, query};
use crate::{ask, in_force, state};

/// Routes apply to the requests that they name, and a version that sends lookups to a draining engine is rejected as one.
#[test]
fn a_route_takes_effect_and_one_to_a_draining_engine_is_rejected_without_partial_effect() {
    let (control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (RespondingEngine::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&a.listener, &b.listener];
    let operator = Some(control.write_operator_file(&state(&kept)));
    let launch = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&engines) };
    let proxy = launch.start();
    let (mut list, _) = coordinator.accept();
    let to_b = r#"routes { name: "lookups" classes: "lookup" targets { engine: "s-1" } }"#;
    let first = control.publish(to_b, &[]);
    wait_until("the version is in force", || in_force(&proxy) == first);
    for id in 0..6 {
        assert_eq!(ask(&proxy, "lookup", id), "TDC");
    }
    assert_eq!((a.served(), b.served()), (0, 6));

    list.write_all(event(2, &[b.listener.list_entry("s-1", "DRAINING")]).as_bytes()).unwrap();
    wait_until("the route is told to be weak", || {
        proxy.statistics().pointer("/configuration/weak_routes/0").is_some_and(|it| it == "lookups")
    });
    let second = control.publish(&format!("{to_b} limits {{ max_open: 7 }}"), &[]);
    wait_until("the version is refused", || control.proxy_status("n0")["refused"] == second);
    let refusal = control.proxy_status("n0")["refusal"].clone();
    assert_eq!(refusal["code"], "no-usable-engine");
    assert_eq!(refusal["path"], "routes[0].targets");
    assert!(refusal["reason"].as_str().unwrap().contains("draining: s-1"), "{refusal}");
    // Halted, and the one before brought back: never half of either.
    wait_until("the version before is back", || in_force(&proxy) == second + 1 || in_force(&proxy) == first);
    let open_to_all = control.publish(&to_b.replace("} }", "} otherwise: ANY }"), &[]);
    wait_until("the third is in force", || in_force(&proxy) == open_to_all);
    assert_eq!(ask(&proxy, "lookup", 100), "TDC");
    assert_eq!((a.served(), b.served()), (1, 6), "the draining node got nothing more");
}

/// The drain notice and the version at one moment, over and over: whichever comes first, no lookup goes to the node
/// once it has drained for 250 ms.
#[test]
fn an_engine_that_drains_between_validation_and_apply_receives_no_request() {
    let (service, kept) = (ScriptedControlServer::new(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (RespondingEngine::new(), RespondingEngine::new(), Coordinator::new());
    let engines = [&a.listener, &b.listener];
    let operator = Some(write_operator_file(kept.path(), service.0.local_addr().unwrap(), &state(&kept), ""));
    let proxy = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&engines) }.start();
    let (mut stream, (mut list, _)) = (service.accept(), coordinator.accept());
    let (mut refused, mut taken) = (0, 0);
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
        let (nonce, refusal) = stream.next_acknowledgement();
        assert_eq!(nonce, number);
        match refusal.as_deref() {
            None => taken += 1,
            Some("no-usable-engine") => refused += 1,
            other => panic!("{other:?}"),
        }
        assert_eq!(in_force(&proxy) == number, refusal.is_none());
        std::thread::sleep(Duration::from_millis(250));
        if phase == "DRAINING" {
            let before = b.served();
            proxy.client().request(&query("lookup", 1_000 + round, 100));
            assert_eq!(b.served(), before, "sent to a draining node in round {round}");
        }
        // Room for the next one: no route at all.
        stream.send(&offer_message(offer(number + 1, number + 1, "")));
        assert_eq!(stream.next_acknowledgement(), (number + 1, None));
    }
    assert!(refused > 0 && taken > 0, "{refused} refused, {taken} taken");
}

/// What is cut off, changed on its way, of another number or no message at all never comes into force.
#[test]
fn invalid_versions_are_rejected_and_malformed_streams_closed() {
    let (service, kept) = (ScriptedControlServer::new(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(write_operator_file(kept.path(), service.0.local_addr().unwrap(), &state(&kept), ""));
    let proxy = Launch { operator, ..Launch::new(&engines) }.start();
    let mut stream = service.accept();
    assert_eq!(stream.hello.proxy, "n0");
    let mut nonce = 0;
    let mut offer_changed =
        |stream: &mut crate::control::ControlStream,
         change: &dyn Fn(&mut gaugestep_config::schema::Offer)| {
            nonce += 1;
            let mut offer = offer(5, nonce, "limits { max_open: 50 }");
            change(&mut offer);
            stream.send(&offer_message(offer));
            let (answered, refusal) = stream.next_acknowledgement();
            assert_eq!(answered, nonce, "one answer to each offer");
            refusal
        };
    assert_eq!(offer_changed(&mut stream, &|it| it.content = None).as_deref(), Some("missing"));
    assert_eq!(
        offer_changed(&mut stream, &|it| it.version.as_mut().unwrap().digest[0] ^= 1).as_deref(),
        Some("digest-differs")
    );
    assert_eq!(in_force(&proxy), 0);
    assert_eq!(offer_changed(&mut stream, &|_| {}), None);
    assert_eq!(offer_changed(&mut stream, &|_| {}), None, "offered again, acknowledged again");
    let lower = offer_changed(&mut stream, &|it| it.version.as_mut().unwrap().number = 4);
    assert_eq!(lower.as_deref(), Some("not-newer"));
    let other = gaugestep_config::text::parse("limits { max_open: 51 }").unwrap();
    let conflicting =
        offer_changed(&mut stream, &|it| it.version = Some(gaugestep_config::version(5, &other)));
    assert_eq!(conflicting.as_deref(), Some("conflicting"));

    // The stream breaks in the middle of a version; a length that claims 4 GB; noise.
    let whole = encode_frame(&offer_message(offer(6, 99, "limits { max_open: 60 }")));
    let cuts = [1, 4, 5, whole.len() / 2, whole.len() - 1].map(|cut| &whole[..cut]);
    let noise: [&[u8]; 2] = [&[0xff; 8], &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]];
    for bytes in cuts.into_iter().chain(noise) {
        stream.socket.write_all(bytes).unwrap();
        if cuts.contains(&bytes) {
            stream.socket.shutdown(std::net::Shutdown::Both).unwrap();
        }
        stream = service.accept();
        let version = stream.hello.in_force.as_ref().map_or(0, |version| version.number);
        assert_eq!(version, 5, "the last good one stays");
        assert_eq!(ask(&proxy, "lookup", bytes.len() as u64), "TDC", "and clients are served");
    }
    stream.socket.write_all(&whole).unwrap();
    assert_eq!(stream.next_acknowledgement(), (99, None));
}

/// A load that runs under a class which the new version drops ends as it would have, once, and only then may the class
/// go.
#[test]
fn a_class_is_not_removed_while_a_load_of_it_is_in_flight() {
    let (control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state(&kept)));
    let proxy = Launch { operator, ..Launch::new(&engines) }.start();
    wait_until("the proxy follows", || control.proxy_status("n0")["connected"] == true);
    engine.paused.store(true, Ordering::SeqCst);
    let mut client = proxy.client();
    client.send(&query("load", 1, 3_900));
    wait_until("the load runs", || engine.received.load(Ordering::SeqCst) == 1);
    let drops = r#"classes: "lookup""#;
    let first = control.publish(drops, &[]);
    wait_until("the version is refused", || control.proxy_status("n0")["refused"] == first);
    assert_eq!(control.proxy_status("n0")["refusal"]["code"], "class-in-use");
    engine.paused.store(false, Ordering::SeqCst);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(engine.served(), 1, "the load ran once");
    let second = control.publish(drops, &[]);
    wait_until("the class is dropped", || in_force(&proxy) == second);
    assert!(client.request(&query("load", 2, 1_000)).starts_with("E 22023"));
    assert_eq!(client.request(&query("lookup", 3, 1_000)), "TDC");
    control.publish("", &[]);
    wait_until("the class is back", || client.request(&query("load", 4, 1_000)) == "TDC");
}

#[test]
fn a_sighup_and_a_concurrent_version_both_take_effect() {
    let (control, kept) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state(&kept)));
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
        assert_eq!(ask(&proxy, "lookup", 10 + round), "TDC");
        assert_eq!(ask(&proxy, "load", 20 + round), "TDC");
    }
    // The platform's file wins over a version that was checked against an older one.
    proxy.reload_with(r#""max_open": 1000"#, r#""max_open": 1001"#, "/sighup_applied");
    assert_eq!(in_force(&proxy), 4);
}
