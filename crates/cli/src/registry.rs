//! `saltdrum registry`: the service, and the administrator's side of it.

use crate::collection::{self, FleetTasks};
use crate::key_file;
use crate::process::{on_this_thread, open_on_disk, until_interrupted};
use clap::{Args, Subcommand};
use saltdrum_layers::cut;
use saltdrum_layers::layout::Layout;
use saltdrum_registry::client::RegistryClient;
use saltdrum_registry::{Name, Namespace, Role, Store, keys, service, store};
use saltdrum_transport::{Address, Clock, Network, SocketNetwork};
use serde_json::{Value as Json, json};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

const FILE: &str = "registry.redb";

/// Where the registry is, and what opens it.
#[derive(Args)]
pub struct To {
    /// tcp:HOST:PORT or unix:PATH
    #[arg(long)]
    to: String,
    /// File with the key.
    #[arg(long)]
    key: PathBuf,
}

#[derive(Args)]
pub struct Which {
    #[command(flatten)]
    to: To,
    alias: String,
    /// A tenant's own alias; that of all where it is left out.
    #[arg(long)]
    tenant: Option<String>,
    /// Revision at which it last changed, as `show` tells; asked for where it is left out.
    #[arg(long)]
    expect: Option<u64>,
}

#[derive(Subcommand)]
pub enum Registry {
    /// Makes a registry, and writes its first owner's key to a file.
    Init {
        folder: PathBuf,
        #[arg(long)]
        key: PathBuf,
        #[arg(long, default_value = "owner")]
        id: String,
    },
    /// Runs it until interrupted.
    Serve {
        folder: PathBuf,
        #[arg(long)]
        listen: String,
        #[command(flatten)]
        tasks: FleetTasks,
    },
    /// Packs a model's file and makes it a version.
    Push {
        #[command(flatten)]
        to: To,
        model: String,
        version: String,
        file: PathBuf,
        /// The registry's folder.
        #[arg(long)]
        folder: PathBuf,
        #[arg(long)]
        memory_mb: u64,
        #[arg(long)]
        lanes: u32,
        #[arg(long = "trigger", required = true)]
        triggers: Vec<String>,
    },
    /// Shows versions, aliases and keys.
    Show {
        #[command(flatten)]
        to: To,
        #[arg(long)]
        json: bool,
    },
    /// Shows the revision and who follows how far behind.
    Status {
        #[command(flatten)]
        to: To,
    },
    /// Makes an alias for a version.
    Alias {
        #[command(flatten)]
        which: Which,
        model: String,
        version: String,
    },
    /// Moves an alias to another version, at once or in a stage.
    Move {
        #[command(flatten)]
        which: Which,
        version: String,
        /// Of a thousand passages, so many begin with it first.
        #[arg(long)]
        stage: Option<u16>,
        /// It is stopped when of a thousand answers so many more err than of the old version's.
        #[arg(long, default_value_t = 10)]
        errors: u16,
        /// Answers after which it is said to be well.
        #[arg(long, default_value_t = 1_000)]
        answers: u64,
    },
    /// Back to what the alias stood for before; gives a stage up.
    Rollback {
        #[command(flatten)]
        which: Which,
    },
    /// Takes an alias away.
    Unalias {
        #[command(flatten)]
        which: Which,
    },
    /// Nobody may use a version any more: passages with it end.
    Withdraw {
        #[command(flatten)]
        to: To,
        model: String,
        version: String,
    },
    /// Takes a version away that no alias names. Its name is never used again.
    Delete {
        #[command(flatten)]
        to: To,
        model: String,
        version: String,
    },
    /// Who changed what, when, from what to what.
    History {
        #[command(flatten)]
        to: To,
        #[arg(long, default_value_t = 0)]
        after: u64,
        #[arg(long, default_value_t = 100)]
        most: usize,
    },
    /// Makes a key for someone, and writes it to a file.
    Key {
        #[command(flatten)]
        to: To,
        id: String,
        /// reader, publisher, mover or owner
        #[arg(long)]
        role: String,
        #[arg(long)]
        out: PathBuf,
    },
    /// Takes a key away.
    Unkey {
        #[command(flatten)]
        to: To,
        id: String,
    },
    /// Removes blobs that nothing has named for a while.
    Gc {
        #[command(flatten)]
        to: To,
        /// Longer than the longest load.
        #[arg(long, default_value_t = 600)]
        grace_s: u64,
        /// By the fleet's lease, which has to be paused: refused while somebody holds it.
        #[command(flatten)]
        tasks: FleetTasks,
    },
    /// Checks the whole history, and every byte that versions lead to.
    Verify {
        #[command(flatten)]
        to: To,
    },
    /// Writes the whole history to a file, while the registry serves.
    Backup {
        #[command(flatten)]
        to: To,
        file: PathBuf,
    },
    /// Makes a registry of a backup, in a folder where there is none.
    Restore {
        file: PathBuf,
        folder: PathBuf,
        /// At least the highest revision that anyone has obeyed.
        #[arg(long)]
        over: u64,
    },
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

fn chance() -> Result<[u8; 32], String> {
    let mut bytes = [0; 32];
    let mut source = File::open("/dev/urandom").map_err(|e| format!("/dev/urandom: {e}"))?;
    std::io::Read::read_exact(&mut source, &mut bytes).map_err(|e| format!("/dev/urandom: {e}"))?;
    Ok(bytes)
}

/// Makes a registry and the key of its owner. The key is on disk before the registry is there, and gets its name after: a
/// registry whose key nobody knows is of no use, and a key that opens nothing would be in the way of the next try.
fn init(folder: &Path, key: &Path, id: &Name) -> Result<u8, String> {
    let text = |e: std::io::Error| format!("{}: {e}", key.display());
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let path = folder.join(FILE);
    if !path.exists() {
        Layout::open(folder).map_err(|e| e.to_string())?;
        key_file::is_free(key).map_err(text)?;
        let chance = chance()?;
        let found = |store: &mut Store| {
            let key_text = service::create_first_owner(store, id, chance, now_ms())?;
            key_file::write_unfinished(key, &key_text).map_err(|e| store::StoreError::Disk {
                place: key.display().to_string(),
                why: e.into(),
            })
        };
        Store::create_file(&path, found).map_err(|e| e.to_string())?;
    } else if !opens(&path, &key_file::read_unfinished(key).unwrap_or_default())? {
        return Err(format!("{}: there is a registry already", path.display()));
    }
    key_file::finish(key).map_err(text)?;
    println!(
        "{}: a registry; the key of '{id}' is in {}",
        path.display(),
        key.display()
    );
    Ok(0)
}

/// Whether this is the text of a key of the registry at `path`.
fn opens(path: &Path, key_text: &str) -> Result<bool, String> {
    if key_text.is_empty() {
        return Ok(false);
    }
    let store = Store::open_file(path).map_err(|e| e.to_string())?;
    Ok(keys::authenticate(&store.head().state, key_text).is_ok())
}

pub fn read_key(path: &Path) -> Result<String, String> {
    Ok(fs::read_to_string(path)
        .map_err(|e| format!("{}: {e}", path.display()))?
        .trim()
        .to_owned())
}

fn name(text: &str) -> Result<Name, String> {
    text.parse()
        .map_err(|e: saltdrum_registry::names::InvalidName| e.to_string())
}

fn space(tenant: Option<&str>) -> Result<Namespace, String> {
    tenant.map_or(Ok(Namespace::All), |t| name(t).map(Namespace::Tenant))
}

async fn dial(to: &To) -> Result<RegistryClient, String> {
    let at: Address = to.to.parse()?;
    let network: Rc<dyn Network> = Rc::new(SocketNetwork);
    RegistryClient::connect(&network, &at, &read_key(&to.key)?)
        .await
        .map_err(|e| e.to_string())
}

fn call(to: &To, method: &str, params: Json) -> Result<Json, String> {
    on_this_thread(async {
        dial(to)
            .await?
            .call(method, params)
            .await
            .map_err(|e| e.to_string())
    })?
}

fn change(to: &To, change: Json) -> Result<u8, String> {
    let told = call(to, "change", json!({ "change": change }))?;
    println!("revision {}", told["revision"]);
    Ok(0)
}

/// The alias as it is, and the revision to compare with: what the operator says, or what it is now.
fn create_first_owner(which: &Which) -> Result<(Json, u64), String> {
    let shown = call(&which.to, "show", json!({}))?;
    let at = json!(space(which.tenant.as_deref())?);
    let all = shown["aliases"].as_array().cloned().unwrap_or_default();
    let is = all
        .into_iter()
        .find(|a| a["alias"] == which.alias.as_str() && a["space"] == at);
    let is = is.ok_or_else(|| format!("alias '{}' is not known", which.alias))?["is"].clone();
    let changed = is["changed"].as_u64().unwrap_or(0);
    Ok((is, which.expect.unwrap_or(changed)))
}

fn of(which: &Which, kind: &str) -> Result<u8, String> {
    let (_, expect) = create_first_owner(which)?;
    let space = space(which.tenant.as_deref())?;
    change(
        &which.to,
        json!({"change": kind, "space": space, "alias": which.alias, "expect": expect}),
    )
}

/// 0: done. 1: something is wrong with what is kept. 2: bad input, or refused.
pub fn run(what: &Registry) -> Result<u8, String> {
    let fault = |e: store::StoreError| e.to_string();
    match what {
        Registry::Init { folder, key, id } => init(folder, key, &name(id)?),
        Registry::Serve {
            folder,
            listen,
            tasks,
        } => {
            let at: Address = listen.parse()?;
            let path = folder.join(FILE);
            if !path.exists() {
                return Err(format!(
                    "{}: no registry is here; registry init makes one",
                    path.display()
                ));
            }
            on_this_thread(async {
                let store = open_on_disk(|| Store::open_file(&path)).await?;
                println!("registry at {at}, revision {}", store.head().revision());
                let registry = service::Registry::new(store, Some(folder), Rc::new(now_ms));
                let collected = collection::serve(tasks, &registry)?;
                tokio::select! {
                    biased;
                    done = collected => done,
                    done = registry.serve(Rc::new(SocketNetwork), &at, Clock::start()) => {
                        done.map_err(|e| format!("{at}: {e}"))
                    }
                    () = until_interrupted() => Ok(()),
                }
            })??;
            Ok(0)
        }
        Registry::Push {
            to,
            model,
            version,
            file,
            folder,
            memory_mb,
            lanes,
            triggers,
        } => {
            let (model, version) = (name(model)?, name(version)?);
            let read = || File::open(file).map_err(|e| format!("{}: {e}", file.display()));
            let mut digests = BTreeSet::new();
            // First what it will consist of, so that it is held before anyone looks for what is there.
            let manifest = cut::pack(read()?, |chunk, _| {
                digests.insert(chunk.digest.to_string());
                Ok(())
            });
            let manifest = manifest.map_err(|e| format!("{}: {e}", file.display()))?;
            let digest = saltdrum_layers::Digest::of(&manifest.to_json());
            digests.insert(digest.to_string());
            let layout = Layout::open(folder).map_err(|e| e.to_string())?;
            on_this_thread(async {
                let mut caller = dial(to).await?;
                let begun = caller
                    .call("begin", json!({ "digests": digests }))
                    .await
                    .map_err(|e| e.to_string())?;
                layout
                    .pack(file, &format!("{model}_{version}"))
                    .map_err(|e| e.to_string())?;
                let push = json!({"lease": begun["lease"], "model": model, "name": version, "manifest": digest.to_string(),
                    "memory_mb": memory_mb, "lanes": lanes, "trigger_types": triggers});
                let told = caller.call("push", push).await.map_err(|e| e.to_string())?;
                println!("{model}@{version} {digest}: revision {}", told["revision"]);
                Ok(0)
            })?
        }
        Registry::Show { to, json } => {
            let shown = call(to, "show", json!({}))?;
            if *json {
                println!("{shown:#}");
                return Ok(0);
            }
            println!("revision {}", shown["revision"]);
            let text = |v: &Json| v.as_str().unwrap_or("-").to_owned();
            let list = |key: &str| shown[key].as_array().cloned().unwrap_or_default();
            for v in list("versions") {
                let (is, name) = (
                    &v["version"],
                    format!("{}@{}", text(&v["model"]), text(&v["name"])),
                );
                println!(
                    "{name}  {}  {} MB, {} lanes  {}",
                    text(&v["standing"]),
                    is["memory_mb"],
                    is["lanes"],
                    text(&is["manifest"])
                );
            }
            for a in list("aliases") {
                let is = &a["is"];
                let stage = is["stage"].as_object().map(|s| {
                    format!(
                        ", {} of a thousand passages begin with {}",
                        s["per_mille"],
                        text(&s["to"])
                    )
                });
                println!(
                    "{} -> {}@{}  changed at {}, before {}{}  ({})",
                    text(&a["alias"]),
                    text(&is["model"]),
                    text(&is["version"]),
                    is["changed"],
                    text(&is["before"]),
                    stage.unwrap_or_default(),
                    a["space"]["tenant"].as_str().unwrap_or("all")
                );
            }
            for k in list("keys") {
                println!("key {}: {}", text(&k["id"]), text(&k["role"]));
            }
            Ok(0)
        }
        Registry::Status { to } => {
            println!("{:#}", call(to, "status", json!({}))?);
            Ok(0)
        }
        Registry::Alias {
            which,
            model,
            version,
        } => {
            let (space, alias) = (space(which.tenant.as_deref())?, &which.alias);
            change(
                &which.to,
                json!({"change": "move", "space": space, "alias": alias, "model": model,
                "version": version, "expect": 0, "stage": null}),
            )
        }
        Registry::Move {
            which,
            version,
            stage,
            errors,
            answers,
        } => {
            let (is, expect) = create_first_owner(which)?;
            let stage = stage.map(|share| {
                json!({"to": version, "per_mille": share, "errors_per_mille": errors, "answers": answers})
            });
            let (space, alias) = (space(which.tenant.as_deref())?, &which.alias);
            change(
                &which.to,
                json!({"change": "move", "space": space, "alias": alias, "model": is["model"],
                "version": version, "expect": expect, "stage": stage}),
            )
        }
        Registry::Rollback { which } => of(which, "roll-back"),
        Registry::Unalias { which } => of(which, "drop-alias"),
        Registry::Withdraw { to, model, version } => change(
            to,
            json!({"change": "withdraw", "model": model, "name": version}),
        ),
        Registry::Delete { to, model, version } => change(
            to,
            json!({"change": "delete", "model": model, "name": version}),
        ),
        Registry::History { to, after, most } => {
            let told = call(to, "history", json!({"after": after, "most": most}))?;
            for e in told["entries"].as_array().cloned().unwrap_or_default() {
                println!(
                    "{} {} {} {}",
                    e["revision"],
                    e["at_ms"],
                    e["who"].as_str().unwrap_or("-"),
                    e["change"]
                );
            }
            Ok(0)
        }
        Registry::Key { to, id, role, out } => {
            let id = name(id)?;
            let role: Role = serde_json::from_value(json!(role)).map_err(|e| e.to_string())?;
            let (text, hash) = keys::generate(&id, chance()?);
            key_file::write(out, &text).map_err(|e| format!("{}: {e}", out.display()))?;
            change(
                to,
                json!({"change": "add-key", "id": id, "role": role, "hash": hash}),
            )
        }
        Registry::Unkey { to, id } => change(to, json!({"change": "withdraw-key", "id": id})),
        Registry::Gc {
            to: _,
            grace_s,
            tasks,
        } if tasks.is_said() => collection::by_hand(tasks, *grace_s),
        Registry::Gc {
            to,
            grace_s,
            tasks: _,
        } => {
            let told = call(to, "collect", json!({"grace_ms": grace_s * 1_000}))?;
            println!("{} blobs gone, {} bytes", told["gone"], told["bytes"]);
            Ok(0)
        }
        Registry::Verify { to } => {
            let told = call(to, "verify", json!({}))?;
            let wrong = told["wrong"].as_array().cloned().unwrap_or_default();
            println!(
                "{} entries, their chain holds; {} wrong",
                told["entries"],
                wrong.len()
            );
            wrong
                .iter()
                .for_each(|w| println!("{}", w.as_str().unwrap_or("-")));
            Ok(u8::from(!wrong.is_empty()))
        }
        Registry::Backup { to, file } => {
            let at = std::path::absolute(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let told = call(to, "back_up", json!({ "to": at }))?;
            println!("{} entries, revision {}", told["entries"], told["revision"]);
            Ok(0)
        }
        Registry::Restore { file, folder, over } => {
            Layout::open(folder).map_err(|e| e.to_string())?;
            let head = store::restore(file, &folder.join(FILE), *over, "restore", now_ms())
                .map_err(fault)?;
            println!("restored; it goes on at revision {}", head.revision());
            Ok(0)
        }
    }
}
