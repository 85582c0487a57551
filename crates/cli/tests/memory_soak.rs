//! Random plays of `saltdrum node` with greedy, flooding and faulty peers of several kinds at once, under drawn limits. It
//! must stay within its memory limit, answer each request of its usual clients, and send no id twice that may not be repeated.
//!
//! `SOAK_SEEDS=1..1001 cargo test -p saltdrum-cli --test memory_soak` selects the seeds.

mod node_peers;

use node_peers::bad_clients::{send_at_full_speed, take_back_requests};
use node_peers::greedy_clients::*;
use node_peers::memory::MemoryWatch;
use node_peers::spoiling_invokers::*;
use node_peers::usual_clients::{answered_and_served, beside_usual_clients};
use node_peers::{
    add_invoker, configuration, connect, frame, free_address, raise_descriptor_limit,
    request_frame_for, request_frame_with_fields, soak_seeds, start_feed, start_node,
};
use serde_json::json;
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// The seeds of a run in CI.
const CI_SEEDS: &str = "1..73";
/// Plays that run at the same time.
const CONCURRENT_PLAYS: usize = 3;
const USUAL_CLIENTS: u64 = 6;
/// The function that the invokers run, like any other.
const FUNCTION: u64 = 0xf1;
/// Numbers of clients of different attacks do not overlap.
const NUMBERS_PER_ATTACK: u64 = 1 << 12;
const ROUNDS: u32 = 400;
/// Batches of frames that a flooding client sends before it ends.
const FLOOD_BATCHES: u32 = 400;
const READINESS_QUERY: u8 = 32;
/// Ids that come again start here. Their class may not be repeated.
const FIRST_REPEATED_ID: u64 = 1 << 56;
const REPEATED_IDS: u64 = 60;

/// What the bad clients of a play do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attack {
    UnfinishedRequests,
    SlowWriters,
    ManyShortFields,
    UnreadAnswers,
    Queries,
    UnsoundRequests,
    NewNames,
    TakenBack,
    RepeatedIds,
}

const ATTACKS: [Attack; 9] = [
    Attack::UnfinishedRequests,
    Attack::SlowWriters,
    Attack::ManyShortFields,
    Attack::UnreadAnswers,
    Attack::Queries,
    Attack::UnsoundRequests,
    Attack::NewNames,
    Attack::TakenBack,
    Attack::RepeatedIds,
];

/// The drawn parameters of a play.
#[derive(Clone, Debug)]
struct Play {
    memory_mb: u64,
    descriptors: u64,
    invokers: u32,
    spoilt_of_ten: u64,
    spoilt_kind: usize,
    attacks: Vec<Attack>,
}

impl Play {
    fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut attacks = ATTACKS.to_vec();
        rng.shuffle(&mut attacks);
        attacks.truncate(rng.usize(1..=3));
        Self {
            memory_mb: rng.u64(32..=96),
            descriptors: rng.u64(256..=1_024),
            invokers: rng.u32(2..=5),
            spoilt_of_ten: rng.u64(0..=4),
            spoilt_kind: rng.usize(0..4),
            attacks,
        }
    }

    fn spoilt_answer(&self) -> SpoiltAnswer {
        match self.spoilt_kind {
            0 => stated_answer(3_000_000_000),
            1 => stated_answer(250 << 10),
            2 => chunked_answer(),
            _ => endless_head(),
        }
    }

    /// Clients of one attack: all clients together have a third of the descriptors.
    fn clients_per_attack(&self) -> u64 {
        (self.descriptors / 3 - 2 * USUAL_CLIENTS) / self.attacks.len() as u64
    }
}

/// A request of a class that may not be repeated, whose id has come before or will come again.
fn repeated_request(stream: u32, id: u64) -> Vec<u8> {
    let (id, function) = (format!("{id:016x}"), format!("{FUNCTION:016x}"));
    let fields = [
        ("verb", "book"),
        ("txn", id.as_str()),
        ("limit", "3000"),
        ("item", function.as_str()),
    ];
    request_frame_with_fields(stream, &fields)
}

/// Sends each id twice: the first client leaves while its request may run.
fn repeat_ids(listen: &str, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for id in FIRST_REPEATED_ID..FIRST_REPEATED_ID + REPEATED_IDS {
        let mut first = connect(listen);
        let _ = first.write_all(&repeated_request(1, id));
        thread::sleep(Duration::from_millis(rng.u64(0..30)));
        drop(first);
        let mut second = connect(listen);
        let _ = second.write_all(&repeated_request(1, id));
        thread::sleep(Duration::from_millis(rng.u64(0..30)));
    }
}

/// Sends frames at full speed on one connection, for some batches.
fn flood(listen: &str, frames_of: impl Fn(u32) -> Vec<u8>) {
    let batches = AtomicU32::new(0);
    let is_ended = || batches.fetch_add(1, Ordering::Relaxed) >= FLOOD_BATCHES;
    send_at_full_speed(listen, frames_of, is_ended);
}

fn attack(attack: Attack, listen: &str, first_number: u64, clients: u64, seed: u64) {
    let numbers = first_number..first_number + clients;
    match attack {
        Attack::UnfinishedRequests => {
            let clients = connect_greedy_clients(listen, numbers, |number| {
                let request = |stream| greedy_request(number, stream, &[], &LONG_BODY);
                [request(1), request(2), unfinished_frame(3)].concat()
            });
            read_all(clients, ROUNDS);
        }
        Attack::SlowWriters => {
            let mut clients = connect_greedy_clients(listen, numbers, |number| {
                greedy_request(number, 1, &[], &LONG_BODY)
            });
            write_slowly(&mut clients, 2);
            read_all(clients, ROUNDS);
        }
        Attack::ManyShortFields => {
            let requests = |number| requests_of_many_short_fields(number, 31);
            read_all(connect_greedy_clients(listen, numbers, requests), ROUNDS);
        }
        Attack::UnreadAnswers => {
            let clients = connect_greedy_clients(listen, numbers, |_| Vec::new());
            ask_without_reading(clients, ROUNDS);
        }
        Attack::Queries => flood(listen, |stream| frame(READINESS_QUERY, stream, &[])),
        Attack::UnsoundRequests => flood(listen, |stream| {
            request_frame_with_fields(stream, &[("verb", "unheard-of")])
        }),
        Attack::NewNames => flood(listen, |stream| {
            let name = (1 << 52) + (first_number << 32) + u64::from(stream);
            request_frame_for(stream, name, name, 3_000)
        }),
        Attack::TakenBack => {
            for number in numbers.take(20) {
                take_back_requests(listen, (1 << 20) + number, |txn| txn);
            }
        }
        Attack::RepeatedIds => repeat_ids(listen, seed),
    }
}

/// Runs a play. Returns what was wrong with it.
fn run(seed: u64) -> Vec<String> {
    let play = Play::draw(seed);
    let folder = tempfile::tempdir().unwrap();
    let (listen, (feed, _requests)) = (free_address(), start_feed());
    let (answer, arrivals) = (play.spoilt_answer(), Arrivals::default());
    let start_invoker = || start_spoiling_invoker(&answer, play.spoilt_of_ten, &arrivals);
    let mut settings = configuration(&listen, &feed, &start_invoker());
    for number in 2..=play.invokers {
        add_invoker(&mut settings, number, &start_invoker());
    }
    let mut unsafe_class = settings["settings"]["classes"][0].clone();
    unsafe_class["name"] = json!("book");
    unsafe_class["effect"] = json!("unsafe");
    let classes = settings["settings"]["classes"].as_array_mut().unwrap();
    classes.push(unsafe_class);
    settings["limits"] =
        json!({"cores": 1.0, "memory_mb": play.memory_mb, "sockets": play.descriptors});
    let mut process = start_node(folder.path(), &settings);
    drop(connect(&listen));
    let watch = MemoryWatch::start(process.0.id());
    let clients = play.clients_per_attack();
    let answers = beside_usual_clients(&listen, USUAL_CLIENTS, FUNCTION, || {
        thread::scope(|scope| {
            for (index, kind) in play.attacks.iter().enumerate() {
                let (listen, first) = (listen.as_str(), index as u64 * NUMBERS_PER_ATTACK + 1);
                scope.spawn(move || attack(*kind, listen, first, clients, seed));
            }
        });
    });
    let has_ended = process.0.try_wait().unwrap().is_some();
    let peak_kib = watch.end();
    let (answered, served) = answered_and_served(&answers);
    println!(
        "seed {seed}: {play:?}: {peak_kib} KiB, {served} of {} served",
        answers.len()
    );
    let arrivals = arrivals.lock().unwrap();
    let repeated: BTreeSet<&String> = arrivals
        .iter()
        .filter(|(id, count)| id.starts_with("01000000") && **count > 1)
        .map(|(id, _)| id)
        .collect();
    let mut wrong = Vec::new();
    if has_ended {
        wrong.push("the process has ended".to_owned());
    }
    if peak_kib >= play.memory_mb * 1_024 {
        wrong.push(format!("{peak_kib} KiB of {} MB", play.memory_mb));
    }
    if answered < answers.len() {
        let unanswered = answers.len() - answered;
        wrong.push(format!("{unanswered} of {} unanswered", answers.len()));
    }
    if !repeated.is_empty() {
        wrong.push(format!("ids arrived twice: {repeated:?}"));
    }
    wrong
}

#[test]
fn greedy_and_faulty_peers_of_many_kinds_stay_within_the_memory_limit() {
    raise_descriptor_limit();
    let mut failures = Vec::new();
    for seeds in soak_seeds(CI_SEEDS).chunks(CONCURRENT_PLAYS) {
        let plays: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || run(seed)
                    }),
                )
            })
            .collect();
        for (seed, play) in plays {
            let wrong = play
                .join()
                .unwrap_or_else(|_| vec!["the play panicked".to_owned()]);
            failures.extend(wrong.iter().map(|text| format!("seed {seed}: {text}")));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
