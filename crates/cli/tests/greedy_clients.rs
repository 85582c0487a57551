//! `saltdrum node` stays within its memory limit, and serves its usual clients, while hundreds of clients make it hold as
//! much as they can.

mod node_peers;

use node_peers::greedy_clients::*;
use node_peers::memory::MemoryWatch;
use node_peers::usual_clients::{answered_and_served, beside_usual_clients};
use node_peers::{
    configuration, connect, free_address, raise_descriptor_limit, start_feed, start_invoker_of,
    start_node,
};
use serde_json::json;
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
/// How often greedy clients read or write: for 3 s.
const ROUNDS: u32 = 600;

fn two_long_requests(client: u64) -> Vec<u8> {
    let request = |stream| greedy_request(client, stream, &[], &LONG_BODY);
    [request(1), request(2)].concat()
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
    let process = start_node(folder.path(), &settings);
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
        let clients = connect_greedy_clients(listen, 1..=GREEDY_CLIENTS, |number| {
            [two_long_requests(number), unfinished_frame(3)].concat()
        });
        read_all(clients, ROUNDS);
    });
}

/// Guards against memory for each client that writes a large request slowly while two others are open.
#[test]
fn slow_writers_stay_within_the_memory_limit() {
    assert_greedy_clients_are_bounded(|listen| {
        let mut clients = connect_greedy_clients(listen, 1..=GREEDY_CLIENTS, two_long_requests);
        write_slowly(&mut clients, 3);
        read_all(clients, ROUNDS);
    });
}

/// Guards against memory for open requests that the bytes of their bodies do not count: hundreds of clients, each
/// with many requests of hundreds of short fields and no body, and a part of another.
#[test]
fn open_requests_of_many_short_fields_stay_within_the_memory_limit() {
    assert_greedy_clients_are_bounded(|listen| {
        let clients = connect_greedy_clients(listen, 1..=GREEDY_CLIENTS, |number| {
            requests_of_many_short_fields(number, OPEN_REQUESTS)
        });
        read_all(clients, ROUNDS);
    });
}

/// Guards against memory for responses that clients do not read: hundreds of clients that ask at full speed and never read.
#[test]
fn unread_responses_stay_within_the_memory_limit() {
    assert_greedy_clients_are_bounded(|listen| {
        let clients = connect_greedy_clients(listen, 1..=GREEDY_CLIENTS, |_| Vec::new());
        ask_without_reading(clients, ROUNDS);
    });
}
