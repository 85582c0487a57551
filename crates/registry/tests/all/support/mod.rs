//! Helpers shared by the tests.

pub mod disk;

use saltdrum_layers::Digest;
use saltdrum_registry::state::{Change, Stage, Version};
use saltdrum_registry::store::ChangeRequest;
use saltdrum_registry::{Name, Namespace, Revision};

pub(crate) fn name(text: &str) -> Name {
    text.parse().unwrap()
}

pub(crate) fn sample_version(seed: u64) -> Version {
    Version {
        manifest: Digest::of(&seed.to_le_bytes()),
        bytes: 1_000,
        memory_mb: 2_400,
        lanes: 6,
        trigger_types: vec!["narrate".into()],
    }
}

pub(crate) fn push(number: u64) -> Change {
    Change::Push {
        model: name("kinyarwanda"),
        name: name(&format!("v{number}")),
        version: sample_version(number),
    }
}

/// Moves the alias `kinyarwanda-current` to version `v{to}`.
pub(crate) fn move_alias(to: u64, expect: Revision, stage: Option<u16>) -> Change {
    let version = name(&format!("v{to}"));
    let stage = stage.map(|per_mille| Stage {
        to: version.clone(),
        per_mille,
        errors_per_mille: 50,
        answers: 100,
    });
    let (alias, model) = (name("kinyarwanda-current"), name("kinyarwanda"));
    Change::Move {
        space: Namespace::All,
        alias,
        model,
        version,
        expect,
        stage,
    }
}

pub(crate) fn request(change: Change) -> ChangeRequest {
    ChangeRequest {
        who: "tests".into(),
        at_ms: 1_000,
        change,
    }
}
