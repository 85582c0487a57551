//! Usual clients: each has one request in flight at a time, for a function that the invoker runs.

use super::{connect, read_frame, request_frame_for};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How long a usual client waits, and how much later its answer may come at the most (rule 1).
const CLIENT_TIMEOUT_MS: u64 = 1_500;
const ANSWER_SLACK_MS: u64 = 550;
/// Pause of a usual client between two requests.
const PAUSE: Duration = Duration::from_millis(150);
const RESPONSE: u8 = 17;
pub const SUCCEEDED: u8 = 79;

/// The codes of the answers to usual clients; none: no answer came in time.
pub type Answers = Vec<Option<u8>>;

/// Sends one request for a function. Returns the code of its answer, or none if no answer came in time.
pub fn request(client: &mut TcpStream, stream: u32, txn: u64, function: u64) -> Option<u8> {
    let bytes = request_frame_for(stream, txn, function, CLIENT_TIMEOUT_MS);
    client.write_all(&bytes).ok()?;
    let last_ms = CLIENT_TIMEOUT_MS + ANSWER_SLACK_MS;
    client
        .set_read_timeout(Some(Duration::from_millis(last_ms)))
        .unwrap();
    let mut first = [0];
    if client.peek(&mut first).ok()? == 0 {
        return None;
    }
    let (kind, answered, payload) = read_frame(client);
    assert_eq!((kind, answered), (RESPONSE, stream));
    Some(payload[0])
}

/// A usual client that sends requests until one is the last, by its number from 1.
pub fn usual_client(
    listen: &str,
    number: u64,
    function: u64,
    is_last: impl Fn(u32) -> bool,
) -> Answers {
    let mut client = connect(listen);
    let mut answers = Vec::new();
    for stream in 1.. {
        let answer = request(
            &mut client,
            stream,
            (number << 32) + u64::from(stream),
            function,
        );
        answers.push(answer);
        if answer.is_none() {
            client = connect(listen);
        }
        thread::sleep(PAUSE);
        if is_last(stream) {
            break;
        }
    }
    answers
}

/// Runs usual clients for as long as `others` runs, and returns their answers.
pub fn beside_usual_clients(
    listen: &str,
    clients: u64,
    function: u64,
    others: impl FnOnce(),
) -> Answers {
    let is_ended = AtomicBool::new(false);
    thread::scope(|scope| {
        let is_last = |_| is_ended.load(Ordering::Relaxed);
        let clients: Vec<_> = (1..=clients)
            .map(|number| scope.spawn(move || usual_client(listen, number, function, is_last)))
            .collect();
        others();
        is_ended.store(true, Ordering::Relaxed);
        let answers = clients
            .into_iter()
            .flat_map(|client| client.join().unwrap());
        answers.collect()
    })
}

/// Prints how usual clients were answered, and returns how many of the requests were answered and served.
pub fn answered_and_served(answers: &Answers) -> (usize, usize) {
    let mut counts: BTreeMap<Option<u8>, usize> = BTreeMap::new();
    for answer in answers {
        *counts.entry(*answer).or_default() += 1;
    }
    println!("requests of usual clients by the code of the answer: {counts:?}");
    let unanswered = counts.get(&None).copied().unwrap_or_default();
    let served = counts.get(&Some(SUCCEEDED)).copied().unwrap_or_default();
    (answers.len() - unanswered, served)
}
