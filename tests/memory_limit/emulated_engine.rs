//! An engine that answers by itself, on any number of connections.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use crate::proxy::Engine;

/// Stack of the thread of a connection, in bytes.
const STACK: usize = 64 * 1024;
/// Length of a page, in bytes, and number of the pages of a large result.
const PAGE: usize = 5_990;
const PAGES: usize = 8;

/// How an engine answers queries. Health checks are answered while the engine reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// With one row.
    Serve,
    /// With the largest result.
    ServeLarge,
    /// Not at all.
    Silent,
    /// The engine accepts connections and reads nothing.
    Unread,
    /// With a message that never ends.
    Endless,
}

impl Behaviour {
    /// All behaviours.
    pub const ALL: [Behaviour; 5] =
        [Behaviour::Serve, Behaviour::ServeLarge, Behaviour::Silent, Behaviour::Unread, Behaviour::Endless];
}

/// A running engine. Its threads end with the connections of the proxy, except for the one that accepts.
pub struct EmulatedEngine {
    /// The listener, for the configuration of the proxy.
    pub engine: Engine,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl EmulatedEngine {
    /// Starts an engine.
    pub fn start(behaviour: Behaviour) -> Self {
        let engine = Engine::new();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (listener, shared) = (engine.0.try_clone().unwrap(), behaviour.clone());
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let shared = shared.clone();
                let serve = move || drop(run(&socket, &shared));
                drop(std::thread::Builder::new().stack_size(STACK).spawn(serve));
            }
        });
        EmulatedEngine { engine, behaviour }
    }

    /// Changes how the engine answers from now on, also on open connections.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }
}

/// Serves a connection until it ends.
fn run(mut socket: &TcpStream, behaviour: &Mutex<Behaviour>) -> std::io::Result<()> {
    let now = || *behaviour.lock().unwrap();
    while now() == Behaviour::Unread {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    let page = format!("{}\tb\tc\n", "a".repeat(PAGE - 5));
    let mut reader = BufReader::new(socket);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.split_whitespace().collect();
        match (words.as_slice(), now()) {
            (["serve", id, _, length], now) => {
                std::io::copy(
                    &mut (&mut reader).take(length.parse::<u64>().unwrap() + 2),
                    &mut std::io::sink(),
                )?;
                match now {
                    Behaviour::Serve => write!(socket, "{id} HIT total=1 6\r\na\tb\tc\n\r\n")?,
                    Behaviour::ServeLarge => {
                        write!(socket, "{id} HIT total={PAGES} {}\r\n{page}\r\n", page.len())?
                    }
                    Behaviour::Endless => write!(socket, "{id} HIT total=1 5900\r\n{}", "a".repeat(5_000))?,
                    Behaviour::Silent | Behaviour::Unread => {}
                }
            }
            (["read", id, index], _) => {
                write!(socket, "{id} PART index={index} {}\r\n{page}\r\n", page.len())?;
            }
            (["health", tag], _) => write!(socket, "{tag} PONG - 0\r\n\r\n")?,
            _ => {}
        }
        line.clear();
    }
    Ok(())
}
