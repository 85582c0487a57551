//! The interface to clients: the one final response of an invocation.

use bytes::Bytes;
use saltdrum::interface::{InvocationId, Ticks};

/// The final response of an invocation.
pub enum FinalResponse<'a> {
    /// Succeeded, with the invoker's output byte for byte.
    Succeeded(&'a Bytes),
    /// Rejected: the invocation never ran, or may safely run again. The client may retry after this time; 0 gives no advice.
    Throttled(Ticks),
    /// Failed, with the reason; the invocation may have run.
    Errored(&'a str),
}

/// Delivers the final response of one invocation to its client.
pub trait Responder {
    /// Sends the final response after `attempts` attempts. Nothing of it is sent from `deadline` on.
    fn respond(self, id: InvocationId, response: FinalResponse, attempts: u8, deadline: Ticks);
    /// Sends nothing, because the client has stopped waiting.
    fn abandon(self, id: InvocationId);
}
