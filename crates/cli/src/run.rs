//! What each sub-command starts.

use crate::collection::Collects;
use crate::fleet::Joins;
use crate::leases::{COUNT, counts, holder};
use crate::process::{on_this_thread, until_interrupted};
use crate::scripts::{fleet_terms, terms, text};
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

type Done = Result<u8, String>;

/// The registry that controllers follow, as it was said.
pub struct Names {
    pub registry: Option<String>,
    pub key: Option<PathBuf>,
    pub copies: Option<PathBuf>,
    pub passage_s: u64,
}

impl Names {
    fn following(&self, who: String, copy: &str) -> Result<Option<FollowConfig>, String> {
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

    fn at(&self, controller: u32) -> Result<Option<AliasConfig>, String> {
        let (who, copy) = (
            format!("controller-{controller}"),
            format!("names-{controller}"),
        );
        let Some(following) = self.following(who, &copy)? else {
            return Ok(None);
        };
        // The clock of a controller reads an hour at its start.
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let epoch_ms = now - now.min(Clock::start().now() / 10);
        Ok(Some(AliasConfig {
            registry: following,
            pin_duration: self.passage_s * SECOND,
            epoch_ms,
        }))
    }
}

#[expect(
    clippy::too_many_arguments,
    reason = "they are what the command line says"
)]
pub fn serve(
    deployment: &Path,
    lists: &[String],
    joins: &Joins,
    clients: &[String],
    first: u32,
    zone: Option<&str>,
    seed: Option<u64>,
    names: &Names,
    collects: &Collects,
    make: PolicyFactory,
) -> Done {
    let (terms, fleet) = fleet_terms(deployment)?;
    if terms.functions.is_empty() && names.registry.is_none() {
        let place = deployment.display();
        return Err(format!(
            "{place}: no function(...) is stated, and no --registry: nothing could be invoked"
        ));
    }
    let lists: Vec<Address> = lists
        .iter()
        .map(|l| l.parse().map_err(String::from))
        .collect::<Result<_, String>>()?;
    let joined = joins.checked(fleet.as_ref())?;
    let zone = match zone {
        None => 0,
        Some(name) => terms
            .zones
            .iter()
            .position(|z| z == name)
            .ok_or(format!("no zone is named '{name}'"))?,
    };
    let mut threads = Vec::new();
    for (n, clients) in clients.iter().enumerate() {
        let (clients, lists, terms): (Address, _, _) =
            (clients.parse()?, lists.clone(), terms.clone());
        let collects = collects.clone();
        let joined = joined.clone();
        let controller = first + n as u32;
        let names = names.at(controller)?;
        // Drawn anew at each start, so that invokers and list tell its lives apart.
        let incarnation = fastrand::u64(1..1 << 48);
        let seed = seed.map_or_else(|| fastrand::u64(..), |s| s ^ u64::from(controller));
        threads.push(std::thread::spawn(move || {
            on_this_thread(async {
                let (zone, terms) = (zone as u8, Rc::new(terms));
                let going = ShutdownHandle::default();
                let tasks = collects.tasks();
                let part = joined
                    .map(|j| j.controller(controller, incarnation, zone, &terms, &clients, &going, tasks));
                let collector = collects.holder(part.as_ref().map(|(with, _)| with))?;
                let clients = vec![clients];
                let opens_when_ready = part.is_some();
                let seat = ControllerConfig {
                    controller,
                    incarnation,
                    seed,
                    zone,
                    client_addresses: clients,
                    endpoint_lists: lists,
                    terms,
                    aliases: names,
                    shutdown: going,
                    listens_when_ready: opens_when_ready,
                };
                tokio::select! {
                    biased;
                    ended = crate::fleet::stays_member(part) => ended,
                    () = collects.run(collector) => Ok(()),
                    done = saltdrum_controller::serve(seat, Rc::new(SocketNetwork), Clock::start(), make) => {
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

#[expect(
    clippy::too_many_arguments,
    reason = "they are what the command line says"
)]
pub fn invoker(
    deployment: &Path,
    number: u32,
    listen: &str,
    store: Option<&str>,
    joins: &Joins,
    names: &Names,
    faults: Faults,
    count_on: &[String],
    acts_before_seals: bool,
) -> Done {
    let versions = names.following(format!("invoker-{number}"), "")?;
    let (terms, fleet) = fleet_terms(deployment)?;
    let joined = joins.checked(fleet.as_ref())?;
    let terms = Rc::new(terms);
    let stated = terms.invokers.iter().find(|i| i.invoker == number).cloned();
    let stated = stated.ok_or(format!(
        "invoker {number}: the deployment states {}",
        terms.invokers.len()
    ))?;
    let (at, store) = (
        RefCell::new(listen.parse()?),
        store.map(str::parse).transpose()?,
    );
    on_this_thread(async {
        let (clock, turns, record) = (Clock::start(), EventLoopClock::default(), Record::default());
        tokio::task::spawn_local(run_event_loop_clock(turns.clone(), clock, |_, _| ()));
        let site = InvokerConfig {
            terms,
            stated,
            network: Rc::new(SocketNetwork),
            clock,
            record_clock: clock,
            event_loop: turns,
            record: record.clone(),
            address: at,
            store,
            tokens: Default::default(),
            seed: fastrand::u64(..),
            fetch_share: 0.6,
            registry_follow: versions,
            layers: None,
        };
        let invoker = Invoker::new(site);
        invoker.update_faults(|f, _| *f = faults);
        if joined.is_some() {
            // Below the sign bit: JSON readers elsewhere take no more.
            invoker.set_next_incarnation(fastrand::u64(2..1 << 48));
        }
        let address = invoker
            .start(joined.is_some() && joins.cold, &[])
            .await
            .map_err(|e| format!("{listen}: {e}"))?;
        println!("invoker {number} at {address}");
        let tasks: BTreeSet<String> = (!count_on.is_empty())
            .then(|| COUNT.to_owned())
            .into_iter()
            .collect();
        let part = joined.map(|j| j.invoker(&invoker, tasks));
        let holder = match &part {
            Some((with, _)) if !count_on.is_empty() => Some(holder(with, count_on)?),
            _ => None,
        };
        tokio::select! {
            biased;
            () = counts(holder, acts_before_seals) => Ok(0),
            ended = crate::fleet::stays_member(part) => {
                let _ = record::write(&record.take(), &mut std::io::stdout().lock());
                ended.map(|()| 0)
            }
            () = print_until_interrupted(&record) => Ok(0),
        }
    })?
}

/// A stand-in's record goes to standard output, a line of JSON each.
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

pub fn store(listen: &str, limit: usize) -> Done {
    let at: Address = listen.parse()?;
    on_this_thread(async {
        let record = Record::default();
        let opened = ModelStore::open(
            Rc::new(SocketNetwork),
            Clock::start(),
            record.clone(),
            &at,
            limit,
        )
        .await;
        let (_store, address) = opened.map_err(|e| format!("{listen}: {e}"))?;
        println!("store at {address}");
        print_until_interrupted(&record).await;
        Ok(0)
    })?
}

pub fn list(deployment: &Path, listen: &str, invokers: &[String]) -> Done {
    let (terms, at): (DeploymentSpec, Address) = (terms(deployment)?, listen.parse()?);
    let mut entries = Vec::new();
    for said in invokers {
        let (number, at) = said
            .split_once('=')
            .ok_or(format!("'{said}': NUMBER=ADDRESS is expected"))?;
        let (address, agent) = match at.split_once(',') {
            None => (at, None),
            Some((address, agent)) => (address, Some(agent.parse::<Address>()?.to_string())),
        };
        let number: u32 = number
            .parse()
            .map_err(|_| format!("'{said}': a number is expected before '='"))?;
        let address: Address = address.parse()?;
        let stated = terms.invokers.iter().find(|i| i.invoker == number);
        let stated = stated.ok_or(format!(
            "invoker {number}: the deployment states {}",
            terms.invokers.len()
        ))?;
        entries.push(Entry {
            invoker: number,
            address: address.to_string(),
            zone: stated.zone,
            kind: stated.kind as u16,
            cell: stated.cell,
            life: Life::Ready,
            size: terms.size(stated.kind),
            incarnation: 1,
            age_tenths: 3 * terms.deployment.warm_up_time,
            agent,
        });
    }
    on_this_thread(async {
        let record = Record::default();
        let opened =
            EndpointList::open(Rc::new(SocketNetwork), Clock::start(), record.clone(), &at).await;
        let (list, address) = opened.map_err(|e| format!("{listen}: {e}"))?;
        entries.into_iter().for_each(|e| list.publish(e));
        println!("list at {address}");
        print_until_interrupted(&record).await;
        Ok(0)
    })?
}

fn code(state: State) -> u8 {
    match state {
        State::Kept => 0,
        State::Broken => 1,
        State::CannotTell => 3,
    }
}

/// A day and its script's text, by the name of one that comes with the program or by its file.
pub fn day(name: &str) -> Result<(String, Day), String> {
    let (file, script) = match DAYS.iter().find(|d| d.0 == name) {
        Some((name, script)) => (format!("{name}.star"), (*script).to_owned()),
        None if name.ends_with(".star") => (name.to_owned(), text(Path::new(name))?),
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

pub fn play(name: &str, virtually: bool, json: bool, keep: Option<&Path>) -> Done {
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
    if let Some(path) = keep {
        let file = fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut file = BufWriter::new(file);
        let kept = record::write(&lines, &mut file).and_then(|()| file.flush());
        kept.map_err(|e| format!("{}: {e}", path.display()))?;
    }
    tell(&day.name, &lines, json)
}

pub fn check(path: &Path, json: bool) -> Done {
    let file = fs::File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let lines =
        record::read(BufReader::new(file)).map_err(|e| format!("{}: {e}", path.display()))?;
    tell(&path.to_string_lossy(), &lines, json)
}

fn tell(name: &str, lines: &[record::Line], json: bool) -> Done {
    let summary = summary::summarize(name, lines, rules::check(lines)?);
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&summary).map_err(|e| e.to_string())?
        );
    } else {
        print!("{}", summary.text());
    }
    Ok(code(summary.state()))
}

/// Sends one line and gives the answer's line.
fn ask(to: &str, line: String) -> Result<String, String> {
    let address: Address = to.parse()?;
    on_this_thread(async {
        let stream = SocketNetwork
            .dial(&address)
            .await
            .map_err(|e| format!("{address}: {e}"))?;
        let mut stream = tokio::io::BufStream::new(stream);
        let mut answer = String::new();
        let told = async {
            stream.write_all(line.as_bytes()).await?;
            stream.write_all(b"\n").await?;
            stream.flush().await?;
            stream.read_line(&mut answer).await
        };
        match told.await {
            Ok(0) => Err(format!("{address}: hung up without an answer")),
            Ok(_) => Ok(answer),
            Err(e) => Err(format!("{address}: {e}")),
        }
    })?
}

#[expect(
    clippy::too_many_arguments,
    reason = "they are what the command line says"
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
) -> Done {
    let input: serde_json::Value =
        serde_json::from_str(input).map_err(|e| format!("--input: {e}"))?;
    let mut params = serde_json::json!({"function": function, "tenant": tenant, "trigger": trigger, "input": input});
    if let Some(left) = time_left_ms {
        params["time_left_ms"] = left.into();
    }
    if let Some(token) = token {
        params["token"] = token.into();
    }
    for (key, said) in [("passage", passage), ("version", version)] {
        if let Some(said) = said {
            params[key] = said.into();
        }
    }
    let call = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": "invoke", "params": params});
    let answer = ask(to, call.to_string())?;
    print!("{answer}");
    let reply: serde_json::Value = serde_json::from_str(&answer).map_err(|e| e.to_string())?;
    Ok(u8::from(reply.get("error").is_some()))
}

pub fn status(to: &str) -> Done {
    print!(
        "{}",
        ask(to, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#.into())?
    );
    Ok(0)
}

/// A registry over a folder of packed models.
pub fn registry(folder: &Path, listen: &str, limit: usize) -> Done {
    let (layout, at): (_, Address) = (
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
            .open(&SocketNetwork, &at)
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

/// What an agent is told on its command line.
pub struct AgentSeat<'a> {
    pub me: u32,
    pub listen: &'a str,
    pub store: &'a str,
    pub list: &'a str,
    pub folder: &'a Path,
    pub cache_mb: u64,
    pub door: &'a str,
}

/// An agent as a process of its own; what it is to load is said at its door.
pub fn agent(at: &AgentSeat) -> Done {
    let (listen, store, list): (Address, Address, Address) =
        (at.listen.parse()?, at.store.parse()?, at.list.parse()?);
    let door: Address = at.door.parse()?;
    on_this_thread(async {
        let clock = Clock::start();
        let cache = Cache::open(at.folder, at.cache_mb * 1_000_000, Rc::new(RealDisk));
        let cache = cache.map_err(|e| format!("{}: {e}", at.folder.display()))?;
        let seat = saltdrum_agent::AgentConfig {
            invoker: at.me,
            seed: fastrand::u64(..),
            store,
            serve_bytes_per_second: 200e6,
        };
        let network: Rc<dyn Network> = Rc::new(SocketNetwork);
        let agent = saltdrum_agent::Agent::new(seat, cache, network.clone(), clock);
        let opened = network
            .listen(&listen)
            .await
            .map_err(|e| format!("{listen}: {e}"))?;
        let (mut orders, _) = network
            .listen(&door)
            .await
            .map_err(|e| format!("{door}: {e}"))?;
        println!("agent {} at {}", at.me, opened.1);
        tokio::task::spawn_local(agent.clone().serve(opened.0));
        tokio::task::spawn_local(saltdrum_agent::follow(agent.clone(), network, list));
        let taking = async {
            while let Ok(stream) = orders.accept().await {
                tokio::task::spawn_local(take_orders(agent.clone(), stream));
            }
        };
        tokio::select! {
            () = taking => {}
            () = until_interrupted() => {}
        }
        Ok(0)
    })?
}

/// JSON-RPC by lines: `load {model, reference}` and `status`.
async fn take_orders(agent: Rc<saltdrum_agent::Agent>, stream: saltdrum_transport::Stream) {
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
                            let told = serde_json::json!({"digest": loaded.digest.to_string(),
                                "chunks": loaded.manifest.chunks.len(), "bytes": loaded.manifest.bytes()});
                            rpc::format_result(&id, &told.to_string())
                        }
                        Err(e) => rpc::format_error(&id, rpc::ERRORED, &e.to_string(), None),
                    },
                    ("load", Err(e)) => {
                        rpc::format_error(&id, rpc::INVALID_PARAMS, &e.to_string(), None)
                    }
                    ("status", _) => {
                        let c = &agent.counts;
                        let told = serde_json::json!({"from_cache": c.from_cache.get(),
                            "from_peers": c.from_peers.get(), "from_store": c.from_store.get(),
                            "bytes_from_store": c.bytes_from_store.get(), "damaged": c.damaged.get(),
                            "served": c.served.get(), "held_bytes": agent.cache.bytes()});
                        rpc::format_result(&id, &told.to_string())
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
            Ok(rpc::Line::Single(Err(r))) | Err(r) => {
                rpc::format_error(&r.id, r.code, &r.why, None)
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
