#![forbid(unsafe_code)]
//! Keeps the log filters of operators working when modules move.
//!
//! `GAUGESTEP_LOG` and `logging.parts` of a published document name log targets. A target is the path of the module that
//! writes the line, so it changes when a module is moved or renamed. [`expand`] adds to each directive that names a module
//! by an earlier path the same directive for its present one. Directives are otherwise passed on as they are.

/// A module that was moved, by the log targets it had and has.
struct MovedModule {
    /// The path that operators may still name.
    former: &'static str,
    /// The path under which its lines are written today, or a prefix that all modules it was split into share.
    current: &'static str,
}

const fn moved(former: &'static str, current: &'static str) -> MovedModule {
    MovedModule { former, current }
}

/// Every module that ever wrote log lines under another path, in alphabetical order of the former path.
const MOVED_MODULES: &[MovedModule] = &[moved("gaugestep_coio::task", "gaugestep_coroutine_io::task")];

/// Returns the directives of a filter, with those that name a former path repeated for the present one.
///
/// `directives` is a list separated by commas, as [`EnvFilter`] takes it. A directive holds for every target that begins
/// with the one it names, and the most specific directive wins; both stay true of former paths. Where directives for a
/// former path and for the present one meet, the latter wins.
///
/// [`EnvFilter`]: https://docs.rs/tracing-subscriber/latest/tracing_subscriber/filter/struct.EnvFilter.html
#[must_use]
pub fn expand(directives: &str) -> String {
    let given: Vec<&str> = directives.split(',').collect();
    // A later directive replaces an earlier one for the same target, so the most specific former path comes last.
    let mut by_length = given.clone();
    by_length.sort_by_key(|directive| target_of(directive).len());
    let translated = by_length.into_iter().flat_map(translations);
    translated.chain(given.iter().map(|directive| (*directive).to_owned())).collect::<Vec<_>>().join(",")
}

/// The same directive for the present path of each module that it holds for by its former path only.
fn translations(directive: &str) -> impl Iterator<Item = String> {
    let target = target_of(directive);
    let rest = &directive[target.len()..];
    let target = target.trim();
    let applies =
        move |module: &&MovedModule| module.former.starts_with(target) && !module.current.starts_with(target);
    MOVED_MODULES.iter().filter(applies).map(move |module| format!("{}{rest}", module.current))
}

/// The part of a directive that names the target: what stands before a span or a level.
fn target_of(directive: &str) -> &str {
    directive.split(['[', '=']).next().unwrap_or_default()
}
