//! Shared by the tests of `saltdrum node` as a process: the process, its configuration, a feed, an invoker, and the frames
//! of the client protocol.

// Each test binary uses only some of these.
#![allow(dead_code)]

pub mod bad_clients;
pub mod greedy_clients;
pub mod memory;
pub mod spoiling_invokers;
pub mod usual_clients;

use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// Longer than any wait of a correct run.
pub const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Type of the client's frame that carries a request.
const REQUEST_FRAME: u8 = 16;
/// States of an invoker in the feed.
pub const READY: u8 = 0;
pub const DRAINING: u8 = 1;
pub const GONE: u8 = 2;

/// The command that runs `saltdrum node` with this configuration file.
pub fn node_command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
    command
        .arg("node")
        .env("RELAY_CONFIG", config)
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_NAME");
    command
}

/// Starts `saltdrum node` with this configuration, which is written to a file in this folder.
pub fn start_node(folder: &Path, configuration: &Value) -> ProcessGuard {
    let config = write(folder, &configuration.to_string());
    let process = node_command(&config).stdout(Stdio::null()).spawn();
    ProcessGuard(process.unwrap())
}

/// The seeds that `SOAK_SEEDS` selects, as in `1..61`, or these.
pub fn soak_seeds(default: &str) -> Vec<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| default.into());
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS=from..to");
    (from.parse().unwrap()..to.parse().unwrap()).collect()
}

/// Kills its process when dropped, also when the test fails.
pub struct ProcessGuard(pub Child);

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl ProcessGuard {
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), signal).unwrap();
    }
}

/// The first line of a health check begins with this.
const HEALTH_CHECK: &str = "GET /healthz";
/// The answers of an invoker: a run, a health check, the lack of a function, and a load that fails.
const RUN_ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nX-How: resident\r\nX-Units: 1\r\nContent-Length: 4\r\n\r\ndone";
const HEALTHY_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const MISS_ANSWER: &[u8] = b"HTTP/1.1 404 Miss\r\nContent-Length: 0\r\n\r\n";
const LOAD_FAILURE_ANSWER: &[u8] =
    b"HTTP/1.1 500 Error\r\nX-How: boot_error\r\nX-Units: 0\r\nContent-Length: 0\r\n\r\n";

/// Starts an invoker that answers each request after this time, and returns its address. Health checks, which precede
/// requests until the feed is heard, are answered at once.
pub fn start_invoker(latency: Duration) -> String {
    start_answering_invoker(move |head| {
        if head.starts_with(HEALTH_CHECK) {
            return HEALTHY_ANSWER;
        }
        std::thread::sleep(latency);
        RUN_ANSWER
    })
}

/// Starts an invoker that runs one function in this time and knows no other, and returns its address.
pub fn start_invoker_of(function: u64, latency: Duration) -> String {
    let function = format!("{function:016x}");
    start_answering_invoker(move |head| {
        if head.starts_with(HEALTH_CHECK) {
            HEALTHY_ANSWER
        } else if head.contains(&function) {
            std::thread::sleep(latency);
            RUN_ANSWER
        } else if head.starts_with("PUT") {
            LOAD_FAILURE_ANSWER
        } else {
            MISS_ANSWER
        }
    })
}

/// Starts an invoker that loads functions by itself and runs one in this time, and returns its address. It cannot load
/// others.
pub fn start_invoker_that_loads_one(function: u64, latency: Duration) -> String {
    let function = format!("{function:016x}");
    start_answering_invoker(move |head| {
        if head.starts_with(HEALTH_CHECK) {
            HEALTHY_ANSWER
        } else if head.contains(&function) {
            std::thread::sleep(latency);
            RUN_ANSWER
        } else {
            LOAD_FAILURE_ANSWER
        }
    })
}

/// Starts an invoker that knows no function and whose loads never end, and returns its address.
pub fn start_invoker_that_loads_forever() -> String {
    start_answering_invoker(|head| {
        if head.starts_with("PUT") {
            b""
        } else {
            MISS_ANSWER
        }
    })
}

/// Starts an invoker that gives these answers to requests without a body, by their head, and returns its address.
fn start_answering_invoker(
    answer: impl Fn(&str) -> &'static [u8] + Clone + Send + 'static,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, answer) = (stream.unwrap(), answer.clone());
            std::thread::spawn(move || {
                let mut read = Vec::new();
                let mut bytes = [0; 4_096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    read.extend_from_slice(&bytes[..n]);
                    if read.ends_with(b"\r\n\r\n") {
                        let head = String::from_utf8_lossy(&read).into_owned();
                        read.clear();
                        let _ = stream.write_all(answer(&head));
                    }
                }
            });
        }
    });
    address
}

/// Starts a feed without events. Returns its address, and the event numbers from which it is requested.
pub fn start_feed() -> (String, mpsc::Receiver<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (requested, requests)) =
        (listener.local_addr().unwrap().to_string(), mpsc::channel());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, requested) = (stream.unwrap(), requested.clone());
            std::thread::spawn(move || {
                let mut last = [0; 8];
                stream.read_exact(&mut last).unwrap();
                let _ = requested.send(u64::from_be_bytes(last));
                let empty = [&9u32.to_be_bytes()[..], &last, &[0]].concat();
                while stream.write_all(&empty).is_ok() {
                    std::thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    (address, requests)
}

/// The configuration of a controller with one invoker.
pub fn configuration(listen: &str, feed: &str, invoker: &str) -> Value {
    json!({
        "name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "feed": feed,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"n": 1, "events": [{"n": 1, "members": {"revision": 1, "complete": true, "members": [
            {"id": "s-00000001", "host_port": invoker, "locality": "a", "flavor": "std", "cell": 0, "phase": "up",
             "size": 4, "up_since_ms": 0}]}}]},
        "settings": {
            "balancers": 1, "zone": 0, "zones": "a", "kinds": "std", "over_share_worth": 0.1, "tick_ms": 2.0,
            "classes": [{"name": "look", "aim_ms": 4000.0, "give_up_ms": 8000.0, "effect": "safe", "key_scope": "all",
                "repeat_window_ms": 2000.0, "worth": 1.0, "late_share": 0.2}],
            "bounds": {"cancel": true, "connect_timeout_ms": 250.0, "conn_idle_ms": 15000.0, "max_retry_after_ms": 500.0,
                "parallel_tries": false, "probing": true, "retry_after": true, "try_limit": 3},
            "family_info": {"kind_memory_mb": "42000.0", "linger_idle_ms": 9000.0, "load_share": 0.1,
                "load_wait_ms": 10000.0, "load_window_ms": 5000.0, "loads_anyway": 3.0, "may_order": true,
                "not_loaded": "miss"},
            "rules": {"drain_grace_ms": 250.0, "cold_from": 0.3, "cold_ms": 8000.0, "overload_factor": 2.0,
                "tip_after_ms": 3000.0}
        }
    })
}

/// Adds an invoker to a configuration.
pub fn add_invoker(configuration: &mut Value, number: u32, address: &str) {
    let members = &mut configuration["known"]["events"][0]["members"]["members"];
    let mut member = members[0].clone();
    member["id"] = json!(format!("s-{number:08x}"));
    member["host_port"] = json!(address);
    members.as_array_mut().unwrap().push(member);
}

/// Writes a configuration to a file in this folder.
pub fn write(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("config.json");
    std::fs::write(&path, text).unwrap();
    path
}

/// A request for a fixed function, whose client waits 7 s.
pub fn request_frame(stream: u32, txn: u64) -> Vec<u8> {
    request_frame_for(stream, txn, 0xf1, 7_000)
}

/// A request for a function, whose client waits this long.
pub fn request_frame_for(stream: u32, txn: u64, function: u64, limit_ms: u64) -> Vec<u8> {
    let (txn, limit, function) = (
        format!("{txn:016x}"),
        limit_ms.to_string(),
        format!("{function:016x}"),
    );
    request_frame_with_fields(
        stream,
        &[
            ("verb", "look"),
            ("txn", &txn),
            ("limit", &limit),
            ("item", &function),
        ],
    )
}

/// A request with these fields and no body.
pub fn request_frame_with_fields(stream: u32, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    frame(REQUEST_FRAME, stream, &payload)
}

/// A frame of a client.
pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    [
        &(payload.len() as u32 + 5).to_be_bytes()[..],
        &[kind],
        &stream.to_be_bytes(),
        payload,
    ]
    .concat()
}

/// The feed's event after `number`, which reports that the invoker at this address is draining.
pub fn drain_event(number: u64, invoker: u32, address: &str) -> Vec<u8> {
    endpoint_event(number + 1, invoker, address, DRAINING)
}

/// An event of the feed with the state of the invoker at this address.
pub fn endpoint_event(number: u64, invoker: u32, address: &str, state: u8) -> Vec<u8> {
    let SocketAddr::V4(at) = address.parse().unwrap() else {
        panic!("{address}: IPv4 is expected")
    };
    let record = [
        &invoker.to_be_bytes()[..],
        &at.ip().octets(),
        &at.port().to_be_bytes(),
        &[state, 0, 0],
        &0u16.to_be_bytes(),
        &4_000u32.to_be_bytes(),
        &0u64.to_be_bytes(),
    ]
    .concat();
    let length = 9 + record.len() as u32;
    [
        &length.to_be_bytes()[..],
        &number.to_be_bytes(),
        &[2],
        &record,
    ]
    .concat()
}

/// The value of a header field in an HTTP head.
pub fn header_field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        line.split_once(": ")
            .filter(|f| f.0.eq_ignore_ascii_case(name))
            .map(|f| f.1)
    })
}

/// Reads the next frame: its type, its stream and its payload.
pub fn read_frame(stream: &mut TcpStream) -> (u8, u32, Vec<u8>) {
    let mut head = [0; 9];
    stream.read_exact(&mut head).unwrap();
    let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
    let mut payload = vec![0; length - 5];
    stream.read_exact(&mut payload).unwrap();
    (
        head[4],
        u32::from_be_bytes(head[5..].try_into().unwrap()),
        payload,
    )
}

/// Raises the soft limit of this process on descriptors to the hard one, for tests with hundreds of connections.
pub fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: maximum,
        maximum,
    };
    setrlimit(Resource::Nofile, limit).unwrap();
}

/// Connects to an address, and retries while nobody listens.
pub fn connect(address: &str) -> TcpStream {
    for _ in 0..2_000 {
        if let Ok(stream) = TcpStream::connect(address) {
            stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            return stream;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("nobody listens at {address}");
}

/// An address where nobody listens, unique to this test process and this call. It lies outside of the kernel's ephemeral port
/// range and not on 127.0.0.1, from which the kernel connects: an ephemeral port that was free a moment ago may be taken.
///
/// The check does not listen there itself: a process that another thread starts at that moment has the listener too until it
/// executes its program, and clients would connect to it and be reset.
pub fn free_address() -> String {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [.., high, low] = std::process::id().to_be_bytes();
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((Ipv4Addr::new(127, 1 + high % 250, low, 1), port));
        if TcpStream::connect(address).is_err() {
            return address.to_string();
        }
    }
}
