//! Versioned configuration with the real programs: proxies, a control service or a scripted one, operators' commands.

#[path = "common/control.rs"]
mod control;
#[path = "common/proxy.rs"]
mod proxy;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use control::{Control, Engine, StandIn, framed, offer, offering, operator, until};
use proxy::{Coordinator, Launch, PATIENCE, Proxy, event, query};

/// A folder for a proxy's last good version.
fn state(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("n0")
}

fn in_force(proxy: &Proxy) -> u64 {
    proxy.figure("/configuration/version").unwrap()
}

fn ask(proxy: &Proxy, class: &str, id: u64) -> String {
    proxy.client().ask(&query(class, id, 3_000))
}

/// Routes hold for the requests that they name, and a version that sends lookups to a draining node is refused whole.
#[test]
fn a_route_takes_effect_and_one_to_a_draining_engine_is_rejected_without_partial_effect() {
    let (control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    let databases = [&a.database, &b.database];
    let operator = Some(control.operator(&state(&kept)));
    let launch = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&databases) };
    let proxy = launch.start();
    let (mut list, _) = coordinator.accept();
    let to_b = r#"routes { name: "lookups" classes: "lookup" targets { engine: "s-1" } }"#;
    let first = control.publish(to_b, &[]);
    until("the version is in force", || in_force(&proxy) == first);
    for id in 0..6 {
        assert_eq!(ask(&proxy, "lookup", id), "TDC");
    }
    assert_eq!((a.served(), b.served()), (0, 6));

    list.write_all(event(2, &[b.database.member("s-1", "DRAINING")]).as_bytes()).unwrap();
    until("the route is told to be weak", || {
        proxy.figures().pointer("/configuration/weak_routes/0").is_some_and(|it| it == "lookups")
    });
    let second = control.publish(&format!("{to_b} limits {{ max_open: 7 }}"), &[]);
    until("the version is refused", || control.proxy("n0")["refused"] == second);
    let refusal = control.proxy("n0")["refusal"].clone();
    assert_eq!(refusal["code"], "no-usable-engine");
    assert_eq!(refusal["path"], "routes[0].targets");
    assert!(refusal["reason"].as_str().unwrap().contains("draining: s-1"), "{refusal}");
    // Halted, and the one before brought back: never half of either.
    until("the version before is back", || in_force(&proxy) == second + 1 || in_force(&proxy) == first);
    let open_to_all = control.publish(&to_b.replace("} }", "} otherwise: ANY }"), &[]);
    until("the third is in force", || in_force(&proxy) == open_to_all);
    assert_eq!(ask(&proxy, "lookup", 100), "TDC");
    assert_eq!((a.served(), b.served()), (1, 6), "the draining node got nothing more");
}

/// The drain notice and the version at one moment, over and over: whichever comes first, no lookup goes to the node
/// once it was told to drain for 250 ms.
#[test]
fn an_engine_that_drains_between_validation_and_apply_receives_no_request() {
    let (service, kept) = (StandIn::new(), tempfile::tempdir().unwrap());
    let (a, b, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    let databases = [&a.database, &b.database];
    let operator = Some(operator(kept.path(), service.0.local_addr().unwrap(), &state(&kept), ""));
    let proxy = Launch { coordinator: Some(&coordinator), operator, ..Launch::new(&databases) }.start();
    let (mut stream, (mut list, _)) = (service.accept(), coordinator.accept());
    let (mut refused, mut taken) = (0, 0);
    for round in 0..12u64 {
        let (number, phase) = (2 * round + 1, if round % 2 == 0 { "DRAINING" } else { "SERVING" });
        let told = event(2 + round, &[b.database.member("s-1", phase)]);
        let document = r#"routes { name: "r" classes: "lookup" targets { engine: "s-1" } }"#;
        let bytes = framed(&offering(offer(number, number, document)));
        if round % 4 < 2 {
            list.write_all(told.as_bytes()).unwrap();
            stream.socket.write_all(&bytes).unwrap();
        } else {
            stream.socket.write_all(&bytes).unwrap();
            list.write_all(told.as_bytes()).unwrap();
        }
        let (nonce, refusal) = stream.answer();
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
            proxy.client().ask(&query("lookup", 1_000 + round, 100));
            assert_eq!(b.served(), before, "sent to a draining node in round {round}");
        }
        // Room for the next one: no route at all.
        stream.say(&offering(offer(number + 1, number + 1, "")));
        assert_eq!(stream.answer(), (number + 1, None));
    }
    assert!(refused > 0 && taken > 0, "{refused} refused, {taken} taken");
}

/// What is cut off, changed on its way, of another number or no message at all never comes into force.
#[test]
fn invalid_versions_are_rejected_and_malformed_streams_closed() {
    let (service, kept) = (StandIn::new(), tempfile::tempdir().unwrap());
    let engine = Engine::new();
    let databases = [&engine.database];
    let operator = Some(operator(kept.path(), service.0.local_addr().unwrap(), &state(&kept), ""));
    let proxy = Launch { operator, ..Launch::new(&databases) }.start();
    let mut stream = service.accept();
    assert_eq!(stream.hello.proxy, "n0");
    let mut nonce = 0;
    let mut told = |stream: &mut control::Stream, change: &dyn Fn(&mut gaugestep_config::schema::Offer)| {
        nonce += 1;
        let mut offer = offer(5, nonce, "limits { max_open: 50 }");
        change(&mut offer);
        stream.say(&offering(offer));
        let (answered, refusal) = stream.answer();
        assert_eq!(answered, nonce, "one answer to each offer");
        refusal
    };
    assert_eq!(told(&mut stream, &|it| it.content = None).as_deref(), Some("missing"));
    assert_eq!(
        told(&mut stream, &|it| it.version.as_mut().unwrap().digest[0] ^= 1).as_deref(),
        Some("digest-differs")
    );
    assert_eq!(in_force(&proxy), 0);
    assert_eq!(told(&mut stream, &|_| {}), None);
    assert_eq!(told(&mut stream, &|_| {}), None, "offered anew, acknowledged anew");
    let lower = told(&mut stream, &|it| it.version.as_mut().unwrap().number = 4);
    assert_eq!(lower.as_deref(), Some("not-newer"));
    let other = gaugestep_config::text::parse("limits { max_open: 51 }").unwrap();
    let conflicting = told(&mut stream, &|it| it.version = Some(gaugestep_config::version(5, &other)));
    assert_eq!(conflicting.as_deref(), Some("conflicting"));

    // The stream breaks in the middle of a version; a length that claims 4 GB; noise.
    let whole = framed(&offering(offer(6, 99, "limits { max_open: 60 }")));
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
    assert_eq!(stream.answer(), (99, None));
}

#[test]
fn a_proxy_starts_on_its_last_good_version_without_the_service_and_survives_a_corrupt_one() {
    let (mut control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let engine = Engine::new();
    let databases = [&engine.database];
    let operator = Some(control.operator(&state(&kept)));
    let mut proxy = Launch { operator, ..Launch::new(&databases) }.start();
    for open in [41, 42] {
        let number = control.publish(&format!("limits {{ max_open: {open} }}"), &[]);
        until("the version is in force", || in_force(&proxy) == number);
    }
    control.kill();
    proxy.kill();
    proxy.restart();
    let figures = proxy.figures();
    assert_eq!((in_force(&proxy), &figures["configuration"]["connected"]), (2, &false.into()));
    assert!(figures["configuration"]["age_s"].is_number(), "{figures}");
    let (_, standing) = proxy.call("GET", "/ops/readiness");
    assert!(standing.starts_with("ready; version 2, in force for "), "{standing}");
    assert!(standing.ends_with(" s, no service\n"), "{standing}");
    assert_eq!(ask(&proxy, "lookup", 1), "TDC");

    let current = state(&kept).join("current");
    for (spoil, version) in [("current", 1), ("previous", 0)] {
        proxy.kill();
        std::fs::write(state(&kept).join(spoil), b"rot").unwrap();
        proxy.restart();
        assert_eq!(in_force(&proxy), version);
        assert_eq!(ask(&proxy, "lookup", 2 + version), "TDC");
    }
    control.restart();
    until("the newest comes again", || in_force(&proxy) == 2);
    assert!(std::fs::read(&current).unwrap().len() > 20);
}

#[test]
fn killing_the_proxy_or_the_service_at_any_moment_loses_no_acknowledged_version() {
    let (mut control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.operator(&state(&kept)));
    let mut proxy = Launch { operator, ..Launch::new(&[]) }.start();
    let mut published = 0;
    for round in 0..6u64 {
        let file = control.file("d.textproto", &format!("limits {{ max_open: {} }}", 100 + round));
        std::thread::scope(|scope| {
            let publisher = scope.spawn(|| {
                let mut last = 0;
                for _ in 0..40 {
                    let (code, told, _) = control.run(&["--json", "publish", &file]);
                    if code != 0 {
                        break;
                    }
                    last = serde_json::from_str::<serde_json::Value>(&told).unwrap()["version"]
                        .as_u64()
                        .unwrap();
                }
                last
            });
            std::thread::sleep(Duration::from_millis(40 + 17 * round));
            if round % 2 == 0 {
                proxy.kill();
            }
            published = publisher.join().unwrap().max(published);
        });
        let acknowledged = control.proxy("n0")["in_force"].as_u64().unwrap_or(0);
        control.kill();
        if round % 2 == 0 {
            proxy.restart();
            assert!(
                in_force(&proxy) >= acknowledged,
                "{} in force, {acknowledged} acknowledged",
                in_force(&proxy)
            );
        }
        control.restart();
        let newest = control.json(&["status"])["newest"].as_u64().unwrap();
        assert!(newest >= published, "{newest} found, {published} published");
        until("the newest is in force", || in_force(&proxy) == newest);
    }
}

/// A service that is killed while it publishes finds all that it answered for.
#[test]
fn a_service_killed_while_publishing_recovers_every_acknowledged_version() {
    let mut control = Control::start();
    let file = control.file("d.textproto", "limits { max_open: 9 }");
    let mut most = 0;
    for round in 0..5u64 {
        let address = control.operators.to_string();
        let (service, file) = (address, file.clone());
        let publisher = std::thread::spawn(move || {
            let mut last = 0;
            loop {
                let program = env!("CARGO_BIN_EXE_gaugestep-control");
                let command = &mut std::process::Command::new(program);
                let done =
                    command.args(["--json", "publish", &file, "--service", &service]).output().unwrap();
                if !done.status.success() {
                    return last;
                }
                let told: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
                last = told["version"].as_u64().unwrap();
            }
        });
        std::thread::sleep(Duration::from_millis(60 + 23 * round));
        control.kill();
        most = publisher.join().unwrap().max(most);
        control.restart();
        let newest = control.json(&["status"])["newest"].as_u64().unwrap();
        assert!((most..=most + 1).contains(&newest), "{newest} found, {most} answered for");
        most = newest;
    }
    assert!(most > 0);
}

#[test]
fn a_service_restored_from_an_older_backup_rolls_nothing_back_and_continues_the_numbering() {
    let (mut control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.operator(&state(&kept)));
    let proxy = Launch { operator, ..Launch::new(&[]) }.start();
    control.publish("limits { max_open: 11 }", &[]);
    let backup = control.folder.path().join("backup");
    control.kill();
    std::fs::copy(control.store(), &backup).unwrap();
    control.restart();
    let second = control.publish("limits { max_open: 12 }", &[]);
    until("the second is in force", || in_force(&proxy) == second);
    control.kill();
    std::fs::copy(&backup, control.store()).unwrap();
    let (code, _, why) = control.run_to_end();
    assert_eq!(code, 1);
    assert_eq!(why.lines().count(), 1, "{why}");
    assert!(why.contains("older than its seal") && why.contains("--restored"), "{why}");
    control.restart_with(&["--restored"]);
    until("the proxy is seen to be ahead", || control.proxy("n0")["ahead"] == true);
    assert_eq!(in_force(&proxy), second);
    let third = control.publish("limits { max_open: 13 }", &[]);
    assert!(third > second, "{third} is above what the proxy has in force");
    until("the third is in force", || in_force(&proxy) == third);
    // The proxy applies a version before the service receives its answer.
    until("the service has received the proxy's answer", || control.proxy("n0")["in_force"] == third);
    assert_eq!(control.proxy("n0")["ahead"], false);
    assert_eq!(in_force(&proxy), third);
}

#[test]
fn the_newest_of_concurrent_versions_comes_in_force_despite_a_proxy_that_never_answers() {
    let (control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.operator(&state(&kept)));
    let proxy = Launch { operator, ..Launch::new(&[]) }.start();
    // It says hello and never again more than its figures.
    let mut silent = TcpStream::connect(control.listen).unwrap();
    let hello = gaugestep_config::schema::Hello { protocol: 1, proxy: "silent".into(), ..Default::default() };
    let hello = gaugestep_config::schema::from_client::Said::Hello(hello);
    let hello = prost::Message::encode_to_vec(&gaugestep_config::schema::FromClient { said: Some(hello) });
    silent.write_all(&(hello.len() as u32).to_be_bytes()).unwrap();
    silent.write_all(&hello).unwrap();
    until("both are here", || {
        control.json(&["status"])["proxies"].as_array().is_some_and(|it| it.len() == 2)
    });
    let files: Vec<String> = (0..8)
        .map(|number| control.file(&format!("d{number}"), &format!("limits {{ max_open: {} }}", 20 + number)))
        .collect();
    std::thread::scope(|scope| {
        for file in &files {
            scope.spawn(|| assert_eq!(control.run(&["publish", file]).0, 0));
        }
    });
    until("the newest is in force", || in_force(&proxy) == 8);
    let status = control.proxy("silent");
    assert_eq!(
        (&status["in_force"], &status["offered"]),
        (&0.into(), &1.into()),
        "only what it has not answered"
    );
    let (code, told, _) = control.run(&["status", "--proxy", "nobody"]);
    assert_eq!(code, 1, "{told}");
}

/// A load that runs under a class which the new version drops ends as it would have, once, and only then may the class
/// go.
#[test]
fn a_class_is_not_removed_while_a_load_of_it_is_in_flight() {
    let (control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let engine = Engine::new();
    let databases = [&engine.database];
    let operator = Some(control.operator(&state(&kept)));
    let proxy = Launch { operator, ..Launch::new(&databases) }.start();
    until("the proxy follows", || control.proxy("n0")["connected"] == true);
    engine.holds.store(true, Ordering::SeqCst);
    let mut client = proxy.client();
    client.send(&query("load", 1, 3_900));
    until("the load runs", || engine.taken.load(Ordering::SeqCst) == 1);
    let drops = r#"classes: "lookup""#;
    let first = control.publish(drops, &[]);
    until("the version is refused", || control.proxy("n0")["refused"] == first);
    assert_eq!(control.proxy("n0")["refusal"]["code"], "class-in-use");
    engine.holds.store(false, Ordering::SeqCst);
    assert_eq!(client.answer(), "TDC");
    assert_eq!(engine.served(), 1, "the load ran once");
    let second = control.publish(drops, &[]);
    until("the class is dropped", || in_force(&proxy) == second);
    assert!(client.ask(&query("load", 2, 1_000)).starts_with("E 22023"));
    assert_eq!(client.ask(&query("lookup", 3, 1_000)), "TDC");
    control.publish("", &[]);
    until("the class is back", || client.ask(&query("load", 4, 1_000)) == "TDC");
}

#[test]
fn a_sighup_and_a_concurrent_version_both_take_effect() {
    let (control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let engine = Engine::new();
    let databases = [&engine.database];
    let operator = Some(control.operator(&state(&kept)));
    let proxy = Launch { operator, ..Launch::new(&databases) }.start();
    until("the proxy follows", || control.proxy("n0")["connected"] == true);
    for round in 0..4u64 {
        let document = format!("limits {{ max_open: {} }} retries {{ ratio: 0.1 }}", 30 + round);
        let number = std::thread::scope(|scope| {
            let publishing = scope.spawn(|| control.publish(&document, &[]));
            proxy.retune(r#""aim_ms": 500"#, &format!(r#""aim_ms": {}"#, 600 + round), "/sighup_applied");
            publishing.join().unwrap()
        });
        until("the version is in force", || in_force(&proxy) == number);
        assert_eq!(ask(&proxy, "lookup", 10 + round), "TDC");
        assert_eq!(ask(&proxy, "load", 20 + round), "TDC");
    }
    // The platform's file wins over a version that was checked against an older one.
    proxy.retune(r#""max_open": 1000"#, r#""max_open": 1001"#, "/sighup_applied");
    assert_eq!(in_force(&proxy), 4);
}

/// Peers that send noise, claim too much, talk out of turn or say nothing: closed, and the service goes on.
#[test]
fn malformed_peers_are_disconnected_and_the_service_keeps_running() {
    let control = Control::start();
    let told: [&[u8]; 4] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 64], &[0, 0, 0, 2, 0xff, 0xff], &[0, 0, 0, 0]];
    for (address, bytes) in [control.listen, control.operators].iter().flat_map(|at| told.map(|it| (at, it)))
    {
        let mut peer = TcpStream::connect(address).unwrap();
        peer.set_read_timeout(Some(PATIENCE)).unwrap();
        peer.write_all(bytes).unwrap();
        // A reset is a close too: it had sent more than was read.
        let _ = peer.read(&mut [0; 64]).map(|read| assert_eq!(read, 0, "{bytes:?}"));
    }
    let _silent: Vec<TcpStream> = (0..50).map(|_| TcpStream::connect(control.listen).unwrap()).collect();
    let began = Instant::now();
    assert_eq!(control.publish("limits { max_open: 5 }", &[]), 1);
    assert!(began.elapsed() < PATIENCE);
    let log = control.log();
    assert!(log.lines().all(|line| serde_json::from_str::<serde_json::Value>(line).is_ok()), "{log}");
    assert!(log.contains(r#""version":1"#));
}

#[test]
fn an_unusable_operator_file_ends_the_start_with_one_error_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("operator.textproto");
    let cases = [
        ("control { colour: 1 }", "colour"),
        ("control { state: \"x\" }", "'control.services' is missing"),
        ("control { services: \"nowhere\" state: \"x\" }", "no address"),
        ("control { services: \"10.0.0.1:9\" state: \"x\" }", "without keys only loopback"),
        ("control { services: \"127.0.0.1:9\" }", "'control.state' is missing"),
    ];
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let example = std::fs::read_to_string(config).unwrap();
    let own = folder.path().join("config.json");
    let listen = proxy::free_address().to_string();
    let door = proxy::free_address().to_string();
    std::fs::write(&own, example.replace("127.0.0.1:9090", &listen).replace("127.0.0.1:9100", &door))
        .unwrap();
    for (text, why) in cases {
        std::fs::write(&file, text).unwrap();
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_gaugestep"));
        command.args(["serve", "--config"]).arg(&own).arg("--operator").arg(&file);
        let done = command.env("GAUGESTEP_LOG", "off").output().unwrap();
        let told = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(1), "{text}: {told}");
        assert!(told.contains(why) && told.lines().count() <= 3, "{text}: {told}");
    }
}

#[test]
fn commands_report_their_results_as_text_json_and_exit_codes() {
    let control = Control::start();
    let (good, bad) =
        (control.file("good", "limits { max_open: 5 }"), control.file("bad", "limits { max_open: 0 }"));
    assert_eq!(control.run(&["validate", &good]).0, 0);
    let (code, told, _) = control.run(&["--json", "validate", &bad]);
    assert_eq!(code, 1);
    assert!(told.contains(r#""path":"limits.max_open""#), "{told}");
    let (code, _, error) = control.run(&["publish", &bad]);
    assert_eq!(code, 1);
    assert!(error.contains("'limits.max_open' is 0"), "{error}");
    assert_eq!(control.json(&["publish", &good, "--note", "a note"])["version"], 1);
    let (code, _, error) = control.run(&["publish", &good, "--expect", "7"]);
    assert!(code == 1 && error.contains("version 1 is the newest"), "{error}");
    control.publish("limits { max_open: 6 }", &["--expect", "1"]);
    let list = control.json(&["list"]);
    assert_eq!((&list[0]["version"], &list[1]["note"]), (&2.into(), &"a note".into()));
    assert!(control.run(&["show", "1"]).1.contains("max_open: 5"));
    let (code, diff, _) = control.run(&["diff", "1", "2"]);
    assert!(code == 1 && diff.contains("-  max_open: 5") && diff.contains("+  max_open: 6"), "{diff}");
    assert_eq!(control.run(&["diff", &good, "1"]).0, 0);
    assert_eq!(control.json(&["rollback", "1"])["version"], 3);
    assert_eq!(control.run(&["watch", "--within", "5"]).0, 0);
    assert_eq!(control.json(&["list"])[0]["rolls_back_to"], 1);
    assert_eq!(control.run(&["rollback", "99"]).0, 1);
    assert_eq!(control.run(&["nonsense"]).0, 2);
    assert!(control.run(&["completions", "bash"]).1.contains("gaugestep-control"));
}

/// A few proxies first, then a share, then all; what one of the first turns down goes to nobody else and is taken back.
#[test]
fn a_rollout_proceeds_by_stages_and_a_rejected_one_halts_at_the_canary() {
    let (control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let engine = Engine::new();
    let databases = [&engine.database];
    let proxies: Vec<Proxy> = (0..4)
        .map(|number| {
            let operator = Some(control.operator(&kept.path().join(format!("p{number}"))));
            let name = format!(r#""name":"p{number}""#);
            let change = |text: String| text.replace(r#""name":"n0""#, &name);
            Launch { operator, change: &change, ..Launch::new(&databases) }.start()
        })
        .collect();
    until("all are here", || control.json(&["status"])["proxies"].as_array().is_some_and(|it| it.len() == 4));
    let steps = ["--first", "1", "--share", "0.5", "--hold", "0.3"];
    let first = control.publish("limits { max_open: 80 }", &steps);
    let mut seen = std::collections::BTreeSet::new();
    until("it is in force at all", || {
        let have = proxies.iter().filter(|proxy| in_force(proxy) == first).count();
        seen.insert(have);
        have == 4
    });
    assert!(seen.contains(&1) && seen.contains(&2), "{seen:?}");
    assert_eq!(control.run(&["watch", "--within", "10"]).0, 0);

    let nowhere = r#"routes { name: "r" classes: "lookup" targets { engine: "s-9" } }"#;
    let bad = control.publish(nowhere, &steps);
    assert_eq!(control.run(&["watch", &bad.to_string(), "--within", "10"]).0, 3, "halted");
    until("the one before is back everywhere", || proxies.iter().all(|proxy| in_force(proxy) == bad + 1));
    let refused: u64 = proxies.iter().map(|proxy| proxy.figure("/configuration/refused").unwrap()).sum();
    assert_eq!(refused, 1, "only one of the first was ever offered it");
    let list = control.json(&["list"]);
    assert_eq!((&list[0]["rolls_back_to"], &list[0]["state"]), (&first.into(), &"complete".into()));
    assert!(list[1]["halted_for"].as_str().unwrap().contains("not listed: s-9"), "{list}");
}

/// A long document that changes a little goes as a change, and what the proxy makes of it is the document, whole.
#[test]
fn a_small_change_of_a_long_document_is_sent_as_a_delta() {
    let (control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let engine = Engine::new();
    let databases = [&engine.database];
    let operator = Some(control.operator(&state(&kept)));
    let mut proxy = Launch { operator, ..Launch::new(&databases) }.start();
    let route = |class: &str, weight: u64| {
        let targets = format!("targets {{ zone: \"dc\" weight: {weight} }} targets {{ kind: \"k\" }}");
        format!("routes {{ name: \"{class}-by-zone\" classes: \"{class}\" {targets} otherwise: ANY }}\n")
    };
    for round in 1..=4 {
        let limits = format!("limits {{ max_open: {} }}", 50 + round);
        let number = control.publish(&(route("lookup", 2) + &route("load", 3) + &limits), &[]);
        until("the version is in force", || in_force(&proxy) == number);
        let digest = control.json(&["show"])["digest"].clone();
        assert_eq!(proxy.figures()["configuration"]["digest"], digest);
        assert_eq!(ask(&proxy, "lookup", number), "TDC");
    }
    let log = control.log();
    assert!(log.contains(r#""version":4,"nonce":"#) && log.contains(r#""base":3"#), "{log}");
    proxy.kill();
    control.run(&["rollback", "1"]);
    proxy.restart();
    until("it comes back, and follows", || in_force(&proxy) == 5);
}

/// While a successor takes over, its predecessor holds the store: the successor starts on the last good version all the
/// same, also without a service, and holds the store once it is alone.
#[test]
fn a_successor_starts_on_the_last_good_version_beside_its_predecessor() {
    let (mut control, kept) = (Control::start(), tempfile::tempdir().unwrap());
    let listener = proxy::free_listener();
    let address = listener.local_addr().unwrap();
    let operator = Some(control.operator(&state(&kept)));
    let launch = |operator| Launch { address, listener: Some(&listener), operator, ..Launch::new(&[]) };
    let mut old = launch(operator.clone()).start();
    let first = control.publish("limits { max_open: 33 }", &[]);
    until("the version is in force", || in_force(&old) == first);
    control.kill();
    let new = launch(operator).start();
    assert_eq!(in_force(&new), first);
    assert_eq!(old.stop().code(), Some(0));
    control.restart();
    let second = control.publish("limits { max_open: 34 }", &[]);
    until("the next version is in force and stored", || in_force(&new) == second);
}
