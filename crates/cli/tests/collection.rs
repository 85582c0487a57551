//! Garbage collection of the registry as a fleet-wide task, on processes: a coordinator, a registry and two controllers
//! that offer the task.

use std::fs;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const SCRIPT: &str = r#"
deployment(controllers = 2, keep_alive = "9s", cold_share = 0.3, cold_time = "300ms", tip_factor = 2.5, tip_window = "1s",
    zones = ["kigali"])
machine("big", memory = "20GB", cores = 16)
invokers(kind = "big", count = 1, zone = "kigali")
trigger_type("narrate", objective = "2s", client_timeout = "4s")
tenant("hill-museum", quota_per_s = 900)
function("voice", trigger = "narrate", memory = "2GB", lanes = 16, load_time = "50ms")
fleet("museums", renew = "100ms")
lease("collection", task = "registry-collection", eligible = "controller", resources = ["registry"])
"#;

/// Kills its process when dropped, also when the test fails.
struct ProcessGuard(Child);

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder with the script and the registry of one fleet.
struct Site {
    folder: tempfile::TempDir,
}

impl Site {
    fn new() -> Self {
        let site = Self {
            folder: tempfile::tempdir().unwrap(),
        };
        fs::write(site.folder.path().join("site.star"), SCRIPT).unwrap();
        site.run_ok("registry init blobs --key owner.key");
        site
    }

    fn command(&self, arguments: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
        command
            .current_dir(self.folder.path())
            .args(arguments.split_whitespace());
        command
    }

    fn start(&self, arguments: &str) -> ProcessGuard {
        ProcessGuard(
            self.command(arguments)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .unwrap(),
        )
    }

    fn run(&self, arguments: &str) -> Output {
        self.command(arguments).output().unwrap()
    }

    fn run_ok(&self, arguments: &str) -> String {
        let output = self.run(arguments);
        let (stdout, stderr) = (
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr),
        );
        assert!(output.status.success(), "{arguments}: {stdout}{stderr}");
        stdout.into_owned()
    }

    fn run_refused(&self, arguments: &str) -> String {
        let output = self.run(arguments);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments}: {}",
            String::from_utf8_lossy(&output.stdout)
        );
        String::from_utf8_lossy(&output.stderr).into_owned()
    }

    fn start_controller(&self, number: u32) -> ProcessGuard {
        self.start(&format!(
            "serve site.star --list unix:list --first {number} --clients unix:controller-{number} \
             --steward unix:steward --collect-registry unix:tasks --collect-every-s 1 --collect-grace-s 0"
        ))
    }

    /// Writes a blob that no version references.
    fn write_blob(&self, byte: u8) -> PathBuf {
        let path = self.folder.path().join(format!(
            "blobs/blobs/sha256/{}",
            format!("{byte:02x}").repeat(32)
        ));
        fs::write(&path, b"nobody's").unwrap();
        path
    }

    /// The member that holds the lease, if any.
    fn holder(&self) -> Option<String> {
        let output = self.run("fleet leases --json --fleet museums --to unix:steward");
        let status: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
        status["leases"]["collection"]["state"]["holder"]
            .as_str()
            .map(str::to_owned)
    }
}

/// Polls until a condition holds.
fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..1_200 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    panic!("timed out waiting for {what}");
}

#[test]
fn only_lease_holder_collects_blobs() {
    let site = Site::new();
    let _coordinator = site.start(
        "steward site.star --number 1 --listen unix:steward --list unix:list --disk steward.disk \
         --steward 1=unix:steward --found",
    );
    let fleet = "--fleet museums --steward unix:steward --tasks unix:tasks";
    let _registry = site.start(&format!(
        "registry serve blobs --listen unix:registry {fleet}"
    ));
    let _invoker = site
        .start("standin invoker site.star --number 1 --listen unix:invoker --steward unix:steward");
    let mut controllers = [
        Some(site.start_controller(1)),
        Some(site.start_controller(2)),
    ];
    wait_until("a holder", || site.holder().is_some());
    let first = site.write_blob(1);
    wait_until("the first collection", || !first.exists());

    // After the holder is killed, the other controller collects.
    let held = site.holder().unwrap();
    let number: usize = held.strip_prefix("controller-").unwrap().parse().unwrap();
    controllers[number - 1] = None;
    wait_until("another holder", || {
        site.holder().is_some_and(|holder| holder != held)
    });
    let second = site.write_blob(2);
    wait_until("the second collection", || !second.exists());

    // An operator may collect only while the lease is paused, and then no controller does.
    let to = "--to unix:registry --key owner.key";
    let by_hand = format!("registry gc {to} --grace-s 0 {fleet}");
    assert!(site.run_refused(&by_hand).contains("holds the lease"));
    assert!(
        site.run_refused(&format!("registry gc {to} --grace-s 0"))
            .contains("holder")
    );
    let at = "--fleet museums --to unix:steward";
    site.run_ok(&format!(
        "fleet lease {at} pause collection --why maintenance"
    ));
    let third = site.write_blob(3);
    assert!(site.run_ok(&by_hand).starts_with("1 blobs gone"));
    assert!(!third.exists());
    let fourth = site.write_blob(4);
    std::thread::sleep(Duration::from_millis(2_500));
    assert!(fourth.exists(), "collected while the lease is paused");
    site.run_ok(&format!("fleet lease {at} resume collection"));
    wait_until("the collection after the pause", || !fourth.exists());
    assert!(
        site.run_ok(&format!("fleet leases {at}"))
            .contains("held by controller-")
    );
}
