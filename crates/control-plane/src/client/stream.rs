//! Connects to the control servers in turn, for as long as the process runs.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gaugestep_config::version_tracker::Event;
use gaugestep_coroutine_io::task;
use gaugestep_leadership::leader_discovery::Reconnect;

use crate::lock;
use crate::transport::backoff::Backoff;

use super::session::Session;
use super::subscriber::ConfigSubscriber;

impl ConfigSubscriber {
    /// Keeps a stream to the lease holder open: connects to the servers in turn, with backoff. Does not
    /// return.
    pub(super) fn follow_servers(&self) {
        let mut backoff = Backoff::new(self.settings.seed ^ self.incarnation);
        loop {
            let server = self.next_server();
            let started_at = Instant::now();
            let stream = self.begin_stream();
            let Err(error) = Session::open(self, server, stream).and_then(Session::run);
            let was_following = self.end_stream(stream);
            let reconnect = lock(&self.state).discovery.on_disconnect();
            let healthy_for = if reconnect == Reconnect::Promptly {
                // The server named a lease holder that was not tried yet, so the backoff is reset. The first
                // delay is still random, so that many proxies do not connect at the same moment.
                Duration::MAX
            } else if was_following {
                started_at.elapsed()
            } else {
                Duration::ZERO
            };
            let delay = backoff.next_delay(healthy_for);
            let wait_ms = delay.as_millis() as u64;
            tracing::info!(%server, wait_ms, "configuration stream ended: {error}");
            task::sleep(delay);
        }
    }

    fn next_server(&self) -> SocketAddr {
        let servers = &self.settings.servers;
        let endpoint = lock(&self.state).discovery.endpoint();
        servers[endpoint % servers.len()]
    }

    /// Begins a stream and returns its number. Pending responses to offers on earlier streams are discarded.
    fn begin_stream(&self) -> u64 {
        let mut state = lock(&self.state);
        state.stream.id += 1;
        state.stream.pending_responses.clear();
        state.stream.id
    }

    /// Updates the state after a stream has ended. Returns whether it was a stream to the lease holder.
    fn end_stream(&self, stream: u64) -> bool {
        let was_following = self.is_following.swap(false, Ordering::Relaxed);
        lock(&self.state).stream.waker = None;
        self.handle_version_event(Event::StreamEnded { stream });
        was_following
    }
}
