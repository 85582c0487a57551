//! Measures the controller beside a relay with the very same I/O that picks at random (`serve --baseline`).
//!
//!     cargo build --release && cargo run --release -p saltdrum-scenario --example beside-relay
//!
//! The controller is a process of its own; invokers that answer at once, the list and the clients share this one's
//! threads. Rounds alternate, and what is quoted is the median of each figure and of its ratio within a round.

#![expect(
    clippy::disallowed_methods,
    reason = "it is this machine's time that is asked for"
)]

use bytes::BytesMut;
use hdrhistogram::Histogram;
use saltdrum_fakes::{EndpointList, Record};
use saltdrum_protocol::frame::{encode, take_frame};
use saltdrum_protocol::invoker as wire;
use saltdrum_protocol::list::{Entry, Life};
use saltdrum_transport::{Address, Clock, Listener, Network, SocketNetwork};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::task::{LocalSet, spawn_local};

const ROUNDS: usize = 3;
const IN_FLIGHT: usize = 256;
const CONNECTIONS: usize = 8;
const WARM_UP: Duration = Duration::from_millis(1_500);
const SPAN: Duration = Duration::from_secs(4);
const WAITING: usize = 10_000;

fn terms(invokers: usize) -> String {
    format!(
        r#"
deployment(controllers = 1, keep_alive = "20s", cold_share = 0.2, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", answer_margin = "100ms")
machine("big", memory = "400GB", cores = 16)
invokers(kind = "big", count = {invokers})
trigger_type("narrate", objective = "5s", client_timeout = "30s")
tenant("hill", quota_per_s = 100000)
[function("voice-%d" % n, trigger = "narrate", memory = "1GB", lanes = 64, load_time = "10ms") for n in range(24)]
"#
    )
}

/// Invokers that answer at once, or not at all while they are told to hold back. Two threads, so that they are not what
/// gives out first; the list is on this one.
fn invokers(count: usize, holds_back: Arc<AtomicBool>, told: mpsc::Sender<String>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (to, from) = mpsc::channel();
    for part in 0..2 {
        let (to, holds_back) = (to.clone(), holds_back.clone());
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            LocalSet::new().block_on(&runtime, async move {
                for n in (1..=count as u32).filter(|n| n % 2 == part) {
                    let (door, at) = SocketNetwork
                        .listen(&Address::Tcp("127.0.0.1:0".into()))
                        .await
                        .unwrap();
                    spawn_local(one_invoker(n, door, holds_back.clone()));
                    to.send((n, at.to_string())).unwrap();
                }
                std::future::pending::<()>().await;
            });
        });
    }
    LocalSet::new().block_on(&runtime, async move {
        let any = Address::Tcp("127.0.0.1:0".into());
        let opened = EndpointList::open(
            Rc::new(SocketNetwork),
            Clock::start(),
            Record::default(),
            &any,
        )
        .await;
        let (list, address) = opened.unwrap();
        for (invoker, address) in from.iter().take(count) {
            list.publish(Entry {
                invoker,
                address,
                zone: 0,
                kind: 0,
                cell: 0,
                life: Life::Ready,
                size: 16.0,
                incarnation: 1,
                age_tenths: 1_000_000,
                agent: None,
            });
        }
        told.send(address.to_string()).unwrap();
        std::future::pending::<()>().await;
    });
}

async fn one_invoker(number: u32, mut door: Box<dyn Listener>, holds_back: Arc<AtomicBool>) {
    while let Ok(mut stream) = door.accept().await {
        let holds_back = holds_back.clone();
        spawn_local(async move {
            let (mut read, mut out) = (BytesMut::new(), Vec::new());
            while stream.read_buf(&mut read).await.is_ok_and(|n| n > 0) {
                while let Some((kind, body)) = take_frame(&mut read).unwrap() {
                    match wire::FromController::read(kind, &body).unwrap() {
                        wire::FromController::Hello(_) => {
                            let welcome = wire::Welcome {
                                version: 1,
                                invoker: number,
                                incarnation: 1,
                                age_tenths: 1_000_000,
                            };
                            out.extend(encode(&welcome));
                        }
                        wire::FromController::Dispatch(d) if !holds_back.load(Relaxed) => {
                            out.extend(encode(&wire::Answer {
                                dispatch: d.dispatch,
                                ended: wire::Ended::Succeeded,
                                found: Some(wire::Found::Warm),
                                crowd: Some(0),
                                load: wire::Load {
                                    cores_busy: Some(0.1),
                                    waiting: Some(0.0),
                                },
                                output: b"{\"heard\":true}".to_vec().into(),
                            }));
                        }
                        wire::FromController::Hold(h) => {
                            let ended = wire::HoldEnded::Standing;
                            out.extend(encode(&wire::Held {
                                order: h.order,
                                ended,
                                standing: 1,
                            }));
                        }
                        _ => {}
                    }
                }
                if stream.write_all(&out).await.is_err() {
                    return;
                }
                out.clear();
            }
        });
    }
}

fn call(id: usize) -> String {
    let function = id.wrapping_mul(2_654_435_761) % 24;
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"invoke\",\"params\":{{\"function\":\"voice-{function}\",\
         \"tenant\":\"hill\",\"trigger\":\"narrate\",\"input\":{{\"text\":\"{id}\"}}}}}}\n"
    )
}

#[derive(Default, Clone, Copy)]
struct Saturated {
    per_second: f64,
    cpu_us: f64,
    not_served: f64,
}

/// Clock ticks of a process, user and system, as seconds.
fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

fn resident_kb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// As many as it can answer with so many in flight.
async fn saturate(path: &Path, pid: u32) -> Saturated {
    let counts = Rc::new(RefCell::new((0usize, 0usize)));
    let mut tasks = Vec::new();
    for c in 0..CONNECTIONS {
        let (input, mut output) = UnixStream::connect(path).await.unwrap().into_split();
        let counts = counts.clone();
        tasks.push(spawn_local(async move {
            let (mut input, mut line, mut id) = (
                BufReader::with_capacity(1 << 16, input),
                Vec::new(),
                c << 32,
            );
            let mut out = String::new();
            (0..IN_FLIGHT / CONNECTIONS).for_each(|n| out += &call(id + n));
            id += IN_FLIGHT / CONNECTIONS;
            loop {
                if output.write_all(out.as_bytes()).await.is_err() {
                    return;
                }
                out.clear();
                loop {
                    line.clear();
                    if input.read_until(b'\n', &mut line).await.unwrap_or(0) == 0 {
                        return;
                    }
                    let served = line.windows(8).any(|w| w == b"\"result\"");
                    let mut counts = counts.borrow_mut();
                    *if served { &mut counts.0 } else { &mut counts.1 } += 1;
                    out += &call(id);
                    id += 1;
                    if input.buffer().is_empty() {
                        break;
                    }
                }
            }
        }));
    }
    tokio::time::sleep(WARM_UP).await;
    let (before, cpu_before, began) = (*counts.borrow(), cpu(pid), Instant::now());
    tokio::time::sleep(SPAN).await;
    let (after, cpu_after, span) = (*counts.borrow(), cpu(pid), began.elapsed().as_secs_f64());
    tasks.iter().for_each(|t| t.abort());
    let (served, not) = ((after.0 - before.0) as f64, (after.1 - before.1) as f64);
    Saturated {
        per_second: served / span,
        cpu_us: (cpu_after - cpu_before) * 1e6 / (served + not),
        not_served: not / (served + not),
    }
}

/// Latency from the intended send time at a steady rate, whatever was answered.
async fn steady(path: &Path, pid: u32, per_second: f64) -> [f64; 4] {
    let times = Rc::new(RefCell::new(Histogram::<u64>::new(3).unwrap()));
    let mut outputs = Vec::new();
    let due: Rc<RefCell<BTreeMap<usize, Instant>>> = Rc::default();
    for _ in 0..CONNECTIONS {
        let (input, output) = UnixStream::connect(path).await.unwrap().into_split();
        outputs.push(output);
        let (due, times) = (due.clone(), times.clone());
        spawn_local(async move {
            let (mut input, mut line) = (BufReader::with_capacity(1 << 16, input), String::new());
            while input.read_line(&mut line).await.unwrap_or(0) > 0 {
                let id = line[line.find("\"id\":").unwrap() + 5..]
                    .split(',')
                    .next()
                    .unwrap()
                    .parse()
                    .unwrap();
                if let Some(at) = due.borrow_mut().remove(&id) {
                    *times.borrow_mut() += (at.elapsed().as_micros() as u64).max(1);
                }
                line.clear();
            }
        });
    }
    let cpu_before = cpu(pid);
    let (began, mut at, mut rng) = (Instant::now(), 0.0f64, fastrand::Rng::with_seed(7));
    let (mut out, mut id) = (vec![String::new(); CONNECTIONS], 0);
    while at < SPAN.as_secs_f64() {
        let now = began.elapsed().as_secs_f64();
        while at <= now {
            due.borrow_mut()
                .insert(id, began + Duration::from_secs_f64(at));
            out[id % CONNECTIONS] += &call(id);
            id += 1;
            at += -rng.f64().max(1e-12).ln() / per_second;
        }
        for (output, text) in outputs.iter_mut().zip(&mut out) {
            if !text.is_empty() {
                output.write_all(text.as_bytes()).await.unwrap();
                text.clear();
            }
        }
        // Spinning on the runtime: a sleep would be a millisecond late.
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (times, cost) = (times.borrow(), (cpu(pid) - cpu_before) * 1e6 / id as f64);
    let at = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    [at(0.5), at(0.99), at(0.999), cost]
}

async fn memory(path: &Path, pid: u32, holds_back: &AtomicBool) -> f64 {
    holds_back.store(true, Relaxed);
    let before = resident_kb(pid);
    let mut stream = UnixStream::connect(path).await.unwrap();
    let mut text = String::new();
    for id in 0..WAITING {
        write!(text, "{}", call(id)).unwrap();
    }
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut asking = BufReader::new(UnixStream::connect(path).await.unwrap());
    let mut answer = String::new();
    for _ in 0..100 {
        asking
            .get_mut()
            .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n")
            .await
            .unwrap();
        answer.clear();
        asking.read_line(&mut answer).await.unwrap();
        if answer.contains(&format!("\"in_flight\":{WAITING}")) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let after = resident_kb(pid);
    holds_back.store(false, Relaxed);
    drop(stream);
    (after - before) / 1e3
}

/// Saturated, latencies and CPU at half the rate, and memory in MB.
type Figures = (Saturated, [f64; 4], f64);

type Figure = fn(&Figures) -> f64;

struct Server(Child);

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn serve(folder: &Path, list: &str, count: usize, baseline: bool) -> (Server, std::path::PathBuf) {
    let (script, socket) = (
        folder.join("terms.star"),
        folder.join(format!("c-{baseline}.sock")),
    );
    std::fs::write(&script, terms(count)).unwrap();
    let _ = std::fs::remove_file(&socket);
    let binary = std::env::current_exe()
        .unwrap()
        .parent()
        .unwrap()
        .parent()
        .unwrap()
        .join("saltdrum");
    let mut command = Command::new(binary);
    command
        .arg("serve")
        .arg(&script)
        .args(["--list", list, "--seed", "1"]);
    command
        .arg("--clients")
        .arg(format!("unix:{}", socket.display()))
        .stdout(Stdio::null());
    if baseline {
        command.arg("--baseline");
    }
    let server = Server(
        command
            .spawn()
            .expect("target/release/saltdrum: build it first"),
    );
    while !socket.exists() {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(800));
    (server, socket)
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let folder = std::env::temp_dir().join(format!("saltdrum-beside-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut cpu_by_size = Vec::new();
    // Sizes may be named: `beside-relay 12 84`.
    let named: Vec<usize> = std::env::args()
        .skip(1)
        .map(|a| a.parse().expect("a number of invokers"))
        .collect();
    let sizes = if named.is_empty() {
        vec![12, 84]
    } else {
        named
    };
    for count in sizes {
        let holds_back = Arc::new(AtomicBool::new(false));
        let (told, heard) = mpsc::channel();
        let held = holds_back.clone();
        std::thread::spawn(move || invokers(count, held, told));
        let list = heard.recv().unwrap();
        let mut all: Vec<[Figures; 2]> = Vec::new();
        for _ in 0..ROUNDS {
            let mut round: [Figures; 2] = Default::default();
            let servers = [false, true].map(|baseline| serve(&folder, &list, count, baseline));
            LocalSet::new().block_on(&runtime, async {
                for (figures, (server, socket)) in round.iter_mut().zip(&servers) {
                    figures.0 = saturate(socket, server.0.id()).await;
                }
                // Saturation fills batches that a steady stream does not: the lower of both is what both can do.
                let half = round
                    .iter()
                    .map(|f| f.0.per_second)
                    .fold(f64::INFINITY, f64::min)
                    / 2.0;
                for (figures, (server, socket)) in round.iter_mut().zip(&servers) {
                    figures.1 = steady(socket, server.0.id(), half).await;
                    figures.2 = memory(socket, server.0.id(), &holds_back).await;
                }
            });
            all.push(round);
        }
        let of = |n: usize, f: Figure| median(all.iter().map(|r| f(&r[n])).collect());
        let ratio = |f: Figure| median(all.iter().map(|r| f(&r[0]) / f(&r[1])).collect());
        println!("{count} invokers, {ROUNDS} rounds, medians      design     relay   ratio");
        let rows: [(&str, Figure); 8] = [
            ("invocations a second, one core", |x| x.0.per_second),
            ("CPU an invocation, us", |x| x.0.cpu_us),
            ("not served while saturated, %", |x| 100.0 * x.0.not_served),
            ("latency at half the lower, p50 ms", |x| x.1[0]),
            ("latency at half the lower, p99 ms", |x| x.1[1]),
            ("latency at half the lower, p99.9 ms", |x| x.1[2]),
            ("CPU an invocation there, us", |x| x.1[3]),
            ("memory of 10,000 waiting, MB", |x| x.2),
        ];
        for (name, f) in rows {
            println!(
                "{name:<34} {:>10.2} {:>9.2} {:>7.2}",
                of(0, f),
                of(1, f),
                ratio(f)
            );
        }
        cpu_by_size.push(of(0, |x| x.0.cpu_us));
    }
    if let [small, .., large] = cpu_by_size[..] {
        println!(
            "CPU an invocation, largest over smallest: {:.2}",
            large / small
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
