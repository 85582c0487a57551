//! A registry with a history of changes of every kind, the same at each run.

use saltdrum_layers::Digest;
use saltdrum_layers::layout::Layout;
use saltdrum_registry::service::create_first_owner;
use saltdrum_registry::state::{Change, Role, Stage, Version};
use saltdrum_registry::store::{ChangeRequest, Store};
use saltdrum_registry::{Name, Namespace, Revision, keys};
use std::fs;
use std::path::Path;

pub const OWNER_CHANCE: [u8; 32] = [7; 32];
pub const LEASE: &str = "registry-collection";
pub const EPOCH: u64 = 21;
/// Of the last change of the history.
pub const LAST_REVISION: Revision = 23;

pub fn name(text: &str) -> Name {
    text.parse().unwrap()
}

/// Bytes that do not pack, the same at each run: a linear congruential generator's.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed;
    let mut next = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 56) as u8
    };
    (0..length).map(|_| next()).collect()
}

/// Packs a model of so many bytes into the folder, and gives its version.
fn packed(folder: &Path, tag: &str, bytes: usize) -> Version {
    let model = folder.join("model");
    fs::write(&model, noise(bytes as u64, bytes)).unwrap();
    let layout = Layout::open(folder).unwrap();
    layout.pack(&model, tag).unwrap();
    fs::remove_file(model).unwrap();
    let manifest = layout.manifest(tag).unwrap().0;
    let trigger_types = vec!["narrate".into(), "translate".into()];
    Version {
        manifest,
        bytes: bytes as u64,
        memory_mb: 2_400,
        lanes: 6,
        trigger_types,
    }
}

/// A version whose blobs are nowhere.
pub fn absent_version() -> Version {
    let trigger_types = vec!["narrate".into()];
    Version {
        manifest: Digest::of(b"absent"),
        bytes: 17,
        memory_mb: 18,
        lanes: 19,
        trigger_types,
    }
}

pub fn push(version_name: &str, version: Version) -> Change {
    Change::Push {
        model: name("kinyarwanda"),
        name: name(version_name),
        version,
    }
}

/// Moves the alias `current`, or makes it where `expect` is 0.
pub fn moves(space: Namespace, to: &str, expect: Revision, is_staged: bool) -> Change {
    let (alias, model, version) = (name("current"), name("kinyarwanda"), name(to));
    let stage = Stage {
        to: version.clone(),
        per_mille: 250,
        errors_per_mille: 50,
        answers: 400,
    };
    Change::Move {
        space,
        alias,
        model,
        version,
        expect,
        stage: is_staged.then_some(stage),
    }
}

fn ends_stage(expect: Revision, well: bool) -> Change {
    let why = if well {
        "no more errors"
    } else {
        "too many errors"
    };
    Change::EndStage {
        space: Namespace::All,
        alias: name("current"),
        expect,
        is_success: well,
        why: why.into(),
    }
}

pub fn adds_key(id: &str, role: Role) -> Change {
    let (_, hash) = keys::generate(&name(id), [role as u8 + 1; 32]);
    Change::AddKey {
        id: name(id),
        role,
        hash,
    }
}

/// Changes after the first owner's key. All versions' blobs are there; those of `v5` are of no use at the end.
fn changes(folder: &Path) -> Vec<Change> {
    let model = || name("kinyarwanda");
    let (all, tenant) = (|| Namespace::All, Namespace::Tenant(name("louvre")));
    let next = || name("next");
    let makes_next = Change::Move {
        space: all(),
        alias: next(),
        model: model(),
        version: name("v2"),
        expect: 0,
        stage: None,
    };
    vec![
        adds_key("box-1", Role::Reader),
        adds_key("press", Role::Publisher),
        adds_key("shift", Role::Mover),
        adds_key("boris", Role::Owner),
        push("v1", packed(folder, "kinyarwanda:v1", 900)),
        push("v2", packed(folder, "kinyarwanda:v2", 800)),
        push("v3", packed(folder, "kinyarwanda:v3", 700)),
        push("v4", packed(folder, "kinyarwanda:v4", 600)),
        moves(all(), "v1", 0, false),
        moves(tenant, "v2", 0, false),
        moves(all(), "v2", 10, true),
        ends_stage(12, true),
        moves(all(), "v3", 13, true),
        ends_stage(14, false),
        Change::RollBack {
            space: all(),
            alias: name("current"),
            expect: 15,
        },
        makes_next,
        Change::DropAlias {
            space: all(),
            alias: next(),
            expect: 17,
        },
        Change::Withdraw {
            model: model(),
            name: name("v4"),
        },
        push("v5", packed(folder, "kinyarwanda:v5", 500)),
        Change::Delete {
            model: model(),
            name: name("v5"),
        },
        Change::WithdrawKey { id: name("shift") },
        moves(all(), "v3", 16, true),
    ]
}

/// Makes the registry and its blobs in a folder. Gives the owner's key.
pub fn make_registry(folder: &Path) -> String {
    let changes = changes(folder);
    Store::create_file(&folder.join("registry.redb"), |store| {
        let key = create_first_owner(store, &name("anna"), OWNER_CHANCE, 1_000)?;
        for (change, number) in changes.into_iter().zip(1..) {
            let who = if matches!(change, Change::Push { .. }) {
                "press"
            } else {
                "anna"
            };
            let asked = ChangeRequest {
                who: who.into(),
                at_ms: 1_000 + number,
                change,
            };
            store.commit(vec![asked])?.remove(0)?;
        }
        store.write_seal(LEASE, EPOCH)?;
        Ok(key)
    })
    .unwrap()
}
