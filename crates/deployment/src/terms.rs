//! The deployment's terms: what controllers, invokers and stand-ins are told of it at start.

use crate::script::{ScriptError, Statement};
use crate::units::{Memory, Span};
use saltdrum::interface::{Deployment, Effect, FunctionId, KeyScope, Tenant, Ticks, TriggerType};
use serde::Deserialize;
use std::collections::BTreeMap;

/// One function, named as clients name it.
#[derive(Clone, Debug)]
pub struct Function {
    pub name: String,
    pub id: FunctionId,
    pub trigger: usize,
    /// Of one copy, in MB.
    pub memory: f64,
    /// Invocations that one copy runs at a time.
    pub lanes: f64,
    pub load: Option<Ticks>,
}

/// A kind of machine that invokers run on. What only a stand-in needs is here too.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    pub name: String,
    pub memory: Memory,
    pub cores: u32,
    #[serde(default = "one")]
    pub speed: f64,
    #[serde(default = "four")]
    pub slots_per_core: u32,
    #[serde(default = "four")]
    pub queue_per_core: u32,
    #[serde(default = "four")]
    pub loads_at_once: u32,
}

fn one() -> f64 {
    1.0
}

fn four() -> u32 {
    4
}

/// So many invokers alike, numbered from 1 on in the script's order.
#[derive(Clone, Debug)]
pub struct InvokerSpec {
    pub invoker: u32,
    pub kind: usize,
    pub zone: u8,
    pub cell: u16,
}

/// All that is stated of a deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentSpec {
    pub deployment: Deployment,
    pub trigger_type_names: Vec<String>,
    pub tenant_names: Vec<String>,
    pub functions: BTreeMap<String, Function>,
    pub kinds: Vec<MachineKind>,
    pub invokers: Vec<InvokerSpec>,
    pub zones: Vec<String>,
    /// Taken off what a client says it will wait, for the answer's way back.
    pub answer_margin: Ticks,
    /// An order to hold that is not answered within this is given up.
    pub order_timeout: Ticks,
    /// A link that does not come up within this is none.
    pub connect_timeout: Ticks,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidDeployment {
    controllers: u32,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default = "most_dispatches")]
    dispatches: u8,
    #[serde(default)]
    parallel_dispatches: bool,
    #[serde(default = "yes")]
    cancel: bool,
    #[serde(default = "yes")]
    orders: bool,
    #[serde(default = "on_miss")]
    on_miss: String,
    keep_alive: Span,
    come_back_most: Option<Span>,
    #[serde(default)]
    order_window: Span,
    #[serde(default)]
    orders_free: f64,
    #[serde(default)]
    orders_share: f64,
    #[serde(default = "order_timeout")]
    order_timeout: Span,
    #[serde(default = "grace")]
    drain_grace: Span,
    cold_share: f64,
    cold_time: Span,
    tip_factor: f64,
    tip_window: Span,
    #[serde(default = "over_share")]
    over_share_value: f64,
    #[serde(default = "margin")]
    answer_margin: Span,
    #[serde(default = "grace")]
    connect_timeout: Span,
}

fn most_dispatches() -> u8 {
    6
}
fn yes() -> bool {
    true
}
fn on_miss() -> String {
    "load".into()
}
fn order_timeout() -> Span {
    Span(100_000)
}
fn grace() -> Span {
    Span(2_500)
}
fn margin() -> Span {
    Span(500)
}
fn over_share() -> f64 {
    0.1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidTrigger {
    name: String,
    objective: Span,
    client_timeout: Span,
    #[serde(default = "idempotent")]
    effect: String,
    #[serde(default = "all")]
    scope: String,
    #[serde(default)]
    repeat_window: Span,
    #[serde(default = "one")]
    billed_value: f64,
    #[serde(default)]
    late_share: f64,
}

fn idempotent() -> String {
    "idempotent".into()
}
fn all() -> String {
    "all".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidFunction {
    name: String,
    trigger: String,
    memory: Memory,
    #[serde(default = "one")]
    lanes: f64,
    load_time: Option<Span>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidInvokers {
    kind: String,
    count: u32,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default = "four")]
    cell_size: u32,
}

fn word<T: Copy>(
    s: &Statement,
    name: &str,
    said: &str,
    words: &[(&str, T)],
) -> Result<T, ScriptError> {
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

/// The same name is the same function at every controller and invoker.
pub fn function_id(name: &str) -> FunctionId {
    let digest = blake3::hash(name.as_bytes());
    u64::from_le_bytes(
        *digest
            .as_bytes()
            .first_chunk()
            .expect("a digest has 32 bytes"),
    )
}

fn named<T>(
    s: &Statement,
    what: &str,
    name: &str,
    all: &[T],
    of: impl Fn(&T) -> &str,
) -> Result<usize, ScriptError> {
    all.iter()
        .position(|t| of(t) == name)
        .ok_or_else(|| s.fault(format!("no {what} is named '{name}' above this line")))
}

fn share(s: &Statement, name: &str, x: f64, least: f64, most: f64) -> Result<f64, ScriptError> {
    let fits = x.is_finite() && (least..=most).contains(&x);
    fits.then_some(x)
        .ok_or_else(|| s.fault(format!("{name} = {x}: {least} to {most} is expected")))
}

impl DeploymentSpec {
    /// Takes the statements that describe the deployment and hands back the others.
    pub fn from(
        file: &str,
        statements: Vec<Statement>,
    ) -> Result<(Self, Vec<Statement>), ScriptError> {
        let (mut t, mut rest, mut seen) = (Self::default(), Vec::new(), false);
        for s in statements {
            match s.what {
                "deployment" => {
                    if std::mem::replace(&mut seen, true) {
                        return Err(s.fault("stated a second time"));
                    }
                    t.deployment(&s)?;
                }
                "machine" => {
                    let kind: MachineKind = s.read()?;
                    share(&s, "speed", kind.speed, 0.01, 100.0)?;
                    share(&s, "cores", kind.cores.into(), 1.0, 4_096.0)?;
                    t.deployment.machine_memory_mb.push(kind.memory.0);
                    t.kinds.push(kind);
                }
                "trigger_type" => t.trigger_type(&s)?,
                "tenant" => {
                    let said: SaidTenant = s.read()?;
                    share(&s, "quota_per_s", said.quota_per_s, 0.0, 1e9)?;
                    t.deployment.tenants.push(Tenant {
                        quota_per_second: said.quota_per_s,
                    });
                    t.tenant_names.push(said.name);
                }
                "function" => {
                    let said: SaidFunction = s.read()?;
                    let trigger = named(
                        &s,
                        "trigger_type",
                        &said.trigger,
                        &t.trigger_type_names,
                        |n| n,
                    )?;
                    let (id, name) = (function_id(&said.name), said.name);
                    let lanes = share(&s, "lanes", said.lanes, 1.0, 1_024.0)?;
                    let load = said.load_time.map(|l| l.0);
                    let function = Function {
                        name: name.clone(),
                        id,
                        trigger,
                        memory: said.memory.0,
                        lanes,
                        load,
                    };
                    if t.functions.insert(name, function).is_some() {
                        return Err(s.fault("a function of this name is stated above"));
                    }
                }
                "invokers" => t.invokers(&s)?,
                _ => rest.push(s),
            }
        }
        let missing = [
            ("deployment", !seen),
            ("machine", t.kinds.is_empty()),
            ("trigger_type", t.trigger_type_names.is_empty()),
            ("tenant", t.tenant_names.is_empty()),
        ];
        if let Some((what, _)) = missing.iter().find(|m| m.1) {
            let place = crate::script::SourceLocation {
                file: file.into(),
                line: 1,
            };
            return Err(ScriptError {
                place,
                why: format!("no {what}(...) is stated"),
            });
        }
        Ok((t, rest))
    }

    fn deployment(&mut self, s: &Statement) -> Result<(), ScriptError> {
        let said: SaidDeployment = s.read()?;
        let misses = word(
            s,
            "on_miss",
            &said.on_miss,
            &[("load", false), ("miss", true)],
        )?;
        share(s, "cold_share", said.cold_share, 0.0, 1.0)?;
        share(s, "tip_factor", said.tip_factor, 0.01, 1e6)?;
        share(s, "controllers", said.controllers.into(), 1.0, 10_000.0)?;
        self.zones = if said.zones.is_empty() {
            vec!["one".into()]
        } else {
            said.zones
        };
        (self.answer_margin, self.order_timeout) = (said.answer_margin.0, said.order_timeout.0);
        self.connect_timeout = said.connect_timeout.0;
        self.deployment = Deployment {
            controllers: said.controllers,
            attempt_limit: said.dispatches,
            may_attempt_in_parallel: said.parallel_dispatches,
            may_cancel: said.cancel,
            may_load: said.orders,
            reports_misses: misses,
            keep_alive: said.keep_alive.0,
            max_retry_after: said.come_back_most.map(|s| s.0),
            load_window: said.order_window.0,
            free_loads: said.orders_free,
            loads_per_invocation: said.orders_share,
            drain_grace: said.drain_grace.0,
            initial_capacity_share: said.cold_share,
            warm_up_time: said.cold_time.0,
            overload_factor: said.tip_factor,
            overload_window: said.tip_window.0,
            over_quota_value_share: said.over_share_value,
            max_event_interval: 10,
            ..std::mem::take(&mut self.deployment)
        };
        Ok(())
    }

    fn trigger_type(&mut self, s: &Statement) -> Result<(), ScriptError> {
        let said: SaidTrigger = s.read()?;
        let effects = [
            ("idempotent", Effect::Idempotent),
            ("tokened", Effect::IdempotencyKey),
            ("non-idempotent", Effect::NonIdempotent),
        ];
        let scopes = [
            ("all", KeyScope::All),
            ("zone", KeyScope::Zone),
            ("cell", KeyScope::Cell),
        ];
        self.deployment.trigger_types.push(TriggerType {
            latency_objective: said.objective.0,
            client_timeout: said.client_timeout.0,
            effect: word(s, "effect", &said.effect, &effects)?,
            key_scope: word(s, "scope", &said.scope, &scopes)?,
            idempotency_window: said.repeat_window.0,
            billed_value: share(s, "billed_value", said.billed_value, 0.0, 1e9)?,
            late_value_share: share(s, "late_share", said.late_share, 0.0, 1.0)?,
        });
        self.trigger_type_names.push(said.name);
        Ok(())
    }

    fn invokers(&mut self, s: &Statement) -> Result<(), ScriptError> {
        let said: SaidInvokers = s.read()?;
        let kind = named(s, "machine", &said.kind, &self.kinds, |k| &k.name)?;
        let zone = match &said.zone {
            None => 0,
            Some(zone) => named(s, "zone of the deployment", zone, &self.zones, |z| z)?,
        };
        share(s, "count", said.count.into(), 1.0, 100_000.0)?;
        let first_cell = self.invokers.last().map_or(0, |i| i.cell + 1);
        for n in 0..said.count {
            let invoker = self.invokers.len() as u32 + 1;
            let cell = first_cell + (n / said.cell_size.max(1)) as u16;
            self.invokers.push(InvokerSpec {
                invoker,
                kind,
                zone: zone as u8,
                cell,
            });
        }
        Ok(())
    }

    /// What an invoker of a kind counts for beside others.
    pub fn size(&self, kind: usize) -> f32 {
        let kind = &self.kinds[kind];
        (f64::from(kind.cores) * kind.speed) as f32
    }

    pub fn load(file: &str, text: &str) -> Result<(Self, Vec<Statement>), ScriptError> {
        Self::from(file, crate::script::run(file, text)?)
    }
}
