//! What stewards say to each other, to members and to operators, and what they keep on disk, as an earlier build wrote it.

#[path = "../../fleet/tests/fixture_support/fixtures.rs"]
mod fixtures;
#[path = "fixture_support/lines.rs"]
mod lines;
#[path = "../../fleet/tests/fixture_support/samples.rs"]
mod samples;

use fixtures::{FixtureLines, scratch_folder, stored_copy};
use lines::{RawLine, call_line, memory, read_call, result_line, scripted_server, without_prose};
use redb::{Database, ReadableDatabase, TableDefinition};
use saltdrum_coordinator::disk::{Disk, Identity, SCHEMA_VERSION};
use saltdrum_coordinator::rpc_client::{CallError, RpcClient};
use saltdrum_coordinator::wire::{
    Accept, ChangeReply, ChangeRequest, DryRun, Envelope, Heartbeat, HeartbeatReply, NOT_VOTING,
    OUTCOME_UNKNOWN, PROTOCOL_VERSION, Prepare, REFUSED, Recover, SuspicionReport,
    VOTE_PROTOCOL_VERSION, Vote, WRONG_FLEET_OR_VERSION,
};
use saltdrum_coordinator::{CoordinatorConfig, FleetConfig, HeldLease, server, service};
use saltdrum_deployment::script;
use saltdrum_fleet::change::Change;
use saltdrum_fleet::drain_scheduler::Batch;
use saltdrum_fleet::recovery::RecoveryReply;
use saltdrum_fleet::register::{Ballot, Voter};
use saltdrum_fleet::state::{Bound, BoundScope, Fleet, LeaseTerms, MemberId, MemberKind, Phase};
use saltdrum_protocol::rpc;
use saltdrum_transport::{Clock, MemoryNetwork, Network};
use samples::{
    FLEET, about, ballot, founded_fleet, full_acceptor, full_fleet, heard, lease_terms, mark, voter,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

/// Ticks of a millisecond that a call may take.
const PATIENCE: u64 = 50_000;

fn on_paused_time<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

fn network() -> Rc<dyn Network> {
    Rc::new(MemoryNetwork::default())
}

/// Calls a server that answers with one line. Gives the line that was sent and what was made of the answer.
async fn call<A: DeserializeOwned>(
    method: &str,
    what: &impl Serialize,
    answer: &str,
) -> (String, Result<A, CallError>) {
    let (network, at) = (network(), memory("steward-2"));
    let server = scripted_server(&network, &at, vec![answer.to_owned()]).await;
    let answered = RpcClient::new(network, at, FLEET)
        .call(method, what, PATIENCE)
        .await;
    (server.await.unwrap().remove(0), answered)
}

/// Checks the line of a call, and that a steward reads the stored one as the same value.
async fn check_call<T>(fixtures: &mut FixtureLines, name: &str, method: &str, what: T)
where
    T: Serialize + DeserializeOwned + Debug,
{
    let (sent, _) = call::<serde_json::Value>(method, &what, &result_line(1, &json!({}))).await;
    let stored = read_call(&fixtures.check_text(name, &sent));
    assert_eq!(stored.method, method);
    let read: T = server::read_params(&stored, FLEET).unwrap();
    assert_eq!(
        format!("{read:?}"),
        format!("{what:?}"),
        "{name}: read back"
    );
}

/// Checks the line of an answer, and that a caller reads the stored one as the same value.
async fn check_answer<T>(fixtures: &mut FixtureLines, name: &str, result: T)
where
    T: Serialize + DeserializeOwned + Debug,
{
    let id = read_call(r#"{"jsonrpc":"2.0","id":1,"method":"any"}"#)
        .id
        .unwrap();
    let written = rpc::format_result(&id, &serde_json::to_string(&result).unwrap());
    let stored = fixtures.check_text(name, &written);
    let (_, read) = call::<T>("any", &json!({}), &stored).await;
    assert_eq!(
        format!("{:?}", read.unwrap()),
        format!("{result:?}"),
        "{name}: read back"
    );
}

fn renew() -> Heartbeat {
    let member = MemberId::invoker(9);
    Heartbeat {
        member,
        incarnation: 109,
        interval_ticks: 5_000,
        busy: 0.75,
        last_copies: 6,
    }
}

fn opinions(levels: Option<BTreeMap<MemberId, f64>>) -> SuspicionReport {
    SuspicionReport {
        from: voter(3),
        levels,
        decided: ballot(11),
        writes: 25,
        is_recovering: true,
    }
}

#[test]
fn calls_to_stewards_keep_their_text() {
    on_paused_time(async {
        let mut fixtures = FixtureLines::open("calls.txt");
        let all = &mut fixtures;
        let (to, from) = (voter(2), voter(3));
        let prepare = Prepare {
            to,
            ballot: ballot(12),
            known_ballot: ballot(11),
        };
        check_call(all, "prepare", "prepare", prepare).await;
        let value = Box::new(full_fleet());
        check_call(
            all,
            "accept",
            "accept",
            Accept {
                to,
                ballot: ballot(12),
                value,
            },
        )
        .await;
        check_call(
            all,
            "recover",
            "recover",
            Recover {
                from,
                incarnation: 6,
            },
        )
        .await;
        check_call(all, "decided", "decided", json!({})).await;
        let levels = BTreeMap::from([
            (MemberId::invoker(9), 0.5),
            (MemberId::controller(2), 12.25),
        ]);
        check_call(all, "opinions", "opinions", opinions(Some(levels))).await;
        check_call(
            all,
            "opinions-of-a-deaf-steward",
            "opinions",
            opinions(None),
        )
        .await;
        check_call(all, "renew", "renew", renew()).await;
        for (name, change) in samples::every_change() {
            check_call(
                all,
                &format!("change-{name}"),
                "change",
                ChangeRequest { change },
            )
            .await;
        }
        check_call(all, "status", "status", json!({})).await;
        let members = vec![MemberId::invoker(9), MemberId::controller(2)];
        check_call(all, "dry-run", "dry_run", DryRun { members }).await;
        fixtures.finish();
    });
}

fn votes() -> [(&'static str, Vote); 5] {
    let (accepted, value) = (Some(ballot(11)), Some(Box::new(full_fleet())));
    let (writes, promised) = (25, ballot(14));
    [
        (
            "promised",
            Vote::Promised {
                accepted,
                value,
                stamp: mark(),
                writes,
            },
        ),
        (
            "promised-value-left-out",
            Vote::Promised {
                accepted,
                value: None,
                stamp: mark(),
                writes,
            },
        ),
        (
            "promised-nothing-accepted",
            Vote::Promised {
                accepted: None,
                value: None,
                stamp: mark(),
                writes,
            },
        ),
        (
            "accepted",
            Vote::Accepted {
                stamp: mark(),
                writes,
            },
        ),
        ("refused", Vote::Refused { promised }),
    ]
}

fn standing(phase: Phase) -> HeartbeatReply {
    let lease = HeldLease {
        lease: "counting".into(),
        task: "count".into(),
        epoch: 21,
        resources: BTreeSet::from(["journal-1".into(), "journal-2".into()]),
    };
    let (incarnation, phase) = (Some(109), Some(phase));
    HeartbeatReply {
        revision: 37,
        incarnation,
        phase,
        drain_withdrawn: true,
        leases: vec![lease],
    }
}

#[test]
fn answers_of_stewards_keep_their_text() {
    on_paused_time(async {
        let mut fixtures = FixtureLines::open("answers.txt");
        let all = &mut fixtures;
        for (name, vote) in votes() {
            check_answer(all, &format!("vote-{name}"), vote).await;
        }
        check_answer::<(Voter, RecoveryReply<Fleet>)>(all, "recover", (voter(2), heard())).await;
        check_answer::<(Ballot, Option<Fleet>)>(all, "decided", (ballot(11), Some(full_fleet())))
            .await;
        check_answer::<(Ballot, Option<Fleet>)>(all, "decided-nothing", (ballot(0), None)).await;
        for member in full_fleet().members.into_values() {
            let name = format!(
                "standing-{}-{}",
                member.phase.name(),
                member.phase.is_planned()
            );
            check_answer(all, &name, standing(member.phase)).await;
        }
        let (incarnation, phase, leases) = Default::default();
        let stranger = HeartbeatReply {
            revision: 0,
            incarnation,
            phase,
            drain_withdrawn: false,
            leases,
        };
        check_answer(all, "standing-no-member", stranger).await;
        check_answer(
            all,
            "changed",
            ChangeReply {
                revision: 38,
                changed: true,
            },
        )
        .await;
        check_answer(
            all,
            "changed-before",
            ChangeReply {
                revision: 38,
                changed: false,
            },
        )
        .await;
        let go = vec![MemberId::invoker(9)];
        let batches = vec![
            Batch {
                members: go.clone(),
                limit: Some("no room".into()),
            },
            Batch {
                members: go,
                limit: None,
            },
        ];
        check_answer(all, "dry-run", batches).await;
        let refusal = r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32020,"message":"halted"}}"#;
        match call::<ChangeReply>("change", &json!({}), refusal).await.1 {
            Err(CallError::ErrorReply {
                code: REFUSED,
                message,
            }) => assert_eq!(message, "halted"),
            other => panic!("{other:?}"),
        }
        fixtures.finish();
    });
}

#[test]
fn codes_and_versions_of_messages_stay() {
    let mut fixtures = FixtureLines::open("codes.txt");
    let codes = [
        ("refused", REFUSED),
        ("stranger", WRONG_FLEET_OR_VERSION),
        ("unsettled", OUTCOME_UNKNOWN),
        ("no-vote", NOT_VOTING),
        ("version", PROTOCOL_VERSION.into()),
        ("version-of-votes", VOTE_PROTOCOL_VERSION.into()),
    ];
    for (name, code) in codes {
        fixtures.check_text(name, &code.to_string());
    }
    fixtures.finish();
}

#[test]
fn a_renewal_from_before_later_fields_is_still_read() {
    let written = r#"{"member":"invoker-9","incarnation":109,"every_tenths":5000}"#;
    let read: Heartbeat = serde_json::from_str(written).unwrap();
    let expected = Heartbeat {
        busy: 0.0,
        last_copies: 0,
        ..renew()
    };
    assert_eq!(format!("{read:?}"), format!("{expected:?}"));
}

fn terms() -> FleetConfig {
    FleetConfig {
        name: FLEET.into(),
        renew: 1_000,
        suspect_level: 8.0,
        grant_for: 20_000,
        drain_for: 600_000,
        prove_within: 0,
        halt_at_lost: 0,
        bounds: vec![samples::bound_with_least_fields(BoundScope::Fleet)],
        leases: BTreeMap::new(),
    }
}

/// Starts the one steward of a new fleet, and waits until it votes.
async fn start_steward(network: &Rc<dyn Network>, database: &Path) {
    let new = Identity {
        schema: SCHEMA_VERSION,
        fleet: FLEET.into(),
        voter: voter(1),
    };
    let (disk, acceptor) = Disk::open_file(database, new).unwrap();
    let config = CoordinatorConfig {
        number: 1,
        incarnation: 9,
        seed: 4,
        fleet_config: terms(),
        initial_fleet: founded_fleet(),
        listen: memory("steward-1"),
        invoker_list: None,
    };
    let serving = service::serve(config, disk, acceptor, network.clone(), Clock::start());
    tokio::task::spawn_local(async move {
        if let Err(why) = serving.await {
            panic!("the steward ended: {why}");
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
}

/// Texts of the fleet's history are for people: their place stays, and they are left out.
fn without_history(answer: &str) -> String {
    let Some(start) = answer.find(r#""history":["#) else {
        return answer.to_owned();
    };
    let (before, history) = answer.split_at(start);
    let (_, after) = history.split_once(']').unwrap();
    format!(r#"{before}"history":[]{after}"#)
}

/// One conversation with a running steward.
struct Conversation {
    line: RawLine,
    calls: u64,
    fixtures: FixtureLines,
}

impl Conversation {
    /// Sends a call and checks its text and that of the answer.
    async fn call(&mut self, name: &str, method: &str, what: impl Serialize) -> String {
        self.calls += 1;
        let sent = call_line(self.calls, FLEET, method, &what);
        self.send(name, &sent).await
    }

    async fn send(&mut self, name: &str, sent: &str) -> String {
        self.fixtures.check_text(&format!("{name}-call"), sent);
        let answer = self.line.exchange(sent).await;
        let kept = without_history(&without_prose(&answer));
        self.fixtures.check_text(&format!("{name}-answer"), &kept);
        answer
    }

    async fn change(&mut self, name: &str, change: Change) -> String {
        self.call(name, "change", ChangeRequest { change }).await
    }
}

#[test]
fn a_steward_answers_calls_of_an_earlier_build_as_it_did() {
    on_paused_time(async {
        let (network, scratch) = (network(), scratch_folder("conversation"));
        start_steward(&network, &scratch.join("steward.redb")).await;
        let line = RawLine::dial(&network, &memory("steward-1")).await;
        let fixtures = FixtureLines::open("conversation.txt");
        let mut talk = Conversation {
            line,
            calls: 0,
            fixtures,
        };
        let (member, incarnation) = (MemberId::invoker(9), 109);
        let by = || "anna".to_owned();
        talk.call("renew-unknown", "renew", renew()).await;
        talk.change(
            "join",
            Change::Join {
                member,
                about: about(incarnation),
            },
        )
        .await;
        talk.change(
            "proven",
            Change::Proven {
                member,
                incarnation,
            },
        )
        .await;
        talk.change(
            "proven-again",
            Change::Proven {
                member,
                incarnation,
            },
        )
        .await;
        let leases = BTreeMap::from([("counting".into(), lease_terms())]);
        talk.change("leases", Change::Leases { leases, by: by() })
            .await;
        talk.call("renew", "renew", renew()).await;
        talk.change("grant-from-outside", Change::Grant { member })
            .await;
        talk.call(
            "dry-run",
            "dry_run",
            DryRun {
                members: vec![member],
            },
        )
        .await;
        let ask = Change::Ask {
            id: "upgrade-3".into(),
            members: vec![member],
            by: by(),
        };
        talk.change("ask", ask).await;
        talk.change(
            "withdraw",
            Change::Withdraw {
                members: vec![member],
                by: by(),
            },
        )
        .await;
        let halt = Change::Halt {
            by: by(),
            why: "a storm".into(),
            ends: "its end".into(),
        };
        talk.change("halt", halt).await;
        talk.change("resume", Change::Resume { by: by() }).await;
        talk.call("opinions", "opinions", opinions(None)).await;
        talk.call("status", "status", json!({})).await;
        talk.change(
            "join-next-life",
            Change::Join {
                member,
                about: about(110),
            },
        )
        .await;
        let replaced = talk
            .change(
                "join-replaced-life",
                Change::Join {
                    member,
                    about: about(109),
                },
            )
            .await;
        // Members go by these words.
        assert!(replaced.contains("was replaced"), "{replaced}");
        let decided = talk.call("decided", "decided", json!({})).await;
        check_votes(&mut talk, &decided).await;
        check_refused_calls(&mut talk).await;
        talk.fixtures.finish();
    });
}

/// Another steward proposes.
async fn check_votes(talk: &mut Conversation, decided: &str) {
    let decided: rpc::Reply = serde_json::from_str(decided).unwrap();
    let decided: (Ballot, Fleet) = serde_json::from_str(decided.result.unwrap().get()).unwrap();
    let (have, value) = (decided.0, Box::new(decided.1));
    let (to, none) = (voter(1), Ballot::default());
    talk.call(
        "prepare",
        "prepare",
        Prepare {
            to,
            ballot: ballot(1_000),
            known_ballot: none,
        },
    )
    .await;
    talk.call(
        "prepare-known",
        "prepare",
        Prepare {
            to,
            ballot: ballot(1_001),
            known_ballot: have,
        },
    )
    .await;
    talk.call(
        "prepare-late",
        "prepare",
        Prepare {
            to,
            ballot: ballot(1),
            known_ballot: have,
        },
    )
    .await;
    let at = ballot(1_001);
    let mut stored_value = value.clone();
    stored_value.history.clear();
    talk.call(
        "accept",
        "accept",
        Accept {
            to,
            ballot: at,
            value: stored_value.clone(),
        },
    )
    .await;
    talk.call(
        "accept-late",
        "accept",
        Accept {
            to,
            ballot: ballot(1),
            value: stored_value,
        },
    )
    .await;
    talk.call(
        "recover",
        "recover",
        Recover {
            from: voter(2),
            incarnation: 6,
        },
    )
    .await;
    let elsewhere = Prepare {
        to: voter(2),
        ballot: at,
        known_ballot: have,
    };
    talk.call("prepare-for-another-voter", "prepare", elsewhere)
        .await;
}

async fn check_refused_calls(talk: &mut Conversation) {
    talk.call("unknown-method", "dance", json!({})).await;
    let strangers = [
        ("other-fleet", "theatres", PROTOCOL_VERSION),
        ("other-version", FLEET, PROTOCOL_VERSION + 1),
    ];
    for (name, fleet, speaks) in strangers {
        let said = Envelope {
            fleet: fleet.into(),
            version: speaks,
            params: json!({}),
        };
        let sent = lines::plain_call_line(1_000, "status", &said);
        talk.send(name, &sent).await;
    }
    talk.call(
        "unknown-field",
        "recover",
        json!({"from": voter(2), "life": 6, "more": 1}),
    )
    .await;
}

#[test]
fn a_script_of_an_earlier_build_states_the_same_fleet() {
    let mut statements = script::run("fleet.star", include_str!("fixtures/fleet.star")).unwrap();
    let stated = FleetConfig::extract(&mut statements).unwrap().unwrap();
    assert!(statements.is_empty());
    let bound_of_kind = Bound {
        kind: Some(MemberKind::Controller),
        ..samples::bound_with_least_fields(BoundScope::Site)
    };
    let bound_of_share = Bound {
        out: None,
        share: Some(0.5),
        ..samples::bound_with_least_fields(BoundScope::Fleet)
    };
    let bound_in_full = Bound {
        least_memory_mb: Some(2_000.0),
        ..samples::bound_with_all_fields()
    };
    let reporting = LeaseTerms {
        task: "report".into(),
        eligible: MemberKind::Controller,
        resources: BTreeSet::from(["journal-3".into()]),
    };
    let expected = FleetConfig {
        name: FLEET.into(),
        renew: 5_000,
        suspect_level: 7.5,
        grant_for: 110_000,
        drain_for: 2_400_000,
        prove_within: 1_200_000,
        halt_at_lost: 5,
        bounds: vec![bound_in_full, bound_of_kind, bound_of_share],
        leases: BTreeMap::from([
            ("counting".into(), lease_terms()),
            ("reporting".into(), reporting),
        ]),
    };
    assert_eq!(format!("{stated:?}"), format!("{expected:?}"));
}

#[test]
fn a_script_that_states_only_a_name_means_the_same_fleet() {
    let mut statements = script::run("fleet.star", r#"fleet("museums")"#).unwrap();
    let stated = FleetConfig::extract(&mut statements).unwrap().unwrap();
    let expected = FleetConfig {
        renew: 5_000,
        grant_for: 100_000,
        drain_for: 3_000_000,
        bounds: Vec::new(),
        ..terms()
    };
    assert_eq!(format!("{stated:?}"), format!("{expected:?}"));
}

const TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("steward");

/// What lies in a steward's database, by key.
fn check_records(fixtures: &mut FixtureLines, whose: &str, database: &Path) {
    let database = Database::open(database).unwrap();
    let table = database.begin_read().unwrap().open_table(TABLE).unwrap();
    for key in ["identity", "acceptor"] {
        let record = table.get(key).unwrap().unwrap().value().to_vec();
        fixtures.check_text(
            &format!("{whose}-{key}"),
            &String::from_utf8(record).unwrap(),
        );
    }
}

#[test]
fn a_disk_of_an_earlier_build_is_read_and_a_new_one_has_the_same_records() {
    let scratch = scratch_folder("disk");
    let identity = Identity {
        schema: SCHEMA_VERSION,
        fleet: FLEET.into(),
        voter: voter(3),
    };
    let written = scratch.join("steward.redb");
    let (mut disk, at_first) = Disk::open_file(&written, identity.clone()).unwrap();
    assert_eq!(at_first.writes, 0);
    disk.save(&full_acceptor()).unwrap();
    drop(disk);
    let stored = stored_copy("steward.redb", &written, &scratch);
    let mut fixtures = FixtureLines::open("disk-records.txt");
    check_records(&mut fixtures, "new", &written);
    check_records(&mut fixtures, "stored", &stored);
    fixtures.finish();
    // Started with another disk's number: what is on the disk holds.
    let started = Identity {
        voter: Voter {
            disk: 1,
            ..voter(3)
        },
        ..identity.clone()
    };
    let (mut disk, acceptor) = Disk::open_file(&stored, started).unwrap();
    assert_eq!((&disk.identity, &acceptor), (&identity, &full_acceptor()));
    disk.save(&acceptor).unwrap();
}
