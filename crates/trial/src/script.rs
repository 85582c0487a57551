//! A trial as its script states it: a deployment with a fleet, `trial(...)` once, and `step(...)` after `step(...)`.

use saltdrum_coordinator::FleetConfig;
use saltdrum_deployment::units::Span;
use saltdrum_deployment::{DeploymentSpec, ScriptError, Statement, script};
use saltdrum_fleet::state::{BoundScope, MemberKind};
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Trial {
    pub name: String,
    /// The script's own text, which the processes are given.
    pub text: String,
    pub terms: DeploymentSpec,
    pub fleet: FleetConfig,
    pub stewards: u32,
    pub controllers: u32,
    /// Append-only resources of fleet-wide tasks, on which invokers count.
    pub journals: u32,
    /// A planted fault of the journals, by its name.
    pub journal_fault: Option<String>,
    /// Planted: holders act before all journals are sealed.
    pub acts_before_seals: bool,
    /// Planted: a steward that is started again gives leases away on its own opinion.
    pub steward_gives_away: bool,
    pub seed: u64,
    /// Invocations a second over all controllers; 0: none.
    pub per_second: f64,
    /// Drained members are started again after this.
    pub returns_ms: u64,
    /// A loss is to be known after this.
    pub detect_ms: u64,
    /// A step that waits gives up after this, and the trial has failed.
    pub patience_ms: u64,
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// Waits until `of` told `event`, counted from the trial's begin, `times` times in all.
    Await {
        event: String,
        times: usize,
    },
    /// Waits until every member that should be is up.
    AllUp,
    /// Waits until an ask is over.
    Over {
        id: String,
    },
    Ask {
        id: String,
    },
    Halt,
    Resume,
    Back,
    Kill,
    Stop,
    Wake,
    Start,
    /// Keeps a copy of a steward's disk, or puts the copy in its place.
    CopyDisk,
    OldDisk,
    LoseDisk,
    /// Puts a steward with another disk in its own place.
    Replace,
    Cut {
        to: Vec<String>,
        one_way: bool,
    },
    Heal,
    Delay {
        ms: u64,
        jitter_ms: u64,
    },
    Reset,
    Pause {
        ms: u64,
    },
    /// An operator takes a lease from its holder, or lets it be given again.
    PauseLease {
        lease: String,
    },
    ResumeLease {
        lease: String,
    },
    /// Waits until an effect of a later epoch than any before was accepted.
    Handover,
    /// Waits until so many more effects were accepted.
    Effects {
        times: usize,
    },
    /// Files of these processes grow no more, as on a full disk; and do again.
    DiskFull,
    DiskSpace,
}

/// In place of a process: whoever holds the first lease now, and whoever was last named so.
pub const HOLDER: &str = "holder";
/// The process that was last named as the holder.
pub const LAST_HOLDER: &str = "last-holder";
/// In place of processes: all invokers but the holder that was last named.
pub const OTHERS: &str = "others";

#[derive(Clone, Debug)]
pub struct Step {
    pub what: Do,
    pub of: Vec<String>,
    pub place: script::SourceLocation,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidTrial {
    name: String,
    #[serde(default = "three")]
    stewards: u32,
    #[serde(default = "two")]
    controllers: u32,
    #[serde(default)]
    journals: u32,
    journal_fault: Option<String>,
    #[serde(default)]
    acts_before_seals: bool,
    #[serde(default)]
    steward_gives_away: bool,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    per_second: f64,
    #[serde(default = "soon")]
    returns: Span,
    #[serde(default = "second")]
    detect: Span,
    #[serde(default = "patience")]
    patience: Span,
}

fn two() -> u32 {
    2
}
fn three() -> u32 {
    3
}
fn soon() -> Span {
    Span(1_000)
}
fn second() -> Span {
    Span(50_000)
}
fn patience() -> Span {
    Span(600_000)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidStep {
    name: String,
    #[serde(default)]
    of: Vec<String>,
    #[serde(default)]
    to: Vec<String>,
    #[serde(default)]
    one_way: bool,
    event: Option<String>,
    times: Option<usize>,
    id: Option<String>,
    #[serde(default)]
    delay: Span,
    #[serde(default)]
    jitter: Span,
    #[serde(default)]
    span: Span,
}

impl Trial {
    pub fn load(file: &str, text: &str) -> Result<Self, ScriptError> {
        let (terms, mut rest) = DeploymentSpec::load(file, text)?;
        let at = |why: &str| ScriptError {
            place: script::SourceLocation {
                file: file.into(),
                line: 1,
            },
            why: why.into(),
        };
        let fleet =
            FleetConfig::extract(&mut rest)?.ok_or_else(|| at("no fleet(...) is stated"))?;
        let mut trials = rest.iter().filter(|s| s.what == "trial");
        let stated = trials.next().ok_or_else(|| at("no trial(...) is stated"))?;
        if let Some(second) = trials.next() {
            return Err(second.fault("stated a second time"));
        }
        let said: SaidTrial = stated.read()?;
        if said.stewards.is_multiple_of(2) || said.stewards > 9 {
            return Err(stated.fault("stewards: an odd number up to 9 is expected"));
        }
        if said.controllers != terms.deployment.controllers {
            return Err(stated.fault(format!(
                "controllers = {}: the deployment states {}",
                said.controllers, terms.deployment.controllers
            )));
        }
        let mut trial = Self {
            name: said.name,
            text: text.to_owned(),
            terms,
            fleet,
            stewards: said.stewards,
            controllers: said.controllers,
            journals: said.journals,
            journal_fault: said.journal_fault,
            acts_before_seals: said.acts_before_seals,
            steward_gives_away: said.steward_gives_away,
            seed: said.seed,
            per_second: said.per_second,
            returns_ms: said.returns.0 / 10,
            detect_ms: said.detect.0 / 10,
            patience_ms: said.patience.0 / 10,
            steps: Vec::new(),
        };
        for s in rest.iter().filter(|s| s.what == "step") {
            let step = trial.step(s)?;
            trial.steps.push(step);
        }
        match rest.iter().find(|s| !matches!(s.what, "trial" | "step")) {
            Some(s) => Err(s.fault("does not belong to a trial")),
            None => Ok(trial),
        }
    }

    pub fn processes(&self) -> Vec<String> {
        let stewards = (1..=self.stewards).map(|n| format!("steward-{n}"));
        let controllers = (1..=self.controllers).map(|n| format!("controller-{n}"));
        let invokers = self
            .terms
            .invokers
            .iter()
            .map(|i| format!("invoker-{}", i.invoker));
        stewards
            .chain(self.journal_names())
            .chain(controllers)
            .chain(invokers)
            .collect()
    }

    /// The journals that are started, as leases name them.
    pub fn journal_names(&self) -> Vec<String> {
        (1..=self.journals)
            .map(|n| format!("journal-{n}"))
            .collect()
    }

    /// Each bound by number or share, for each group that it is counted for: its name, its members, how many may be out.
    pub fn bounds(&self) -> Vec<(String, Vec<String>, usize)> {
        let zone = |zone: u8| {
            self.terms
                .zones
                .get(usize::from(zone))
                .cloned()
                .unwrap_or_default()
        };
        // Controllers are started without a zone, which is the first.
        let controllers = (1..=self.controllers).map(|n| {
            (
                format!("controller-{n}"),
                MemberKind::Controller,
                zone(0),
                0,
            )
        });
        let invokers = &self.terms.invokers;
        let invokers = invokers.iter().map(|i| {
            (
                format!("invoker-{}", i.invoker),
                MemberKind::Invoker,
                zone(i.zone),
                i.cell,
            )
        });
        let all: Vec<_> = controllers.chain(invokers).collect();
        let mut told = Vec::new();
        for b in &self.fleet.bounds {
            let mut groups = BTreeMap::<(String, u16), Vec<String>>::new();
            for (name, kind, site, cell) in &all {
                if b.kind.is_some_and(|k| k != *kind) || b.site.as_ref().is_some_and(|s| s != site)
                {
                    continue;
                }
                let group = match b.per {
                    BoundScope::Fleet => (String::new(), 0),
                    BoundScope::Site => (site.clone(), 0),
                    BoundScope::Cell => (site.clone(), *cell),
                };
                groups.entry(group).or_default().push(name.clone());
            }
            for ((site, cell), members) in groups {
                let share = b.share.map(|s| (s * members.len() as f64 + 1e-9) as usize);
                let Some(out) = b.out.map(|o| o as usize).into_iter().chain(share).min() else {
                    continue;
                };
                told.push((format!("{:?} {site} {cell}", b.kind), members, out));
            }
        }
        told
    }

    fn step(&self, s: &Statement) -> Result<Step, ScriptError> {
        let said: SaidStep = s.read()?;
        let mut known = self.processes();
        known.extend(
            (self.journals > 0)
                .then(|| [HOLDER, LAST_HOLDER, OTHERS].map(str::to_owned))
                .into_iter()
                .flatten(),
        );
        if let Some(odd) = said.of.iter().chain(&said.to).find(|p| !known.contains(p)) {
            return Err(s.fault(format!("no process is named '{odd}' here")));
        }
        let id = || said.id.clone().ok_or_else(|| s.fault("id is missing"));
        let what = match said.name.as_str() {
            "await" => {
                let events = ["began", "drained", "up", "granted"];
                let event = said.event.clone().filter(|e| events.contains(&e.as_str()));
                let event = event.ok_or_else(|| {
                    s.fault(format!("event: one of {} is expected", events.join(", ")))
                })?;
                Do::Await {
                    event,
                    times: said.times.unwrap_or(1),
                }
            }
            "all_up" => Do::AllUp,
            "over" => Do::Over { id: id()? },
            "ask" => Do::Ask { id: id()? },
            "halt" => Do::Halt,
            "resume" => Do::Resume,
            "back" => Do::Back,
            "kill" => Do::Kill,
            "stop" => Do::Stop,
            "wake" => Do::Wake,
            "start" => Do::Start,
            "copy_disk" => Do::CopyDisk,
            "old_disk" => Do::OldDisk,
            "lose_disk" => Do::LoseDisk,
            "replace" => Do::Replace,
            "cut" => Do::Cut {
                to: said.to.clone(),
                one_way: said.one_way,
            },
            "heal" => Do::Heal,
            "delay" => Do::Delay {
                ms: said.delay.0 / 10,
                jitter_ms: said.jitter.0 / 10,
            },
            "reset" => Do::Reset,
            "pause" => Do::Pause {
                ms: said.span.0 / 10,
            },
            "pause_lease" => Do::PauseLease { lease: id()? },
            "resume_lease" => Do::ResumeLease { lease: id()? },
            "handover" => Do::Handover,
            "effects" => Do::Effects {
                times: said.times.unwrap_or(1),
            },
            "disk_full" => Do::DiskFull,
            "disk_space" => Do::DiskSpace,
            other => return Err(s.fault(format!("'{other}' is no step"))),
        };
        let needs = !matches!(
            what,
            Do::AllUp
                | Do::Over { .. }
                | Do::Halt
                | Do::Resume
                | Do::Heal
                | Do::Pause { .. }
                | Do::Reset
                | Do::PauseLease { .. }
                | Do::ResumeLease { .. }
                | Do::Handover
                | Do::Effects { .. }
        );
        if needs && said.of.is_empty() {
            return Err(s.fault("of: processes are expected"));
        }
        Ok(Step {
            what,
            of: said.of,
            place: s.place.clone(),
        })
    }
}

#[cfg(test)]
mod tests;
