//! One lease holder a term and no lost version, with the real programs as processes and faults between them.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/group.rs"]
mod group;
#[path = "../common/proxy.rs"]
mod proxy;

mod failover;
mod fencing;
mod identity;
mod membership;
mod partitions;
mod removal;
mod seeded_faults;

use gaugestep_config::schema::{Hello, Plan};
use group::Group;
use proxy::Proxy;

/// The plan of a rollout to all proxies in one stage.
fn single_stage() -> Plan {
    Plan::default()
}

fn version(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/version")
}

fn term(proxy: &Proxy) -> Option<u64> {
    proxy.statistic("/configuration/term")
}

/// Opens a stream to the first member and sends this hello on it, and nothing else.
fn connect_with_hello(group: &Group, hello: Hello) -> std::net::TcpStream {
    let hello = gaugestep_config::schema::from_client::Said::Hello(Hello { protocol: 1, ..hello });
    let message = gaugestep_config::schema::FromClient { said: Some(hello) };
    let mut stream = std::net::TcpStream::connect(group.members[0].listen).unwrap();
    std::io::Write::write_all(&mut stream, &gaugestep_control_plane::transport::framing::encode(&message))
        .unwrap();
    stream
}
