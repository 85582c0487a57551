//! The command line: arguments, logging and exit codes.

#![expect(
    clippy::disallowed_methods,
    reason = "real seeds and clocks are read in this binary only"
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
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    #[cfg(feature = "whole")]
    /// Runs controllers, each on a thread of its own, until interrupted.
    Serve {
        /// Starlark script of the deployment.
        deployment: PathBuf,
        /// Address of the invoker list, tcp:HOST:PORT or unix:PATH; repeat for each coordinator of a fleet.
        #[arg(long = "list", required = true)]
        lists: Vec<String>,
        #[command(flatten)]
        membership: fleet::MembershipOptions,
        /// Address on which a controller accepts clients; repeat for each controller, in order.
        #[arg(long = "clients", required = true)]
        clients: Vec<String>,
        /// Number of the first controller of this process.
        #[arg(long, default_value_t = 1)]
        first: u32,
        /// Zone of these controllers, as named in the deployment.
        #[arg(long)]
        zone: Option<String>,
        /// Random seed; drawn from the system if omitted.
        #[arg(long)]
        seed: Option<u64>,
        /// Address of the model registry.
        #[arg(long, requires = "registry_key")]
        registry: Option<String>,
        /// File with a reader's key of the registry.
        #[arg(long)]
        registry_key: Option<PathBuf>,
        /// Folder in which controllers store copies of the registry's state.
        #[arg(long)]
        registry_copies: Option<PathBuf>,
        #[command(flatten)]
        collection: collection::CollectionOptions,
        /// Maximum duration of a passage, in seconds.
        #[arg(long, default_value_t = 1_800)]
        passage_s: u64,
        /// Dispatches to random invokers instead of by the policy. For measurements only: it keeps none of the rules.
        #[arg(long, hide = true)]
        baseline: bool,
    },
    /// Runs one controller of the platform; RELAY_CONFIG names its configuration file. Ends after SIGTERM.
    Node,
    #[cfg(feature = "whole")]
    /// Runs one stand-in for a peer until interrupted.
    #[command(subcommand)]
    Standin(StandinCommand),
    #[cfg(feature = "whole")]
    /// Plays a scripted day on loopback sockets and checks the five rules.
    Play {
        /// Script, or the name of a built-in day.
        #[arg(default_value = "bad-day")]
        day: String,
        /// Runs in virtual time on in-memory streams.
        #[arg(long = "virtual")]
        virtually: bool,
        /// Prints the results as JSON instead of tables.
        #[arg(long)]
        json: bool,
        /// Writes the record to this file, for `check`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    #[cfg(feature = "whole")]
    /// Sends load to controllers, open loop, and reports the outcome.
    Load(load::LoadOptions),
    #[cfg(feature = "scale")]
    /// Measures the cost of a part of the fleet at sizes that exceed one machine.
    #[command(subcommand)]
    Scale(scale::ScaleCommand),
    #[cfg(feature = "whole")]
    /// Runs experiments that compare variants, and searches for failing days.
    #[command(subcommand)]
    Lab(lab::LabCommand),
    #[cfg(feature = "whole")]
    /// Checks the five rules against a record.
    Check {
        record: PathBuf,
        #[arg(long)]
        json: bool,
    },
    #[cfg(feature = "whole")]
    /// Invokes a function and prints the response.
    Call {
        /// Client address of a controller.
        #[arg(long)]
        to: String,
        #[arg(long)]
        function: String,
        #[arg(long)]
        tenant: String,
        #[arg(long)]
        trigger: String,
        /// Input of the function, as JSON.
        #[arg(long, default_value = "null")]
        input: String,
        #[arg(long)]
        time_left_ms: Option<f64>,
        #[arg(long)]
        token: Option<String>,
        /// Name of the passage that the invocation belongs to.
        #[arg(long)]
        passage: Option<String>,
        /// Version reported by the previous response of the passage.
        #[arg(long)]
        version: Option<String>,
    },
    #[cfg(feature = "whole")]
    /// Packs models into chunks, and inspects and serves them.
    #[command(subcommand)]
    Layers(layers::LayersCommand),
    #[cfg(feature = "whole")]
    /// Manages the versions of models and their aliases.
    #[command(subcommand)]
    Registry(registry::RegistryCommand),
    #[cfg(feature = "whole")]
    /// Runs one coordinator of a fleet until interrupted.
    #[command(name = "coordinator", alias = "steward")]
    Coordinator(fleet::CoordinatorOptions),
    #[cfg(feature = "whole")]
    /// Shows and changes the members, drains, halts and leases of a fleet.
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    #[cfg(feature = "whole")]
    /// Runs a trial of a fleet with processes of this program, injects faults, and judges the record.
    Trial(trial::TrialOptions),
    #[cfg(feature = "whole")]
    /// Prints a controller's status.
    Status {
        #[arg(long)]
        to: String,
    },
}

/// The stand-ins that run as processes of their own.
#[cfg(feature = "whole")]
#[derive(Subcommand)]
enum StandinCommand {
    /// Runs one invoker of the deployment.
    Invoker {
        deployment: PathBuf,
        /// Number of the invoker in the deployment.
        #[arg(long)]
        number: u32,
        #[arg(long)]
        listen: String,
        #[arg(long)]
        store: Option<String>,
        #[command(flatten)]
        membership: fleet::MembershipOptions,
        /// Address of the model registry, whose versions are served besides the deployment's functions.
        #[arg(long, requires = "registry_key")]
        registry: Option<String>,
        #[arg(long)]
        registry_key: Option<PathBuf>,
        /// Accepts requests and never answers them.
        #[arg(long)]
        hangs: bool,
        /// Share of dispatches answered with an error at once.
        #[arg(long, default_value_t = 0.0)]
        errors: f64,
        /// Share of answers that are lost.
        #[arg(long, default_value_t = 0.0)]
        loses_answers: f64,
        /// NAME=ADDRESS of a journal; the invoker offers the task `count`, which appends to each in turn.
        #[arg(long = "count-on")]
        count_on: Vec<String>,
        /// Injected fault: the task `count` runs before all journals are sealed.
        #[arg(long, hide = true)]
        acts_before_seals: bool,
    },
    /// Runs an append-only resource of fleet-wide tasks.
    Journal(leases::JournalOptions),
    /// Runs the model store.
    Store {
        #[arg(long)]
        listen: String,
        /// Maximum number of concurrent fetches; further ones are refused.
        #[arg(long, default_value_t = 24)]
        limit: usize,
    },
    /// Runs a registry that serves a folder of packed models.
    Registry {
        folder: PathBuf,
        #[arg(long)]
        listen: String,
        /// Maximum number of concurrent blob transfers; further ones are refused.
        #[arg(long, default_value_t = 64)]
        limit: usize,
    },
    /// Runs the invoker list, with the invokers that are given.
    List {
        deployment: PathBuf,
        #[arg(long)]
        listen: String,
        /// NUMBER=ADDRESS, or NUMBER=ADDRESS,AGENT-ADDRESS
        #[arg(long = "invoker")]
        invokers: Vec<String>,
    },
}

/// Exit codes: 0 all rules kept, 1 a rule broken, 2 invalid input, 3 inconclusive record.
fn main() -> ExitCode {
    let args = Args::parse();
    logging::start(args.log_json);
    let result = match args.command {
        #[cfg(feature = "whole")]
        Command::Serve {
            deployment,
            lists,
            membership,
            clients,
            first,
            zone,
            seed,
            registry,
            registry_key,
            registry_copies,
            collection,
            passage_s,
            baseline,
        } => {
            let policy_factory: PolicyFactory = if baseline {
                random_relay
            } else {
                dispatch_policy
            };
            let registry_options = run::RegistryOptions {
                registry,
                key: registry_key,
                copies: registry_copies,
                passage_s,
            };
            run::serve(
                &deployment,
                &lists,
                &membership,
                &clients,
                first,
                zone.as_deref(),
                seed,
                &registry_options,
                &collection,
                policy_factory,
            )
        }
        Command::Node => node::run(),
        #[cfg(feature = "whole")]
        Command::Standin(StandinCommand::Invoker {
            deployment,
            number,
            listen,
            store,
            membership,
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
            let registry_options = run::RegistryOptions {
                registry,
                key: registry_key,
                copies: None,
                passage_s: 0,
            };
            run::run_invoker(
                &deployment,
                number,
                &listen,
                store.as_deref(),
                &membership,
                &registry_options,
                faults,
                &count_on,
                acts_before_seals,
            )
        }
        #[cfg(feature = "whole")]
        Command::Standin(StandinCommand::Journal(options)) => leases::run_journal(&options),
        #[cfg(feature = "whole")]
        Command::Standin(StandinCommand::Store { listen, limit }) => run::run_store(&listen, limit),
        #[cfg(feature = "whole")]
        Command::Standin(StandinCommand::Registry {
            folder,
            listen,
            limit,
        }) => run::run_registry(&folder, &listen, limit),
        #[cfg(feature = "whole")]
        Command::Standin(StandinCommand::List {
            deployment,
            listen,
            invokers,
        }) => run::run_list(&deployment, &listen, &invokers),
        #[cfg(feature = "whole")]
        Command::Play {
            day,
            virtually,
            json,
            record,
        } => run::play(&day, virtually, json, record.as_deref()),
        #[cfg(feature = "whole")]
        Command::Check { record, json } => run::check(&record, json),
        #[cfg(feature = "whole")]
        Command::Call {
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
        Command::Scale(command) => scale::run(&command),
        #[cfg(feature = "whole")]
        Command::Lab(command) => lab::run(&command),
        #[cfg(feature = "whole")]
        Command::Load(options) => load::run(&options),
        #[cfg(feature = "whole")]
        Command::Layers(command) => layers::run(&command),
        #[cfg(feature = "whole")]
        Command::Registry(command) => registry::run(&command),
        #[cfg(feature = "whole")]
        Command::Coordinator(options) => fleet::run_coordinator(&options),
        #[cfg(feature = "whole")]
        Command::Fleet(command) => fleet::run(&command),
        #[cfg(feature = "whole")]
        Command::Trial(options) => trial::run(&options),
        #[cfg(feature = "whole")]
        Command::Status { to } => run::status(&to),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("saltdrum: {why}");
            ExitCode::from(2)
        }
    }
}
