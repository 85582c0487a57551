//! Parses the script of a trial: a deployment with a fleet, one `trial(...)` and a sequence of `step(...)`.

use saltdrum_coordinator::FleetConfig;
use saltdrum_deployment::units::Span;
use saltdrum_deployment::{DeploymentSpec, ScriptError, Statement, script};
use saltdrum_fleet::state::{BoundScope, MemberKind};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A trial, as its script describes it.
#[derive(Clone, Debug)]
pub struct Trial {
    pub name: String,
    /// The script's text, which the processes read.
    pub text: String,
    /// The deployment that the processes run.
    pub terms: DeploymentSpec,
    pub fleet: FleetConfig,
    /// Number of coordinators.
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
    /// Seed of the jitter on the proxied streams.
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
    Await { event: String, times: usize },
    /// Waits until all members are up.
    AllUp,
    /// Waits until a drain request has no member left that is waiting or draining.
    AwaitDrainRequest { id: String },
    /// Requests a drain.
    RequestDrain { id: String },
    /// Halts the fleet, so that no further drain begins.
    Halt,
    /// Lifts a halt.
    Resume,
    /// Withdraws the drain requests for members.
    Back,
    /// Kills processes.
    Kill,
    /// Stops processes with `SIGSTOP`.
    Stop,
    /// Continues stopped processes.
    Wake,
    /// Starts processes.
    Start,
    /// Copies a coordinator's disk.
    CopyDisk,
    /// Replaces a coordinator's disk with the copy.
    RestoreDisk,
    /// Deletes a coordinator's disk.
    LoseDisk,
    /// Replaces a coordinator's voter by that of its new disk.
    ReplaceVoter,
    /// Cuts the streams between the step's processes and those in `to`, in one direction or in both.
    Cut { to: Vec<String>, one_way: bool },
    /// Ends all cuts and delays, of every process.
    Heal,
    /// Delays the streams of processes.
    Delay { ms: u64, jitter_ms: u64 },
    /// Closes the streams of processes, or all streams if none is named.
    Reset,
    /// Waits for a fixed time.
    Pause { ms: u64 },
    /// Revokes a lease and pauses granting it.
    PauseLease { lease: String },
    /// Resumes granting a lease.
    ResumeLease { lease: String },
    /// Waits until an effect of a later epoch than all previous ones was accepted.
    AwaitHandover,
    /// Waits until `times` more effects were accepted.
    AwaitEffects { times: usize },
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
        let (terms, mut statements) = DeploymentSpec::load(file, text)?;
        let script_error = |why: &str| ScriptError {
            place: script::SourceLocation {
                file: file.into(),
                line: 1,
            },
            why: why.into(),
        };
        let fleet = FleetConfig::extract(&mut statements)?
            .ok_or_else(|| script_error("no fleet(...) is stated"))?;
        let mut trial_statements = statements
            .iter()
            .filter(|statement| statement.what == "trial");
        let stated = trial_statements
            .next()
            .ok_or_else(|| script_error("no trial(...) is stated"))?;
        if let Some(second) = trial_statements.next() {
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
        for statement in statements
            .iter()
            .filter(|statement| statement.what == "step")
        {
            let step = trial.parse_step(statement)?;
            trial.steps.push(step);
        }
        match statements
            .iter()
            .find(|statement| !matches!(statement.what, "trial" | "step"))
        {
            Some(statement) => Err(statement.fault("does not belong to a trial")),
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
        let zone_name = |zone: u8| {
            self.terms
                .zones
                .get(usize::from(zone))
                .cloned()
                .unwrap_or_default()
        };
        // Controllers are started without a zone and so are in the first one.
        let controllers = (1..=self.controllers).map(|number| {
            (
                format!("controller-{number}"),
                MemberKind::Controller,
                zone_name(0),
                0,
            )
        });
        let invokers = &self.terms.invokers;
        let invokers = invokers.iter().map(|invoker| {
            (
                format!("invoker-{}", invoker.invoker),
                MemberKind::Invoker,
                zone_name(invoker.zone),
                invoker.cell,
            )
        });
        let all_members: Vec<_> = controllers.chain(invokers).collect();
        let mut bounds = Vec::new();
        for bound in &self.fleet.bounds {
            let mut groups = BTreeMap::<(String, u16), Vec<String>>::new();
            for (name, kind, site, cell) in &all_members {
                if bound.kind.is_some_and(|wanted| wanted != *kind)
                    || bound.site.as_ref().is_some_and(|wanted| wanted != site)
                {
                    continue;
                }
                let group = match bound.per {
                    BoundScope::Fleet => (String::new(), 0),
                    BoundScope::Site => (site.clone(), 0),
                    BoundScope::Cell => (site.clone(), *cell),
                };
                groups.entry(group).or_default().push(name.clone());
            }
            for ((site, cell), members) in groups {
                let max_by_share = bound
                    .share
                    .map(|share| (share * members.len() as f64 + 1e-9) as usize);
                let Some(max_out) = bound
                    .out
                    .map(|out| out as usize)
                    .into_iter()
                    .chain(max_by_share)
                    .min()
                else {
                    continue;
                };
                bounds.push((format!("{:?} {site} {cell}", bound.kind), members, max_out));
            }
        }
        bounds
    }

    fn parse_step(&self, statement: &Statement) -> Result<Step, ScriptError> {
        let args: StepArguments = statement.read()?;
        let mut known = self.processes();
        known.extend(
            (self.journals > 0)
                .then(|| [HOLDER, LAST_HOLDER, OTHERS].map(str::to_owned))
                .into_iter()
                .flatten(),
        );
        if let Some(unknown) = args
            .of
            .iter()
            .chain(&args.to)
            .find(|name| !known.contains(name))
        {
            return Err(statement.fault(format!("no process is named '{unknown}' here")));
        }
        let id = || {
            args.id
                .clone()
                .ok_or_else(|| statement.fault("id is missing"))
        };
        let action = match args.name.as_str() {
            "await" => {
                let events = ["began", "drained", "up", "granted"];
                let event = args.event.clone().filter(|e| events.contains(&e.as_str()));
                let event = event.ok_or_else(|| {
                    statement.fault(format!("event: one of {} is expected", events.join(", ")))
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
            other => return Err(statement.fault(format!("'{other}' is no step"))),
        };
        let requires_processes = !matches!(
            action,
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
            return Err(statement.fault("of: processes are expected"));
        }
        Ok(Step {
            action,
            processes: args.of,
            place: statement.place.clone(),
        })
    }
}

#[cfg(test)]
mod tests;
