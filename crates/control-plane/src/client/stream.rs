//! Connects to one server after the other, for as long as the process runs.

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
    /// Follows the control plane, whichever server is the leader.
    pub(super) fn follow_servers(&self) {
        let mut backoff = Backoff::new(self.settings.seed ^ self.incarnation);
        loop {
            let server = self.next_server();
            let began = Instant::now();
            let stream = self.begin_stream();
            let Err(error) = Session::open(self, server, stream).and_then(Session::run);
            let was_following = self.end_stream(stream);
            let useful_for = if lock(&self.state).discovery.on_disconnect() == Reconnect::Promptly {
                // The lease holder is known and was not tried yet: the delay only spreads the load of many proxies.
                Duration::MAX
            } else if was_following {
                began.elapsed()
            } else {
                Duration::ZERO
            };
            let delay = backoff.next_delay(useful_for);
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

    /// Begins a stream and returns its number. Answers to offers on earlier ones are dropped.
    fn begin_stream(&self) -> u64 {
        let mut state = lock(&self.state);
        state.stream.id += 1;
        state.stream.answers.clear();
        state.stream.id
    }

    /// Notes that a stream has ended. Returns whether it was to the leader.
    fn end_stream(&self, stream: u64) -> bool {
        let was_following = self.is_following.swap(false, Ordering::Relaxed);
        lock(&self.state).stream.waker = None;
        self.handle_version_event(Event::StreamEnded { stream });
        was_following
    }
}
