//! The pools as the controller core sees them: dispatches, load orders and background requests.

use crate::attempt::{PreparedRequest, WaitingClient};
use crate::clients::ClientResponder;
use crate::state::NodeConfig;
use http_body_util::Full;
use hyper::Request;
use saltdrum::interface::*;
use saltdrum_controller::{AttemptReport, InvokerTransport, OutgoingDispatch};
use saltdrum_platform_wire::http;

use super::{InvokerPools, Payload, PendingRequest, RequestKind};

impl InvokerTransport for InvokerPools {
    type Payload = Payload;
    type Responder = ClientResponder;
    type Config = NodeConfig;

    fn dispatch(&mut self, s: &OutgoingDispatch<Payload>) -> Result<u64, Outcome> {
        let c = s.payload;
        let method = if c.body.is_empty() { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/obj/{}", self.trigger_names[c.trigger]))
            .header("host", "invoker")
            .header(http::TXN, format!("{:016x}", c.txn))
            .header(http::FUNCTION, format!("{:016x}", s.function));
        if let Some(token) = &c.token {
            request = request.header(http::TOKEN, token);
        }
        if !c.body.is_empty() {
            request = request.header("content-length", c.body.len());
        }
        let request = request
            .body(Full::new(c.body.clone()))
            .map_err(|_| Outcome::NotSent)?;
        let (until, leave_by) = (s.deadline, s.send_by);
        let client = Some(WaitingClient {
            until,
            leave_by,
            backlog: c.client_backlog.clone(),
        });
        let prepared = PreparedRequest {
            request,
            body: c.body.len(),
            client,
        };
        self.start(
            s.now,
            s.invoker,
            RequestKind::Dispatch {
                inv: s.invocation,
                hop: s.attempt,
            },
            prepared,
        )
    }

    fn withdraw(&mut self, _: InvokerId, dispatch: u64) -> bool {
        let Some(job) = self.jobs.get(&dispatch) else {
            return false;
        };
        let never = job.socket.as_ref().is_none_or(|s| !s.sent_completely());
        if never {
            self.abort(dispatch);
        }
        never
    }

    fn cancel(&mut self, _: InvokerId, dispatch: u64) -> bool {
        self.abort(dispatch);
        true
    }

    fn attempt_ended(
        &mut self,
        _: InvokerId,
        dispatch: u64,
        _: &Payload,
        _: Outcome,
        _: &AttemptReport,
    ) {
        self.abort(dispatch);
    }

    fn load(
        &mut self,
        now: Ticks,
        invoker: InvokerId,
        function: FunctionId,
        count: u8,
    ) -> Result<u64, LoadOutcome> {
        let uri = format!("{}/{count}", http::function_path(function));
        let request = Request::builder()
            .method("PUT")
            .uri(uri)
            .header("host", "invoker");
        let request = request
            .body(Full::default())
            .map_err(|_| LoadOutcome::NotSent)?;
        let of = RequestKind::Order {
            new_work: count > 0,
        };
        self.start(now, invoker, of, PreparedRequest::alone(request))
            .map_err(|outcome| match outcome {
                Outcome::NoConnection => LoadOutcome::Unreachable,
                _ => LoadOutcome::NotSent,
            })
    }

    fn load_sent_at(&self, order: u64) -> Option<Ticks> {
        self.jobs.get(&order).map_or_else(
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
                RequestKind::Aside,
                PreparedRequest::alone(request),
            );
        }
    }

    fn probe(&mut self, now: Ticks, invoker: InvokerId) {
        let request = Request::builder().uri("/busy").header("host", "invoker");
        if let Ok(request) = request.body(Full::default()) {
            let _ = self.start(
                now,
                invoker,
                RequestKind::Aside,
                PreparedRequest::alone(request),
            );
        }
    }
}
