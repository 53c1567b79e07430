//! Pins the decision module: the same seed and the same events lead to the same actions.
//!
//! A simulated embedder plays streams of events under several profiles of settings, fleet and traffic, and reacts to what the
//! module wants done. A digest of all actions of each stream, with counts of what came, is compared with
//! `tests/golden/action_digests.txt`. A change that is to keep behaviour must not change that file.
//!
//! - `GAUGESTEP_WRITE_GOLDEN=1 cargo test --test action_digest` rewrites the file, for a change of behaviour that is meant.
//! - `GAUGESTEP_ACTION_TRACE=DIR cargo test --test action_digest` writes the text behind each digest to a file in that folder;
//!   a `diff` with the files of an earlier commit shows the first decision that differs.
//!
//! Decisions use `exp` and `ln` of the platform's mathematical library, which may differ in the last place between platforms.

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

/// The seeds that each profile is played with.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Events in all streams together, at the least.
const LEAST_EVENTS: u64 = 100_000;
/// Open requests above which the module defers placement to a call of its own.
const DEFERRED_ABOVE_OPEN: usize = 300;
/// Set to 1, the golden file is rewritten.
const WRITE_GOLDEN: &str = "GAUGESTEP_WRITE_GOLDEN";
/// Set to a folder, the text behind each digest is written there.
const ACTION_TRACE: &str = "GAUGESTEP_ACTION_TRACE";

/// What all streams gave.
#[derive(Default)]
struct PlayedStreams {
    /// The text of the golden file.
    text: String,
    events: u64,
    coverage: Coverage,
}

fn golden_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/action_digests.txt")
}

fn play(profile: &Profile, seed: u64) -> Recorder {
    let folder = std::env::var_os(ACTION_TRACE).map(PathBuf::from);
    let trace = folder.map(|folder| folder.join(format!("{}-{seed}.txt", profile.name)));
    Simulation::play(profile, seed, trace.as_deref())
}

/// Plays a profile with all seeds, side by side; the records come in the order of the seeds.
fn play_all_seeds(profile: &Profile) -> Vec<(u64, Recorder)> {
    std::thread::scope(|scope| {
        let streams = SEEDS.map(|seed| (seed, scope.spawn(move || play(profile, seed))));
        let record = |(seed, stream): (u64, std::thread::ScopedJoinHandle<Recorder>)| {
            (seed, stream.join().expect("a stream is played without a panic"))
        };
        streams.into_iter().map(record).collect()
    })
}

/// Plays a profile with all seeds and adds what came of it.
fn add_profile(played: &mut PlayedStreams, profile: &Profile) {
    let mut coverage = Coverage::default();
    let text = &mut played.text;
    writeln!(text, "profile {}", profile.name).expect("a string takes any text");
    for (seed, recorder) in play_all_seeds(profile) {
        let events = recorder.events;
        played.events += events;
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
        format!("most open: {}, most avoided: {}", coverage.most_open, coverage.most_avoided),
    ];
    for line in lines {
        writeln!(text, "  {line}").expect("a string takes any text");
    }
    played.coverage.merge(&coverage);
}

fn play_all() -> PlayedStreams {
    let mut played = PlayedStreams::default();
    for profile in profiles() {
        add_profile(&mut played, &profile);
    }
    played
}

#[test]
fn actions_are_those_of_the_golden_file() {
    let played = play_all();
    assert_eq!(played.coverage.missing(), Vec::<&str>::new(), "kinds that never came:\n{}", played.text);
    assert!(played.events >= LEAST_EVENTS, "only {} events", played.events);
    assert!(played.coverage.most_open > DEFERRED_ABOVE_OPEN, "overload must be covered");
    assert!(played.coverage.pending_runs > 0, "deferred placement must be covered");
    assert!(played.coverage.most_avoided > 0, "engines must be avoided");
    if std::env::var(WRITE_GOLDEN).is_ok_and(|value| value == "1") {
        return fs::write(golden_path(), played.text).expect("the golden file can be written");
    }
    let golden = fs::read_to_string(golden_path()).expect("the golden file is there");
    assert!(golden == played.text, "actions differ from the golden file; now they are:\n{}", played.text);
}
