//! The messages on one stream: hello and welcome, offers and responses to them, and periodic reports.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gaugestep_clock::Timestamp;
use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::{
    Displaced, Figures, FromClient, FromService, Hello, Seated, Seen, Welcome, from_client, from_service,
};
use gaugestep_leadership::leader_discovery::StreamDecision;
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE, RoleHolder};
use gaugestep_subsetting::ordinal_lease::OrdinalGrant;
use gaugestep_subsetting::position::OrdinalAssignment;
use may::net::TcpStream;

use crate::transport::connection::{ConnectionError, FramedConnection};
use crate::transport::tls::ClientTls;
use crate::{clock, failpoints, lock};

use super::state::{FencedMessage, SubscriberState};
use super::subscriber::ConfigSubscriber;

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time within which a server must send its welcome, or the stream is closed.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(5);
/// The time after which a stream is closed if the server sends nothing.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);
/// The interval at which the proxy reports the outcomes of its requests. The report is also its heartbeat.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Why a stream has ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum StreamError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("the server has closed the connection")]
    Closed,
    #[error("no message from the server within the timeout")]
    TimedOut,
    #[error("the server uses protocol version {0}, this build uses {PROTOCOL_VERSION}")]
    UnsupportedProtocol(u32),
    #[error("the server sent an offer before its welcome")]
    OfferBeforeWelcome,
    #[error("the server names member {} as holder of the configuration role (term {})", .0.member, .0.term)]
    OtherLeaseHolder(RoleHolder),
    #[error("the server names no holder of the configuration role")]
    NoLeaseHolder,
}

/// The phase of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    AwaitingWelcome,
    Established,
}

/// One stream to a control server.
pub(super) struct Session<'a> {
    subscriber: &'a ConfigSubscriber,
    server: SocketAddr,
    stream: u64,
    connection: FramedConnection,
    phase: Phase,
    opened_at: Instant,
    last_received_at: Instant,
    last_report_at: Instant,
}

impl<'a> Session<'a> {
    /// Connects to a server and sends the hello.
    pub(super) fn open(
        subscriber: &'a ConfigSubscriber,
        server: SocketAddr,
        stream: u64,
    ) -> Result<Self, StreamError> {
        let socket = TcpStream::connect_timeout(&server, CONNECT_TIMEOUT)?;
        let server_name = subscriber.settings.tls.as_ref().map(|tls| tls.server_name.as_str());
        let config = subscriber.tls.as_ref().map(ClientTls::current);
        let mut connection = FramedConnection::from_connected(socket, config.zip(server_name))?;
        let hello = {
            let mut state = lock(&subscriber.state);
            state.stream.waker = Some(connection.waker());
            subscriber.hello(&state)
        };
        send(&mut connection, from_client::Said::Hello(hello))?;
        let now = Instant::now();
        Ok(Session {
            subscriber,
            server,
            stream,
            connection,
            phase: Phase::AwaitingWelcome,
            opened_at: now,
            last_received_at: now,
            last_report_at: now,
        })
    }

    /// Exchanges messages until the stream ends.
    pub(super) fn run(mut self) -> Result<Infallible, StreamError> {
        loop {
            let has_closed = self.connection.pump()?;
            while let Some(message) = self.connection.next_message::<FromService>()? {
                self.last_received_at = Instant::now();
                self.on_message(message)?;
            }
            if has_closed {
                return Err(StreamError::Closed);
            }
            self.check_timeouts()?;
            let has_responded = self.send_responses()?;
            let has_reported = self.send_report()?;
            if has_responded || has_reported {
                self.connection.pump()?;
            }
            self.connection.wait();
        }
    }

    fn on_message(&mut self, message: FromService) -> Result<(), StreamError> {
        let is_established = self.phase == Phase::Established;
        match message.said {
            Some(from_service::Said::Welcome(welcome)) => self.on_welcome(&welcome)?,
            Some(from_service::Said::Displaced(displaced)) => self.subscriber.on_superseded(&displaced),
            Some(from_service::Said::Offer(offer)) if is_established => {
                let (term, stream) = (offer.term, self.stream);
                let message = FencedMessage::Offer { stream, offer: Box::new(offer) };
                self.subscriber.check_fencing(CONFIGURATION_ROLE, term, message);
            }
            Some(from_service::Said::Offer(_)) => return Err(StreamError::OfferBeforeWelcome),
            Some(from_service::Said::Seated(ordinal)) if is_established => self.on_ordinal(ordinal),
            // Ignored: an ordinal before the welcome, messages for other kinds of clients, and those of later
            // builds.
            Some(
                from_service::Said::Seated(_)
                | from_service::Said::Reply(_)
                | from_service::Said::PeerWelcome(_),
            )
            | None => {}
        }
        Ok(())
    }

    fn on_welcome(&mut self, welcome: &Welcome) -> Result<(), StreamError> {
        if welcome.protocol != PROTOCOL_VERSION {
            return Err(StreamError::UnsupportedProtocol(welcome.protocol));
        }
        if self.phase == Phase::AwaitingWelcome {
            let (server, lineage, member) = (self.server, welcome.lineage, welcome.member);
            tracing::info!(%server, lineage, member, "connected to a control server");
            self.phase = Phase::Established;
        }
        self.subscriber.on_welcome(self.stream, welcome)
    }

    fn on_ordinal(&self, ordinal: Seated) {
        let Seated { term, epoch, asked_ms, seat, seats } = ordinal;
        // 0 means that the server has received no report on this stream yet. Only the response to a report
        // can renew the lease.
        if asked_ms > 0 {
            let assignment = seat.map(|ordinal| OrdinalAssignment { ordinal, fleet_size: seats });
            let grant = OrdinalGrant { term, epoch, assignment };
            let message = FencedMessage::Ordinal { requested_at: Timestamp::from_millis(asked_ms), grant };
            self.subscriber.check_fencing(ORDINALS_ROLE, term, message);
        }
    }

    fn check_timeouts(&self) -> Result<(), StreamError> {
        let is_welcome_overdue =
            self.phase == Phase::AwaitingWelcome && self.opened_at.elapsed() >= WELCOME_TIMEOUT;
        if is_welcome_overdue || self.last_received_at.elapsed() >= SILENCE_TIMEOUT {
            return Err(StreamError::TimedOut);
        }
        Ok(())
    }

    /// Sends the pending responses to offers. Returns whether there were any.
    fn send_responses(&mut self) -> Result<bool, StreamError> {
        let responses = std::mem::take(&mut lock(&self.subscriber.state).stream.pending_responses);
        let has_responses = !responses.is_empty();
        for response in responses {
            send(&mut self.connection, from_client::Said::Answer(response))?;
        }
        Ok(has_responses)
    }

    /// Sends a report if one is due. Returns whether it was.
    fn send_report(&mut self) -> Result<bool, StreamError> {
        if self.phase != Phase::Established || self.last_report_at.elapsed() < REPORT_INTERVAL {
            return Ok(false);
        }
        self.last_report_at = Instant::now();
        let report = self.subscriber.report();
        send(&mut self.connection, from_client::Said::Figures(report))?;
        Ok(true)
    }
}

fn send(connection: &mut FramedConnection, message: from_client::Said) -> Result<(), ConnectionError> {
    connection.send(&FromClient { said: Some(message) })
}

impl ConfigSubscriber {
    fn hello(&self, state: &SubscriberState) -> Hello {
        let highest_terms = state.fencing.terms().iter();
        let in_force_for = self.now().duration_since(state.tracker.in_force_since());
        Hello {
            protocol: PROTOCOL_VERSION,
            proxy: self.settings.proxy.clone(),
            in_force: state.tracker.in_force().map(|accepted| accepted.version.clone()),
            build: self.settings.build.clone(),
            age_ms: in_force_for.as_millis() as u64,
            incarnation: self.incarnation,
            name_term: state.identity.term,
            seen: highest_terms.map(|(role, term)| Seen { duty: role.clone(), term: *term }).collect(),
        }
    }

    /// The report: the outcomes of requests since the start. It also requests a confirmation of the ordinal.
    fn report(&self) -> Figures {
        let totals = self.proxy.request_totals();
        let version = lock(&self.state).tracker.in_force().map_or(0, |accepted| accepted.version.number);
        Figures {
            succeeded: totals.succeeded,
            declined: totals.rejected,
            aborted: totals.failed,
            number: version,
            asked_ms: clock::now().as_millis_f64() as u64,
        }
    }

    /// Handles the message that another process was granted the proxy's name.
    fn on_superseded(&self, message: &Displaced) {
        let (name_term, by) = (message.name_term, format!("{:016x}", message.by));
        tracing::error!(
            name_term,
            by,
            "another process was granted this proxy's name; this process receives no more versions"
        );
        lock(&self.state).identity.is_superseded = true;
    }

    /// Handles a server's welcome, which names the server and the holder of the configuration role.
    ///
    /// # Errors
    ///
    /// [`StreamError`] if the stream must be closed, to try another server.
    fn on_welcome(&self, stream: u64, welcome: &Welcome) -> Result<(), StreamError> {
        let holder = announced_holder(welcome);
        let decision = {
            let mut state = lock(&self.state);
            state.identity.on_name_granted(welcome.name_term);
            let is_fencing_disabled = failpoints::is_check_disabled("receiver");
            let highest_term = if is_fencing_disabled { 0 } else { state.fencing.term(CONFIGURATION_ROLE) };
            state.discovery.on_welcome(self.now(), welcome.member, holder, highest_term)
        };
        if decision == StreamDecision::Close {
            return Err(holder.map_or(StreamError::NoLeaseHolder, StreamError::OtherLeaseHolder));
        }
        match holder.filter(|holder| holder.member == welcome.member) {
            Some(RoleHolder { term, .. }) => {
                self.check_fencing(CONFIGURATION_ROLE, term, FencedMessage::LeaseHolder { stream });
            }
            None => self.is_following.store(false, Ordering::Relaxed),
        }
        Ok(())
    }
}

/// The holder of the configuration role that a welcome names, and its term; `None` if it names none.
fn announced_holder(welcome: &Welcome) -> Option<RoleHolder> {
    let owner = welcome.owner.as_ref().filter(|owner| owner.duty == CONFIGURATION_ROLE)?;
    Some(RoleHolder { member: owner.member, term: owner.term })
}
