//! The client for operators' calls against scripted members: whom it calls, what it sends again, and what it gives up on.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use gaugestep_config::schema::{
    Done, FromService, ListMembers, Members, Owner, Reply, call, from_service, reply,
};
use gaugestep_control_plane::cli::admin_client::{AdminClient, CallError, Delivery};
use gaugestep_control_plane::transport::framing;

/// What a scripted member does with a call.
type Script = Box<dyn Fn(usize) -> Option<reply::What> + Send>;

/// A member that answers its calls by a script, or closes the connection without an answer where that gives none.
struct Member {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

/// A listener at an address of its own.
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
                if let Some(reply) = script(call) {
                    let reply = Reply { what: Some(reply) };
                    let message = FromService { said: Some(from_service::Said::Reply(reply)) };
                    stream.write_all(&framing::encode(&message)).expect("the client reads the reply");
                }
            }
        });
        member
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }
}

/// An address at which nobody listens.
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
fn a_call_that_cannot_be_carried_out_now_is_tried_again() {
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
fn a_call_follows_to_the_lease_holder() {
    let holder = Member::start(Box::new(|_| Some(reply::What::Members(Members::default()))));
    let operators = holder.address.to_string();
    let member = Member::start(Box::new(move |_| {
        Some(reply::What::Owner(Owner { member: 2, operators: operators.clone(), ..Owner::default() }))
    }));
    assert!(call(&[member.address], Delivery::AtMostOnce).is_ok());
    assert_eq!((member.calls(), holder.calls()), (1, 1));
}

#[test]
fn an_unreachable_member_is_passed_over_for_the_next() {
    let member = Member::start(Box::new(|_| done()));
    assert!(call(&[unused_address(), member.address], Delivery::AtMostOnce).is_ok());
}

#[test]
fn the_only_member_that_cannot_be_reached_is_not_waited_for() {
    let address = unused_address();
    let error = call(&[address], Delivery::AtLeastOnce).unwrap_err();
    assert!(matches!(error, CallError::Connect { .. }));
    assert!(error.to_string().starts_with(&format!("{address}: Connection refused")), "{error}");
}

#[test]
fn a_lost_reply_is_asked_for_again_only_if_that_does_no_harm() {
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
fn an_address_that_is_not_loopback_is_not_called_without_keys() {
    let error = call(&["192.0.2.1:9".parse().unwrap()], Delivery::AtLeastOnce).unwrap_err();
    assert!(matches!(error, CallError::InsecureAddress(_)));
}
