//! What tests of `saltdrum node` as a process share: the process, its file, a feed, and a client's frames.

// Each test binary uses its own part.
#![allow(dead_code)]

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc;
use std::time::Duration;

/// Long past any wait of a sound run; only a broken one meets it.
pub const LONG: Duration = Duration::from_secs(20);
/// The type of a client's frame that brings a request.
const REQUEST: u8 = 16;
/// The states of an invoker in the feed.
pub const READY: u8 = 0;
pub const DRAINING: u8 = 1;
pub const GONE: u8 = 2;

pub fn saltdrum(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
    command
        .arg("node")
        .env("RELAY_CONFIG", config)
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_NAME");
    command
}

/// A process that ends with the test.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), signal).unwrap();
    }
}

/// An invoker that answers each request after a while, and counts them.
pub fn invoker(takes: Duration) -> String {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = door.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in door.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut read = Vec::new();
                let mut bytes = [0; 4_096];
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    read.extend_from_slice(&bytes[..n]);
                    if read.ends_with(b"\r\n\r\n") {
                        read.clear();
                        std::thread::sleep(takes);
                        let _ = stream.write_all(
                            b"HTTP/1.1 200 OK\r\nX-How: resident\r\nX-Units: 1\r\nContent-Length: 4\r\n\r\ndone",
                        );
                    }
                }
            });
        }
    });
    at
}

/// A feed with nothing to tell; says which numbers it was asked from.
pub fn feed() -> (String, mpsc::Receiver<u64>) {
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, (told, asked)) = (door.local_addr().unwrap().to_string(), mpsc::channel());
    std::thread::spawn(move || {
        for stream in door.incoming() {
            let (mut stream, told) = (stream.unwrap(), told.clone());
            std::thread::spawn(move || {
                let mut last = [0; 8];
                stream.read_exact(&mut last).unwrap();
                let _ = told.send(u64::from_be_bytes(last));
                let empty = [&9u32.to_be_bytes()[..], &last, &[0]].concat();
                while stream.write_all(&empty).is_ok() {
                    std::thread::sleep(Duration::from_millis(500));
                }
            });
        }
    });
    (at, asked)
}

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

pub fn write(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("config.json");
    std::fs::write(&path, text).unwrap();
    path
}

pub fn ask(stream: u32, txn: u64) -> Vec<u8> {
    ask_for(stream, txn, 0xf1, 7_000)
}

/// A request for a function, whose client waits so long.
pub fn ask_for(stream: u32, txn: u64, function: u64, limit_ms: u64) -> Vec<u8> {
    let (txn, limit, function) = (
        format!("{txn:016x}"),
        limit_ms.to_string(),
        format!("{function:016x}"),
    );
    ask_with(
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
pub fn ask_with(stream: u32, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    frame(REQUEST, stream, &payload)
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

/// The event of the feed after `number` that says that an invoker, at this address, drains.
pub fn drain_event(number: u64, invoker: u32, address: &str) -> Vec<u8> {
    endpoint_event(number + 1, invoker, address, DRAINING)
}

/// An event of the feed that gives the state of one invoker, at this address.
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

/// The value of a field in an HTTP head.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        line.split_once(": ")
            .filter(|f| f.0.eq_ignore_ascii_case(name))
            .map(|f| f.1)
    })
}

/// The next frame: its type, its stream and its payload.
pub fn hear(stream: &mut TcpStream) -> (u8, u32, Vec<u8>) {
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

pub fn dial(at: &str) -> TcpStream {
    for _ in 0..2_000 {
        if let Ok(stream) = TcpStream::connect(at) {
            stream.set_read_timeout(Some(LONG)).unwrap();
            return stream;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("nobody listens at {at}");
}

/// An address where nobody listens, of this test process and of this call alone. The kernel gives ports above the range to
/// whoever asks for any, so that a port that was free a moment ago may have an owner; and it connects from 127.0.0.1.
pub fn free_address() -> String {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let [.., high, low] = std::process::id().to_be_bytes();
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = Ipv4Addr::new(127, 1 + high % 250, low, 1);
        if let Ok(listener) = TcpListener::bind((address, port)) {
            return listener.local_addr().unwrap().to_string();
        }
    }
}
