//! Builds a request from the text of a query.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use gaugestep_dispatch::interface::{Millis, NewRequest, TableSetId, TenantId};

use super::error::QueryError;
use crate::downstream::request_fields::{self, excerpt};
use crate::downstream::table_group::table_group;
use crate::facade::request_id;
use crate::memory::plan::request_charge;
use crate::query::{Client, Query};
use crate::request_lifecycle::RequestHandler;

/// Time between a request's deadline and the end of its time budget, in which the response reaches the
/// client, in milliseconds. It is at most half of the budget.
const RESPONSE_RESERVE: Millis = 5.0;

/// Builds the request that the text of a query describes. `read_at` is when the query was read, on the
/// facade's clock.
///
/// # Errors
///
/// Returns an error if the query is malformed, its class or tenant is unknown, or the maximum number of
/// requests is open, or the memory for requests is used up.
pub fn build_query(
    handler: &RequestHandler,
    text: &[u8],
    read_at: Millis,
    client: Arc<dyn Client>,
) -> Result<Query, QueryError> {
    let active = handler.classes.active();
    let (fields, statement) = request_fields::parse(text)?;
    let class =
        active.class(fields.method).ok_or_else(|| QueryError::UnknownClass(excerpt(fields.method)))?;
    let tenant = match fields.acct {
        None => 0,
        Some(name) => active.tenant(name).ok_or_else(|| QueryError::UnknownTenant(excerpt(name)))?,
    };
    if handler.open_requests.load(Ordering::Relaxed) >= handler.max_open_requests.load(Ordering::Relaxed) {
        class.record_rejected();
        return Err(QueryError::TooManyOpenRequests);
    }
    let charge = handler.request_memory.charge(request_charge(statement.len())).map(Arc::new);
    let Some(memory) = charge else {
        class.record_rejected();
        return Err(QueryError::OutOfMemory);
    };
    let response_reserve = RESPONSE_RESERVE.min(fields.budget / 2.0);
    let request = NewRequest {
        id: request_id(fields.rid),
        class: class.id,
        tenant: TenantId(tenant),
        deadline: read_at + fields.budget - response_reserve,
        estimate: fields.est,
        memory_mb: fields.space,
        tables: TableSetId(table_group(statement).unwrap_or(0)),
        order_key: None,
    };
    Ok(Query { request, class: class.clone(), statement: statement.to_vec(), client, memory })
}
