//! Parses and validates the Starlark script that describes a deployment.
//!
//! `script` evaluates a script into statements with their source locations; `terms` builds a [`DeploymentSpec`] from those that
//! describe the deployment and returns the others, for example those of a scripted day. Every error names file, line and what
//! was expected.

pub mod script;
pub mod terms;
pub mod units;

pub use script::{ScriptError, Statement};
pub use terms::{DeploymentSpec, Function, MachineKind};
