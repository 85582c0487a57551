//! Processes whose folder lasts: killed at any of their first writes, and on a disk that takes nothing for a while.

mod preloaded;

use std::fs;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const KILLED: i32 = 9;
/// PollTimes for something that takes a process some time, and how long it is waited between two.
const LOOKS: u32 = 800;
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// So long does a disk take nothing.
const FAILING: Duration = Duration::from_millis(1_500);
/// More calls than any start needs.
const CALLS_MOST: u64 = 400;
const TO: &str = "--to unix:socket --key owner.key";
const SERVE: &str = "registry serve models --listen unix:socket";
const STEWARD: &str =
    "steward SCRIPT --number 1 --found --steward 1=unix:socket --listen unix:socket --disk disk";
const JOURNAL: &str = "standin journal SCRIPT --name journal-1 --steward unix:steward --listen unix:socket --disk disk";

/// Ends with the test, however that ends.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A folder in which one process works.
struct Site {
    folder: tempfile::TempDir,
    library: PathBuf,
}

impl Site {
    fn new(library: &Path) -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
            library: library.to_owned(),
        }
    }

    fn at(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn command(&self, words: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
        let script = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../trial/trials/lease-drained.star"
        );
        command.args(
            words
                .split_whitespace()
                .map(|word| if word == "SCRIPT" { script } else { word }),
        );
        command
            .current_dir(self.folder.path())
            .env("LD_PRELOAD", &self.library);
        command.env("FAULTS_DISK_FAILS", self.at("fails"));
        command.stdout(Stdio::null()).stderr(Stdio::null());
        command
    }

    fn says(&self, words: &str) -> Output {
        self.command(words).output().unwrap()
    }

    fn starts(&self, words: &str) -> Running {
        let _ = fs::remove_file(self.at("socket"));
        Running(self.command(words).spawn().unwrap())
    }

    /// Whether the process comes up; it does not where it ends before.
    fn comes_up(&self, process: &mut Running) -> bool {
        for _ in 0..LOOKS {
            if UnixStream::connect(self.at("socket")).is_ok() {
                return true;
            }
            if process.0.try_wait().unwrap().is_some() {
                return false;
            }
            std::thread::sleep(LOOK_EVERY);
        }
        false
    }

    fn set_failing(&self, is_failing: bool) {
        match is_failing {
            true => fs::write(self.at("fails"), "").unwrap(),
            false => fs::remove_file(self.at("fails")).unwrap(),
        }
    }
}

/// Starts a process that is killed at its first write, by half done, at its second, and so on until it comes up, each time
/// in a new folder. Gives the calls after which it does not start again.
fn killed_at_each_call_of_a_start(library: &Path, words: &str) -> Vec<u64> {
    let mut never_again = Vec::new();
    for call in 1..CALLS_MOST {
        let site = Site::new(library);
        let mut command = site.command(words);
        let mut first = Running(
            command
                .env("FAULTS_DISK_DIES_AT", call.to_string())
                .spawn()
                .unwrap(),
        );
        if site.comes_up(&mut first) {
            assert!(
                call > 5,
                "only {call} calls until it was up: the library sees none"
            );
            return never_again;
        }
        assert_eq!(
            first.0.wait().unwrap().signal(),
            Some(KILLED),
            "at call {call}"
        );
        let mut again = site.starts(words);
        if !site.comes_up(&mut again) {
            never_again.push(call);
        }
    }
    panic!("it never comes up: {words}");
}

/// The same of a registry while it is made: made again, it serves, and the key that goes with it is there.
fn killed_at_each_call_while_a_registry_is_made(library: &Path) -> Vec<u64> {
    let (init, mut never_again) = ("registry init models --key owner.key", Vec::new());
    for call in 1..CALLS_MOST {
        let site = Site::new(library);
        let status = site
            .command(init)
            .env("FAULTS_DISK_DIES_AT", call.to_string())
            .status()
            .unwrap();
        if status.success() {
            assert!(
                call > 5,
                "only {call} calls until it was made: the library sees none"
            );
            return never_again;
        }
        assert_eq!(status.signal(), Some(KILLED), "at call {call}");
        site.says(init);
        let mut served = site.starts(SERVE);
        if !site.comes_up(&mut served)
            || !site.says(&format!("registry status {TO}")).status.success()
        {
            never_again.push(call);
        }
    }
    panic!("it is never made");
}

#[test]
fn whoever_is_killed_at_any_of_its_first_writes_starts_again() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::library(folder.path());
    let steward = killed_at_each_call_of_a_start(&library, STEWARD);
    let journal = killed_at_each_call_of_a_start(&library, JOURNAL);
    let registry = killed_at_each_call_while_a_registry_is_made(&library);
    let never_again = [
        ("steward", steward),
        ("journal", journal),
        ("registry", registry),
    ];
    assert!(
        never_again.iter().all(|(_, calls)| calls.is_empty()),
        "killed at these calls: {never_again:?}"
    );
}

/// Starts on a disk that takes nothing for a while: it comes up once the disk takes something again.
fn comes_up_once_the_disk_does(site: &Site, words: &str) -> Running {
    site.set_failing(true);
    let mut process = site.starts(words);
    std::thread::sleep(FAILING);
    assert!(
        process.0.try_wait().unwrap().is_none(),
        "it has given up: {words}"
    );
    site.set_failing(false);
    assert!(site.comes_up(&mut process), "it does not come up: {words}");
    process
}

#[test]
fn who_starts_while_the_disk_takes_nothing_waits_for_it() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::library(folder.path());
    for words in [STEWARD, JOURNAL] {
        let site = Site::new(&library);
        drop(comes_up_once_the_disk_does(&site, words));
        drop(comes_up_once_the_disk_does(&site, words));
    }
}

#[test]
fn a_registry_keeps_what_it_has_told_over_a_disk_that_fails_a_while() {
    let folder = tempfile::tempdir().unwrap();
    let site = Site::new(&preloaded::library(folder.path()));
    fs::write(site.at("model"), vec![7; 300_000]).unwrap();
    let push = |version: &str| {
        let rest = "--folder models --memory-mb 900 --lanes 4 --trigger narrate";
        site.says(&format!("registry push {TO} voice {version} model {rest}"))
            .status
            .success()
    };
    assert!(
        site.says("registry init models --key owner.key")
            .status
            .success()
    );
    let mut running = comes_up_once_the_disk_does(&site, SERVE);
    assert!(push("v1"));
    site.set_failing(true);
    assert!(!push("v2"), "nothing is told that is not on disk");
    assert!(
        site.says(&format!("registry show {TO}")).status.success(),
        "it goes on telling what it has"
    );
    site.set_failing(false);
    assert!(push("v3"), "it goes on where it was");
    site.set_failing(true);
    drop(std::mem::replace(&mut running, site.starts(SERVE)));
    std::thread::sleep(FAILING);
    site.set_failing(false);
    assert!(
        site.comes_up(&mut running),
        "killed on a disk that fails, it comes back with the disk"
    );
    let mut show = site.command(&format!("registry show {TO}"));
    let shown = show.stdout(Stdio::piped()).output().unwrap().stdout;
    let shown = String::from_utf8(shown).unwrap();
    assert!(
        shown.contains("voice@v1") && shown.contains("voice@v3"),
        "{shown}"
    );
    let verified = site.says(&format!("registry verify {TO}"));
    assert!(verified.status.success(), "what is kept is whole");
}
