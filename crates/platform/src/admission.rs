//! Admission of an invocation: what is checked, and how long its client waits.

use crate::clients::{Client, ClientResponder, NO_DEADLINE, OVERLOAD_RETRY_AFTER_MS};
use crate::state::{ControllerHandle, ControllerState};
use saltdrum::interface::{Invocation, MILLISECOND, Ticks};
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

/// Admits an invocation that came at `earliest` or later; `Err` says why it can't be taken.
pub(crate) fn admit(
    handle: &Rc<ControllerHandle>,
    state: &mut ControllerState,
    client: &Rc<Client>,
    stream: u32,
    request: Request,
    earliest: Ticks,
    backlog: &ReadBacklog,
) -> Result<(), AdmissionError> {
    let (seat, invocations) = (&handle.config, &mut state.invocations);
    let trigger = seat
        .trigger_names
        .iter()
        .position(|n| *n == request.trigger);
    let trigger = trigger.ok_or_else(|| AdmissionError::UnknownTrigger(request.trigger.clone()))?;
    let stated = &seat.deployment.trigger_types[trigger];
    // Where there are no tenants the field says nothing; where there are, whose it is decides whose share it uses.
    let tenant = match &request.tenant {
        _ if seat.tenant_names.is_empty() => 0,
        Some(name) => {
            let tenant = seat.tenant_names.iter().position(|n| n == name);
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
    let memory_most = seat
        .deployment
        .machine_memory_mb
        .iter()
        .copied()
        .fold(0.0, f64::max);
    if memory_most > 0.0 && request.memory_mb > memory_most {
        return Err(AdmissionError::TooMuchMemory(request.memory_mb));
    }
    let gone = earliest + limit;
    if invocations.now >= gone {
        invocations.counters.expired_on_arrival += 1;
        debug!(
            txn = format_args!("{:016x}", request.txn),
            limit_ms = request.limit_ms,
            waited_most_ms = (invocations.now - earliest) / MILLISECOND,
            "not taken: it may have waited for all of its time"
        );
        return Err(AdmissionError::Expired);
    }
    if !seat
        .clients
        .open_transactions
        .borrow_mut()
        .insert(request.txn)
    {
        return Err(AdmissionError::TransactionOpen);
    }
    let (txn, open_transactions) = (request.txn, seat.clients.open_transactions.clone());
    let reply = ClientResponder {
        client: client.clone(),
        stream,
        txn,
        open_transactions,
        clock: handle.clock,
    };
    let carried =
        invocations
            .transport
            .carry(trigger, txn, request.token, request.body, backlog.clone());
    let Some(carried) = carried else {
        debug!(
            txn = format_args!("{txn:016x}"),
            "refused: no room for its input"
        );
        reply.respond(
            0,
            FinalResponse::Throttled(OVERLOAD_RETRY_AFTER_MS * MILLISECOND),
            0,
            NO_DEADLINE,
        );
        return Ok(());
    };
    let id = invocations.next_invocation();
    client.open.borrow_mut().insert(stream, id);
    let tenths = |ms: f64| (ms * MILLISECOND as f64) as Ticks;
    let invocation = Invocation {
        id,
        trigger,
        tenant,
        function: request.function,
        earliest_arrival: earliest,
        // Short waits keep their larger part for the work.
        expires_at: gone - RESPONSE_MARGIN.min(limit / 4),
        work_hint: request.work_hint_ms.map(tenths),
        memory_mb: request.memory_mb,
        concurrency_limit: request.lanes,
        load_time_hint: request.load_ms.map(tenths),
    };
    let span = info_span!("invocation", id, txn = format_args!("{txn:016x}"));
    span.in_scope(|| {
        debug!(
            trigger,
            function = format_args!("{:016x}", invocation.function),
            limit_ms = request.limit_ms,
            waited_most_ms = (invocations.now - earliest) / MILLISECOND,
            "taken"
        );
    });
    state.accept(invocation, gone + LATE_RESPONSE_GRACE, carried, reply, span);
    Ok(())
}
