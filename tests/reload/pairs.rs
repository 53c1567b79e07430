//! A proxy that was started with one configuration and reloaded others, beside one that was started with the last
//! of them: the same requests and engines, judged by the rules and compared.

use std::collections::BTreeSet;
use std::ops::Range;

use oorandom::Rand32;

use crate::configuration::{CLASSES, DrawnClass, DrawnConfiguration};
use crate::engine::RecordingEngine;
use crate::logged_response_window_ms;
use crate::proxy::{Client, Launch, Proxy};

/// The seeds that are played unless `GAUGESTEP_RELOAD_SEEDS` names others.
const DEFAULT_SEEDS: Range<u32> = 1..7;
/// The most reloads of a pair.
const MAX_RELOADS: u32 = 3;
/// The time that clients wait for a response, in milliseconds: less than each deadline.
const BUDGET_MS: u32 = 300;
/// Requests of each class while engines lose responses.
const LOSSY_REQUESTS: u64 = 4;

/// The engines: name, zone and machine type.
const ENGINES: [(&str, &str, &str); 4] =
    [("s-0", "dc", "k"), ("s-1", "east", "m"), ("s-2", "west", "k"), ("s-3", "dc", "m")];

/// A proxy with engines of its own.
struct Side {
    proxy: Proxy,
    engines: Vec<RecordingEngine>,
    log: std::path::PathBuf,
}

impl Side {
    fn start(configuration: &DrawnConfiguration, log: std::path::PathBuf) -> Self {
        let engines: Vec<RecordingEngine> =
            ENGINES.iter().map(|(name, zone, kind)| RecordingEngine::start(name, zone, kind)).collect();
        let entries: Vec<&str> = engines.iter().map(|engine| engine.entry.as_str()).collect();
        let members = format!(r#""members":[{}]"#, entries.join(","));
        let edit_config = |file: String| configuration.apply_to(&file.replace(r#""members":[]"#, &members));
        let launch = Launch { log: Some(log.clone()), edit_config: &edit_config, ..Launch::new(&[]) };
        Side { proxy: launch.start(), engines, log }
    }

    /// Checks where the attempts of a request have arrived.
    fn check_request(&self, id: u64, class: &DrawnClass, configuration: &DrawnConfiguration) {
        let id = format!("{id:016x}");
        let mut attempts = 0;
        let mut zones = BTreeSet::new();
        for ((name, zone, kind), engine) in ENGINES.iter().zip(&self.engines) {
            let received = engine.received().get(&id).copied().unwrap_or(0);
            if received == 0 {
                continue;
            }
            attempts += received;
            zones.insert(zone);
            assert!(
                class.zones.contains(zone) && class.machine_types.contains(kind),
                "{id} of {class:?} at {name}"
            );
        }
        assert!(attempts <= configuration.max_attempts as usize, "{attempts} attempts of {id} of {class:?}");
        match class.effect {
            "unsafe" => assert!(attempts <= 1, "{id} of {class:?} has run {attempts} times"),
            "keyed" => assert!(zones.len() <= 1, "{id} of {class:?} has run in {zones:?}"),
            _ => {}
        }
    }

    /// Sends requests of all classes and tenants, and returns the responses, without the text of errors.
    fn responses(&self, configuration: &DrawnConfiguration) -> Vec<(&'static str, &'static str, String)> {
        let (mut client, mut responses) = (self.proxy.client(), Vec::new());
        let mut id = 0;
        for class in CLASSES {
            for tenant in ["", "acme", "beta", "core"] {
                id += 1;
                let response = request(&mut client, class, tenant, id);
                responses.push((class, tenant, response.chars().take("E 53000".len()).collect()));
                if let Some(class) = configuration.class(class) {
                    self.check_request(id, class, configuration);
                }
            }
        }
        responses
    }

    /// Sends requests while engines lose the first attempt of each, and checks where they run.
    fn check_lossy(&self, configuration: &DrawnConfiguration) {
        self.engines.iter().for_each(|engine| engine.loses_first_attempts(true));
        let mut client = self.proxy.client();
        for (class_number, class) in (1..).zip(&configuration.classes) {
            for id in (0..LOSSY_REQUESTS).map(|number| class_number * 1_000 + number) {
                request(&mut client, class.name, "", id);
                self.check_request(id, class, configuration);
            }
        }
    }
}

fn request(client: &mut Client, class: &str, tenant: &str, id: u64) -> String {
    let tenant = if tenant.is_empty() { String::new() } else { format!(",acct={tenant}") };
    client.request(&format!(
        "/* method={class},rid={id:016x},budget={BUDGET_MS},est=20{tenant} */ SELECT a FROM sales_17.orders"
    ))
}

fn play(seed: u32) {
    let mut random = Rand32::new(u64::from(seed));
    let reloads = random.rand_range(1..MAX_RELOADS + 1);
    let configurations: Vec<DrawnConfiguration> =
        (0..=reloads).map(|_| DrawnConfiguration::draw(&mut random)).collect();
    let (first, last) = (&configurations[0], &configurations[configurations.len() - 1]);
    println!("seed {seed}: {configurations:#?}");
    let folder = tempfile::tempdir().unwrap();
    let mut reloaded = Side::start(first, folder.path().join("reloaded"));
    let mut started = Side::start(last, folder.path().join("started"));
    for configuration in &configurations[1..] {
        // The statement is served or rejected under the settings before the reload.
        request(&mut reloaded.proxy.client(), CLASSES[0], "", 0xffff_0000 + u64::from(seed));
        reloaded.proxy.reload_edited(&|file| configuration.apply_to(&file), "/sighup_applied");
    }
    std::thread::scope(|scope| {
        let expected = scope.spawn(|| started.responses(last));
        assert_eq!(reloaded.responses(last), expected.join().unwrap(), "seed {seed}");
        scope.spawn(|| started.check_lossy(last));
        reloaded.check_lossy(last);
    });
    for side in [&mut reloaded, &mut started] {
        side.proxy.signal("-TERM");
    }
    for side in [&mut reloaded, &mut started] {
        assert!(side.proxy.wait().success());
    }
    assert_eq!(
        logged_response_window_ms(&reloaded.log),
        logged_response_window_ms(&started.log),
        "seed {seed}: response window"
    );
}

/// Plays pairs of configurations; `GAUGESTEP_RELOAD_SEEDS=FIRST..END` plays other seeds.
#[test]
fn a_proxy_that_reloads_a_configuration_acts_like_one_that_was_started_with_it() {
    let seeds = match std::env::var("GAUGESTEP_RELOAD_SEEDS") {
        Err(_) => DEFAULT_SEEDS,
        Ok(text) => {
            let (first, end) = text.split_once("..").expect("GAUGESTEP_RELOAD_SEEDS is FIRST..END");
            first.parse().unwrap()..end.parse().unwrap()
        }
    };
    seeds.for_each(play);
}
