//! `saltdrum scale`: hollow controllers and members, one size a process, a line each, and a fit at the end.

use clap::{Args, Subcommand};
use saltdrum_scale::controller::{self, LoadPlan};
use saltdrum_scale::fit::fit;
use saltdrum_scale::members;
use saltdrum_scale::real;
use saltdrum_scale::world::Workload;
use serde::Serialize;
use serde_json::Value;
use std::process::{Command, Stdio};

#[derive(Subcommand)]
pub enum Scale {
    /// One hollow controller at each size: the real module and desk, with a model of invokers in the same process.
    Controller(OfController),
    /// Stewards, members and followers of the list at each size, over the emulated network.
    Members(OfMembers),
    /// A real controller (`saltdrum node`) with a list of each size, at rest.
    Node(OfNode),
}

#[derive(Args)]
pub struct OfNode {
    /// Lines of the list; a size each.
    #[arg(long, value_delimiter = ',', default_values_t = [120, 1_000, 10_000])]
    lines: Vec<u32>,
    /// Seconds it is watched for, of real time.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    #[command(flatten)]
    shown: Shown,
}

/// How rows are shown.
#[derive(Args)]
pub struct Shown {
    /// A line of JSON a size.
    #[arg(long)]
    json: bool,
    /// In this process: for one size.
    #[arg(long, hide = true)]
    here: bool,
}

#[derive(Args)]
pub struct OfController {
    /// Invokers; a size each.
    #[arg(long, value_delimiter = ',', default_values_t = [120, 300, 1_000, 3_000, 10_000])]
    invokers: Vec<u32>,
    /// Functions of the fleet; a size each, with every size of invokers.
    #[arg(long, value_delimiter = ',', default_values_t = [94_000])]
    functions: Vec<u64>,
    /// Invocations a second.
    #[arg(long, default_value_t = 159.0)]
    rate: f64,
    /// The n-th function is called as often as 1 / n^SKEW.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,
    /// Seconds under load, of virtual time.
    #[arg(long, default_value_t = 120)]
    load_s: u64,
    /// Seconds without an invocation after it.
    #[arg(long, default_value_t = 60)]
    quiet_s: u64,
    /// An invoker is replaced each so many seconds.
    #[arg(long, default_value_t = 50)]
    event_every_s: u64,
    /// A fifth of the invokers goes in one event, and is back cold in one.
    #[arg(long)]
    zone: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    shown: Shown,
}

#[derive(Args)]
pub struct OfMembers {
    /// Controllers and invokers together; a size each.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1_000, 3_000])]
    members: Vec<u32>,
    /// Followers of the invoker list.
    #[arg(long, value_delimiter = ',', default_values_t = [30])]
    followers: Vec<u32>,
    /// Leases of fleet-wide tasks; a size each.
    #[arg(long, value_delimiter = ',', default_values_t = [0])]
    leases: Vec<u32>,
    /// Seconds at rest, of virtual time.
    #[arg(long, default_value_t = 5)]
    rest_s: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    shown: Shown,
}

/// Columns of a table: its title, and where its figure is in a row.
type Column = (&'static str, &'static str);

const CONTROLLER: [Column; 15] = [
    ("invokers", "/invokers"),
    ("functions", "/functions"),
    ("us a call", "/us_an_invocation"),
    ("module", "/module_us_an_invocation"),
    ("% of a core", "/share"),
    ("control %", "/control_share"),
    ("quiet %", "/quiet_share"),
    ("turn ms", "/longest_ms"),
    ("of calls", "/invoked/longest_ms"),
    ("of list", "/listed/longest_ms"),
    ("of timers", "/timers/longest_ms"),
    ("whole list", "/whole/longest_ms"),
    ("MB end", "/memory_mb"),
    ("ranked held", "/ranked_held"),
    ("rank steps", "/rank_steps"),
];

const MEMBERS: [Column; 18] = [
    ("members", "/members"),
    ("followers", "/followers"),
    ("leases", "/leases"),
    ("steward %", "/steward_share"),
    ("B/s", "/steward_bytes_s"),
    ("member %", "/member_share"),
    ("B/s", "/member_bytes_s"),
    ("change ms", "/change_ms"),
    ("CPU ms", "/change_cpu_ms"),
    ("bytes", "/change_bytes"),
    ("disk", "/change_disk_bytes"),
    ("handover ms", "/handover_ms"),
    ("CPU ms", "/handover_cpu_ms"),
    ("bytes", "/handover_bytes"),
    ("heard p50", "/heard_p50_ms"),
    ("all", "/heard_all_ms"),
    ("list B", "/whole_list_bytes"),
    ("fleet B", "/fleet_bytes"),
];

const NODE: [Column; 4] = [
    ("lines", "/lines"),
    ("% of a core", "/share"),
    ("MB", "/memory_mb"),
    ("start, CPU ms", "/start_ms"),
];

fn number(row: &Value, at: &str) -> f64 {
    let n = row.pointer(at).and_then(Value::as_f64).unwrap_or(f64::NAN);
    if at.ends_with("share") { n * 100.0 } else { n }
}

fn short(n: f64) -> String {
    match n.abs() {
        a if a >= 100.0 || n == 0.0 => format!("{n:.0}"),
        a if a >= 1.0 => format!("{n:.2}"),
        _ => format!("{n:.4}"),
    }
}

fn told(row: &impl Serialize) -> Result<u8, String> {
    println!("{}", serde_json::to_string(row).map_err(|e| e.to_string())?);
    Ok(0)
}

/// Runs each size in a process of its own, so that memory is its alone; prints rows as they come, then the fits.
fn sweep(sizes: Vec<Vec<String>>, columns: &[Column], json: bool) -> Result<u8, String> {
    let binary = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut rows: Vec<Value> = Vec::new();
    if !json {
        println!(
            "| {} |",
            columns.iter().map(|c| c.0).collect::<Vec<_>>().join(" | ")
        );
        println!("|{}", " --- |".repeat(columns.len()));
    }
    for size in sizes {
        let child = Command::new(&binary)
            .args(&size)
            .stdout(Stdio::piped())
            .spawn();
        let done = child
            .and_then(|c| c.wait_with_output())
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&done.stdout).into_owned();
        if !done.status.success() {
            return Err(format!("{}: {}", size.join(" "), done.status));
        }
        let row: Value =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", size.join(" ")))?;
        if json {
            print!("{text}");
        } else {
            let cells: Vec<String> = columns.iter().map(|c| short(number(&row, c.1))).collect();
            println!("| {} |", cells.join(" | "));
        }
        rows.push(row);
    }
    for (title, at) in columns.iter().skip(1).filter(|_| !json && rows.len() > 1) {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .map(|r| (number(r, columns[0].1), number(r, at)))
            .collect();
        if let Some(f) = fit(&points).filter(|f| f.slope.abs() > 0.0 && f.slope.is_finite()) {
            let exponent = f.exponent.map_or("-".into(), |e| format!("{e:.2}"));
            println!(
                "{title} ({at}): {:.4e} for each of {}, {} at none, exponent {exponent}, off by {:.0}% at most",
                f.slope,
                columns[0].0,
                short(f.intercept),
                f.residual * 100.0
            );
        }
    }
    Ok(0)
}

fn words(said: &[(&str, String)]) -> Vec<String> {
    said.iter()
        .flat_map(|(name, value)| [format!("--{name}"), value.clone()])
        .collect()
}

pub fn run(what: &Scale) -> Result<u8, String> {
    match what {
        Scale::Controller(c) => {
            let mut sizes = Vec::new();
            for invokers in &c.invokers {
                for functions in &c.functions {
                    let (rate, skew, seed) = (c.rate, c.skew, c.seed);
                    let load = Workload {
                        invokers: *invokers,
                        functions: *functions,
                        rate,
                        skew,
                        seed,
                    };
                    if c.shown.here {
                        let (load_s, quiet_s, event_every_s) =
                            (c.load_s, c.quiet_s, c.event_every_s);
                        let course = LoadPlan {
                            load_s,
                            quiet_s,
                            event_every_s,
                            zone_outage: c.zone,
                        };
                        return told(&controller::run(&load, &course));
                    }
                    let mut size: Vec<String> =
                        ["scale", "controller", "--here"].map(String::from).into();
                    size.extend(words(&[
                        ("invokers", invokers.to_string()),
                        ("functions", functions.to_string()),
                        ("rate", rate.to_string()),
                        ("skew", skew.to_string()),
                        ("seed", seed.to_string()),
                        ("load-s", c.load_s.to_string()),
                        ("quiet-s", c.quiet_s.to_string()),
                        ("event-every-s", c.event_every_s.to_string()),
                    ]));
                    size.extend(c.zone.then(|| "--zone".to_owned()));
                    sizes.push(size);
                }
            }
            sweep(sizes, &CONTROLLER, c.shown.json)
        }
        Scale::Members(m) => {
            if m.shown.here {
                let (members, followers, leases) = (m.members[0], m.followers[0], m.leases[0]);
                let (rest_s, seed) = (m.rest_s, m.seed);
                return told(&members::run(&members::FleetSize {
                    members,
                    followers,
                    leases,
                    rest_s,
                    seed,
                }));
            }
            let followers_and_leases = || {
                m.followers
                    .iter()
                    .flat_map(|f| m.leases.iter().map(move |leases| (*f, *leases)))
            };
            let size = |members: u32, followers: u32, leases: u32| {
                let mut size: Vec<String> = ["scale", "members", "--here"].map(String::from).into();
                size.extend(words(&[
                    ("members", members.to_string()),
                    ("followers", followers.to_string()),
                    ("leases", leases.to_string()),
                    ("rest-s", m.rest_s.to_string()),
                    ("seed", m.seed.to_string()),
                ]));
                size
            };
            let of = |members: &u32| {
                let members = *members;
                followers_and_leases().map(move |(followers, leases)| (members, followers, leases))
            };
            let sizes = m
                .members
                .iter()
                .flat_map(of)
                .map(|(m, f, l)| size(m, f, l))
                .collect();
            sweep(sizes, &MEMBERS, m.shown.json)
        }
        Scale::Node(n) => {
            let mut sizes = Vec::new();
            for lines in &n.lines {
                if n.shown.here {
                    let binary = std::env::current_exe().map_err(|e| e.to_string())?;
                    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
                    return told(&real::run(&binary, folder.path(), *lines, n.seconds)?);
                }
                let mut size: Vec<String> = ["scale", "node", "--here"].map(String::from).into();
                size.extend(words(&[
                    ("lines", lines.to_string()),
                    ("seconds", n.seconds.to_string()),
                ]));
                sizes.push(size);
            }
            sweep(sizes, &NODE, n.shown.json)
        }
    }
}
