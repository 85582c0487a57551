//! The registry on its socket: JSON-RPC by lines. Changes that wait together go to disk together.

use crate::book::{Book, Change, Refusal, Revision, Role, Stage, Version};
use crate::chain::Entry;
use crate::gc::{Keeper, LeaseId};
use crate::names::{Name, Namespace};
use crate::stage::{Tallies, Tally, Verdict};
use crate::store::{Asked, Store};
use crate::watch::{Answer, Mark, Told, answer};
use crate::{blobs, keys};
use bytes::{Bytes, BytesMut};
use saltdrum_layers::Digest;
use saltdrum_protocol::rpc::{self, Call, Id, Line};
use saltdrum_transport::{Address, Clock, Half, Listener, Network, SendQueue, Stream, split};
use serde::Deserialize;
use serde_json::{Value as Json, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// A change was refused, and nothing has changed.
pub const REFUSED: i64 = -32_010;
/// The key does not open this.
pub const DENIED: i64 = -32_011;
/// The disk did not take it; whether it will be there after the next start is not known.
pub const DISK: i64 = -32_012;

/// What lies unread by a watcher, or an administrator, before it is cut off. A whole book has to fit.
const UNREAD_MOST_BYTES: usize = 256 << 20;
/// Watchers hear this often that there is nothing new, so that silence means that the line is down.
pub const STILL: Duration = Duration::from_secs(1);
/// Entries that are read from disk at a time.
const AT_A_TIME: usize = 512;
/// A push has to be over within this, or begins again.
const LEASE_MS: u64 = 600_000;
const BY_FLEET: &str = "collections are the holder's of the fleet's lease: pause it, then registry gc with --steward and --tasks";
const DIGESTS_MOST: usize = 20_001;
/// Waiting changes beyond this are refused at once.
const WAITING_MOST: usize = 10_000;

/// Milliseconds since 1970: for the history, and for ends of passages.
pub type Hour = Rc<dyn Fn() -> u64>;

type Ended = Result<Entry, (i64, String)>;

struct Waiting {
    asked: Asked,
    needs: Role,
    /// Of a push: the lease, and what the version needs.
    held: Option<(LeaseId, Vec<Digest>)>,
    to: oneshot::Sender<Ended>,
}

#[derive(Clone, Debug)]
struct Follower {
    sent: Revision,
    refused: bool,
}

/// What invokers said of a version.
#[derive(Clone, Debug)]
struct Corrupt {
    times: u64,
    first_ms: u64,
    last_ms: u64,
    why: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SaysCorrupt {
    model: Name,
    version: Name,
    why: String,
}

pub struct Registry {
    store: RefCell<Store>,
    /// Where blobs lie, if they lie here.
    folder: Option<PathBuf>,
    keeper: RefCell<Keeper>,
    /// By alias, and the revision at which its stage began.
    tallies: RefCell<BTreeMap<(Namespace, Name), (Revision, Tallies)>>,
    followers: RefCell<BTreeMap<String, Follower>>,
    /// Versions of which invokers could get no copy that holds.
    corrupt: RefCell<BTreeMap<(Name, Name), Corrupt>>,
    waiting: RefCell<Vec<Waiting>>,
    asked: Notify,
    news: tokio::sync::watch::Sender<Revision>,
    hour: Hour,
    /// Leases and graces are reckoned from then, on a clock that is never stepped: the hour may be.
    began: Instant,
    /// Collections are done by whoever holds the fleet's lease, or by operators who have paused it.
    is_collected_by_fleet: Cell<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Login {
    key: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Changes {
    change: Change,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Begin {
    digests: BTreeSet<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Push {
    lease: LeaseId,
    model: Name,
    name: Name,
    #[serde(with = "crate::names::digest")]
    manifest: Digest,
    memory_mb: u64,
    lanes: u32,
    trigger_types: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Watch {
    who: String,
    mark: Mark,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct History {
    #[serde(default)]
    after: Revision,
    #[serde(default = "hundred")]
    most: usize,
}

fn hundred() -> usize {
    100
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Tells {
    space: Namespace,
    alias: Name,
    /// Of the alias, since its stage began.
    changed: Revision,
    controller: u32,
    incarnation: u64,
    tally: Tally,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Collect {
    grace_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BackUp {
    to: PathBuf,
}

/// One connection.
struct Caller {
    outbox: SendQueue,
    key: RefCell<Option<Name>>,
    cut: Notify,
}

impl Caller {
    fn put(&self, mut text: String) {
        text.push('\n');
        if self.outbox.push(Bytes::from(text), u64::MAX).is_none() {
            self.cut.notify_one();
        }
    }
}

pub(crate) type Answered = Result<Json, (i64, String)>;

fn bad(why: impl ToString) -> (i64, String) {
    (rpc::INVALID_PARAMS, why.to_string())
}

fn disk(why: impl ToString) -> (i64, String) {
    (DISK, why.to_string())
}

fn refused(why: impl ToString) -> (i64, String) {
    (REFUSED, why.to_string())
}

fn params<'a, T: Deserialize<'a>>(call: &'a Call) -> Result<T, (i64, String)> {
    serde_json::from_str(call.params.as_ref().map_or("{}", |p| p.get())).map_err(bad)
}

impl Registry {
    /// `folder`: where blobs lie, as an OCI image layout; none where they are kept by another store.
    pub fn new(store: Store, folder: Option<&Path>, hour: Hour) -> Rc<Self> {
        let (news, _) = tokio::sync::watch::channel(store.head().revision());
        Rc::new(Self {
            store: RefCell::new(store),
            folder: folder.map(Path::to_owned),
            keeper: RefCell::default(),
            tallies: RefCell::default(),
            followers: RefCell::default(),
            corrupt: RefCell::default(),
            waiting: RefCell::default(),
            asked: Notify::new(),
            news,
            hour,
            began: Instant::now(),
            is_collected_by_fleet: Cell::new(false),
        })
    }

    /// Milliseconds of a clock that is never stepped.
    fn elapsed_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn book(&self) -> Book {
        self.store.borrow().head().book.clone()
    }

    /// All of it, oldest first.
    pub fn history(&self) -> Result<Vec<Entry>, crate::store::Fault> {
        self.store.borrow().after(0, usize::MAX)
    }

    /// Versions of which no source holds, and since when, in milliseconds of the service's hour.
    pub fn corrupt(&self) -> Vec<(String, u64)> {
        let all = self.corrupt.borrow();
        all.iter()
            .map(|((model, version), c)| (format!("{model}@{version}"), c.first_ms))
            .collect()
    }

    /// Listens until dropped.
    pub async fn serve(
        self: Rc<Self>,
        network: Rc<dyn Network>,
        at: &Address,
        clock: Clock,
    ) -> std::io::Result<()> {
        let (door, at) = network.listen(at).await?;
        info!(%at, revision = self.store.borrow().head().revision(), "registry");
        self.attend(door, clock).await;
        Ok(())
    }

    /// Takes callers in for as long as it is polled; all ends with it.
    pub async fn attend(self: Rc<Self>, mut door: Box<dyn Listener>, clock: Clock) {
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn_local(self.clone().commit());
        loop {
            match door.accept().await {
                Ok(stream) => drop(tasks.spawn_local(self.clone().hear(stream, clock))),
                Err(e) => {
                    warn!(%e, "can't accept a caller");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// One write for all that wait.
    async fn commit(self: Rc<Self>) {
        loop {
            self.asked.notified().await;
            // Those who ask in the same turn come along.
            tokio::task::yield_now().await;
            let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
            if !waiting.is_empty() {
                self.commit_all(waiting);
            }
        }
    }

    fn commit_all(&self, waiting: Vec<Waiting>) {
        let now_ms = self.elapsed_ms();
        let (mut asked, mut to) = (Vec::new(), Vec::new());
        for w in waiting {
            let store = self.store.borrow();
            let book = &store.head().book;
            // A key may have been withdrawn while its change waited.
            let id: Option<Name> = w.asked.who.parse().ok();
            let looked = keys::may(book, id.as_ref(), w.needs).map_err(|e| (DENIED, e.to_string()));
            let held = w.held.as_ref().map_or(Ok(()), |(lease, needs)| {
                let held = self.keeper.borrow().holds(now_ms, *lease, needs);
                held.map_err(refused).and_then(|()| self.there(needs))
            });
            match looked.and(held) {
                Ok(()) => {
                    asked.push(w.asked);
                    to.push((w.to, w.held));
                }
                Err(why) => drop(w.to.send(Err(why))),
            }
        }
        let taken = self.store.borrow_mut().take(asked);
        match taken {
            Ok(all) => {
                for (told, (to, held)) in all.into_iter().zip(to) {
                    if let Some((lease, _)) = held {
                        self.keeper.borrow_mut().end(lease);
                    }
                    // Whoever has hung up is not told; the change stands.
                    let _ = to.send(told.map_err(refused));
                }
                self.news
                    .send_replace(self.store.borrow().head().revision());
            }
            Err(fault) => {
                warn!(%fault, "a change could not be kept");
                for (to, _) in to {
                    let _ = to.send(Err(disk(&fault)));
                }
            }
        }
    }

    fn there(&self, needs: &[Digest]) -> Result<(), (i64, String)> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        match needs.iter().find(|d| !blobs::path(folder, d).exists()) {
            Some(lacking) => Err(refused(format!("blob {lacking} is not here"))),
            None => Ok(()),
        }
    }

    /// Takes a change, from inside or from a caller, and waits until it is on disk.
    async fn change(
        &self,
        who: &Name,
        needs: Role,
        change: Change,
        held: Option<(LeaseId, Vec<Digest>)>,
    ) -> Ended {
        let (to, ended) = oneshot::channel();
        let asked = Asked {
            who: who.to_string(),
            at_ms: (self.hour)(),
            change,
        };
        {
            let mut waiting = self.waiting.borrow_mut();
            if waiting.len() >= WAITING_MOST {
                return Err(refused("too many changes wait: come back in a second"));
            }
            waiting.push(Waiting {
                asked,
                needs,
                held,
                to,
            });
        }
        self.asked.notify_one();
        ended
            .await
            .unwrap_or_else(|_| Err(disk("the registry is ending")))
    }

    async fn hear(self: Rc<Self>, stream: Stream, clock: Clock) {
        let (input, mut output) = split(stream);
        let outbox = SendQueue::new(UNREAD_MOST_BYTES);
        let caller = Rc::new(Caller {
            outbox,
            key: RefCell::default(),
            cut: Notify::new(),
        });
        tokio::select! {
            biased;
            why = self.listen(&caller, input) => debug!(why, "caller gone"),
            _ = caller.outbox.write_to(&mut output, || clock.now(), |_| ()) => {}
            () = caller.cut.notified() => warn!("a caller that does not read is cut off"),
        }
    }

    /// Calls of one connection are answered one after another; a watch goes on beside them.
    async fn listen(self: &Rc<Self>, caller: &Rc<Caller>, mut input: Half) -> String {
        let mut read = BytesMut::new();
        let mut watching = tokio::task::JoinSet::new();
        loop {
            while let Some(end) = read.iter().position(|b| *b == b'\n') {
                let line = read.split_to(end + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let call = match rpc::read(line.trim_ascii()) {
                    Ok(Line::Single(Ok(call))) => call,
                    Ok(Line::Single(Err(r))) | Err(r) => {
                        caller.put(rpc::error(&r.id, r.code, &r.why, None));
                        continue;
                    }
                    Ok(Line::Batch(_)) => {
                        let why = "batches are not taken here";
                        caller.put(rpc::error(&Id::null(), rpc::INVALID_REQUEST, why, None));
                        continue;
                    }
                };
                let answered = match call.method.as_str() {
                    "watch" => self.watch(caller, &call, &mut watching),
                    _ => self.answer(caller, &call).await,
                };
                let Some(id) = &call.id else { continue };
                caller.put(match answered {
                    Ok(result) => rpc::result(id, &result.to_string()),
                    Err((code, why)) => rpc::error(id, code, &why, None),
                });
            }
            if read.len() > rpc::LINE_MOST_BYTES {
                caller.put(rpc::error(
                    &Id::null(),
                    rpc::PARSE_ERROR,
                    "line too long",
                    None,
                ));
                return "line too long".into();
            }
            match input.read_buf(&mut read).await {
                Ok(0) => return "hung up".into(),
                Ok(_) => {}
                Err(e) => return e.to_string(),
            }
        }
    }

    fn may(&self, caller: &Caller, needs: Role) -> Result<Name, (i64, String)> {
        let store = self.store.borrow();
        keys::may(&store.head().book, caller.key.borrow().as_ref(), needs)
            .map_err(|e| (DENIED, e.to_string()))
    }

    async fn answer(self: &Rc<Self>, caller: &Caller, call: &Call) -> Answered {
        match call.method.as_str() {
            "login" => {
                let said: Login = params(call)?;
                let known = keys::who(&self.store.borrow().head().book, &said.key);
                let (id, role) = known.map_err(|e| (DENIED, e.to_string()))?;
                *caller.key.borrow_mut() = Some(id.clone());
                Ok(json!({"id": id, "role": role}))
            }
            "status" => self.may(caller, Role::Reader).map(|_| self.status()),
            "show" => self.may(caller, Role::Reader).map(|_| self.show()),
            "history" => {
                self.may(caller, Role::Reader)?;
                let said: History = params(call)?;
                let entries = self
                    .store
                    .borrow()
                    .after(said.after, said.most.min(10_000))
                    .map_err(disk)?;
                Ok(json!({ "entries": entries }))
            }
            "change" => {
                let said: Changes = params(call)?;
                let who = self.may(caller, said.change.needs())?;
                if matches!(said.change, Change::Push { .. }) && self.folder.is_some() {
                    return Err(bad(
                        "a version is pushed with begin and push, which look at its blobs",
                    ));
                }
                if matches!(said.change, Change::Restored { .. }) {
                    return Err(bad(
                        "a book is restored while the registry is down: saltdrum registry restore",
                    ));
                }
                let needs = said.change.needs();
                let entry = self.change(&who, needs, said.change, None).await?;
                Ok(json!({"revision": entry.revision, "hash": entry.hash()}))
            }
            "begin" => {
                self.may(caller, Role::Publisher)?;
                let said: Begin = params(call)?;
                if said.digests.len() > DIGESTS_MOST {
                    return Err(bad(format!(
                        "{} digests: {DIGESTS_MOST} at the most are expected",
                        said.digests.len()
                    )));
                }
                let digests: Result<BTreeSet<Digest>, String> =
                    said.digests.iter().map(|d| d.parse()).collect();
                let lease = self.keeper.borrow_mut().begin(
                    self.elapsed_ms(),
                    digests.map_err(bad)?,
                    LEASE_MS,
                );
                Ok(json!({"lease": lease, "lasts_ms": LEASE_MS}))
            }
            "push" => self.push(caller, params(call)?).await,
            "tally" => {
                let who = self.may(caller, Role::Reader)?;
                self.tally(&who, params(call)?).await
            }
            "corrupt" => {
                let who = self.may(caller, Role::Reader)?;
                let said: SaysCorrupt = params(call)?;
                self.says_corrupt(&who, said)
            }
            "collect" => {
                self.may(caller, Role::Owner)?;
                if self.is_collected_by_fleet.get() {
                    return Err(refused(BY_FLEET));
                }
                self.remove_blobs(&self.collectable(params::<Collect>(call)?.grace_ms)?)
            }
            "verify" => {
                self.may(caller, Role::Reader)?;
                let entries = self.store.borrow().verify().map_err(disk)?;
                let mut wrong = Vec::new();
                if let Some(folder) = &self.folder {
                    wrong = blobs::look(folder, &self.book());
                }
                Ok(json!({"entries": entries, "wrong": wrong}))
            }
            "back_up" => {
                self.may(caller, Role::Owner)?;
                let said: BackUp = params(call)?;
                let entries = self.store.borrow().back_up(&said.to).map_err(disk)?;
                Ok(json!({"entries": entries, "revision": self.store.borrow().head().revision()}))
            }
            other => Err((
                rpc::METHOD_NOT_FOUND,
                format!("method '{other}' is not known here"),
            )),
        }
    }

    /// Only of versions that are there: what is kept of it is bounded by them.
    fn says_corrupt(&self, who: &Name, said: SaysCorrupt) -> Answered {
        if self
            .store
            .borrow()
            .head()
            .book
            .version(&said.model, &said.version)
            .is_none()
        {
            return Err(bad(format!(
                "version '{}@{}' is not known",
                said.model, said.version
            )));
        }
        let now_ms = (self.hour)();
        let why: String = said.why.chars().take(300).collect();
        warn!(model = %said.model, version = %said.version, %who, why, "no source of a version holds");
        let mut all = self.corrupt.borrow_mut();
        let new = Corrupt {
            times: 0,
            first_ms: now_ms,
            last_ms: now_ms,
            why: String::new(),
        };
        let known = all.entry((said.model, said.version)).or_insert(new);
        (known.times, known.last_ms, known.why) = (known.times + 1, now_ms, why);
        Ok(json!({"times": known.times}))
    }

    fn status(&self) -> Json {
        let store = self.store.borrow();
        let head = store.head();
        let followers: Vec<Json> = self
            .followers
            .borrow()
            .iter()
            .map(|(who, f)| {
                json!({"who": who, "revision": f.sent, "refused": f.refused,
                    "behind": head.revision().saturating_sub(f.sent)})
            })
            .collect();
        let corrupt: Vec<Json> = self
            .corrupt
            .borrow()
            .iter()
            .map(|((model, version), c)| {
                json!({"model": model, "version": version, "times": c.times, "first_ms": c.first_ms,
                    "last_ms": c.last_ms, "why": c.why})
            })
            .collect();
        json!({"revision": head.revision(), "hash": head.hash, "corrupt": corrupt, "writable": store.writable(),
            "versions": head.book.versions.len(), "aliases": head.book.aliases.len(), "followers": followers})
    }

    fn show(&self) -> Json {
        let book = self.book();
        let versions: Vec<Json> = book
            .versions
            .iter()
            .map(|((model, name), held)| {
                json!({"model": model, "name": name, "standing": held.standing, "pushed": held.pushed,
                    "version": held.version})
            })
            .collect();
        let aliases: Vec<Json> = book
            .aliases
            .iter()
            .map(|((space, alias), a)| json!({"space": space, "alias": alias, "is": a}))
            .collect();
        let keys: Vec<Json> = book
            .keys
            .iter()
            .map(|(id, k)| json!({"id": id, "role": k.role}))
            .collect();
        json!({"revision": book.revision, "versions": versions, "aliases": aliases, "keys": keys})
    }

    async fn push(&self, caller: &Caller, said: Push) -> Answered {
        let who = self.may(caller, Role::Publisher)?;
        let Some(folder) = &self.folder else {
            return Err(bad("blobs are not kept here: use change"));
        };
        let manifest = blobs::manifest(folder, &said.manifest).map_err(refused)?;
        let mut needs: Vec<Digest> = manifest.chunks.iter().map(|c| c.digest).collect();
        needs.push(said.manifest);
        let version = Version {
            manifest: said.manifest,
            bytes: manifest.chunks.iter().map(|c| c.bytes).sum(),
            memory_mb: said.memory_mb,
            lanes: said.lanes,
            trigger_types: said.trigger_types,
        };
        // The same push a second time, its first answer lost, is no fault.
        if let Some(held) = self
            .book()
            .version(&said.model, &said.name)
            .filter(|h| h.version == version)
        {
            self.keeper.borrow_mut().end(said.lease);
            return Ok(json!({"revision": held.pushed, "again": true}));
        }
        let change = Change::Push {
            model: said.model,
            name: said.name,
            version,
        };
        let entry = self
            .change(&who, Role::Publisher, change, Some((said.lease, needs)))
            .await?;
        Ok(json!({"revision": entry.revision, "again": false}))
    }

    /// What a controller has counted of a stage. The stage is ended here when the counts say so.
    async fn tally(&self, who: &Name, said: Tells) -> Answered {
        let at = (said.space.clone(), said.alias.clone());
        let stage: Option<Stage> = {
            let store = self.store.borrow();
            let alias = store.head().book.aliases.get(&at);
            alias
                .filter(|a| a.changed == said.changed)
                .and_then(|a| a.stage.clone())
        };
        let Some(stage) = stage else {
            return Ok(json!({"over": true}));
        };
        let verdict = {
            let mut all = self.tallies.borrow_mut();
            let (changed, tallies) = all.entry(at.clone()).or_default();
            if *changed != said.changed {
                (*changed, *tallies) = (said.changed, Tallies::default());
            }
            tallies.tell(said.controller, said.incarnation, said.tally);
            tallies.judge(&stage)
        };
        let (well, why) = match verdict {
            Verdict::GoOn => return Ok(json!({"over": false})),
            Verdict::Well => (
                true,
                "as many answers as were waited for, no more errors than allowed".to_owned(),
            ),
            Verdict::Stop { new, old } => (
                false,
                format!(
                    "{:.1}% of the new version's answers erred, {:.1}% of the old one's",
                    new * 100.0,
                    old * 100.0
                ),
            ),
        };
        self.tallies.borrow_mut().remove(&at);
        info!(alias = %said.alias, well, why, "a stage ends");
        let change = Change::EndStage {
            space: said.space,
            alias: said.alias,
            expect: said.changed,
            well,
            why,
        };
        // The registry decides this itself, in the name of the one whose count was the last.
        match self.change(who, Role::Reader, change, None).await {
            Ok(_) => Ok(json!({"over": true})),
            Err((REFUSED, _)) => Ok(json!({"over": true})),
            Err(e) => Err(e),
        }
    }

    /// From now on a collection needs the epoch of the fleet's lease.
    pub(crate) fn is_collected_by_fleet(&self) {
        self.is_collected_by_fleet.set(true);
    }

    pub(crate) fn store(&self) -> &RefCell<Store> {
        &self.store
    }

    /// Blobs that nothing has named for the grace.
    pub(crate) fn collectable(&self, grace_ms: u64) -> Result<Vec<Digest>, (i64, String)> {
        let Some(folder) = &self.folder else {
            return Err(bad("blobs are not kept here"));
        };
        let named = blobs::named(folder, &self.book()).map_err(refused)?;
        let present = blobs::present(folder).map_err(disk)?;
        Ok(self
            .keeper
            .borrow_mut()
            .collect(self.elapsed_ms(), present, &named, grace_ms))
    }

    /// Removes blobs. Called in the turn in which they were found to be collectable: no push comes between.
    pub(crate) fn remove_blobs(&self, gone: &[Digest]) -> Answered {
        let Some(folder) = &self.folder else {
            return Err(bad("blobs are not kept here"));
        };
        let mut bytes = 0;
        for digest in gone {
            let path = blobs::path(folder, digest);
            bytes += std::fs::metadata(&path).map_or(0, |m| m.len());
            std::fs::remove_file(&path).map_err(|e| disk(format!("{}: {e}", path.display())))?;
        }
        Ok(json!({"gone": gone.len(), "bytes": bytes}))
    }

    fn watch(
        self: &Rc<Self>,
        caller: &Rc<Caller>,
        call: &Call,
        watching: &mut tokio::task::JoinSet<()>,
    ) -> Answered {
        self.may(caller, Role::Reader)?;
        let said: Watch = params(call)?;
        if said.who.len() > 64 {
            return Err(bad("who: 64 bytes at the most are expected"));
        }
        let answer = {
            let store = self.store.borrow();
            answer(
                store.head(),
                &said.mark,
                |r| store.hash_at(r),
                store.last_restored(),
            )
        };
        watching.abort_all();
        let (this, caller) = (self.clone(), caller.clone());
        watching.spawn_local(async move { this.tell(&caller, said.who, answer).await });
        Ok(json!({"revision": self.store.borrow().head().revision()}))
    }

    fn told(&self, caller: &Caller, told: &Told) {
        let told = serde_json::to_string(told).expect("it is JSON");
        caller.put(format!(
            r#"{{"jsonrpc":"2.0","method":"told","params":{told}}}"#
        ));
    }

    async fn tell(self: Rc<Self>, caller: &Caller, who: String, answer: Answer) {
        let mut news = self.news.subscribe();
        let mark = |store: &Store| Mark {
            revision: store.head().revision(),
            hash: store.head().hash.clone(),
        };
        let note = |sent, refused| {
            let mut followers = self.followers.borrow_mut();
            // Names are the followers' own: a flood of them must not fill us.
            if followers.len() < 10_000 || followers.contains_key(&who) {
                followers.insert(who.clone(), Follower { sent, refused });
            }
        };
        let mut sent = match answer {
            Answer::After(revision) => revision,
            Answer::Whole(restored) => {
                let head = self.store.borrow().head().clone();
                let revision = head.revision();
                self.told(caller, &Told::Whole { head, restored });
                revision
            }
            Answer::Behind(at) => {
                warn!(
                    who,
                    its = at.revision,
                    "a watcher has obeyed what is not in this history: it is told so"
                );
                note(at.revision, true);
                return self.told(caller, &Told::Behind { at });
            }
        };
        loop {
            note(sent, false);
            let entries = self.store.borrow().after(sent, AT_A_TIME);
            match entries {
                Ok(entries) if !entries.is_empty() => {
                    // What was read is on disk, and with it acknowledged or about to be.
                    let acknowledged = self.store.borrow().head().revision();
                    for entry in entries.into_iter().filter(|e| e.revision <= acknowledged) {
                        sent = entry.revision;
                        self.told(caller, &Told::Next { entry });
                    }
                    tokio::task::yield_now().await;
                    continue;
                }
                Ok(_) => {}
                Err(e) => debug!(%e, "a watcher waits for the disk"),
            }
            if tokio::time::timeout(STILL, news.changed()).await.is_err() {
                let at = mark(&self.store.borrow());
                self.told(caller, &Told::Still { at });
            }
        }
    }
}

/// A first owner, for a registry where there is none. Gives the key's text.
pub fn found(
    store: &mut Store,
    id: &Name,
    chance: [u8; 32],
    at_ms: u64,
) -> Result<String, crate::store::Fault> {
    if store
        .head()
        .book
        .keys
        .values()
        .any(|k| k.role == Role::Owner)
    {
        return Err(Refusal::KeyExists(id.clone()).into());
    }
    let (text, hash) = keys::make(id, chance);
    let change = Change::AddKey {
        id: id.clone(),
        role: Role::Owner,
        hash,
    };
    let asked = Asked {
        who: id.to_string(),
        at_ms,
        change,
    };
    store.take(vec![asked])?.remove(0)?;
    Ok(text)
}

#[cfg(test)]
mod tests;
