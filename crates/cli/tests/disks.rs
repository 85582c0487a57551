//! Durability of the processes that store data: killed at each write of their start, and on a disk that fails for a while.

mod preloaded;

use std::fs;
use std::os::unix::net::UnixStream;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const SIGKILL: i32 = 9;
/// Number of polls until a process has to be up, and the interval between two.
const POLLS_MAX: u32 = 800;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the disk fails.
const FAILURE_DURATION: Duration = Duration::from_millis(1_500);
/// Upper bound of the system calls on files during a start.
const CALLS_MAX: u64 = 400;
/// Options that name the registry and its key.
const TO: &str = "--to unix:socket --key owner.key";
const SERVE: &str = "registry serve models --listen unix:socket";
const COORDINATOR: &str =
    "steward SCRIPT --number 1 --found --steward 1=unix:socket --listen unix:socket --disk disk";
const JOURNAL: &str = "standin journal SCRIPT --name journal-1 --steward unix:steward --listen unix:socket --disk disk";

/// Kills its process when dropped, also when the test fails.
struct ProcessGuard(Child);

impl Drop for ProcessGuard {
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

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn command(&self, arguments: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
        let script = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../trial/trials/lease-drained.star"
        );
        command.args(
            arguments
                .split_whitespace()
                .map(|word| if word == "SCRIPT" { script } else { word }),
        );
        command
            .current_dir(self.folder.path())
            .env("LD_PRELOAD", &self.library);
        command.env("FAULTS_DISK_FAILS", self.path("fails"));
        command.stdout(Stdio::null()).stderr(Stdio::null());
        command
    }

    fn run(&self, arguments: &str) -> Output {
        self.command(arguments).output().unwrap()
    }

    fn start(&self, arguments: &str) -> ProcessGuard {
        let _ = fs::remove_file(self.path("socket"));
        ProcessGuard(self.command(arguments).spawn().unwrap())
    }

    /// Waits until the process listens; false if it exits before.
    fn wait_until_up(&self, process: &mut ProcessGuard) -> bool {
        for _ in 0..POLLS_MAX {
            if UnixStream::connect(self.path("socket")).is_ok() {
                return true;
            }
            if process.0.try_wait().unwrap().is_some() {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    fn set_failing(&self, is_failing: bool) {
        match is_failing {
            true => fs::write(self.path("fails"), "").unwrap(),
            false => fs::remove_file(self.path("fails")).unwrap(),
        }
    }
}

/// Starts a process that is killed halfway through its first write, then its second, and so on until it comes up, each time
/// in a new folder. Returns the calls after which a restart fails.
fn calls_whose_kill_prevents_restart(library: &Path, arguments: &str) -> Vec<u64> {
    let mut failed_calls = Vec::new();
    for call in 1..CALLS_MAX {
        let site = Site::new(library);
        let mut command = site.command(arguments);
        let mut first = ProcessGuard(
            command
                .env("FAULTS_DISK_DIES_AT", call.to_string())
                .spawn()
                .unwrap(),
        );
        if site.wait_until_up(&mut first) {
            assert!(
                call > 5,
                "only {call} calls until it was up: the library intercepts none"
            );
            return failed_calls;
        }
        assert_eq!(
            first.0.wait().unwrap().signal(),
            Some(SIGKILL),
            "at call {call}"
        );
        let mut restarted = site.start(arguments);
        if !site.wait_until_up(&mut restarted) {
            failed_calls.push(call);
        }
    }
    panic!("never came up: {arguments}");
}

/// The same for the creation of a registry: created again, it has to serve and accept its key.
fn calls_whose_kill_prevents_creation(library: &Path) -> Vec<u64> {
    let (init, mut failed_calls) = ("registry init models --key owner.key", Vec::new());
    for call in 1..CALLS_MAX {
        let site = Site::new(library);
        let status = site
            .command(init)
            .env("FAULTS_DISK_DIES_AT", call.to_string())
            .status()
            .unwrap();
        if status.success() {
            assert!(
                call > 5,
                "only {call} calls until it was created: the library intercepts none"
            );
            return failed_calls;
        }
        assert_eq!(status.signal(), Some(SIGKILL), "at call {call}");
        site.run(init);
        let mut served = site.start(SERVE);
        if !site.wait_until_up(&mut served)
            || !site.run(&format!("registry status {TO}")).status.success()
        {
            failed_calls.push(call);
        }
    }
    panic!("the registry was never created");
}

#[test]
fn process_killed_at_any_write_of_its_start_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::build_library(folder.path());
    let coordinator = calls_whose_kill_prevents_restart(&library, COORDINATOR);
    let journal = calls_whose_kill_prevents_restart(&library, JOURNAL);
    let registry = calls_whose_kill_prevents_creation(&library);
    let failed_calls = [
        ("coordinator", coordinator),
        ("journal", journal),
        ("registry", registry),
    ];
    assert!(
        failed_calls.iter().all(|(_, calls)| calls.is_empty()),
        "killed at these calls: {failed_calls:?}"
    );
}

/// Starts a process on a failing disk, which has to wait and come up once the disk recovers.
fn start_on_failing_disk(site: &Site, arguments: &str) -> ProcessGuard {
    site.set_failing(true);
    let mut process = site.start(arguments);
    std::thread::sleep(FAILURE_DURATION);
    assert!(
        process.0.try_wait().unwrap().is_none(),
        "exited on a failing disk: {arguments}"
    );
    site.set_failing(false);
    assert!(
        site.wait_until_up(&mut process),
        "did not come up: {arguments}"
    );
    process
}

#[test]
fn process_started_on_failing_disk_waits_for_its_recovery() {
    let folder = tempfile::tempdir().unwrap();
    let library = preloaded::build_library(folder.path());
    for arguments in [COORDINATOR, JOURNAL] {
        let site = Site::new(&library);
        drop(start_on_failing_disk(&site, arguments));
        drop(start_on_failing_disk(&site, arguments));
    }
}

#[test]
fn registry_keeps_acknowledged_versions_across_disk_failures() {
    let folder = tempfile::tempdir().unwrap();
    let site = Site::new(&preloaded::build_library(folder.path()));
    fs::write(site.path("model"), vec![7; 300_000]).unwrap();
    let push = |version: &str| {
        let rest = "--folder models --memory-mb 900 --lanes 4 --trigger narrate";
        site.run(&format!("registry push {TO} voice {version} model {rest}"))
            .status
            .success()
    };
    assert!(
        site.run("registry init models --key owner.key")
            .status
            .success()
    );
    let running = start_on_failing_disk(&site, SERVE);
    assert!(push("v1"));
    site.set_failing(true);
    assert!(!push("v2"), "acknowledged a version that is not on disk");
    assert!(
        site.run(&format!("registry show {TO}")).status.success(),
        "stopped serving reads"
    );
    site.set_failing(false);
    assert!(
        push("v3"),
        "does not accept versions after the disk recovered"
    );
    site.set_failing(true);
    drop(running);
    let mut running = site.start(SERVE);
    std::thread::sleep(FAILURE_DURATION);
    site.set_failing(false);
    assert!(
        site.wait_until_up(&mut running),
        "does not come up after the disk recovered"
    );
    let mut show = site.command(&format!("registry show {TO}"));
    let shown = show.stdout(Stdio::piped()).output().unwrap().stdout;
    let shown = String::from_utf8(shown).unwrap();
    assert!(
        shown.contains("voice@v1") && shown.contains("voice@v3"),
        "{shown}"
    );
    let verified = site.run(&format!("registry verify {TO}"));
    assert!(verified.status.success(), "the stored data is damaged");
}
