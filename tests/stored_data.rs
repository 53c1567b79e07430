//! Stored data of build 02c3b0d, which every later build must open: stores and generation files of three
//! control servers, and the last good versions and terms of a proxy.
//!
//! The data is in `tests/data/stored-02c3b0d` and was written by that build: three members, two versions,
//! three singleton roles (`versions`, `seats`, `reports`), and the state directory of the proxy `n0`. Tests
//! work on copies of it. Golden files beside the data, `records.txt`, contain each stored record as protobuf
//! text.
//!
//! The members' stores contain their addresses, so the copies run at the same addresses
//! ([`StoredAddresses`]).
//!
//! [`write_the_stored_data`] writes the data again. **Run it at build 02c3b0d only**: data of a later build
//! does not show that old data can be opened.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "stored_data/addresses.rs"]
mod addresses;
#[path = "stored_data/agreed.rs"]
mod agreed;
#[path = "common/control.rs"]
mod control;
#[path = "stored_data/files.rs"]
mod files;
#[path = "stored_data/generation_file.rs"]
mod generation_file;
#[path = "common/group.rs"]
mod group;
#[path = "common/proxy.rs"]
mod proxy;
#[path = "stored_data/records.rs"]
mod records;
#[path = "stored_data/short_form.rs"]
mod short_form;
#[path = "stored_data/slot_file.rs"]
mod slot_file;

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use gaugestep_config::schema::{Charter, HandOver, Offer, Plan, call};
use gaugestep_config::text;
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};
use gaugestep_storage::control_store::ControlStore;
use gaugestep_testbed::leadership_audit::audit;
use gaugestep_testbed::process::Process;
use prost::Message as _;

use addresses::StoredAddresses;
use agreed::GroupState;
use control::{ScriptedControlServer, offer, offer_message};
use files::{MEMBERS, PROXY, copy_proxy_state, copy_store, proxy_data};
use generation_file::GenerationFile;
use group::{Group, MemberProcess, wait_until};
use proxy::{Launch, Proxy, free_address};
use records::Records;

/// A role that the programs do not use, beside [`CONFIGURATION_ROLE`] and [`ORDINALS_ROLE`].
const REPORTS: &str = "reports";

/// The first version, as it was published.
const FIRST_DOCUMENT: &str = r#"limits { max_open: 300 } tenants { name: "acme" quota_per_s: 40 }
    logging { level: INFO parts { name: "gaugestep::net::relay" level: DEBUG } }"#;
const FIRST_KEY: &str = "first";
/// The second version, as it was published.
const SECOND_DOCUMENT: &str = r#"limits { max_open: 200 max_attempts: 3 } retries { ratio: 0.1 free: 2 }
    tenants { name: "acme" quota_per_s: 40 } classes: "lookup" classes: "load"
    routes { name: "lookups" classes: "lookup" targets { zone: "dc" weight: 2.5 } otherwise: ANY }
    logging { level: INFO parts { name: "gaugestep::net::relay" level: DEBUG } }"#;
const SECOND_KEY: &str = "second";
const SECOND_VERSION: u64 = 2;
/// The document that tests publish as the third version.
const THIRD_DOCUMENT: &str = "limits { max_open: 100 }";
const THIRD_VERSION: u64 = 3;

/// The environment variable without which [`write_the_stored_data`] does nothing.
const WRITE_VARIABLE: &str = "GAUGESTEP_WRITE_STORED";

/// A member at its stored addresses, with an empty folder of its own. It is not started yet.
fn member_at_stored_addresses(group: &Group, number: u64) -> MemberProcess {
    let folder = group.folder.path().join(format!("service-{number}"));
    std::fs::create_dir(&folder).unwrap();
    let (listen, operators) = (StoredAddresses::listen(number), StoredAddresses::operators(number));
    let (process, disabled_check, shell_prefix) = (None, "", String::new());
    MemberProcess { number, folder, listen, relay: listen, operators, process, disabled_check, shell_prefix }
}

/// The state directory of the proxy [`PROXY`] in the folder of a group.
fn proxy_state(group: &Group) -> PathBuf {
    group.folder.path().join(format!("proxy-{PROXY}"))
}

/// A group on copies of the stored files, the proxy's state among them. Nothing is started yet.
fn copied_group() -> Group {
    let mut group = Group::start(0);
    for number in MEMBERS {
        let member = member_at_stored_addresses(&group, number);
        GenerationFile::reissue(&copy_store(number, &member.folder));
        group.members.push(member);
    }
    copy_proxy_state(&proxy_data(), &proxy_state(&group));
    group
}

/// The term of the role [`CONFIGURATION_ROLE`] in a proxy's state directory.
fn stored_term(state: &Path) -> u64 {
    let terms = Charter::decode(slot_file::read(&state.join("terms/current")).as_slice()).unwrap();
    terms.duties.iter().find(|role| role.name == CONFIGURATION_ROLE).expect("a term is stored").term
}

/// The number of the version in a slot of a proxy's state directory.
fn stored_version(state: &Path, slot: &str) -> u64 {
    let stored = Offer::decode(slot_file::read(&state.join(slot)).as_slice()).unwrap();
    stored.version.expect("a version is stored").number
}

fn version_in_force(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/version")
}

fn term_seen(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/term")
}

#[test]
fn a_group_and_a_proxy_start_on_the_stored_files_and_publish_further_versions() {
    let _addresses = StoredAddresses::reserve();
    let stored = GroupState::of_stored_group();
    let mut group = copied_group();
    let generations: Vec<_> =
        group.members.iter().map(|member| GenerationFile::read(&member.store())).collect();

    // No control server runs yet.
    let proxy = group.start_proxy(PROXY, 0);
    assert_eq!(version_in_force(&proxy), Some(SECOND_VERSION));
    assert_eq!(term_seen(&proxy), Some(stored_term(&proxy_data())));
    assert_eq!(proxy.statistics().pointer("/configuration/connected"), Some(&false.into()));
    let digest = stored.versions[0].digest.as_str();
    assert_eq!(proxy.statistics().pointer("/configuration/digest"), Some(&digest.into()));

    group.members.iter_mut().for_each(MemberProcess::start);
    group.lease_holder();
    group.wait_for_equal_versions();
    for member in &group.members {
        wait_until("every role has a lease holder", || {
            let roles = GroupState::of_running_member(member).roles;
            !roles.is_empty() && roles.iter().all(|role| role.owner > 0)
        });
        let running = GroupState::of_running_member(member);
        assert_eq!(running.members, stored.members);
        assert_eq!(running.versions, stored.versions);
        running.assert_no_term_decreased(&stored);
    }

    let (repeated, _) = group.publish(SECOND_DOCUMENT, SECOND_KEY, Plan::default()).unwrap();
    assert_eq!(repeated, SECOND_VERSION, "a document with a known key is not published twice");
    let third = group.publish_until_acknowledged(THIRD_DOCUMENT, "third", Plan::default());
    assert_eq!(third, THIRD_VERSION);
    let proxies = [proxy];
    group.wait_until_in_force(&proxies, third);
    group.wait_for_equal_versions();
    group.wait_for_ordinals(&[&proxies[0]], 1);
    for member in &group.members {
        let running = GroupState::of_running_member(member);
        assert_eq!(running.versions[1..], stored.versions);
        running.assert_no_term_decreased(&stored);
    }
    assert_eq!(audit(&group.records(&[PROXY])).violations, []);

    // The files that the programs have written since then have the same format.
    for (member, before) in group.members.iter().zip(generations) {
        let now = GenerationFile::read(&member.store());
        assert_eq!(
            now,
            GenerationFile { starts: before.starts + 1, ..before },
            "one more start on the same file"
        );
    }
    let state = proxy_state(&group);
    wait_until("the third version is stored", || stored_version(&state, "current") == THIRD_VERSION);
    assert_eq!(stored_version(&state, "previous"), SECOND_VERSION);
    assert!(stored_term(&state) >= stored_term(&proxy_data()));
}

#[test]
fn a_proxy_on_its_stored_state_rejects_a_term_below_the_stored_one() {
    let folder = tempfile::tempdir().unwrap();
    let state = folder.path().join("state");
    copy_proxy_state(&proxy_data(), &state);
    let stored = stored_term(&state);
    assert!(stored > 1, "there is a lower term");
    let server = ScriptedControlServer::new();
    let operator = control::write_operator_file(folder.path(), server.0.local_addr().unwrap(), &state, "");
    // The scripted server accepts the stream later: the proxy starts without it.
    let proxy = Launch { operator: Some(operator), ..Launch::new(&[]) }.start();
    assert_eq!(version_in_force(&proxy), Some(SECOND_VERSION));

    let mut stream = server.accept_with_term(stored);
    assert_eq!(stream.hello.in_force.as_ref().map(|version| version.number), Some(SECOND_VERSION));
    let hello_seen = stream.hello.seen.iter().find(|seen| seen.duty == CONFIGURATION_ROLE);
    assert_eq!(hello_seen.map(|seen| seen.term), Some(stored));
    let stale = Offer { term: stored - 1, ..offer(THIRD_VERSION, 1, THIRD_DOCUMENT) };
    stream.send(&offer_message(stale));
    assert_eq!(stream.next_acknowledgement(), (1, Some("stale-term".into())));
    assert_eq!(version_in_force(&proxy), Some(SECOND_VERSION));
    assert_eq!(proxy.statistic("/configuration/stale_refused"), Some(1));

    let current = Offer { term: stored, ..offer(THIRD_VERSION, 2, THIRD_DOCUMENT) };
    stream.send(&offer_message(current));
    assert_eq!(stream.next_acknowledgement(), (2, None));
    assert_eq!(version_in_force(&proxy), Some(THIRD_VERSION));
}

/// Starts a control server on this store, which it must reject with exit code 1 and one line, and returns
/// that line.
fn rejection_of(store: &Path) -> String {
    let (config, log) = (store.with_file_name("control.textproto"), store.with_file_name("log"));
    let (listen, operators) = (free_address(), free_address());
    let store = store.display().to_string();
    std::fs::write(&config, format!("listen: \"{listen}\" operators: \"{operators}\" store: {store:?}"))
        .unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
    command.args(["serve", "--config"]).arg(&config);
    command.stdout(Stdio::null()).stderr(std::fs::File::create(&log).unwrap());
    let mut process = Process::start(&mut command).unwrap();
    let mut exit = None;
    wait_until("the control server rejects the store", || {
        exit = process.exit_status().unwrap();
        exit.is_some()
    });
    let error = std::fs::read_to_string(&log).unwrap();
    assert_eq!((exit.and_then(|status| status.code()), error.lines().count()), (Some(1), 1), "{error}");
    error
}

#[test]
fn a_copied_store_is_rejected_with_its_old_generation_file_and_without_one() {
    for member in MEMBERS {
        let folder = tempfile::tempdir().unwrap();
        let store = copy_store(member, folder.path());
        let copied = rejection_of(&store);
        assert!(copied.contains("the store is a copy: its seal names another file"), "{copied}");
        std::fs::remove_file(GenerationFile::path(&store)).unwrap();
        let unsealed = rejection_of(&store);
        assert!(unsealed.contains("the store has no seal beside it"), "{unsealed}");
    }
}

#[test]
fn a_store_with_fewer_starts_than_its_generation_file_counts_is_rejected() {
    for member in MEMBERS {
        let folder = tempfile::tempdir().unwrap();
        let store = copy_store(member, folder.path());
        GenerationFile::reissue(&store);
        let generation = GenerationFile::read(&store);
        let (starts, counted) = (generation.starts, generation.starts + 1);
        GenerationFile { starts: counted, ..generation }.write(&store);
        let older = rejection_of(&store);
        let expected =
            format!("the store is older than its seal ({starts} starts, the seal counts {counted})");
        assert!(older.contains(&expected), "{older}");
    }
}

#[test]
fn the_stored_records_decode_to_the_messages_of_the_golden_files() {
    let golden = |path: PathBuf| std::fs::read_to_string(path).unwrap();
    for member in MEMBERS {
        let folder = tempfile::tempdir().unwrap();
        let records = Records::of_store(&copy_store(member, folder.path()));
        assert_eq!(records, golden(files::member_records(member)), "member {member}");
    }
    assert_eq!(Records::of_proxy_state(&proxy_data()), golden(files::proxy_records()));
}

#[test]
fn the_stored_documents_are_those_that_were_published() {
    let published =
        [FIRST_DOCUMENT, SECOND_DOCUMENT].map(|document| text::parse(document).unwrap().encode_to_vec());
    for member in MEMBERS {
        let folder = tempfile::tempdir().unwrap();
        let stored = ControlStore::open(&copy_store(member, folder.path())).unwrap().versions().unwrap();
        let documents: Vec<Vec<u8>> = stored.into_iter().map(|version| version.document).collect();
        assert_eq!(documents, published, "member {member}");
    }
}

/// Writes `tests/data/stored-02c3b0d` again. **To be run at build 02c3b0d only**:
///
/// ```text
/// GAUGESTEP_WRITE_STORED=1 cargo test --test stored_data -- --ignored --exact write_the_stored_data
/// ```
///
/// The programs themselves write the data, as a group of three control servers with a proxy that follows
/// them. The first member is ended with SIGTERM and the others are killed, so that the data has stores of
/// both kinds.
#[test]
#[ignore = "writes test data, and only at build 02c3b0d"]
fn write_the_stored_data() {
    if std::env::var_os(WRITE_VARIABLE).is_none() {
        eprintln!("nothing is written without {WRITE_VARIABLE}=1");
        return;
    }
    let _addresses = StoredAddresses::reserve();
    let mut group = Group::start(0);
    for number in MEMBERS {
        let member = member_at_stored_addresses(&group, number);
        group.add_member(member);
    }
    for role in [ORDINALS_ROLE, REPORTS] {
        group.call_until_accepted(call::What::Declare(role.into()));
    }
    let mut proxies = [group.start_proxy(PROXY, 0)];
    let first = group.publish_until_acknowledged(FIRST_DOCUMENT, FIRST_KEY, Plan::default());
    group.wait_until_in_force(&proxies, first);
    restart_last_member(&mut group);
    raise_terms(&group);
    let plan = Plan { first: 1, share: 0.5, hold_ms: 100, refusals: Some(2), ..Plan::default() };
    let second = group.publish_until_acknowledged(SECOND_DOCUMENT, SECOND_KEY, plan);
    group.wait_until_in_force(&proxies, second);
    wait_until("the rollout is complete", || group.version_state(second) == "COMPLETE");
    group.wait_for_ordinals(&[&proxies[0]], 1);
    let (_, term) = group.lease_holder();
    wait_until("the proxy has seen the term", || term_seen(&proxies[0]) == Some(term));
    group.wait_for_equal_versions();

    proxies[0].kill();
    group.members[0].process.take().unwrap().terminate().unwrap();
    group.members[1..].iter_mut().for_each(MemberProcess::kill);
    save(&group);
}

/// Kills the last member and starts it again, so that not all stores count the same number of starts.
fn restart_last_member(group: &mut Group) {
    let last = group.members.last_mut().expect("a group has members");
    last.kill();
    last.start();
    let number = last.number;
    wait_until("the other members know of the restart", || {
        group.known_members(1).contains(&number) && group.known_members(2).contains(&number)
    });
    group.wait_for_equal_versions();
}

/// Hands each role over to each member in turn.
fn raise_terms(group: &Group) {
    for role in [CONFIGURATION_ROLE, ORDINALS_ROLE, REPORTS] {
        for to in MEMBERS {
            let holder =
                || GroupState::of_running_member(&group.members[0]).role(role).map_or(0, |role| role.owner);
            wait_until("the role is handed over", || {
                let hand_over = HandOver { duty: role.into(), to };
                holder() == to || (group.call(call::What::HandOver(hand_over)).is_ok() && holder() == to)
            });
        }
    }
}

/// Saves the files of a group that has ended, and the golden files of their records.
fn save(group: &Group) {
    for member in &group.members {
        files::save_store(member.number, &member.store());
        let copy = tempfile::tempdir().unwrap();
        let records = Records::of_store(&copy_store(member.number, copy.path()));
        std::fs::write(files::member_records(member.number), records).unwrap();
    }
    copy_proxy_state(&proxy_state(group), &proxy_data());
    std::fs::write(files::proxy_records(), Records::of_proxy_state(&proxy_data())).unwrap();
}
