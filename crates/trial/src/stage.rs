//! Starts, signals and ends the processes, and plays the steps.

use crate::load::Load;
use crate::record::{How, Line, now_ns};
use crate::script::{Do, HOLDER, LAST_HOLDER, OTHERS, Step, Trial};
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

/// Invocations that succeed one after another before the steps begin.
const WARM: usize = 20;

const LOOK: Duration = Duration::from_millis(30);
/// The trial itself took no turn for so long: the machine stood still.
const STOOD_NS: u64 = 300_000_000;
/// Of an operator's call.
const CALL: Duration = Duration::from_secs(25);

struct Running {
    pid: u32,
    killed: Rc<Cell<bool>>,
}

struct Stage {
    trial: Trial,
    binary: PathBuf,
    folder: PathBuf,
    wires: Rc<Wires>,
    lines: Rc<RefCell<Vec<Line>>>,
    running: RefCell<BTreeMap<String, Running>>,
    /// Members that have drained in this life.
    drained: RefCell<BTreeSet<String>>,
    started: RefCell<BTreeSet<String>>,
    /// Stewards as they last said that they vote.
    voters: RefCell<BTreeMap<String, String>>,
    /// Stewards whose disk was taken away: they found no fleet any more.
    diskless: RefCell<BTreeSet<String>>,
    /// Who was named last as the holder of the first lease.
    last_holder: RefCell<Option<String>>,
    over: Rc<Cell<bool>>,
}

/// Plays a trial with the binary given, in an empty folder; gives the record.
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
        over: Rc::default(),
    });
    let local = tokio::task::LocalSet::new();
    let played = local.run_until(stage.clone().played()).await;
    // Whatever is still running is killed when its handle goes.
    drop(local);
    let lines = std::mem::take(&mut *stage.lines.borrow_mut());
    played.map(|()| lines)
}

impl Stage {
    fn note(&self, line: Line) {
        self.lines.borrow_mut().push(line);
    }

    fn at(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    async fn played(self: Rc<Self>) -> Result<(), String> {
        std::fs::write(self.at("trial.star"), &self.trial.text).map_err(|e| e.to_string())?;
        for (group, members, out) in self.trial.bounds() {
            let detect_ns = self.trial.detect_ms * 1_000_000;
            self.note(Line::Bound {
                group,
                members,
                out,
                detect_ns,
            });
        }
        let watched = self.clone();
        tokio::task::spawn_local(async move {
            let mut last = now_ns();
            loop {
                tokio::time::sleep(Duration::from_millis(10)).await;
                let now = now_ns();
                if now - last > STOOD_NS {
                    watched.note(Line::Disturbed {
                        at_ns: last,
                        until_ns: now,
                    });
                }
                last = now;
            }
        });
        self.start("store")?;
        for process in self.trial.processes() {
            self.start(&process)?;
        }
        for step in [Do::AllUp].into_iter().map(|what| Step {
            what,
            of: Vec::new(),
            place: Default::default(),
        }) {
            self.one(&step).await?;
        }
        let load = (self.trial.per_second > 0.0)
            .then(|| tokio::task::spawn_local(self.load().run(self.over.clone())));
        if load.is_some() {
            // The first copies are loaded before anything is done to the fleet: what that costs is not the steps' doing.
            self.until("invocations that succeed", async || {
                let lines = self.lines.borrow();
                let how = lines.iter().rev().filter_map(|l| match l {
                    Line::Invoked { how, .. } => Some(*how == How::Succeeded),
                    _ => None,
                });
                let last: Vec<bool> = how.take(WARM).collect();
                last.len() == WARM && last.iter().all(|well| *well)
            })
            .await?;
            self.lines
                .borrow_mut()
                .retain(|l| !matches!(l, Line::Invoked { .. }));
        }
        for step in self.trial.steps.clone() {
            if let Err(why) = self.one(&step).await {
                self.note(Line::Failed {
                    at_ns: now_ns(),
                    why: format!("{}: {why}", step.place),
                });
                break;
            }
        }
        self.over.set(true);
        if let Some(load) = load {
            let _ = load.await;
        }
        self.histories().await;
        Ok(())
    }

    fn load(&self) -> Load {
        let function = self.trial.terms.functions.values().next();
        let trigger = function.map_or("", |f| {
            self.trial.terms.trigger_type_names[f.trigger].as_str()
        });
        let timeout_ms = function.map_or(8_000, |f| {
            self.trial.terms.deployment.trigger_types[f.trigger].client_timeout / 10
        });
        let call = json!({
            "function": function.map_or("", |f| f.name.as_str()),
            "tenant": self.trial.terms.tenant_names.first(),
            "trigger": trigger, "input": {"work_ms": 20},
        });
        Load {
            doors: (1..=self.trial.controllers)
                .map(|n| (n, self.at(&format!("controller-{n}"))))
                .collect(),
            per_second: self.trial.per_second,
            call,
            timeout_ms,
            lines: self.lines.clone(),
        }
    }

    /// Where `from` dials what listens at `name`, which is `to`'s.
    fn through(&self, from: &str, to: &str, name: &str) -> Result<String, String> {
        let laid = self.at(&format!("{from}--{name}"));
        let at = if laid.exists() {
            laid
        } else {
            self.wires
                .lay(from, to, &self.at(name))
                .map_err(|e| format!("{from} to {name}: {e}"))?
        };
        Ok(format!("unix:{}", at.display()))
    }

    /// Where a process keeps what it has to remember.
    fn disk(&self, process: &str) -> PathBuf {
        self.at(&format!("disk-{process}"))
    }

    fn unix(&self, name: &str) -> String {
        format!("unix:{}", self.at(name).display())
    }

    fn arguments(&self, process: &str) -> Result<Vec<String>, String> {
        let script = self.at("trial.star").display().to_string();
        let (kind, number) = process.rsplit_once('-').unwrap_or((process, ""));
        let mut args: Vec<String> = Vec::new();
        let mut say = |all: &[&str]| args.extend(all.iter().map(|a| (*a).to_owned()));
        let again = self.started.borrow().contains(process);
        match kind {
            "store" => say(&["standin", "store", "--listen", &self.unix("store")]),
            "steward" => {
                say(&[
                    "steward",
                    &script,
                    "--number",
                    number,
                    "--listen",
                    &self.unix(process),
                ]);
                say(&["--list", &self.unix(&format!("list-{number}"))]);
                say(&["--disk", &self.disk(process).display().to_string()]);
                if !self.diskless.borrow().contains(process) {
                    say(&["--found"]);
                }
                // A fleet is founded by all its stewards: this one is honest in its first life.
                if self.trial.steward_gives_away && again {
                    say(&["--gives-leases-away"]);
                }
                for n in 1..=self.trial.stewards {
                    let other = format!("steward-{n}");
                    let at = match other == process {
                        true => self.unix(process),
                        false => self.through(process, &other, &other)?,
                    };
                    say(&["--steward", &format!("{n}={at}")]);
                }
            }
            "invoker" => {
                say(&[
                    "standin",
                    "invoker",
                    &script,
                    "--number",
                    number,
                    "--listen",
                    &self.unix(process),
                ]);
                say(&["--store", &self.unix("store")]);
                say(&[
                    "--reached-at",
                    &self.through("controllers", process, process)?,
                ]);
                if again {
                    say(&["--cold"]);
                }
                for journal in self.trial.journal_names() {
                    let at = self.through(process, &journal, &journal)?;
                    say(&["--count-on", &format!("{journal}={at}")]);
                }
                if self.trial.acts_before_seals {
                    say(&["--acts-before-seals"]);
                }
            }
            "journal" => {
                say(&[
                    "standin",
                    "journal",
                    &script,
                    "--name",
                    process,
                    "--listen",
                    &self.unix(process),
                ]);
                say(&["--disk", &self.disk(process).display().to_string()]);
                if let Some(fault) = &self.trial.journal_fault {
                    say(&["--fault", fault]);
                }
            }
            _ => {
                say(&[
                    "serve",
                    &script,
                    "--first",
                    number,
                    "--clients",
                    &self.unix(process),
                ]);
                for n in 1..=self.trial.stewards {
                    let (list, steward) = (format!("list-{n}"), format!("steward-{n}"));
                    say(&["--list", &self.through(process, &steward, &list)?]);
                }
            }
        }
        if matches!(kind, "invoker" | "controller" | "journal") {
            for n in 1..=self.trial.stewards {
                let steward = format!("steward-{n}");
                let at = self.through(process, &steward, &steward)?;
                args.extend(["--steward".to_owned(), at]);
            }
        }
        Ok(args)
    }

    fn start(self: &Rc<Self>, process: &str) -> Result<(), String> {
        if self.running.borrow().contains_key(process) {
            return Err(format!("{process} is running"));
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.at(&format!("{process}.log")));
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
        self.note(Line::Started {
            at_ns: now_ns(),
            process: process.to_owned(),
        });
        let killed = Rc::new(Cell::new(false));
        let running = Running {
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

    /// Reads what the process tells until it ends; one that drained is started again, as its host would.
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
                let Ok(said) = serde_json::from_str::<Json>(&text) else {
                    continue;
                };
                let (Some(what), Some(at_ns)) = (said["what"].as_str(), said["at_ns"].as_u64())
                else {
                    continue;
                };
                if what == "effect" {
                    self.note_effect(&process, at_ns, &said);
                    continue;
                }
                if what == "drained" {
                    self.drained.borrow_mut().insert(process.clone());
                }
                self.note(Line::Told {
                    at_ns,
                    member: process.clone(),
                    incarnation: said["incarnation"].as_u64().unwrap_or(0),
                    what: what.to_owned(),
                    grant: said["grant"].as_u64().unwrap_or(0),
                });
            }
        }
        let code = child.wait().await.ok().and_then(|s| s.code());
        self.running.borrow_mut().remove(&process);
        self.note(Line::Ended {
            at_ns: now_ns(),
            process: process.clone(),
            code,
            killed: killed.get(),
        });
        if self.drained.borrow_mut().remove(&process) && code == Some(0) {
            tokio::time::sleep(Duration::from_millis(self.trial.returns_ms)).await;
            if let Err(why) = self.start(&process) {
                self.note(Line::Failed {
                    at_ns: now_ns(),
                    why,
                });
            }
        }
    }

    fn note_effect(&self, resource: &str, at_ns: u64, said: &Json) {
        self.note(Line::Effect {
            at_ns,
            resource: resource.to_owned(),
            lease: said["lease"].as_str().unwrap_or_default().to_owned(),
            epoch: said["epoch"].as_u64().unwrap_or(0),
            by: said["by"].as_str().unwrap_or_default().to_owned(),
        });
    }

    /// Epochs of the effects so far.
    fn effects(&self) -> Vec<u64> {
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

    /// The processes that a step names, with whoever holds the first lease in the holder's place.
    async fn named(&self, of: &[String]) -> Result<Vec<String>, String> {
        let mut all = Vec::new();
        for name in of {
            if name == OTHERS {
                let last = self.last_holder.borrow().clone();
                let invokers = self
                    .trial
                    .processes()
                    .into_iter()
                    .filter(|p| p.starts_with("invoker"));
                all.extend(invokers.filter(|p| Some(p) != last.as_ref()));
                continue;
            }
            all.push(match name.as_str() {
                HOLDER => self.holder().await?,
                LAST_HOLDER => self
                    .last_holder
                    .borrow()
                    .clone()
                    .ok_or("no holder was named before")?,
                process => process.to_owned(),
            });
        }
        Ok(all)
    }

    async fn holder(&self) -> Result<String, String> {
        let mut found = None;
        self.until("a holder", async || {
            let Some(status) = self.status().await else {
                return false;
            };
            let leases = status["fleet"]["leases"]
                .as_object()
                .cloned()
                .unwrap_or_default();
            let holder = leases
                .values()
                .find_map(|lease| lease["state"]["holder"].as_str().map(str::to_owned));
            found = holder;
            found.is_some()
        })
        .await?;
        let found = found.ok_or("nobody holds a lease")?;
        *self.last_holder.borrow_mut() = Some(found.clone());
        Ok(found)
    }

    /// Files of a process may grow to so many bytes; none: without a limit.
    fn limit_files(&self, process: &str, most_bytes: Option<u64>) -> Result<(), String> {
        let running = self.running.borrow();
        let running = running
            .get(process)
            .ok_or_else(|| format!("{process} is not running"))?;
        let pid = Pid::from_raw(running.pid as i32).ok_or("no process id")?;
        let limit = Rlimit {
            current: most_bytes,
            maximum: None,
        };
        prlimit(Some(pid), Resource::Fsize, limit)
            .map(drop)
            .map_err(|e| format!("{process}: {e}"))
    }

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

    async fn until(&self, what: &str, mut seen: impl AsyncFnMut() -> bool) -> Result<(), String> {
        let until = now_ns() + self.trial.patience_ms * 1_000_000;
        while !seen().await {
            if now_ns() > until {
                return Err(format!(
                    "not seen within {} ms: {what}",
                    self.trial.patience_ms
                ));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// An operator's call, through the binary. Gives what it printed, if it ended well.
    async fn operator(&self, args: &[String]) -> Result<String, String> {
        let mut all = vec![
            "fleet".to_owned(),
            args[0].clone(),
            "--fleet".into(),
            self.trial.fleet.name.clone(),
        ];
        // Those that run are asked; a stopped one would only make the operator wait.
        let running: Vec<String> = self
            .running
            .borrow()
            .keys()
            .filter(|p| p.starts_with("steward"))
            .cloned()
            .collect();
        for steward in running {
            all.extend(["--to".to_owned(), self.unix(&steward)]);
        }
        all.extend(args[1..].iter().cloned());
        let child = Command::new(&self.binary)
            .args(&all)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .output();
        match tokio::time::timeout(CALL, child).await {
            Err(_) => Err("no answer in time".into()),
            Ok(Err(e)) => Err(e.to_string()),
            Ok(Ok(out)) if out.status.success() => {
                Ok(String::from_utf8_lossy(&out.stdout).into_owned())
            }
            Ok(Ok(out)) => Err(String::from_utf8_lossy(&out.stderr).trim().to_owned()),
        }
    }

    /// A change that an operator asks for again until it is told as done: each is safe to ask for twice.
    async fn ask(&self, what: &str, args: &[String]) -> Result<(), String> {
        let until = now_ns() + self.trial.patience_ms * 1_000_000;
        loop {
            let sent_ns = now_ns();
            let told = self.operator(args).await;
            let at_ns = now_ns();
            let (done, answer) = match &told {
                Ok(text) => (true, text.trim().to_owned()),
                Err(why) => (false, why.clone()),
            };
            self.note(Line::Asked {
                sent_ns,
                at_ns,
                what: what.to_owned(),
                done,
                answer,
            });
            match told {
                Ok(_) => return Ok(()),
                Err(why) if now_ns() > until => return Err(why),
                Err(_) => tokio::time::sleep(LOOK).await,
            }
        }
    }

    async fn status(&self) -> Option<Json> {
        let told = self
            .operator(&["status".into(), "--json".into()])
            .await
            .ok()?;
        serde_json::from_str(&told).ok()
    }

    async fn one(self: &Rc<Self>, step: &Step) -> Result<(), String> {
        let of = &self.named(&step.of).await?;
        match &step.what {
            Do::Await { event, times } if event == "granted" => {
                let what = format!("{times} of {of:?} granted");
                self.until(&what, async || {
                    let Some(s) = self.status().await else {
                        return false;
                    };
                    let granted =
                        |m: &&String| s["fleet"]["members"][m.as_str()]["phase"]["is"] == "granted";
                    of.iter().filter(granted).count() >= *times
                })
                .await
            }
            Do::Await { event, times } => {
                let what = format!("{event} of {of:?}, {times} times");
                self.until(&what, async || {
                    let lines = self.lines.borrow();
                    let told = lines.iter().filter(|l| {
                        matches!(l, Line::Told { member, what, .. } if of.contains(member) && what == event)
                    });
                    told.count() >= *times
                })
                .await
            }
            Do::AllUp => {
                let is_member =
                    |p: &String| p.starts_with("invoker") || p.starts_with("controller");
                let members: Vec<String> = self
                    .trial
                    .processes()
                    .into_iter()
                    .filter(is_member)
                    .collect();
                self.until("all members up", async || {
                    let Some(s) = self.status().await else {
                        return false;
                    };
                    members
                        .iter()
                        .all(|m| s["fleet"]["members"][m]["phase"]["is"] == "up")
                })
                .await
            }
            Do::Over { id } => {
                self.until(&format!("ask '{id}' over"), async || {
                    let Some(s) = self.status().await else {
                        return false;
                    };
                    let ask = &s["fleet"]["asks"][id];
                    let none = |list: &str| ask[list].as_array().is_some_and(Vec::is_empty);
                    none("waiting") && none("under_way")
                })
                .await
            }
            Do::Ask { id } => {
                let mut args = vec!["drain".to_owned(), "--id".into(), id.clone()];
                args.extend(of.iter().cloned());
                self.ask("drain", &args).await
            }
            Do::Halt => {
                self.ask(
                    "halt",
                    &["halt", "--why", "the trial says so"].map(str::to_owned),
                )
                .await
            }
            Do::Resume => self.ask("resume", &["resume".to_owned()]).await,
            Do::Back => {
                let args: Vec<String> = ["back".to_owned()]
                    .into_iter()
                    .chain(of.iter().cloned())
                    .collect();
                self.ask("back", &args).await
            }
            Do::Kill => {
                of.iter().try_for_each(|p| self.signal(p, Signal::KILL))?;
                self.until("the killed gone", async || {
                    of.iter().all(|p| !self.running.borrow().contains_key(p))
                })
                .await
            }
            Do::Stop | Do::Wake => {
                let still = step.what == Do::Stop;
                for p in of {
                    self.signal(p, if still { Signal::STOP } else { Signal::CONT })?;
                    self.note(Line::Stopped {
                        at_ns: now_ns(),
                        process: p.clone(),
                        still,
                    });
                }
                Ok(())
            }
            Do::Start => of.iter().try_for_each(|p| self.start(p)),
            Do::CopyDisk => self.disks(of, |disk, copy| std::fs::copy(disk, copy).map(|_| ())),
            Do::OldDisk => self.disks(of, |disk, copy| std::fs::copy(copy, disk).map(|_| ())),
            Do::LoseDisk => {
                self.diskless.borrow_mut().extend(of.iter().cloned());
                of.iter()
                    .for_each(|p| drop(self.voters.borrow_mut().remove(p)));
                self.disks(of, |disk, _| std::fs::remove_file(disk))
            }
            Do::Replace => {
                self.until("the new disk's voter", async || {
                    of.iter().all(|p| self.voters.borrow().contains_key(p))
                })
                .await?;
                let voters = self.voters.borrow().clone();
                let named = voters
                    .iter()
                    .map(|(p, voter)| format!("{voter}={}", self.unix(p)));
                let args: Vec<String> = ["stewards".to_owned()].into_iter().chain(named).collect();
                self.ask("stewards", &args).await?;
                self.until("the new stewards alone", async || {
                    let Some(s) = self.status().await else {
                        return false;
                    };
                    s["fleet"]["config"]["now"].as_array().is_some_and(|now| {
                        s["fleet"]["config"]["next"].is_null()
                            && now.iter().any(|v| v["disk"].as_u64() != Some(0))
                    })
                })
                .await
            }
            Do::PauseLease { lease } => {
                let args =
                    ["lease", "pause", lease, "--why", "the trial says so"].map(str::to_owned);
                self.ask("pause-lease", &args).await
            }
            Do::ResumeLease { lease } => {
                self.ask(
                    "resume-lease",
                    &["lease", "resume", lease].map(str::to_owned),
                )
                .await
            }
            Do::Handover => {
                let before = self.effects().into_iter().max().unwrap_or(0);
                self.until("an effect of a later epoch", async || {
                    self.effects().iter().any(|e| *e > before)
                })
                .await
            }
            Do::Effects { times } => {
                let before = self.effects().len();
                self.until("more effects", async || {
                    self.effects().len() >= before + times
                })
                .await
            }
            Do::DiskFull => of.iter().try_for_each(|p| self.limit_files(p, Some(0))),
            Do::DiskSpace => of.iter().try_for_each(|p| self.limit_files(p, None)),
            Do::Cut { to, one_way } => {
                self.wires
                    .change(of, &self.named(to).await?, !one_way, |w| w.cut = true);
                Ok(())
            }
            Do::Heal => {
                self.wires.change(&[], &[], true, |w| *w = Way::default());
                Ok(())
            }
            Do::Delay { ms, jitter_ms } => {
                self.wires.change(of, &[], true, |w| {
                    (w.delay_ms, w.jitter_ms) = (*ms, *jitter_ms)
                });
                Ok(())
            }
            Do::Reset => {
                self.wires.reset(of);
                Ok(())
            }
            Do::Pause { ms } => {
                tokio::time::sleep(Duration::from_millis(*ms)).await;
                Ok(())
            }
        }
    }

    fn disks(
        &self,
        of: &[String],
        act: impl Fn(&Path, &Path) -> std::io::Result<()>,
    ) -> Result<(), String> {
        for p in of {
            let (disk, copy) = (self.disk(p), self.at(&format!("copy-{p}")));
            act(&disk, &copy).map_err(|e| format!("{p}'s disk: {e}"))?;
        }
        Ok(())
    }

    async fn histories(&self) {
        for n in 1..=self.trial.stewards {
            let args = [
                "fleet",
                "history",
                "--json",
                "--fleet",
                &self.trial.fleet.name,
                "--to",
            ];
            let at = self.unix(&format!("steward-{n}"));
            let told = Command::new(&self.binary)
                .args(args)
                .arg(at)
                .kill_on_drop(true)
                .output();
            let Ok(Ok(told)) = tokio::time::timeout(Duration::from_secs(3), told).await else {
                continue;
            };
            for line in String::from_utf8_lossy(&told.stdout).lines() {
                let Ok(event) = serde_json::from_str::<Json>(line) else {
                    continue;
                };
                self.note(Line::History {
                    steward: n,
                    revision: event["revision"].as_u64().unwrap_or(0),
                    what: event["what"].as_str().unwrap_or_default().to_owned(),
                });
            }
        }
    }
}
