//! Scripted subscribers of a control server, for benchmarks.
#![allow(dead_code, reason = "each benchmark uses a part of this module")]

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Instant;

use gaugestep_config::schema::{Answer, FromClient, FromService, Hello, from_client, from_service};
use prost::Message as _;

fn send(socket: &mut TcpStream, said: from_client::Said) -> std::io::Result<()> {
    socket.write_all(&gaugestep_control_plane::transport::framing::encode(&FromClient { said: Some(said) }))
}

/// Subscribes to a control server and acknowledges every offer until the stream ends. Sends an event for each
/// message that it receives: the version number (0 if the message is no offer), the time of receipt and the
/// length in bytes.
pub fn subscribe(
    control_server: SocketAddr,
    name: String,
    events: &Sender<(u64, Instant, usize)>,
) -> std::io::Result<()> {
    let mut socket = TcpStream::connect(control_server)?;
    socket.set_nodelay(true)?;
    send(&mut socket, from_client::Said::Hello(Hello { protocol: 1, proxy: name, ..Hello::default() }))?;
    loop {
        let mut head = [0; 4];
        socket.read_exact(&mut head)?;
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        socket.read_exact(&mut body)?;
        match FromService::decode(body.as_slice()).map_err(std::io::Error::other)?.said {
            Some(from_service::Said::Offer(offer)) => {
                let number = offer.version.map_or(0, |version| version.number);
                send(
                    &mut socket,
                    from_client::Said::Answer(Answer { nonce: offer.nonce, number, refusal: None }),
                )?;
                let _ = events.send((number, Instant::now(), body.len() + 4));
            }
            _ => drop(events.send((0, Instant::now(), body.len() + 4))),
        }
    }
}

/// Starts this many subscribers, waits until each has received its welcome, and returns the receiver of their
/// events.
pub fn subscribers(control_server: SocketAddr, count: usize) -> Receiver<(u64, Instant, usize)> {
    let (events, received) = channel();
    for number in 0..count {
        let events = events.clone();
        let run = move || drop(subscribe(control_server, format!("n{number}"), &events));
        std::thread::Builder::new().stack_size(64 * 1024).spawn(run).unwrap();
    }
    for _ in 0..count {
        // The welcome of one subscriber.
        received.recv().unwrap();
    }
    received
}

/// The median and the maximum.
pub fn median_and_max(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[values.len() - 1])
}
