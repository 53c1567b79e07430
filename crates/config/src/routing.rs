//! The classes that a document serves, and the engines that its routes allow for a request.

use crate::proxy_state::{Engine, EngineState};
use crate::schema::route::Otherwise;
use crate::schema::target::Which;
use crate::{Document, schema};

/// The weight of a target that sets none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Whether the document serves a class. A document that names no classes serves all of them.
pub fn serves(document: &Document, class: &str) -> bool {
    document.classes.is_empty() || document.classes.iter().any(|name| name == class)
}

/// The weight of an engine in a route, which is that of the first target that matches the engine; `None` if
/// no target does.
pub fn weight(route: &schema::Route, engine: &Engine) -> Option<f64> {
    let matches = |target: &&schema::Target| match &target.which {
        Some(Which::Engine(name)) => *name == engine.name,
        Some(Which::Kind(name)) => *name == engine.kind,
        Some(Which::Zone(name)) => *name == engine.zone,
        Some(Which::Cell(cell)) => *cell == engine.cell,
        None => false,
    };
    route.targets.iter().find(matches).map(|target| target.weight.unwrap_or(DEFAULT_WEIGHT))
}

/// Whether any engine that a target of the route matches accepts work.
pub fn has_usable_engine(route: &schema::Route, engines: &[Engine]) -> bool {
    engines.iter().any(|engine| engine.state == EngineState::Up && weight(route, engine).is_some())
}

/// Whether requests on the route wait while none of its engines accepts work, rather than use any other
/// engine.
pub(crate) fn is_strict(route: &schema::Route) -> bool {
    route.otherwise == Otherwise::Wait as i32
}

/// An engine with its weight in a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedEngine {
    /// The id of the engine in the discovery list.
    pub name: String,
    /// The weight of the engine relative to the other engines of the route.
    pub weight: f64,
}

/// A route with the engines of the discovery list that it matches.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRoute {
    /// The name of the route.
    pub name: String,
    /// The classes that it applies to; empty if it applies to all.
    pub classes: Vec<String>,
    /// The tenants that it applies to; empty if it applies to all.
    pub tenants: Vec<String>,
    /// The engines, including those that are draining, which get no new work in any case. `None` if any
    /// engine may be used, as none of the route's engines accepts work and the route allows other engines
    /// then.
    pub engines: Option<Vec<WeightedEngine>>,
}

/// Resolves the routes of a document to engines of the discovery list, in the order of the document: the
/// first route that applies to a request determines its engines. The routes have to be resolved again
/// whenever the list changes.
pub fn resolve(document: &Document, engines: &[Engine]) -> Vec<ResolvedRoute> {
    document.routes.iter().map(|route| resolve_route(route, engines)).collect()
}

fn resolve_route(route: &schema::Route, engines: &[Engine]) -> ResolvedRoute {
    let weighted = |engine: &Engine| {
        let weight = weight(route, engine)?;
        Some(WeightedEngine { name: engine.name.clone(), weight })
    };
    let is_restricted = is_strict(route) || has_usable_engine(route, engines);
    ResolvedRoute {
        name: route.name.clone(),
        classes: route.classes.clone(),
        tenants: route.tenants.clone(),
        engines: is_restricted.then(|| engines.iter().filter_map(weighted).collect()),
    }
}
