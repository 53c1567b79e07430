#![forbid(unsafe_code)]
//! The project's laboratory: what stand-ins record ([`record`]), whether the rules held ([`audit`]), and how an engine
//! behaves ([`engine`]); what the records of many processes say of duties and versions ([`duties`]); and which faults come
//! when ([`faults`]); whether choices of many proxies add up ([`crowd`]). None of these does I/O, reads a clock or starts a thread. Beside them stand the means of breaking a
//! fleet of processes: links between them that drop, stall and cut ([`network`]), and processes that are stopped, continued
//! and killed ([`process`]), engines and a list of them for a fleet to talk to ([`stand`]).

pub mod audit;
pub mod crowd;
pub mod duties;
pub mod engine;
pub mod faults;
pub mod network;
pub mod process;
pub mod record;
pub mod stand;
