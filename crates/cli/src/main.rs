//! The command line: arguments, logs and exit codes, nothing else.

#![expect(
    clippy::disallowed_methods,
    reason = "seeds and times of what runs for real come from here"
)]

#[cfg(feature = "whole")]
mod collection;
#[cfg(feature = "whole")]
mod fleet;
#[cfg(feature = "whole")]
mod key_file;
#[cfg(feature = "whole")]
mod lab;
#[cfg(feature = "whole")]
mod layers;
#[cfg(feature = "whole")]
mod leases;
#[cfg(feature = "whole")]
mod load;
mod logging;
mod node;
#[cfg(feature = "whole")]
mod process;
#[cfg(feature = "whole")]
mod registry;
#[cfg(feature = "whole")]
mod run;
#[cfg(feature = "scale")]
mod scale;
#[cfg(feature = "whole")]
mod scripts;
#[cfg(feature = "whole")]
mod trial;

use clap::{Parser, Subcommand};
#[cfg(feature = "whole")]
use saltdrum_controller::{PolicyFactory, dispatch_policy, random_relay};
#[cfg(feature = "whole")]
use std::path::PathBuf;
use std::process::ExitCode;

/// A gateway that hands invocations to invokers.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Logs as lines of JSON.
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    #[cfg(feature = "whole")]
    /// Runs controllers, each on a thread of its own, until interrupted.
    Serve {
        /// Starlark script of the deployment.
        deployment: PathBuf,
        /// Where the invoker list is: tcp:HOST:PORT or unix:PATH. Several are those of one fleet's stewards.
        #[arg(long = "list", required = true)]
        lists: Vec<String>,
        #[command(flatten)]
        joins: fleet::Joins,
        /// Where clients come in; once for each controller, in their order.
        #[arg(long = "clients", required = true)]
        clients: Vec<String>,
        /// Number of the first controller here.
        #[arg(long, default_value_t = 1)]
        first: u32,
        /// Zone these controllers are in, by its name in the deployment.
        #[arg(long)]
        zone: Option<String>,
        /// Drawn from the system where it is left out.
        #[arg(long)]
        seed: Option<u64>,
        /// Where the registry of models is.
        #[arg(long, requires = "registry_key")]
        registry: Option<String>,
        /// File with a reader's key to it.
        #[arg(long)]
        registry_key: Option<PathBuf>,
        /// Folder in which controllers keep what the registry told them.
        #[arg(long)]
        registry_copies: Option<PathBuf>,
        #[command(flatten)]
        collects: collection::Collects,
        /// How long a passage may last.
        #[arg(long, default_value_t = 1_800)]
        passage_s: u64,
        /// A relay that picks at random in place of the design. For measurements: it keeps no rule.
        #[arg(long, hide = true)]
        baseline: bool,
    },
    /// Runs one real controller of the platform: RELAY_CONFIG names its configuration. Ends after SIGTERM.
    Node,
    #[cfg(feature = "whole")]
    /// Runs one stand-in until interrupted.
    #[command(subcommand)]
    Standin(Standin),
    #[cfg(feature = "whole")]
    /// Plays a scripted day on loopback sockets and judges the five rules.
    Play {
        /// A script, or the name of a day that comes with the program.
        #[arg(default_value = "bad-day")]
        day: String,
        /// In virtual time, on in-memory streams.
        #[arg(long = "virtual")]
        virtually: bool,
        /// Facts as JSON in place of tables.
        #[arg(long)]
        json: bool,
        /// Keeps the record here, for `check`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    #[cfg(feature = "whole")]
    /// Sends load to controllers, open loop, and tells what came of it.
    Load(load::Load),
    #[cfg(feature = "scale")]
    /// Measures what a part of the fleet costs at sizes that no machine holds.
    #[command(subcommand)]
    Scale(scale::Scale),
    #[cfg(feature = "whole")]
    /// Compares changes, and searches for days that fail.
    #[command(subcommand)]
    Lab(lab::Lab),
    #[cfg(feature = "whole")]
    /// Judges the five rules by a record.
    Check {
        record: PathBuf,
        #[arg(long)]
        json: bool,
    },
    #[cfg(feature = "whole")]
    /// Calls a function and prints the answer.
    Call {
        /// Where a controller takes clients in.
        #[arg(long)]
        to: String,
        #[arg(long)]
        function: String,
        #[arg(long)]
        tenant: String,
        #[arg(long)]
        trigger: String,
        /// JSON.
        #[arg(long, default_value = "null")]
        input: String,
        #[arg(long)]
        time_left_ms: Option<f64>,
        #[arg(long)]
        token: Option<String>,
        /// Name of the passage that it belongs to.
        #[arg(long)]
        passage: Option<String>,
        /// As the answer before in the passage told it.
        #[arg(long)]
        version: Option<String>,
    },
    #[cfg(feature = "whole")]
    /// Models as chunks.
    #[command(subcommand)]
    Layers(layers::Layers),
    #[cfg(feature = "whole")]
    /// Versions of models, and the names that stand for them.
    #[command(subcommand)]
    Registry(registry::Registry),
    #[cfg(feature = "whole")]
    /// Runs one coordinator of a fleet until interrupted.
    #[command(name = "coordinator", alias = "steward")]
    Coordinator(fleet::Runs),
    #[cfg(feature = "whole")]
    /// Members, drains and halts of a fleet.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    #[cfg(feature = "whole")]
    /// Plays a trial of a fleet on processes of this program, with faults between them, and judges it.
    Trial(trial::Plays),
    #[cfg(feature = "whole")]
    /// Prints a controller's status.
    Status {
        #[arg(long)]
        to: String,
    },
}

#[cfg(feature = "whole")]
#[derive(Subcommand)]
enum Standin {
    /// One invoker of the deployment.
    Invoker {
        deployment: PathBuf,
        /// Its number in the deployment.
        #[arg(long)]
        number: u32,
        #[arg(long)]
        listen: String,
        #[arg(long)]
        store: Option<String>,
        #[command(flatten)]
        joins: fleet::Joins,
        /// Where the registry of models is: functions beyond the deployment's are its versions.
        #[arg(long, requires = "registry_key")]
        registry: Option<String>,
        #[arg(long)]
        registry_key: Option<PathBuf>,
        /// Takes work and answers nothing.
        #[arg(long)]
        hangs: bool,
        /// Share of dispatches answered with an error at once.
        #[arg(long, default_value_t = 0.0)]
        errors: f64,
        /// Share of answers that are lost.
        #[arg(long, default_value_t = 0.0)]
        loses_answers: f64,
        /// NAME=ADDRESS of a journal: it offers the task `count`, which appends to each in turn.
        #[arg(long = "count-on")]
        count_on: Vec<String>,
        /// Planted: it counts on journals before all are sealed.
        #[arg(long, hide = true)]
        acts_before_seals: bool,
    },
    /// An append-only resource of fleet-wide tasks.
    Journal(leases::RunsJournal),
    /// The model store.
    Store {
        #[arg(long)]
        listen: String,
        /// Fetches under way, beyond which it refuses.
        #[arg(long, default_value_t = 24)]
        limit: usize,
    },
    /// A registry over a folder of packed models.
    Registry {
        folder: PathBuf,
        #[arg(long)]
        listen: String,
        /// Blobs under way, beyond which it refuses.
        #[arg(long, default_value_t = 64)]
        limit: usize,
    },
    /// The invoker list. Every invoker that is given is on it.
    List {
        deployment: PathBuf,
        #[arg(long)]
        listen: String,
        /// NUMBER=ADDRESS, or NUMBER=ADDRESS,AGENT-ADDRESS
        #[arg(long = "invoker")]
        invokers: Vec<String>,
    },
}

/// 0 all kept, 1 a rule broken, 2 bad input, 3 the record does not tell.
fn main() -> ExitCode {
    let args = Args::parse();
    logging::start(args.log_json);
    let done = match args.what {
        #[cfg(feature = "whole")]
        What::Serve {
            deployment,
            lists,
            joins,
            clients,
            first,
            zone,
            seed,
            registry,
            registry_key,
            registry_copies,
            collects,
            passage_s,
            baseline,
        } => {
            let make: PolicyFactory = if baseline {
                random_relay
            } else {
                dispatch_policy
            };
            let names = run::Names {
                registry,
                key: registry_key,
                copies: registry_copies,
                passage_s,
            };
            run::serve(
                &deployment,
                &lists,
                &joins,
                &clients,
                first,
                zone.as_deref(),
                seed,
                &names,
                &collects,
                make,
            )
        }
        What::Node => node::run(),
        #[cfg(feature = "whole")]
        What::Standin(Standin::Invoker {
            deployment,
            number,
            listen,
            store,
            joins,
            registry,
            registry_key,
            hangs,
            errors,
            loses_answers,
            count_on,
            acts_before_seals,
        }) => {
            let faults = saltdrum_fakes::Faults {
                hangs,
                error_share: errors,
                lost_response_share: loses_answers,
                ..Default::default()
            };
            let names = run::Names {
                registry,
                key: registry_key,
                copies: None,
                passage_s: 0,
            };
            run::invoker(
                &deployment,
                number,
                &listen,
                store.as_deref(),
                &joins,
                &names,
                faults,
                &count_on,
                acts_before_seals,
            )
        }
        #[cfg(feature = "whole")]
        What::Standin(Standin::Journal(runs)) => leases::journal(&runs),
        #[cfg(feature = "whole")]
        What::Standin(Standin::Store { listen, limit }) => run::store(&listen, limit),
        #[cfg(feature = "whole")]
        What::Standin(Standin::Registry {
            folder,
            listen,
            limit,
        }) => run::registry(&folder, &listen, limit),
        #[cfg(feature = "whole")]
        What::Standin(Standin::List {
            deployment,
            listen,
            invokers,
        }) => run::list(&deployment, &listen, &invokers),
        #[cfg(feature = "whole")]
        What::Play {
            day,
            virtually,
            json,
            record,
        } => run::play(&day, virtually, json, record.as_deref()),
        #[cfg(feature = "whole")]
        What::Check { record, json } => run::check(&record, json),
        #[cfg(feature = "whole")]
        What::Call {
            to,
            function,
            tenant,
            trigger,
            input,
            time_left_ms,
            token,
            passage,
            version,
        } => {
            let passage = (passage, version);
            run::call(
                &to,
                &function,
                &tenant,
                &trigger,
                &input,
                time_left_ms,
                token,
                passage,
            )
        }
        #[cfg(feature = "scale")]
        What::Scale(what) => scale::run(&what),
        #[cfg(feature = "whole")]
        What::Lab(what) => lab::run(&what),
        #[cfg(feature = "whole")]
        What::Load(said) => load::run(&said),
        #[cfg(feature = "whole")]
        What::Layers(what) => layers::run(&what),
        #[cfg(feature = "whole")]
        What::Registry(what) => registry::run(&what),
        #[cfg(feature = "whole")]
        What::Coordinator(runs) => fleet::steward(&runs),
        #[cfg(feature = "whole")]
        What::Fleet(what) => fleet::run(&what),
        #[cfg(feature = "whole")]
        What::Trial(plays) => trial::run(&plays),
        #[cfg(feature = "whole")]
        What::Status { to } => run::status(&to),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("saltdrum: {why}");
            ExitCode::from(2)
        }
    }
}
