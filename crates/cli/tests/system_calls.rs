//! `saltdrum node` as a process whose system calls fail at intervals, in the ways that Linux documents, and whose wall clock
//! is stepped. It has to answer every accepted request.

mod node_peers;
mod preloaded;

use node_peers::{
    ProcessGuard, READ_TIMEOUT, configuration, connect, free_address, node_command, read_frame,
    request_frame_for, start_feed, start_invoker, write,
};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::process::Stdio;
use std::time::Duration;

const CLIENT_TIMEOUT_MS: u64 = 7_000;
const CLIENTS: u32 = 20;
const REQUESTS_PER_CLIENT: u32 = 15;
const SERVED: u8 = 79;

/// Sends rounds of requests, one for each client on a connection of its own, and returns the number of answers other than
/// served.
fn send_requests(listen: &str, from: u32) -> usize {
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| connect(listen)).collect();
    let mut not_served = 0;
    for round in 0..REQUESTS_PER_CLIENT {
        for (index, client) in (0..).zip(&mut clients) {
            let txn = u64::from(from + round * CLIENTS + index);
            client
                .write_all(&request_frame_for(
                    round + 1,
                    txn,
                    0x100 + txn % 7,
                    CLIENT_TIMEOUT_MS,
                ))
                .unwrap();
        }
        for client in &mut clients {
            let (kind, stream, payload) = read_frame(client);
            assert_eq!((kind, stream), (17, round + 1));
            not_served += usize::from(payload[0] != SERVED);
        }
    }
    not_served
}

#[test]
fn accepted_requests_are_answered_despite_failing_system_calls() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, (feed, requests)) = (
        free_address(),
        start_invoker(Duration::from_millis(2)),
        start_feed(),
    );
    let mut settings = configuration(&listen, &feed, &invoker);
    settings["limits"]["sockets"] = json!(512);
    let config = write(folder.path(), &settings.to_string());
    let mut node = node_command(&config);
    node.env("LD_PRELOAD", preloaded::build_library(folder.path()))
        .env("FAULTS_EVERY", "3");
    // One hour ahead, two hours back, and the original time.
    node.env("FAULTS_STEPS", "300:3600000,700:-7200000,1100:0");
    let mut running = ProcessGuard(node.stdout(Stdio::null()).spawn().unwrap());
    assert_eq!(requests.recv_timeout(READ_TIMEOUT).unwrap(), 1);
    let first_ids = 1..;
    let rounds = first_ids
        .step_by((CLIENTS * REQUESTS_PER_CLIENT) as usize)
        .take(4);
    let not_served: usize = rounds.map(|from| send_requests(&listen, from)).sum();
    assert_eq!(not_served, 0, "requests failed although no invoker did");
    running.signal(Signal::TERM);
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
}
