//! Usual clients of `saltdrum node` are answered and served, whatever other clients send at full speed.

mod node_peers;

use node_peers::bad_clients::{REQUESTS_PER_CLIENT, send_at_full_speed, take_back_requests};
use node_peers::memory::MemoryWatch;
use node_peers::usual_clients::{Answers, SUCCEEDED, answered_and_served, request, usual_client};
use node_peers::{
    ProcessGuard, configuration, connect, frame, free_address, request_frame_for,
    request_frame_with_fields, start_feed, start_invoker_of, start_invoker_that_loads_one,
    start_node,
};
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// The function that the invoker can load.
const KNOWN_FUNCTION: u64 = 0xf1;
const RUN_TIME: Duration = Duration::from_millis(20);
const BAD_CLIENTS: u64 = 4;
const USUAL_CLIENTS: u64 = 6;
const REQUESTS_PER_USUAL_CLIENT: u32 = 40;
/// Names of functions that no invoker knows, and ids of requests for them, begin here.
const FIRST_UNKNOWN_FUNCTION: u64 = 1 << 48;
const MEMORY_MB: u64 = 192;
const READINESS_QUERY: u8 = 32;

/// What invokers do with a request for a function that is not loaded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Invokers {
    LoadFunctions,
    ReportMisses,
}

/// Starts a controller with one invoker.
fn start_controller(folder: &tempfile::TempDir, listen: &str, invokers: Invokers) -> ProcessGuard {
    let loads = invokers == Invokers::LoadFunctions;
    let invoker = match invokers {
        Invokers::LoadFunctions => start_invoker_that_loads_one(KNOWN_FUNCTION, RUN_TIME),
        Invokers::ReportMisses => start_invoker_of(KNOWN_FUNCTION, RUN_TIME),
    };
    let (feed, _requests) = start_feed();
    let mut settings = configuration(listen, &feed, &invoker);
    settings["limits"]["memory_mb"] = json!(MEMORY_MB);
    if loads {
        let family = &mut settings["settings"]["family_info"];
        family["not_loaded"] = json!("load");
        family["load_window_ms"] = json!(0.0);
    }
    start_node(folder.path(), &settings)
}

/// Plays usual clients beside bad ones, of which each runs `bad_client` with its number and a function that tells when to
/// end. All usual requests must be answered, and nine in ten served. Returns the sum of what the bad clients return.
fn assert_usual_clients_are_served(
    invokers: Invokers,
    bad_client: impl Fn(&str, u64, &dyn Fn() -> bool) -> u64 + Sync,
) -> u64 {
    let folder = tempfile::tempdir().unwrap();
    let listen = free_address();
    let controller = start_controller(&folder, &listen, invokers);
    let before = request(&mut connect(&listen), 1, 1, KNOWN_FUNCTION);
    assert_eq!(before, Some(SUCCEEDED), "not served before the flood");
    let watch = MemoryWatch::start(controller.0.id());
    let (is_ended, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    let (listen, bad_client) = (listen.as_str(), &bad_client);
    let answers: Answers = thread::scope(|scope| {
        for number in 1..=BAD_CLIENTS {
            let (is_ended, sent) = (&is_ended, &sent);
            scope.spawn(move || {
                let is_ended = || is_ended.load(Ordering::Relaxed);
                sent.fetch_add(bad_client(listen, number, &is_ended), Ordering::Relaxed)
            });
        }
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
    let (sent, peak_kib) = (sent.into_inner(), watch.end());
    let (answered, served) = answered_and_served(&answers);
    println!("beside {sent} frames of bad clients, at most {peak_kib} KiB of {MEMORY_MB} MB");
    assert_eq!(answered, answers.len(), "all usual requests are answered");
    assert!(served * 10 >= answers.len() * 9, "{served} served");
    assert!(peak_kib < MEMORY_MB * 1_024 / 4, "{peak_kib} KiB");
    sent
}

/// A name that a flooding client has not used.
fn new_name(client: u64, stream: u32) -> u64 {
    FIRST_UNKNOWN_FUNCTION + (client << 32) + u64::from(stream)
}

/// Guards against a walk through all known functions before each load: clients that took back requests for functions
/// that no invoker knows held up the controller for seconds, and requests of others were never answered.
#[test]
fn usual_clients_are_answered_while_others_take_back_requests_for_unknown_functions() {
    let next_client = AtomicU64::new(1_000);
    let requests =
        assert_usual_clients_are_served(Invokers::LoadFunctions, |listen, _, is_ended| {
            let mut requests = 0;
            while !is_ended() {
                let number = next_client.fetch_add(1, Ordering::Relaxed);
                take_back_requests(listen, number, |txn| txn);
                requests += u64::from(REQUESTS_PER_CLIENT);
            }
            requests
        });
    // Enough names that a walk through them would show.
    assert!(requests > 20_000, "{requests} requests taken back");
}

/// Guards against small requests on one connection at full speed that delay all others.
#[test]
fn usual_clients_are_served_beside_queries_at_full_speed() {
    assert_usual_clients_are_served(Invokers::LoadFunctions, |listen, _, is_ended| {
        send_at_full_speed(
            listen,
            |stream| frame(READINESS_QUERY, stream, &[]),
            is_ended,
        )
    });
}

/// Guards against unsound requests on one connection at full speed that delay all others.
#[test]
fn usual_clients_are_served_beside_unsound_requests_at_full_speed() {
    assert_usual_clients_are_served(Invokers::LoadFunctions, |listen, _, is_ended| {
        let unsound = |stream| request_frame_with_fields(stream, &[("verb", "unheard-of")]);
        send_at_full_speed(listen, unsound, is_ended)
    });
}

/// Guards against requests under ever new names at full speed, for which others are refused: invokers load functions.
#[test]
fn usual_clients_are_served_beside_new_names_that_invokers_load() {
    assert_usual_clients_are_served(Invokers::LoadFunctions, flood_with_new_names);
}

/// As above, with invokers that report misses.
#[test]
fn usual_clients_are_served_beside_new_names_that_invokers_miss() {
    assert_usual_clients_are_served(Invokers::ReportMisses, flood_with_new_names);
}

fn flood_with_new_names(listen: &str, client: u64, is_ended: &dyn Fn() -> bool) -> u64 {
    let request = |stream| {
        let name = new_name(client, stream);
        request_frame_for(stream, name, name, 7_000)
    };
    send_at_full_speed(listen, request, is_ended)
}
