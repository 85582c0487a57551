//! `saltdrum registry`: the service and its administration.

use crate::collection::{self, FleetTaskOptions};
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

/// The database file in the folder of a registry.
const FILE: &str = "registry.redb";

/// Address of a registry, and the key that grants access to it.
#[derive(Args)]
pub struct RegistryTarget {
    /// Address of the registry, tcp:HOST:PORT or unix:PATH.
    #[arg(long)]
    to: String,
    /// File with the key that grants access.
    #[arg(long)]
    key: PathBuf,
}

/// An alias, and the revision that a change of it expects.
#[derive(Args)]
pub struct AliasTarget {
    #[command(flatten)]
    to: RegistryTarget,
    alias: String,
    /// Tenant of the alias; an alias of all tenants if omitted.
    #[arg(long)]
    tenant: Option<String>,
    /// Expected revision of its last change, as shown by `show`; looked up if omitted.
    #[arg(long)]
    expect: Option<u64>,
}

#[derive(Subcommand)]
pub enum RegistryCommand {
    /// Creates a registry, and writes its first owner's key to a file.
    Init {
        folder: PathBuf,
        #[arg(long)]
        key: PathBuf,
        #[arg(long, default_value = "owner")]
        id: String,
    },
    /// Serves a registry until interrupted.
    Serve {
        folder: PathBuf,
        #[arg(long)]
        listen: String,
        #[command(flatten)]
        tasks: FleetTaskOptions,
    },
    /// Packs a model's file and publishes it as a version.
    Push {
        #[command(flatten)]
        to: RegistryTarget,
        model: String,
        version: String,
        file: PathBuf,
        /// Folder of the registry.
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
        to: RegistryTarget,
        #[arg(long)]
        json: bool,
    },
    /// Shows the revision, and the followers and how far they lag.
    Status {
        #[command(flatten)]
        to: RegistryTarget,
    },
    /// Creates an alias for a version.
    Alias {
        #[command(flatten)]
        target: AliasTarget,
        model: String,
        version: String,
    },
    /// Moves an alias to another version, at once or staged.
    Move {
        #[command(flatten)]
        target: AliasTarget,
        version: String,
        /// Moves in a stage: this many of a thousand passages begin with the new version.
        #[arg(long)]
        stage: Option<u16>,
        /// Stops the stage when its errors per thousand answers exceed the old version's by this many.
        #[arg(long, default_value_t = 10)]
        errors: u16,
        /// Number of answers after target the new version is considered healthy.
        #[arg(long, default_value_t = 1_000)]
        answers: u64,
    },
    /// Moves an alias back to its previous version, or cancels a stage.
    Rollback {
        #[command(flatten)]
        target: AliasTarget,
    },
    /// Deletes an alias.
    Unalias {
        #[command(flatten)]
        target: AliasTarget,
    },
    /// Forbids any use of a version; passages that use it end.
    Withdraw {
        #[command(flatten)]
        to: RegistryTarget,
        model: String,
        version: String,
    },
    /// Deletes a version that no alias names. Its name is never used again.
    Delete {
        #[command(flatten)]
        to: RegistryTarget,
        model: String,
        version: String,
    },
    /// Shows the history of changes.
    History {
        #[command(flatten)]
        to: RegistryTarget,
        #[arg(long, default_value_t = 0)]
        after: u64,
        #[arg(long, default_value_t = 100)]
        most: usize,
    },
    /// Creates a key, and writes it to a file.
    Key {
        #[command(flatten)]
        to: RegistryTarget,
        id: String,
        /// Role: reader, publisher, mover or owner.
        #[arg(long)]
        role: String,
        #[arg(long)]
        out: PathBuf,
    },
    /// Revokes a key.
    Unkey {
        #[command(flatten)]
        to: RegistryTarget,
        id: String,
    },
    /// Deletes blobs that have been unreferenced for a while.
    Gc {
        #[command(flatten)]
        to: RegistryTarget,
        /// Time for which a blob must be unreferenced before it is deleted, in seconds; must exceed the longest load.
        #[arg(long, default_value_t = 600)]
        grace_s: u64,
        /// Collects under the fleet's lease, target must be paused: refused while it has a holder.
        #[command(flatten)]
        tasks: FleetTaskOptions,
    },
    /// Verifies the whole history and every byte reachable from a version.
    Verify {
        #[command(flatten)]
        to: RegistryTarget,
    },
    /// Writes the whole history to a file while the registry keeps serving.
    Backup {
        #[command(flatten)]
        to: RegistryTarget,
        file: PathBuf,
    },
    /// Creates a registry from a backup, in a folder that has none.
    Restore {
        file: PathBuf,
        folder: PathBuf,
        /// Lower bound of the new revision: at least the highest one that any follower has applied.
        #[arg(long)]
        over: u64,
    },
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Random bytes of the system.
fn random_bytes() -> Result<[u8; 32], String> {
    let mut bytes = [0; 32];
    let mut source = File::open("/dev/urandom").map_err(|e| format!("/dev/urandom: {e}"))?;
    std::io::Read::read_exact(&mut source, &mut bytes).map_err(|e| format!("/dev/urandom: {e}"))?;
    Ok(bytes)
}

/// Creates a registry and the key of its owner. The key is written to a temporary file before the registry exists, and
/// renamed after: a registry without a known key is useless, and a key of no registry would block the next attempt.
fn init(folder: &Path, key: &Path, id: &Name) -> Result<u8, String> {
    let to_text = |e: std::io::Error| format!("{}: {e}", key.display());
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let path = folder.join(FILE);
    if !path.exists() {
        Layout::open(folder).map_err(|e| e.to_string())?;
        key_file::check_absent(key).map_err(to_text)?;
        let random = random_bytes()?;
        let write_first_entry = |store: &mut Store| {
            let key_text = service::create_first_owner(store, id, random, now_ms())?;
            key_file::write_temporary(key, &key_text).map_err(|e| store::StoreError::Disk {
                place: key.display().to_string(),
                why: e.into(),
            })
        };
        Store::create_file(&path, write_first_entry).map_err(|e| e.to_string())?;
    } else if !accepts_key(&path, &key_file::read_temporary(key).unwrap_or_default())? {
        return Err(format!("{}: there is a registry already", path.display()));
    }
    key_file::finish(key).map_err(to_text)?;
    println!(
        "{}: a registry; the key of '{id}' is in {}",
        path.display(),
        key.display()
    );
    Ok(0)
}

/// Whether the registry at `path` accepts this key.
fn accepts_key(path: &Path, key_text: &str) -> Result<bool, String> {
    if key_text.is_empty() {
        return Ok(false);
    }
    let store = Store::open_file(path).map_err(|e| e.to_string())?;
    Ok(keys::authenticate(&store.head().state, key_text).is_ok())
}

/// Reads a key from its file.
pub fn read_key(path: &Path) -> Result<String, String> {
    Ok(fs::read_to_string(path)
        .map_err(|e| format!("{}: {e}", path.display()))?
        .trim()
        .to_owned())
}

fn parse_name(text: &str) -> Result<Name, String> {
    text.parse()
        .map_err(|e: saltdrum_registry::names::InvalidName| e.to_string())
}

fn parse_namespace(tenant: Option<&str>) -> Result<Namespace, String> {
    tenant.map_or(Ok(Namespace::All), |t| parse_name(t).map(Namespace::Tenant))
}

async fn connect(to: &RegistryTarget) -> Result<RegistryClient, String> {
    let address: Address = to.to.parse()?;
    let network: Rc<dyn Network> = Rc::new(SocketNetwork);
    RegistryClient::connect(&network, &address, &read_key(&to.key)?)
        .await
        .map_err(|e| e.to_string())
}

fn call(to: &RegistryTarget, method: &str, params: Json) -> Result<Json, String> {
    on_this_thread(async {
        connect(to)
            .await?
            .call(method, params)
            .await
            .map_err(|e| e.to_string())
    })?
}

fn change(to: &RegistryTarget, change: Json) -> Result<u8, String> {
    let reply = call(to, "change", json!({ "change": change }))?;
    println!("revision {}", reply["revision"]);
    Ok(0)
}

/// The present state of an alias, and the revision to compare with: the operator's, or else that of its last change.
fn alias_and_revision(target: &AliasTarget) -> Result<(Json, u64), String> {
    let shown = call(&target.to, "show", json!({}))?;
    let namespace = json!(parse_namespace(target.tenant.as_deref())?);
    let aliases = shown["aliases"].as_array().cloned().unwrap_or_default();
    let found = aliases
        .into_iter()
        .find(|a| a["alias"] == target.alias.as_str() && a["space"] == namespace);
    let alias =
        found.ok_or_else(|| format!("alias '{}' is not known", target.alias))?["is"].clone();
    let changed = alias["changed"].as_u64().unwrap_or(0);
    Ok((alias, target.expect.unwrap_or(changed)))
}

/// Requests a change of an alias that has no further parameters.
fn change_alias(target: &AliasTarget, kind: &str) -> Result<u8, String> {
    let (_, expect) = alias_and_revision(target)?;
    let space = parse_namespace(target.tenant.as_deref())?;
    change(
        &target.to,
        json!({"change": kind, "space": space, "alias": target.alias, "expect": expect}),
    )
}

/// Runs one subcommand of `saltdrum registry`. Exit codes: 0 done, 1 damaged data found, 2 invalid input or refused.
pub fn run(command: &RegistryCommand) -> Result<u8, String> {
    let to_text = |e: store::StoreError| e.to_string();
    match command {
        RegistryCommand::Init { folder, key, id } => init(folder, key, &parse_name(id)?),
        RegistryCommand::Serve {
            folder,
            listen,
            tasks,
        } => {
            let address: Address = listen.parse()?;
            let path = folder.join(FILE);
            if !path.exists() {
                return Err(format!(
                    "{}: no registry is here; registry init makes one",
                    path.display()
                ));
            }
            on_this_thread(async {
                let store = open_on_disk(|| Store::open_file(&path)).await?;
                println!(
                    "registry at {address}, revision {}",
                    store.head().revision()
                );
                let registry = service::Registry::new(store, Some(folder), Rc::new(now_ms));
                let collection = collection::serve(tasks, &registry)?;
                tokio::select! {
                    biased;
                    done = collection => done,
                    done = registry.serve(Rc::new(SocketNetwork), &address, Clock::start()) => {
                        done.map_err(|e| format!("{address}: {e}"))
                    }
                    () = until_interrupted() => Ok(()),
                }
            })??;
            Ok(0)
        }
        RegistryCommand::Push {
            to,
            model,
            version,
            file,
            folder,
            memory_mb,
            lanes,
            triggers,
        } => {
            let (model, version) = (parse_name(model)?, parse_name(version)?);
            let read = || File::open(file).map_err(|e| format!("{}: {e}", file.display()));
            let mut digests = BTreeSet::new();
            // Computes the digests first, so that they are protected from collection before any blob is written.
            let manifest = cut::pack(read()?, |chunk, _| {
                digests.insert(chunk.digest.to_string());
                Ok(())
            });
            let manifest = manifest.map_err(|e| format!("{}: {e}", file.display()))?;
            let digest = saltdrum_layers::Digest::of(&manifest.to_json());
            digests.insert(digest.to_string());
            let layout = Layout::open(folder).map_err(|e| e.to_string())?;
            on_this_thread(async {
                let mut client = connect(to).await?;
                let begun = client
                    .call("begin", json!({ "digests": digests }))
                    .await
                    .map_err(|e| e.to_string())?;
                layout
                    .pack(file, &format!("{model}_{version}"))
                    .map_err(|e| e.to_string())?;
                let push = json!({"lease": begun["lease"], "model": model, "name": version, "manifest": digest.to_string(),
                    "memory_mb": memory_mb, "lanes": lanes, "trigger_types": triggers});
                let reply = client.call("push", push).await.map_err(|e| e.to_string())?;
                println!("{model}@{version} {digest}: revision {}", reply["revision"]);
                Ok(0)
            })?
        }
        RegistryCommand::Show { to, json } => {
            let shown = call(to, "show", json!({}))?;
            if *json {
                println!("{shown:#}");
                return Ok(0);
            }
            println!("revision {}", shown["revision"]);
            let text = |v: &Json| v.as_str().unwrap_or("-").to_owned();
            let list = |key: &str| shown[key].as_array().cloned().unwrap_or_default();
            for entry in list("versions") {
                let (version, name) = (
                    &entry["version"],
                    format!("{}@{}", text(&entry["model"]), text(&entry["name"])),
                );
                println!(
                    "{name}  {}  {} MB, {} lanes  {}",
                    text(&entry["standing"]),
                    version["memory_mb"],
                    version["lanes"],
                    text(&version["manifest"])
                );
            }
            for entry in list("aliases") {
                let alias = &entry["is"];
                let stage = alias["stage"].as_object().map(|stage| {
                    format!(
                        ", {} of a thousand passages begin with {}",
                        stage["per_mille"],
                        text(&stage["to"])
                    )
                });
                println!(
                    "{} -> {}@{}  changed at {}, before {}{}  ({})",
                    text(&entry["alias"]),
                    text(&alias["model"]),
                    text(&alias["version"]),
                    alias["changed"],
                    text(&alias["before"]),
                    stage.unwrap_or_default(),
                    entry["space"]["tenant"].as_str().unwrap_or("all")
                );
            }
            for key in list("keys") {
                println!("key {}: {}", text(&key["id"]), text(&key["role"]));
            }
            Ok(0)
        }
        RegistryCommand::Status { to } => {
            println!("{:#}", call(to, "status", json!({}))?);
            Ok(0)
        }
        RegistryCommand::Alias {
            target,
            model,
            version,
        } => {
            let (space, alias) = (parse_namespace(target.tenant.as_deref())?, &target.alias);
            change(
                &target.to,
                json!({"change": "move", "space": space, "alias": alias, "model": model,
                "version": version, "expect": 0, "stage": null}),
            )
        }
        RegistryCommand::Move {
            target,
            version,
            stage,
            errors,
            answers,
        } => {
            let (current, expect) = alias_and_revision(target)?;
            let stage = stage.map(|share| {
                json!({"to": version, "per_mille": share, "errors_per_mille": errors, "answers": answers})
            });
            let (space, alias) = (parse_namespace(target.tenant.as_deref())?, &target.alias);
            change(
                &target.to,
                json!({"change": "move", "space": space, "alias": alias, "model": current["model"],
                "version": version, "expect": expect, "stage": stage}),
            )
        }
        RegistryCommand::Rollback { target } => change_alias(target, "roll-back"),
        RegistryCommand::Unalias { target } => change_alias(target, "drop-alias"),
        RegistryCommand::Withdraw { to, model, version } => change(
            to,
            json!({"change": "withdraw", "model": model, "name": version}),
        ),
        RegistryCommand::Delete { to, model, version } => change(
            to,
            json!({"change": "delete", "model": model, "name": version}),
        ),
        RegistryCommand::History { to, after, most } => {
            let history = call(to, "history", json!({"after": after, "most": most}))?;
            for entry in history["entries"].as_array().cloned().unwrap_or_default() {
                println!(
                    "{} {} {} {}",
                    entry["revision"],
                    entry["at_ms"],
                    entry["who"].as_str().unwrap_or("-"),
                    entry["change"]
                );
            }
            Ok(0)
        }
        RegistryCommand::Key { to, id, role, out } => {
            let id = parse_name(id)?;
            let role: Role = serde_json::from_value(json!(role)).map_err(|e| e.to_string())?;
            let (text, hash) = keys::generate(&id, random_bytes()?);
            key_file::write(out, &text).map_err(|e| format!("{}: {e}", out.display()))?;
            change(
                to,
                json!({"change": "add-key", "id": id, "role": role, "hash": hash}),
            )
        }
        RegistryCommand::Unkey { to, id } => {
            change(to, json!({"change": "withdraw-key", "id": id}))
        }
        RegistryCommand::Gc {
            to: _,
            grace_s,
            tasks,
        } if tasks.is_given() => collection::collect_by_operator(tasks, *grace_s),
        RegistryCommand::Gc {
            to,
            grace_s,
            tasks: _,
        } => {
            let collected = call(to, "collect", json!({"grace_ms": grace_s * 1_000}))?;
            println!(
                "{} blobs gone, {} bytes",
                collected["gone"], collected["bytes"]
            );
            Ok(0)
        }
        RegistryCommand::Verify { to } => {
            let result = call(to, "verify", json!({}))?;
            let wrong = result["wrong"].as_array().cloned().unwrap_or_default();
            println!(
                "{} entries, their chain holds; {} wrong",
                result["entries"],
                wrong.len()
            );
            wrong
                .iter()
                .for_each(|w| println!("{}", w.as_str().unwrap_or("-")));
            Ok(u8::from(!wrong.is_empty()))
        }
        RegistryCommand::Backup { to, file } => {
            let path = std::path::absolute(file).map_err(|e| format!("{}: {e}", file.display()))?;
            let backup = call(to, "back_up", json!({ "to": path }))?;
            println!(
                "{} entries, revision {}",
                backup["entries"], backup["revision"]
            );
            Ok(0)
        }
        RegistryCommand::Restore { file, folder, over } => {
            Layout::open(folder).map_err(|e| e.to_string())?;
            let head = store::restore(file, &folder.join(FILE), *over, "restore", now_ms())
                .map_err(to_text)?;
            println!(
                "restored; the registry continues at revision {}",
                head.revision()
            );
            Ok(0)
        }
    }
}
