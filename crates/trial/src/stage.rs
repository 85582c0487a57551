//! Starts, signals and ends the processes of a trial and performs its steps.

use crate::load::Load;
use crate::record::{How, Line, now_ns};
use crate::script::{Action, HOLDER, LAST_HOLDER, OTHERS, Step, Trial};
use crate::wires::{Way, Wires};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value as Json, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Consecutive successful invocations that are required before the steps begin.
const WARM_UP_SUCCESSES: usize = 20;

/// Interval between checks of an awaited condition and between retries of an operator's call.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// A gap of the trial's own event loop above this is recorded as a stall of the machine.
const MIN_RECORDED_STALL_NS: u64 = 300_000_000;
/// Timeout of an operator's call.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// A running process.
struct RunningProcess {
    pid: u32,
    /// Whether the trial killed it.
    killed: Rc<Cell<bool>>,
}

/// The state of a running trial.
struct Stage {
    trial: Trial,
    binary: PathBuf,
    /// Contains the sockets, logs and disks of the processes.
    folder: PathBuf,
    wires: Rc<Wires>,
    /// The record so far.
    lines: Rc<RefCell<Vec<Line>>>,
    running: RefCell<BTreeMap<String, RunningProcess>>,
    /// Members that have drained in their current incarnation.
    drained: RefCell<BTreeSet<String>>,
    /// Processes that were started at least once.
    started: RefCell<BTreeSet<String>>,
    /// The voter name that each coordinator last printed.
    voters: RefCell<BTreeMap<String, String>>,
    /// Coordinators whose disk was deleted, which must not found a fleet again.
    diskless: RefCell<BTreeSet<String>>,
    /// The process that was last found to hold the first lease.
    last_holder: RefCell<Option<String>>,
    /// Set when the last step was performed or one failed; the load ends then.
    steps_done: Rc<Cell<bool>>,
}

/// Runs a trial with the given binary in an empty folder and returns the record.
pub async fn play(trial: &Trial, binary: &Path, folder: &Path) -> Result<Vec<Line>, String> {
    let stage = Rc::new(Stage {
        trial: trial.clone(),
        binary: binary.to_owned(),
        folder: folder.to_owned(),
        wires: Wires::new(folder, trial.seed),
        lines: Rc::default(),
        running: RefCell::default(),
        drained: RefCell::default(),
        started: RefCell::default(),
        voters: RefCell::default(),
        diskless: RefCell::default(),
        last_holder: RefCell::default(),
        steps_done: Rc::default(),
    });
    let local = tokio::task::LocalSet::new();
    let outcome = local.run_until(stage.clone().run()).await;
    // Processes that are still running are killed when their handles are dropped.
    drop(local);
    let lines = std::mem::take(&mut *stage.lines.borrow_mut());
    outcome.map(|()| lines)
}

impl Stage {
    /// Appends a line to the record.
    fn record(&self, line: Line) {
        self.lines.borrow_mut().push(line);
    }

    /// Returns the path of a file or socket in the trial's folder.
    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts the processes, performs the steps while the load runs, and records the histories at the end.
    async fn run(self: Rc<Self>) -> Result<(), String> {
        std::fs::write(self.path("trial.star"), &self.trial.text).map_err(|e| e.to_string())?;
        for (group, members, out) in self.trial.bounds() {
            let detect_ns = self.trial.detect_ms * 1_000_000;
            self.record(Line::Bound {
                group,
                members,
                out,
                detect_ns,
            });
        }
        let stage = self.clone();
        tokio::task::spawn_local(async move {
            let mut last_ns = now_ns();
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                let current_ns = now_ns();
                if current_ns - last_ns > MIN_RECORDED_STALL_NS {
                    stage.record(Line::Disturbed {
                        at_ns: last_ns,
                        until_ns: current_ns,
                    });
                }
                last_ns = current_ns;
            }
        });
        self.start("store")?;
        for process in self.trial.processes() {
            self.start(&process)?;
        }
        for step in [Action::AllUp].into_iter().map(|action| Step {
            action,
            processes: Vec::new(),
            place: Default::default(),
        }) {
            self.perform(&step).await?;
        }
        let load = (self.trial.per_second > 0.0)
            .then(|| tokio::task::spawn_local(self.load().run(self.steps_done.clone())));
        if load.is_some() {
            // The first instances are loaded before the steps begin, so that the cost of loading is not attributed to them.
            self.wait_until("invocations that succeed", async || {
                let lines = self.lines.borrow();
                let outcomes = lines.iter().rev().filter_map(|line| match line {
                    Line::Invoked { how, .. } => Some(*how == How::Succeeded),
                    _ => None,
                });
                let successes: Vec<bool> = outcomes.take(WARM_UP_SUCCESSES).collect();
                successes.len() == WARM_UP_SUCCESSES && successes.iter().all(|success| *success)
            })
            .await?;
            self.lines
                .borrow_mut()
                .retain(|line| !matches!(line, Line::Invoked { .. }));
        }
        for step in self.trial.steps.clone() {
            if let Err(why) = self.perform(&step).await {
                self.record(Line::Failed {
                    at_ns: now_ns(),
                    why: format!("{}: {why}", step.place),
                });
                break;
            }
        }
        self.steps_done.set(true);
        if let Some(load) = load {
            let _ = load.await;
        }
        self.record_histories().await;
        Ok(())
    }

    /// Returns the load of the trial: invocations of its first function by its first tenant.
    fn load(&self) -> Load {
        let function = self.trial.terms.functions.values().next();
        let trigger = function.map_or("", |function| {
            self.trial.terms.trigger_type_names[function.trigger].as_str()
        });
        let timeout_ms = function.map_or(8_000, |function| {
            self.trial.terms.deployment.trigger_types[function.trigger].client_timeout / 10
        });
        let call = json!({
            "function": function.map_or("", |function| function.name.as_str()),
            "tenant": self.trial.terms.tenant_names.first(),
            "trigger": trigger, "input": {"work_ms": 20},
        });
        Load {
            endpoints: (1..=self.trial.controllers)
                .map(|number| (number, self.path(&format!("controller-{number}"))))
                .collect(),
            per_second: self.trial.per_second,
            call,
            timeout_ms,
            lines: self.lines.clone(),
        }
    }

    /// Returns the address of the proxy from `from` to the socket `name` of `to`, which is opened if necessary.
    fn proxy_address(&self, from: &str, to: &str, name: &str) -> Result<String, String> {
        let path = self.path(&format!("{from}--{name}"));
        let proxy_path = if path.exists() {
            path
        } else {
            self.wires
                .open_proxy(from, to, &self.path(name))
                .map_err(|e| format!("{from} to {name}: {e}"))?
        };
        Ok(format!("unix:{}", proxy_path.display()))
    }

    /// Returns the path of a process's durable state.
    fn disk(&self, process: &str) -> PathBuf {
        self.path(&format!("disk-{process}"))
    }

    /// Returns the address of a socket without a proxy.
    fn socket_address(&self, name: &str) -> String {
        format!("unix:{}", self.path(name).display())
    }

    /// Returns the command line of a process.
    fn arguments(&self, process: &str) -> Result<Vec<String>, String> {
        let script = self.path("trial.star").display().to_string();
        let (kind, number) = process.rsplit_once('-').unwrap_or((process, ""));
        let mut args: Vec<String> = Vec::new();
        let mut add = |values: &[&str]| args.extend(values.iter().map(|value| (*value).to_owned()));
        let restarted = self.started.borrow().contains(process);
        match kind {
            "store" => add(&[
                "standin",
                "store",
                "--listen",
                &self.socket_address("store"),
            ]),
            "steward" => {
                add(&[
                    "steward",
                    &script,
                    "--number",
                    number,
                    "--listen",
                    &self.socket_address(process),
                ]);
                add(&["--list", &self.socket_address(&format!("list-{number}"))]);
                add(&["--disk", &self.disk(process).display().to_string()]);
                if !self.diskless.borrow().contains(process) {
                    add(&["--found"]);
                }
                // All coordinators found the fleet together, so the fault is injected only after a restart.
                if self.trial.steward_gives_away && restarted {
                    add(&["--gives-leases-away"]);
                }
                for number in 1..=self.trial.stewards {
                    let other = format!("steward-{number}");
                    let address = match other == process {
                        true => self.socket_address(process),
                        false => self.proxy_address(process, &other, &other)?,
                    };
                    add(&["--steward", &format!("{number}={address}")]);
                }
            }
            "invoker" => {
                add(&[
                    "standin",
                    "invoker",
                    &script,
                    "--number",
                    number,
                    "--listen",
                    &self.socket_address(process),
                ]);
                add(&["--store", &self.socket_address("store")]);
                add(&[
                    "--reached-at",
                    &self.proxy_address("controllers", process, process)?,
                ]);
                if restarted {
                    add(&["--cold"]);
                }
                for journal in self.trial.journal_names() {
                    let address = self.proxy_address(process, &journal, &journal)?;
                    add(&["--count-on", &format!("{journal}={address}")]);
                }
                if self.trial.acts_before_seals {
                    add(&["--acts-before-seals"]);
                }
            }
            "journal" => {
                add(&[
                    "standin",
                    "journal",
                    &script,
                    "--name",
                    process,
                    "--listen",
                    &self.socket_address(process),
                ]);
                add(&["--disk", &self.disk(process).display().to_string()]);
                if let Some(fault) = &self.trial.journal_fault {
                    add(&["--fault", fault]);
                }
            }
            _ => {
                add(&[
                    "serve",
                    &script,
                    "--first",
                    number,
                    "--clients",
                    &self.socket_address(process),
                ]);
                for number in 1..=self.trial.stewards {
                    let (list, steward) = (format!("list-{number}"), format!("steward-{number}"));
                    add(&["--list", &self.proxy_address(process, &steward, &list)?]);
                }
            }
        }
        if matches!(kind, "invoker" | "controller" | "journal") {
            for number in 1..=self.trial.stewards {
                let steward = format!("steward-{number}");
                let address = self.proxy_address(process, &steward, &steward)?;
                args.extend(["--steward".to_owned(), address]);
            }
        }
        Ok(args)
    }

    /// Starts a process and records the events that it reports.
    fn start(self: &Rc<Self>, process: &str) -> Result<(), String> {
        if self.running.borrow().contains_key(process) {
            return Err(format!("{process} is running"));
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(&format!("{process}.log")));
        let mut child = Command::new(&self.binary)
            .args(self.arguments(process)?)
            .env(
                "SALTDRUM_LOG",
                std::env::var("SALTDRUM_LOG").unwrap_or_else(|_| "info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.map_err(|e| e.to_string())?)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.binary.display()))?;
        self.started.borrow_mut().insert(process.to_owned());
        self.record(Line::Started {
            at_ns: now_ns(),
            process: process.to_owned(),
        });
        let killed = Rc::new(Cell::new(false));
        let running = RunningProcess {
            pid: child.id().unwrap_or(0),
            killed: killed.clone(),
        };
        self.running
            .borrow_mut()
            .insert(process.to_owned(), running);
        let (this, process) = (self.clone(), process.to_owned());
        let output = child.stdout.take();
        tokio::task::spawn_local(async move { this.watch(process, child, output, killed).await });
        Ok(())
    }

    /// Records the events that the process reports until it ends. A process that drained is started again, as a host would.
    async fn watch(
        self: Rc<Self>,
        process: String,
        mut child: Child,
        output: Option<tokio::process::ChildStdout>,
        killed: Rc<Cell<bool>>,
    ) {
        if let Some(output) = output {
            let mut lines = BufReader::new(output).lines();
            while let Ok(Some(text)) = lines.next_line().await {
                if let Some((_, voter)) = text.split_once(" votes as ") {
                    self.voters
                        .borrow_mut()
                        .insert(process.clone(), voter.to_owned());
                }
                let Ok(event) = serde_json::from_str::<Json>(&text) else {
                    continue;
                };
                let (Some(what), Some(at_ns)) = (event["what"].as_str(), event["at_ns"].as_u64())
                else {
                    continue;
                };
                if what == "effect" {
                    self.record_effect(&process, at_ns, &event);
                    continue;
                }
                if what == "drained" {
                    self.drained.borrow_mut().insert(process.clone());
                }
                self.record(Line::Told {
                    at_ns,
                    member: process.clone(),
                    incarnation: event["incarnation"].as_u64().unwrap_or(0),
                    what: what.to_owned(),
                    grant: event["grant"].as_u64().unwrap_or(0),
                });
            }
        }
        let code = child.wait().await.ok().and_then(|s| s.code());
        self.running.borrow_mut().remove(&process);
        self.record(Line::Ended {
            at_ns: now_ns(),
            process: process.clone(),
            code,
            killed: killed.get(),
        });
        if self.drained.borrow_mut().remove(&process) && code == Some(0) {
            tokio::time::sleep(Duration::from_millis(self.trial.returns_ms)).await;
            if let Err(why) = self.start(&process) {
                self.record(Line::Failed {
                    at_ns: now_ns(),
                    why,
                });
            }
        }
    }

    /// Records an effect that a resource reported.
    fn record_effect(&self, resource: &str, at_ns: u64, event: &Json) {
        self.record(Line::Effect {
            at_ns,
            resource: resource.to_owned(),
            lease: event["lease"].as_str().unwrap_or_default().to_owned(),
            epoch: event["epoch"].as_u64().unwrap_or(0),
            by: event["by"].as_str().unwrap_or_default().to_owned(),
        });
    }

    /// Returns the epochs of all effects so far.
    fn effect_epochs(&self) -> Vec<u64> {
        let lines = self.lines.borrow();
        let epoch = |line: &Line| {
            if let Line::Effect { epoch, .. } = line {
                Some(*epoch)
            } else {
                None
            }
        };
        lines.iter().filter_map(epoch).collect()
    }

    /// Resolves the process names of a step, including the placeholders for lease holders.
    async fn resolve_processes(&self, names: &[String]) -> Result<Vec<String>, String> {
        let mut resolved = Vec::new();
        for name in names {
            if name == OTHERS {
                let last_holder = self.last_holder.borrow().clone();
                let invokers = self
                    .trial
                    .processes()
                    .into_iter()
                    .filter(|p| p.starts_with("invoker"));
                resolved.extend(invokers.filter(|invoker| Some(invoker) != last_holder.as_ref()));
                continue;
            }
            resolved.push(match name.as_str() {
                HOLDER => self.find_holder().await?,
                LAST_HOLDER => self
                    .last_holder
                    .borrow()
                    .clone()
                    .ok_or("no holder was named before")?,
                process => process.to_owned(),
            });
        }
        Ok(resolved)
    }

    /// Waits until a lease has a holder and returns the holder.
    async fn find_holder(&self) -> Result<String, String> {
        let mut holder = None;
        self.wait_until("a holder", async || {
            let Some(status) = self.status().await else {
                return false;
            };
            let leases = status["fleet"]["leases"]
                .as_object()
                .cloned()
                .unwrap_or_default();
            let lease_holder = leases
                .values()
                .find_map(|lease| lease["state"]["holder"].as_str().map(str::to_owned));
            holder = lease_holder;
            holder.is_some()
        })
        .await?;
        let holder = holder.ok_or("nobody holds a lease")?;
        *self.last_holder.borrow_mut() = Some(holder.clone());
        Ok(holder)
    }

    /// Sets the maximum file size of a process; `None` removes the limit.
    fn limit_file_size(&self, process: &str, max_bytes: Option<u64>) -> Result<(), String> {
        let running = self.running.borrow();
        let running = running
            .get(process)
            .ok_or_else(|| format!("{process} is not running"))?;
        let pid = Pid::from_raw(running.pid as i32).ok_or("no process id")?;
        let limit = Rlimit {
            current: max_bytes,
            maximum: None,
        };
        prlimit(Some(pid), Resource::Fsize, limit)
            .map(drop)
            .map_err(|e| format!("{process}: {e}"))
    }

    /// Sends a signal to a process.
    fn signal(&self, process: &str, signal: Signal) -> Result<(), String> {
        let running = self.running.borrow();
        let running = running
            .get(process)
            .ok_or_else(|| format!("{process} is not running"))?;
        running
            .killed
            .set(running.killed.get() || signal == Signal::KILL);
        let pid = Pid::from_raw(running.pid as i32).ok_or("no process id")?;
        kill_process(pid, signal).map_err(|e| format!("{process}: {e}"))
    }

    /// Polls a condition until it holds or the step times out.
    async fn wait_until(
        &self,
        what: &str,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), String> {
        let deadline_ns = now_ns() + self.trial.patience_ms * 1_000_000;
        while !condition().await {
            if now_ns() > deadline_ns {
                return Err(format!(
                    "not seen within {} ms: {what}",
                    self.trial.patience_ms
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Makes an operator's call through the binary and returns its output if it succeeded.
    async fn call_operator(&self, args: &[String]) -> Result<String, String> {
        let mut command_line = vec![
            "fleet".to_owned(),
            args[0].clone(),
            "--fleet".into(),
            self.trial.fleet.name.clone(),
        ];
        // Only running coordinators are contacted, since one that is down would only delay the call.
        let running: Vec<String> = self
            .running
            .borrow()
            .keys()
            .filter(|p| p.starts_with("steward"))
            .cloned()
            .collect();
        for steward in running {
            command_line.extend(["--to".to_owned(), self.socket_address(&steward)]);
        }
        command_line.extend(args[1..].iter().cloned());
        let output = Command::new(&self.binary)
            .args(&command_line)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .output();
        match tokio::time::timeout(OPERATOR_CALL_TIMEOUT, output).await {
            Err(_) => Err("no answer in time".into()),
            Ok(Err(e)) => Err(e.to_string()),
            Ok(Ok(output)) if output.status.success() => {
                Ok(String::from_utf8_lossy(&output.stdout).into_owned())
            }
            Ok(Ok(output)) => Err(String::from_utf8_lossy(&output.stderr).trim().to_owned()),
        }
    }

    /// Requests a change and retries it until it succeeds or the step times out. All these changes are idempotent.
    async fn request_change(&self, what: &str, args: &[String]) -> Result<(), String> {
        let deadline_ns = now_ns() + self.trial.patience_ms * 1_000_000;
        loop {
            let sent_ns = now_ns();
            let result = self.call_operator(args).await;
            let at_ns = now_ns();
            let (done, answer) = match &result {
                Ok(text) => (true, text.trim().to_owned()),
                Err(why) => (false, why.clone()),
            };
            self.record(Line::Asked {
                sent_ns,
                at_ns,
                what: what.to_owned(),
                done,
                answer,
            });
            match result {
                Ok(_) => return Ok(()),
                Err(why) if now_ns() > deadline_ns => return Err(why),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Queries the status of the fleet, which is `None` if the call failed.
    async fn status(&self) -> Option<Json> {
        let status = self
            .call_operator(&["status".into(), "--json".into()])
            .await
            .ok()?;
        serde_json::from_str(&status).ok()
    }

    /// Performs one step.
    async fn perform(self: &Rc<Self>, step: &Step) -> Result<(), String> {
        let targets = &self.resolve_processes(&step.processes).await?;
        match &step.action {
            Action::Await { event, times } if event == "granted" => {
                let what = format!("{times} of {targets:?} granted");
                self.wait_until(&what, async || {
                    let Some(status) = self.status().await else {
                        return false;
                    };
                    let granted = |member: &&String| {
                        status["fleet"]["members"][member.as_str()]["phase"]["is"] == "granted"
                    };
                    targets.iter().filter(granted).count() >= *times
                })
                .await
            }
            Action::Await { event, times } => {
                let what = format!("{event} of {targets:?}, {times} times");
                self.wait_until(&what, async || {
                    let lines = self.lines.borrow();
                    let reported = lines.iter().filter(|line| {
                        matches!(line, Line::Told { member, what, .. } if targets.contains(member) && what == event)
                    });
                    reported.count() >= *times
                })
                .await
            }
            Action::AllUp => {
                let is_member =
                    |name: &String| name.starts_with("invoker") || name.starts_with("controller");
                let members: Vec<String> = self
                    .trial
                    .processes()
                    .into_iter()
                    .filter(is_member)
                    .collect();
                self.wait_until("all members up", async || {
                    let Some(status) = self.status().await else {
                        return false;
                    };
                    members
                        .iter()
                        .all(|member| status["fleet"]["members"][member]["phase"]["is"] == "up")
                })
                .await
            }
            Action::AwaitDrainRequest { id } => {
                self.wait_until(&format!("ask '{id}' over"), async || {
                    let Some(status) = self.status().await else {
                        return false;
                    };
                    let drain_request = &status["fleet"]["asks"][id];
                    let is_empty =
                        |list: &str| drain_request[list].as_array().is_some_and(Vec::is_empty);
                    is_empty("waiting") && is_empty("under_way")
                })
                .await
            }
            Action::RequestDrain { id } => {
                let mut args = vec!["drain".to_owned(), "--id".into(), id.clone()];
                args.extend(targets.iter().cloned());
                self.request_change("drain", &args).await
            }
            Action::Halt => {
                self.request_change(
                    "halt",
                    &["halt", "--why", "the trial says so"].map(str::to_owned),
                )
                .await
            }
            Action::Resume => self.request_change("resume", &["resume".to_owned()]).await,
            Action::Back => {
                let args: Vec<String> = ["back".to_owned()]
                    .into_iter()
                    .chain(targets.iter().cloned())
                    .collect();
                self.request_change("back", &args).await
            }
            Action::Kill => {
                targets
                    .iter()
                    .try_for_each(|process| self.signal(process, Signal::KILL))?;
                self.wait_until("the killed gone", async || {
                    targets
                        .iter()
                        .all(|process| !self.running.borrow().contains_key(process))
                })
                .await
            }
            Action::Stop | Action::Wake => {
                let is_stop = step.action == Action::Stop;
                for process in targets {
                    self.signal(process, if is_stop { Signal::STOP } else { Signal::CONT })?;
                    self.record(Line::Stopped {
                        at_ns: now_ns(),
                        process: process.clone(),
                        still: is_stop,
                    });
                }
                Ok(())
            }
            Action::Start => targets.iter().try_for_each(|process| self.start(process)),
            Action::CopyDisk => {
                self.for_each_disk(targets, |disk, copy| std::fs::copy(disk, copy).map(|_| ()))
            }
            Action::RestoreDisk => {
                self.for_each_disk(targets, |disk, copy| std::fs::copy(copy, disk).map(|_| ()))
            }
            Action::LoseDisk => {
                self.diskless.borrow_mut().extend(targets.iter().cloned());
                targets
                    .iter()
                    .for_each(|process| drop(self.voters.borrow_mut().remove(process)));
                self.for_each_disk(targets, |disk, _| std::fs::remove_file(disk))
            }
            Action::ReplaceVoter => {
                self.wait_until("the new disk's voter", async || {
                    targets
                        .iter()
                        .all(|process| self.voters.borrow().contains_key(process))
                })
                .await?;
                let voters = self.voters.borrow().clone();
                let voter_addresses = voters
                    .iter()
                    .map(|(process, voter)| format!("{voter}={}", self.socket_address(process)));
                let args: Vec<String> = ["stewards".to_owned()]
                    .into_iter()
                    .chain(voter_addresses)
                    .collect();
                self.request_change("stewards", &args).await?;
                self.wait_until("the new stewards alone", async || {
                    let Some(status) = self.status().await else {
                        return false;
                    };
                    status["fleet"]["config"]["now"]
                        .as_array()
                        .is_some_and(|now| {
                            status["fleet"]["config"]["next"].is_null()
                                && now.iter().any(|voter| voter["disk"].as_u64() != Some(0))
                        })
                })
                .await
            }
            Action::PauseLease { lease } => {
                let args =
                    ["lease", "pause", lease, "--why", "the trial says so"].map(str::to_owned);
                self.request_change("pause-lease", &args).await
            }
            Action::ResumeLease { lease } => {
                self.request_change(
                    "resume-lease",
                    &["lease", "resume", lease].map(str::to_owned),
                )
                .await
            }
            Action::AwaitHandover => {
                let latest_epoch = self.effect_epochs().into_iter().max().unwrap_or(0);
                self.wait_until("an effect of a later epoch", async || {
                    self.effect_epochs()
                        .iter()
                        .any(|epoch| *epoch > latest_epoch)
                })
                .await
            }
            Action::AwaitEffects { times } => {
                let effects_before = self.effect_epochs().len();
                self.wait_until("more effects", async || {
                    self.effect_epochs().len() >= effects_before + times
                })
                .await
            }
            Action::FillDisk => targets
                .iter()
                .try_for_each(|process| self.limit_file_size(process, Some(0))),
            Action::FreeDisk => targets
                .iter()
                .try_for_each(|process| self.limit_file_size(process, None)),
            Action::Cut { to, one_way } => {
                self.wires.change(
                    targets,
                    &self.resolve_processes(to).await?,
                    !one_way,
                    |way| way.cut = true,
                );
                Ok(())
            }
            Action::Heal => {
                self.wires
                    .change(&[], &[], true, |way| *way = Way::default());
                Ok(())
            }
            Action::Delay { ms, jitter_ms } => {
                self.wires.change(targets, &[], true, |way| {
                    (way.delay_ms, way.jitter_ms) = (*ms, *jitter_ms)
                });
                Ok(())
            }
            Action::Reset => {
                self.wires.reset(targets);
                Ok(())
            }
            Action::Pause { ms } => {
                tokio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(())
            }
        }
    }

    /// Applies an operation to the disk of each process and to the path of its copy.
    fn for_each_disk(
        &self,
        processes: &[String],
        operation: impl Fn(&Path, &Path) -> std::io::Result<()>,
    ) -> Result<(), String> {
        for process in processes {
            let (disk, copy) = (self.disk(process), self.path(&format!("copy-{process}")));
            operation(&disk, &copy).map_err(|e| format!("{process}'s disk: {e}"))?;
        }
        Ok(())
    }

    /// Records the history that each coordinator returns.
    async fn record_histories(&self) {
        for number in 1..=self.trial.stewards {
            let args = [
                "fleet",
                "history",
                "--json",
                "--fleet",
                &self.trial.fleet.name,
                "--to",
            ];
            let address = self.socket_address(&format!("steward-{number}"));
            let output = Command::new(&self.binary)
                .args(args)
                .arg(address)
                .kill_on_drop(true)
                .output();
            let Ok(Ok(output)) = tokio::time::timeout(Duration::from_secs(3), output).await else {
                continue;
            };
            for line in String::from_utf8_lossy(&output.stdout).lines() {
                let Ok(event) = serde_json::from_str::<Json>(line) else {
                    continue;
                };
                self.record(Line::History {
                    steward: number,
                    revision: event["revision"].as_u64().unwrap_or(0),
                    what: event["what"].as_str().unwrap_or_default().to_owned(),
                });
            }
        }
    }
}
