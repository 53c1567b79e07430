//! An engine that records which requests arrive.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::proxy::{Engine, EngineConnection};

/// An engine that serves all requests. On demand it closes the connection of the first attempt of each request
/// without a response.
pub struct RecordingEngine {
    /// The entry in the endpoint list.
    pub entry: String,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    loses_first_attempts: AtomicBool,
    /// The number of attempts of each request that have arrived.
    received: Mutex<BTreeMap<String, usize>>,
}

impl RecordingEngine {
    /// Starts an engine of this name, zone and machine type.
    pub fn start(name: &str, zone: &str, machine_type: &str) -> Self {
        let engine = Engine::new();
        let entry = engine.list_entry(name, "SERVING");
        let entry =
            entry.replace(r#""dc""#, &format!("{zone:?}")).replace(r#""k""#, &format!("{machine_type:?}"));
        let state = Arc::new(State::default());
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in engine.0.incoming() {
                let (stream, state) = (stream.unwrap(), shared.clone());
                std::thread::spawn(move || state.answer(stream));
            }
        });
        RecordingEngine { entry, state }
    }

    /// Whether the first attempt of each request is lost from now on.
    pub fn loses_first_attempts(&self, loses: bool) {
        self.state.loses_first_attempts.store(loses, Ordering::SeqCst);
    }

    /// The number of attempts of each request that have arrived.
    pub fn received(&self) -> BTreeMap<String, usize> {
        self.state.received.lock().unwrap().clone()
    }
}

impl State {
    fn answer(&self, stream: TcpStream) {
        let mut connection = EngineConnection(BufReader::new(stream));
        loop {
            let command = connection.command();
            match command[0].as_str() {
                "serve" if self.record(&command[1]) => return,
                "serve" => connection.serve(&command[1]),
                "" => return,
                _ => {}
            }
        }
    }

    /// Records an attempt, and returns whether it is lost.
    fn record(&self, id: &str) -> bool {
        let mut received = self.received.lock().unwrap();
        let attempts = received.entry(id.to_owned()).or_default();
        *attempts += 1;
        *attempts == 1 && self.loses_first_attempts.load(Ordering::SeqCst)
    }
}
