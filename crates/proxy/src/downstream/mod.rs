//! Downstream: the clients' side of the proxy.
//!
//! [`postgres`] speaks the protocol of the clients' connections. What a statement says about itself is independent of that
//! protocol: `request_fields` reads the fields in the comment ahead of it, `table_group` the group of tables it names.

pub mod postgres;
mod request_fields;
mod table_group;
