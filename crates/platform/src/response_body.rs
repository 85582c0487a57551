//! Receives the body of an invoker's response within the memory that all responses may hold together. A faulty response
//! may be said to be huge, never end, or come in very many small pieces.

use crate::shared_budget::{BudgetHolder, Purpose, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// Capacity of the first buffer of a body whose length is not stated, in bytes.
const FIRST_BUFFER_BYTES: usize = 1 << 10;

/// Why a response's body was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body exceeds {max_bytes} bytes")]
    TooLong { max_bytes: usize },
    #[error("memory limit reached after {received_bytes} bytes of the body")]
    NoMemory { received_bytes: usize },
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// A body that was received completely, and the memory that it holds.
pub(crate) struct ReceivedBody {
    pub bytes: Bytes,
    _memory: Reservation,
}

/// Receives a body of at most `max_bytes`, as far as `holder` may hold it. A body that is stated to be longer is not read.
pub(crate) async fn receive_body(
    mut body: Incoming,
    max_bytes: usize,
    holder: &Rc<BudgetHolder>,
) -> Result<ReceivedBody, BodyError> {
    let stated_bytes = body.size_hint().lower();
    if stated_bytes > max_bytes as u64 {
        return Err(BodyError::TooLong { max_bytes });
    }
    let mut memory = holder.empty_reservation(Purpose::InUse);
    let mut received: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        // Trailers are not used.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let needed_bytes = received.len() + data.len();
        if needed_bytes > max_bytes {
            return Err(BodyError::TooLong { max_bytes });
        }
        if needed_bytes > received.capacity() {
            let capacity = next_capacity(&received, needed_bytes, stated_bytes as usize);
            let received_bytes = received.len();
            if !memory.resize(capacity) {
                return Err(BodyError::NoMemory { received_bytes });
            }
            received.reserve_exact(capacity - received_bytes);
        }
        received.extend_from_slice(&data);
    }
    Ok(ReceivedBody {
        bytes: received.into(),
        _memory: memory,
    })
}

/// The capacity of the next buffer: the stated length, or twice the previous capacity.
fn next_capacity(received: &Vec<u8>, needed_bytes: usize, stated_bytes: usize) -> usize {
    let doubled = 2 * received.capacity().max(FIRST_BUFFER_BYTES / 2);
    if stated_bytes >= needed_bytes {
        stated_bytes
    } else {
        needed_bytes.max(doubled)
    }
}
