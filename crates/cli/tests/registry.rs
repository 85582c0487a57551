//! The registry as a process: publishing, moving aliases, a kill, and restoring a backup.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

/// A folder with registries and their keys.
struct Site {
    folder: tempfile::TempDir,
}

/// Kills its process when dropped, also when the test fails.
struct ProcessGuard(Child);

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Site {
    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
        command.arg("registry").current_dir(self.folder.path());
        command
    }

    fn run(&self, arguments: &str) -> Output {
        self.command()
            .args(arguments.split_whitespace())
            .output()
            .unwrap()
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

    fn start_serving(&self, folder: &str) -> ProcessGuard {
        let mut command = self.command();
        command
            .args(["serve", folder, "--listen", "unix:registry.sock"])
            .stdout(Stdio::null());
        let running = ProcessGuard(command.spawn().unwrap());
        for _ in 0..400 {
            if self.run(&format!("status {TO}")).status.success() {
                return running;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        panic!("the registry did not come up");
    }
}

/// Options that name the registry and its key.
const TO: &str = "--to unix:registry.sock --key owner.key";

/// Flips a bit in the middle of a file.
fn flip_bit(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn registry_survives_a_kill_and_restores_its_backup() {
    let site = Site {
        folder: tempfile::tempdir().unwrap(),
    };
    let mut rng = fastrand::Rng::with_seed(4);
    let random =
        |count: usize, rng: &mut fastrand::Rng| (0..count).map(|_| rng.u8(..)).collect::<Vec<u8>>();
    let first = random(900_000, &mut rng);
    let second = [&first[..600_000], &random(300_000, &mut rng)].concat();
    fs::write(site.path("first"), first).unwrap();
    fs::write(site.path("second"), second).unwrap();
    site.run_ok("init models --key owner.key");
    assert!(
        site.run_refused("init models --key other.key")
            .contains("already")
    );
    let mut running = site.start_serving("models");
    let push = |version: &str, file: &str| {
        format!(
            "push {TO} voice {version} {file} --folder models --memory-mb 900 --lanes 4 --trigger narrate"
        )
    };
    site.run_ok(&push("v1", "first"));
    site.run_ok(&format!("alias {TO} voice-current voice v1"));
    assert!(
        site.run_refused(&format!("move {TO} voice-current v2"))
            .contains("is not known")
    );
    site.run_ok(&push("v2", "second"));
    assert!(
        site.run_ok(&push("v2", "second")).contains("revision 4"),
        "publishing the same version again is not idempotent"
    );
    assert!(
        site.run_refused(&push("v2", "first"))
            .contains("a version never changes")
    );
    assert!(
        site.run_refused(&push("V3", "first"))
            .contains("lower-case")
    );
    site.run_ok(&format!("move {TO} voice-current v2"));
    // After SIGKILL, everything acknowledged is still there.
    drop(running);
    running = site.start_serving("models");
    assert!(
        site.run_ok(&format!("show {TO}"))
            .contains("voice-current -> voice@v2")
    );
    site.run_ok(&format!("backup {TO} backup.lines"));
    site.run_ok(&format!("rollback {TO} voice-current"));
    let stale = site.run_refused(&format!("move {TO} voice-current v2 --expect 5"));
    assert!(stale.contains("someone else moved it"), "{stale}");
    assert!(site.run_ok(&format!("verify {TO}")).contains("0 wrong"));
    assert!(
        site.run_refused(&format!("delete {TO} voice v2"))
            .contains("is named by alias")
    );
    site.run_ok(&format!("unalias {TO} voice-current"));
    site.run_ok(&format!("delete {TO} voice v2"));
    assert!(
        site.run_ok(&format!("gc {TO} --grace-s 0"))
            .contains("blobs gone")
    );
    assert!(
        site.run_ok(&format!("verify {TO}")).contains("0 wrong"),
        "a chunk shared with v1 was deleted"
    );
    let blobs = fs::read_dir(site.path("models/blobs/sha256"))
        .unwrap()
        .map(|e| e.unwrap().path());
    let largest = blobs
        .max_by_key(|p| fs::metadata(p).unwrap().len())
        .unwrap();
    flip_bit(&largest);
    let output = site.run(&format!("verify {TO}"));
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stdout).contains("voice@v1: chunk"));
    drop(running);
    // The backup lacks the later changes; the restored revision has to exceed theirs.
    assert!(
        site.run_refused("restore backup.lines models --over 40")
            .contains("already")
    );
    assert!(
        site.run_refused("restore backup.lines again --over 2")
            .contains("must go over revision 5")
    );
    site.run_ok("restore backup.lines again --over 40");
    let _running = site.start_serving("again");
    assert!(
        site.run_ok(&format!("show {TO}"))
            .starts_with("revision 41\n")
    );
    assert!(
        site.run_ok(&format!("history {TO} --after 5"))
            .contains("\"restored\"")
    );
}
