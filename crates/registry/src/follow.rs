//! A follower of the registry: it writes what it learns to disk before it applies it, and goes on from there.

use crate::chain::Head;
pub use crate::local_copy::LocalCopy;
use crate::service::HEARTBEAT_INTERVAL;
use crate::watch::{WatchError, WatchEvent, Watcher};
use bytes::BytesMut;
use saltdrum_transport::{Address, Network, Stream};
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tracing::{info, warn};

/// Nothing received for so long: the connection is down.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3 * HEARTBEAT_INTERVAL.as_millis() as u64);
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(100);
const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(5);

/// Which registry to follow, and as whom.
#[derive(Clone, Debug)]
pub struct FollowConfig {
    /// Where the registry listens.
    pub registry: Address,
    /// Text of the key to log in with.
    pub key: String,
    /// Reported to the registry, for its list of followers.
    pub follower_name: String,
    /// File in which the state is kept over restarts; none: it is not kept.
    pub copy_path: Option<PathBuf>,
}

/// What a follower learned.
#[derive(Clone, Debug)]
pub enum RegistryUpdate {
    /// A new state, which is on disk.
    Changed(Head),
    /// The registry was heard; nothing is new.
    Unchanged,
    /// What the registry sent is not applied, and why.
    Rejected(String),
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    #[error("{0}")]
    Network(#[from] io::Error),
    #[error("hung up")]
    Closed,
    #[error("silence")]
    Silence,
    #[error("a line that is none: {0}")]
    InvalidLine(serde_json::Error),
    #[error("something that is not known here: {0}")]
    UnknownEvent(serde_json::Error),
    #[error("{0}")]
    ErrorResponse(String),
    #[error("{0}")]
    Rejected(#[from] WatchError),
    #[error("{}: {error}", path.display())]
    CopyFailed { path: PathBuf, error: io::Error },
}

#[derive(Deserialize)]
struct Notice<'a> {
    #[serde(borrow)]
    params: Option<&'a RawValue>,
    method: Option<String>,
    error: Option<saltdrum_protocol::rpc::ReplyError>,
}

/// Follows until dropped. `on_update` gets first what was kept, then all that comes.
///
/// A copy that can't be read is reported once, and nothing is followed: an operator has to remove it.
pub async fn follow(
    config: FollowConfig,
    network: Rc<dyn Network>,
    seed: u64,
    mut on_update: impl FnMut(RegistryUpdate),
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let Some(kept) = read_copy(&config, &mut on_update) else {
        return std::future::pending().await;
    };
    let mut follower = Follower {
        config,
        watcher: Watcher::from(kept),
        copy: None,
        on_update,
    };
    follower.report_kept();
    let mut delay = RECONNECT_DELAY_MIN;
    loop {
        let before = follower.watcher.head().revision();
        let Err(reason) = follower.run_connection(&network).await;
        if follower.watcher.head().revision() > before {
            delay = RECONNECT_DELAY_MIN;
        }
        warn!(registry = %follower.config.registry, %reason, "registry connection lost, keeping the state");
        tokio::time::sleep(delay.mul_f64(0.5 + rng.f64())).await;
        delay = (delay * 2).min(RECONNECT_DELAY_MAX);
    }
}

/// The head that was kept, or an empty one; none: there is a copy, and it can't be used.
fn read_copy(config: &FollowConfig, on_update: &mut impl FnMut(RegistryUpdate)) -> Option<Head> {
    let Some(path) = &config.copy_path else {
        return Some(Head::default());
    };
    let kept = LocalCopy::read(path).unwrap_or_else(|error| {
        // Starting without it could lead back to an older state.
        warn!(%error, "local copy of the registry is unreadable");
        on_update(RegistryUpdate::Rejected(format!(
            "what was kept can't be read: {error}"
        )));
        None
    });
    if kept.is_none() && path.exists() {
        return None;
    }
    Some(kept.unwrap_or_default())
}

struct Follower<F> {
    config: FollowConfig,
    watcher: Watcher,
    copy: Option<LocalCopy>,
    on_update: F,
}

impl<F: FnMut(RegistryUpdate)> Follower<F> {
    fn report_kept(&mut self) {
        let head = self.watcher.head();
        if head.revision() > 0 {
            info!(
                revision = head.revision(),
                "registry state read from the local copy"
            );
            (self.on_update)(RegistryUpdate::Changed(head.clone()));
        }
    }

    async fn run_connection(
        &mut self,
        network: &Rc<dyn Network>,
    ) -> Result<std::convert::Infallible, ConnectionEnd> {
        let mut stream = network.dial(&self.config.registry).await?;
        self.start_watch(&mut stream).await?;
        let mut buffer = BytesMut::new();
        let mut searched = 0;
        loop {
            while let Some(end) = buffer[searched..].iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(searched + end + 1);
                searched = 0;
                self.receive_line(&line)?;
            }
            searched = buffer.len();
            match tokio::time::timeout(SILENCE_TIMEOUT, stream.read_buf(&mut buffer)).await {
                Err(_) => return Err(ConnectionEnd::Silence),
                Ok(Ok(0)) => return Err(ConnectionEnd::Closed),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error.into()),
            }
        }
    }

    async fn start_watch(&self, stream: &mut Stream) -> io::Result<()> {
        let (key, who, cursor) = (
            &self.config.key,
            &self.config.follower_name,
            self.watcher.cursor(),
        );
        let calls = [
            json!({"jsonrpc": "2.0", "id": 1, "method": "login", "params": {"key": key}}),
            json!({"jsonrpc": "2.0", "id": 2, "method": "watch", "params": {"who": who, "mark": cursor}}),
        ];
        for call in calls {
            stream.write_all(format!("{call}\n").as_bytes()).await?;
        }
        Ok(())
    }

    fn receive_line(&mut self, line: &[u8]) -> Result<(), ConnectionEnd> {
        let notice: Notice = serde_json::from_slice(line).map_err(ConnectionEnd::InvalidLine)?;
        if let Some(error) = notice.error {
            (self.on_update)(RegistryUpdate::Rejected(error.message.clone()));
            return Err(ConnectionEnd::ErrorResponse(error.message));
        }
        let (Some("told"), Some(params)) = (notice.method.as_deref(), notice.params) else {
            return Ok(());
        };
        let event = serde_json::from_str(params.get()).map_err(ConnectionEnd::UnknownEvent)?;
        self.receive_event(event)
    }

    fn receive_event(&mut self, event: WatchEvent) -> Result<(), ConnectionEnd> {
        let entry = match &event {
            WatchEvent::Next { entry } => Some(entry.clone()),
            _ => None,
        };
        let mut next = self.watcher.clone();
        match next.apply(event) {
            Ok(false) => (self.on_update)(RegistryUpdate::Unchanged),
            Ok(true) => {
                self.write_copy(entry.as_ref(), next.head())?;
                self.watcher = next;
                (self.on_update)(RegistryUpdate::Changed(self.watcher.head().clone()));
            }
            Err(error) => {
                (self.on_update)(RegistryUpdate::Rejected(error.to_string()));
                return Err(error.into());
            }
        }
        Ok(())
    }

    /// Writes the head before it is applied, so that a restart never goes back behind what was answered by.
    fn write_copy(
        &mut self,
        entry: Option<&crate::Entry>,
        head: &Head,
    ) -> Result<(), ConnectionEnd> {
        let Some(path) = &self.config.copy_path else {
            return Ok(());
        };
        let written = match (self.copy.as_mut(), entry) {
            (Some(copy), Some(entry)) => copy.append(entry, head),
            _ => LocalCopy::write(path, head).map(|copy| self.copy = Some(copy)),
        };
        written.map_err(|error| {
            let path = path.clone();
            self.copy = None;
            (self.on_update)(RegistryUpdate::Rejected(format!(
                "it can't be kept: {error}"
            )));
            ConnectionEnd::CopyFailed { path, error }
        })
    }
}
