//! What a deployment's script says of its fleet: `fleet(...)` once, `bound(...)` as often as there are bounds.

use saltdrum::interface::Ticks;
use saltdrum_deployment::units::{Memory, Span};
use saltdrum_deployment::{Fault, Statement};
use saltdrum_fleet::state::{Bound, BoundScope, LeaseName, LeaseTerms, MemberKind};
use serde::Deserialize;
use std::collections::BTreeMap;

/// What a deployment states of its fleet. Times are ticks of 100 us.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The fleet's name.
    pub name: String,
    /// Interval between heartbeats of members.
    pub renew: Ticks,
    /// Members whose level of suspicion reaches this, to a majority of coordinators, are lost.
    pub suspect_level: f64,
    /// A grant that was not used is revoked after this.
    pub grant_for: Ticks,
    /// A drain is reported as late after this.
    pub drain_for: Ticks,
    /// Drains are halted when a member that returned is not healthy within this; 0: never.
    pub prove_within: Ticks,
    /// Drains are halted when more members than this are lost; 0: never.
    pub halt_at_lost: usize,
    /// How many members may be out.
    pub bounds: Vec<Bound>,
    /// Leases of fleet-wide tasks.
    pub leases: BTreeMap<LeaseName, LeaseTerms>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidFleet {
    name: String,
    #[serde(default = "half")]
    renew: Span,
    #[serde(default = "eight")]
    suspect_level: f64,
    #[serde(default = "ten")]
    grant_for: Span,
    #[serde(default = "minutes")]
    drain_for: Span,
    #[serde(default)]
    prove_within: Span,
    #[serde(default)]
    halt_at_lost: usize,
}

fn half() -> Span {
    Span(5_000)
}
fn eight() -> f64 {
    8.0
}
fn ten() -> Span {
    Span(100_000)
}
fn minutes() -> Span {
    Span(3_000_000)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidBound {
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
struct SaidLease {
    name: String,
    task: String,
    eligible: String,
    resources: Vec<String>,
}

impl FleetConfig {
    /// Takes the fleet's statements out of those that describe no deployment; none: the script states no fleet.
    pub fn extract(rest: &mut Vec<Statement>) -> Result<Option<Self>, Fault> {
        let (mine, others): (Vec<_>, Vec<_>) = std::mem::take(rest)
            .into_iter()
            .partition(|s| matches!(s.what, "fleet" | "bound" | "lease"));
        *rest = others;
        let mut stated: Option<Self> = None;
        let mut bounds = Vec::new();
        let mut leases = BTreeMap::new();
        for s in &mine {
            match (s.what, &stated) {
                ("fleet", None) => stated = Some(fleet(s)?),
                ("fleet", Some(_)) => return Err(s.fault("stated a second time")),
                ("lease", _) => {
                    let (name, terms) = lease(s)?;
                    if leases.insert(name, terms).is_some() {
                        return Err(s.fault("a lease of this name is stated above"));
                    }
                }
                _ => bounds.push(bound(s)?),
            }
        }
        match (&mut stated, mine.first()) {
            (None, Some(s)) => return Err(s.fault("no fleet(...) is stated")),
            (Some(stated), _) => (stated.bounds, stated.leases) = (bounds, leases),
            (None, None) => {}
        }
        Ok(stated)
    }
}

fn fleet(s: &Statement) -> Result<FleetConfig, Fault> {
    let said: SaidFleet = s.read()?;
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if said.name.is_empty() || said.name.len() > 64 || !said.name.chars().all(plain) {
        return Err(s.fault("name: letters, digits and '-' are expected, up to 64"));
    }
    if !(100..=600_000).contains(&said.renew.0) {
        return Err(s.fault("renew: 10ms to 60s are expected"));
    }
    if !(0.5..=100.0).contains(&said.suspect_level) {
        return Err(s.fault("suspect_level: 0.5 to 100 are expected"));
    }
    Ok(FleetConfig {
        name: said.name,
        renew: said.renew.0,
        suspect_level: said.suspect_level,
        grant_for: said.grant_for.0,
        drain_for: said.drain_for.0,
        prove_within: said.prove_within.0,
        halt_at_lost: said.halt_at_lost,
        bounds: Vec::new(),
        leases: BTreeMap::new(),
    })
}

fn word<T: Copy>(s: &Statement, name: &str, said: &str, words: &[(&str, T)]) -> Result<T, Fault> {
    words
        .iter()
        .find(|(word, _)| *word == said)
        .map(|(_, is)| *is)
        .ok_or_else(|| {
            let known: Vec<&str> = words.iter().map(|w| w.0).collect();
            s.fault(format!(
                "{name} '{said}': one of {} is expected",
                known.join(", ")
            ))
        })
}

fn bound(s: &Statement) -> Result<Bound, Fault> {
    let said: SaidBound = s.read()?;
    let kinds = [
        ("controller", MemberKind::Controller),
        ("invoker", MemberKind::Invoker),
    ];
    let pers = [
        ("fleet", BoundScope::Fleet),
        ("site", BoundScope::Site),
        ("cell", BoundScope::Cell),
    ];
    let bound = Bound {
        kind: said
            .kind
            .as_ref()
            .map(|k| word(s, "kind", k, &kinds))
            .transpose()?,
        site: said.site,
        per: said
            .per
            .as_ref()
            .map_or(Ok(BoundScope::Fleet), |p| word(s, "per", p, &pers))?,
        out: said.out,
        share: said.share,
        least_size: said.least_size,
        least_memory_mb: said.least_memory.map(|m| m.0),
    };
    bound.validate().map_err(|e| s.fault(e))?;
    Ok(bound)
}

fn lease(s: &Statement) -> Result<(LeaseName, LeaseTerms), Fault> {
    let said: SaidLease = s.read()?;
    let kinds = [
        ("controller", MemberKind::Controller),
        ("invoker", MemberKind::Invoker),
    ];
    let eligible = word(s, "eligible", &said.eligible, &kinds)?;
    let terms = LeaseTerms {
        task: said.task,
        eligible,
        resources: said.resources.into_iter().collect(),
    };
    let name = LeaseName(said.name);
    terms.validate(&name).map_err(|e| s.fault(e))?;
    Ok((name, terms))
}
