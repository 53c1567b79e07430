//! The client for operator calls against scripted members: which member it calls, when it retries, and which
//! errors are final.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use gaugestep_config::schema::{
    Done, FromService, ListMembers, Members, Owner, Reply, call, from_service, reply,
};
use gaugestep_control_plane::cli::admin_client::{AdminClient, CallError, Delivery};
use gaugestep_control_plane::transport::framing;

/// The response of a scripted member to the call of this index; `None` closes the connection without one.
type Script = Box<dyn Fn(usize) -> Option<reply::What> + Send>;

/// A member that responds to calls according to a script.
struct Member {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

/// A listener on a free loopback port.
fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

fn read_frame(stream: &mut TcpStream) {
    let mut head = [0; 4];
    stream.read_exact(&mut head).expect("the client sends a frame");
    let mut body = vec![0; u32::from_be_bytes(head) as usize];
    stream.read_exact(&mut body).expect("the frame is complete");
}

impl Member {
    fn start(script: Script) -> Self {
        let (listener, address) = listen();
        let member = Member { address, calls: Arc::default() };
        let calls = member.calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("the client connects");
                read_frame(&mut stream);
                let call = calls.fetch_add(1, Ordering::SeqCst);
                if let Some(result) = script(call) {
                    let response = Reply { what: Some(result) };
                    let message = FromService { said: Some(from_service::Said::Reply(response)) };
                    stream.write_all(&framing::encode(&message)).expect("the client reads the response");
                }
            }
        });
        member
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// An address without a listener.
fn unused_address() -> SocketAddr {
    listen().1
}

fn call(addresses: &[SocketAddr], delivery: Delivery) -> Result<reply::What, CallError> {
    let client = AdminClient { addresses: addresses.to_vec(), tls: None };
    client.call(&call::What::Members(ListMembers {}), delivery)
}

fn done() -> Option<reply::What> {
    Some(reply::What::Done(Done {}))
}

#[test]
fn a_call_that_cannot_be_carried_out_now_is_retried() {
    let member = Member::start(Box::new(|call| match call {
        0 => Some(reply::What::Later("no majority".into())),
        _ => done(),
    }));
    assert_eq!(call(&[member.address], Delivery::AtMostOnce).unwrap(), reply::What::Done(Done {}));
    assert_eq!(member.calls(), 2);
}

#[test]
fn a_rejection_is_final() {
    let member = Member::start(Box::new(|_| Some(reply::What::Error("no such version".into()))));
    let error = call(&[member.address, unused_address()], Delivery::AtLeastOnce).unwrap_err();
    assert!(matches!(error, CallError::Rejected(_)));
    assert_eq!((error.to_string().as_str(), member.calls()), ("no such version", 1));
}

#[test]
fn a_call_is_sent_to_the_lease_holder_that_a_member_names() {
    let holder = Member::start(Box::new(|_| Some(reply::What::Members(Members::default()))));
    let operators = holder.address.to_string();
    let member = Member::start(Box::new(move |_| {
        Some(reply::What::Owner(Owner { member: 2, operators: operators.clone(), ..Owner::default() }))
    }));
    assert!(call(&[member.address], Delivery::AtMostOnce).is_ok());
    assert_eq!((member.calls(), holder.calls()), (1, 1));
}

#[test]
fn the_next_member_is_tried_after_an_unreachable_one() {
    let member = Member::start(Box::new(|_| done()));
    assert!(call(&[unused_address(), member.address], Delivery::AtMostOnce).is_ok());
}

#[test]
fn a_call_fails_at_once_if_the_only_member_is_unreachable() {
    let address = unused_address();
    let error = call(&[address], Delivery::AtLeastOnce).unwrap_err();
    assert!(matches!(error, CallError::Connect { .. }));
    assert!(error.to_string().starts_with(&format!("{address}: Connection refused")), "{error}");
}

#[test]
fn a_call_without_a_response_is_sent_again_only_if_delivery_allows_it() {
    let script = |call| if call == 0 { None } else { done() };
    let member = Member::start(Box::new(script));
    assert!(call(&[member.address], Delivery::AtLeastOnce).is_ok());
    assert_eq!(member.calls(), 2);
    let member = Member::start(Box::new(script));
    let error = call(&[member.address], Delivery::AtMostOnce).unwrap_err();
    assert!(matches!(error, CallError::OutcomeUnknown { .. }));
    let line = error.to_string();
    assert!(line.ends_with("; it may have been carried out all the same"), "{line}");
    assert_eq!(member.calls(), 1);
}

#[test]
fn only_loopback_addresses_are_called_without_tls() {
    let error = call(&["192.0.2.1:9".parse().unwrap()], Delivery::AtLeastOnce).unwrap_err();
    assert!(matches!(error, CallError::InsecureAddress(_)));
}
