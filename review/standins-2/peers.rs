//! Stand-ins of the platform, written from its pages: the control feed, invokers, clients, and the process of a controller.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    pub began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        let (began, lines) = (Instant::now(), Arc::default());
        Self { began, lines }
    }
    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }
    pub fn add(&self, text: impl std::fmt::Display) {
        self.add_at(Instant::now(), text);
    }
    pub fn add_at(&self, at: Instant, text: impl std::fmt::Display) {
        let line = format!("{:9.4} {text}", self.at(at));
        self.lines.lock().unwrap().push(line);
    }
    /// Adds a line that is printed as well.
    pub fn say(&self, text: impl std::fmt::Display) {
        println!("{text}");
        self.add(text);
    }
    pub fn save(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a[..9].trim().parse::<f64>().unwrap().total_cmp(&b[..9].trim().parse().unwrap()));
        let _ = std::fs::write(path, lines.join("\n") + "\n");
    }
}

/// A small generator of drawn numbers, so that nothing but the standard library is needed.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

// ---------------------------------------------------------------- the control feed

/// Whether invokers load a function that they lack while the request waits; otherwise they answer that they lack it.
pub static LOADS: AtomicBool = AtomicBool::new(false);

/// How the feed treats its connections.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FeedMode {
    Up,
    /// Open connections stay open and new ones are taken, but nothing is told.
    Silent,
    /// Open connections are closed, and new ones too.
    Down,
}

pub struct FeedState {
    pub mode: FeedMode,
    /// Events after the first, which is in the configuration: number and frame.
    pub events: Vec<Vec<u8>>,
    /// How long a connection waits for its first frame.
    pub first_frame_after: Duration,
    /// Connections opened before this are closed.
    pub cut_before: Instant,
    /// When connections asked, and from which event on.
    pub asked: Vec<(Instant, u64)>,
}

#[derive(Clone)]
pub struct Feed {
    pub port: u16,
    pub state: Arc<Mutex<FeedState>>,
}

/// The states of an invoker in the feed.
pub const READY: u8 = 0;
pub const DRAINING: u8 = 1;
pub const GONE: u8 = 2;

/// The frame of an event that changes one invoker.
pub fn event(number: u64, id: u32, port: u16, state: u8, started_ms: u64) -> Vec<u8> {
    let mut frame = (9u32 + 27).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(2);
    frame.extend(id.to_be_bytes());
    frame.extend([127, 0, 0, 1]);
    frame.extend(port.to_be_bytes());
    frame.extend([state, 0, 0, 0, 0]);
    frame.extend(4_000u32.to_be_bytes());
    frame.extend(started_ms.to_be_bytes());
    frame
}

impl Feed {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let state = FeedState {
            mode: FeedMode::Up,
            events: Vec::new(),
            first_frame_after: Duration::ZERO,
            cut_before: Instant::now(),
            asked: Vec::new(),
        };
        let feed = Self { port, state: Arc::new(Mutex::new(state)) };
        let (accepting, record) = (feed.clone(), record.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (feed, record) = (accepting.clone(), record.clone());
                spawn(move || feed.serve(stream, record));
            }
        });
        feed
    }

    /// Adds an event, and returns when it was in the feed.
    pub fn tell(&self, id: u32, port: u16, state: u8, started_ms: u64) -> Instant {
        let mut feed = self.state.lock().unwrap();
        let number = feed.events.len() as u64 + 2;
        feed.events.push(event(number, id, port, state, started_ms));
        Instant::now()
    }

    fn serve(&self, mut stream: TcpStream, record: Record) {
        let opened = Instant::now();
        let mut last = [0; 8];
        if self.state.lock().unwrap().mode == FeedMode::Down || stream.read_exact(&mut last).is_err() {
            return;
        }
        let mut last = u64::from_be_bytes(last);
        let asked_at = Instant::now();
        record.add(format!("feed: a controller asks for what follows event {last}"));
        let first_frame_at = {
            let mut state = self.state.lock().unwrap();
            state.asked.push((asked_at, last));
            asked_at + state.first_frame_after
        };
        let mut next_empty = first_frame_at;
        loop {
            let mut out = Vec::new();
            {
                let state = self.state.lock().unwrap();
                if state.mode == FeedMode::Down || opened < state.cut_before {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                if state.mode == FeedMode::Up && Instant::now() >= first_frame_at {
                    for frame in state.events.iter().skip(last as usize - 1) {
                        out.extend_from_slice(frame);
                        last += 1;
                    }
                    if Instant::now() >= next_empty {
                        next_empty = Instant::now() + ms(1_000);
                        out.extend(9u32.to_be_bytes());
                        out.extend(last.to_be_bytes());
                        out.push(0);
                    }
                }
            }
            if !out.is_empty() && stream.write_all(&out).is_err() {
                return;
            }
            sleep(ms(2));
        }
    }
}

// ---------------------------------------------------------------- invokers

/// What an invoker saw.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub invoker: u32,
    /// `run`, `load`, `unload` or `probe`.
    pub kind: &'static str,
    pub txn: String,
    pub function: String,
}

/// A request as it arrived whole at an invoker.
pub struct Call {
    pub first: String,
    pub head: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

pub struct InvokerState {
    pub draining: bool,
    /// Takes requests and says nothing.
    pub hangs: bool,
    pub run: Duration,
    pub load: Duration,
    pub loaded: BTreeSet<String>,
    /// Functions that exist.
    pub known: BTreeSet<String>,
    /// Of 100 good answers, how many come spoilt: said to have 3 GB, and coming on and on.
    pub spoilt_of_100: u64,
    /// Of 100 good answers, how many come twice, and how long after the first the second is written.
    pub twice_of_100: u64,
    pub second_after: Duration,
    pub rng: Rng,
    /// When it started cold; none: it is warm.
    pub cold: Option<Instant>,
    /// The loads under way, each with its begin.
    pub loading: BTreeMap<String, Instant>,
    /// Requests in work.
    pub in_work: u32,
}

/// The warm-up of an invoker, by the settings: from this share of its capacity, evenly to all of it within this time.
pub const COLD_FROM: f64 = 0.2;
pub const COLD_MS: f64 = 17_000.0;
/// Requests that an invoker works on at once without slowing down.
pub const CORES: f64 = 3.0;

/// The share of its capacity that an invoker has so long after its start.
pub fn warm_share(age: Duration) -> f64 {
    (COLD_FROM + (1.0 - COLD_FROM) * age.as_secs_f64() * 1_000.0 / COLD_MS).min(1.0)
}

/// The length that a spoilt answer states.
const SPOILT_LENGTH: u64 = 3_000_000_000;
/// What comes of it at once, and every half second after that.
const SPOILT_FIRST: usize = 240 << 10;
const SPOILT_MORE: usize = 1 << 10;

#[derive(Clone)]
pub struct Invoker {
    pub id: u32,
    pub port: u16,
    pub state: Arc<Mutex<InvokerState>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
    alive: Arc<AtomicBool>,
    /// Its open connections, by number.
    streams: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
}

/// Reads a request; none at the end of the connection.
pub fn read_call(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Call> {
    let mut chunk = [0; 32 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let head: BTreeMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                .collect();
            let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0usize);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some(Call { first, head, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(n @ 1..) => bytes.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

pub fn answer(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// The body that an invoker makes for a request.
pub fn made_body(txn: &str) -> Vec<u8> {
    format!("made for {txn}").into_bytes()
}

impl Invoker {
    /// Starts an invoker that knows these functions and holds a copy of each.
    pub fn start(id: u32, run: Duration, functions: &[String], record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = listener.local_addr().unwrap().port();
        let known: BTreeSet<String> = functions.iter().cloned().collect();
        let state = InvokerState {
            draining: false,
            hangs: false,
            run,
            load: ms(900),
            loaded: known.clone(),
            known,
            spoilt_of_100: 0,
            twice_of_100: 0,
            second_after: ms(5),
            rng: Rng(u64::from(id) << 32),
            cold: None,
            loading: BTreeMap::new(),
            in_work: 0,
        };
        let invoker = Self {
            id,
            port,
            state: Arc::new(Mutex::new(state)),
            arrivals: Arc::default(),
            record: record.clone(),
            alive: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        invoker.listen(listener);
        invoker
    }

    fn listen(&self, listener: TcpListener) {
        let invoker = self.clone();
        listener.set_nonblocking(true).unwrap();
        spawn(move || {
            let mut number = 0;
            while invoker.alive.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                number += 1;
                if let Ok(other) = stream.try_clone() {
                    invoker.streams.lock().unwrap().insert(number, other);
                }
                let invoker = invoker.clone();
                spawn(move || {
                    invoker.serve(stream);
                    // Without the other handle the connection is closed.
                    invoker.streams.lock().unwrap().remove(&number);
                });
            }
        });
    }

    /// The process ends: its connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.record.add(format!("invoker {}: its process ends", self.id));
        self.alive.store(false, SeqCst);
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        sleep(ms(10));
    }

    /// The process starts again at its address, empty and cold.
    pub fn start_again(&self) -> Result<(), String> {
        let listener = TcpListener::bind(("127.0.0.1", self.port)).map_err(|e| e.to_string())?;
        {
            let mut state = self.state.lock().unwrap();
            state.loaded.clear();
            state.loading.clear();
            state.cold = Some(Instant::now());
        }
        self.alive.store(true, SeqCst);
        self.record.add(format!("invoker {}: its process starts, cold and empty", self.id));
        self.listen(listener);
        Ok(())
    }

    /// How long a request runs that begins now.
    fn run_time(&self) -> Duration {
        let mut state = self.state.lock().unwrap();
        state.in_work += 1;
        let Some(started) = state.cold else {
            return state.run;
        };
        let cores = CORES * warm_share(started.elapsed());
        state.run.mul_f64((f64::from(state.in_work) / cores).max(1.0))
    }

    fn serve(&self, mut stream: TcpStream) {
        // The socket has the options of the system, as those of any server have that sets none.
        // Connections idle for the time in the settings are closed.
        let _ = stream.set_read_timeout(Some(ms(15_000)));
        let mut bytes = Vec::new();
        while let Some(call) = read_call(&mut stream, &mut bytes) {
            if !self.alive.load(SeqCst) {
                return;
            }
            let Some(answer) = self.handle(&call) else {
                // It hangs: the connection stays open, and nothing is said.
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest), Ok(1..)) {}
                return;
            };
            if call.head.contains_key("x-txn") && answer.starts_with(b"HTTP/1.1 200") && self.spoils() {
                self.record.add(format!("invoker {}: spoils the answer to {}", self.id, call.head["x-txn"]));
                let head = format!("HTTP/1.1 200 OK\r\nX-How: resident\r\nContent-Length: {SPOILT_LENGTH}\r\n\r\n");
                let mut written = stream.write_all(&[head.as_bytes(), &[b'x'; SPOILT_FIRST]].concat());
                while written.is_ok() {
                    sleep(ms(500));
                    written = stream.write_all(&[b'x'; SPOILT_MORE]);
                }
                return;
            }
            if stream.write_all(&answer).is_err() {
                return;
            }
            let written = Instant::now();
            if call.head.contains_key("x-txn") && answer.starts_with(b"HTTP/1.1 200") && self.answers_twice() {
                let after = self.state.lock().unwrap().second_after;
                sleep(after);
                let late = written.elapsed().as_secs_f64() * 1_000.0;
                if stream.write_all(&answer).is_err() {
                    return;
                }
                self.record.add(format!("invoker {}: wrote the answer to {} again, {late:.1} ms late", self.id, call.head["x-txn"]));
            }
        }
    }

    fn answers_twice(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let share = state.twice_of_100;
        state.rng.below(100) < share
    }

    fn spoils(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let share = state.spoilt_of_100;
        state.rng.below(100) < share
    }

    fn note(&self, kind: &'static str, txn: &str, function: &str) {
        let at = Instant::now();
        let (txn, function) = (txn.to_owned(), function.to_owned());
        if kind != "probe" {
            self.record.add_at(at, format!("invoker {}: {kind} {function} {txn}", self.id));
        }
        let invoker = self.id;
        self.arrivals.lock().unwrap().push(Arrival { at, invoker, kind, txn, function });
    }

    fn handle(&self, call: &Call) -> Option<Vec<u8>> {
        let mut words = call.first.split(' ');
        let (method, path) = (words.next()?, words.next()?);
        let (draining, hangs, load) = {
            let state = self.state.lock().unwrap();
            (state.draining, state.hangs, state.load)
        };
        let full = || Some(answer("503 Full", "X-Unrun: 1\r\n", b""));
        if path == "/healthz" || path == "/busy" {
            self.note("probe", "", "");
            let status = if draining { "503 No" } else { "200 OK" };
            return Some(answer(status, "X-Gauges: queue:0;util:0.3\r\n", b""));
        }
        let rest = path.strip_prefix("/obj/")?;
        match method {
            "PUT" => {
                let (function, count) = rest.split_once('/')?;
                self.note(if count == "0" { "asked" } else { "load" }, "", function);
                if draining {
                    return full();
                }
                sleep(load);
                let mut state = self.state.lock().unwrap();
                if !state.known.contains(function) {
                    return Some(answer("500 Error", "X-How: boot_error\r\nX-Units: 0\r\n", b""));
                }
                state.loaded.insert(function.to_owned());
                Some(answer("200 OK", "X-Units: 1\r\n", b""))
            }
            "DELETE" => {
                self.note("unload", "", rest);
                self.state.lock().unwrap().loaded.remove(rest);
                Some(answer("204 Done", "", b""))
            }
            _ => {
                let (txn, function) = (call.head.get("x-txn")?, call.head.get("x-name")?);
                self.note("run", txn, function);
                if draining {
                    return full();
                }
                let mut how = "resident";
                if !self.state.lock().unwrap().loaded.contains(function) {
                    if !LOADS.load(SeqCst) {
                        return Some(answer("404 Miss", "", b""));
                    }
                    let began = {
                        let loading = &mut self.state.lock().unwrap().loading;
                        how = if loading.contains_key(function) { "rode" } else { "booted" };
                        *loading.entry(function.clone()).or_insert_with(Instant::now)
                    };
                    sleep((began + load).saturating_duration_since(Instant::now()));
                    let mut state = self.state.lock().unwrap();
                    state.loading.remove(function);
                    state.loaded.insert(function.clone());
                }
                if hangs {
                    return None;
                }
                let run = self.run_time();
                sleep(run);
                self.state.lock().unwrap().in_work -= 1;
                let head = format!("X-How: {how}\r\nX-Gauges: util:0.5\r\n");
                Some(answer("200 OK", &head, &made_body(txn)))
            }
        }
    }
}

// ---------------------------------------------------------------- the controller

/// A controller as the platform runs it. It is killed when this is dropped.
pub struct Controller {
    pub child: Child,
    pub listen: String,
    pub folder: std::path::PathBuf,
}

/// The command of the deploy file.
fn run_command() -> String {
    let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = deploy.lines().find(|line| line.starts_with("run = \""));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.unwrap_or("exec target/release/saltdrum node").to_owned()
}

/// The members of the first event of the configuration.
pub fn members(invokers: &[Invoker]) -> String {
    let member = |invoker: &Invoker| {
        format!(
            r#"{{"id":"s-{:08x}","host_port":"127.0.0.1:{}","locality":"hall-a","flavor":"std-4","cell":0,"phase":"up","size":4,"up_since_ms":0}}"#,
            invoker.id, invoker.port
        )
    };
    invokers.iter().map(member).collect::<Vec<_>>().join(",")
}

/// The processes that were started, for an end that drops nothing.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the controllers that still run.
pub fn kill_controllers() {
    for process in STARTED.lock().unwrap().iter() {
        let kill = format!("kill -KILL {process}");
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }
}

pub struct Start<'a> {
    pub name: &'a str,
    pub invokers: &'a [Invoker],
    pub feed: &'a Feed,
    pub settings: &'a str,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Controller {
    /// Starts a controller, and waits until it says that it is ready.
    pub fn start(start: &Start, record: &Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), free_port()));
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        let listen = format!("127.0.0.1:{}", free_port());
        let config = format!(
            r#"{{"name":"{}","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"feed":"127.0.0.1:{}","known":{{"n":1,"events":[{{"n":1,"members":{{"revision":1,"complete":true,"members":[{}]}}}}]}},"settings":{}}}"#,
            start.name, start.memory_mb, start.sockets, start.feed.port, members(start.invokers), start.settings
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(folder.join("log")).map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("RELAY_CONFIG", &path)
            .env("RELAY_NAME", start.name)
            .env("RELAY_LISTEN", &listen)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        STARTED.lock().unwrap().push(child.id());
        let mut controller = Self { child, listen, folder };
        for _ in 0..200 {
            if controller.has_ended() {
                return Err("the controller ended at its start".into());
            }
            if controller.is_ready() {
                record.add(format!("controller: ready, process {}", controller.child.id()));
                return Ok(controller);
            }
            sleep(ms(50));
        }
        Err("the controller is not ready".into())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.listen) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let asked = stream.write_all(&frame(32, 1, &[0]));
        let mut bytes = [0; 10];
        asked.is_ok() && stream.read_exact(&mut bytes).is_ok() && (bytes[4], bytes[9]) == (33, 79)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }

    /// Memory of the process without the pages of files, in KiB.
    pub fn memory_kib(process: u32) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let counted = status.lines().filter(|l| l.starts_with("RssAnon:") || l.starts_with("RssShmem:"));
        Some(counted.filter_map(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok()).sum())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---------------------------------------------------------------- clients

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (5 + payload.len() as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend_from_slice(payload);
    out
}

pub struct Ask<'a> {
    pub class: &'a str,
    pub txn: &'a str,
    pub limit_ms: u64,
    pub function: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
}

/// The further figures of a usual request.
pub const USUAL_FIGURES: &str = "memory_mb:512;lanes:4;load_ms:900";

pub fn request(stream: u32, ask: &Ask) -> Vec<u8> {
    request_with(stream, ask, USUAL_FIGURES)
}

pub fn request_with(stream: u32, ask: &Ask, figures: &str) -> Vec<u8> {
    let limit = ask.limit_ms.to_string();
    let mut fields = vec![
        ("verb", ask.class),
        ("txn", ask.txn),
        ("limit", &limit),
        ("item", ask.function),
        ("extras", figures),
    ];
    fields.extend(ask.key.map(|key| ("unique", key)));
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.as_bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.as_bytes());
    }
    payload.extend_from_slice(ask.body);
    frame(16, stream, &payload)
}

/// A request as its client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub txn: String,
    pub at: Instant,
    pub limit_ms: u64,
    /// When and how it was answered: 79 served, 66 refused, 69 failed.
    pub answers: Vec<(Instant, u8, Vec<u8>)>,
    /// When its connection ended without an answer.
    pub cut_at: Option<Instant>,
}

/// A usual client: one connection, answers in any order.
pub struct Client {
    stream: TcpStream,
    next: u32,
    pub sent: Arc<Mutex<BTreeMap<u32, Sent>>>,
    /// The controller asked for nothing new here, or the connection has ended.
    pub is_over: Arc<AtomicBool>,
    record: Record,
}

impl Client {
    pub fn connect(listen: &str, record: &Record) -> Option<Self> {
        let stream = TcpStream::connect(listen).ok()?;
        let _ = stream.set_nodelay(true);
        let client = Self {
            stream: stream.try_clone().ok()?,
            next: 1,
            sent: Arc::default(),
            is_over: Arc::default(),
            record: record.clone(),
        };
        let (sent, is_over, record) = (client.sent.clone(), client.is_over.clone(), record.clone());
        spawn(move || read_answers(stream, &sent, &is_over, &record));
        Some(client)
    }

    pub fn ask(&mut self, ask: &Ask) {
        self.ask_with(ask, USUAL_FIGURES);
    }

    pub fn ask_with(&mut self, ask: &Ask, figures: &str) {
        let bytes = request_with(self.next, ask, figures);
        let at = Instant::now();
        self.record.add_at(at, format!("client: {} {} {} ({figures})", ask.class, ask.function, ask.txn));
        let sent = Sent {
            txn: ask.txn.to_owned(),
            at,
            limit_ms: ask.limit_ms,
            answers: Vec::new(),
            cut_at: None,
        };
        self.sent.lock().unwrap().insert(self.next, sent);
        self.next += 1;
        if self.stream.write_all(&bytes).is_err() {
            self.is_over.store(true, SeqCst);
        }
    }

    pub fn open(&self) -> usize {
        self.sent.lock().unwrap().values().filter(|s| s.answers.is_empty()).count()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_answers(mut stream: TcpStream, sent: &Mutex<BTreeMap<u32, Sent>>, is_over: &AtomicBool, record: &Record) {
    let mut head = [0; 9];
    while stream.read_exact(&mut head).is_ok() {
        let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
        let (kind, number) = (head[4], u32::from_be_bytes(head[5..].try_into().unwrap()));
        let mut payload = vec![0; length.saturating_sub(5)];
        if stream.read_exact(&mut payload).is_err() {
            break;
        }
        match kind {
            17 => {
                let code = payload.first().copied().unwrap_or(0);
                let mut sent = sent.lock().unwrap();
                if let Some(sent) = sent.get_mut(&number) {
                    record.add(format!("client: answer {code} for {}", sent.txn));
                    sent.answers.push((Instant::now(), code, body_of(&payload)));
                }
            }
            48 => is_over.store(true, SeqCst),
            _ => {}
        }
    }
    is_over.store(true, SeqCst);
    let at = Instant::now();
    for sent in sent.lock().unwrap().values_mut().filter(|s| s.answers.is_empty()) {
        sent.cut_at = Some(at);
        record.add_at(at, format!("client: the connection ended without an answer for {}", sent.txn));
    }
}

/// The body behind the code and the fields of an answer.
fn body_of(payload: &[u8]) -> Vec<u8> {
    let mut at = 2;
    for _ in 0..payload.get(1).copied().unwrap_or(0) {
        at += 1 + usize::from(payload.get(at).copied().unwrap_or(0));
        let size = payload.get(at..at + 2).map_or(0, |b| u16::from_be_bytes([b[0], b[1]]));
        at += 2 + usize::from(size);
    }
    payload.get(at..).unwrap_or_default().to_vec()
}

// ---------------------------------------------------------------- settings

/// The settings of a small deployment, after the figures of the deployment that this repository is run on.
pub fn settings(cancel: bool, classes: &str) -> String {
    settings_of(1, cancel, classes)
}

/// The same for several controllers.
pub fn settings_of(controllers: usize, cancel: bool, classes: &str) -> String {
    format!(
        r#"{{"balancers":{controllers},"zone":0,"zones":["hall-a"],"kinds":["std-4"],"over_share_worth":0.1,"tick_ms":2.0,"discovery":"automatic","classes":[{classes}],"bounds":{{"cancel":{cancel},"connect_timeout_ms":250.0,"conn_idle_ms":15000.0,"max_retry_after_ms":500.0,"parallel_tries":false,"probing":true,"retry_after":true,"try_limit":3}},"family_info":{{"kind_memory_mb":[42000.0],"linger_idle_ms":8700.0,"load_share":0.1,"load_wait_ms":10000.0,"load_window_ms":5000.0,"loads_anyway":3.0,"may_order":true,"not_loaded":"miss"}},"reporting":{{"fields":["queue","util"],"how":"probe"}},"rules":{{"drain_grace_ms":250.0,"cold_from":0.19,"cold_ms":15000.0,"overload_factor":2.0,"tip_after_ms":3000.0,"grace_to_answer_ms":16.0}}}}"#
    )
}

/// A class of requests in the settings.
pub fn class(name: &str, effect: &str, aim_ms: u64, give_up_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","aim_ms":{aim_ms}.0,"give_up_ms":{give_up_ms}.0,"effect":"{effect}","key_scope":"all","repeat_window_ms":5000.0,"worth":1.0,"late_share":0.2,"stream":false}}"#
    )
}
