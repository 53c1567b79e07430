//! An operator who publishes all the time.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gaugestep_config::schema::{Publish, call, reply};
use gaugestep_config::{short_digest, text};
use gaugestep_control_plane::cli::admin_client::{AdminClient, Delivery};
use gaugestep_testbed::leadership_audit::Record;

/// An operator who publishes one version after the other from a thread, and records the answers.
pub struct Publisher {
    stopped: std::sync::Arc<AtomicBool>,
    thread: std::thread::JoinHandle<Vec<Record>>,
}

impl Publisher {
    /// Publishes a document of its own every so often, each until it is answered.
    pub fn start(service: AdminClient, every: Duration) -> Self {
        let stopped = std::sync::Arc::new(AtomicBool::new(false));
        let stop_requested = stopped.clone();
        let thread = std::thread::spawn(move || {
            let mut records = Vec::new();
            for at in 0.. {
                if stop_requested.load(Ordering::SeqCst) {
                    break;
                }
                let (key, document) = (format!("key-{at}"), format!("limits {{ max_open: {} }}", 10 + at));
                let publish = Publish {
                    document: Some(text::parse(&document).unwrap()),
                    key: key.clone(),
                    ..Publish::default()
                };
                // The same again until there is an answer: under one key it is one publication.
                while !stop_requested.load(Ordering::SeqCst) {
                    if let Ok(reply::What::Published(answer)) =
                        service.call(&call::What::Publish(publish.clone()), Delivery::AtLeastOnce)
                    {
                        let version = answer.version.unwrap_or_default();
                        let (number, digest) = (version.number, short_digest(&version.digest));
                        records.push(Record::Acknowledged { key, number, digest });
                        break;
                    }
                }
                std::thread::sleep(every);
            }
            records
        });
        Publisher { stopped, thread }
    }

    /// Ends it; the answers in their order.
    pub fn stop(self) -> Vec<Record> {
        self.stopped.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}
