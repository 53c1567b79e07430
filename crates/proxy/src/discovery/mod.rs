//! Discovery: which databases there are, as the coordinator reports them in a stream of server-sent events.
//!
//! [`coordinator_stream`] keeps a connection to the coordinator, [`http_body`] and [`event_parser`] take events off it,
//! [`endpoint`] decodes the endpoints in them, and the [`endpoint_list`] applies them to the proxy.

mod coordinator_stream;
mod endpoint;
mod endpoint_list;
mod event_parser;
mod http_body;

pub use coordinator_stream::CoordinatorStream;
pub use endpoint::Endpoint;
pub use endpoint_list::EndpointList;
