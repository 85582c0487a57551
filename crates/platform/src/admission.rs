//! Admission of an invocation: its validation and its deadlines.

use crate::clients::{Client, ClientResponder, NO_DEADLINE, OVERLOAD_RETRY_AFTER_MS};
use crate::limits::OPEN_REQUEST_BYTES;
use crate::state::{ControllerHandle, ControllerState, NodeConfig};
use crate::transaction_ids::UsedId;
use saltdrum::interface::{FunctionId, Invocation, InvocationId, MILLISECOND, Ticks};
use saltdrum_controller::{FinalResponse, Responder};
use saltdrum_platform_wire::frames::Request;
use saltdrum_transport::ReadBacklog;
use std::rc::Rc;
use tracing::{debug, info_span};

/// Subtracted from the time limit that a client states, for the transit of the response.
const RESPONSE_MARGIN: Ticks = 10 * MILLISECOND;
/// How long after the client timeout a response is still sent to a client that has not left. A late response earns
/// nothing, but without it the invocation counts as lost. Responses are this late only if the process was stopped.
const LATE_RESPONSE_GRACE: Ticks = 500 * MILLISECOND;

/// Why an invocation is rejected. The text is the body of the response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdmissionError {
    #[error(transparent)]
    Malformed(#[from] saltdrum_platform_wire::Malformed),
    #[error("verb '{0}': not one of this deployment")]
    UnknownTrigger(String),
    #[error("team '{0}': not one of this deployment")]
    UnknownTenant(String),
    #[error("team: needed in this deployment")]
    TenantMissing,
    #[error("limit {0}: more than the client timeout")]
    LimitTooLong(f64),
    #[error("unique: needed for this verb")]
    TokenMissing,
    #[error("memory_mb {0}: more than any invoker has")]
    TooMuchMemory(f64),
    #[error("the client timeout is over")]
    Expired,
    #[error(transparent)]
    UsedId(#[from] UsedId),
}

/// The earliest time at which a request can have arrived, and whether its client's stream has unread bytes.
pub(crate) struct Arrival<'a> {
    pub earliest: Ticks,
    pub backlog: &'a ReadBacklog,
}

/// Admits an invocation, or returns why it is rejected.
pub(crate) fn admit(
    handle: &Rc<ControllerHandle>,
    state: &mut ControllerState,
    client: &Rc<Client>,
    stream: u32,
    request: Request,
    arrival: &Arrival,
) -> Result<(), AdmissionError> {
    let node = &handle.config;
    let resolved = resolve(node, &request)?;
    let client_deadline = arrival.earliest + resolved.time_limit;
    let waited_most_ms = state.invocations.now.saturating_sub(arrival.earliest) / MILLISECOND;
    let (txn, limit_ms) = (request.txn, request.limit_ms);
    if state.invocations.now >= client_deadline {
        state.invocations.counters.expired_on_arrival += 1;
        debug!(
            txn = format_args!("{txn:016x}"),
            limit_ms, waited_most_ms, "request rejected: client timeout may have expired"
        );
        return Err(AdmissionError::Expired);
    }
    let transaction = node.clients.transactions.open(txn)?;
    let memory = client
        .memory
        .reserve(OPEN_REQUEST_BYTES + request.body.len());
    let responder = ClientResponder {
        client: client.clone(),
        stream,
        clock: handle.clock,
    };
    let Some(memory) = memory else {
        debug!(
            txn = format_args!("{txn:016x}"),
            "request rejected: memory limit reached"
        );
        let retry_after = OVERLOAD_RETRY_AFTER_MS * MILLISECOND;
        responder.respond(0, FinalResponse::Throttled(retry_after), 0, NO_DEADLINE);
        return Ok(());
    };
    let traits = FunctionTraits::new(&request);
    let (backlog, lines) = (arrival.backlog.clone(), client.lines.clone());
    let transport = &state.invocations.transport;
    let payload = transport.make_payload(
        resolved.trigger,
        transaction,
        request,
        backlog,
        lines,
        memory,
    );
    let id = state.invocations.next_invocation_id();
    client.open_streams.borrow_mut().insert(stream, id);
    let invocation = to_policy_invocation(id, &resolved, &traits, arrival.earliest);
    let span = info_span!("invocation", id, txn = format_args!("{txn:016x}"));
    span.in_scope(|| {
        debug!(
            trigger = resolved.trigger,
            function = format_args!("{:016x}", invocation.function),
            limit_ms,
            waited_most_ms,
            "invocation admitted"
        );
    });
    let response_deadline = client_deadline + LATE_RESPONSE_GRACE;
    state.accept(invocation, response_deadline, payload, responder, span);
    Ok(())
}

/// The values of a request that were resolved against the deployment.
struct ResolvedRequest {
    trigger: usize,
    tenant: usize,
    /// How long the client waits.
    time_limit: Ticks,
}

/// Validates a request against the deployment.
fn resolve(node: &NodeConfig, request: &Request) -> Result<ResolvedRequest, AdmissionError> {
    let trigger = node
        .trigger_names
        .iter()
        .position(|name| *name == request.trigger);
    let trigger = trigger.ok_or_else(|| AdmissionError::UnknownTrigger(request.trigger.clone()))?;
    let trigger_type = &node.deployment.trigger_types[trigger];
    // Without tenants the field is ignored; otherwise the tenant determines whose quota the invocation uses.
    let tenant = match &request.tenant {
        _ if node.tenant_names.is_empty() => 0,
        Some(name) => {
            let tenant = node.tenant_names.iter().position(|n| n == name);
            tenant.ok_or_else(|| AdmissionError::UnknownTenant(name.clone()))?
        }
        None => return Err(AdmissionError::TenantMissing),
    };
    let time_limit = (request.limit_ms * MILLISECOND as f64) as Ticks;
    if time_limit > trigger_type.client_timeout {
        return Err(AdmissionError::LimitTooLong(request.limit_ms));
    }
    if trigger_type.effect == saltdrum::interface::Effect::IdempotencyKey && request.token.is_none()
    {
        return Err(AdmissionError::TokenMissing);
    }
    let max_memory_mb = node
        .deployment
        .machine_memory_mb
        .iter()
        .copied()
        .fold(0.0, f64::max);
    if max_memory_mb > 0.0 && request.memory_mb > max_memory_mb {
        return Err(AdmissionError::TooMuchMemory(request.memory_mb));
    }
    Ok(ResolvedRequest {
        trigger,
        tenant,
        time_limit,
    })
}

/// What a request states about its function. Its body and token are passed to the transport instead.
struct FunctionTraits {
    function: FunctionId,
    work_hint_ms: Option<f64>,
    memory_mb: f64,
    concurrency_limit: f64,
    load_ms: Option<f64>,
}

impl FunctionTraits {
    fn new(request: &Request) -> Self {
        Self {
            function: request.function,
            work_hint_ms: request.work_hint_ms,
            memory_mb: request.memory_mb,
            concurrency_limit: request.concurrency_limit,
            load_ms: request.load_ms,
        }
    }
}

/// The invocation as the policy sees it.
fn to_policy_invocation(
    id: InvocationId,
    resolved: &ResolvedRequest,
    traits: &FunctionTraits,
    earliest: Ticks,
) -> Invocation {
    let ticks = |ms: f64| (ms * MILLISECOND as f64) as Ticks;
    let client_leaves_at = earliest + resolved.time_limit;
    Invocation {
        id,
        trigger: resolved.trigger,
        tenant: resolved.tenant,
        function: traits.function,
        earliest_arrival: earliest,
        // At most a quarter of a short time limit is reserved for the transit.
        expires_at: client_leaves_at - RESPONSE_MARGIN.min(resolved.time_limit / 4),
        work_hint: traits.work_hint_ms.map(ticks),
        memory_mb: traits.memory_mb,
        concurrency_limit: traits.concurrency_limit,
        load_time_hint: traits.load_ms.map(ticks),
    }
}
