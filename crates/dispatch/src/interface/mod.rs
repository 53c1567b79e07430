//! The interface of the decision module: its settings, the events that it handles and the actions that it
//! returns.
//!
//! The embedder is the program that hosts a dispatcher: a proxy, the simulator's adapter or a test. Times are
//! in milliseconds on a monotonic clock of the embedder.

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
    AttemptNo, CellId, ClassId, EngineId, MachineTypeId, OrderKey, RequestId, TableSetId, TenantId, TimerId,
    ZoneId,
};
pub use settings::{
    ClassSettings, DedupGroup, Idempotency, MachineTypeSettings, RetryBudgetSettings, Route, Settings,
    SettingsError, TenantSettings,
};

/// A time on the embedder's clock, or a duration, in milliseconds.
pub type Millis = f64;
