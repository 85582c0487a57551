//! The registry's collection as a fleet-wide task, on processes: a steward, a registry, two controllers that offer it.

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

/// Ends with the test, however that ends.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Site {
    folder: tempfile::TempDir,
}

impl Site {
    fn new() -> Self {
        let site = Self {
            folder: tempfile::tempdir().unwrap(),
        };
        fs::write(site.folder.path().join("site.star"), SCRIPT).unwrap();
        site.does("registry init blobs --key owner.key");
        site
    }

    fn command(&self, words: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
        command
            .current_dir(self.folder.path())
            .args(words.split_whitespace());
        command
    }

    fn starts(&self, words: &str) -> Running {
        Running(
            self.command(words)
                .stdout(Stdio::null())
                .stderr(Stdio::null())
                .spawn()
                .unwrap(),
        )
    }

    fn says(&self, words: &str) -> Output {
        self.command(words).output().unwrap()
    }

    fn does(&self, words: &str) -> String {
        let out = self.says(words);
        let (told, why) = (
            String::from_utf8_lossy(&out.stdout),
            String::from_utf8_lossy(&out.stderr),
        );
        assert!(out.status.success(), "{words}: {told}{why}");
        told.into_owned()
    }

    fn refuses(&self, words: &str) -> String {
        let out = self.says(words);
        assert_eq!(
            out.status.code(),
            Some(2),
            "{words}: {}",
            String::from_utf8_lossy(&out.stdout)
        );
        String::from_utf8_lossy(&out.stderr).into_owned()
    }

    fn controller(&self, number: u32) -> Running {
        self.starts(&format!(
            "serve site.star --list unix:list --first {number} --clients unix:controller-{number} \
             --steward unix:steward --collect-registry unix:tasks --collect-every-s 1 --collect-grace-s 0"
        ))
    }

    /// A blob that no version names.
    fn blob(&self, n: u8) -> PathBuf {
        let path = self.folder.path().join(format!(
            "blobs/blobs/sha256/{}",
            format!("{n:02x}").repeat(32)
        ));
        fs::write(&path, b"nobody's").unwrap();
        path
    }

    /// The member that holds the lease.
    fn holder(&self) -> Option<String> {
        let out = self.says("fleet leases --json --fleet museums --to unix:steward");
        let told: serde_json::Value = serde_json::from_slice(&out.stdout).ok()?;
        told["leases"]["collection"]["state"]["holder"]
            .as_str()
            .map(str::to_owned)
    }
}

fn until(what: &str, mut seen: impl FnMut() -> bool) {
    for _ in 0..1_200 {
        if seen() {
            return;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    panic!("never seen: {what}");
}

#[test]
fn whoever_holds_the_lease_collects_and_nobody_else() {
    let site = Site::new();
    let _steward = site.starts(
        "steward site.star --number 1 --listen unix:steward --list unix:list --disk steward.disk \
         --steward 1=unix:steward --found",
    );
    let fleet = "--fleet museums --steward unix:steward --tasks unix:tasks";
    let _registry = site.starts(&format!(
        "registry serve blobs --listen unix:registry {fleet}"
    ));
    let _invoker = site.starts(
        "standin invoker site.star --number 1 --listen unix:invoker --steward unix:steward",
    );
    let mut controllers = [Some(site.controller(1)), Some(site.controller(2))];
    until("a holder", || site.holder().is_some());
    let first = site.blob(1);
    until("the first collection", || !first.exists());

    // The holder is killed: the other collects.
    let held = site.holder().unwrap();
    let number: usize = held.strip_prefix("controller-").unwrap().parse().unwrap();
    controllers[number - 1] = None;
    until("another holder", || {
        site.holder().is_some_and(|holder| holder != held)
    });
    let second = site.blob(2);
    until("the second collection", || !second.exists());

    // By hand: only while the lease is paused, and then nobody else.
    let to = "--to unix:registry --key owner.key";
    let by_hand = format!("registry gc {to} --grace-s 0 {fleet}");
    assert!(site.refuses(&by_hand).contains("holds the lease"));
    assert!(
        site.refuses(&format!("registry gc {to} --grace-s 0"))
            .contains("holder")
    );
    let at = "--fleet museums --to unix:steward";
    site.does(&format!(
        "fleet lease {at} pause collection --why maintenance"
    ));
    let third = site.blob(3);
    assert!(site.does(&by_hand).starts_with("1 blobs gone"));
    assert!(!third.exists());
    let fourth = site.blob(4);
    std::thread::sleep(Duration::from_millis(2_500));
    assert!(fourth.exists(), "nobody collects while it is paused");
    site.does(&format!("fleet lease {at} resume collection"));
    until("the collection after the pause", || !fourth.exists());
    assert!(
        site.does(&format!("fleet leases {at}"))
            .contains("held by controller-")
    );
}
