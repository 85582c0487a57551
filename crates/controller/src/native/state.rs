//! Configuration and state of the native path, including how attempts and load orders are sent to invokers.

use crate::native::aliases::{AliasConfig, AliasResolver};
use crate::native::invoker_connection::InvokerConnection;
use crate::native::reply::Reply;
use crate::reconnect::ConnectBudget;
use crate::responder::{FinalResponse, Responder};
use crate::shutdown::ShutdownHandle;
use crate::transport::{AttemptReport, InvokerTransport, OutgoingDispatch};
use saltdrum::interface::{
    FunctionId, InvocationId, InvokerId, LoadOutcome, MILLISECOND, Outcome, ProbeOutcome,
    StartKind, Ticks,
};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_protocol::{invoker as wire, rpc};
use saltdrum_registry::version_pin::PinnedVersion;
use saltdrum_transport::Address;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The configuration of one controller.
#[derive(Clone)]
pub struct ControllerConfig {
    /// The controller's number in the deployment.
    pub controller: u32,
    /// Increases with each start of its process.
    pub incarnation: u64,
    /// Seed of its random number generators.
    pub seed: u64,
    /// The zone in which it runs.
    pub zone: u8,
    /// Addresses at which it listens for clients.
    pub client_addresses: Vec<Address>,
    /// Addresses of the servers of the endpoint list, all of the same fleet. One server is followed at a time; when its
    /// connection is lost, the next one.
    pub endpoint_lists: Vec<Address>,
    /// The deployment.
    pub terms: Rc<DeploymentSpec>,
    /// How functions that are not part of the deployment are looked up. Without it, calls of them are rejected.
    pub aliases: Option<AliasConfig>,
    /// Controls the shutdown of the controller.
    pub shutdown: ShutdownHandle,
    /// Whether it starts to listen for clients only once invokers are connected; before that it would reject every invocation.
    pub listens_when_ready: bool,
}

pub(crate) type ControllerHandle = crate::ControllerHandle<InvokerConnections>;
pub(crate) type ControllerState = crate::ControllerState<InvokerConnections>;

/// The invoker transport of the native path: one multiplexed connection to each invoker.
pub(crate) struct InvokerConnections {
    /// The deployment.
    pub terms: Rc<DeploymentSpec>,
    /// Function names as sent to invokers.
    pub functions: BTreeMap<FunctionId, String>,
    /// The connections, which are never removed.
    pub by_invoker: BTreeMap<InvokerId, InvokerConnection>,
    /// Limits the rate of connection attempts.
    pub connect_budget: ConnectBudget,
    /// Draws reconnect delays.
    pub rng: fastrand::Rng,
    /// Revision of the most recently applied endpoint list or watch event.
    pub list_revision: Option<u64>,
    /// Whether a complete endpoint list has been received.
    pub has_endpoint_list: bool,
    /// Resolves aliases of the registry.
    pub aliases: Option<AliasResolver>,
}

impl InvokerConnections {
    /// Number of established connections.
    pub(crate) fn connections_up(&self) -> usize {
        self.by_invoker
            .values()
            .filter(|connection| connection.is_up())
            .count()
    }
}

/// The data sent with each attempt of an invocation.
pub(crate) struct Payload {
    pub call: rpc::Invoke,
    /// The registry version to run; `None` for a function of the deployment.
    pub version: Option<RegistryVersion>,
}

/// A registry version, by the name that invokers know, and its pin.
pub(crate) struct RegistryVersion {
    pub name: String,
    pub pin: PinnedVersion,
}

/// An accepted call of a client, with the version fields of its response.
pub(crate) struct PendingCall {
    pub reply: Reply,
    /// JSON fields that are appended to the response.
    pub version_fields: String,
}

impl Responder for PendingCall {
    fn respond(self, id: InvocationId, response: FinalResponse, attempts: u8, deadline: Ticks) {
        let Self {
            reply,
            version_fields,
        } = self;
        match response {
            FinalResponse::Succeeded(output) => {
                let output = std::str::from_utf8(output).unwrap_or("null");
                let result =
                    format!(r#"{{"output":{output},"dispatches":{attempts}{version_fields}}}"#);
                reply.send_result(id, &result, deadline);
            }
            FinalResponse::Throttled(retry_after) => {
                let data = format!(
                    r#"{{"come_back_ms":{},"dispatches":{attempts}{version_fields}}}"#,
                    retry_after / MILLISECOND
                );
                reply.send_error(id, rpc::THROTTLED, "throttled", Some(&data), deadline);
            }
            FinalResponse::Errored(reason) => {
                let data = format!(r#"{{"dispatches":{attempts}{version_fields}}}"#);
                reply.send_error(id, rpc::ERRORED, reason, Some(&data), deadline);
            }
        }
    }

    fn abandon(self, id: InvocationId) {
        self.reply.abandon(id);
    }
}

impl InvokerTransport for InvokerConnections {
    type Payload = Payload;
    type Responder = PendingCall;
    type Config = ControllerConfig;

    fn dispatch(&mut self, outgoing: &OutgoingDispatch<Payload>) -> Result<u64, Outcome> {
        let Payload { call, version } = outgoing.payload;
        let frame = wire::DispatchOut {
            dispatch: 0,
            invocation: outgoing.invocation,
            hop: outgoing.attempt,
            function: outgoing.function,
            name: version
                .as_ref()
                .map_or(&call.function, |version| &version.name),
            tenant: &call.tenant,
            trigger: &call.trigger,
            left_tenths: outgoing.client_deadline - outgoing.now.min(outgoing.client_deadline),
            token: call.token.as_deref(),
            input: call
                .input
                .as_ref()
                .map_or(&b"null"[..], |input| input.get().as_bytes())
                .into(),
        };
        let connection = self
            .by_invoker
            .get_mut(&outgoing.invoker)
            .ok_or(Outcome::NoConnection)?;
        connection.dispatch(
            frame,
            outgoing.send_by,
            outgoing.invocation,
            outgoing.attempt,
        )
    }

    fn withdraw(&mut self, invoker: InvokerId, dispatch: u64) -> bool {
        self.by_invoker
            .get_mut(&invoker)
            .is_some_and(|connection| connection.withdraw(dispatch))
    }

    fn cancel(&mut self, invoker: InvokerId, dispatch: u64) -> bool {
        if let Some(connection) = self.by_invoker.get_mut(&invoker) {
            connection.cancel(dispatch);
        }
        // The invoker still reports the outcome of the cancelled attempt.
        false
    }

    fn attempt_ended(
        &mut self,
        invoker: InvokerId,
        dispatch: u64,
        payload: &Payload,
        outcome: Outcome,
        report: &AttemptReport,
    ) {
        // Rollout results count attempts, not final responses: a failed attempt may be followed by a successful retry.
        let is_success = match outcome {
            Outcome::Succeeded => Some(true),
            Outcome::Errored | Outcome::TimedOut => Some(false),
            _ => (report.start_kind == Some(StartKind::LoadFailed)).then_some(false),
        };
        let staged = payload
            .version
            .as_ref()
            .and_then(|version| version.pin.staged.as_ref());
        if let (Some(aliases), Some(staged), Some(is_success)) =
            (&mut self.aliases, staged, is_success)
        {
            aliases.count_result(staged, is_success);
        }
        if let Some(connection) = self.by_invoker.get_mut(&invoker) {
            connection.abandon(dispatch);
        }
    }

    fn load(
        &mut self,
        _: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
        _: Ticks,
    ) -> Result<u64, LoadOutcome> {
        let name = self.functions.get(&function).cloned().unwrap_or_default();
        let connection = self.by_invoker.get_mut(&invoker);
        connection
            .and_then(|connection| connection.load(function, name, count))
            .ok_or(LoadOutcome::Unreachable)
    }

    fn load_ended(&mut self, invoker: InvokerId, order: u64) {
        if let Some(connection) = self.by_invoker.get_mut(&invoker) {
            connection.load_orders.remove(&order);
        }
    }

    fn unload(&mut self, _: Ticks, invoker: InvokerId, function: FunctionId) {
        if let Some(connection) = self.by_invoker.get_mut(&invoker) {
            connection.unload(function);
        }
    }

    fn probe(&mut self, _: Ticks, invoker: InvokerId) -> Result<(), ProbeOutcome> {
        let connection = self.by_invoker.get_mut(&invoker);
        connection.ok_or(ProbeOutcome::Unreachable)?.probe();
        Ok(())
    }
}
