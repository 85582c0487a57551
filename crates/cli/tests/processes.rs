//! The binary as its users run it: processes, signals and exit codes.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const SCRIPT: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "5s", tip_factor = 2.5, tip_window = "1s")
machine("big", memory = "20GB", cores = 16)
invokers(kind = "big", count = 2)
trigger_type("narrate", objective = "2s", client_timeout = "8s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "2GB", lanes = 16, load_time = "100ms")
"#;

fn saltdrum() -> Command {
    Command::new(env!("CARGO_BIN_EXE_saltdrum"))
}

fn run(args: &[&str]) -> Output {
    saltdrum().args(args).output().unwrap()
}

/// Kills its process when dropped, also when the test fails.
struct ProcessGuard(Child);

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl ProcessGuard {
    /// Starts a process and waits until its socket accepts connections.
    fn start(args: &[&str], socket: &Path) -> Self {
        let running = Self(saltdrum().args(args).stdout(Stdio::null()).spawn().unwrap());
        while UnixStream::connect(socket).is_err() {
            std::thread::sleep(Duration::from_millis(10));
        }
        running
    }

    /// Sends SIGSTOP, and waits until all threads are stopped.
    fn stop(&self) {
        self.signal(Signal::STOP);
        let stopped = |task: std::io::Result<std::fs::DirEntry>| {
            let stat = std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
            stat.rsplit(')')
                .next()
                .unwrap()
                .trim_start()
                .starts_with('T')
        };
        while !std::fs::read_dir(format!("/proc/{}/task", self.0.id()))
            .unwrap()
            .all(stopped)
        {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.0.id() as i32).unwrap(), signal).unwrap();
    }
}

/// A store, two invokers, a list and a controller.
struct Site {
    folder: tempfile::TempDir,
    running: Vec<ProcessGuard>,
}

impl Site {
    /// Starts all processes; the controller is the last of `running`.
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut site = Self {
            folder,
            running: Vec::new(),
        };
        std::fs::write(site.folder.path().join("terms.star"), SCRIPT).unwrap();
        let at = |name: &str| format!("unix:{}", site.folder.path().join(name).display());
        let terms = site.folder.path().join("terms.star").display().to_string();
        let (store, list, first, second, clients) =
            (at("store"), at("list"), at("i1"), at("i2"), at("clients"));
        let (one, two) = (format!("1={first}"), format!("2={second}"));
        let all: [(&str, Vec<&str>); 5] = [
            ("store", vec!["standin", "store", "--listen", &store]),
            (
                "i1",
                vec![
                    "standin", "invoker", &terms, "--number", "1", "--listen", &first, "--store",
                    &store,
                ],
            ),
            (
                "i2",
                vec![
                    "standin", "invoker", &terms, "--number", "2", "--listen", &second, "--store",
                    &store,
                ],
            ),
            (
                "list",
                vec![
                    "standin",
                    "list",
                    &terms,
                    "--listen",
                    &list,
                    "--invoker",
                    &one,
                    "--invoker",
                    &two,
                ],
            ),
            (
                "clients",
                vec![
                    "serve",
                    &terms,
                    "--list",
                    &list,
                    "--clients",
                    &clients,
                    "--seed",
                    "3",
                ],
            ),
        ];
        for (name, args) in all {
            let socket = site.folder.path().join(name);
            site.running.push(ProcessGuard::start(&args, &socket));
        }
        std::thread::sleep(Duration::from_millis(300));
        site
    }

    fn clients(&self) -> String {
        format!("unix:{}", self.folder.path().join("clients").display())
    }
}

/// A JSON-RPC request line.
fn request_line(id: Value, work_ms: u32, time_left_ms: u32) -> String {
    let params = json!({"function": "voice", "tenant": "hill", "trigger": "narrate",
        "time_left_ms": time_left_ms, "input": {"work_ms": work_ms}});
    json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params}).to_string() + "\n"
}

#[test]
fn controller_resumed_from_a_stop_answers_only_within_client_timeouts() {
    let site = Site::start();
    let clients = site.clients();
    let call = [
        "call",
        "--to",
        &clients,
        "--function",
        "voice",
        "--tenant",
        "hill",
        "--trigger",
        "narrate",
    ];
    let output = run(&call);
    assert!(output.status.success(), "{output:?}");
    let mut client = UnixStream::connect(site.folder.path().join("clients")).unwrap();
    for id in 0..10 {
        client
            .write_all(request_line(json!(id), 1_000, 1_600).as_bytes())
            .unwrap();
    }
    std::thread::sleep(Duration::from_millis(100));
    let controller = site.running.last().unwrap();
    controller.stop();
    for id in 10..20 {
        client
            .write_all(request_line(json!(id), 10, 1_500).as_bytes())
            .unwrap();
        client
            .write_all(request_line(json!(id + 10), 10, 7_000).as_bytes())
            .unwrap();
    }
    std::thread::sleep(Duration::from_secs(2));
    controller.signal(Signal::CONT);
    let mut answered = Vec::new();
    let mut lines = BufReader::new(client.try_clone().unwrap()).lines();
    while answered.len() < 10 {
        let reply: Value = serde_json::from_str(&lines.next().unwrap().unwrap()).unwrap();
        assert!(reply["result"].is_object(), "{reply}");
        answered.push(reply["id"].as_u64().unwrap());
    }
    answered.sort_unstable();
    assert_eq!(
        answered,
        (20..30).collect::<Vec<u64>>(),
        "answers differ from the requests still within their timeout"
    );
    client
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":\"s\",\"method\":\"status\"}\n")
        .unwrap();
    let reply: Value = serde_json::from_str(&lines.next().unwrap().unwrap()).unwrap();
    assert_eq!(
        reply["id"], "s",
        "an unexpected line precedes the status: {reply}"
    );
    let count = |name: &str| reply["result"][name].as_u64().unwrap();
    // On a slow machine the process may be stopped before it has read the first ten, which are then stale too.
    assert_eq!(
        (
            count("taken") + count("stale"),
            count("stale") + count("too_late")
        ),
        (31, 20),
        "{reply}"
    );
    assert!(count("stale") >= 10, "{reply}");
}

#[test]
fn requests_on_a_killed_invoker_are_each_answered_once() {
    let mut site = Site::start();
    let mut client = UnixStream::connect(site.folder.path().join("clients")).unwrap();
    for id in 0..6 {
        client
            .write_all(request_line(json!(id), 1_500, 7_000).as_bytes())
            .unwrap();
    }
    std::thread::sleep(Duration::from_millis(700));
    drop(site.running.remove(1));
    let mut lines = BufReader::new(client).lines();
    let mut ids: Vec<u64> = (0..6)
        .map(|_| serde_json::from_str::<Value>(&lines.next().unwrap().unwrap()).unwrap())
        .map(|reply| reply["id"].as_u64().unwrap())
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, [0, 1, 2, 3, 4, 5], "not answered exactly once each");
    let status = String::from_utf8(run(&["status", "--to", &site.clients()]).stdout).unwrap();
    assert!(status.contains("\"in_flight\":0"), "{status}");
}

#[test]
fn exit_codes_distinguish_kept_broken_and_invalid_input() {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name).display().to_string();
    let record = at("record.jsonl");
    let played = run(&[
        "play",
        "misses-burn-tries",
        "--virtual",
        "--json",
        "--record",
        &record,
    ]);
    assert_eq!(played.status.code(), Some(0), "{played:?}");
    let played_results: Value = serde_json::from_slice(&played.stdout).unwrap();
    assert_eq!(played_results["rules"].as_array().unwrap().len(), 5);
    let checked = run(&["check", &record, "--json"]);
    let results: Value = serde_json::from_slice(&checked.stdout).unwrap();
    assert_eq!(
        (checked.status.code(), &results["rows"]),
        (Some(0), &played_results["rows"]),
        "checking the record differs from playing the day"
    );
    let lines = std::fs::read_to_string(&record).unwrap();
    let answer = lines.lines().find(|l| l.contains("\"final\"")).unwrap();
    std::fs::write(at("twice.jsonl"), format!("{lines}{answer}\n")).unwrap();
    let broken = run(&["check", &at("twice.jsonl")]);
    assert_eq!(broken.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&broken.stdout)
            .contains("rule 1 (one final answer in time): BROKEN")
    );
    std::fs::write(at("torn.jsonl"), &lines[..lines.len() - 9]).unwrap();
    std::fs::write(at("day.star"), "day(\"x\", length = 5)\n").unwrap();
    for (args, expected) in [
        (vec!["check", &at("torn.jsonl")], "line "),
        (vec!["check", &at("none")], "No such file"),
        (
            vec!["play", &at("day.star")],
            "day.star:1: no deployment(...) is stated",
        ),
        (
            vec!["play", "sunny"],
            "'sunny': a script.star or one of bad-day",
        ),
        (
            vec![
                "call",
                "--to",
                "udp:1",
                "--function",
                "f",
                "--tenant",
                "t",
                "--trigger",
                "g",
            ],
            "tcp:HOST:PORT",
        ),
        (vec!["status", "--to", "unix:/nowhere"], "unix:/nowhere"),
    ] {
        let output = run(&args);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(2) && text.contains(expected),
            "{args:?}: {output:?}"
        );
    }
}
