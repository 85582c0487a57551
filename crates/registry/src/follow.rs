//! A watcher of the registry: keeps what it is told on disk before it obeys it, and goes on from there.

use crate::chain::{Entry, Head};
use crate::service::HEARTBEAT_INTERVAL;
use crate::watch::{WatchError, WatchEvent, Watcher};
use bytes::BytesMut;
use saltdrum_durable::file;
use saltdrum_transport::{Address, Network, Stream};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tracing::{info, warn};

/// Nothing heard for so long: the line is down, whatever it says.
const SILENT: Duration = Duration::from_millis(3 * HEARTBEAT_INTERVAL.as_millis() as u64);
const AGAIN_LEAST: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(5);

/// Whom to follow, as whom.
#[derive(Clone, Debug)]
pub struct FollowConfig {
    pub registry: Address,
    pub key: String,
    /// Reported to the registry, for its list of followers.
    pub who: String,
    /// What is known is kept here over starts; none: it is not.
    pub copy: Option<PathBuf>,
}

/// What a watcher has come to, for whoever obeys it.
#[derive(Clone, Debug)]
pub enum RegistryUpdate {
    /// New, and kept.
    Changed(Head),
    /// The registry was heard; nothing is new.
    Unchanged,
    /// What the registry says is not obeyed, and why.
    Rejected(String),
}

/// What is known, on disk: a head, then the entries since. It is written anew when it has grown.
pub struct LocalCopy {
    path: PathBuf,
    file: File,
    entries: usize,
}

const ENTRIES_MOST: usize = 4_096;

impl LocalCopy {
    /// What was kept, as far as it is whole: a last line that was cut short was never obeyed.
    pub fn read(path: &Path) -> io::Result<Option<Head>> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let fault = |why: String| io::Error::other(format!("{}: {why}", path.display()));
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let mut lines = whole.lines();
        let Some(first) = lines.next() else {
            return Err(fault("the head is missing".into()));
        };
        let mut head: Head =
            serde_json::from_str(first).map_err(|e| fault(format!("line 1: {e}")))?;
        for (n, line) in lines.enumerate() {
            let entry: Result<Entry, _> = serde_json::from_str(line);
            let next = entry
                .map_err(|e| e.to_string())
                .and_then(|e| head.follow(&e).map_err(|e| e.to_string()));
            head = next.map_err(|why| fault(format!("line {}: {why}", n + 2)))?;
        }
        Ok(Some(head))
    }

    /// Begins anew with a head.
    pub fn write(path: &Path, head: &Head) -> io::Result<Self> {
        let mut line = serde_json::to_vec(head)?;
        line.push(b'\n');
        file::make_whole(path, |unfinished| file::write_synced(unfinished, &line))?;
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Self {
            path: path.to_owned(),
            file,
            entries: 0,
        })
    }

    pub fn add(&mut self, entry: &Entry, head: &Head) -> io::Result<()> {
        if self.entries >= ENTRIES_MOST {
            *self = Self::write(&self.path, head)?;
            return Ok(());
        }
        let mut line = entry.bytes();
        line.push(b'\n');
        self.file.write_all(&line)?;
        self.file.sync_data()?;
        self.entries += 1;
        Ok(())
    }
}

#[derive(Deserialize)]
struct Notice<'a> {
    #[serde(borrow)]
    params: Option<&'a RawValue>,
    method: Option<String>,
    error: Option<saltdrum_protocol::rpc::ReplyError>,
}

/// Follows until dropped. `hear` is told first what was kept, then all that comes.
pub async fn follow(
    of: FollowConfig,
    network: Rc<dyn Network>,
    seed: u64,
    mut hear: impl FnMut(RegistryUpdate),
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let kept = match &of.copy {
        None => None,
        Some(path) => LocalCopy::read(path).unwrap_or_else(|e| {
            // ShutdownHandle on from nothing could turn us back: an operator has to remove it.
            warn!(%e, "what was kept of the registry can't be read");
            hear(RegistryUpdate::Rejected(format!(
                "what was kept can't be read: {e}"
            )));
            None
        }),
    };
    let unreadable = of.copy.as_ref().is_some_and(|p| p.exists()) && kept.is_none();
    if unreadable {
        return std::future::pending().await;
    }
    let mut watcher = Watcher::from(kept.unwrap_or_default());
    if watcher.head().revision() > 0 {
        info!(
            revision = watcher.head().revision(),
            "the registry's state as it was kept"
        );
        hear(RegistryUpdate::Changed(watcher.head().clone()));
    }
    let mut copy = None;
    let mut wait = AGAIN_LEAST;
    loop {
        let before = watcher.head().revision();
        let why = followed(&of, &network, &mut watcher, &mut copy, &mut hear).await;
        if watcher.head().revision() > before {
            wait = AGAIN_LEAST;
        }
        warn!(registry = %of.registry, why, "registry lost; what it said stands");
        tokio::time::sleep(wait.mul_f64(0.5 + rng.f64())).await;
        wait = (wait * 2).min(AGAIN_MOST);
    }
}

async fn followed(
    of: &FollowConfig,
    network: &Rc<dyn Network>,
    watcher: &mut Watcher,
    copy: &mut Option<LocalCopy>,
    hear: &mut impl FnMut(RegistryUpdate),
) -> String {
    let mut stream: Stream = match network.dial(&of.registry).await {
        Ok(stream) => stream,
        Err(e) => return e.to_string(),
    };
    let asks = [
        json!({"jsonrpc": "2.0", "id": 1, "method": "login", "params": {"key": of.key}}),
        json!({"jsonrpc": "2.0", "id": 2, "method": "watch", "params": {"who": of.who, "mark": watcher.mark()}}),
    ];
    for ask in asks {
        if let Err(e) = stream.write_all(format!("{ask}\n").as_bytes()).await {
            return e.to_string();
        }
    }
    let mut read = BytesMut::new();
    let mut searched = 0;
    loop {
        while let Some(end) = read[searched..].iter().position(|b| *b == b'\n') {
            let line = read.split_to(searched + end + 1);
            searched = 0;
            let notice: Notice = match serde_json::from_slice(&line) {
                Ok(notice) => notice,
                Err(e) => return format!("a line that is none: {e}"),
            };
            if let Some(e) = notice.error {
                hear(RegistryUpdate::Rejected(e.message.clone()));
                return e.message;
            }
            let (Some("told"), Some(params)) = (notice.method.as_deref(), notice.params) else {
                continue;
            };
            let told: WatchEvent = match serde_json::from_str(params.get()) {
                Ok(told) => told,
                Err(e) => return format!("something that is not known here: {e}"),
            };
            if let Err(why) = take(of, watcher, copy, told, hear) {
                return why;
            }
        }
        searched = read.len();
        match tokio::time::timeout(SILENT, stream.read_buf(&mut read)).await {
            Err(_) => return "silence".into(),
            Ok(Ok(0)) => return "hung up".into(),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return e.to_string(),
        }
    }
}

fn take(
    of: &FollowConfig,
    watcher: &mut Watcher,
    copy: &mut Option<LocalCopy>,
    told: WatchEvent,
    hear: &mut impl FnMut(RegistryUpdate),
) -> Result<(), String> {
    let entry = if let WatchEvent::Next { entry } = &told {
        Some(entry.clone())
    } else {
        None
    };
    let mut next = watcher.clone();
    match next.hear(told) {
        Ok(false) => hear(RegistryUpdate::Unchanged),
        Ok(true) => {
            if let Some(path) = &of.copy {
                // Kept before it is obeyed: after a kill we are not behind what we have answered by.
                let kept = match (copy.as_mut(), &entry) {
                    (Some(copy), Some(entry)) => copy.add(entry, next.head()),
                    _ => LocalCopy::write(path, next.head()).map(|new| *copy = Some(new)),
                };
                if let Err(e) = kept {
                    *copy = None;
                    hear(RegistryUpdate::Rejected(format!("it can't be kept: {e}")));
                    return Err(format!("{}: {e}", path.display()));
                }
            }
            *watcher = next;
            hear(RegistryUpdate::Changed(watcher.head().clone()));
        }
        Err(why @ WatchError::HistoryMismatch { .. }) => {
            hear(RegistryUpdate::Rejected(why.to_string()));
            return Err(why.to_string());
        }
        Err(WatchError::BrokenChain(why)) => {
            hear(RegistryUpdate::Rejected(why.to_string()));
            return Err(why.to_string());
        }
    }
    Ok(())
}
