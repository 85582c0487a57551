//! The deployment's specification, which controllers, invokers and stand-ins receive at start.

use crate::script::{ScriptError, Statement};
use crate::units::{Memory, Span};
use saltdrum::interface::{Deployment, Effect, FunctionId, KeyScope, Tenant, Ticks, TriggerType};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A function of the deployment.
#[derive(Clone, Debug)]
pub struct Function {
    /// The name that clients use.
    pub name: String,
    pub id: FunctionId,
    /// Index into [`DeploymentSpec::trigger_type_names`].
    pub trigger: usize,
    /// Memory of one instance, in MB.
    pub memory: f64,
    /// Concurrent invocations per instance.
    pub lanes: f64,
    /// Expected load time, if the script states one.
    pub load: Option<Ticks>,
}

/// A kind of machine that invokers run on, including the parameters that only stand-in invokers use.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    pub name: String,
    pub memory: Memory,
    pub cores: u32,
    /// Relative speed of a core.
    #[serde(default = "default_one")]
    pub speed: f64,
    #[serde(default = "default_four")]
    pub slots_per_core: u32,
    #[serde(default = "default_four")]
    pub queue_per_core: u32,
    #[serde(default = "default_four")]
    pub loads_at_once: u32,
}

fn default_one() -> f64 {
    1.0
}

fn default_four() -> u32 {
    4
}

/// One invoker. Invokers are numbered from 1 in the script's order.
#[derive(Clone, Debug)]
pub struct InvokerSpec {
    pub invoker: u32,
    /// Index into [`DeploymentSpec::kinds`].
    pub kind: usize,
    pub zone: u8,
    pub cell: u16,
}

/// A deployment as its script describes it.
#[derive(Clone, Debug, Default)]
pub struct DeploymentSpec {
    pub deployment: Deployment,
    /// Names of the trigger types, in the order of the deployment's.
    pub trigger_type_names: Vec<String>,
    /// Names of the tenants, in the order of the deployment's.
    pub tenant_names: Vec<String>,
    /// Functions by name.
    pub functions: BTreeMap<String, Function>,
    pub kinds: Vec<MachineKind>,
    pub invokers: Vec<InvokerSpec>,
    /// Names of the zones; an invoker's zone is an index into them.
    pub zones: Vec<String>,
    /// Subtracted from the client's timeout to leave time for the response to reach the client.
    pub answer_margin: Ticks,
    /// A load order without a reply within this time is abandoned.
    pub order_timeout: Ticks,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Ticks,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DeploymentArguments {
    controllers: u32,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default = "default_dispatch_limit")]
    dispatches: u8,
    #[serde(default)]
    parallel_dispatches: bool,
    #[serde(default = "default_true")]
    cancel: bool,
    #[serde(default = "default_true")]
    orders: bool,
    #[serde(default = "default_on_miss")]
    on_miss: String,
    keep_alive: Span,
    come_back_most: Option<Span>,
    #[serde(default)]
    order_window: Span,
    #[serde(default)]
    orders_free: f64,
    #[serde(default)]
    orders_share: f64,
    #[serde(default = "default_load_order_timeout")]
    order_timeout: Span,
    #[serde(default = "default_grace")]
    drain_grace: Span,
    cold_share: f64,
    cold_time: Span,
    tip_factor: f64,
    tip_window: Span,
    #[serde(default = "default_over_share_value")]
    over_share_value: f64,
    #[serde(default = "default_answer_margin")]
    answer_margin: Span,
    #[serde(default = "default_grace")]
    connect_timeout: Span,
}

fn default_dispatch_limit() -> u8 {
    6
}
fn default_true() -> bool {
    true
}
fn default_on_miss() -> String {
    "load".into()
}
fn default_load_order_timeout() -> Span {
    Span(100_000)
}
fn default_grace() -> Span {
    Span(2_500)
}
fn default_answer_margin() -> Span {
    Span(500)
}
fn default_over_share_value() -> f64 {
    0.1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TriggerTypeArguments {
    name: String,
    objective: Span,
    client_timeout: Span,
    #[serde(default = "default_effect")]
    effect: String,
    #[serde(default = "default_scope")]
    scope: String,
    #[serde(default)]
    repeat_window: Span,
    #[serde(default = "default_one")]
    billed_value: f64,
    #[serde(default)]
    late_share: f64,
}

fn default_effect() -> String {
    "idempotent".into()
}
fn default_scope() -> String {
    "all".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantArguments {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FunctionArguments {
    name: String,
    trigger: String,
    memory: Memory,
    #[serde(default = "default_one")]
    lanes: f64,
    load_time: Option<Span>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InvokersArguments {
    kind: String,
    count: u32,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default = "default_four")]
    cell_size: u32,
}

/// Returns the meaning of an argument that is one of several words.
fn parse_choice<T: Copy>(
    statement: &Statement,
    name: &str,
    value: &str,
    choices: &[(&str, T)],
) -> Result<T, ScriptError> {
    choices
        .iter()
        .find(|(word, _)| *word == value)
        .map(|(_, meaning)| *meaning)
        .ok_or_else(|| {
            let known: Vec<&str> = choices.iter().map(|choice| choice.0).collect();
            statement.fault(format!(
                "{name} '{value}': one of {} is expected",
                known.join(", ")
            ))
        })
}

/// Derives a function's id from its name, so that every controller and invoker computes the same one.
pub fn function_id(name: &str) -> FunctionId {
    let digest = blake3::hash(name.as_bytes());
    u64::from_le_bytes(
        *digest
            .as_bytes()
            .first_chunk()
            .expect("a digest has 32 bytes"),
    )
}

/// Returns the index of the item with this name among those stated above the statement.
fn index_of<T>(
    statement: &Statement,
    what: &str,
    name: &str,
    items: &[T],
    name_of: impl Fn(&T) -> &str,
) -> Result<usize, ScriptError> {
    items
        .iter()
        .position(|item| name_of(item) == name)
        .ok_or_else(|| statement.fault(format!("no {what} is named '{name}' above this line")))
}

/// Returns the value if it lies between the two bounds, inclusive.
fn check_range(
    statement: &Statement,
    name: &str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<f64, ScriptError> {
    let is_in_range = value.is_finite() && (min..=max).contains(&value);
    is_in_range
        .then_some(value)
        .ok_or_else(|| statement.fault(format!("{name} = {value}: {min} to {max} is expected")))
}

impl DeploymentSpec {
    /// Builds the specification from the statements that describe the deployment and returns the others.
    pub fn from(
        file: &str,
        statements: Vec<Statement>,
    ) -> Result<(Self, Vec<Statement>), ScriptError> {
        let (mut spec, mut other_statements, mut has_deployment) =
            (Self::default(), Vec::new(), false);
        for statement in statements {
            match statement.what {
                "deployment" => {
                    if std::mem::replace(&mut has_deployment, true) {
                        return Err(statement.fault("stated a second time"));
                    }
                    spec.add_deployment(&statement)?;
                }
                "machine" => {
                    let kind: MachineKind = statement.read()?;
                    check_range(&statement, "speed", kind.speed, 0.01, 100.0)?;
                    check_range(&statement, "cores", kind.cores.into(), 1.0, 4_096.0)?;
                    spec.deployment.machine_memory_mb.push(kind.memory.0);
                    spec.kinds.push(kind);
                }
                "trigger_type" => spec.add_trigger_type(&statement)?,
                "tenant" => {
                    let args: TenantArguments = statement.read()?;
                    check_range(&statement, "quota_per_s", args.quota_per_s, 0.0, 1e9)?;
                    spec.deployment.tenants.push(Tenant {
                        quota_per_second: args.quota_per_s,
                    });
                    spec.tenant_names.push(args.name);
                }
                "function" => {
                    let args: FunctionArguments = statement.read()?;
                    let trigger = index_of(
                        &statement,
                        "trigger_type",
                        &args.trigger,
                        &spec.trigger_type_names,
                        |name| name,
                    )?;
                    let (id, name) = (function_id(&args.name), args.name);
                    let lanes = check_range(&statement, "lanes", args.lanes, 1.0, 1_024.0)?;
                    let load = args.load_time.map(|time| time.0);
                    let function = Function {
                        name: name.clone(),
                        id,
                        trigger,
                        memory: args.memory.0,
                        lanes,
                        load,
                    };
                    if spec.functions.insert(name, function).is_some() {
                        return Err(statement.fault("a function of this name is stated above"));
                    }
                }
                "invokers" => spec.add_invokers(&statement)?,
                _ => other_statements.push(statement),
            }
        }
        let missing = [
            ("deployment", !has_deployment),
            ("machine", spec.kinds.is_empty()),
            ("trigger_type", spec.trigger_type_names.is_empty()),
            ("tenant", spec.tenant_names.is_empty()),
        ];
        if let Some((what, _)) = missing.iter().find(|(_, is_missing)| *is_missing) {
            let place = crate::script::SourceLocation {
                file: file.into(),
                line: 1,
            };
            return Err(ScriptError {
                place,
                why: format!("no {what}(...) is stated"),
            });
        }
        Ok((spec, other_statements))
    }

    fn add_deployment(&mut self, statement: &Statement) -> Result<(), ScriptError> {
        let args: DeploymentArguments = statement.read()?;
        let reports_misses = parse_choice(
            statement,
            "on_miss",
            &args.on_miss,
            &[("load", false), ("miss", true)],
        )?;
        check_range(statement, "cold_share", args.cold_share, 0.0, 1.0)?;
        check_range(statement, "tip_factor", args.tip_factor, 0.01, 1e6)?;
        check_range(
            statement,
            "controllers",
            args.controllers.into(),
            1.0,
            10_000.0,
        )?;
        self.zones = if args.zones.is_empty() {
            vec!["one".into()]
        } else {
            args.zones
        };
        (self.answer_margin, self.order_timeout) = (args.answer_margin.0, args.order_timeout.0);
        self.connect_timeout = args.connect_timeout.0;
        self.deployment = Deployment {
            controllers: args.controllers,
            attempt_limit: args.dispatches,
            may_attempt_in_parallel: args.parallel_dispatches,
            may_cancel: args.cancel,
            may_load: args.orders,
            reports_misses,
            keep_alive: args.keep_alive.0,
            max_retry_after: args.come_back_most.map(|time| time.0),
            load_window: args.order_window.0,
            free_loads: args.orders_free,
            loads_per_invocation: args.orders_share,
            drain_grace: args.drain_grace.0,
            initial_capacity_share: args.cold_share,
            warm_up_time: args.cold_time.0,
            overload_factor: args.tip_factor,
            overload_window: args.tip_window.0,
            over_quota_value_share: args.over_share_value,
            max_event_interval: 10,
            ..std::mem::take(&mut self.deployment)
        };
        Ok(())
    }

    fn add_trigger_type(&mut self, statement: &Statement) -> Result<(), ScriptError> {
        let args: TriggerTypeArguments = statement.read()?;
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
            latency_objective: args.objective.0,
            client_timeout: args.client_timeout.0,
            effect: parse_choice(statement, "effect", &args.effect, &effects)?,
            key_scope: parse_choice(statement, "scope", &args.scope, &scopes)?,
            idempotency_window: args.repeat_window.0,
            billed_value: check_range(statement, "billed_value", args.billed_value, 0.0, 1e9)?,
            late_value_share: check_range(statement, "late_share", args.late_share, 0.0, 1.0)?,
        });
        self.trigger_type_names.push(args.name);
        Ok(())
    }

    fn add_invokers(&mut self, statement: &Statement) -> Result<(), ScriptError> {
        let args: InvokersArguments = statement.read()?;
        let kind = index_of(statement, "machine", &args.kind, &self.kinds, |kind| {
            &kind.name
        })?;
        let zone = match &args.zone {
            None => 0,
            Some(zone) => index_of(
                statement,
                "zone of the deployment",
                zone,
                &self.zones,
                |zone| zone,
            )?,
        };
        check_range(statement, "count", args.count.into(), 1.0, 100_000.0)?;
        let first_cell = self.invokers.last().map_or(0, |invoker| invoker.cell + 1);
        for index in 0..args.count {
            let invoker = self.invokers.len() as u32 + 1;
            let cell = first_cell + (index / args.cell_size.max(1)) as u16;
            self.invokers.push(InvokerSpec {
                invoker,
                kind,
                zone: zone as u8,
                cell,
            });
        }
        Ok(())
    }

    /// The relative capacity of an invoker on this kind of machine: cores times speed.
    pub fn size(&self, kind: usize) -> f32 {
        let kind = &self.kinds[kind];
        (f64::from(kind.cores) * kind.speed) as f32
    }

    /// Evaluates a script's text and builds the specification; `file` is its name in errors. Also returns the statements that
    /// do not describe the deployment.
    pub fn load(file: &str, text: &str) -> Result<(Self, Vec<Statement>), ScriptError> {
        Self::from(file, crate::script::run(file, text)?)
    }
}
