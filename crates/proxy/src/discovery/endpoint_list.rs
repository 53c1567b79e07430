//! The endpoint list. Its changes are applied to the dispatcher and to the connections to engines.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use gaugestep_dispatch::interface::{CellId, EngineEntry, EngineId, Readiness};
use serde_json::Value;

use super::endpoint::{Endpoint, EndpointUpdate};
use crate::lock;
use crate::request_lifecycle::RequestHandler;

/// Called when the list has changed.
type ChangeListener = Box<dyn Fn() + Send + Sync>;

/// The engines on the coordinator's list.
pub struct EndpointList {
    handler: Arc<RequestHandler>,
    state: Mutex<ListState>,
    on_change: OnceLock<ChangeListener>,
}

/// The content of the list.
#[derive(Default)]
struct ListState {
    /// Index of the last event that was applied; 0 before the first one.
    last_event_index: u64,
    /// The listed endpoints by name. A removed endpoint is deleted, and its engine id is not used again.
    endpoints: HashMap<String, Endpoint>,
    /// The names of the listed endpoints by their addresses.
    names_by_address: HashMap<SocketAddr, String>,
    /// Engine id for the next new endpoint.
    next_engine: u32,
}

impl EndpointList {
    /// Creates an empty list, whose changes are applied to the dispatcher and the connections of `handler`.
    pub fn new(handler: Arc<RequestHandler>) -> Self {
        EndpointList { handler, state: Mutex::default(), on_change: OnceLock::new() }
    }

    /// Returns the number of listed engines.
    pub fn len(&self) -> usize {
        lock(&self.state).endpoints.len()
    }

    /// Returns the endpoints with their names; `None` before the first event has been applied.
    pub fn endpoints(&self) -> Option<Vec<(String, Endpoint)>> {
        let state = lock(&self.state);
        let entries = state.endpoints.iter();
        let endpoints = entries.map(|(name, endpoint)| (name.clone(), endpoint.clone())).collect();
        (state.last_event_index > 0).then_some(endpoints)
    }

    /// Sets the function that is called after each change of the list, while [`RequestHandler::update_lock`]
    /// is locked. Only the first call has an effect.
    pub fn set_change_listener(&self, listener: ChangeListener) {
        let _ = self.on_change.set(listener);
    }

    /// Returns the index of the last event that was applied; 0 before the first one.
    pub fn last_event_index(&self) -> u64 {
        lock(&self.state).last_event_index
    }

    /// Applies the events of a configuration file, whose last event has the index `last_event_index`.
    /// Events that have been applied before are skipped.
    pub fn apply_configured_events(&self, last_event_index: u64, events: &[Value]) {
        for event in events {
            // An event without its own index has that of the last event.
            self.apply_event(event["index"].as_u64().or(Some(last_event_index)), event);
        }
        let mut state = lock(&self.state);
        state.last_event_index = state.last_event_index.max(last_event_index);
    }

    /// Applies an event, unless this or a later event has been applied: the coordinator may send an event
    /// twice, and a new configuration file may contain earlier events.
    pub fn apply_event(&self, index: Option<u64>, event: &Value) {
        let Some(index) = index else { return tracing::warn!("discovery event without an index ignored") };
        {
            let mut state = lock(&self.state);
            if index <= state.last_event_index {
                return;
            }
            state.last_event_index = index;
        }
        self.apply(event);
    }

    /// Applies an event. Entries that cannot be decoded are logged and skipped.
    fn apply(&self, event: &Value) {
        let _update = lock(&self.handler.update_lock);
        let list = &event["endpoints"];
        let complete = list["complete"].as_bool().unwrap_or(false);
        let Some(members) = list["members"].as_array() else {
            return tracing::warn!("discovery event without members ignored");
        };
        let mut entries = Vec::with_capacity(members.len());
        for member in members {
            match EndpointUpdate::decode(member) {
                Ok(update) => self.apply_update(update, &mut entries),
                Err(error) => tracing::warn!("endpoint of a discovery event ignored: {error}"),
            }
        }
        if complete {
            self.retain_only(&entries);
        }
        tracing::info!(complete, members = entries.len(), "endpoint list updated");
        self.handler.facade.update_engines(entries, complete);
        if let Some(on_change) = self.on_change.get() {
            on_change();
        }
    }

    /// Removes all engines except those of `entries`.
    fn retain_only(&self, entries: &[EngineEntry]) {
        let engines: Vec<EngineId> = entries.iter().map(|entry| entry.engine).collect();
        lock(&self.state).retain_only(&engines);
        self.handler.upstream_pool.retain_only(&engines);
    }

    /// Applies the update of one endpoint, and appends its entry for the dispatcher, if it is listed. An
    /// engine that another one replaces at its address is removed, because its process has gone.
    fn apply_update(&self, mut update: EndpointUpdate, entries: &mut Vec<EngineEntry>) {
        match lock(&self.state).conflict(&update) {
            None => {}
            Some(AddressConflict::Replaces(engine)) => {
                tracing::info!(
                    name = update.name,
                    replaced = engine.0,
                    "endpoint replaces another at its address"
                );
                self.handler.upstream_pool.update_endpoint(engine, None, Readiness::Gone, false);
                entries.push(EngineEntry { engine, readiness: Readiness::Gone, ..EngineEntry::default() });
            }
            Some(AddressConflict::IsReplaced) => update.readiness = Readiness::Gone,
        }
        let Some(StoredUpdate { engine, has_restarted }) = lock(&self.state).store(&update) else {
            return tracing::warn!(name = update.name, "removal of an endpoint that is not listed");
        };
        let EndpointUpdate { name, address, readiness, .. } = update;
        self.handler.upstream_pool.update_endpoint(engine, address, readiness, has_restarted);
        tracing::info!(name, ?readiness, engine = engine.0, ?address, has_restarted, "endpoint updated");
        let location_ids = &self.handler.location_ids;
        entries.push(EngineEntry {
            engine,
            zone: location_ids.zone(update.zone),
            machine_type: location_ids.machine_type(update.machine_type),
            cell: CellId(update.cell),
            readiness,
            started_at: update.up_since.map(|at| self.handler.facade.unix_to_clock(at)),
            name_key: gaugestep_subsetting::key(name),
        });
    }
}

/// Two endpoints of different names with the same address: only one process can listen there.
enum AddressConflict {
    /// The update replaces this engine, which is removed from the list.
    Replaces(EngineId),
    /// The update is about an engine that drains, and another one at its address is up already.
    IsReplaced,
}

/// The result of an update that is stored in the list.
struct StoredUpdate {
    engine: EngineId,
    /// Whether the update shows that the engine has started again.
    has_restarted: bool,
}

impl ListState {
    /// Resolves a conflict of the update's address with that of another endpoint: the later one replaces the
    /// earlier one, unless only the earlier one is up. Removes a replaced endpoint.
    fn conflict(&mut self, update: &EndpointUpdate) -> Option<AddressConflict> {
        let address = update.address.filter(|_| update.readiness != Readiness::Gone)?;
        let name = self.names_by_address.get(&address).filter(|name| *name != update.name)?.clone();
        let is_up = self.endpoints.get(&name)?.readiness == Readiness::Up;
        if update.readiness == Readiness::Draining && is_up {
            return Some(AddressConflict::IsReplaced);
        }
        self.remove(&name).map(|replaced| AddressConflict::Replaces(replaced.engine))
    }

    /// Removes an endpoint. Returns `None` if it is not listed.
    fn remove(&mut self, name: &str) -> Option<Endpoint> {
        let removed = self.endpoints.remove(name)?;
        if let Some(address) = removed.address {
            self.names_by_address.remove(&address);
        }
        Some(removed)
    }

    /// Removes all endpoints except those of `engines`.
    fn retain_only(&mut self, engines: &[EngineId]) {
        let engines: HashSet<EngineId> = engines.iter().copied().collect();
        self.endpoints.retain(|_, endpoint| engines.contains(&endpoint.engine));
        let endpoints = &self.endpoints;
        self.names_by_address.retain(|_, name| endpoints.contains_key(name));
    }

    /// Adds, changes or deletes an endpoint on the list. Returns `None` if the update removes an endpoint
    /// that is not listed.
    fn store(&mut self, update: &EndpointUpdate) -> Option<StoredUpdate> {
        if update.readiness == Readiness::Gone {
            let removed = self.remove(update.name)?;
            return Some(StoredUpdate { engine: removed.engine, has_restarted: false });
        }
        let listed = self.endpoints.get(update.name);
        let listed_since = listed.and_then(|endpoint| endpoint.up_since);
        let has_restarted = listed.is_some() && update.up_since.is_some_and(|at| Some(at) != listed_since);
        let listed_address = listed.and_then(|endpoint| endpoint.address);
        let address = update.address.or(listed_address);
        let engine = match listed {
            Some(endpoint) => endpoint.engine,
            None => {
                self.next_engine += 1;
                EngineId(self.next_engine - 1)
            }
        };
        let endpoint = Endpoint {
            engine,
            zone: update.zone.unwrap_or_default().to_owned(),
            machine_type: update.machine_type.unwrap_or_default().to_owned(),
            cell: update.cell,
            readiness: update.readiness,
            address,
            up_since: update.up_since.or(listed_since),
        };
        if let Some(before) = listed_address.filter(|before| Some(*before) != address) {
            self.names_by_address.remove(&before);
        }
        if let Some(address) = address {
            self.names_by_address.insert(address, update.name.to_owned());
        }
        self.endpoints.insert(update.name.to_owned(), endpoint);
        Some(StoredUpdate { engine, has_restarted })
    }
}
