//! `saltdrum node` stays within its memory limit while many answers of invokers are spoilt and keep coming.

mod node_peers;

use node_peers::memory::MemoryWatch;
use node_peers::spoiling_invokers::{
    Arrivals, SpoiltAnswer, chunked_answer, endless_head, start_spoiling_invoker, stated_answer,
};
use node_peers::usual_clients::{answered_and_served, beside_usual_clients};
use node_peers::{add_invoker, configuration, connect, free_address, start_feed, start_node};
use serde_json::json;
use std::thread;
use std::time::Duration;

/// The least memory that the platform gives a controller.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 512;
const INVOKERS: u32 = 4;
const CLIENTS: u64 = 150;
const FUNCTION: u64 = 0xf1;
/// Of ten answers to requests, this many are spoilt.
const SPOILT_OF_TEN: u64 = 5;
const PLAY_TIME: Duration = Duration::from_secs(5);

/// Plays usual clients while many answers are spoilt: the controller must stay within its limit, and answer each request.
fn assert_spoilt_answers_are_bounded(answer: &SpoiltAnswer) {
    let folder = tempfile::tempdir().unwrap();
    let (listen, (feed, _requests)) = (free_address(), start_feed());
    let start_invoker = || start_spoiling_invoker(answer, SPOILT_OF_TEN, &Arrivals::default());
    let mut settings = configuration(&listen, &feed, &start_invoker());
    for number in 2..=INVOKERS {
        add_invoker(&mut settings, number, &start_invoker());
    }
    settings["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let process = start_node(folder.path(), &settings);
    drop(connect(&listen));
    let watch = MemoryWatch::start(process.0.id());
    let answers = beside_usual_clients(&listen, CLIENTS, FUNCTION, || thread::sleep(PLAY_TIME));
    let peak_kib = watch.end();
    let (answered, _) = answered_and_served(&answers);
    println!("at most {peak_kib} KiB of {MEMORY_MB} MB");
    assert!(peak_kib < MEMORY_MB * 1_024, "{peak_kib} KiB");
    assert_eq!(answered, answers.len(), "all usual requests are answered");
}

/// Guards against memory for answers that are said to be huge and keep coming: each was received up to 256 KiB.
#[test]
fn answers_said_to_be_huge_stay_within_the_memory_limit() {
    assert_spoilt_answers_are_bounded(&stated_answer(3_000_000_000));
}

/// Guards against memory for open answers of an allowed length that come slowly.
#[test]
fn long_answers_that_come_slowly_stay_within_the_memory_limit() {
    assert_spoilt_answers_are_bounded(&stated_answer(250 << 10));
}

/// Guards against memory for each piece of an answer besides its bytes.
#[test]
fn answers_in_very_many_pieces_stay_within_the_memory_limit() {
    assert_spoilt_answers_are_bounded(&chunked_answer());
}

/// Guards against memory for heads that never end.
#[test]
fn heads_that_never_end_stay_within_the_memory_limit() {
    assert_spoilt_answers_are_bounded(&endless_head());
}
