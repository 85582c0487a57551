//! The interface to invokers, through which attempts and load orders are sent.

use crate::responder::Responder;
use bytes::Bytes;
use saltdrum::interface::{
    FunctionId, InvocationId, InvokerId, LoadOutcome, LoadReport, Outcome, ProbeOutcome, StartKind,
    Ticks,
};

/// An attempt to send to an invoker.
pub struct OutgoingDispatch<'a, P> {
    /// The invocation.
    pub invocation: InvocationId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// The invoker that it is sent to.
    pub invoker: InvokerId,
    /// The function to run.
    pub function: FunctionId,
    /// The data sent with the attempt.
    pub payload: &'a P,
    /// The current time.
    pub now: Ticks,
    /// When the attempt times out.
    pub deadline: Ticks,
    /// Its transmission does not begin from then on.
    pub send_by: Ticks,
    /// When the client stops waiting.
    pub client_deadline: Ticks,
}

/// What an invoker's answer reports in addition to the outcome.
#[derive(Default)]
pub struct AttemptReport {
    /// How the attempt got its instance: warm, or by a load that it began or joined; or that the load failed.
    pub start_kind: Option<StartKind>,
    /// Concurrent invocations of the same function at the invoker.
    pub concurrency: Option<u8>,
    /// The invoker's load.
    pub load_report: LoadReport,
    /// The function's output.
    pub output: Bytes,
}

/// Sends attempts and load orders to invokers, and assigns their numbers.
pub trait InvokerTransport: Sized + 'static {
    /// The data of an invocation that is sent with its attempts.
    type Payload;
    /// Delivers the final response.
    type Responder: Responder;
    /// The configuration of a controller with this transport.
    type Config;

    /// Sends an attempt and returns its number. `Err`: it was not sent and has ended with this outcome.
    fn dispatch(&mut self, outgoing: &OutgoingDispatch<Self::Payload>) -> Result<u64, Outcome>;
    /// Withdraws an attempt that has not been sent, and therefore provably never ran. Returns false if it may have run.
    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// Cancels an attempt. Returns true if no answer to it will be received.
    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// Handles the end of an attempt, whatever its outcome.
    fn attempt_ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        payload: &Self::Payload,
        outcome: Outcome,
        report: &AttemptReport,
    );
    /// Sends a load order, whose transmission does not begin from `send_by` on, and returns its number. `Err`: it was not sent
    /// and has ended with this outcome.
    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
        send_by: Ticks,
    ) -> Result<u64, LoadOutcome>;
    /// When a load order was completely sent, if known.
    fn load_sent_at(&self, _order: u64) -> Option<Ticks> {
        None
    }
    /// Handles the end of a load order, whatever its outcome.
    fn load_ended(&mut self, invoker: InvokerId, order: u64);
    /// Orders an invoker to unload idle instances.
    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId);
    /// Probes whether an invoker accepts new work. A result that the policy needs is reported to
    /// [`ControllerState::probe_ended`](crate::ControllerState::probe_ended).
    /// `Err`: the probe was not sent and has ended with this outcome.
    fn probe(&mut self, now: Ticks, invoker: InvokerId) -> Result<(), ProbeOutcome>;
}
