//! The memory of the process: how it is divided, who holds how much of it, and who gives way when it is used up.
//!
//! [`plan`] divides the limit at the start, [`account`] counts the bytes of buffers whose size peers choose,
//! [`relief`] chooses the session that is closed when an account is used up, and [`trim`] decides when
//! [`allocator`] returns freed memory to the system.

pub mod account;
pub mod allocator;
pub mod plan;
pub mod relief;
pub mod trim;

pub use self::account::{MemoryAccount, MemoryCharge, Share};
pub use self::plan::{MemoryPlan, PlanError};
