//! The fleet settings in a deployment script: `fleet(...)` once, then a `bound(...)` for each bound and a `lease(...)` for each
//! lease.

use saltdrum::interface::Ticks;
use saltdrum_deployment::units::{Memory, Span};
use saltdrum_deployment::{ScriptError, Statement};
use saltdrum_fleet::state::{Bound, BoundScope, LeaseName, LeaseTerms, MemberKind};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Fleet settings of a deployment, under the names that its script gives them. Times are in ticks of 100 us.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Name of the fleet.
    pub name: String,
    /// Interval between heartbeats of members.
    pub renew: Ticks,
    /// A member is lost once its level of suspicion reaches this at a majority of coordinators.
    pub suspect_level: f64,
    /// Time after which an unused grant is revoked.
    pub grant_for: Ticks,
    /// Time after which a drain is reported as late.
    pub drain_for: Ticks,
    /// Drains are halted if a member that returned is not healthy within this time; 0: never.
    pub prove_within: Ticks,
    /// Drains are halted if more members than this are lost; 0: never.
    pub halt_at_lost: usize,
    /// Limits on how many members may be out at once.
    pub bounds: Vec<Bound>,
    /// Leases of fleet-wide tasks.
    pub leases: BTreeMap<LeaseName, LeaseTerms>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetStatement {
    name: String,
    #[serde(default = "default_renew")]
    renew: Span,
    #[serde(default = "default_suspect_level")]
    suspect_level: f64,
    #[serde(default = "default_grant_for")]
    grant_for: Span,
    #[serde(default = "default_drain_for")]
    drain_for: Span,
    #[serde(default)]
    prove_within: Span,
    #[serde(default)]
    halt_at_lost: usize,
}

fn default_renew() -> Span {
    Span(5_000)
}
fn default_suspect_level() -> f64 {
    8.0
}
fn default_grant_for() -> Span {
    Span(100_000)
}
fn default_drain_for() -> Span {
    Span(3_000_000)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundStatement {
    kind: Option<String>,
    site: Option<String>,
    per: Option<String>,
    out: Option<u32>,
    share: Option<f64>,
    least_size: Option<f64>,
    least_memory: Option<Memory>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseStatement {
    name: String,
    task: String,
    eligible: String,
    resources: Vec<String>,
}

impl FleetConfig {
    /// Removes the fleet's statements from `statements` and reads them; `None` if the script states no fleet.
    pub fn extract(statements: &mut Vec<Statement>) -> Result<Option<Self>, ScriptError> {
        let (fleet_statements, others): (Vec<_>, Vec<_>) = std::mem::take(statements)
            .into_iter()
            .partition(|s| matches!(s.what, "fleet" | "bound" | "lease"));
        *statements = others;
        let mut stated: Option<Self> = None;
        let mut bounds = Vec::new();
        let mut leases = BTreeMap::new();
        for statement in &fleet_statements {
            match (statement.what, &stated) {
                ("fleet", None) => stated = Some(read_fleet(statement)?),
                ("fleet", Some(_)) => return Err(statement.fault("stated a second time")),
                ("lease", _) => {
                    let (name, terms) = read_lease(statement)?;
                    if leases.insert(name, terms).is_some() {
                        return Err(statement.fault("a lease of this name is stated above"));
                    }
                }
                _ => bounds.push(read_bound(statement)?),
            }
        }
        match (&mut stated, fleet_statements.first()) {
            (None, Some(statement)) => return Err(statement.fault("no fleet(...) is stated")),
            (Some(stated), _) => (stated.bounds, stated.leases) = (bounds, leases),
            (None, None) => {}
        }
        Ok(stated)
    }
}

fn read_fleet(statement: &Statement) -> Result<FleetConfig, ScriptError> {
    let fleet: FleetStatement = statement.read()?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if fleet.name.is_empty() || fleet.name.len() > 64 || !fleet.name.chars().all(is_allowed) {
        return Err(statement.fault("name: letters, digits and '-' are expected, up to 64"));
    }
    if !(100..=600_000).contains(&fleet.renew.0) {
        return Err(statement.fault("renew: 10ms to 60s are expected"));
    }
    if !(0.5..=100.0).contains(&fleet.suspect_level) {
        return Err(statement.fault("suspect_level: 0.5 to 100 are expected"));
    }
    Ok(FleetConfig {
        name: fleet.name,
        renew: fleet.renew.0,
        suspect_level: fleet.suspect_level,
        grant_for: fleet.grant_for.0,
        drain_for: fleet.drain_for.0,
        prove_within: fleet.prove_within.0,
        halt_at_lost: fleet.halt_at_lost,
        bounds: Vec::new(),
        leases: BTreeMap::new(),
    })
}

/// The choice of this name, or a fault that lists the names.
fn read_choice<T: Copy>(
    statement: &Statement,
    name: &str,
    chosen: &str,
    choices: &[(&str, T)],
) -> Result<T, ScriptError> {
    choices
        .iter()
        .find(|(choice, _)| *choice == chosen)
        .map(|(_, value)| *value)
        .ok_or_else(|| {
            let known: Vec<&str> = choices.iter().map(|choice| choice.0).collect();
            statement.fault(format!(
                "{name} '{chosen}': one of {} is expected",
                known.join(", ")
            ))
        })
}

fn read_bound(statement: &Statement) -> Result<Bound, ScriptError> {
    let stated: BoundStatement = statement.read()?;
    let kinds = [
        ("controller", MemberKind::Controller),
        ("invoker", MemberKind::Invoker),
    ];
    let scopes = [
        ("fleet", BoundScope::Fleet),
        ("site", BoundScope::Site),
        ("cell", BoundScope::Cell),
    ];
    let bound = Bound {
        kind: stated
            .kind
            .as_ref()
            .map(|kind| read_choice(statement, "kind", kind, &kinds))
            .transpose()?,
        site: stated.site,
        per: stated.per.as_ref().map_or(Ok(BoundScope::Fleet), |scope| {
            read_choice(statement, "per", scope, &scopes)
        })?,
        out: stated.out,
        share: stated.share,
        least_size: stated.least_size,
        least_memory_mb: stated.least_memory.map(|m| m.0),
    };
    bound.validate().map_err(|e| statement.fault(e))?;
    Ok(bound)
}

fn read_lease(statement: &Statement) -> Result<(LeaseName, LeaseTerms), ScriptError> {
    let stated: LeaseStatement = statement.read()?;
    let kinds = [
        ("controller", MemberKind::Controller),
        ("invoker", MemberKind::Invoker),
    ];
    let eligible = read_choice(statement, "eligible", &stated.eligible, &kinds)?;
    let terms = LeaseTerms {
        task: stated.task,
        eligible,
        resources: stated.resources.into_iter().collect(),
    };
    let name = LeaseName(stated.name);
    terms.validate(&name).map_err(|e| statement.fault(e))?;
    Ok((name, terms))
}
