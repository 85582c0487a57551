//! Handles JSON-RPC calls of clients. Each line contains one call or a batch of calls.

use crate::native::invoke::{Arrival, invoke};
use crate::native::reply::{Batch, Client, NO_DEADLINE, Reply};
use crate::native::state::ControllerHandle;
use crate::native::status::status_json;
use crate::shutdown::ShutdownPhase;
use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_protocol::rpc::{self, Call, Line, RejectedCall};
use std::cell::RefCell;
use std::rc::Rc;

/// Error data of an invocation that is rejected because this controller is shutting down; the invocation never ran.
const SHUTDOWN_DATA: &str = r#"{"come_back_ms":0,"dispatches":0,"going":true}"#;

/// Handles one line, which arrived no earlier than `earliest`.
pub(crate) fn handle_line(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    line: &[u8],
    earliest: Ticks,
) {
    match rpc::parse_line(line) {
        Err(refusal) => {
            let text = rpc::format_error(&refusal.id, refusal.code, &refusal.why, None);
            client.send(text, NO_DEADLINE);
        }
        Ok(Line::Single(call)) => {
            let arrival = Arrival {
                earliest,
                shortest_wait: None,
            };
            handle_call(handle, client, call, None, arrival);
        }
        Ok(Line::Batch(calls)) => {
            let batch = Batch::new(calls.len());
            let arrival = Arrival {
                earliest,
                shortest_wait: shortest_wait(&calls),
            };
            for call in calls {
                handle_call(handle, client, call, Some(batch.clone()), arrival);
            }
        }
    }
}

/// The shortest wait stated by any call of a batch, which applies to the whole batch because its responses are sent together.
fn shortest_wait(calls: &[Result<Call, RejectedCall>]) -> Option<Ticks> {
    let waits_ms = calls.iter().flatten().filter_map(stated_wait_ms);
    let shortest_ms = waits_ms.min_by(f64::total_cmp)?;
    Some((shortest_ms * MILLISECOND as f64).max(0.0) as Ticks)
}

fn stated_wait_ms(call: &Call) -> Option<f64> {
    let params = call.params.as_ref()?.get();
    serde_json::from_str::<rpc::Invoke>(params)
        .ok()?
        .time_left_ms
}

fn handle_call(
    handle: &Rc<ControllerHandle>,
    client: &Rc<Client>,
    call: Result<Call, RejectedCall>,
    batch: Option<Rc<RefCell<Batch>>>,
    arrival: Arrival,
) {
    let client = client.clone();
    let call = match call {
        Ok(call) => call,
        Err(refusal) => {
            let reply = Reply {
                client,
                id: Some(refusal.id),
                batch,
            };
            return reply.reject(refusal.code, &refusal.why);
        }
    };
    let reply = Reply {
        client,
        id: call.id,
        batch,
    };
    match call.method.as_str() {
        "invoke" => {
            let params = call.params.as_ref().map_or("{}", |params| params.get());
            handle_invoke(handle, params, arrival, reply);
        }
        "status" => {
            let status = status_json(handle);
            reply.send(|id| rpc::format_result(id, &status), NO_DEADLINE);
        }
        other => reply.reject(
            rpc::METHOD_NOT_FOUND,
            &format!("method '{other}': invoke or status is expected"),
        ),
    }
}

fn handle_invoke(handle: &Rc<ControllerHandle>, params: &str, arrival: Arrival, reply: Reply) {
    match serde_json::from_str::<rpc::Invoke>(params) {
        Ok(_) if handle.config.shutdown.phase() == ShutdownPhase::Rejecting => reply.send(
            |id| {
                rpc::format_error(
                    id,
                    rpc::THROTTLED,
                    "this controller is going",
                    Some(SHUTDOWN_DATA),
                )
            },
            NO_DEADLINE,
        ),
        Ok(call) => handle.update(|state| invoke(state, call, arrival, reply)),
        Err(error) => reply.reject(rpc::INVALID_PARAMS, &error.to_string()),
    }
}
