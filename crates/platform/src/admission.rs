//! Admission of an invocation: what is checked, and how long its client waits.

use crate::clients::{Client, ClientResponder, NO_DEADLINE, OVERLOAD_RETRY_AFTER_MS};
use crate::state::{ControllerHandle, ControllerState, NodeConfig};
use saltdrum::interface::{FunctionId, Invocation, InvocationId, MILLISECOND, Ticks};
use saltdrum_controller::{FinalResponse, Responder};
use saltdrum_platform_wire::frames::Request;
use saltdrum_transport::ReadBacklog;
use std::rc::Rc;
use tracing::{debug, info_span};

/// Taken off what a client says it will wait, for the answer's way back.
const RESPONSE_MARGIN: Ticks = 10 * MILLISECOND;
/// A client that has not left is owed its answer for so long after its client timeout: such a one earns nothing, and
/// without it the invocation counts as lost. Only a process that was stopped comes so late.
const LATE_RESPONSE_GRACE: Ticks = 500 * MILLISECOND;

/// Why an invocation is not admitted. The text is the body of the response.
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
    #[error("txn: open already")]
    TransactionOpen,
}

/// When a request arrived, and whether its client's stream holds unread bytes.
pub(crate) struct Arrival<'a> {
    pub earliest: Ticks,
    pub backlog: &'a ReadBacklog,
}

/// Admits an invocation, or says why it cannot be admitted.
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
    let client_deadline = arrival.earliest + resolved.limit;
    let waited_most_ms = state.invocations.now.saturating_sub(arrival.earliest) / MILLISECOND;
    let (txn, limit_ms) = (request.txn, request.limit_ms);
    if state.invocations.now >= client_deadline {
        state.invocations.counters.expired_on_arrival += 1;
        debug!(
            txn = format_args!("{txn:016x}"),
            limit_ms, waited_most_ms, "request rejected: client timeout may be over"
        );
        return Err(AdmissionError::Expired);
    }
    let open_transactions = node.clients.open_transactions.clone();
    if !open_transactions.borrow_mut().insert(txn) {
        return Err(AdmissionError::TransactionOpen);
    }
    let responder = ClientResponder {
        client: client.clone(),
        stream,
        txn,
        open_transactions,
        clock: handle.clock,
    };
    let traits = FunctionTraits::new(&request);
    let (token, body, backlog) = (request.token, request.body, arrival.backlog.clone());
    let transport = &state.invocations.transport;
    let Some(payload) = transport.carry(resolved.trigger, txn, token, body, backlog) else {
        debug!(
            txn = format_args!("{txn:016x}"),
            "request rejected: no memory for its input"
        );
        let retry_after = OVERLOAD_RETRY_AFTER_MS * MILLISECOND;
        responder.respond(0, FinalResponse::Throttled(retry_after), 0, NO_DEADLINE);
        return Ok(());
    };
    let id = state.invocations.next_invocation_id();
    client.open.borrow_mut().insert(stream, id);
    let invocation = describe(id, &resolved, &traits, arrival.earliest);
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
    let answer_until = client_deadline + LATE_RESPONSE_GRACE;
    state.accept(invocation, answer_until, payload, responder, span);
    Ok(())
}

/// What a request says, found in the deployment.
struct ResolvedRequest {
    trigger: usize,
    tenant: usize,
    /// How long its client waits.
    limit: Ticks,
}

/// Checks a request against the deployment.
fn resolve(node: &NodeConfig, request: &Request) -> Result<ResolvedRequest, AdmissionError> {
    let trigger = node
        .trigger_names
        .iter()
        .position(|n| *n == request.trigger);
    let trigger = trigger.ok_or_else(|| AdmissionError::UnknownTrigger(request.trigger.clone()))?;
    let stated = &node.deployment.trigger_types[trigger];
    // Where there are no tenants the field says nothing; where there are, whose it is decides whose share it uses.
    let tenant = match &request.tenant {
        _ if node.tenant_names.is_empty() => 0,
        Some(name) => {
            let tenant = node.tenant_names.iter().position(|n| n == name);
            tenant.ok_or_else(|| AdmissionError::UnknownTenant(name.clone()))?
        }
        None => return Err(AdmissionError::TenantMissing),
    };
    let limit = (request.limit_ms * MILLISECOND as f64) as Ticks;
    if limit > stated.client_timeout {
        return Err(AdmissionError::LimitTooLong(request.limit_ms));
    }
    if stated.effect == saltdrum::interface::Effect::IdempotencyKey && request.token.is_none() {
        return Err(AdmissionError::TokenMissing);
    }
    let memory_most = node
        .deployment
        .machine_memory_mb
        .iter()
        .copied()
        .fold(0.0, f64::max);
    if memory_most > 0.0 && request.memory_mb > memory_most {
        return Err(AdmissionError::TooMuchMemory(request.memory_mb));
    }
    Ok(ResolvedRequest {
        trigger,
        tenant,
        limit,
    })
}

/// What a request says of its function; its body and token go to the transport.
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
fn describe(
    id: InvocationId,
    resolved: &ResolvedRequest,
    traits: &FunctionTraits,
    earliest: Ticks,
) -> Invocation {
    let ticks = |ms: f64| (ms * MILLISECOND as f64) as Ticks;
    let client_leaves_at = earliest + resolved.limit;
    Invocation {
        id,
        trigger: resolved.trigger,
        tenant: resolved.tenant,
        function: traits.function,
        earliest_arrival: earliest,
        // Short waits keep their larger part for the work.
        expires_at: client_leaves_at - RESPONSE_MARGIN.min(resolved.limit / 4),
        work_hint: traits.work_hint_ms.map(ticks),
        memory_mb: traits.memory_mb,
        concurrency_limit: traits.concurrency_limit,
        load_time_hint: traits.load_ms.map(ticks),
    }
}
