//! The binary as its users run it: processes, signals, exit codes.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const TERMS: &str = r#"
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

/// A process that ends with the test.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn start(args: &[&str], socket: &Path) -> Self {
        let running = Self(saltdrum().args(args).stdout(Stdio::null()).spawn().unwrap());
        while UnixStream::connect(socket).is_err() {
            std::thread::sleep(Duration::from_millis(10));
        }
        running
    }

    /// Stops it, and returns when each of its threads stands still.
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

struct Site {
    folder: tempfile::TempDir,
    running: Vec<Running>,
}

impl Site {
    /// Everything up; the controller is the last.
    fn up() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut site = Self {
            folder,
            running: Vec::new(),
        };
        std::fs::write(site.folder.path().join("terms.star"), TERMS).unwrap();
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
            site.running.push(Running::start(&args, &socket));
        }
        std::thread::sleep(Duration::from_millis(300));
        site
    }

    fn clients(&self) -> String {
        format!("unix:{}", self.folder.path().join("clients").display())
    }
}

fn invoke(id: Value, work_ms: u32, left_ms: u32) -> String {
    let params = json!({"function": "voice", "tenant": "hill", "trigger": "narrate",
        "time_left_ms": left_ms, "input": {"work_ms": work_ms}});
    json!({"jsonrpc": "2.0", "id": id, "method": "invoke", "params": params}).to_string() + "\n"
}

#[test]
fn a_controller_that_was_stopped_sends_nothing_past_a_client_timeout() {
    let site = Site::up();
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
    let got = run(&call);
    assert!(got.status.success(), "{got:?}");
    let mut client = UnixStream::connect(site.folder.path().join("clients")).unwrap();
    for n in 0..10 {
        client
            .write_all(invoke(json!(n), 1_000, 1_600).as_bytes())
            .unwrap();
    }
    std::thread::sleep(Duration::from_millis(100));
    let controller = site.running.last().unwrap();
    controller.stop();
    for n in 10..20 {
        client
            .write_all(invoke(json!(n), 10, 1_500).as_bytes())
            .unwrap();
        client
            .write_all(invoke(json!(n + 10), 10, 7_000).as_bytes())
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
        "those still waited for, and no others"
    );
    client
        .write_all(b"{\"jsonrpc\":\"2.0\",\"id\":\"s\",\"method\":\"status\"}\n")
        .unwrap();
    let reply: Value = serde_json::from_str(&lines.next().unwrap().unwrap()).unwrap();
    assert_eq!(reply["id"], "s", "nothing else was on its way: {reply}");
    let count = |name: &str| reply["result"][name].as_u64().unwrap();
    // A slow machine may have stopped it before it read the first ten: those are stale then as well.
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
fn an_invoker_killed_in_mid_run_is_answered_for_and_the_next_call_succeeds() {
    let mut site = Site::up();
    let mut client = UnixStream::connect(site.folder.path().join("clients")).unwrap();
    for n in 0..6 {
        client
            .write_all(invoke(json!(n), 1_500, 7_000).as_bytes())
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
    assert_eq!(ids, [0, 1, 2, 3, 4, 5], "each once");
    let status = String::from_utf8(run(&["status", "--to", &site.clients()]).stdout).unwrap();
    assert!(status.contains("\"in_flight\":0"), "{status}");
}

#[test]
fn exit_codes_tell_kept_from_broken_from_bad_input() {
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
    let facts: Value = serde_json::from_slice(&played.stdout).unwrap();
    assert_eq!(facts["rules"].as_array().unwrap().len(), 5);
    let checked = run(&["check", &record, "--json"]);
    let again: Value = serde_json::from_slice(&checked.stdout).unwrap();
    assert_eq!(
        (checked.status.code(), &again["rows"]),
        (Some(0), &facts["rows"]),
        "the record says the same"
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
    for (args, say) in [
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
        let got = run(&args);
        let text = String::from_utf8_lossy(&got.stderr).into_owned();
        assert!(
            got.status.code() == Some(2) && text.contains(say),
            "{args:?}: {got:?}"
        );
    }
}
