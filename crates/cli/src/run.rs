//! The long-running subcommands, the stand-ins, and `play`, `check`, `call` and `status`.

use crate::collection::CollectionOptions;
use crate::fleet::MembershipOptions;
use crate::leases::{COUNT_TASK, lease_holder_from_arguments, run_count_task};
use crate::process::{on_this_thread, until_interrupted};
use crate::scripts::{load_terms, load_terms_and_fleet, read_script};
use saltdrum::interface::SECOND;
use saltdrum_controller::shutdown::ShutdownHandle;
use saltdrum_controller::{AliasConfig, ControllerConfig, PolicyFactory};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_fakes::invoker::InvokerConfig;
use saltdrum_fakes::{EndpointList, Faults, Invoker, ModelStore, OciRegistry, Record, record};
use saltdrum_layers::cache::{Cache, RealDisk};
use saltdrum_layers::layout::Layout;
use saltdrum_protocol::list::{Entry, Life};
use saltdrum_protocol::rpc;
use saltdrum_registry::follow::FollowConfig;
use saltdrum_scenario::check::State;
use saltdrum_scenario::{DAYS, Day, check as rules, play_on_sockets, play_virtually, summary};
use saltdrum_transport::{
    Address, Clock, EventLoopClock, Network, SocketNetwork, run_event_loop_clock,
};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};

type CommandResult = Result<u8, String>;

/// Options of a process that follows a model registry.
pub struct RegistryOptions {
    pub registry: Option<String>,
    pub key: Option<PathBuf>,
    pub copies: Option<PathBuf>,
    pub passage_s: u64,
}

impl RegistryOptions {
    /// The settings to follow the registry; none if it was not given.
    fn follow_config(&self, who: String, copy: &str) -> Result<Option<FollowConfig>, String> {
        let (Some(registry), Some(key)) = (&self.registry, &self.key) else {
            return Ok(None);
        };
        if let Some(folder) = &self.copies {
            fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let copy = self.copies.as_ref().map(|folder| folder.join(copy));
        Ok(Some(FollowConfig {
            registry: registry.parse()?,
            key: crate::registry::read_key(key)?,
            follower_name: who,
            copy_path: copy,
        }))
    }

    /// The aliases of a controller; none without a registry.
    fn aliases_of(&self, controller: u32) -> Result<Option<AliasConfig>, String> {
        let (who, copy) = (
            format!("controller-{controller}"),
            format!("names-{controller}"),
        );
        let Some(registry) = self.follow_config(who, &copy)? else {
            return Ok(None);
        };
        // The clock of a controller starts at one hour, not at zero.
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let epoch_ms = now - now.min(Clock::start().now() / 10);
        Ok(Some(AliasConfig {
            registry,
            pin_duration: self.passage_s * SECOND,
            epoch_ms,
        }))
    }
}

/// Runs controllers, each on a thread of its own, until interrupted.
#[expect(
    clippy::too_many_arguments,
    reason = "one for each option of the command line"
)]
pub fn serve(
    deployment: &Path,
    lists: &[String],
    membership_options: &MembershipOptions,
    clients: &[String],
    first: u32,
    zone: Option<&str>,
    seed: Option<u64>,
    registry_options: &RegistryOptions,
    collection: &CollectionOptions,
    policy_factory: PolicyFactory,
) -> CommandResult {
    let (terms, fleet) = load_terms_and_fleet(deployment)?;
    if terms.functions.is_empty() && registry_options.registry.is_none() {
        let place = deployment.display();
        return Err(format!(
            "{place}: no function(...) is stated, and no --registry: nothing could be invoked"
        ));
    }
    let lists: Vec<Address> = lists
        .iter()
        .map(|l| l.parse().map_err(String::from))
        .collect::<Result<_, String>>()?;
    let member_config = membership_options.resolve(fleet.as_ref())?;
    let zone = match zone {
        None => 0,
        Some(name) => terms
            .zones
            .iter()
            .position(|z| z == name)
            .ok_or(format!("no zone is named '{name}'"))?,
    };
    let mut threads = Vec::new();
    for (index, clients) in clients.iter().enumerate() {
        let (clients, lists, terms): (Address, _, _) =
            (clients.parse()?, lists.clone(), terms.clone());
        let collection = collection.clone();
        let member_config = member_config.clone();
        let controller = first + index as u32;
        let aliases = registry_options.aliases_of(controller)?;
        // Drawn at each start, so that invokers and the list can distinguish the incarnations.
        let incarnation = fastrand::u64(1..1 << 48);
        let seed = seed.map_or_else(|| fastrand::u64(..), |s| s ^ u64::from(controller));
        threads.push(std::thread::spawn(move || {
            on_this_thread(async {
                let (zone, terms) = (zone as u8, Rc::new(terms));
                let shutdown = ShutdownHandle::default();
                let tasks = collection.tasks();
                let membership = member_config
                    .map(|config| config.controller(controller, incarnation, zone, &terms, &clients, &shutdown, tasks));
                let collector = collection.holder(membership.as_ref().map(|(membership, _)| membership))?;
                let clients = vec![clients];
                let listens_when_ready = membership.is_some();
                let config = ControllerConfig {
                    controller,
                    incarnation,
                    seed,
                    zone,
                    client_addresses: clients,
                    endpoint_lists: lists,
                    terms,
                    aliases,
                    shutdown,
                    listens_when_ready,
                };
                tokio::select! {
                    biased;
                    ended = crate::fleet::run_membership(membership) => ended,
                    () = collection.run(collector) => Ok(()),
                    done = saltdrum_controller::serve(config, Rc::new(SocketNetwork), Clock::start(), policy_factory) => {
                        done.map_err(|e| format!("controller {controller}: {e}"))
                    }
                    () = until_interrupted() => Ok(()),
                }
            })?
        }));
    }
    for thread in threads {
        thread
            .join()
            .map_err(|_| "a controller panicked".to_owned())??;
    }
    Ok(0)
}

/// Runs a stand-in invoker.
#[expect(
    clippy::too_many_arguments,
    reason = "one for each option of the command line"
)]
pub fn run_invoker(
    deployment: &Path,
    number: u32,
    listen: &str,
    store: Option<&str>,
    membership_options: &MembershipOptions,
    registry_options: &RegistryOptions,
    faults: Faults,
    count_on: &[String],
    acts_before_seals: bool,
) -> CommandResult {
    let versions = registry_options.follow_config(format!("invoker-{number}"), "")?;
    let (terms, fleet) = load_terms_and_fleet(deployment)?;
    let member_config = membership_options.resolve(fleet.as_ref())?;
    let terms = Rc::new(terms);
    let settings = terms.invokers.iter().find(|i| i.invoker == number).cloned();
    let settings = settings.ok_or(format!(
        "invoker {number}: the deployment states {}",
        terms.invokers.len()
    ))?;
    let (address, store) = (
        RefCell::new(listen.parse()?),
        store.map(str::parse).transpose()?,
    );
    on_this_thread(async {
        let (clock, turns, record) = (Clock::start(), EventLoopClock::default(), Record::default());
        tokio::task::spawn_local(run_event_loop_clock(turns.clone(), clock, |_, _| ()));
        let site = InvokerConfig {
            terms,
            stated: settings,
            network: Rc::new(SocketNetwork),
            clock,
            record_clock: clock,
            event_loop: turns,
            record: record.clone(),
            address,
            store,
            tokens: Default::default(),
            seed: fastrand::u64(..),
            fetch_share: 0.6,
            registry_follow: versions,
            layers: None,
        };
        let invoker = Invoker::new(site);
        invoker.update_faults(|f, _| *f = faults);
        if member_config.is_some() {
            // Fits a signed 64-bit integer, the most that other JSON readers accept.
            invoker.set_next_incarnation(fastrand::u64(2..1 << 48));
        }
        let address = invoker
            .start(member_config.is_some() && membership_options.cold, &[])
            .await
            .map_err(|e| format!("{listen}: {e}"))?;
        println!("invoker {number} at {address}");
        let tasks: BTreeSet<String> = (!count_on.is_empty())
            .then(|| COUNT_TASK.to_owned())
            .into_iter()
            .collect();
        let membership = member_config.map(|config| config.invoker(&invoker, tasks));
        let holder = match &membership {
            Some((membership, _)) if !count_on.is_empty() => {
                Some(lease_holder_from_arguments(membership, count_on)?)
            }
            _ => None,
        };
        tokio::select! {
            biased;
            () = run_count_task(holder, acts_before_seals) => Ok(0),
            ended = crate::fleet::run_membership(membership) => {
                let _ = record::write(&record.take(), &mut std::io::stdout().lock());
                ended.map(|()| 0)
            }
            () = print_until_interrupted(&record) => Ok(0),
        }
    })?
}

/// Prints a stand-in's record as lines of JSON until interrupted.
async fn print_until_interrupted(record: &Record) {
    let printing = async {
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            let _ = record::write(&record.take(), &mut std::io::stdout().lock());
        }
    };
    tokio::select! {
        biased;
        () = printing => {}
        () = until_interrupted() => {}
    }
    let _ = record::write(&record.take(), &mut std::io::stdout().lock());
}

/// Runs a stand-in model store.
pub fn run_store(listen: &str, limit: usize) -> CommandResult {
    let requested: Address = listen.parse()?;
    on_this_thread(async {
        let record = Record::default();
        let opened = ModelStore::open(
            Rc::new(SocketNetwork),
            Clock::start(),
            record.clone(),
            &requested,
            limit,
        )
        .await;
        let (_store, address) = opened.map_err(|e| format!("{listen}: {e}"))?;
        println!("store at {address}");
        print_until_interrupted(&record).await;
        Ok(0)
    })?
}

/// Runs a stand-in invoker list.
pub fn run_list(deployment: &Path, listen: &str, invokers: &[String]) -> CommandResult {
    let (terms, requested): (DeploymentSpec, Address) = (load_terms(deployment)?, listen.parse()?);
    let mut entries = Vec::new();
    for argument in invokers {
        let (number, addresses) = argument
            .split_once('=')
            .ok_or(format!("'{argument}': NUMBER=ADDRESS is expected"))?;
        let (address, agent) = match addresses.split_once(',') {
            None => (addresses, None),
            Some((address, agent)) => (address, Some(agent.parse::<Address>()?.to_string())),
        };
        let number: u32 = number
            .parse()
            .map_err(|_| format!("'{argument}': a number is expected before '='"))?;
        let address: Address = address.parse()?;
        let settings = terms.invokers.iter().find(|i| i.invoker == number);
        let settings = settings.ok_or(format!(
            "invoker {number}: the deployment states {}",
            terms.invokers.len()
        ))?;
        entries.push(Entry {
            invoker: number,
            address: address.to_string(),
            zone: settings.zone,
            kind: settings.kind as u16,
            cell: settings.cell,
            life: Life::Ready,
            size: terms.size(settings.kind),
            incarnation: 1,
            age_tenths: 3 * terms.deployment.warm_up_time,
            agent,
        });
    }
    on_this_thread(async {
        let record = Record::default();
        let opened = EndpointList::open(
            Rc::new(SocketNetwork),
            Clock::start(),
            record.clone(),
            &requested,
        )
        .await;
        let (list, address) = opened.map_err(|e| format!("{listen}: {e}"))?;
        entries.into_iter().for_each(|e| list.publish(e));
        println!("list at {address}");
        print_until_interrupted(&record).await;
        Ok(0)
    })?
}

/// The exit code of a verdict.
fn exit_code(state: State) -> u8 {
    match state {
        State::Kept => 0,
        State::Broken => 1,
        State::CannotTell => 3,
    }
}

/// Loads a day and its script, by the name of a built-in day or by path.
pub fn day(name: &str) -> Result<(String, Day), String> {
    let (file, script) = match DAYS.iter().find(|d| d.0 == name) {
        Some((name, script)) => (format!("{name}.star"), (*script).to_owned()),
        None if name.ends_with(".star") => (name.to_owned(), read_script(Path::new(name))?),
        None => {
            let names: Vec<&str> = DAYS.iter().map(|d| d.0).collect();
            return Err(format!(
                "'{name}': a script.star or one of {} is expected",
                names.join(", ")
            ));
        }
    };
    let day = Day::load(&file, &script).map_err(|e| e.to_string())?;
    Ok((script, day))
}

/// Plays a day and prints the verdicts.
pub fn play(name: &str, virtually: bool, json: bool, record_path: Option<&Path>) -> CommandResult {
    let (_, day) = day(name)?;
    let lines = if virtually {
        play_virtually(&day, saltdrum_scenario::serve)
    } else {
        let folder = std::env::temp_dir().join(format!("saltdrum-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let played = play_on_sockets(&day, &folder);
        let _ = fs::remove_dir_all(&folder);
        played
    };
    let lines = lines.map_err(|e| e.to_string())?;
    if let Some(path) = record_path {
        let file = fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut file = BufWriter::new(file);
        let written = record::write(&lines, &mut file).and_then(|()| file.flush());
        written.map_err(|e| format!("{}: {e}", path.display()))?;
    }
    report(&day.name, &lines, json)
}

/// Checks the rules against a record and prints the verdicts.
pub fn check(path: &Path, json: bool) -> CommandResult {
    let file = fs::File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let lines =
        record::read(BufReader::new(file)).map_err(|e| format!("{}: {e}", path.display()))?;
    report(&path.to_string_lossy(), &lines, json)
}

/// Prints the summary of a record, and returns the exit code.
fn report(name: &str, lines: &[record::Line], json: bool) -> CommandResult {
    let summary = summary::summarize(name, lines, rules::check(lines)?);
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?
        );
    } else {
        print!("{}", summary.text());
    }
    Ok(exit_code(summary.state()))
}

/// Sends one line and returns the line of the response.
fn send_line(to: &str, line: String) -> Result<String, String> {
    let address: Address = to.parse()?;
    on_this_thread(async {
        let stream = SocketNetwork
            .dial(&address)
            .await
            .map_err(|e| format!("{address}: {e}"))?;
        let mut stream = tokio::io::BufStream::new(stream);
        let mut answer = String::new();
        let exchange = async {
            stream.write_all(line.as_bytes()).await?;
            stream.write_all(b"\n").await?;
            stream.flush().await?;
            stream.read_line(&mut answer).await
        };
        match exchange.await {
            Ok(0) => Err(format!("{address}: connection closed without a response")),
            Ok(_) => Ok(answer),
            Err(e) => Err(format!("{address}: {e}")),
        }
    })?
}

/// Invokes a function and prints the response. Exit codes: 0 result, 1 error.
#[expect(
    clippy::too_many_arguments,
    reason = "one for each option of the command line"
)]
pub fn call(
    to: &str,
    function: &str,
    tenant: &str,
    trigger: &str,
    input: &str,
    time_left_ms: Option<f64>,
    token: Option<String>,
    (passage, version): (Option<String>, Option<String>),
) -> CommandResult {
    let input: serde_json::Value =
        serde_json::from_str(input).map_err(|e| format!("--input: {e}"))?;
    let mut params = serde_json::json!({"function": function, "tenant": tenant, "trigger": trigger, "input": input});
    if let Some(time_left_ms) = time_left_ms {
        params["time_left_ms"] = time_left_ms.into();
    }
    if let Some(token) = token {
        params["token"] = token.into();
    }
    for (key, value) in [("passage", passage), ("version", version)] {
        if let Some(value) = value {
            params[key] = value.into();
        }
    }
    let call = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": "invoke", "params": params});
    let answer = send_line(to, call.to_string())?;
    print!("{answer}");
    let reply: serde_json::Value = serde_json::from_str(&answer).map_err(|e| e.to_string())?;
    Ok(u8::from(reply.get("error").is_some()))
}

/// Prints a controller's status.
pub fn status(to: &str) -> CommandResult {
    print!(
        "{}",
        send_line(to, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#.into())?
    );
    Ok(0)
}

/// Runs a registry over a folder of packed models.
pub fn run_registry(folder: &Path, listen: &str, limit: usize) -> CommandResult {
    let (layout, requested): (_, Address) = (
        Layout::open(folder).map_err(|e| e.to_string())?,
        listen.parse()?,
    );
    let registry = OciRegistry::new(limit, fastrand::u64(..));
    for (tag, digest) in layout.tags().map_err(|e| e.to_string())? {
        let (_, manifest) = layout.manifest(&tag).map_err(|e| e.to_string())?;
        let read =
            |d| fs::read(layout.path(d)).map_err(|e| format!("{}: {e}", layout.path(d).display()));
        for chunk in &manifest.chunks {
            registry.push_blob(chunk.digest, read(&chunk.digest)?);
        }
        let (repository, tag) = tag
            .rsplit_once(':')
            .ok_or(format!("tag '{tag}': NAME:TAG is expected"))?;
        registry.push_manifest(repository, tag, read(&digest)?);
    }
    on_this_thread(async {
        let address = registry
            .open(&SocketNetwork, &requested)
            .await
            .map_err(|e| format!("{listen}: {e}"))?;
        println!("registry at {address}");
        until_interrupted().await;
        println!(
            "{} blob requests",
            registry.requests.borrow().values().sum::<u32>()
        );
        Ok(0)
    })?
}

/// Options of an agent.
pub struct AgentOptions<'a> {
    pub me: u32,
    pub listen: &'a str,
    pub store: &'a str,
    pub list: &'a str,
    pub folder: &'a Path,
    pub cache_mb: u64,
    pub door: &'a str,
}

/// Runs an agent; orders to load models arrive at its control endpoint.
pub fn run_agent(options: &AgentOptions) -> CommandResult {
    let (listen, store, list): (Address, Address, Address) = (
        options.listen.parse()?,
        options.store.parse()?,
        options.list.parse()?,
    );
    let control_address: Address = options.door.parse()?;
    on_this_thread(async {
        let clock = Clock::start();
        let cache = Cache::open(
            options.folder,
            options.cache_mb * 1_000_000,
            Rc::new(RealDisk),
        );
        let cache = cache.map_err(|e| format!("{}: {e}", options.folder.display()))?;
        let config = saltdrum_agent::AgentConfig {
            invoker: options.me,
            seed: fastrand::u64(..),
            store,
            serve_bytes_per_second: 200e6,
        };
        let network: Rc<dyn Network> = Rc::new(SocketNetwork);
        let agent = saltdrum_agent::Agent::new(config, cache, network.clone(), clock);
        let (peers, address) = network
            .listen(&listen)
            .await
            .map_err(|e| format!("{listen}: {e}"))?;
        let (mut orders, _) = network
            .listen(&control_address)
            .await
            .map_err(|e| format!("{control_address}: {e}"))?;
        println!("agent {} at {}", options.me, address);
        tokio::task::spawn_local(agent.clone().serve(peers));
        tokio::task::spawn_local(saltdrum_agent::follow(agent.clone(), network, list));
        let accepting = async {
            while let Ok(stream) = orders.accept().await {
                tokio::task::spawn_local(serve_orders(agent.clone(), stream));
            }
        };
        tokio::select! {
            () = accepting => {}
            () = until_interrupted() => {}
        }
        Ok(0)
    })?
}

/// Serves line-delimited JSON-RPC: `load {model, reference}` and `status`.
async fn serve_orders(agent: Rc<saltdrum_agent::Agent>, stream: saltdrum_transport::Stream) {
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Load {
        model: String,
        reference: String,
    }
    let mut stream = tokio::io::BufStream::new(stream);
    let mut line = String::new();
    while stream.read_line(&mut line).await.is_ok_and(|n| n > 0) {
        let answer = match rpc::parse_line(line.trim().as_bytes()) {
            Ok(rpc::Line::Single(Ok(call))) => {
                let id = call.id.unwrap_or_else(rpc::Id::null);
                let params = call.params.as_ref().map_or("{}", |p| p.get());
                match (call.method.as_str(), serde_json::from_str::<Load>(params)) {
                    ("load", Ok(load)) => match agent.load(&load.model, &load.reference).await {
                        Ok(loaded) => {
                            let loaded_model = serde_json::json!({"digest": loaded.digest.to_string(),
                                "chunks": loaded.manifest.chunks.len(), "bytes": loaded.manifest.bytes()});
                            rpc::format_result(&id, &loaded_model.to_string())
                        }
                        Err(e) => rpc::format_error(&id, rpc::ERRORED, &e.to_string(), None),
                    },
                    ("load", Err(e)) => {
                        rpc::format_error(&id, rpc::INVALID_PARAMS, &e.to_string(), None)
                    }
                    ("status", _) => {
                        let counts = &agent.counts;
                        let status = serde_json::json!({"from_cache": counts.from_cache.get(),
                            "from_peers": counts.from_peers.get(), "from_store": counts.from_store.get(),
                            "bytes_from_store": counts.bytes_from_store.get(), "damaged": counts.damaged.get(),
                            "served": counts.served.get(), "held_bytes": agent.cache.bytes()});
                        rpc::format_result(&id, &status.to_string())
                    }
                    (other, _) => {
                        let why = format!("method '{other}': load or status is expected");
                        rpc::format_error(&id, rpc::METHOD_NOT_FOUND, &why, None)
                    }
                }
            }
            Ok(rpc::Line::Batch(_)) => rpc::format_error(
                &rpc::Id::null(),
                rpc::INVALID_REQUEST,
                "no batches here",
                None,
            ),
            Ok(rpc::Line::Single(Err(invalid))) | Err(invalid) => {
                rpc::format_error(&invalid.id, invalid.code, &invalid.why, None)
            }
        };
        line.clear();
        let written = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.write_all(b"\n").await?;
            stream.flush().await
        };
        if written.await.is_err() {
            return;
        }
    }
}
