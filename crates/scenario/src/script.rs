//! A day as its script states it.

use saltdrum::interface::{SECOND, Ticks};
use saltdrum_deployment::units::{Memory, Span};
use saltdrum_deployment::{DeploymentSpec, ScriptError, Statement, script};
use saltdrum_load::Shape;
use saltdrum_registry::Name;
use serde::Deserialize;

/// How models reach invokers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Layers {
    /// Whole, from the plain store.
    Off,
    /// In chunks; every invoker asks the store for itself. The baseline.
    Alone,
    /// In chunks, each fetched once and shared.
    Shared,
}

#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub terms: DeploymentSpec,
    pub length: Ticks,
    pub seed: u64,
    /// Connections that clients keep to each controller.
    pub connections: u32,
    /// Further tries of a client.
    pub retries: u32,
    pub backoff: Ticks,
    /// So late is the list with what happens.
    pub list_notice: Ticks,
    pub store_limit: usize,
    pub layers: Layers,
    /// Of a model that stands for each function's, which would be thousands of times larger.
    pub model_bytes: usize,
    /// Each function is a model of the registry with so many versions, called by an alias; 0: no registry.
    pub versions: u32,
    /// Aliases move to the next version so often; 0: never.
    pub moves: Ticks,
    /// Each move is tried on a share of passages first.
    pub staged: bool,
    /// Invocations of a passage.
    pub passage: u32,
    /// Whether clients hand versions back; without it, passages mix.
    pub hands_back: bool,
    pub network: Network,
    pub traffic: Vec<Traffic>,
    pub troubles: Vec<Trouble>,
}

/// What lies between hosts in virtual time. On the machine's own sockets it is what it is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Network {
    pub delay: Ticks,
    /// Up to so much more.
    pub jitter: Ticks,
    /// Of each host's way out; 0: no bound.
    pub bytes_per_second: f64,
    /// Controllers' clocks are ahead by up to so much,
    pub clocks_ahead: Ticks,
    /// and run fast or slow by up to so many millionths.
    pub clocks_drift: u32,
}

/// Load of one tenant.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub tenant: usize,
    /// Names; the first is called most.
    pub functions: Vec<String>,
    pub zipf: f64,
    pub per_second: f64,
    pub shape: Shape,
    /// So often the last of the functions becomes the first; 0: never.
    pub turnover: Ticks,
    pub work: Ticks,
    /// Standard deviation of work over its mean.
    pub spread: f64,
    pub from: Ticks,
    pub to: Ticks,
}

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

#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Kind,
    pub name: &'static str,
    pub at: Ticks,
    pub lasts: Ticks,
    /// Struck invokers.
    pub invokers: Vec<u32>,
    /// Struck controllers.
    pub controllers: Vec<u32>,
    pub zone: Option<u8>,
    pub tenant: Option<String>,
    pub functions: Vec<String>,
    /// Share of what it strikes: dispatches, answers, functions, invocations.
    pub part: f64,
    /// How many times slower, or more work.
    pub times: f64,
    pub delay: Ticks,
    /// Struck at a time, in a deploy or a roll.
    pub batch: usize,
    /// Of a line's two ways, from controllers to invokers and back.
    pub ways: (bool, bool),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidDay {
    name: String,
    length: Span,
    #[serde(default)]
    seed: u64,
    #[serde(default = "four")]
    connections: u32,
    #[serde(default)]
    retries: u32,
    #[serde(default = "backoff")]
    backoff: Span,
    #[serde(default = "notice")]
    list_notice: Span,
    #[serde(default = "limit")]
    store_limit: usize,
    #[serde(default = "off")]
    layers: String,
    #[serde(default = "model")]
    model: Memory,
    #[serde(default)]
    versions: u32,
    #[serde(default)]
    moves: Span,
    #[serde(default)]
    staged: bool,
    #[serde(default = "three")]
    passage: u32,
    #[serde(default = "yes")]
    hands_back: bool,
}

fn three() -> u32 {
    3
}
fn yes() -> bool {
    true
}

fn off() -> String {
    "off".into()
}
fn model() -> Memory {
    Memory(2.0)
}

fn four() -> u32 {
    4
}
fn backoff() -> Span {
    Span(1_000)
}
fn notice() -> Span {
    Span(3_000)
}
fn limit() -> usize {
    24
}
fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaidTraffic {
    tenant: String,
    functions: Vec<String>,
    #[serde(default = "one")]
    zipf: f64,
    #[serde(default)]
    per_second: f64,
    #[serde(default)]
    at_once: u32,
    work: Span,
    #[serde(default = "one")]
    spread: f64,
    #[serde(default)]
    begin: Span,
    end: Option<Span>,
    /// steady, bursty, afternoon, ramp, season
    shape: Option<String>,
    /// Of bursts and seasons: by how much.
    times: Option<f64>,
    /// Of a burst, or of a season's period; for `at_once`, within what they come.
    lasts: Option<Span>,
    #[serde(default)]
    turnover: Span,
}

impl SaidTraffic {
    fn shape(&self) -> Result<Shape, String> {
        if self.at_once > 0 {
            // A class is told to press play; nobody does within the same moment.
            let spread = self.lasts.map_or(SECOND / 2, |s| s.0);
            return Ok(Shape::Group {
                count: self.at_once,
                spread,
            });
        }
        let times = |least: f64, most: f64, usual: f64| match self.times.unwrap_or(usual) {
            n if (least..=most).contains(&n) => Ok(n),
            n => Err(format!(
                "times {n}: {least} to {most} are expected for this shape"
            )),
        };
        let lasts = |usual: Ticks| self.lasts.map_or(usual, |s| s.0);
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
struct SaidTrouble {
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
    #[serde(default = "batch")]
    batch: usize,
    one_way: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct SaidNetwork {
    #[serde(default)]
    delay: Span,
    #[serde(default)]
    jitter: Span,
    /// In a second.
    #[serde(default)]
    bandwidth: Memory,
    #[serde(default)]
    clocks_ahead: Span,
    #[serde(default)]
    clocks_drift_ppm: u32,
}

fn batch() -> usize {
    1
}

fn known(s: &Statement, terms: &DeploymentSpec, functions: &[String]) -> Result<(), ScriptError> {
    match functions.iter().find(|f| !terms.functions.contains_key(*f)) {
        Some(f) => Err(s.fault(format!("no function is named '{f}'"))),
        None => Ok(()),
    }
}

impl Day {
    /// Reads a script's text; `file` is its name in faults.
    pub fn load(file: &str, text: &str) -> Result<Self, ScriptError> {
        let (terms, rest) = DeploymentSpec::load(file, text)?;
        let at = |why: &str| ScriptError {
            place: script::SourceLocation {
                file: file.into(),
                line: 1,
            },
            why: why.into(),
        };
        let mut days = rest.iter().filter(|s| s.what == "day");
        let stated = days.next().ok_or_else(|| at("no day(...) is stated"))?;
        if let Some(second) = days.next() {
            return Err(second.fault("stated a second time"));
        }
        let said: SaidDay = stated.read()?;
        if terms.invokers.is_empty() {
            return Err(at("no invokers(...) are stated"));
        }
        let layers = match said.layers.as_str() {
            "off" => Layers::Off,
            "alone" => Layers::Alone,
            "shared" => Layers::Shared,
            other => {
                return Err(stated.fault(format!(
                    "layers '{other}': one of off, alone, shared is expected"
                )));
            }
        };
        if !(0.1..=64.0).contains(&said.model.0) {
            return Err(stated.fault("model: 0.1MB to 64MB are expected"));
        }
        if said.versions > 100 || !(1..=1_000).contains(&said.passage) {
            return Err(stated.fault("versions: up to 100, passage: 1 to 1000 are expected"));
        }
        if said.versions < 2 && said.moves.0 > 0 {
            return Err(stated.fault("moves: at least two versions are expected"));
        }
        if let Some(odd) = terms
            .functions
            .keys()
            .find(|f| said.versions > 0 && f.parse::<Name>().is_err())
        {
            return Err(stated.fault(format!(
                "versions: function '{odd}' can't be the name of a model"
            )));
        }
        let mut day = Self {
            versions: said.versions,
            moves: said.moves.0,
            staged: said.staged,
            passage: said.passage,
            hands_back: said.hands_back,
            layers,
            model_bytes: (said.model.0 * 1e6) as usize,
            network: Network::default(),
            name: said.name,
            length: said.length.0,
            seed: said.seed,
            connections: said.connections.max(1),
            retries: said.retries,
            backoff: said.backoff.0,
            list_notice: said.list_notice.0,
            store_limit: said.store_limit,
            traffic: Vec::new(),
            troubles: Vec::new(),
            terms,
        };
        let mut networks = rest.iter().filter(|s| s.what == "network");
        if let Some(s) = networks.next() {
            let said: SaidNetwork = s.read()?;
            if said.clocks_drift_ppm > 10_000 {
                return Err(s.fault("clocks_drift_ppm: 0 to 10000 are expected"));
            }
            day.network = Network {
                delay: said.delay.0,
                jitter: said.jitter.0,
                bytes_per_second: said.bandwidth.0 * 1e6,
                clocks_ahead: said.clocks_ahead.0,
                clocks_drift: said.clocks_drift_ppm,
            };
        }
        if let Some(second) = networks.next() {
            return Err(second.fault("stated a second time"));
        }
        for s in rest.iter().filter(|s| s.what == "traffic") {
            let traffic = day.one_traffic(s)?;
            day.traffic.push(traffic);
        }
        for s in rest.iter().filter(|s| s.what == "trouble") {
            let trouble = day.one_trouble(s)?;
            day.troubles.push(trouble);
        }
        day.troubles.sort_by_key(|t| t.at);
        if day.traffic.is_empty() {
            Err(at("no traffic(...) is stated"))
        } else {
            Ok(day)
        }
    }

    fn one_traffic(&self, s: &Statement) -> Result<Traffic, ScriptError> {
        let said: SaidTraffic = s.read()?;
        let tenant = self
            .terms
            .tenant_names
            .iter()
            .position(|t| *t == said.tenant);
        let tenant =
            tenant.ok_or_else(|| s.fault(format!("no tenant is named '{}'", said.tenant)))?;
        known(s, &self.terms, &said.functions)?;
        if said.functions.is_empty() || (said.per_second <= 0.0) == (said.at_once == 0) {
            return Err(s.fault("functions and either per_second or at_once are expected"));
        }
        let shape = said.shape().map_err(|why| s.fault(why))?;
        Ok(Traffic {
            tenant,
            shape,
            turnover: said.turnover.0,
            functions: said.functions,
            zipf: said.zipf,
            per_second: said.per_second,
            work: said.work.0,
            spread: said.spread,
            from: said.begin.0,
            to: said.end.map_or(self.length, |t| t.0.min(self.length)),
        })
    }

    fn one_trouble(&self, s: &Statement) -> Result<Trouble, ScriptError> {
        let said: SaidTrouble = s.read()?;
        let known_kind = KINDS.iter().find(|(name, _)| *name == said.name);
        let (name, kind) = *known_kind.ok_or_else(|| {
            let all: Vec<&str> = KINDS.iter().map(|k| k.0).collect();
            s.fault(format!(
                "'{}' is no trouble; known are {}",
                said.name,
                all.join(", ")
            ))
        })?;
        known(s, &self.terms, &said.functions)?;
        if self.versions == 0
            && matches!(
                kind,
                Kind::RegistryLost | Kind::RegistryCut | Kind::Withdrawn | Kind::VersionErrs
            )
        {
            return Err(s.fault(format!("{name}: versions are expected in day(...)")));
        }
        let need = |what: &str| s.fault(format!("{name}: {what} is expected"));
        if !matches!(
            kind,
            Kind::Flush | Kind::BadInput | Kind::Deploy | Kind::Withdrawn
        ) && said.lasts.is_none()
        {
            return Err(need("lasts"));
        }
        // Those that strike all where none are named would end the day.
        let strikes_invokers = matches!(
            kind,
            Kind::Crash
                | Kind::PowerCut
                | Kind::Slow
                | Kind::Hang
                | Kind::Ageing
                | Kind::StuckSockets
                | Kind::HalfFrames
        );
        let strikes_controllers = matches!(
            kind,
            Kind::ControllerCrash
                | Kind::ControllerRoll
                | Kind::ControllerStall
                | Kind::LineCut
                | Kind::RegistryCut
        );
        if strikes_invokers && said.invokers.is_none() {
            return Err(need("invokers = [...]"));
        }
        if strikes_controllers && said.controllers.is_none() {
            return Err(need("controllers = [...]"));
        }
        if kind == Kind::LineSlow && said.delay.is_none() {
            return Err(need("delay"));
        }
        let ways = match said.one_way.as_deref() {
            None => (true, true),
            Some("to_invokers") => (true, false),
            Some("to_controllers") => (false, true),
            Some(other) => {
                let why = format!("one_way '{other}': to_invokers or to_controllers is expected");
                return Err(s.fault(why));
            }
        };
        if matches!(kind, Kind::Slow | Kind::StoreSlow | Kind::HeavyTail) && said.times.is_none() {
            return Err(need("times"));
        }
        if kind == Kind::HotFunction && said.functions.is_empty() {
            return Err(need("functions = [...]"));
        }
        if kind == Kind::RefusedForRoom && said.tenant.is_none() {
            return Err(need("tenant"));
        }
        if let Some(tenant) = said
            .tenant
            .iter()
            .find(|t| !self.terms.tenant_names.contains(t))
        {
            return Err(s.fault(format!("no tenant is named '{tenant}'")));
        }
        let zone = match &said.zone {
            Some(zone) => {
                let at = self.terms.zones.iter().position(|z| z == zone);
                Some(at.ok_or_else(|| s.fault(format!("no zone is named '{zone}'")))? as u8)
            }
            None if kind == Kind::ZoneCut => return Err(need("zone")),
            None => None,
        };
        let most = self.terms.invokers.len() as u32;
        let all: Vec<u32> = (1..=most).collect();
        let invokers = said.invokers.unwrap_or(all);
        if let Some(bad) = invokers.iter().find(|i| !(1..=most).contains(i)) {
            return Err(s.fault(format!("invoker {bad}: 1 to {most} are stated")));
        }
        let most = self.terms.deployment.controllers;
        let all = if kind == Kind::LineSlow {
            (1..=most).collect()
        } else {
            Vec::new()
        };
        let controllers = said.controllers.unwrap_or(all);
        if let Some(bad) = controllers.iter().find(|c| !(1..=most).contains(c)) {
            return Err(s.fault(format!("controller {bad}: 1 to {most} are stated")));
        }
        Ok(Trouble {
            kind,
            name,
            at: said.at.0,
            lasts: said.lasts.unwrap_or_default().0,
            invokers,
            controllers,
            zone,
            tenant: said.tenant,
            functions: said.functions,
            part: said.part.unwrap_or(1.0),
            times: said.times.unwrap_or(1.0),
            delay: said.delay.unwrap_or_default().0,
            batch: said.batch.max(1),
            ways,
        })
    }
}
