//! A small append-only resource, which stands in for the resources of real tasks. It stores the lines that holders append, and
//! the epoch that it is sealed to, in one database.

use crate::fenced_resource::{FencedResource, SealStore};
use crate::messages::{Effect, REJECTED, Seal, Sealed, UNWRITABLE, rejection_text};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server::{CallHandler, RpcError, read_params};
use saltdrum_durable::{DiskFailure, database};
use saltdrum_fleet::fence::Token;
use saltdrum_fleet::state::{Epoch, LeaseName};
use saltdrum_protocol::rpc::{self, Call};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

/// Size of the database's page cache.
const CACHE_BYTES: usize = 4 << 20;
const SEALS: TableDefinition<&str, u64> = TableDefinition::new("seals");
const LINES: TableDefinition<u64, &str> = TableDefinition::new("lines");

/// An accepted effect, for records.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Token of the effect.
    pub token: Token,
    /// The process that made it.
    pub actor: String,
}

/// Called for each accepted effect once it is on disk.
pub type OnAccepted = Box<dyn Fn(&Accepted)>;

/// Opens the database; called at startup and after each failure.
pub type OpenDatabase = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

/// The journal's disk.
pub struct JournalDisk {
    open_database: OpenDatabase,
    /// `None` after a failure: the database is opened again before the next use.
    database: RefCell<Option<Database>>,
}

impl JournalDisk {
    /// Opens the disk in a file, and creates the tables that are missing.
    pub fn open_file(path: &Path) -> Result<Self, DiskFailure> {
        let path = path.to_owned();
        Self::open(Box::new(move || database::open(&path, CACHE_BYTES)))
    }

    /// Opens the disk by this function, and creates the tables that are missing.
    pub fn open(open_database: OpenDatabase) -> Result<Self, DiskFailure> {
        let disk = Self {
            open_database,
            database: RefCell::default(),
        };
        disk.with_database(|_| Ok(()))?;
        Ok(disk)
    }

    /// Runs an operation on the database, which is opened again after a failure.
    fn with_database<T>(
        &self,
        operation: impl FnOnce(&Database) -> Result<T, redb::Error>,
    ) -> Result<T, DiskFailure> {
        let mut slot = self.database.borrow_mut();
        if slot.is_none() {
            let database = (self.open_database)()?;
            let create_tables = || -> Result<(), redb::Error> {
                let transaction = database.begin_write()?;
                transaction.open_table(SEALS)?;
                transaction.open_table(LINES)?;
                transaction.commit()?;
                Ok(())
            };
            create_tables()?;
            *slot = Some(database);
        }
        let Some(database) = slot.as_ref() else {
            return Err(DiskFailure::permanent("not open"));
        };
        let result = operation(database).map_err(DiskFailure::from);
        if result.is_err() {
            *slot = None;
        }
        result
    }

    /// Appends a line if the disk is sealed to the token's epoch; the check and the write are one transaction. Returns the
    /// line's number.
    fn append(&self, token: &Token, line: &str) -> Result<Option<u64>, DiskFailure> {
        self.with_database(|database| {
            let transaction = database.begin_write()?;
            let is_sealed = {
                let seals = transaction.open_table(SEALS)?;
                let sealed = seals
                    .get(token.lease.0.as_str())?
                    .map(|epoch| epoch.value());
                sealed == Some(token.epoch)
            };
            if !is_sealed {
                return Ok(None);
            }
            let number = {
                let mut lines = transaction.open_table(LINES)?;
                let number = lines.len()? + 1;
                lines.insert(number, line)?;
                number
            };
            transaction.commit()?;
            Ok(Some(number))
        })
    }

    /// Number of stored lines.
    pub fn line_count(&self) -> Result<u64, DiskFailure> {
        self.with_database(|database| Ok(database.begin_read()?.open_table(LINES)?.len()?))
    }
}

impl SealStore for JournalDisk {
    fn sealed_epoch(&self, lease: &LeaseName) -> Result<Epoch, String> {
        self.with_database(|database| {
            let seals = database.begin_read()?.open_table(SEALS)?;
            Ok(seals
                .get(lease.0.as_str())?
                .map_or(0, |epoch| epoch.value()))
        })
        .map_err(|failure| failure.reason)
    }

    fn write_seal(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), String> {
        self.with_database(|database| {
            let transaction = database.begin_write()?;
            transaction
                .open_table(SEALS)?
                .insert(lease.0.as_str(), epoch)?;
            transaction.commit()?;
            Ok(())
        })
        .map_err(|failure| failure.reason)
    }
}

/// `append`: appends a line.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// The line to append.
    pub line: String,
}

/// The answer to `append`: the line's number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// Number of the line, from 1 on.
    pub number: u64,
}

/// A running journal.
pub struct Journal {
    /// Name of the fleet that it belongs to.
    pub fleet: String,
    resource: FencedResource,
    disk: JournalDisk,
    on_accepted: OnAccepted,
}

impl Journal {
    /// Creates a journal that has just started; `incarnation` was never used before.
    pub fn new(
        fleet: &str,
        incarnation: u64,
        coordinators: Vec<RpcClient>,
        disk: JournalDisk,
        on_accepted: OnAccepted,
    ) -> Rc<Self> {
        let resource = FencedResource::new(incarnation, coordinators);
        Rc::new(Self {
            fleet: fleet.to_owned(),
            resource,
            disk,
            on_accepted,
        })
    }

    fn append(&self, effect: &Effect<Append>) -> Result<Appended, RpcError> {
        self.resource
            .admit(&effect.token)
            .map_err(|rejection| (REJECTED, rejection_text(&rejection)))?;
        let number = self
            .disk
            .append(&effect.token, &effect.params.line)
            .map_err(|failure| (UNWRITABLE, failure.reason))?;
        let number = number.ok_or((
            UNWRITABLE,
            "the disk has another seal than this life".to_owned(),
        ))?;
        (self.on_accepted)(&Accepted {
            token: effect.token.clone(),
            actor: effect.actor.clone(),
        });
        Ok(Appended { number })
    }
}

impl CallHandler for Journal {
    async fn handle_call(self: &Rc<Self>, call: &Call) -> Result<String, RpcError> {
        let to_text = |result: serde_json::Value| Ok(result.to_string());
        match call.method.as_str() {
            "seal" => {
                let request: Seal = read_params(call, &self.fleet)?;
                let sealed = self
                    .resource
                    .seal(&self.disk, &request.lease, request.epoch)
                    .await;
                let incarnation = sealed.map_err(|error| error.to_rpc_error())?;
                to_text(json!(Sealed { incarnation }))
            }
            "append" => {
                let effect: Effect<Append> = read_params(call, &self.fleet)?;
                to_text(json!(self.append(&effect)?))
            }
            "status" => to_text(
                json!({"sealed": self.resource.sealed_epochs(), "lines": self.disk.line_count().ok()}),
            ),
            other => Err((
                rpc::METHOD_NOT_FOUND,
                format!("method '{other}' is not one of a journal"),
            )),
        }
    }
}
