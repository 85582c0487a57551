//! Usual clients of `saltdrum node` get an answer to each request, whatever other clients send.

mod node_peers;

use node_peers::bad_clients::{REQUESTS_PER_CLIENT, take_back_requests};
use node_peers::usual_clients::{Answers, SUCCEEDED, answered_and_served, request, usual_client};
use node_peers::{
    ProcessGuard, configuration, connect, free_address, node_command, start_feed,
    start_invoker_that_loads_one, write,
};
use serde_json::json;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The function that the invoker can load.
const KNOWN_FUNCTION: u64 = 0xf1;
const BAD_CLIENTS: u64 = 4;
const USUAL_CLIENTS: u64 = 6;
const REQUESTS_PER_USUAL_CLIENT: u32 = 40;
/// Starts a controller whose invokers load functions by themselves.
fn start_controller(folder: &tempfile::TempDir, listen: &str) -> ProcessGuard {
    let invoker = start_invoker_that_loads_one(KNOWN_FUNCTION, Duration::from_millis(20));
    let (feed, _requests) = start_feed();
    let mut settings = configuration(listen, &feed, &invoker);
    settings["limits"]["memory_mb"] = json!(192);
    let family = &mut settings["settings"]["family_info"];
    family["not_loaded"] = json!("load");
    family["load_window_ms"] = json!(0.0);
    let config = write(folder.path(), &settings.to_string());
    let process = node_command(&config).stdout(Stdio::null()).spawn();
    ProcessGuard(process.unwrap())
}

/// Guards against a walk through all known functions before each load: clients that took back requests for functions
/// that no invoker knows held up the controller for seconds, and requests of others were never answered.
#[test]
fn usual_clients_are_answered_while_others_take_back_requests_for_unknown_functions() {
    let folder = tempfile::tempdir().unwrap();
    let listen = free_address();
    let _controller = start_controller(&folder, &listen);
    let before = request(&mut connect(&listen), 1, 1, KNOWN_FUNCTION);
    assert_eq!(before, Some(SUCCEEDED), "not served before the flood");
    let (is_ended, bad_clients) = (AtomicBool::new(false), AtomicU64::new(0));
    let answers: Answers = thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| {
                while !is_ended.load(Ordering::Relaxed) {
                    let number = bad_clients.fetch_add(1, Ordering::Relaxed) + 1_000;
                    take_back_requests(&listen, number, |txn| txn);
                }
            });
        }
        let listen = listen.as_str();
        let clients: Vec<_> = (1..=USUAL_CLIENTS)
            .map(|number| {
                let is_last = |stream| stream == REQUESTS_PER_USUAL_CLIENT;
                scope.spawn(move || usual_client(listen, number, KNOWN_FUNCTION, is_last))
            })
            .collect();
        let answers = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap());
        let answers = answers.collect();
        is_ended.store(true, Ordering::Relaxed);
        answers
    });
    let unanswered = answers.len() - answered_and_served(&answers).0;
    let requests = bad_clients.into_inner() * u64::from(REQUESTS_PER_CLIENT);
    println!("{unanswered} unanswered beside {requests} requests taken back");
    assert_eq!(unanswered, 0, "of {}", answers.len());
    // Enough names that a walk through them would show.
    assert!(requests > 20_000, "{requests} requests taken back");
}
