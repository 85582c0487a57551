//! `saltdrum node` stays within its memory limit, and serves its usual clients, while hundreds of clients make it hold as
//! much as they can.

mod node_peers;

use node_peers::memory::MemoryWatch;
use node_peers::usual_clients::{answered_and_served, beside_usual_clients};
use node_peers::{
    ProcessGuard, configuration, connect, frame, free_address, node_command,
    raise_descriptor_limit, request_frame_with_fields, start_feed, start_invoker_of, write,
};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

/// The least memory and the most descriptors that the platform gives a controller.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1_024;
/// With the usual clients less than a third of the descriptors.
const GREEDY_CLIENTS: u64 = 330;
const USUAL_CLIENTS: u64 = 6;
/// The function that the invoker runs. It lacks all others.
const KNOWN_FUNCTION: u64 = 0xf1;
/// Requests that a client has open.
const OPEN_REQUESTS: u32 = 31;
const LONG_BODY: [u8; 12_000] = [b'x'; 12_000];
const REQUEST: u8 = 16;
const READINESS_QUERY: u8 = 32;
/// How often greedy clients read or write, and the pause in between.
const ROUNDS: u32 = 600;
const ROUND_PAUSE: Duration = Duration::from_millis(5);

/// A request of a greedy client for a function that no invoker knows.
fn greedy_request(client: u64, stream: u32, extra: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let txn = format!("{:016x}", (1 << 48) + (client << 32) + u64::from(stream));
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
fn unfinished_frame(stream: u32) -> Vec<u8> {
    let mut bytes = frame(REQUEST, stream, &[b'x'; 24_000]);
    bytes.truncate(23_000);
    bytes
}

/// Connects the greedy clients, and sends what `bytes` returns for each as far as the controller reads it.
fn connect_greedy_clients(listen: &str, bytes: impl Fn(u64) -> Vec<u8>) -> Vec<TcpStream> {
    let clients = (1..=GREEDY_CLIENTS).map(|number| {
        let mut client = connect(listen);
        client
            .set_write_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        // A client whose connection is closed meanwhile has had its effect.
        let _ = client.write_all(&bytes(number));
        client.set_nonblocking(true).unwrap();
        client
    });
    clients.collect()
}

/// Reads what the clients are sent for some time, or until all are closed.
fn read_all(mut clients: Vec<TcpStream>) {
    let mut bytes = vec![0; 64 << 10];
    for _ in 0..ROUNDS {
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

/// Plays greedy clients beside usual ones. The controller must stay within its memory limit and answer every usual request,
/// and serve nine in ten.
fn assert_greedy_clients_are_bounded(greedy: impl FnOnce(&str)) {
    raise_descriptor_limit();
    let folder = tempfile::tempdir().unwrap();
    let listen = free_address();
    let invoker = start_invoker_of(KNOWN_FUNCTION, Duration::from_millis(20));
    let (feed, _requests) = start_feed();
    let mut settings = configuration(&listen, &feed, &invoker);
    settings["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let config = write(folder.path(), &settings.to_string());
    let process = node_command(&config).stdout(Stdio::null()).spawn();
    let process = ProcessGuard(process.unwrap());
    drop(connect(&listen));
    let watch = MemoryWatch::start(process.0.id());
    let answers = beside_usual_clients(&listen, USUAL_CLIENTS, KNOWN_FUNCTION, || {
        thread::sleep(Duration::from_millis(500));
        greedy(&listen);
    });
    let peak_kib = watch.end();
    let (answered, served) = answered_and_served(&answers);
    println!("at most {peak_kib} KiB of {MEMORY_MB} MB");
    assert!(peak_kib < MEMORY_MB * 1_024, "{peak_kib} KiB");
    assert_eq!(answered, answers.len(), "all usual requests are answered");
    assert!(served * 10 >= answers.len() * 9, "{served} served");
}

/// Guards against memory for each message that never ends: clients by the hundred, each with two requests and a part of a
/// third, made the controller exceed its limit within a second.
#[test]
fn messages_that_never_end_stay_within_the_memory_limit() {
    assert_greedy_clients_are_bounded(|listen| {
        read_all(connect_greedy_clients(listen, |number| {
            let request = |stream| greedy_request(number, stream, &[], &LONG_BODY);
            [request(1), request(2), unfinished_frame(3)].concat()
        }));
    });
}

/// Guards against memory for each client that writes a large request slowly while two others are open.
#[test]
fn slow_writers_stay_within_the_memory_limit() {
    assert_greedy_clients_are_bounded(|listen| {
        let mut clients = connect_greedy_clients(listen, |number| {
            let request = |stream| greedy_request(number, stream, &[], &LONG_BODY);
            [request(1), request(2)].concat()
        });
        for piece in unfinished_frame(3).chunks(600) {
            clients.iter_mut().for_each(|client| {
                let _ = client.write_all(piece);
            });
            thread::sleep(Duration::from_millis(10));
        }
        read_all(clients);
    });
}

/// Guards against memory for open requests that the bytes of their bodies do not count: hundreds of clients, each
/// with many requests of hundreds of short fields and no body, and a part of another.
#[test]
fn open_requests_of_many_short_fields_stay_within_the_memory_limit() {
    let names: Vec<String> = (0..250).map(|number| format!("{number:02x}")).collect();
    let fields: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "")).collect();
    assert_greedy_clients_are_bounded(|listen| {
        read_all(connect_greedy_clients(listen, |number| {
            let requests = (1..=OPEN_REQUESTS).map(|n| greedy_request(number, n, &fields, &[]));
            let mut frames: Vec<Vec<u8>> = requests.collect();
            frames.push(unfinished_frame(OPEN_REQUESTS + 1));
            frames.concat()
        }));
    });
}

/// Guards against memory for responses that clients do not read: hundreds of clients that ask at full speed and never read.
#[test]
fn unread_responses_stay_within_the_memory_limit() {
    let queries: Vec<u8> = (1..8_000)
        .flat_map(|stream| frame(READINESS_QUERY, stream, &[]))
        .collect();
    assert_greedy_clients_are_bounded(|listen| {
        let mut clients = connect_greedy_clients(listen, |_| Vec::new());
        let shrink = |client: &TcpStream| set_socket_recv_buffer_size(client, 4_096).unwrap();
        clients.iter().for_each(shrink);
        for _ in 0..ROUNDS {
            clients.retain_mut(|client| match client.write(&queries) {
                Ok(n) => n > 0,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            });
            thread::sleep(ROUND_PAUSE);
        }
    });
}
