//! The types that go in and out of the decision module: settings, events and actions.
//!
//! Times are milliseconds on one clock of the embedder's choosing that never goes backwards.

mod actions;
mod events;
mod ids;
mod settings;

pub use actions::{Action, RejectReason};
pub use events::{
    AttemptEnd, Cost, EngineEntry, Event, LoadReport, NewRequest, Outcome, ProgressReport, Readiness,
};
pub use gaugestep_subsetting::position::FleetPosition;
pub use gaugestep_subsetting::slow_start::SlowStartSettings;
pub use gaugestep_subsetting::subset::CandidateEngine;
pub use ids::{
    AttemptNo, CellId, ClassId, EngineId, MachineId, OrderKey, RequestId, TablesId, TenantId, TimerId, ZoneId,
};
pub use settings::{
    ClassSettings, DedupGroup, Effect, MachineSettings, RetryBudgetSettings, Route, Settings, SettingsError,
    TenantSettings,
};

/// A point on the embedder's clock, or a span of it, in milliseconds.
pub type Millis = f64;
