//! Pins the behaviour of the dispatcher: the same seed and the same events lead to the same actions.
//!
//! A simulated embedder generates streams of events under several profiles of settings, fleet and traffic,
//! and carries out the dispatcher's actions. A digest of all actions of each stream, with counts of its
//! events and actions, is compared with `tests/golden/action_digests.txt`. A change that is meant to preserve
//! behaviour must not change that file.
//!
//! - `GAUGESTEP_WRITE_GOLDEN=1 cargo test --test action_digest` rewrites the file, for an intended change of
//!   behaviour.
//! - `GAUGESTEP_ACTION_TRACE=DIR cargo test --test action_digest` writes the digested text of each stream to
//!   a file in that folder; a `diff` with the files of an earlier commit shows the first decision that
//!   differs.
//!
//! Decisions use `exp` and `ln` of the platform's math library, which may differ in the last bit between
//! platforms.

#[path = "action_digest/encoding.rs"]
mod encoding;
#[path = "action_digest/profiles.rs"]
mod profiles;
#[path = "action_digest/recorder.rs"]
mod recorder;
#[path = "action_digest/simulation.rs"]
mod simulation;

use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};

use profiles::{Profile, profiles};
use recorder::{Coverage, Recorder};
use simulation::Simulation;

/// The seeds with which each profile is simulated.
const SEEDS: [u64; 3] = [1, 2, 3];
/// The minimum number of events in all streams together.
const MIN_EVENTS: u64 = 100_000;
/// The number of open requests above which the dispatcher defers placement to `run_pending`.
const DEFERRED_ABOVE_OPEN: usize = 300;
/// The environment variable that, set to 1, makes the test rewrite the golden file.
const WRITE_GOLDEN: &str = "GAUGESTEP_WRITE_GOLDEN";
/// The environment variable with the folder to which the digested text of each stream is written.
const ACTION_TRACE: &str = "GAUGESTEP_ACTION_TRACE";

/// The results of all streams.
#[derive(Default)]
struct StreamResults {
    /// The text of the golden file.
    text: String,
    events: u64,
    coverage: Coverage,
}

fn golden_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/action_digests.txt")
}

fn simulate(profile: &Profile, seed: u64) -> Recorder {
    let folder = std::env::var_os(ACTION_TRACE).map(PathBuf::from);
    let trace = folder.map(|folder| folder.join(format!("{}-{seed}.txt", profile.name)));
    Simulation::run_stream(profile, seed, trace.as_deref())
}

/// Simulates a profile with all seeds in parallel. The records are in the order of the seeds.
fn simulate_all_seeds(profile: &Profile) -> Vec<(u64, Recorder)> {
    std::thread::scope(|scope| {
        let streams = SEEDS.map(|seed| (seed, scope.spawn(move || simulate(profile, seed))));
        let record = |(seed, stream): (u64, std::thread::ScopedJoinHandle<Recorder>)| {
            (seed, stream.join().expect("the simulation of a stream does not panic"))
        };
        streams.into_iter().map(record).collect()
    })
}

/// Simulates a profile with all seeds and adds the results.
fn add_profile(results: &mut StreamResults, profile: &Profile) {
    let mut coverage = Coverage::default();
    let text = &mut results.text;
    writeln!(text, "profile {}", profile.name).expect("a string takes any text");
    for (seed, recorder) in simulate_all_seeds(profile) {
        let events = recorder.events;
        results.events += events;
        coverage.merge(&recorder.coverage);
        writeln!(text, "  seed {seed}: events {events}, sha256 {}", recorder.digest())
            .expect("a string takes any text");
    }
    let lines = [
        format!("actions: {}", coverage.actions.text()),
        format!("rejections: {}", coverage.rejections.text()),
        format!("events: {}", coverage.events.text()),
        format!("outcomes: {}", coverage.outcomes.text()),
        format!("progress: {}", coverage.progress.text()),
        format!("run_pending calls with actions: {}", coverage.pending_runs),
        format!("most open: {}, most avoided: {}", coverage.most_open, coverage.most_ejected),
    ];
    for line in lines {
        writeln!(text, "  {line}").expect("a string takes any text");
    }
    results.coverage.merge(&coverage);
}

fn simulate_all() -> StreamResults {
    let mut results = StreamResults::default();
    for profile in profiles() {
        add_profile(&mut results, &profile);
    }
    results
}

#[test]
fn actions_are_those_of_the_golden_file() {
    let results = simulate_all();
    assert_eq!(
        results.coverage.missing(),
        Vec::<&str>::new(),
        "kinds that never occurred:\n{}",
        results.text
    );
    assert!(results.events >= MIN_EVENTS, "only {} events", results.events);
    assert!(results.coverage.most_open > DEFERRED_ABOVE_OPEN, "overload must be covered");
    assert!(results.coverage.pending_runs > 0, "deferred placement must be covered");
    assert!(results.coverage.most_ejected > 0, "ejections must be covered");
    if std::env::var(WRITE_GOLDEN).is_ok_and(|value| value == "1") {
        return fs::write(golden_path(), results.text).expect("the golden file can be written");
    }
    let golden = fs::read_to_string(golden_path()).expect("the golden file can be read");
    assert!(
        golden == results.text,
        "actions differ from the golden file; the actual ones are:\n{}",
        results.text
    );
}
