//! Clients that take back hundreds of requests at once, or send at full speed.

use super::{connect, frame, read_frame, request_frame_for};
use std::io::{Read, Write};
use std::thread;

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

/// Frames that are written at once.
const BATCH_FRAMES: u32 = 500;

/// A client that sends frames at full speed on one connection, on streams from 1 on, until `is_ended`. It reads all that
/// it is sent. Connects again when it is closed. Returns the number of frames that were sent.
pub fn send_at_full_speed(
    listen: &str,
    frames_of: impl Fn(u32) -> Vec<u8>,
    is_ended: impl Fn() -> bool,
) -> u64 {
    let mut sent = 0;
    while !is_ended() {
        let mut client = connect(listen);
        let mut reader = client.try_clone().unwrap();
        let reading = thread::spawn(move || {
            let mut bytes = vec![0; 64 << 10];
            while matches!(reader.read(&mut bytes), Ok(1..)) {}
        });
        let mut stream = 0;
        while !is_ended() {
            let batch: Vec<u8> = (stream + 1..=stream + BATCH_FRAMES)
                .flat_map(&frames_of)
                .collect();
            if client.write_all(&batch).is_err() {
                break;
            }
            stream += BATCH_FRAMES;
            sent += u64::from(BATCH_FRAMES);
        }
        let _ = client.shutdown(std::net::Shutdown::Both);
        reading.join().unwrap();
    }
    sent
}
