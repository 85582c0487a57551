//! `saltdrum node` stays within its memory limit while many answers of invokers are spoilt and keep coming.

mod node_peers;

use node_peers::memory::MemoryWatch;
use node_peers::usual_clients::{answered_and_served, beside_usual_clients};
use node_peers::{
    ProcessGuard, add_invoker, configuration, connect, free_address, node_command, start_feed,
    write,
};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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
const RUN_TIME: Duration = Duration::from_millis(20);
const PLAY_TIME: Duration = Duration::from_secs(5);
/// Pieces of a spoilt answer that keep coming, and the pause between them.
const PIECE_BYTES: usize = 1 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// A spoilt answer: its head, its first bytes, and what keeps coming.
#[derive(Clone)]
struct SpoiltAnswer {
    first: Vec<u8>,
    piece: Vec<u8>,
}

/// An answer that is stated to have this many bytes, of which 240 KiB come at once.
fn stated_answer(stated_bytes: u64) -> SpoiltAnswer {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated_bytes}\r\n\r\n");
    SpoiltAnswer {
        first: [head.into_bytes(), vec![b'x'; 240 << 10]].concat(),
        piece: vec![b'x'; PIECE_BYTES],
    }
}

/// An answer of chunks of one byte that never ends.
fn chunked_answer() -> SpoiltAnswer {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    SpoiltAnswer {
        first: [head, b"1\r\nx\r\n".repeat(100_000)].concat(),
        piece: b"1\r\nx\r\n".repeat(PIECE_BYTES),
    }
}

/// An answer whose head has ever more short fields and never ends.
fn endless_head() -> SpoiltAnswer {
    SpoiltAnswer {
        first: [b"HTTP/1.1 200 OK\r\n".to_vec(), b"a:b\r\n".repeat(1_600)].concat(),
        piece: Vec::new(),
    }
}

/// Sends a spoilt answer until the controller closes the connection.
fn send_spoilt_answer(stream: &mut TcpStream, answer: &SpoiltAnswer) {
    let mut sent = stream.write_all(&answer.first);
    while sent.is_ok() {
        thread::sleep(PIECE_PAUSE);
        sent = stream.write_all(&answer.piece);
        let has_closed = || matches!(stream.peek(&mut [0]), Ok(0));
        if answer.piece.is_empty() && has_closed() {
            return;
        }
    }
}

/// Serves one connection of an invoker.
fn serve(mut stream: TcpStream, answer: &SpoiltAnswer, requests: &AtomicU64) {
    let mut bytes = [0; 4_096];
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        if bytes[..n].starts_with(b"GET /healthz") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let number = requests.fetch_add(1, Ordering::Relaxed);
        thread::sleep(RUN_TIME);
        if number > 100 && number % 10 < SPOILT_OF_TEN {
            return send_spoilt_answer(&mut stream, answer);
        }
        let _ = stream.write_all(
            b"HTTP/1.1 200 OK\r\nX-How: resident\r\nX-Units: 1\r\nContent-Length: 4\r\n\r\ndone",
        );
    }
}

/// Starts an invoker of whose answers some are spoilt, and returns its address.
fn start_spoiling_invoker(answer: &SpoiltAnswer) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (answer, requests) = (answer.clone(), Arc::<AtomicU64>::default());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (answer, requests) = (answer.clone(), requests.clone());
            thread::spawn(move || serve(stream.unwrap(), &answer, &requests));
        }
    });
    address
}

/// Plays usual clients while many answers are spoilt: the controller must stay within its limit, and answer each request.
fn assert_spoilt_answers_are_bounded(answer: &SpoiltAnswer) {
    let folder = tempfile::tempdir().unwrap();
    let (listen, (feed, _requests)) = (free_address(), start_feed());
    let mut settings = configuration(&listen, &feed, &start_spoiling_invoker(answer));
    for number in 2..=INVOKERS {
        add_invoker(&mut settings, number, &start_spoiling_invoker(answer));
    }
    settings["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let config = write(folder.path(), &settings.to_string());
    let process = node_command(&config).stdout(Stdio::null()).spawn();
    let process = ProcessGuard(process.unwrap());
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
