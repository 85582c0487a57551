//! A real process beside the hollow one: `saltdrum node` on loopback sockets, its feed from the project's stand-in, no calls.

use crate::world::{ZONES, deployment};
use saltdrum::interface::{InvokerStatus, MILLISECOND, Ticks};
use saltdrum_fakes::platform::Feed;
use saltdrum_fakes::record::{ControllerId, Record};
use saltdrum_platform_wire::feed::{EndpointRecord, Event};
use saltdrum_transport::{Clock, SocketNetwork};
use serde::Serialize;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};

/// What a process with so many lines in its list came to, at rest but for a changed line every five seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub lines: u32,
    pub seconds: u64,
    /// Of a core, by the kernel's account of the process's time on a processor.
    pub share: f64,
    /// Resident.
    pub memory_mb: f64,
    /// Processor time from its start until it had the whole list.
    pub start_ms: f64,
}

/// Ends with whoever holds it.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn read(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.0.id())).unwrap_or_default()
    }

    /// Time on a processor so far, of all threads, in ns.
    fn cpu_ns(&self) -> u64 {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.0.id()))
            .into_iter()
            .flatten()
            .flatten();
        let of = |id: String| self.read(&format!("task/{id}/schedstat"));
        let ns = |text: String| {
            text.split(' ')
                .next()
                .and_then(|n| n.parse::<u64>().ok())
                .unwrap_or(0)
        };
        threads
            .map(|t| ns(of(t.file_name().to_string_lossy().into_owned())))
            .sum()
    }

    fn memory_mb(&self) -> f64 {
        let text = self.read("status");
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .unwrap_or_default();
        line.trim()
            .trim_end_matches(" kB")
            .parse::<f64>()
            .unwrap_or(0.0)
            / 1_024.0
    }
}

fn free() -> std::io::Result<SocketAddrV4> {
    let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
    Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

fn line(invoker: u32, life: InvokerStatus) -> EndpointRecord {
    let address = SocketAddrV4::new(Ipv4Addr::from(0x7f01_0000 + (invoker & 0xffff)), 9);
    let zone = (invoker % u32::from(ZONES)) as u8;
    EndpointRecord {
        invoker,
        address,
        status: life,
        zone,
        machine_kind: 0,
        cell: 0,
        capacity: 4.0,
        started_ms: None,
    }
}

fn ms(t: Ticks) -> f64 {
    t as f64 / MILLISECOND as f64
}

/// The settings of the hollow controller, as the platform states them.
fn configuration(lines: u32, listen: SocketAddrV4, feed: SocketAddrV4) -> String {
    let d = deployment(lines);
    let zones: Vec<String> = (0..ZONES).map(|z| format!("zone-{z}")).collect();
    json!({
        "name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964", "feed": feed.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "known": {"n": 1, "events": [{"n": 1, "members": {"revision": 1, "complete": true, "members": [
            {"id": "s-00000001", "host_port": "127.0.0.1:9", "locality": zones[1], "flavor": "std", "cell": 0,
             "phase": "up", "size": 4.0, "up_since_ms": 0}]}}]},
        "settings": {
            "balancers": d.controllers, "zone": 0, "zones": zones, "kinds": ["std"], "over_share_worth": 0.1,
            "tick_ms": 1.0,
            "classes": [{"name": "look", "aim_ms": 1000.0, "give_up_ms": 3000.0, "effect": "safe",
                "key_scope": "all", "repeat_window_ms": 2000.0, "worth": 1.0, "late_share": 0.2, "stream": false}],
            "bounds": {"cancel": true, "connect_timeout_ms": 250.0, "conn_idle_ms": 15000.0,
                "max_retry_after_ms": 1000.0, "parallel_tries": false, "probing": true, "retry_after": true,
                "try_limit": 3},
            "family_info": {"kind_memory_mb": d.machine_memory_mb, "linger_idle_ms": ms(d.keep_alive),
                "load_share": d.loads_per_invocation, "load_wait_ms": 10000.0, "load_window_ms": ms(d.load_window),
                "loads_anyway": d.free_loads, "may_order": true, "not_loaded": "miss"},
            "reporting": {"fields": ["queue", "util"]},
            "rules": {"drain_grace_ms": ms(d.drain_grace), "cold_from": d.initial_capacity_share, "cold_ms": ms(d.warm_up_time),
                "overload_factor": d.overload_factor, "tip_after_ms": ms(d.overload_window), "grace_to_answer_ms": 16.0}
        }
    })
    .to_string()
}

/// Runs one process of `binary` for so long; `folder` holds its configuration.
pub fn run(binary: &Path, folder: &Path, lines: u32, seconds: u64) -> Result<Row, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    LocalSet::new()
        .block_on(&runtime, play(binary, folder, lines, seconds))
        .map_err(|e| e.to_string())
}

async fn play(binary: &Path, folder: &Path, lines: u32, seconds: u64) -> std::io::Result<Row> {
    let (listen, feed_at) = (free()?, free()?);
    let who = ControllerId {
        controller: 1,
        incarnation: 1,
    };
    let feed = Feed::new(who, Record::default(), Clock::start());
    spawn_local(feed.clone().serve(Rc::new(SocketNetwork), feed_at));
    feed.publish(
        2,
        Event::Snapshot((1..=lines).map(|w| line(w, InvokerStatus::Ready)).collect()),
    );
    let path = folder.join("config.json");
    std::fs::write(&path, configuration(lines, listen, feed_at))?;
    let mut node = Command::new(binary);
    node.arg("node")
        .env("RELAY_CONFIG", &path)
        .env_remove("RELAY_LISTEN")
        .env_remove("RELAY_NAME");
    let process = Process(node.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?);
    for _ in 0..1_000 {
        if !feed.resume_points.borrow().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let began = process.cpu_ns();
    for n in 0..seconds {
        if n % 5 == 2 {
            let life = if n % 2 == 0 {
                InvokerStatus::Gone
            } else {
                InvokerStatus::Ready
            };
            feed.publish(3 + n, Event::Changes(vec![line(2, life)]));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let share = (process.cpu_ns() - began) as f64 / (seconds as f64 * 1e9);
    Ok(Row {
        lines,
        seconds,
        share,
        memory_mb: process.memory_mb(),
        start_ms: began as f64 / 1e6,
    })
}
