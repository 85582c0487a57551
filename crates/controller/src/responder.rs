//! The interface towards a client: the one final response of an invocation.

use bytes::Bytes;
use saltdrum::interface::{InvocationId, Ticks};

/// A final response on its way to the client.
pub enum FinalResponse<'a> {
    /// The invoker's output, byte for byte.
    Succeeded(&'a Bytes),
    /// Rejected: it never ran, or may safely run again. The client may retry after this time; 0: no advice.
    Throttled(Ticks),
    /// Failed, with the reason; it may have run.
    Errored(&'a str),
}

/// Takes the final response of one invocation.
pub trait Responder {
    /// Sends the final response, after so many attempts. Nothing of it is sent from `deadline` on.
    fn respond(self, id: InvocationId, response: FinalResponse, attempts: u8, deadline: Ticks);
    /// Sends nothing: the client waits no more.
    fn abandon(self, id: InvocationId);
}
