//! A deployment as its Starlark script states it: read, checked, typed.
//!
//! `script` runs a script and gives its statements with their places; `terms` makes a [`DeploymentSpec`] of those that describe
//! the deployment and hands back the rest, for a scripted day. Every fault names file, line and what was expected.

pub mod script;
pub mod terms;
pub mod units;

pub use script::{ScriptError, Statement};
pub use terms::{DeploymentSpec, Function, MachineKind};
