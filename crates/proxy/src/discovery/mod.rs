//! Discovery of engines: the coordinator reports its endpoint list in a stream of server-sent events.
//!
//! [`coordinator_stream`] maintains the connection to the coordinator, [`http_body`] and [`event_parser`]
//! parse the events that it receives, [`endpoint`] decodes the endpoints in an event, and [`endpoint_list`]
//! applies them to the proxy.

mod coordinator_stream;
mod endpoint;
mod endpoint_list;
mod event_parser;
mod http_body;

pub use coordinator_stream::CoordinatorStream;
pub use endpoint::Endpoint;
pub use endpoint_list::EndpointList;
pub use event_parser::MAX_EVENT_LENGTH;
