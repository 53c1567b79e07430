//! All decisions of the dispatcher, one concern per module.
//!
//! [`lifecycle`] shows how a request passes through the other modules. Code that decides belongs in this
//! folder, whose files `policy` in `deploy/balancer.toml` lists. The data structures and statistics outside
//! it decide nothing.

mod admission;
mod fleet;
mod lifecycle;
mod load;
mod ordering;
mod outlier;
mod placement;
mod ranking;
mod replay;
mod retry;
mod slow_start;
mod timeout;
mod work;

pub use admission::{TenantQuotas, is_hopeless};
pub use outlier::OutlierDetector;
pub use placement::lock_holders;
pub use ranking::{HIGHEST_PRIORITY, Ranking, rank};
pub use replay::ReplayGuard;
pub use retry::{RetryBudget, may_repeat_until};
pub use timeout::{TimeoutEstimator, is_timeout_due};
pub use work::WorkEstimator;

use crate::interface::Millis;

/// By how many milliseconds a timer or an outcome may be delayed; half the usual slack for responses.
const TIMER_SLACK: Millis = 10.0;
/// Horizon of the statistics of a class, in milliseconds: long, so that they are steady.
const CLASS_HORIZON: Millis = 20_000.0;
/// Horizon of the statistics of an engine, in milliseconds: short, so that they follow changes quickly.
const ENGINE_HORIZON: Millis = 1_500.0;
