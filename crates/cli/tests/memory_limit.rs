//! `saltdrum node` stays within its memory limit whatever clients send.

mod node_peers;

use node_peers::bad_clients::take_back_requests;
use node_peers::memory::memory_mb;
use node_peers::{
    ProcessGuard, configuration, connect, free_address, read_frame, request_frame, start_feed,
    start_invoker_of, start_invoker_that_loads_forever, start_node,
};
use serde_json::json;
use std::io::Write;
use std::time::Duration;

/// The least memory that the platform gives a controller, in MB.
const MEMORY_MB: u64 = 32;
/// The function that the invoker knows. It knows no other.
const KNOWN_FUNCTION: u64 = 0xf1;
/// Type of an answer to a request, and the code of a success in it.
const RESPONSE: u8 = 17;
const SUCCEEDED: u8 = 79;

/// Runs a controller with one invoker.
struct Running {
    process: ProcessGuard,
    listen: String,
    _folder: tempfile::TempDir,
}

impl Running {
    fn start(invoker: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let (listen, (feed, _requests)) = (free_address(), start_feed());
        let mut settings = configuration(&listen, &feed, invoker);
        settings["limits"]["memory_mb"] = json!(MEMORY_MB);
        Self {
            process: start_node(folder.path(), &settings),
            listen,
            _folder: folder,
        }
    }

    /// Bad clients, one after the other. The memory limit is checked after each.
    fn flood(&self, bad_clients: u64, function_of: impl Fn(u64) -> u64) {
        for number in 1..=bad_clients {
            take_back_requests(&self.listen, number, &function_of);
            let used = memory_mb(self.process.0.id());
            assert!(
                used < MEMORY_MB,
                "{used} of {MEMORY_MB} MB after {number} bad clients"
            );
        }
    }
}

/// Guards against state that is retained for each function that was ever requested: clients that took back requests for
/// functions that no invoker knows made the controller exceed its memory limit within seconds.
#[test]
fn requests_for_unknown_functions_stay_within_the_memory_limit() {
    let invoker = start_invoker_of(KNOWN_FUNCTION, Duration::from_millis(20));
    let running = Running::start(&invoker);
    running.flood(60, |txn| txn);
    // A function that exists is served, though the controller sees it for the first time. A client that had connected
    // before the flood would have been closed for its silence.
    let mut client = connect(&running.listen);
    client.write_all(&request_frame(10, 1)).unwrap();
    let (kind, _, payload) = read_frame(&mut client);
    assert_eq!((kind, payload[0]), (RESPONSE, SUCCEEDED));
}

/// Guards against waits that outlive their invocations: requests that were taken back while their function was loading left
/// timers behind until the client timeout, and exceeded the memory limit within seconds.
#[test]
fn requests_taken_back_during_a_load_stay_within_the_memory_limit() {
    let running = Running::start(&start_invoker_that_loads_forever());
    let mut waiting = connect(&running.listen);
    waiting.write_all(&request_frame(10, 1)).unwrap();
    // Until its miss has led to a load order.
    std::thread::sleep(Duration::from_millis(300));
    running.flood(200, |_| KNOWN_FUNCTION);
    // The first request still waits, and gets its one answer.
    assert_eq!(read_frame(&mut waiting).0, RESPONSE);
}
