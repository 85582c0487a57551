//! The disk of a coordinator: its identity, and what its acceptor has promised and accepted. A write is on disk before the
//! request that caused it is answered.

use redb::{Database, ReadableDatabase, TableDefinition};
use saltdrum_durable::{DiskFailure, database};
use saltdrum_fleet::register::{Acceptor, Voter};
use saltdrum_fleet::state::Fleet;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Size of the database's page cache.
const CACHE_BYTES: usize = 4 << 20;
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("steward");
/// Version of the stored records. A disk of another version is not opened.
pub const SCHEMA_VERSION: u64 = 1;

/// Why a disk can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// Reading or writing failed.
    #[error("{location}: {reason}")]
    Io {
        /// Location of the disk.
        location: String,
        /// What failed.
        reason: DiskFailure,
    },
    /// A record can't be decoded.
    #[error("{location}: {key}: {reason}")]
    Damaged {
        /// Location of the disk.
        location: String,
        /// Key of the record.
        key: &'static str,
        /// Why it can't be decoded.
        reason: String,
    },
    /// The records have another version than [`SCHEMA_VERSION`].
    #[error("{location}: schema {found}: this program knows {SCHEMA_VERSION}")]
    Schema {
        /// Location of the disk.
        location: String,
        /// Version of the records.
        found: u64,
    },
    /// The disk belongs to another coordinator.
    #[error("{location}: it is the disk of steward-{found} of fleet '{fleet}'")]
    OtherOwner {
        /// Location of the disk.
        location: String,
        /// Name of the fleet that it belongs to.
        fleet: String,
        /// Number of the coordinator that it belongs to.
        found: u32,
    },
}

/// The coordinator that a disk belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Version of the stored records, see [`SCHEMA_VERSION`].
    pub schema: u64,
    /// Name of the fleet.
    pub fleet: String,
    /// The coordinator and its disk.
    pub voter: Voter,
}

/// Opens the database; called at startup and after each failure.
pub type OpenDatabase = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

impl DiskError {
    /// Whether a later attempt may succeed.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Io { reason, .. } if reason.is_transient)
    }
}

/// The disk of a coordinator.
pub struct Disk {
    location: String,
    open_database: OpenDatabase,
    /// `None` after a failed write: what the disk has is unknown until it is read again.
    database: Option<Database>,
    /// The coordinator that the disk belongs to.
    pub identity: Identity,
}

impl Disk {
    /// Opens the disk in a file; `new` is written if it has no identity yet.
    pub fn open_file(path: &Path, new: Identity) -> Result<(Self, Acceptor<Fleet>), DiskError> {
        let file = path.to_owned();
        let open_database = move || database::open(&file, CACHE_BYTES);
        Self::open(path.display().to_string(), Box::new(open_database), new)
    }

    /// Opens the disk; `new` is written if it has no identity yet.
    pub fn open(
        location: String,
        open_database: OpenDatabase,
        new: Identity,
    ) -> Result<(Self, Acceptor<Fleet>), DiskError> {
        let mut disk = Self {
            location,
            open_database,
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

    fn io_error(&self, reason: impl Into<DiskFailure>) -> DiskError {
        DiskError::Io {
            location: self.location.clone(),
            reason: reason.into(),
        }
    }

    /// Reads the contents of the disk, at startup or after a failed write.
    pub fn reload(&mut self) -> Result<Acceptor<Fleet>, DiskError> {
        self.database = None;
        let database = (self.open_database)().map_err(|e| self.io_error(e))?;
        let txn = database.begin_write().map_err(|e| self.io_error(e))?;
        txn.open_table(RECORDS).map_err(|e| self.io_error(e))?;
        txn.commit().map_err(|e| self.io_error(e))?;
        let read = |key: &'static str| -> Result<Option<Vec<u8>>, DiskError> {
            let txn = database.begin_read().map_err(|e| self.io_error(e))?;
            let table = txn.open_table(RECORDS).map_err(|e| self.io_error(e))?;
            Ok(table
                .get(key)
                .map_err(|e| self.io_error(e))?
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
            None => {
                write_record(&database, "identity", &self.identity).map_err(|e| self.io_error(e))?
            }
        }
        self.database = Some(database);
        Ok(acceptor)
    }

    /// Writes the state of the acceptor, which is on disk when this returns. After a failure nothing is written before
    /// [`Self::reload`].
    pub fn save(&mut self, acceptor: &Acceptor<Fleet>) -> Result<(), DiskError> {
        let Some(database) = &self.database else {
            return Err(self.io_error(DiskFailure::permanent("a write failed before")));
        };
        if let Err(e) = write_record(database, "acceptor", acceptor) {
            let error = self.io_error(e);
            self.database = None;
            return Err(error);
        }
        Ok(())
    }

    /// Whether no write has failed since the disk was last read.
    pub fn is_writable(&self) -> bool {
        self.database.is_some()
    }
}

fn write_record(
    database: &Database,
    key: &str,
    record: &impl Serialize,
) -> Result<(), redb::Error> {
    let bytes = serde_json::to_vec(record).map_err(|e| redb::Error::Io(e.into()))?;
    // With the default durability, the transaction is on disk before commit returns.
    let txn = database.begin_write()?;
    txn.open_table(RECORDS)?.insert(key, bytes.as_slice())?;
    txn.commit()?;
    Ok(())
}
