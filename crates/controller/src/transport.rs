//! The interface towards invokers: how attempts and load orders are sent.

use crate::responder::Responder;
use bytes::Bytes;
use saltdrum::interface::{
    FunctionId, InvocationId, InvokerId, LoadOutcome, LoadReport, Outcome, ProbeOutcome, StartKind,
    Ticks,
};

/// An attempt on its way to an invoker.
pub struct OutgoingDispatch<'a, P> {
    /// The invocation.
    pub invocation: InvocationId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// Where it is sent.
    pub invoker: InvokerId,
    /// What it runs.
    pub function: FunctionId,
    /// What is sent along.
    pub payload: &'a P,
    /// The present time.
    pub now: Ticks,
    /// The attempt has ended by then.
    pub deadline: Ticks,
    /// Nothing of it begins to be sent from then on.
    pub send_by: Ticks,
    /// When the client stops waiting.
    pub client_deadline: Ticks,
}

/// What an invoker's answer tells beside its outcome.
#[derive(Default)]
pub struct AttemptReport {
    /// Whether the attempt found an instance.
    pub start_kind: Option<StartKind>,
    /// Invocations of the same function at the invoker.
    pub concurrency: Option<u8>,
    /// The invoker's load.
    pub load_report: LoadReport,
    /// What the function answered.
    pub output: Bytes,
}

/// Sends attempts and load orders to invokers. Their numbers are chosen here.
pub trait InvokerTransport: Sized + 'static {
    /// What of an invocation is sent along with its attempts.
    type Payload;
    /// Who takes the final response.
    type Responder: Responder;
    /// The configuration of a controller with this transport.
    type Config;

    /// Sends an attempt. `Err`: it was not sent, and this is its end.
    fn dispatch(&mut self, outgoing: &OutgoingDispatch<Self::Payload>) -> Result<u64, Outcome>;
    /// Withdraws an attempt that provably never ran because it has not been sent. False: it may have run.
    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// Cancels an attempt. True: nothing more will be heard of it.
    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool;
    /// An attempt has ended, one way or another.
    fn attempt_ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        payload: &Self::Payload,
        outcome: Outcome,
        report: &AttemptReport,
    );
    /// Sends a load order, nothing of which begins to be sent from `send_by` on. `Err`: it was not sent, and this is its end.
    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
        send_by: Ticks,
    ) -> Result<u64, LoadOutcome>;
    /// When a load order had been sent completely, where that is known.
    fn load_sent_at(&self, _order: u64) -> Option<Ticks> {
        None
    }
    /// A load order has ended, one way or another.
    fn load_ended(&mut self, invoker: InvokerId, order: u64);
    /// Orders an invoker to unload idle instances.
    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId);
    /// Asks an invoker whether it takes new work. Where the policy has to know, the end is given to
    /// [`ControllerState::probe_ended`](crate::ControllerState::probe_ended).
    /// `Err`: it was not sent, and this is its end.
    fn probe(&mut self, now: Ticks, invoker: InvokerId) -> Result<(), ProbeOutcome>;
}
