//! An operator who publishes versions continuously.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gaugestep_config::schema::{Publish, call, reply};
use gaugestep_config::{short_digest, text};
use gaugestep_control_plane::cli::admin_client::{AdminClient, Delivery};
use gaugestep_testbed::leadership_audit::Record;

/// Publishes one version after the other from a thread, and records the acknowledged ones.
pub struct Publisher {
    stopped: std::sync::Arc<AtomicBool>,
    thread: std::thread::JoinHandle<Vec<Record>>,
}

impl Publisher {
    /// Starts the thread. It publishes a new document each time, repeats the call until it succeeds, and
    /// pauses for `pause` before the next one.
    pub fn start(client: AdminClient, pause: Duration) -> Self {
        let stopped = std::sync::Arc::new(AtomicBool::new(false));
        let stop_requested = stopped.clone();
        let thread = std::thread::spawn(move || {
            let mut records = Vec::new();
            for number in 0.. {
                if stop_requested.load(Ordering::SeqCst) {
                    break;
                }
                let (key, document) =
                    (format!("key-{number}"), format!("limits {{ max_open: {} }}", 10 + number));
                let publish = Publish {
                    document: Some(text::parse(&document).unwrap()),
                    key: key.clone(),
                    ..Publish::default()
                };
                // Repeated until there is a response: the key makes all repetitions one publication.
                while !stop_requested.load(Ordering::SeqCst) {
                    if let Ok(reply::What::Published(response)) =
                        client.call(&call::What::Publish(publish.clone()), Delivery::AtLeastOnce)
                    {
                        let version = response.version.unwrap_or_default();
                        let (number, digest) = (version.number, short_digest(&version.digest));
                        records.push(Record::Acknowledged { key, number, digest });
                        break;
                    }
                }
                std::thread::sleep(pause);
            }
            records
        });
        Publisher { stopped, thread }
    }

    /// Stops the thread and returns a record of each acknowledged version, in order.
    pub fn stop(self) -> Vec<Record> {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}
