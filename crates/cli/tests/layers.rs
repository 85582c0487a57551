//! Packed models and agents as processes: a registry, a list and three agents, one of which is killed and restarted.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const SCRIPT: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "5s", tip_factor = 2.5, tip_window = "1s")
machine("big", memory = "20GB", cores = 16)
invokers(kind = "big", count = 3)
trigger_type("narrate", objective = "2s", client_timeout = "8s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "2GB")
"#;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_saltdrum"))
        .args(args)
        .output()
        .unwrap()
}

/// Kills its process when dropped, also when the test fails.
struct ProcessGuard(Child);

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process and waits until its socket accepts connections.
fn start(args: &[&str], socket: &Path) -> ProcessGuard {
    let _ = std::fs::remove_file(socket);
    let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
    let running = ProcessGuard(command.args(args).stdout(Stdio::null()).spawn().unwrap());
    while UnixStream::connect(socket).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    running
}

/// Sends a JSON-RPC request to an agent and returns the response.
fn call(socket: &Path, method: &str, params: Value) -> Value {
    let mut stream = UnixStream::connect(socket).unwrap();
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    stream.write_all(format!("{call}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

#[test]
fn agents_load_from_peers_and_restart_with_their_cache() {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    let text = |name: &str| at(name).display().to_string();
    let unix = |name: &str| format!("unix:{}", text(name));
    std::fs::write(at("terms.star"), SCRIPT).unwrap();
    let mut rng = fastrand::Rng::with_seed(1);
    let model: Vec<u8> = (0..6 << 20).map(|_| rng.u8(..)).collect();
    std::fs::write(at("voice.bin"), &model).unwrap();
    let output = run(&[
        "layers",
        "pack",
        &text("voice.bin"),
        "--into",
        &text("models"),
        "--tag",
        "voice:7",
    ]);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(
        run(&["layers", "verify", &text("models")]).status.code(),
        Some(0)
    );
    run(&[
        "layers",
        "unpack",
        &text("models"),
        "voice:7",
        "--to",
        &text("back.bin"),
    ]);
    assert!(std::fs::read(at("back.bin")).unwrap() == model);

    let _registry = start(
        &[
            "standin",
            "registry",
            &text("models"),
            "--listen",
            &unix("registry"),
        ],
        &at("registry"),
    );
    let lines: Vec<String> = (1..4)
        .map(|n| format!("{n}={},{}", unix("none"), unix(&format!("a{n}"))))
        .collect();
    let (terms, listen) = (text("terms.star"), unix("list"));
    let mut list_arguments = vec!["standin", "list", &terms, "--listen", &listen];
    lines
        .iter()
        .for_each(|l| list_arguments.extend(["--invoker", l.as_str()]));
    let _list = start(&list_arguments, &at("list"));
    let agent = |n: u32| {
        let (number, address, socket) = (n.to_string(), unix(&format!("a{n}")), format!("door{n}"));
        let (store, cache, control) = (unix("registry"), text(&format!("cache{n}")), unix(&socket));
        let args = [
            "layers", "agent", "--me", &number, "--listen", &address, "--store", &store, "--list",
            &listen,
        ];
        start(
            &[&args[..], &["--folder", &cache, "--door", &control]].concat(),
            &at(&socket),
        )
    };
    let mut agents: Vec<ProcessGuard> = (1..4).map(agent).collect();
    std::thread::sleep(Duration::from_millis(400));
    let load = |n: u32| {
        let response = call(
            &at(&format!("door{n}")),
            "load",
            json!({"model": "voice", "reference": "7"}),
        );
        assert_eq!(
            response["result"]["bytes"],
            json!(model.len()),
            "{response}"
        );
        response["result"]["chunks"].as_u64().unwrap()
    };
    let count = |n: u32, name: &str| {
        call(&at(&format!("door{n}")), "status", json!({}))["result"][name]
            .as_u64()
            .unwrap()
    };
    let chunks = load(1);
    load(2);
    load(3);
    let from_store: u64 = (1..4).map(|n| count(n, "from_store")).sum();
    assert!(
        from_store * 2 < 3 * chunks,
        "{from_store} chunks from the store, for {chunks} chunks and three agents"
    );

    drop(agents.remove(1));
    agents.push(agent(2));
    load(2);
    assert_eq!(
        (count(2, "from_cache"), count(2, "from_store")),
        (chunks, 0),
        "the restarted agent lost cached chunks"
    );

    let response = call(
        &at("door1"),
        "load",
        json!({"model": "none", "reference": "7"}),
    );
    assert_eq!(
        response["error"]["message"],
        json!("model none:7: the store has no such manifest")
    );
    let refused = run(&["layers", "show", &text("models"), "voice:8"]);
    assert_eq!(refused.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&refused.stderr)
            .contains("no model is tagged 'voice:8'; there are voice:7")
    );
}
