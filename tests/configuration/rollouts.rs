//! Rollouts of versions to the fleet: stages, concurrent publications and deltas.

use std::io::Write as _;
use std::net::TcpStream;

use crate::control::{ControlServer, RespondingEngine, wait_until};
use crate::proxy::{Launch, Proxy};
use crate::{in_force, run_query, state_folder};

#[test]
fn the_newest_of_concurrent_versions_comes_into_force_despite_a_proxy_that_never_acknowledges() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let proxy = Launch { operator, ..Launch::new(&[]) }.start();
    // This peer sends a hello as a proxy and nothing after it.
    let mut silent = TcpStream::connect(control.listen).unwrap();
    let hello = gaugestep_config::schema::Hello { protocol: 1, proxy: "silent".into(), ..Default::default() };
    let hello = gaugestep_config::schema::from_client::Said::Hello(hello);
    let hello = prost::Message::encode_to_vec(&gaugestep_config::schema::FromClient { said: Some(hello) });
    silent.write_all(&(hello.len() as u32).to_be_bytes()).unwrap();
    silent.write_all(&hello).unwrap();
    wait_until("both proxies are connected", || {
        control.run_json(&["status"])["proxies"].as_array().is_some_and(|proxies| proxies.len() == 2)
    });
    let files: Vec<String> = (0..8)
        .map(|number| {
            control.write_file(&format!("d{number}"), &format!("limits {{ max_open: {} }}", 20 + number))
        })
        .collect();
    std::thread::scope(|scope| {
        for file in &files {
            scope.spawn(|| assert_eq!(control.run(&["publish", file]).0, 0));
        }
    });
    wait_until("the newest version is in force", || in_force(&proxy) == 8);
    let status = control.proxy_status("silent");
    assert_eq!(
        (&status["in_force"], &status["offered"]),
        (&0.into(), &1.into()),
        "only the offer that the proxy has not acknowledged"
    );
    let (code, output, _) = control.run(&["status", "--proxy", "nobody"]);
    assert_eq!(code, 1, "{output}");
}

/// A rollout goes to one proxy first, then to half of them, then to all. A version that the canary rejects
/// reaches no other proxy and is rolled back.
#[test]
fn a_rollout_proceeds_by_stages_and_a_rejected_one_halts_at_the_canary() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let proxies: Vec<Proxy> = (0..4)
        .map(|number| {
            let operator = Some(control.write_operator_file(&folder.path().join(format!("p{number}"))));
            let name = format!(r#""name":"p{number}""#);
            let edit_config = |text: String| text.replace(r#""name":"n0""#, &name);
            Launch { operator, edit_config: &edit_config, ..Launch::new(&engines) }.start()
        })
        .collect();
    wait_until("all proxies are connected", || {
        control.run_json(&["status"])["proxies"].as_array().is_some_and(|proxies| proxies.len() == 4)
    });
    let stages = ["--first", "1", "--share", "0.5", "--hold", "0.3"];
    let first = control.publish("limits { max_open: 80 }", &stages);
    let mut counts = std::collections::BTreeSet::new();
    wait_until("the version is in force at all proxies", || {
        let count = proxies.iter().filter(|proxy| in_force(proxy) == first).count();
        counts.insert(count);
        count == 4
    });
    assert!(counts.contains(&1) && counts.contains(&2), "{counts:?}");
    assert_eq!(control.run(&["watch", "--within", "10"]).0, 0);

    let route_to_unlisted_engine = r#"routes { name: "r" classes: "lookup" targets { engine: "s-9" } }"#;
    let bad = control.publish(route_to_unlisted_engine, &stages);
    assert_eq!(control.run(&["watch", &bad.to_string(), "--within", "10"]).0, 3, "halted");
    wait_until("the rollback is in force at all proxies", || {
        proxies.iter().all(|proxy| in_force(proxy) == bad + 1)
    });
    let rejected: u64 = proxies.iter().map(|proxy| proxy.statistic("/configuration/refused").unwrap()).sum();
    assert_eq!(rejected, 1, "only the canary was offered the version");
    let list = control.run_json(&["list"]);
    assert_eq!((&list[0]["rolls_back_to"], &list[0]["state"]), (&first.into(), &"complete".into()));
    assert!(list[1]["halted_for"].as_str().unwrap().contains("not listed: s-9"), "{list}");
}

/// A small change of a long document is sent as a delta, from which the proxy builds the complete document.
#[test]
fn a_small_change_of_a_long_document_is_sent_as_a_delta() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let engine = RespondingEngine::new();
    let engines = [&engine.listener];
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let mut proxy = Launch { operator, ..Launch::new(&engines) }.start();
    let route = |class: &str, weight: u64| {
        let targets = format!("targets {{ zone: \"dc\" weight: {weight} }} targets {{ kind: \"k\" }}");
        format!("routes {{ name: \"{class}-by-zone\" classes: \"{class}\" {targets} otherwise: ANY }}\n")
    };
    for round in 1..=4 {
        let limits = format!("limits {{ max_open: {} }}", 50 + round);
        let number = control.publish(&(route("lookup", 2) + &route("load", 3) + &limits), &[]);
        wait_until("the version is in force", || in_force(&proxy) == number);
        let digest = control.run_json(&["show"])["digest"].clone();
        assert_eq!(proxy.statistics()["configuration"]["digest"], digest);
        assert_eq!(run_query(&proxy, "lookup", number), "TDC");
    }
    let log = control.log();
    assert!(log.contains(r#""version":4,"nonce":"#) && log.contains(r#""base":3"#), "{log}");
    proxy.kill();
    control.run(&["rollback", "1"]);
    proxy.restart();
    wait_until("the restarted proxy applies the rollback", || in_force(&proxy) == 5);
}

/// Guards against rollbacks that are halted and rolled back in turn, without end.
#[test]
fn a_rollback_to_the_empty_document_is_not_rolled_back_in_turn() {
    let (control, folder) = (ControlServer::start(), tempfile::tempdir().unwrap());
    let operator = Some(control.write_operator_file(&state_folder(&folder)));
    let proxy = Launch { operator, ..Launch::new(&[]) }.start();
    wait_until("the proxy follows", || control.proxy_status("n0")["connected"] == true);
    // A folder of this name keeps the proxy from storing any version.
    std::fs::create_dir(state_folder(&folder).join("staged")).unwrap();
    let version = control.publish("limits { max_open: 33 }", &[]);
    let rollback = version + 1;
    wait_until("the rollback is rejected", || {
        control.proxy_status("n0")["refused"].as_u64().is_some_and(|rejected| rejected >= rollback)
    });
    wait_until("the rollback is complete", || {
        control.run_json(&["show", &rollback.to_string()])["state"] == "complete"
    });
    assert_eq!(control.run_json(&["status"])["newest"], rollback);
    assert_eq!(in_force(&proxy), 0);
    assert_eq!(control.proxy_status("n0")["refusal"]["code"], "not-stored");
}
