//! The pools as the transport of the controller core: dispatches, load orders, probes and background requests.

use crate::attempt::{PreparedRequest, WaitingClient};
use crate::clients::ClientResponder;
use crate::state::NodeConfig;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use saltdrum::interface::*;
use saltdrum_controller::{AttemptReport, InvokerTransport, OutgoingDispatch};
use saltdrum_platform_wire::http;
use tracing::debug;

use super::{InvokerPools, Payload, PendingRequest, RequestKind};

/// Builds the HTTP request of an attempt.
fn build_dispatch_request(
    payload: &Payload,
    trigger_name: &str,
    function: FunctionId,
) -> Result<Request<Full<Bytes>>, Outcome> {
    let has_body = !payload.body.is_empty();
    let mut request = Request::builder()
        .method(if has_body { "POST" } else { "GET" })
        .uri(format!("/obj/{trigger_name}"))
        .header("host", "invoker")
        .header(
            http::TRANSACTION_HEADER,
            format!("{:016x}", payload.transaction.id()),
        )
        .header(http::FUNCTION_HEADER, format!("{function:016x}"));
    if let Some(token) = &payload.token {
        request = request.header(http::TOKEN_HEADER, token);
    }
    if has_body {
        request = request.header("content-length", payload.body.len());
    }
    let request = request.body(Full::new(payload.body.clone()));
    request.map_err(|_| Outcome::NotSent)
}

impl InvokerTransport for InvokerPools {
    type Payload = Payload;
    type Responder = ClientResponder;
    type Config = NodeConfig;

    fn dispatch(&mut self, outgoing: &OutgoingDispatch<Payload>) -> Result<u64, Outcome> {
        let payload = outgoing.payload;
        if payload.client_backlog.is_endless() {
            return Err(Outcome::NotSent);
        }
        let Some(line) = payload.client_lines.reserve(1) else {
            debug!(
                txn = format_args!("{:016x}", payload.transaction.id()),
                "client uses its share of connections"
            );
            return Err(Outcome::NotSent);
        };
        let trigger_name = &self.trigger_names[payload.trigger];
        let request = build_dispatch_request(payload, trigger_name, outgoing.function)?;
        let prepared = PreparedRequest {
            request,
            body_bytes: payload.body.len(),
            client: Some(WaitingClient {
                deadline: outgoing.deadline,
                send_by: outgoing.send_by,
                backlog: payload.client_backlog.clone(),
            }),
        };
        let kind = RequestKind::Dispatch {
            invocation: outgoing.invocation,
            attempt: outgoing.attempt,
        };
        self.start(outgoing.now, outgoing.invoker, kind, prepared, Some(line))
    }

    fn withdraw(&mut self, _: InvokerId, dispatch: u64) -> bool {
        let Some(request) = self.requests.get(&dispatch) else {
            return false;
        };
        let socket = request.socket.as_ref();
        let never_ran = socket.is_none_or(|socket| !socket.sent_completely());
        if never_ran {
            self.abort(dispatch);
        }
        never_ran
    }

    fn cancel(&mut self, _: InvokerId, dispatch: u64) -> bool {
        self.abort(dispatch);
        true
    }

    fn attempt_ended(
        &mut self,
        _: InvokerId,
        dispatch: u64,
        payload: &Payload,
        outcome: Outcome,
        _: &AttemptReport,
    ) {
        if !outcome.never_ran() {
            payload.transaction.set_may_have_run();
        }
        self.abort(dispatch);
    }

    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
        send_by: Ticks,
    ) -> Result<u64, LoadOutcome> {
        let uri = format!("{}/{count}", http::function_path(function));
        let request = Request::builder()
            .method("PUT")
            .uri(uri)
            .header("host", "invoker");
        let request = request
            .body(Full::default())
            .map_err(|_| LoadOutcome::NotSent)?;
        let is_new_work = count > 0;
        let kind = RequestKind::Load {
            is_new_work,
            send_by,
        };
        self.start(
            now,
            invoker,
            kind,
            PreparedRequest::without_client(request),
            None,
        )
        .map_err(|outcome| match outcome {
            Outcome::NoConnection => LoadOutcome::Unreachable,
            _ => LoadOutcome::NotSent,
        })
    }

    fn load_sent_at(&self, order: u64) -> Option<Ticks> {
        self.requests.get(&order).map_or_else(
            || self.load_sent_times.get(&order).copied(),
            PendingRequest::sent_at,
        )
    }

    fn load_ended(&mut self, _: InvokerId, order: u64) {
        self.load_sent_times.remove(&order);
        self.abort(order);
    }

    fn unload(&mut self, now: Ticks, invoker: InvokerId, function: FunctionId) {
        let request = Request::builder()
            .method("DELETE")
            .uri(http::function_path(function));
        if let Ok(request) = request.header("host", "invoker").body(Full::default()) {
            let _ = self.start(
                now,
                invoker,
                RequestKind::Background,
                PreparedRequest::without_client(request),
                None,
            );
        }
    }

    fn probe(&mut self, now: Ticks, invoker: InvokerId) -> Result<(), ProbeOutcome> {
        let request = Request::builder()
            .uri(http::HEALTH_PATH)
            .header("host", "invoker")
            .body(Full::default())
            .map_err(|_| ProbeOutcome::NotSent)?;
        self.log_list_out_of_date(now);
        let prepared = PreparedRequest::without_client(request);
        let started = self.start(now, invoker, RequestKind::Probe, prepared, None);
        started.map(|_| ()).map_err(|outcome| match outcome {
            Outcome::NoConnection => ProbeOutcome::Unreachable,
            _ => ProbeOutcome::NotSent,
        })
    }
}
