//! Clients that take back hundreds of requests at once.

use super::{connect, frame, read_frame, request_frame_for};
use std::io::Write;

/// Requests of one bad client. Each is taken back at once.
pub const REQUESTS_PER_CLIENT: u32 = 900;
/// Types of the frames that take a request back, ask whether the controller is ready, and answer that.
const CANCEL: u8 = 18;
const READINESS_QUERY: u8 = 32;
const READINESS: u8 = 33;

/// A client that takes back hundreds of requests at once, and reads what it is sent until all are handled.
pub fn take_back_requests(listen: &str, client_number: u64, function_of: impl Fn(u64) -> u64) {
    let mut client = connect(listen);
    let mut frames = Vec::new();
    for stream in 1..=REQUESTS_PER_CLIENT {
        let txn = (client_number << 32) + u64::from(stream);
        frames.extend(request_frame_for(stream, txn, function_of(txn), 7_000));
        frames.extend(frame(CANCEL, stream, &[]));
    }
    frames.extend(frame(READINESS_QUERY, REQUESTS_PER_CLIENT + 1, &[]));
    client.write_all(&frames).unwrap();
    while read_frame(&mut client).0 != READINESS {}
}
