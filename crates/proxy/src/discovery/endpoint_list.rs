//! The list of endpoints, and what its changes mean for the proxy.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, OnceLock};

use gaugestep_dispatch::interface::{CellId, EngineEntry, EngineId, MachineTypeId, Readiness, ZoneId};
use serde_json::Value;

use super::endpoint::{Endpoint, EndpointUpdate};
use crate::lock;
use crate::request_lifecycle::RequestHandler;

/// Called when the list has changed.
type ChangeListener = Box<dyn Fn() + Send + Sync>;

/// The databases as the coordinator lists them.
pub struct EndpointList {
    handler: Arc<RequestHandler>,
    known: Mutex<KnownEndpoints>,
    on_change: OnceLock<ChangeListener>,
}

/// What is known of the list.
#[derive(Default)]
struct KnownEndpoints {
    /// The number of the last event.
    last_event: u64,
    /// The endpoints that are listed, by name. One that is removed is forgotten, and its engine's number is not used again.
    endpoints: HashMap<String, Endpoint>,
    next_engine: u32,
}

impl EndpointList {
    /// An empty list, whose changes are passed on to the dispatcher and the connections of `handler`.
    pub fn new(handler: Arc<RequestHandler>) -> Self {
        EndpointList { handler, known: Mutex::default(), on_change: OnceLock::new() }
    }

    /// How many databases are listed.
    pub fn len(&self) -> usize {
        lock(&self.known).endpoints.len()
    }

    /// The endpoints by name; none before the first list has come.
    pub fn endpoints(&self) -> Option<Vec<(String, Endpoint)>> {
        let known = lock(&self.known);
        let named = known.endpoints.iter().map(|(name, endpoint)| (name.clone(), endpoint.clone())).collect();
        (known.last_event > 0).then_some(named)
    }

    /// Has `listener` called whenever the list has changed, with [`RequestHandler::update_lock`] held. There can be one.
    pub fn set_change_listener(&self, listener: ChangeListener) {
        let _ = self.on_change.set(listener);
    }

    /// The number of the last event that was applied.
    pub fn last_event(&self) -> u64 {
        lock(&self.known).last_event
    }

    /// Applies the events of a configuration, whose last one has this number. Those that are known are skipped.
    pub fn apply_known(&self, last_event: u64, events: &[Value]) {
        for event in events {
            // The first event may have no number of its own.
            self.apply_event(event["index"].as_u64().or(Some(last_event)), event);
        }
        let mut known = lock(&self.known);
        known.last_event = known.last_event.max(last_event);
    }

    /// Applies an event, unless it or a later one has been applied: the coordinator may send an event twice, and so may a
    /// new configuration.
    pub fn apply_event(&self, number: Option<u64>, event: &Value) {
        let Some(number) = number else { return tracing::warn!("an event without a number is ignored") };
        {
            let mut known = lock(&self.known);
            if number <= known.last_event {
                return;
            }
            known.last_event = number;
        }
        self.apply(event);
    }

    /// Applies an event. What cannot be decoded is logged and skipped.
    fn apply(&self, event: &Value) {
        let _update = lock(&self.handler.update_lock);
        let list = &event["endpoints"];
        let complete = list["complete"].as_bool().unwrap_or(false);
        let Some(members) = list["members"].as_array() else {
            return tracing::warn!("an event without members is ignored");
        };
        let mut entries = Vec::with_capacity(members.len());
        for member in members {
            match EndpointUpdate::decode(member) {
                Ok(update) => entries.extend(self.apply_update(&update)),
                Err(error) => tracing::warn!("an endpoint is ignored: {error}"),
            }
        }
        if complete {
            self.retain_only(&entries);
        }
        tracing::info!(complete, members = entries.len(), "databases listed");
        self.handler.facade.update_engines(entries, complete);
        if let Some(on_change) = self.on_change.get() {
            on_change();
        }
    }

    /// Removes all databases but these.
    fn retain_only(&self, entries: &[EngineEntry]) {
        let engines: Vec<EngineId> = entries.iter().map(|entry| entry.engine).collect();
        lock(&self.known).endpoints.retain(|_, endpoint| engines.contains(&endpoint.engine));
        self.handler.upstream_pool.retain_only(&engines);
    }

    /// Applies what an event says about one endpoint. Returns the entry for the dispatcher; none if the endpoint is removed
    /// and was never listed.
    fn apply_update(&self, update: &EndpointUpdate) -> Option<EngineEntry> {
        let Some(engine) = self.record(update) else {
            tracing::warn!(name = update.name, "an endpoint is removed that was not listed");
            return None;
        };
        let EndpointUpdate { name, address, readiness, .. } = *update;
        self.handler.upstream_pool.update_endpoint(engine, address, readiness);
        tracing::info!(name, ?readiness, engine = engine.0, ?address, "database");
        let names = &self.handler.names;
        Some(EngineEntry {
            engine,
            zone: ZoneId(position(&names.zones, update.zone).unwrap_or(0)),
            machine_type: MachineTypeId(position(&names.machines, update.kind).unwrap_or(usize::MAX)),
            cell: CellId(update.cell),
            readiness,
            started_at: update.up_since.map(|at| self.handler.facade.at_unix(at)),
            name_key: gaugestep_subsetting::key(name),
        })
    }

    /// Records an endpoint, or forgets one that is removed. Returns its engine; none if the endpoint is removed and was never
    /// listed.
    fn record(&self, update: &EndpointUpdate) -> Option<EngineId> {
        let mut known = lock(&self.known);
        if update.readiness == Readiness::Gone {
            return known.endpoints.remove(update.name).map(|endpoint| endpoint.engine);
        }
        let engine = match known.endpoints.get(update.name) {
            Some(endpoint) => endpoint.engine,
            None => {
                known.next_engine += 1;
                EngineId(known.next_engine - 1)
            }
        };
        let endpoint = Endpoint {
            engine,
            zone: update.zone.unwrap_or_default().to_owned(),
            kind: update.kind.unwrap_or_default().to_owned(),
            cell: update.cell,
            readiness: update.readiness,
        };
        known.endpoints.insert(update.name.to_owned(), endpoint);
        Some(engine)
    }
}

fn position(names: &[String], name: Option<&str>) -> Option<usize> {
    names.iter().position(|other| Some(other.as_str()) == name)
}
