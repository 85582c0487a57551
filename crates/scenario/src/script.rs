//! Parses the script of a day: the deployment, its traffic, its network and its troubles (injected faults).

use saltdrum::interface::{SECOND, Ticks};
use saltdrum_deployment::units::{Memory, Span};
use saltdrum_deployment::{DeploymentSpec, ScriptError, Statement, script};
use saltdrum_load::Shape;
use saltdrum_registry::Name;
use serde::Deserialize;

/// How invokers obtain models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layers {
    /// As one file from the plain store.
    Off,
    /// In chunks, where every invoker fetches from the store on its own. The baseline.
    Alone,
    /// In chunks, each fetched once from the store and shared between invokers.
    Shared,
}

/// A scripted day.
#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub terms: DeploymentSpec,
    pub length: Ticks,
    pub seed: u64,
    /// Client connections to each controller.
    pub connections: u32,
    /// Maximum number of client retries.
    pub retries: u32,
    pub backoff: Ticks,
    /// Delay with which the endpoint list reports a change.
    pub list_notice: Ticks,
    pub store_limit: usize,
    pub layers: Layers,
    /// Size of each function's synthetic model. Real models are thousands of times larger.
    pub model_bytes: usize,
    /// Versions of each function's model in the registry, which clients invoke by an alias; 0: no registry.
    pub versions: u32,
    /// Interval at which aliases move to the next version; 0: never.
    pub moves: Ticks,
    /// Whether each move starts with a stage, that is on a share of passages only.
    pub staged: bool,
    /// Invocations per passage.
    pub passage: u32,
    /// Whether clients return the version of a passage with its next invocation; otherwise passages mix versions.
    pub hands_back: bool,
    pub network: Network,
    pub traffic: Vec<Traffic>,
    pub troubles: Vec<Trouble>,
}

/// The emulated network between hosts in virtual time. A day on the machine's own sockets does not use it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Network {
    pub delay: Ticks,
    /// Maximum additional random delay.
    pub jitter: Ticks,
    /// Outgoing bandwidth of each host; 0: unlimited.
    pub bytes_per_second: f64,
    /// Maximum offset of the clocks of controllers and invokers.
    pub clocks_ahead: Ticks,
    /// Maximum drift of these clocks in either direction, in parts per million.
    pub clocks_drift: u32,
}

/// The load of one tenant.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub tenant: usize,
    /// Function names in order of popularity.
    pub functions: Vec<String>,
    pub zipf: f64,
    pub per_second: f64,
    pub shape: Shape,
    /// Interval at which the least popular function becomes the most popular; 0: never.
    pub turnover: Ticks,
    /// Mean work per invocation.
    pub work: Ticks,
    /// Coefficient of variation of work: standard deviation over mean.
    pub spread: f64,
    pub from: Ticks,
    pub to: Ticks,
}

/// The kinds of troubles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Crash,
    Slow,
    Hang,
    FastErrors,
    LateReports,
    HotFunction,
    HeavyTail,
    ZoneCut,
    Deploy,
    ControllerCrash,
    ControllerRoll,
    ControllerStall,
    StoreSlow,
    StoreRefuses,
    Flush,
    RefusedForRoom,
    Ageing,
    AnswersLost,
    ClientHangUps,
    SlowReaders,
    StuckSockets,
    HalfFrames,
    BadInput,
    ListLost,
    LineCut,
    LineSlow,
    PowerCut,
    StoreDamages,
    RegistryLost,
    RegistryCut,
    Withdrawn,
    VersionErrs,
}

/// Names of the kinds of troubles in scripts.
const KINDS: &[(&str, Kind)] = &[
    ("crash", Kind::Crash),
    ("slow", Kind::Slow),
    ("hang", Kind::Hang),
    ("fast_errors", Kind::FastErrors),
    ("late_reports", Kind::LateReports),
    ("hot_function", Kind::HotFunction),
    ("heavy_tail", Kind::HeavyTail),
    ("zone_cut", Kind::ZoneCut),
    ("deploy", Kind::Deploy),
    ("controller_crash", Kind::ControllerCrash),
    ("controller_roll", Kind::ControllerRoll),
    ("controller_stall", Kind::ControllerStall),
    ("store_slow", Kind::StoreSlow),
    ("store_refuses", Kind::StoreRefuses),
    ("flush", Kind::Flush),
    ("refused_for_room", Kind::RefusedForRoom),
    ("ageing", Kind::Ageing),
    ("answers_lost", Kind::AnswersLost),
    ("client_hang_ups", Kind::ClientHangUps),
    ("slow_readers", Kind::SlowReaders),
    ("stuck_sockets", Kind::StuckSockets),
    ("half_frames", Kind::HalfFrames),
    ("bad_input", Kind::BadInput),
    ("list_lost", Kind::ListLost),
    ("line_cut", Kind::LineCut),
    ("line_slow", Kind::LineSlow),
    ("power_cut", Kind::PowerCut),
    ("store_damages", Kind::StoreDamages),
    ("registry_lost", Kind::RegistryLost),
    ("registry_cut", Kind::RegistryCut),
    ("withdrawn", Kind::Withdrawn),
    ("version_errs", Kind::VersionErrs),
];

/// A fault that is injected for a time.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Kind,
    pub name: &'static str,
    pub at: Ticks,
    pub lasts: Ticks,
    /// Affected invokers.
    pub invokers: Vec<u32>,
    /// Affected controllers.
    pub controllers: Vec<u32>,
    pub zone: Option<u8>,
    pub tenant: Option<String>,
    pub functions: Vec<String>,
    /// Affected share of dispatches, responses, functions or invocations.
    pub part: f64,
    /// Factor of the slowdown, or of the additional work.
    pub times: f64,
    pub delay: Ticks,
    /// Number of processes restarted at a time in a deploy or a roll.
    pub batch: usize,
    /// Affected directions of a connection: from controllers to invokers, and back.
    pub ways: (bool, bool),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DayArguments {
    name: String,
    length: Span,
    #[serde(default)]
    seed: u64,
    #[serde(default = "default_connections")]
    connections: u32,
    #[serde(default)]
    retries: u32,
    #[serde(default = "default_backoff")]
    backoff: Span,
    #[serde(default = "default_list_delay")]
    list_notice: Span,
    #[serde(default = "default_store_limit")]
    store_limit: usize,
    #[serde(default = "default_layers")]
    layers: String,
    #[serde(default = "default_model_size")]
    model: Memory,
    #[serde(default)]
    versions: u32,
    #[serde(default)]
    moves: Span,
    #[serde(default)]
    staged: bool,
    #[serde(default = "default_passage_length")]
    passage: u32,
    #[serde(default = "default_true")]
    hands_back: bool,
}

fn default_passage_length() -> u32 {
    3
}
fn default_true() -> bool {
    true
}

fn default_layers() -> String {
    "off".into()
}
fn default_model_size() -> Memory {
    Memory(2.0)
}

fn default_connections() -> u32 {
    4
}
fn default_backoff() -> Span {
    Span(1_000)
}
fn default_list_delay() -> Span {
    Span(3_000)
}
fn default_store_limit() -> usize {
    24
}
fn default_one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TrafficArguments {
    tenant: String,
    functions: Vec<String>,
    #[serde(default = "default_one")]
    zipf: f64,
    #[serde(default)]
    per_second: f64,
    #[serde(default)]
    at_once: u32,
    work: Span,
    #[serde(default = "default_one")]
    spread: f64,
    #[serde(default)]
    begin: Span,
    end: Option<Span>,
    /// One of steady, bursty, afternoon, ramp and season.
    shape: Option<String>,
    /// Factor of bursts, least share of an afternoon, or swing of a season.
    times: Option<f64>,
    /// Length of a burst, period of a season, or, with `at_once`, the time over which the invocations are spread.
    lasts: Option<Span>,
    #[serde(default)]
    turnover: Span,
}

impl TrafficArguments {
    fn shape(&self) -> Result<Shape, String> {
        if self.at_once > 0 {
            // People who start at the same signal, such as a class, do not act at the same instant.
            let spread = self.lasts.map_or(SECOND / 2, |s| s.0);
            return Ok(Shape::Group {
                count: self.at_once,
                spread,
            });
        }
        let times = |min: f64, max: f64, default: f64| match self.times.unwrap_or(default) {
            factor if (min..=max).contains(&factor) => Ok(factor),
            factor => Err(format!(
                "times {factor}: {min} to {max} are expected for this shape"
            )),
        };
        let lasts = |default: Ticks| self.lasts.map_or(default, |s| s.0);
        match self.shape.as_deref() {
            None | Some("steady") => Ok(Shape::Steady),
            Some("bursty") => Ok(Shape::Bursty {
                rate_factor: times(1.0, 100.0, 5.0)?,
                mean_duration: lasts(SECOND),
            }),
            Some("afternoon") => Ok(Shape::Afternoon {
                min_share: times(0.0, 1.0, 0.2)?,
            }),
            Some("ramp") => Ok(Shape::Ramp),
            Some("season") => Ok(Shape::Season {
                amplitude: times(0.0, 1.0, 0.5)?,
                period: lasts(20 * SECOND),
            }),
            Some(other) => Err(format!(
                "shape '{other}': one of steady, bursty, afternoon, ramp, season is expected"
            )),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TroubleArguments {
    name: String,
    at: Span,
    lasts: Option<Span>,
    invokers: Option<Vec<u32>>,
    controllers: Option<Vec<u32>>,
    zone: Option<String>,
    tenant: Option<String>,
    #[serde(default)]
    functions: Vec<String>,
    part: Option<f64>,
    times: Option<f64>,
    delay: Option<Span>,
    #[serde(default = "default_batch")]
    batch: usize,
    one_way: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct NetworkArguments {
    #[serde(default)]
    delay: Span,
    #[serde(default)]
    jitter: Span,
    /// Bandwidth, per second.
    #[serde(default)]
    bandwidth: Memory,
    #[serde(default)]
    clocks_ahead: Span,
    #[serde(default)]
    clocks_drift_ppm: u32,
}

fn default_batch() -> usize {
    1
}

/// Returns an error if one of the functions is not stated.
fn check_functions(
    statement: &Statement,
    terms: &DeploymentSpec,
    functions: &[String],
) -> Result<(), ScriptError> {
    match functions
        .iter()
        .find(|function| !terms.functions.contains_key(*function))
    {
        Some(function) => Err(statement.fault(format!("no function is named '{function}'"))),
        None => Ok(()),
    }
}

impl Day {
    /// Parses a script's text; `file` is its name in errors.
    pub fn load(file: &str, text: &str) -> Result<Self, ScriptError> {
        let (terms, statements) = DeploymentSpec::load(file, text)?;
        let file_error = |why: &str| ScriptError {
            place: script::SourceLocation {
                file: file.into(),
                line: 1,
            },
            why: why.into(),
        };
        let mut day_statements = statements
            .iter()
            .filter(|statement| statement.what == "day");
        let day_statement = day_statements
            .next()
            .ok_or_else(|| file_error("no day(...) is stated"))?;
        if let Some(duplicate) = day_statements.next() {
            return Err(duplicate.fault("stated a second time"));
        }
        let args: DayArguments = day_statement.read()?;
        if terms.invokers.is_empty() {
            return Err(file_error("no invokers(...) are stated"));
        }
        let layers = match args.layers.as_str() {
            "off" => Layers::Off,
            "alone" => Layers::Alone,
            "shared" => Layers::Shared,
            other => {
                return Err(day_statement.fault(format!(
                    "layers '{other}': one of off, alone, shared is expected"
                )));
            }
        };
        if !(0.1..=64.0).contains(&args.model.0) {
            return Err(day_statement.fault("model: 0.1MB to 64MB are expected"));
        }
        if args.versions > 100 || !(1..=1_000).contains(&args.passage) {
            return Err(day_statement.fault("versions: up to 100, passage: 1 to 1000 are expected"));
        }
        if args.versions < 2 && args.moves.0 > 0 {
            return Err(day_statement.fault("moves: at least two versions are expected"));
        }
        if let Some(invalid_name) = terms
            .functions
            .keys()
            .find(|f| args.versions > 0 && f.parse::<Name>().is_err())
        {
            return Err(day_statement.fault(format!(
                "versions: function '{invalid_name}' can't be the name of a model"
            )));
        }
        let mut day = Self {
            versions: args.versions,
            moves: args.moves.0,
            staged: args.staged,
            passage: args.passage,
            hands_back: args.hands_back,
            layers,
            model_bytes: (args.model.0 * 1e6) as usize,
            network: Network::default(),
            name: args.name,
            length: args.length.0,
            seed: args.seed,
            connections: args.connections.max(1),
            retries: args.retries,
            backoff: args.backoff.0,
            list_notice: args.list_notice.0,
            store_limit: args.store_limit,
            traffic: Vec::new(),
            troubles: Vec::new(),
            terms,
        };
        let mut network_statements = statements
            .iter()
            .filter(|statement| statement.what == "network");
        if let Some(statement) = network_statements.next() {
            let args: NetworkArguments = statement.read()?;
            if args.clocks_drift_ppm > 10_000 {
                return Err(statement.fault("clocks_drift_ppm: 0 to 10000 are expected"));
            }
            day.network = Network {
                delay: args.delay.0,
                jitter: args.jitter.0,
                bytes_per_second: args.bandwidth.0 * 1e6,
                clocks_ahead: args.clocks_ahead.0,
                clocks_drift: args.clocks_drift_ppm,
            };
        }
        if let Some(duplicate) = network_statements.next() {
            return Err(duplicate.fault("stated a second time"));
        }
        for statement in statements
            .iter()
            .filter(|statement| statement.what == "traffic")
        {
            let traffic = day.parse_traffic(statement)?;
            day.traffic.push(traffic);
        }
        for statement in statements
            .iter()
            .filter(|statement| statement.what == "trouble")
        {
            let trouble = day.parse_trouble(statement)?;
            day.troubles.push(trouble);
        }
        day.troubles.sort_by_key(|t| t.at);
        if day.traffic.is_empty() {
            Err(file_error("no traffic(...) is stated"))
        } else {
            Ok(day)
        }
    }

    fn parse_traffic(&self, statement: &Statement) -> Result<Traffic, ScriptError> {
        let args: TrafficArguments = statement.read()?;
        let tenant = self
            .terms
            .tenant_names
            .iter()
            .position(|t| *t == args.tenant);
        let tenant = tenant
            .ok_or_else(|| statement.fault(format!("no tenant is named '{}'", args.tenant)))?;
        check_functions(statement, &self.terms, &args.functions)?;
        if args.functions.is_empty() || (args.per_second <= 0.0) == (args.at_once == 0) {
            return Err(statement.fault("functions and either per_second or at_once are expected"));
        }
        let shape = args.shape().map_err(|why| statement.fault(why))?;
        Ok(Traffic {
            tenant,
            shape,
            turnover: args.turnover.0,
            functions: args.functions,
            zipf: args.zipf,
            per_second: args.per_second,
            work: args.work.0,
            spread: args.spread,
            from: args.begin.0,
            to: args.end.map_or(self.length, |t| t.0.min(self.length)),
        })
    }

    fn parse_trouble(&self, statement: &Statement) -> Result<Trouble, ScriptError> {
        let args: TroubleArguments = statement.read()?;
        let known_kind = KINDS.iter().find(|(name, _)| *name == args.name);
        let (name, kind) = *known_kind.ok_or_else(|| {
            let known_names: Vec<&str> = KINDS.iter().map(|k| k.0).collect();
            statement.fault(format!(
                "'{}' is no trouble; known are {}",
                args.name,
                known_names.join(", ")
            ))
        })?;
        check_functions(statement, &self.terms, &args.functions)?;
        if self.versions == 0
            && matches!(
                kind,
                Kind::RegistryLost | Kind::RegistryCut | Kind::Withdrawn | Kind::VersionErrs
            )
        {
            return Err(statement.fault(format!("{name}: versions are expected in day(...)")));
        }
        let missing = |what: &str| statement.fault(format!("{name}: {what} is expected"));
        if !matches!(
            kind,
            Kind::Flush | Kind::BadInput | Kind::Deploy | Kind::Withdrawn
        ) && args.lasts.is_none()
        {
            return Err(missing("lasts"));
        }
        // Without a list, these kinds would affect all processes and end the day, so a list is required.
        let requires_invokers = matches!(
            kind,
            Kind::Crash
                | Kind::PowerCut
                | Kind::Slow
                | Kind::Hang
                | Kind::Ageing
                | Kind::StuckSockets
                | Kind::HalfFrames
        );
        let requires_controllers = matches!(
            kind,
            Kind::ControllerCrash
                | Kind::ControllerRoll
                | Kind::ControllerStall
                | Kind::LineCut
                | Kind::RegistryCut
        );
        if requires_invokers && args.invokers.is_none() {
            return Err(missing("invokers = [...]"));
        }
        if requires_controllers && args.controllers.is_none() {
            return Err(missing("controllers = [...]"));
        }
        if kind == Kind::LineSlow && args.delay.is_none() {
            return Err(missing("delay"));
        }
        let ways = match args.one_way.as_deref() {
            None => (true, true),
            Some("to_invokers") => (true, false),
            Some("to_controllers") => (false, true),
            Some(other) => {
                let why = format!("one_way '{other}': to_invokers or to_controllers is expected");
                return Err(statement.fault(why));
            }
        };
        if matches!(kind, Kind::Slow | Kind::StoreSlow | Kind::HeavyTail) && args.times.is_none() {
            return Err(missing("times"));
        }
        if kind == Kind::HotFunction && args.functions.is_empty() {
            return Err(missing("functions = [...]"));
        }
        if kind == Kind::RefusedForRoom && args.tenant.is_none() {
            return Err(missing("tenant"));
        }
        if let Some(tenant) = args
            .tenant
            .iter()
            .find(|t| !self.terms.tenant_names.contains(t))
        {
            return Err(statement.fault(format!("no tenant is named '{tenant}'")));
        }
        let zone = match &args.zone {
            Some(zone) => {
                let position = self.terms.zones.iter().position(|z| z == zone);
                Some(
                    position.ok_or_else(|| statement.fault(format!("no zone is named '{zone}'")))?
                        as u8,
                )
            }
            None if kind == Kind::ZoneCut => return Err(missing("zone")),
            None => None,
        };
        let invoker_count = self.terms.invokers.len() as u32;
        let all: Vec<u32> = (1..=invoker_count).collect();
        let invokers = args.invokers.unwrap_or(all);
        if let Some(invalid) = invokers.iter().find(|i| !(1..=invoker_count).contains(i)) {
            return Err(statement.fault(format!(
                "invoker {invalid}: 1 to {invoker_count} are stated"
            )));
        }
        let controller_count = self.terms.deployment.controllers;
        let all = if kind == Kind::LineSlow {
            (1..=controller_count).collect()
        } else {
            Vec::new()
        };
        let controllers = args.controllers.unwrap_or(all);
        if let Some(invalid) = controllers
            .iter()
            .find(|c| !(1..=controller_count).contains(c))
        {
            return Err(statement.fault(format!(
                "controller {invalid}: 1 to {controller_count} are stated"
            )));
        }
        Ok(Trouble {
            kind,
            name,
            at: args.at.0,
            lasts: args.lasts.unwrap_or_default().0,
            invokers,
            controllers,
            zone,
            tenant: args.tenant,
            functions: args.functions,
            part: args.part.unwrap_or(1.0),
            times: args.times.unwrap_or(1.0),
            delay: args.delay.unwrap_or_default().0,
            batch: args.batch.max(1),
            ways,
        })
    }
}
