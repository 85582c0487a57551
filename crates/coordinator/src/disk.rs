//! What a steward keeps: who it is, and what it promised and accepted. On disk before anybody is told.

use redb::{Database, ReadableDatabase, TableDefinition};
use saltdrum_durable::{DiskFailure, database};
use saltdrum_fleet::fleet::Fleet;
use saltdrum_fleet::register::{Acceptor, Voter};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Of the database's pages, held in memory.
const CACHE_BYTES: usize = 4 << 20;
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("steward");
/// Of what is written here. A later one is not touched.
pub const SCHEMA: u64 = 1;

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{place}: {why}")]
    Disk { place: String, why: DiskFailure },
    #[error("{place}: {key}: {why}")]
    Damaged {
        place: String,
        key: &'static str,
        why: String,
    },
    #[error("{place}: schema {found}: this program knows {SCHEMA}")]
    Schema { place: String, found: u64 },
    #[error("{place}: it is the disk of steward-{found} of fleet '{fleet}'")]
    Other {
        place: String,
        fleet: String,
        found: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub schema: u64,
    pub fleet: String,
    pub voter: Voter,
}

/// Makes the database, at each start and after each failure.
pub type Opens = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

impl Fault {
    /// Whether the same may succeed a while later.
    pub fn may_pass(&self) -> bool {
        matches!(self, Self::Disk { why, .. } if why.is_transient)
    }
}

pub struct Disk {
    place: String,
    opens: Opens,
    /// None: a write failed, and what the disk has is not known until it is read again.
    database: Option<Database>,
    pub identity: Identity,
}

impl Disk {
    pub fn open_file(path: &Path, new: Identity) -> Result<(Self, Acceptor<Fleet>), Fault> {
        let at = path.to_owned();
        let opens = move || database::open(&at, CACHE_BYTES);
        Self::open(path.display().to_string(), Box::new(opens), new)
    }

    /// `new`: who this steward is, if nothing is there yet.
    pub fn open(
        place: String,
        opens: Opens,
        new: Identity,
    ) -> Result<(Self, Acceptor<Fleet>), Fault> {
        let mut disk = Self {
            place,
            opens,
            database: None,
            identity: new.clone(),
        };
        let acceptor = disk.come_back()?;
        if (&disk.identity.fleet, disk.identity.voter.steward) != (&new.fleet, new.voter.steward) {
            let Identity { fleet, voter, .. } = disk.identity;
            return Err(Fault::Other {
                place: disk.place,
                fleet,
                found: voter.steward,
            });
        }
        Ok((disk, acceptor))
    }

    fn fault(&self, why: impl Into<DiskFailure>) -> Fault {
        Fault::Disk {
            place: self.place.clone(),
            why: why.into(),
        }
    }

    /// Reads what the disk has, after a start or a failed write.
    pub fn come_back(&mut self) -> Result<Acceptor<Fleet>, Fault> {
        self.database = None;
        let database = (self.opens)().map_err(|e| self.fault(e))?;
        let txn = database.begin_write().map_err(|e| self.fault(e))?;
        txn.open_table(KEPT).map_err(|e| self.fault(e))?;
        txn.commit().map_err(|e| self.fault(e))?;
        let read = |key: &'static str| -> Result<Option<Vec<u8>>, Fault> {
            let txn = database.begin_read().map_err(|e| self.fault(e))?;
            let table = txn.open_table(KEPT).map_err(|e| self.fault(e))?;
            Ok(table
                .get(key)
                .map_err(|e| self.fault(e))?
                .map(|v| v.value().to_vec()))
        };
        let damaged = |key, e: serde_json::Error| Fault::Damaged {
            place: self.place.clone(),
            key,
            why: e.to_string(),
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
            Some(identity) if identity.schema != SCHEMA => {
                return Err(Fault::Schema {
                    place: self.place.clone(),
                    found: identity.schema,
                });
            }
            Some(identity) => self.identity = identity,
            None => put(&database, "identity", &self.identity).map_err(|e| self.fault(e))?,
        }
        self.database = Some(database);
        Ok(acceptor)
    }

    /// On disk when it returns. After a failure nothing is written before [`Self::come_back`].
    pub fn keep(&mut self, acceptor: &Acceptor<Fleet>) -> Result<(), Fault> {
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
