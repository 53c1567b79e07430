//! The downstream side of the proxy: client sessions and their requests.
//!
//! [`postgres`] implements the wire protocol of client connections. Two modules are independent of that
//! protocol: `request_fields` parses the fields in the comment before a statement, and `table_group` finds
//! the group of tables that the statement names.

pub mod postgres;
mod request_fields;
mod table_group;
