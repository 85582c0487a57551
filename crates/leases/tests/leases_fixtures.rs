//! What holders and resources say to each other, and what a journal keeps on disk, as an earlier build wrote it.

#[path = "../../fleet/tests/fixture_support/fixtures.rs"]
mod fixtures;
#[path = "../../coordinator/tests/fixture_support/lines.rs"]
mod lines;

use fixtures::{FixtureLines, scratch_folder, stored_copy};
use lines::{call_line, memory, read_call, result_line, run, scripted_server};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use saltdrum_coordinator::rpc_client::RpcClient;
use saltdrum_coordinator::server::CallHandler;
use saltdrum_coordinator::wire::ChangeReply;
use saltdrum_fleet::fence::{Rejection, Token};
use saltdrum_fleet::state::LeaseName;
use saltdrum_leases::SealStore;
use saltdrum_leases::journal::{Append, Appended, Journal, JournalDisk};
use saltdrum_leases::messages::{
    Effect, REJECTED, Seal, Sealed, UNCONFIRMED, UNWRITABLE, rejection_text,
};
use saltdrum_transport::{MemoryNetwork, Network};
use serde::Serialize;
use serde_json::json;
use std::path::Path;
use std::rc::Rc;

const FLEET: &str = "museums";
const INCARNATION: u64 = 71;

fn lease() -> LeaseName {
    "counting".into()
}

fn token(epoch: u64, incarnation: u64) -> Token {
    Token {
        lease: lease(),
        epoch,
        incarnation,
    }
}

fn append(token: Token) -> Effect<Append> {
    Effect {
        token,
        actor: "invoker-9".into(),
        params: Append {
            line: "one more".into(),
        },
    }
}

#[test]
fn messages_to_resources_keep_their_serialised_form() {
    let mut fixtures = FixtureLines::open("messages.txt");
    fixtures.check_json_by_debug(
        "seal",
        &Seal {
            lease: lease(),
            epoch: 21,
        },
    );
    fixtures.check_json_by_debug(
        "sealed",
        &Sealed {
            incarnation: INCARNATION,
        },
    );
    fixtures.check_json_by_debug("append", &append(token(21, INCARNATION)));
    fixtures.check_json_by_debug("appended", &Appended { number: 5 });
    let codes = [
        ("rejected", REJECTED),
        ("unconfirmed", UNCONFIRMED),
        ("unwritable", UNWRITABLE),
    ];
    for (name, code) in codes {
        fixtures.check_text(&format!("code-{name}"), &code.to_string());
    }
    let rejections = [
        ("unsealed", Rejection::Unsealed),
        (
            "epoch",
            Rejection::Epoch {
                expected: 22,
                found: 21,
            },
        ),
        (
            "incarnation",
            Rejection::Incarnation {
                expected: 72,
                found: 71,
            },
        ),
        ("lease", Rejection::Lease { expected: lease() }),
    ];
    for (name, rejection) in rejections {
        let stored = fixtures.check_text(&format!("rejection-{name}"), &rejection_text(&rejection));
        assert_eq!(
            serde_json::from_str::<Rejection>(&stored).unwrap(),
            rejection
        );
    }
    fixtures.finish();
}

/// One conversation with a journal.
struct Conversation {
    journal: Rc<Journal>,
    calls: u64,
    fixtures: Option<FixtureLines>,
}

impl Conversation {
    async fn call(&mut self, name: &str, method: &str, what: impl Serialize) {
        self.calls += 1;
        let sent = call_line(self.calls, FLEET, method, &what);
        let answer = match self.journal.handle_call(&read_call(&sent)).await {
            Ok(result) => result,
            // The message of a rejection is read by holders; others are for people.
            Err((REJECTED, message)) => format!("error {REJECTED} {message}"),
            Err((code, _)) => format!("error {code}"),
        };
        let Some(fixtures) = &mut self.fixtures else {
            return;
        };
        fixtures.check_text(&format!("{name}-call"), &sent);
        fixtures.check_text(&format!("{name}-answer"), &answer);
    }

    async fn seal(&mut self, name: &str, lease: LeaseName, epoch: u64) {
        self.call(name, "seal", Seal { lease, epoch }).await;
    }

    async fn append(&mut self, name: &str, token: Token) {
        self.call(name, "append", append(token)).await;
    }
}

/// Runs a journal on a new disk through all that may be asked of it. Gives the disk's records to compare.
async fn converse(database: &Path, fixtures: Option<FixtureLines>) -> Option<FixtureLines> {
    let network: Rc<dyn Network> = Rc::new(MemoryNetwork::default());
    let steward = memory("steward-1");
    let changed = |id| {
        result_line(
            id,
            &ChangeReply {
                revision: 38,
                changed: false,
            },
        )
    };
    let refused = r#"{"jsonrpc":"2.0","id":2,"error":{"code":-32020,"message":"another epoch"}}"#;
    let answers = vec![changed(1), refused.to_owned(), changed(3)];
    let confirming = scripted_server(&network, &steward, answers).await;
    let stewards = vec![RpcClient::new(network, steward, FLEET)];
    let disk = JournalDisk::open_file(database).unwrap();
    let journal = Journal::new(FLEET, INCARNATION, stewards, disk, Box::new(|_| ()));
    let mut talk = Conversation {
        journal,
        calls: 0,
        fixtures,
    };
    talk.append("append-unsealed", token(21, INCARNATION)).await;
    talk.seal("seal", lease(), 21).await;
    talk.seal("seal-unconfirmed", "reporting".into(), 5).await;
    talk.seal("seal-another-lease", "reporting".into(), 6).await;
    talk.append("append", token(21, INCARNATION)).await;
    talk.append("append-again", token(21, INCARNATION)).await;
    talk.seal("seal-next-epoch", lease(), 22).await;
    talk.seal("seal-old-epoch", lease(), 21).await;
    talk.append("append-old-epoch", token(21, INCARNATION))
        .await;
    talk.append("append-old-life", token(22, INCARNATION - 1))
        .await;
    talk.call("status", "status", json!({})).await;
    talk.call("unknown-method", "dance", json!({})).await;
    let asked = confirming.await.unwrap();
    let mut fixtures = talk.fixtures?;
    for (number, line) in asked.iter().enumerate() {
        fixtures.check_text(&format!("asked-steward-{number}"), line);
    }
    Some(fixtures)
}

#[test]
fn a_journal_answers_calls_of_an_earlier_build_as_it_did() {
    let scratch = scratch_folder("conversation");
    let fixtures = FixtureLines::open("conversation.txt");
    let fixtures = run(converse(&scratch.join("journal.redb"), Some(fixtures)));
    fixtures.unwrap().finish();
}

const SEALS: TableDefinition<&str, u64> = TableDefinition::new("seals");
const LINES: TableDefinition<u64, &str> = TableDefinition::new("lines");

/// What lies in a journal's database, in the order of its keys.
fn check_records(fixtures: &mut FixtureLines, whose: &str, database: &Path) {
    let database = Database::open(database).unwrap();
    let reading = database.begin_read().unwrap();
    let mut records = Vec::new();
    for record in reading.open_table(SEALS).unwrap().iter().unwrap() {
        let (lease, epoch) = record.unwrap();
        records.push(format!("seal {} {}", lease.value(), epoch.value()));
    }
    for record in reading.open_table(LINES).unwrap().iter().unwrap() {
        let (number, line) = record.unwrap();
        records.push(format!("line {} {}", number.value(), line.value()));
    }
    for (number, record) in records.iter().enumerate() {
        fixtures.check_text(&format!("{whose}-{number}"), record);
    }
}

#[test]
fn a_journal_of_an_earlier_build_is_read_and_a_new_one_has_the_same_records() {
    let scratch = scratch_folder("disk");
    let written = scratch.join("journal.redb");
    run(converse(&written, None));
    let stored = stored_copy("journal.redb", &written, &scratch);
    let mut fixtures = FixtureLines::open("journal-records.txt");
    check_records(&mut fixtures, "new", &written);
    check_records(&mut fixtures, "stored", &stored);
    fixtures.finish();
    let disk = JournalDisk::open_file(&stored).unwrap();
    let sealed = |name: &str| disk.sealed_epoch(&name.into()).unwrap();
    assert_eq!(
        (sealed("counting"), sealed("reporting"), sealed("unknown")),
        (22, 6, 0)
    );
    assert_eq!(disk.line_count().unwrap(), 2);
    disk.write_seal(&lease(), 23).unwrap();
    assert_eq!(sealed("counting"), 23);
}
