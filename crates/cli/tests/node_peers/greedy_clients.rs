//! Clients that make a controller hold as much as they can.

use super::{connect, frame, request_frame_with_fields};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Ids of requests of greedy clients, and names of functions that no invoker knows, begin here.
const FIRST_ID: u64 = 1 << 48;
/// Longest time for which a client writes while the controller does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause between two rounds of reads or writes.
const ROUND_PAUSE: Duration = Duration::from_millis(5);
const REQUEST: u8 = 16;
const READINESS_QUERY: u8 = 32;
pub const LONG_BODY: [u8; 12_000] = [b'x'; 12_000];

/// A request of a greedy client for a function that no invoker knows.
pub fn greedy_request(client: u64, stream: u32, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let txn = format!("{:016x}", FIRST_ID + (client << 32) + u64::from(stream));
    let mut fields = vec![
        ("verb", "look"),
        ("txn", &txn),
        ("limit", "4000"),
        ("item", &txn),
    ];
    fields.extend(extra);
    let mut bytes = request_frame_with_fields(stream, &fields);
    let length = (bytes.len() - 4 + body.len()) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes.extend(body);
    bytes
}

/// The first 23,000 bytes of a frame of 24,000.
pub fn unfinished_frame(stream: u32) -> Vec<u8> {
    let mut bytes = frame(REQUEST, stream, &[b'x'; 24_000]);
    bytes.truncate(23_000);
    bytes
}

/// Connects clients of these numbers, and sends what `bytes` returns for each as far as the controller reads it.
pub fn connect_greedy_clients(
    listen: &str,
    numbers: impl Iterator<Item = u64>,
    bytes: impl Fn(u64) -> Vec<u8>,
) -> Vec<TcpStream> {
    let clients = numbers.map(|number| {
        let mut client = connect(listen);
        client.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        // A client whose connection is closed meanwhile has had its effect.
        let _ = client.write_all(&bytes(number));
        client.set_nonblocking(true).unwrap();
        client
    });
    clients.collect()
}

/// Reads what the clients are sent for some rounds, or until all are closed.
pub fn read_all(mut clients: Vec<TcpStream>, rounds: u32) {
    let mut bytes = vec![0; 64 << 10];
    for _ in 0..rounds {
        if clients.is_empty() {
            return;
        }
        clients.retain_mut(|client| match client.read(&mut bytes) {
            Ok(n) => n > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        });
        thread::sleep(ROUND_PAUSE);
    }
}

/// Writes a large request slowly on each connection, and never ends it.
pub fn write_slowly(clients: &mut [TcpStream], stream: u32) {
    for piece in unfinished_frame(stream).chunks(600) {
        clients.iter_mut().for_each(|client| {
            let _ = client.write_all(piece);
        });
        thread::sleep(2 * ROUND_PAUSE);
    }
}

/// Requests with hundreds of short fields and no body, and a part of another.
pub fn requests_of_many_short_fields(client: u64, requests: u32) -> Vec<u8> {
    let names: Vec<String> = (0..250).map(|number| format!("{number:02x}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    let requests_of = |stream| greedy_request(client, stream, &fields, &[]);
    let mut frames: Vec<Vec<u8>> = (1..=requests).map(requests_of).collect();
    frames.push(unfinished_frame(requests + 1));
    frames.concat()
}

/// Asks at full speed for some rounds, and never reads the answers.
pub fn ask_without_reading(mut clients: Vec<TcpStream>, rounds: u32) {
    let queries: Vec<u8> = (1..8_000)
        .flat_map(|stream| frame(READINESS_QUERY, stream, &[]))
        .collect();
    let shrink = |client: &TcpStream| set_socket_recv_buffer_size(client, 4_096).unwrap();
    clients.iter().for_each(shrink);
    for _ in 0..rounds {
        clients.retain_mut(|client| match client.write(&queries) {
            Ok(n) => n > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        });
        thread::sleep(ROUND_PAUSE);
    }
}
