//! The state of the native path: its configuration, and how it sends attempts and load orders to invokers.

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
    /// Its number in the deployment.
    pub controller: u32,
    /// Rises with each start of its process.
    pub incarnation: u64,
    /// For random choices.
    pub seed: u64,
    /// The zone that it runs in.
    pub zone: u8,
    /// Where it listens for clients.
    pub client_addresses: Vec<Address>,
    /// Where the endpoint list is served. One at a time is followed, the next when it is lost; several serve one fleet.
    pub endpoint_lists: Vec<Address>,
    /// The deployment.
    pub terms: Rc<DeploymentSpec>,
    /// Where functions that are not in the deployment are looked up; none: there are no others.
    pub aliases: Option<AliasConfig>,
    /// Shuts the controller down.
    pub shutdown: ShutdownHandle,
    /// Whether it listens for clients only once invokers can be reached. Before that it would reject everything.
    pub listens_when_ready: bool,
}

pub(crate) type ControllerHandle = crate::ControllerHandle<InvokerConnections>;
pub(crate) type ControllerState = crate::ControllerState<InvokerConnections>;

/// How invokers are reached: one multiplexed connection each.
pub(crate) struct InvokerConnections {
    /// The deployment.
    pub terms: Rc<DeploymentSpec>,
    /// Names of functions, as invokers know them.
    pub functions: BTreeMap<FunctionId, String>,
    /// The connections. None is ever removed.
    pub by_invoker: BTreeMap<InvokerId, InvokerConnection>,
    /// Limits the rate of connection attempts.
    pub connect_budget: ConnectBudget,
    /// Draws reconnect delays.
    pub rng: fastrand::Rng,
    /// Revision of the endpoint list that was applied last.
    pub list_revision: Option<u64>,
    /// Whether the endpoint list is complete.
    pub has_endpoint_list: bool,
    /// Resolves aliases of the registry.
    pub aliases: Option<AliasResolver>,
}

impl InvokerConnections {
    /// Connections that stand.
    pub(crate) fn connections_up(&self) -> usize {
        self.by_invoker
            .values()
            .filter(|connection| connection.is_up())
            .count()
    }
}

/// What is sent along with an invocation's attempts.
pub(crate) struct Payload {
    pub call: rpc::Invoke,
    /// The registry's version that it runs; none: a function of the deployment.
    pub version: Option<RegistryVersion>,
}

/// A version of the registry, as invokers know it, and what pins it.
pub(crate) struct RegistryVersion {
    pub name: String,
    pub fixed: PinnedVersion,
}

/// A client's call, and what its response says of the pinned version.
pub(crate) struct PendingCall {
    pub reply: Reply,
    /// JSON fields that follow the others of the response.
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
                reply.result(id, &result, deadline);
            }
            FinalResponse::Throttled(retry_after) => {
                let data = format!(
                    r#"{{"come_back_ms":{},"dispatches":{attempts}{version_fields}}}"#,
                    retry_after / MILLISECOND
                );
                reply.error(id, rpc::THROTTLED, "throttled", Some(&data), deadline);
            }
            FinalResponse::Errored(reason) => {
                let data = format!(r#"{{"dispatches":{attempts}{version_fields}}}"#);
                reply.error(id, rpc::ERRORED, reason, Some(&data), deadline);
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
                .map_or(&b"null"[..], |i| i.get().as_bytes())
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
        // The invoker still answers what became of it.
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
        // By attempts, not by final responses: a failed attempt may have been followed by a successful retry.
        let is_success = match outcome {
            Outcome::Succeeded => Some(true),
            Outcome::Errored | Outcome::TimedOut => Some(false),
            _ => (report.start_kind == Some(StartKind::LoadFailed)).then_some(false),
        };
        let staged = payload
            .version
            .as_ref()
            .and_then(|version| version.fixed.staged.as_ref());
        if let (Some(aliases), Some(staged), Some(is_success)) =
            (&mut self.aliases, staged, is_success)
        {
            aliases.count(staged, is_success);
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
