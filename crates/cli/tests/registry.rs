//! The registry as processes: published, moved, killed, restored.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

struct Site {
    folder: tempfile::TempDir,
}

/// Ends with the test, however that ends.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Site {
    fn at(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
        command.arg("registry").current_dir(self.folder.path());
        command
    }

    fn say(&self, words: &str) -> Output {
        self.command()
            .args(words.split_whitespace())
            .output()
            .unwrap()
    }

    fn does(&self, words: &str) -> String {
        let out = self.say(words);
        let (told, why) = (
            String::from_utf8_lossy(&out.stdout),
            String::from_utf8_lossy(&out.stderr),
        );
        assert!(out.status.success(), "{words}: {told}{why}");
        told.into_owned()
    }

    fn refuses(&self, words: &str) -> String {
        let out = self.say(words);
        assert_eq!(
            out.status.code(),
            Some(2),
            "{words}: {}",
            String::from_utf8_lossy(&out.stdout)
        );
        String::from_utf8_lossy(&out.stderr).into_owned()
    }

    fn serve(&self, folder: &str) -> Running {
        let mut command = self.command();
        command
            .args(["serve", folder, "--listen", "unix:registry.sock"])
            .stdout(Stdio::null());
        let running = Running(command.spawn().unwrap());
        for _ in 0..400 {
            if self.say(&format!("status {TO}")).status.success() {
                return running;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        panic!("the registry does not come up");
    }
}

const TO: &str = "--to unix:registry.sock --key owner.key";

fn bend(path: &Path) {
    let mut bytes = fs::read(path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn published_moved_killed_and_restored() {
    let site = Site {
        folder: tempfile::tempdir().unwrap(),
    };
    let mut rng = fastrand::Rng::with_seed(4);
    let noise = |n: usize, rng: &mut fastrand::Rng| (0..n).map(|_| rng.u8(..)).collect::<Vec<u8>>();
    let first = noise(900_000, &mut rng);
    let second = [&first[..600_000], &noise(300_000, &mut rng)].concat();
    fs::write(site.at("first"), first).unwrap();
    fs::write(site.at("second"), second).unwrap();
    site.does("init models --key owner.key");
    assert!(
        site.refuses("init models --key other.key")
            .contains("already")
    );
    let mut running = site.serve("models");
    let push = |version: &str, file: &str| {
        format!(
            "push {TO} voice {version} {file} --folder models --memory-mb 900 --lanes 4 --trigger narrate"
        )
    };
    site.does(&push("v1", "first"));
    site.does(&format!("alias {TO} voice-current voice v1"));
    assert!(
        site.refuses(&format!("move {TO} voice-current v2"))
            .contains("is not known")
    );
    site.does(&push("v2", "second"));
    assert!(
        site.does(&push("v2", "second")).contains("revision 4"),
        "the same once more is no fault"
    );
    assert!(
        site.refuses(&push("v2", "first"))
            .contains("a version never changes")
    );
    assert!(site.refuses(&push("V3", "first")).contains("lower-case"));
    site.does(&format!("move {TO} voice-current v2"));
    // Killed outright: what was told is there.
    drop(running);
    running = site.serve("models");
    assert!(
        site.does(&format!("show {TO}"))
            .contains("voice-current -> voice@v2")
    );
    site.does(&format!("backup {TO} backup.lines"));
    site.does(&format!("rollback {TO} voice-current"));
    let stale = site.refuses(&format!("move {TO} voice-current v2 --expect 5"));
    assert!(stale.contains("someone else moved it"), "{stale}");
    assert!(site.does(&format!("verify {TO}")).contains("0 wrong"));
    assert!(
        site.refuses(&format!("delete {TO} voice v2"))
            .contains("is named by alias")
    );
    site.does(&format!("unalias {TO} voice-current"));
    site.does(&format!("delete {TO} voice v2"));
    assert!(
        site.does(&format!("gc {TO} --grace-s 0"))
            .contains("blobs gone")
    );
    assert!(
        site.does(&format!("verify {TO}")).contains("0 wrong"),
        "what v1 shares is still there"
    );
    let blobs = fs::read_dir(site.at("models/blobs/sha256"))
        .unwrap()
        .map(|e| e.unwrap().path());
    let largest = blobs
        .max_by_key(|p| fs::metadata(p).unwrap().len())
        .unwrap();
    bend(&largest);
    let out = site.say(&format!("verify {TO}"));
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&out.stdout).contains("voice@v1: chunk"));
    drop(running);
    // The backup knows nothing of what came after; it goes over it.
    assert!(
        site.refuses("restore backup.lines models --over 40")
            .contains("already")
    );
    assert!(
        site.refuses("restore backup.lines again --over 2")
            .contains("must go over revision 5")
    );
    site.does("restore backup.lines again --over 40");
    let _running = site.serve("again");
    assert!(
        site.does(&format!("show {TO}"))
            .starts_with("revision 41\n")
    );
    assert!(
        site.does(&format!("history {TO} --after 5"))
            .contains("\"restored\"")
    );
}
