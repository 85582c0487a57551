//! Parses the script of a trial: a deployment with a fleet, one `trial(...)` and a sequence of `step(...)`.

use saltdrum_coordinator::FleetConfig;
use saltdrum_deployment::units::Span;
use saltdrum_deployment::{DeploymentSpec, ScriptError, Statement, script};
use saltdrum_fleet::state::{BoundScope, MemberKind};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A trial.
#[derive(Clone, Debug)]
pub struct Trial {
    pub name: String,
    /// The script's text, which the processes read.
    pub text: String,
    pub terms: DeploymentSpec,
    pub fleet: FleetConfig,
    pub stewards: u32,
    pub controllers: u32,
    /// Number of append-only resources (journals) to which the holders of fleet-wide tasks write.
    pub journals: u32,
    /// Name of a fault to inject into the journals.
    pub journal_fault: Option<String>,
    /// Injected fault: holders act before all journals are sealed.
    pub acts_before_seals: bool,
    /// Injected fault: a restarted coordinator grants leases without agreement.
    pub steward_gives_away: bool,
    pub seed: u64,
    /// Invocations per second over all controllers; 0: none.
    pub per_second: f64,
    /// Delay after which drained members are started again.
    pub returns_ms: u64,
    /// Time within which the loss of a member must be detected.
    pub detect_ms: u64,
    /// Timeout of a step that waits, after which the trial fails.
    pub patience_ms: u64,
    pub steps: Vec<Step>,
}

/// The action of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Waits until the processes reported `event` at least `times` times in all since the trial began.
    Await {
        event: String,
        times: usize,
    },
    /// Waits until all members are up.
    AllUp,
    /// Waits until a drain request has no member left that is waiting or draining.
    AwaitDrainRequest {
        id: String,
    },
    /// Requests a drain.
    RequestDrain {
        id: String,
    },
    Halt,
    Resume,
    Back,
    Kill,
    Stop,
    Wake,
    Start,
    /// Copies a coordinator's disk.
    CopyDisk,
    /// Replaces a coordinator's disk with the copy.
    RestoreDisk,
    LoseDisk,
    /// Replaces a coordinator's voter by that of its new disk.
    ReplaceVoter,
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
    /// Revokes a lease and pauses granting it.
    PauseLease {
        lease: String,
    },
    /// Resumes granting a lease.
    ResumeLease {
        lease: String,
    },
    /// Waits until an effect of a later epoch than all previous ones was accepted.
    AwaitHandover,
    /// Waits until `times` more effects were accepted.
    AwaitEffects {
        times: usize,
    },
    /// Limits the file size of processes so that writes fail, as on a full disk.
    FillDisk,
    /// Removes that limit.
    FreeDisk,
}

/// Placeholder for the process that holds the first lease now.
pub const HOLDER: &str = "holder";
/// Placeholder for the process that [`HOLDER`] was last resolved to.
pub const LAST_HOLDER: &str = "last-holder";
/// Placeholder for all invokers except [`LAST_HOLDER`].
pub const OTHERS: &str = "others";

/// One step: an action and the processes it applies to.
#[derive(Clone, Debug)]
pub struct Step {
    pub action: Action,
    pub processes: Vec<String>,
    pub place: script::SourceLocation,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TrialArguments {
    name: String,
    #[serde(default = "default_stewards")]
    stewards: u32,
    #[serde(default = "default_controllers")]
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
    #[serde(default = "default_return_delay")]
    returns: Span,
    #[serde(default = "default_detection_time")]
    detect: Span,
    #[serde(default = "default_step_timeout")]
    patience: Span,
}

fn default_controllers() -> u32 {
    2
}
fn default_stewards() -> u32 {
    3
}
fn default_return_delay() -> Span {
    Span(1_000)
}
fn default_detection_time() -> Span {
    Span(50_000)
}
fn default_step_timeout() -> Span {
    Span(600_000)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StepArguments {
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
    /// Parses a script's text; `file` is its name in errors.
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
        let args: TrialArguments = stated.read()?;
        if args.stewards.is_multiple_of(2) || args.stewards > 9 {
            return Err(stated.fault("stewards: an odd number up to 9 is expected"));
        }
        if args.controllers != terms.deployment.controllers {
            return Err(stated.fault(format!(
                "controllers = {}: the deployment states {}",
                args.controllers, terms.deployment.controllers
            )));
        }
        let mut trial = Self {
            name: args.name,
            text: text.to_owned(),
            terms,
            fleet,
            stewards: args.stewards,
            controllers: args.controllers,
            journals: args.journals,
            journal_fault: args.journal_fault,
            acts_before_seals: args.acts_before_seals,
            steward_gives_away: args.steward_gives_away,
            seed: args.seed,
            per_second: args.per_second,
            returns_ms: args.returns.0 / 10,
            detect_ms: args.detect.0 / 10,
            patience_ms: args.patience.0 / 10,
            steps: Vec::new(),
        };
        for s in rest.iter().filter(|s| s.what == "step") {
            let step = trial.parse_step(s)?;
            trial.steps.push(step);
        }
        match rest.iter().find(|s| !matches!(s.what, "trial" | "step")) {
            Some(s) => Err(s.fault("does not belong to a trial")),
            None => Ok(trial),
        }
    }

    /// Names of all processes of the trial except the store.
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

    /// Names of the journals, as leases refer to them.
    pub fn journal_names(&self) -> Vec<String> {
        (1..=self.journals)
            .map(|n| format!("journal-{n}"))
            .collect()
    }

    /// Each bound by number or share, for each group it applies to: the group's name, its members and how many of them may be
    /// out of service.
    pub fn bounds(&self) -> Vec<(String, Vec<String>, usize)> {
        let zone = |zone: u8| {
            self.terms
                .zones
                .get(usize::from(zone))
                .cloned()
                .unwrap_or_default()
        };
        // Controllers are started without a zone and so are in the first one.
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
        let mut bounds = Vec::new();
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
                bounds.push((format!("{:?} {site} {cell}", b.kind), members, out));
            }
        }
        bounds
    }

    fn parse_step(&self, s: &Statement) -> Result<Step, ScriptError> {
        let args: StepArguments = s.read()?;
        let mut known = self.processes();
        known.extend(
            (self.journals > 0)
                .then(|| [HOLDER, LAST_HOLDER, OTHERS].map(str::to_owned))
                .into_iter()
                .flatten(),
        );
        if let Some(odd) = args.of.iter().chain(&args.to).find(|p| !known.contains(p)) {
            return Err(s.fault(format!("no process is named '{odd}' here")));
        }
        let id = || args.id.clone().ok_or_else(|| s.fault("id is missing"));
        let what = match args.name.as_str() {
            "await" => {
                let events = ["began", "drained", "up", "granted"];
                let event = args.event.clone().filter(|e| events.contains(&e.as_str()));
                let event = event.ok_or_else(|| {
                    s.fault(format!("event: one of {} is expected", events.join(", ")))
                })?;
                Action::Await {
                    event,
                    times: args.times.unwrap_or(1),
                }
            }
            "all_up" => Action::AllUp,
            "over" => Action::AwaitDrainRequest { id: id()? },
            "ask" => Action::RequestDrain { id: id()? },
            "halt" => Action::Halt,
            "resume" => Action::Resume,
            "back" => Action::Back,
            "kill" => Action::Kill,
            "stop" => Action::Stop,
            "wake" => Action::Wake,
            "start" => Action::Start,
            "copy_disk" => Action::CopyDisk,
            "old_disk" => Action::RestoreDisk,
            "lose_disk" => Action::LoseDisk,
            "replace" => Action::ReplaceVoter,
            "cut" => Action::Cut {
                to: args.to.clone(),
                one_way: args.one_way,
            },
            "heal" => Action::Heal,
            "delay" => Action::Delay {
                ms: args.delay.0 / 10,
                jitter_ms: args.jitter.0 / 10,
            },
            "reset" => Action::Reset,
            "pause" => Action::Pause {
                ms: args.span.0 / 10,
            },
            "pause_lease" => Action::PauseLease { lease: id()? },
            "resume_lease" => Action::ResumeLease { lease: id()? },
            "handover" => Action::AwaitHandover,
            "effects" => Action::AwaitEffects {
                times: args.times.unwrap_or(1),
            },
            "disk_full" => Action::FillDisk,
            "disk_space" => Action::FreeDisk,
            other => return Err(s.fault(format!("'{other}' is no step"))),
        };
        let requires_processes = !matches!(
            what,
            Action::AllUp
                | Action::AwaitDrainRequest { .. }
                | Action::Halt
                | Action::Resume
                | Action::Heal
                | Action::Pause { .. }
                | Action::Reset
                | Action::PauseLease { .. }
                | Action::ResumeLease { .. }
                | Action::AwaitHandover
                | Action::AwaitEffects { .. }
        );
        if requires_processes && args.of.is_empty() {
            return Err(s.fault("of: processes are expected"));
        }
        Ok(Step {
            action: what,
            processes: args.of,
            place: s.place.clone(),
        })
    }
}

#[cfg(test)]
mod tests;
