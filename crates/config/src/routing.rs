//! Which classes a document serves and which engines its routes leave for a request.

use crate::proxy_state::{Engine, EngineState};
use crate::schema::route::Otherwise;
use crate::schema::target::Which;
use crate::{Document, schema};

/// Weight of a target that names none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Whether a class is served under the document. One that names no classes serves all.
pub fn serves(document: &Document, class: &str) -> bool {
    document.classes.is_empty() || document.classes.iter().any(|name| name == class)
}

/// The weight of an engine in a route: that of the first target which matches it; `None` if none does.
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

/// Whether any engine that the route matches takes work.
pub fn has_usable_engine(route: &schema::Route, engines: &[Engine]) -> bool {
    engines.iter().any(|engine| engine.state == EngineState::Up && weight(route, engine).is_some())
}

/// Whether requests on the route wait while none of its engines takes work, rather than use any other.
pub(crate) fn is_strict(route: &schema::Route) -> bool {
    route.otherwise == Otherwise::Wait as i32
}

/// An engine with its weight in a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedEngine {
    /// The engine's name.
    pub name: String,
    /// Its weight.
    pub weight: f64,
}

/// A route with the engines that it matches at the moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRoute {
    /// Its name.
    pub name: String,
    /// The classes that it applies to; empty: all.
    pub classes: Vec<String>,
    /// The tenants that it applies to; empty: all.
    pub tenants: Vec<String>,
    /// The engines, also those that are draining, which get nothing new anyway. `None` if any engine may be used, as none
    /// of the route's takes work and the route allows others.
    pub engines: Option<Vec<WeightedEngine>>,
}

/// The routes of a document among the engines that are listed, in their order: the first that applies to a request decides.
/// To be resolved again whenever the list changes.
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
