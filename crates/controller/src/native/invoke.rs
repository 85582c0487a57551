//! Checks a client's `invoke` call and turns it into an accepted invocation.

use crate::native::reply::Reply;
use crate::native::state::{ControllerState, Payload, PendingCall, RegistryVersion};
use saltdrum::interface::{FunctionId, Invocation, MILLISECOND, Ticks};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_protocol::rpc;
use saltdrum_registry::version_pin::{PinRequest, ResolveError};
use tracing::info_span;

/// The answer margin is at most this fraction (one over the divisor) of the client's wait, so that short waits keep most of
/// their time for execution.
const MAX_ANSWER_MARGIN_DIVISOR: Ticks = 4;

/// The earliest arrival time of a call, and the shortest wait of the batch that it belongs to.
#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    pub earliest: Ticks,
    pub shortest_wait: Option<Ticks>,
}

/// Code and message of the JSON-RPC error with which a call is rejected.
struct Rejection {
    code: i64,
    reason: String,
}

impl Rejection {
    fn invalid_params(reason: String) -> Self {
        Self {
            code: rpc::INVALID_PARAMS,
            reason,
        }
    }

    fn unknown(kind: &str, name: &str) -> Self {
        Self::invalid_params(format!("{kind} '{name}': not one of this deployment"))
    }
}

/// The function or version that an invocation runs.
struct Target {
    function: FunctionId,
    memory_mb: f64,
    concurrency_limit: f64,
    load_time_hint: Option<Ticks>,
    version: Option<RegistryVersion>,
}

/// Accepts the call as an invocation, or rejects it.
pub(crate) fn invoke(
    state: &mut ControllerState,
    call: rpc::Invoke,
    arrival: Arrival,
    mut reply: Reply,
) {
    let terms = state.invocations.transport.terms.clone();
    let checked = match check_call(state, &terms, &call, arrival) {
        Ok(checked) => checked,
        Err(rejection) => return reply.reject(rejection.code, &rejection.reason),
    };
    if state.invocations.now >= checked.client_deadline {
        state.invocations.counters.expired_on_arrival += 1;
        return reply.skip();
    }
    let id = state.invocations.next_invocation_id();
    reply.mark_accepted(id);
    let work_hint_ms = call.work_hint_ms.filter(|ms| *ms > 0.0);
    let invocation = Invocation {
        id,
        trigger: checked.trigger,
        tenant: checked.tenant,
        function: checked.target.function,
        earliest_arrival: arrival.earliest,
        expires_at: checked.expires_at,
        work_hint: work_hint_ms.map(|ms| (ms * MILLISECOND as f64) as Ticks),
        memory_mb: checked.target.memory_mb,
        concurrency_limit: checked.target.concurrency_limit,
        load_time_hint: checked.target.load_time_hint,
    };
    let (function, tenant) = (&call.function, &call.tenant);
    let span = info_span!("invocation", id, function, tenant);
    let version = checked.target.version;
    let version_fields = version.as_ref().map_or_else(String::new, version_fields);
    let payload = Payload { call, version };
    let pending_call = PendingCall {
        reply,
        version_fields,
    };
    state.accept(
        invocation,
        checked.client_deadline,
        payload,
        pending_call,
        span,
    );
}

/// A call whose trigger type, tenant and function exist.
struct CheckedCall {
    trigger: usize,
    tenant: usize,
    target: Target,
    /// When the client stops waiting.
    client_deadline: Ticks,
    /// When the final response has to be sent so that it reaches the client in time.
    expires_at: Ticks,
}

fn check_call(
    state: &mut ControllerState,
    terms: &DeploymentSpec,
    call: &rpc::Invoke,
    arrival: Arrival,
) -> Result<CheckedCall, Rejection> {
    let (trigger, tenant) = find_trigger_and_tenant(terms, call)?;
    let target = find_target(state, terms, call)?;
    let client_timeout = terms.deployment.trigger_types[trigger].client_timeout;
    let wait = client_wait(call, client_timeout)?;
    let wait = arrival
        .shortest_wait
        .map_or(wait, |shortest| wait.min(shortest));
    let client_deadline = arrival.earliest + wait;
    let answer_margin = terms.answer_margin.min(wait / MAX_ANSWER_MARGIN_DIVISOR);
    let expires_at = client_deadline - answer_margin;
    Ok(CheckedCall {
        trigger,
        tenant,
        target,
        client_deadline,
        expires_at,
    })
}

/// JSON fields of a response that contain the version and the time until which it is pinned.
fn version_fields(version: &RegistryVersion) -> String {
    format!(
        r#","version":"{}","passage_until_ms":{}"#,
        version.name, version.pin.until_ms
    )
}

fn find_trigger_and_tenant(
    terms: &DeploymentSpec,
    call: &rpc::Invoke,
) -> Result<(usize, usize), Rejection> {
    let trigger = terms
        .trigger_type_names
        .iter()
        .position(|name| *name == call.trigger);
    let trigger = trigger.ok_or_else(|| Rejection::unknown("trigger", &call.trigger))?;
    let tenant = terms
        .tenant_names
        .iter()
        .position(|name| *name == call.tenant);
    let tenant = tenant.ok_or_else(|| Rejection::unknown("tenant", &call.tenant))?;
    Ok((trigger, tenant))
}

/// Finds the function of the deployment, or the registry version, that a call names.
fn find_target(
    state: &mut ControllerState,
    terms: &DeploymentSpec,
    call: &rpc::Invoke,
) -> Result<Target, Rejection> {
    if let Some(function) = terms.functions.get(&call.function) {
        return Ok(Target {
            function: function.id,
            memory_mb: function.memory,
            concurrency_limit: function.lanes,
            load_time_hint: function.load,
            version: None,
        });
    }
    let now = state.invocations.now;
    let transport = &mut state.invocations.transport;
    let Some(aliases) = &mut transport.aliases else {
        return Err(Rejection::unknown("function", &call.function));
    };
    let pin_request = PinRequest {
        passage: call.passage.as_deref(),
        version: call.version.as_deref(),
        until_ms: call.passage_until_ms,
    };
    let resolved = aliases.resolve(
        now,
        &call.tenant,
        &call.trigger,
        &call.function,
        &pin_request,
    );
    let resolved = resolved.map_err(|reason| Rejection {
        code: match reason {
            ResolveError::Withdrawn(_) | ResolveError::Expired(_) => rpc::PASSAGE_OVER,
            _ => rpc::INVALID_PARAMS,
        },
        reason: reason.to_string(),
    })?;
    let known_name = transport.functions.entry(resolved.function);
    known_name.or_insert_with(|| resolved.name.clone());
    Ok(Target {
        function: resolved.function,
        memory_mb: resolved.memory_mb,
        concurrency_limit: resolved.concurrency_limit,
        load_time_hint: None,
        version: Some(RegistryVersion {
            name: resolved.name,
            pin: resolved.pin,
        }),
    })
}

/// How long the client waits: the time that it states, capped by the client timeout of its trigger type.
fn client_wait(call: &rpc::Invoke, client_timeout: Ticks) -> Result<Ticks, Rejection> {
    match call.time_left_ms {
        None => Ok(client_timeout),
        Some(ms) if ms.is_finite() && ms > 0.0 => {
            Ok(client_timeout.min((ms * MILLISECOND as f64) as Ticks))
        }
        Some(ms) => {
            let reason = format!("time_left_ms = {ms}: more than 0 is expected");
            Err(Rejection::invalid_params(reason))
        }
    }
}
