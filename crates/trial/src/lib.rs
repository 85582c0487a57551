//! Trials of a fleet on real processes: each coordinator (steward), controller, invoker and store is a process of the shipped
//! binary, each stream between two of them passes through a proxy of the trial, and a script lists the steps.
//!
//! `script` parses a trial, `wires` forwards streams and cuts them, `stage` starts, signals and ends processes and performs the
//! steps, `load` sends invocations meanwhile, `record` holds the observations, and `judge` and `lease_judge` decide by the
//! record alone: they depend on no coordinator, member or script, only on the bounds and durations that the record states.
//!
//! Steps wait for an observed condition, never for a fixed time. Every process ends with the trial.

pub mod judge;
pub mod lease_judge;
mod load;
pub mod record;
pub mod script;
mod stage;
pub mod wires;

pub use script::Trial;
pub use stage::play;

/// Built-in trials: their names and scripts.
pub const TRIALS: &[(&str, &str)] = &[
    ("one-drain", include_str!("../trials/one-drain.star")),
    (
        "halted-in-hand",
        include_str!("../trials/halted-in-hand.star"),
    ),
    (
        "stewards-killed",
        include_str!("../trials/stewards-killed.star"),
    ),
    (
        "majority-lost",
        include_str!("../trials/majority-lost.star"),
    ),
    (
        "crossed-wires",
        include_str!("../trials/crossed-wires.star"),
    ),
    ("room-used-up", include_str!("../trials/room-used-up.star")),
    ("old-disk", include_str!("../trials/old-disk.star")),
    (
        "all-restarted",
        include_str!("../trials/all-restarted.star"),
    ),
    (
        "steward-stalled",
        include_str!("../trials/steward-stalled.star"),
    ),
    ("lost-disk", include_str!("../trials/lost-disk.star")),
    (
        "granted-and-killed",
        include_str!("../trials/granted-and-killed.star"),
    ),
    ("lease-killed", include_str!("../trials/lease-killed.star")),
    (
        "lease-stalled",
        include_str!("../trials/lease-stalled.star"),
    ),
    ("lease-cut", include_str!("../trials/lease-cut.star")),
    (
        "lease-held-effect",
        include_str!("../trials/lease-held-effect.star"),
    ),
    (
        "lease-old-resource",
        include_str!("../trials/lease-old-resource.star"),
    ),
    (
        "lease-full-disk",
        include_str!("../trials/lease-full-disk.star"),
    ),
    (
        "lease-drained",
        include_str!("../trials/lease-drained.star"),
    ),
    (
        "lease-all-restarted",
        include_str!("../trials/lease-all-restarted.star"),
    ),
];
