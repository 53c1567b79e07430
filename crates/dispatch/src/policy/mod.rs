//! All decisions, one concern a module; [`Dispatcher`] shows the way of a request through them.
//!
//! What decides stays in this folder, whose files `policy` in `deploy/balancer.toml` names. The records and
//! statistics beside it decide nothing. Each module takes what all share by `use super::*`.

use std::collections::BTreeMap;

use gaugestep_subsetting::slow_start::SlowStartLimit;
use gaugestep_subsetting::subset::Subset;
use oorandom::Rand64;

use crate::{dispatcher::*, engines::*, interface::*, requests::*, stats::*};

mod admission;
mod fleet;
mod lifecycle;
mod load;
mod ordering;
mod outlier;
mod placement;
mod ranking;
mod retry;
mod slow_start;
mod timeout;
mod work;

pub use self::{admission::*, fleet::*, load::*, outlier::*, placement::*};
pub use self::{ranking::*, retry::*, timeout::*, work::*};

/// ms that a timer or an outcome may come late; half the usual slack for answers.
const TIMER_SLACK: Millis = 10.0;
/// ms over which what is known of a class is averaged, and what is known of an engine: steady against quick.
const CLASS_HORIZON: Millis = 20_000.0;
const ENGINE_HORIZON: Millis = 1_500.0;
