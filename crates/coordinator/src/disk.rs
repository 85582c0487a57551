//! The disk of a coordinator: who it is, and what it promised and accepted. Written before anybody is told.

use redb::{Database, ReadableDatabase, TableDefinition};
use saltdrum_durable::{DiskFailure, database};
use saltdrum_fleet::register::{Acceptor, Voter};
use saltdrum_fleet::state::Fleet;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Pages of the database that are held in memory.
const CACHE_BYTES: usize = 4 << 20;
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("steward");
/// Version of what is written here. A disk of a later version is not opened.
pub const SCHEMA_VERSION: u64 = 1;

/// Why a disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// It can't be read or written.
    #[error("{location}: {reason}")]
    Io {
        /// Where the disk is.
        location: String,
        /// What failed.
        reason: DiskFailure,
    },
    /// What was read is no record of a coordinator.
    #[error("{location}: {key}: {reason}")]
    Damaged {
        /// Where the disk is.
        location: String,
        /// The record.
        key: &'static str,
        /// Why it can't be read.
        reason: String,
    },
    /// It was written by a later program.
    #[error("{location}: schema {found}: this program knows {SCHEMA_VERSION}")]
    Schema {
        /// Where the disk is.
        location: String,
        /// Its version.
        found: u64,
    },
    /// It belongs to another coordinator.
    #[error("{location}: it is the disk of steward-{found} of fleet '{fleet}'")]
    OtherOwner {
        /// Where the disk is.
        location: String,
        /// The fleet that it belongs to.
        fleet: String,
        /// The coordinator that it belongs to.
        found: u32,
    },
}

/// Whose disk it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Version of what is written, see [`SCHEMA_VERSION`].
    pub schema: u64,
    /// The fleet's name.
    pub fleet: String,
    /// The coordinator and its disk.
    pub voter: Voter,
}

/// Opens the database, at each start and after each failure.
pub type OpenDatabase = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

impl DiskError {
    /// Whether the same may succeed a while later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Io { reason, .. } if reason.is_transient)
    }
}

/// The disk of a coordinator.
pub struct Disk {
    location: String,
    opens: OpenDatabase,
    /// None: a write failed, and what the disk has is not known until it is read again.
    database: Option<Database>,
    /// Whose disk it is.
    pub identity: Identity,
}

impl Disk {
    /// Opens the disk in a file; `new` is written where nothing is there yet.
    pub fn open_file(path: &Path, new: Identity) -> Result<(Self, Acceptor<Fleet>), DiskError> {
        let at = path.to_owned();
        let opens = move || database::open(&at, CACHE_BYTES);
        Self::open(path.display().to_string(), Box::new(opens), new)
    }

    /// Opens the disk; `new` is written where nothing is there yet.
    pub fn open(
        location: String,
        opens: OpenDatabase,
        new: Identity,
    ) -> Result<(Self, Acceptor<Fleet>), DiskError> {
        let mut disk = Self {
            location,
            opens,
            database: None,
            identity: new.clone(),
        };
        let acceptor = disk.reload()?;
        if (&disk.identity.fleet, disk.identity.voter.steward) != (&new.fleet, new.voter.steward) {
            let Identity { fleet, voter, .. } = disk.identity;
            return Err(DiskError::OtherOwner {
                location: disk.location,
                fleet,
                found: voter.steward,
            });
        }
        Ok((disk, acceptor))
    }

    fn fault(&self, why: impl Into<DiskFailure>) -> DiskError {
        DiskError::Io {
            location: self.location.clone(),
            reason: why.into(),
        }
    }

    /// Reads what the disk has, after a start or a failed write.
    pub fn reload(&mut self) -> Result<Acceptor<Fleet>, DiskError> {
        self.database = None;
        let database = (self.opens)().map_err(|e| self.fault(e))?;
        let txn = database.begin_write().map_err(|e| self.fault(e))?;
        txn.open_table(KEPT).map_err(|e| self.fault(e))?;
        txn.commit().map_err(|e| self.fault(e))?;
        let read = |key: &'static str| -> Result<Option<Vec<u8>>, DiskError> {
            let txn = database.begin_read().map_err(|e| self.fault(e))?;
            let table = txn.open_table(KEPT).map_err(|e| self.fault(e))?;
            Ok(table
                .get(key)
                .map_err(|e| self.fault(e))?
                .map(|v| v.value().to_vec()))
        };
        let damaged = |key, e: serde_json::Error| DiskError::Damaged {
            location: self.location.clone(),
            key,
            reason: e.to_string(),
        };
        let identity: Option<Identity> = match read("identity")? {
            Some(bytes) => {
                Some(serde_json::from_slice(&bytes).map_err(|e| damaged("identity", e))?)
            }
            None => None,
        };
        let acceptor = match read("acceptor")? {
            Some(bytes) => serde_json::from_slice(&bytes).map_err(|e| damaged("acceptor", e))?,
            None => Acceptor::default(),
        };
        match identity {
            Some(identity) if identity.schema != SCHEMA_VERSION => {
                return Err(DiskError::Schema {
                    location: self.location.clone(),
                    found: identity.schema,
                });
            }
            Some(identity) => self.identity = identity,
            None => put(&database, "identity", &self.identity).map_err(|e| self.fault(e))?,
        }
        self.database = Some(database);
        Ok(acceptor)
    }

    /// On disk when it returns. After a failure nothing is written before [`Self::reload`].
    pub fn save(&mut self, acceptor: &Acceptor<Fleet>) -> Result<(), DiskError> {
        let Some(database) = &self.database else {
            return Err(self.fault(DiskFailure::lasting("a write failed before")));
        };
        if let Err(e) = put(database, "acceptor", acceptor) {
            let fault = self.fault(e);
            self.database = None;
            return Err(fault);
        }
        Ok(())
    }

    /// Whether no write has failed since it was last read.
    pub fn is_writable(&self) -> bool {
        self.database.is_some()
    }
}

fn put(database: &Database, key: &str, what: &impl Serialize) -> Result<(), redb::Error> {
    let bytes = serde_json::to_vec(what).map_err(|e| redb::Error::Io(e.into()))?;
    // The default durability: on disk before commit returns.
    let txn = database.begin_write()?;
    txn.open_table(KEPT)?.insert(key, bytes.as_slice())?;
    txn.commit()?;
    Ok(())
}
