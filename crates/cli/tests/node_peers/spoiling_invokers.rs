//! Invokers of whose answers some are spoilt and keep coming.

use super::header_field;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long an invoker runs a request.
const RUN_TIME: Duration = Duration::from_millis(20);
/// The first answers of each invoker are good.
const GOOD_ANSWERS: u64 = 100;
/// Pieces of a spoilt answer that keep coming, and the pause between them.
const PIECE_BYTES: usize = 1 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// How often each id arrived at the invokers.
pub type Arrivals = Arc<Mutex<BTreeMap<String, usize>>>;

/// A spoilt answer: its head, its first bytes, and what keeps coming.
#[derive(Clone)]
pub struct SpoiltAnswer {
    first: Vec<u8>,
    piece: Vec<u8>,
}

/// An answer that is stated to have this many bytes, of which 240 KiB come at once.
pub fn stated_answer(stated_bytes: u64) -> SpoiltAnswer {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated_bytes}\r\n\r\n");
    SpoiltAnswer {
        first: [head.into_bytes(), vec![b'x'; 240 << 10]].concat(),
        piece: vec![b'x'; PIECE_BYTES],
    }
}

/// An answer of chunks of one byte that never ends.
pub fn chunked_answer() -> SpoiltAnswer {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    SpoiltAnswer {
        first: [head, b"1\r\nx\r\n".repeat(100_000)].concat(),
        piece: b"1\r\nx\r\n".repeat(PIECE_BYTES),
    }
}

/// An answer whose head has ever more short fields and never ends.
pub fn endless_head() -> SpoiltAnswer {
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
fn serve(
    mut stream: TcpStream,
    answer: &SpoiltAnswer,
    spoilt_of_ten: u64,
    requests: &AtomicU64,
    arrivals: &Arrivals,
) {
    let mut bytes = [0; 4_096];
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        if bytes[..n].starts_with(b"GET /healthz") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let head = String::from_utf8_lossy(&bytes[..n]);
        if let Some(id) = header_field(&head, "x-txn") {
            *arrivals.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        }
        let number = requests.fetch_add(1, Ordering::Relaxed);
        thread::sleep(RUN_TIME);
        if number > GOOD_ANSWERS && number % 10 < spoilt_of_ten {
            return send_spoilt_answer(&mut stream, answer);
        }
        let _ = stream.write_all(
            b"HTTP/1.1 200 OK\r\nX-How: resident\r\nX-Units: 1\r\nContent-Length: 4\r\n\r\ndone",
        );
    }
}

/// Starts an invoker of whose answers some are spoilt, and returns its address.
pub fn start_spoiling_invoker(
    answer: &SpoiltAnswer,
    spoilt_of_ten: u64,
    arrivals: &Arrivals,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (answer, requests) = (answer.clone(), Arc::<AtomicU64>::default());
    let arrivals = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (answer, requests) = (answer.clone(), requests.clone());
            let arrivals = arrivals.clone();
            thread::spawn(move || {
                serve(
                    stream.unwrap(),
                    &answer,
                    spoilt_of_ten,
                    &requests,
                    &arrivals,
                )
            });
        }
    });
    address
}
