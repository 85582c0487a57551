//! Scripted days: a deployment, its load and its faults (troubles), run against the real controller and judged by the records.
//!
//! `script` parses a day, `traffic` generates its load, `clients` send it, `stage` starts all components and injects the
//! troubles, `check` judges the five rules and `summary` aggregates the outcomes. `check` and `summary` read records
//! only and do not depend on the policy, the controller or the script.

pub mod check;
mod clients;
pub mod passages;
pub mod script;
mod stage;
pub mod summary;
pub mod traffic;

pub use check::{Finding, State, Verdict};
pub use script::{Day, Layers};
pub use stage::{
    Overrides, POLICIES, Serve, play_on_sockets, play_virtually, play_with_overrides, serve,
};

/// Built-in days: their names and scripts.
pub const DAYS: &[(&str, &str)] = &[
    ("bad-day", include_str!("../days/bad-day.star")),
    (
        "most-of-a-fleet-goes",
        include_str!("../days/most-of-a-fleet-goes.star"),
    ),
    (
        "one-tenant-floods",
        include_str!("../days/one-tenant-floods.star"),
    ),
    (
        "misses-burn-tries",
        include_str!("../days/misses-burn-tries.star"),
    ),
    ("layers-day", include_str!("../days/layers-day.star")),
    ("bad-network", include_str!("../days/bad-network.star")),
    ("models-day", include_str!("../days/models-day.star")),
    ("answers-lost", include_str!("../days/answers-lost.star")),
];
