//! Makes a request of the text of a query.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use gaugestep_dispatch::interface::{Millis, NewRequest, TableSetId, TenantId};

use super::error::QueryError;
use crate::downstream::{request_fields, table_group::table_group};
use crate::facade::request_id;
use crate::query::{Client, Query};
use crate::request_lifecycle::RequestHandler;

/// The part of a client's time that is kept back for the answer to reach it, in milliseconds; half of the time at most.
const ANSWER_RESERVE: Millis = 5.0;

/// Returns the request that the text of a query describes. `read_at` is when it was read, on the facade's clock.
///
/// # Errors
///
/// If its fields are malformed, its class or tenant is unknown, or as many requests are open as are accepted.
pub fn build_query(
    handler: &RequestHandler,
    text: &[u8],
    read_at: Millis,
    client: Arc<dyn Client>,
) -> Result<Query, QueryError> {
    let active = handler.classes.active();
    let (fields, statement) = request_fields::parse(text)?;
    let class =
        active.class(fields.method).ok_or_else(|| QueryError::UnknownClass(fields.method.to_owned()))?;
    let tenant = match fields.acct {
        None => 0,
        Some(name) => active.tenant(name).ok_or_else(|| QueryError::UnknownTenant(name.to_owned()))?,
    };
    if handler.open.load(Ordering::Relaxed) >= handler.max_open.load(Ordering::Relaxed) {
        class.rejected();
        return Err(QueryError::TooManyOpen);
    }
    let request = NewRequest {
        id: request_id(fields.rid),
        class: class.id,
        tenant: TenantId(tenant),
        deadline: read_at + fields.budget - ANSWER_RESERVE.min(fields.budget / 2.0),
        estimate: fields.est,
        memory_mb: fields.space,
        tables: TableSetId(table_group(statement).unwrap_or(0)),
        order_key: None,
    };
    Ok(Query { request, class: class.clone(), statement: statement.to_vec(), client })
}
