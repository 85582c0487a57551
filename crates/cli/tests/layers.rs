//! Packed models and agents as processes: one registry, one list, three agents, one of which is killed and comes back.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const TERMS: &str = r#"
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

/// A process that ends with the test, by a kill that it can't see coming.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(args: &[&str], socket: &Path) -> Running {
    let _ = std::fs::remove_file(socket);
    let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
    let running = Running(command.args(args).stdout(Stdio::null()).spawn().unwrap());
    while UnixStream::connect(socket).is_err() {
        std::thread::sleep(Duration::from_millis(10));
    }
    running
}

fn ask(door: &Path, method: &str, params: Value) -> Value {
    let mut stream = UnixStream::connect(door).unwrap();
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
    stream.write_all(format!("{call}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

#[test]
fn packed_served_loaded_killed_and_back() {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    let text = |name: &str| at(name).display().to_string();
    let unix = |name: &str| format!("unix:{}", text(name));
    std::fs::write(at("terms.star"), TERMS).unwrap();
    let mut rng = fastrand::Rng::with_seed(1);
    let model: Vec<u8> = (0..6 << 20).map(|_| rng.u8(..)).collect();
    std::fs::write(at("voice.bin"), &model).unwrap();
    let packed = run(&[
        "layers",
        "pack",
        &text("voice.bin"),
        "--into",
        &text("models"),
        "--tag",
        "voice:7",
    ]);
    assert!(packed.status.success(), "{packed:?}");
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
    let mut list = vec!["standin", "list", &terms, "--listen", &listen];
    lines
        .iter()
        .for_each(|l| list.extend(["--invoker", l.as_str()]));
    let _list = start(&list, &at("list"));
    let agent = |n: u32| {
        let (me, a, door) = (n.to_string(), unix(&format!("a{n}")), format!("door{n}"));
        let (store, cache, order) = (unix("registry"), text(&format!("cache{n}")), unix(&door));
        let args = [
            "layers", "agent", "--me", &me, "--listen", &a, "--store", &store, "--list", &listen,
        ];
        start(
            &[&args[..], &["--folder", &cache, "--door", &order]].concat(),
            &at(&door),
        )
    };
    let mut agents: Vec<Running> = (1..4).map(agent).collect();
    std::thread::sleep(Duration::from_millis(400));
    let load = |n: u32| {
        let told = ask(
            &at(&format!("door{n}")),
            "load",
            json!({"model": "voice", "reference": "7"}),
        );
        assert_eq!(told["result"]["bytes"], json!(model.len()), "{told}");
        told["result"]["chunks"].as_u64().unwrap()
    };
    let count = |n: u32, name: &str| {
        ask(&at(&format!("door{n}")), "status", json!({}))["result"][name]
            .as_u64()
            .unwrap()
    };
    let chunks = load(1);
    load(2);
    load(3);
    let from_store: u64 = (1..4).map(|n| count(n, "from_store")).sum();
    assert!(
        from_store * 2 < 3 * chunks,
        "{from_store} from the store for {chunks} chunks and three agents"
    );

    drop(agents.remove(1));
    agents.push(agent(2));
    load(2);
    assert_eq!(
        (count(2, "from_cache"), count(2, "from_store")),
        (chunks, 0),
        "what it had is there"
    );

    let told = ask(
        &at("door1"),
        "load",
        json!({"model": "none", "reference": "7"}),
    );
    assert_eq!(
        told["error"]["message"],
        json!("model none:7: the store has no such manifest")
    );
    let bad = run(&["layers", "show", &text("models"), "voice:8"]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        String::from_utf8_lossy(&bad.stderr)
            .contains("no model is tagged 'voice:8'; there are voice:7")
    );
}
