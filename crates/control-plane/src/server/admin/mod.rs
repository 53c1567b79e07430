//! Operator calls: each connection carries one call and its response.

mod fleet;
mod group;
mod outcome;
mod versions;

use std::time::Instant;

use gaugestep_config::schema::{
    Call, FromClient, FromService, Reply, call, from_client, from_service, reply,
};
use gaugestep_leadership::ORDINALS_ROLE;

use crate::server::admin::outcome::{CallFailure, CallResult};
use crate::server::error::SessionError;
use crate::server::session::SILENCE_TIMEOUT;
use crate::server::state::{ServerContext, SessionId};
use crate::transport::connection::FramedConnection;

/// The maximum number of concurrent operator calls.
const MAX_OPEN_CALLS: usize = 64;

/// Serves the connection of an operator until it ends.
pub(crate) fn serve(context: &ServerContext, mut connection: FramedConnection) -> Result<(), SessionError> {
    let id = open_call(context, &connection)?;
    let result = serve_call(context, &mut connection);
    context.lock_state().open_calls -= 1;
    context.on_session_closed(id);
    result
}

fn open_call(context: &ServerContext, connection: &FramedConnection) -> Result<SessionId, SessionError> {
    let mut state = context.lock_state();
    if state.open_calls >= MAX_OPEN_CALLS {
        return Err(SessionError::TooManyCalls);
    }
    state.open_calls += 1;
    // Sessions are woken periodically, which lets this call check its deadline.
    Ok(state.sessions.open(connection.waker()))
}

fn serve_call(context: &ServerContext, connection: &mut FramedConnection) -> Result<(), SessionError> {
    let opened_at = Instant::now();
    let mut responded = false;
    loop {
        let closed = connection.pump()?;
        if !responded {
            responded = respond_to_next_call(context, connection)?;
        }
        if closed {
            return Ok(());
        }
        if opened_at.elapsed() >= SILENCE_TIMEOUT {
            return Err(SessionError::CallTimeout);
        }
        connection.wait();
    }
}

/// Executes the call and sends the response; returns false if no complete call has been received yet.
fn respond_to_next_call(
    context: &ServerContext,
    connection: &mut FramedConnection,
) -> Result<bool, SessionError> {
    let Some(message) = connection.next_message::<FromClient>()? else { return Ok(false) };
    let Some(from_client::Said::Call(call)) = message.said else {
        return Err(SessionError::UnexpectedMessage);
    };
    let response = Reply { what: Some(context.response_to(call)) };
    connection.send(&FromService { said: Some(from_service::Said::Reply(response)) })?;
    connection.pump()?;
    Ok(true)
}

impl ServerContext {
    fn response_to(&self, call: Call) -> reply::What {
        let result = match call.what {
            Some(request) => self.execute(request),
            None => Err(CallFailure::rejected("a call that this build does not know")),
        };
        result.unwrap_or_else(reply::What::from)
    }

    /// Executes a call. Calls that propose a command block the coroutine until the command has a result.
    fn execute(&self, request: call::What) -> CallResult {
        match request {
            call::What::Publish(publish) => self.publish(publish),
            call::What::Rollback(rollback) => self.roll_back(rollback),
            call::What::List(list) => Ok(self.list_versions(list.most)),
            call::What::Show(show) => self.show_version(show.number),
            call::What::Status(_) => self.fleet_status(),
            call::What::Members(_) => Ok(reply::What::Members(self.replica.members())),
            call::What::Duties(_) => Ok(reply::What::Duties(self.replica.roles())),
            call::What::Seats(_) => self.show_roster(),
            call::What::AddMember(member) => self.add_member(member),
            call::What::RemoveMember(member) => self.remove_member(member),
            call::What::HandOver(request) => self.hand_over(&request),
            call::What::Declare(role) => self.declare(&role),
            call::What::TakeOver(role) => self.take_over(&role),
        }
    }

    fn show_roster(&self) -> CallResult {
        match self.roster_report() {
            Some(roster) => Ok(reply::What::Seats(roster)),
            None => Err(CallFailure::Rejected(format!(
                "no roster is kept: `declare {ORDINALS_ROLE}` has one kept"
            ))),
        }
    }
}
