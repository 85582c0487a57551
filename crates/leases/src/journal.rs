//! A small append-only resource: it keeps the lines that holders append, and the epoch that it is sealed to, in one
//! database. A fake for the resources of real tasks.

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

/// Pages of the database that are held in memory.
const CACHE_BYTES: usize = 4 << 20;
const SEALS: TableDefinition<&str, u64> = TableDefinition::new("seals");
const LINES: TableDefinition<u64, &str> = TableDefinition::new("lines");

/// An effect that was accepted, for whoever keeps the record.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// That it carried.
    pub token: Token,
    /// Who made it.
    pub actor: String,
}

/// Called for each accepted effect once it is on disk.
pub type OnAccepted = Box<dyn Fn(&Accepted)>;

/// Opens the database, at each start and after each failure.
pub type OpenDatabase = Box<dyn Fn() -> Result<Database, redb::DatabaseError>>;

/// The journal's disk.
pub struct JournalDisk {
    opens: OpenDatabase,
    /// None: a write failed, and what the disk has is read again before the next.
    database: RefCell<Option<Database>>,
}

impl JournalDisk {
    /// OpenDatabase the disk, or makes what is missing on it.
    pub fn open_file(path: &Path) -> Result<Self, DiskFailure> {
        let path = path.to_owned();
        Self::open(Box::new(move || database::open(&path, CACHE_BYTES)))
    }

    /// The same, of a database that may be elsewhere than in a file.
    pub fn open(opens: OpenDatabase) -> Result<Self, DiskFailure> {
        let disk = Self {
            opens,
            database: RefCell::default(),
        };
        disk.with(|_| Ok(()))?;
        Ok(disk)
    }

    /// Works on the database, which is opened anew after a failure.
    fn with<T>(
        &self,
        work: impl FnOnce(&Database) -> Result<T, redb::Error>,
    ) -> Result<T, DiskFailure> {
        let mut held = self.database.borrow_mut();
        if held.is_none() {
            let database = (self.opens)()?;
            let create = || -> Result<(), redb::Error> {
                let transaction = database.begin_write()?;
                transaction.open_table(SEALS)?;
                transaction.open_table(LINES)?;
                transaction.commit()?;
                Ok(())
            };
            create()?;
            *held = Some(database);
        }
        let Some(database) = held.as_ref() else {
            return Err(DiskFailure::lasting("not open"));
        };
        let done = work(database).map_err(DiskFailure::from);
        if done.is_err() {
            *held = None;
        }
        done
    }

    /// Appends a line if the disk has this epoch: both in one transaction.
    fn append(&self, token: &Token, line: &str) -> Result<Option<u64>, DiskFailure> {
        self.with(|database| {
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

    /// How many lines there are.
    pub fn line_count(&self) -> Result<u64, DiskFailure> {
        self.with(|database| Ok(database.begin_read()?.open_table(LINES)?.len()?))
    }
}

impl SealStore for JournalDisk {
    fn sealed_epoch(&self, lease: &LeaseName) -> Result<Epoch, String> {
        self.with(|database| {
            let seals = database.begin_read()?.open_table(SEALS)?;
            Ok(seals
                .get(lease.0.as_str())?
                .map_or(0, |epoch| epoch.value()))
        })
        .map_err(|failure| failure.reason)
    }

    fn write_seal(&self, lease: &LeaseName, epoch: Epoch) -> Result<(), String> {
        self.with(|database| {
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

/// `append`: one line more.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Append {
    /// The line to append.
    pub line: String,
}

/// The answer to `append`: the line's number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appended {
    /// From 1 on.
    pub number: u64,
}

/// A journal as it is started.
pub struct Journal {
    /// The fleet that it belongs to.
    pub fleet: String,
    guard: FencedResource,
    disk: JournalDisk,
    on_accepted: OnAccepted,
}

impl Journal {
    /// A journal that has just started; `incarnation` was never used before.
    pub fn new(
        fleet: &str,
        incarnation: u64,
        stewards: Vec<RpcClient>,
        disk: JournalDisk,
        on_accepted: OnAccepted,
    ) -> Rc<Self> {
        let guard = FencedResource::new(incarnation, stewards);
        Rc::new(Self {
            fleet: fleet.to_owned(),
            guard,
            disk,
            on_accepted,
        })
    }

    fn append(&self, effect: &Effect<Append>) -> Result<Appended, RpcError> {
        self.guard
            .admit(&effect.token)
            .map_err(|why| (REJECTED, rejection_text(&why)))?;
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
        let told = |what: serde_json::Value| Ok(what.to_string());
        match call.method.as_str() {
            "seal" => {
                let asked: Seal = read_params(call, &self.fleet)?;
                let sealed = self.guard.seal(&self.disk, &asked.lease, asked.epoch).await;
                let incarnation = sealed.map_err(|fault| fault.to_rpc_error())?;
                told(json!(Sealed { incarnation }))
            }
            "append" => {
                let effect: Effect<Append> = read_params(call, &self.fleet)?;
                told(json!(self.append(&effect)?))
            }
            "status" => told(
                json!({"sealed": self.guard.sealed_epochs(), "lines": self.disk.line_count().ok()}),
            ),
            other => Err((
                rpc::METHOD_NOT_FOUND,
                format!("method '{other}' is not one of a journal"),
            )),
        }
    }
}
