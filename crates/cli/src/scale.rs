//! `saltdrum scale`: measures controllers and members at several sizes, each in a process of its own, and fits the results.

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
pub enum ScaleCommand {
    /// Measures one controller at each size: the real policy and client side, with a model of the invokers in the same process.
    Controller(ControllerOptions),
    /// Measures coordinators, members and list followers at each size, over the emulated network.
    Members(MemberOptions),
    /// Measures an idle controller (`saltdrum node`) with a list of each size.
    Node(NodeOptions),
}

#[derive(Args)]
pub struct NodeOptions {
    /// Lines of the list; comma-separated sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [120, 1_000, 10_000])]
    lines: Vec<u32>,
    /// Seconds of observation, in real time.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    #[command(flatten)]
    output: OutputOptions,
}

/// How the results are printed.
#[derive(Args)]
pub struct OutputOptions {
    /// Prints a line of JSON for each size.
    #[arg(long)]
    json: bool,
    /// Measures one size in this process.
    #[arg(long, hide = true)]
    here: bool,
}

#[derive(Args)]
pub struct ControllerOptions {
    /// Invokers; comma-separated sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [120, 300, 1_000, 3_000, 10_000])]
    invokers: Vec<u32>,
    /// Functions of the fleet; comma-separated sizes, each combined with every size of invokers.
    #[arg(long, value_delimiter = ',', default_values_t = [94_000])]
    functions: Vec<u64>,
    /// Invocations per second.
    #[arg(long, default_value_t = 159.0)]
    rate: f64,
    /// The n-th function is invoked in proportion to 1 / n^SKEW.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,
    /// Seconds under load, in virtual time.
    #[arg(long, default_value_t = 120)]
    load_s: u64,
    /// Seconds without invocations after the load, in virtual time.
    #[arg(long, default_value_t = 60)]
    quiet_s: u64,
    /// Seconds between replacements of an invoker.
    #[arg(long, default_value_t = 50)]
    event_every_s: u64,
    /// Removes a fifth of the invokers in one event, and returns them cold in another.
    #[arg(long)]
    zone: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    output: OutputOptions,
}

#[derive(Args)]
pub struct MemberOptions {
    /// Controllers and invokers together; comma-separated sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1_000, 3_000])]
    members: Vec<u32>,
    /// Followers of the invoker list; comma-separated sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [30])]
    followers: Vec<u32>,
    /// Leases of fleet-wide tasks; comma-separated sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [0])]
    leases: Vec<u32>,
    /// Seconds at rest, in virtual time.
    #[arg(long, default_value_t = 5)]
    rest_s: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    output: OutputOptions,
}

/// A column of a table: its title, and the JSON pointer to its value in a row.
type Column = (&'static str, &'static str);

const CONTROLLER_COLUMNS: [Column; 15] = [
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

const MEMBER_COLUMNS: [Column; 18] = [
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

const NODE_COLUMNS: [Column; 4] = [
    ("lines", "/lines"),
    ("% of a core", "/share"),
    ("MB", "/memory_mb"),
    ("start, CPU ms", "/start_ms"),
];

/// The value at a JSON pointer; shares become percentages.
fn number(row: &Value, pointer: &str) -> f64 {
    let value = row
        .pointer(pointer)
        .and_then(Value::as_f64)
        .unwrap_or(f64::NAN);
    if pointer.ends_with("share") {
        value * 100.0
    } else {
        value
    }
}

/// Formats a number with few digits.
fn format_number(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 100.0 || value == 0.0 => format!("{value:.0}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// Prints a row as a line of JSON.
fn print_row(row: &impl Serialize) -> Result<u8, String> {
    println!("{}", serde_json::to_string(row).map_err(|e| e.to_string())?);
    Ok(0)
}

/// Runs each size in a process of its own, so that its memory is measured alone; prints each row, then the fits.
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
        let output = child
            .and_then(|c| c.wait_with_output())
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            return Err(format!("{}: {}", size.join(" "), output.status));
        }
        let row: Value =
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", size.join(" ")))?;
        if json {
            print!("{text}");
        } else {
            let cells: Vec<String> = columns
                .iter()
                .map(|c| format_number(number(&row, c.1)))
                .collect();
            println!("| {} |", cells.join(" | "));
        }
        rows.push(row);
    }
    for (title, pointer) in columns.iter().skip(1).filter(|_| !json && rows.len() > 1) {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .map(|r| (number(r, columns[0].1), number(r, pointer)))
            .collect();
        if let Some(line) = fit(&points).filter(|f| f.slope.abs() > 0.0 && f.slope.is_finite()) {
            let exponent = line.exponent.map_or("-".into(), |e| format!("{e:.2}"));
            println!(
                "{title} ({pointer}): {:.4e} for each of {}, {} at none, exponent {exponent}, off by {:.0}% at most",
                line.slope,
                columns[0].0,
                format_number(line.intercept),
                line.residual * 100.0
            );
        }
    }
    Ok(0)
}

/// Options as command-line arguments.
fn arguments(options: &[(&str, String)]) -> Vec<String> {
    options
        .iter()
        .flat_map(|(name, value)| [format!("--{name}"), value.clone()])
        .collect()
}

/// Runs one subcommand of `saltdrum scale`.
pub fn run(command: &ScaleCommand) -> Result<u8, String> {
    match command {
        ScaleCommand::Controller(options) => {
            let mut sizes = Vec::new();
            for invokers in &options.invokers {
                for functions in &options.functions {
                    let (rate, skew, seed) = (options.rate, options.skew, options.seed);
                    let load = Workload {
                        invokers: *invokers,
                        functions: *functions,
                        rate,
                        skew,
                        seed,
                    };
                    if options.output.here {
                        let (load_s, quiet_s, event_every_s) =
                            (options.load_s, options.quiet_s, options.event_every_s);
                        let course = LoadPlan {
                            load_s,
                            quiet_s,
                            event_every_s,
                            zone_outage: options.zone,
                        };
                        return print_row(&controller::run(&load, &course));
                    }
                    let mut size: Vec<String> =
                        ["scale", "controller", "--here"].map(String::from).into();
                    size.extend(arguments(&[
                        ("invokers", invokers.to_string()),
                        ("functions", functions.to_string()),
                        ("rate", rate.to_string()),
                        ("skew", skew.to_string()),
                        ("seed", seed.to_string()),
                        ("load-s", options.load_s.to_string()),
                        ("quiet-s", options.quiet_s.to_string()),
                        ("event-every-s", options.event_every_s.to_string()),
                    ]));
                    size.extend(options.zone.then(|| "--zone".to_owned()));
                    sizes.push(size);
                }
            }
            sweep(sizes, &CONTROLLER_COLUMNS, options.output.json)
        }
        ScaleCommand::Members(options) => {
            if options.output.here {
                let (members, followers, leases) =
                    (options.members[0], options.followers[0], options.leases[0]);
                let (rest_s, seed) = (options.rest_s, options.seed);
                return print_row(&members::run(&members::FleetSize {
                    members,
                    followers,
                    leases,
                    rest_s,
                    seed,
                }));
            }
            let followers_and_leases = || {
                options
                    .followers
                    .iter()
                    .flat_map(|f| options.leases.iter().map(move |leases| (*f, *leases)))
            };
            let size = |members: u32, followers: u32, leases: u32| {
                let mut size: Vec<String> = ["scale", "members", "--here"].map(String::from).into();
                size.extend(arguments(&[
                    ("members", members.to_string()),
                    ("followers", followers.to_string()),
                    ("leases", leases.to_string()),
                    ("rest-s", options.rest_s.to_string()),
                    ("seed", options.seed.to_string()),
                ]));
                size
            };
            let combinations = |members: &u32| {
                let members = *members;
                followers_and_leases().map(move |(followers, leases)| (members, followers, leases))
            };
            let sizes = options
                .members
                .iter()
                .flat_map(combinations)
                .map(|(members, followers, leases)| size(members, followers, leases))
                .collect();
            sweep(sizes, &MEMBER_COLUMNS, options.output.json)
        }
        ScaleCommand::Node(options) => {
            let mut sizes = Vec::new();
            for lines in &options.lines {
                if options.output.here {
                    let binary = std::env::current_exe().map_err(|e| e.to_string())?;
                    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
                    return print_row(&real::run(&binary, folder.path(), *lines, options.seconds)?);
                }
                let mut size: Vec<String> = ["scale", "node", "--here"].map(String::from).into();
                size.extend(arguments(&[
                    ("lines", lines.to_string()),
                    ("seconds", options.seconds.to_string()),
                ]));
                sizes.push(size);
            }
            sweep(sizes, &NODE_COLUMNS, options.output.json)
        }
    }
}
