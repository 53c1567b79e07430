#![forbid(unsafe_code)]
//! Keeps the log filters of operators working when modules are moved or renamed.
//!
//! `GAUGESTEP_LOG` and `logging.parts` of a published document name log targets. A target is the path of the
//! module that writes the line, so it changes when the module is moved or renamed. For each directive that
//! names a module by a former path, [`expand`] adds the same directive for the module's current path. The
//! rest of the filter is unchanged.

/// A module that was moved or renamed: its current log target and its former ones.
struct MovedModule {
    /// The current log target. If the module was split, the common prefix of the targets of its parts.
    current: &'static str,
    /// Former log targets, which filters of operators may still name.
    former: &'static [&'static str],
}

const fn moved(current: &'static str, former: &'static [&'static str]) -> MovedModule {
    MovedModule { current, former }
}

/// Every module whose log target has changed, in alphabetical order of the current path.
const MOVED_MODULES: &[MovedModule] = &[
    moved(
        "gaugestep_control_plane::cli",
        &["gaugestep_control::cli", "gaugestep_control::commands", "gaugestep_control::group_commands"],
    ),
    moved("gaugestep_control_plane::cli::admin_client", &["gaugestep_control::call"]),
    moved("gaugestep_control_plane::client", &["gaugestep_control::follow"]),
    moved("gaugestep_control_plane::raft::codec", &["gaugestep_control::raft_wire"]),
    moved("gaugestep_control_plane::raft::driver", &["gaugestep_control::node"]),
    moved("gaugestep_control_plane::raft::recovery", &["gaugestep_control::opened"]),
    moved("gaugestep_control_plane::raft::replica", &["gaugestep_control::group"]),
    moved("gaugestep_control_plane::raft::storage", &["gaugestep_control::raft_log"]),
    moved("gaugestep_control_plane::raft::transport", &["gaugestep_control::peers"]),
    moved("gaugestep_control_plane::server", &["gaugestep_control::service"]),
    moved("gaugestep_control_plane::server::admin", &["gaugestep_control::calls"]),
    moved("gaugestep_control_plane::server::hand_over", &["gaugestep_control::calls"]),
    moved("gaugestep_control_plane::server::rollout_driver", &["gaugestep_control::driving"]),
    moved("gaugestep_control_plane::server::roster_service", &["gaugestep_control::seating"]),
    moved("gaugestep_control_plane::transport::connection", &["gaugestep_control::channel"]),
    moved("gaugestep_control_plane::transport::framing", &["gaugestep_control::frame"]),
    moved("gaugestep_control_plane::transport::tls", &["gaugestep_control::keys"]),
    moved("gaugestep_coroutine_io::task", &["gaugestep_coio::task"]),
    moved("gaugestep_proxy::admin", &["gaugestep::net::ops"]),
    moved("gaugestep_proxy::class_registry", &["gaugestep::net::classes"]),
    moved("gaugestep_proxy::config_applier", &["gaugestep::net::versions"]),
    moved("gaugestep_proxy::discovery", &["gaugestep::net::coordinator"]),
    moved(
        "gaugestep_proxy::downstream",
        &[
            "gaugestep::net::front",
            "gaugestep::net::front::fields",
            "gaugestep::net::front::message",
            "gaugestep::net::front::pg",
        ],
    ),
    moved("gaugestep_proxy::facade", &["gaugestep::facade"]),
    moved("gaugestep_proxy::request_lifecycle", &["gaugestep::net::relay"]),
    moved("gaugestep_proxy::server", &["gaugestep::net::server"]),
    moved("gaugestep_proxy::termination", &["gaugestep::net::ending"]),
    moved("gaugestep_proxy::upstream", &["gaugestep::net::back", "gaugestep::net::back::lines"]),
];

/// Returns the directives of a filter, preceded by a copy under the current path of each one that names a
/// former path.
///
/// `directives` is a comma-separated list in the syntax of [`EnvFilter`], where a directive applies to every
/// target that begins with the one it names, and the most specific directive wins. Both rules also hold for
/// former paths: a module has the level that it would have had under its former path. A directive that names
/// a module by its current path wins over one that names it by a former path.
///
/// [`EnvFilter`]: https://docs.rs/tracing-subscriber/latest/tracing_subscriber/filter/struct.EnvFilter.html
#[must_use]
pub fn expand(directives: &str) -> String {
    let given: Vec<Directive> = directives.split(',').map(Directive::parse).collect();
    let mut expanded = Vec::new();
    // Outer modules come before the modules inside them, as the table is in alphabetical order of paths.
    let mut named_by_former_path: Vec<&MovedModule> = Vec::new();
    for module in MOVED_MODULES {
        let matching = most_specific_last(&given, |target| module.is_named_by_former_path(target));
        let is_inner = named_by_former_path.iter().any(|outer| is_within(module.current, outer.current));
        if matching.is_empty() && is_inner {
            expanded.push(unchanged_level(module, &given));
        }
        if !matching.is_empty() {
            named_by_former_path.push(module);
        }
        expanded.extend(matching.iter().map(|directive| format!("{}{}", module.current, directive.rest)));
    }
    expanded.extend(given.iter().map(|directive| format!("{}{}", directive.target, directive.rest)));
    expanded.join(",")
}

/// One directive of a filter.
struct Directive<'a> {
    /// The target, which may be empty; for a bare level, the name of the level.
    target: &'a str,
    /// The rest of the directive: an optional span and an optional level, with their punctuation.
    rest: &'a str,
}

impl<'a> Directive<'a> {
    fn parse(text: &'a str) -> Self {
        let (target, rest) = text.split_at(text.find(['[', '=']).unwrap_or(text.len()));
        Directive { target, rest }
    }

    /// Whether the directive is only a level, which applies to all targets.
    fn is_bare_level(&self) -> bool {
        const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
        self.rest.is_empty() && LEVELS.iter().any(|level| self.target.trim().eq_ignore_ascii_case(level))
    }
}

impl MovedModule {
    /// Whether a directive for `target` applied to this module under a former path and does not apply to its
    /// current path.
    fn is_named_by_former_path(&self, target: &str) -> bool {
        self.former.iter().any(|path| path.starts_with(target)) && !self.current.starts_with(target)
    }
}

/// Whether the path `module` lies inside the module with the path `outer`.
fn is_within(module: &str, outer: &str) -> bool {
    module.strip_prefix(outer).is_some_and(|rest| rest.starts_with("::"))
}

/// Returns the directives whose target is accepted, the most specific ones last: in [`EnvFilter`] a later
/// directive replaces an earlier one for the same target.
///
/// [`EnvFilter`]: https://docs.rs/tracing-subscriber/latest/tracing_subscriber/filter/struct.EnvFilter.html
fn most_specific_last<'a>(
    given: &'a [Directive<'a>],
    accepts: impl Fn(&str) -> bool,
) -> Vec<&'a Directive<'a>> {
    let mut matching: Vec<&Directive> =
        given.iter().filter(|directive| accepts(directive.target.trim())).collect();
    matching.sort_by_key(|directive| directive.target.len());
    matching
}

/// Returns a directive that keeps `module` at the level that it would have without a directive added for an
/// outer module.
fn unchanged_level(module: &MovedModule, given: &[Directive]) -> String {
    let by_path =
        most_specific_last(given, |target| !target.is_empty() && module.current.starts_with(target));
    if let Some(directive) = by_path.last() {
        return format!("{}{}", module.current, directive.rest);
    }
    let bare_level = given.iter().rev().find(|directive| directive.is_bare_level());
    format!("{}={}", module.current, bare_level.map_or("off", |directive| directive.target.trim()))
}
