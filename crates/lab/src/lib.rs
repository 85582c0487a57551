//! Experiments that compare variants over the same simulated days, and a search for days that break a rule.
//!
//! `script`, `plan`, `compare`, `draw` and `shrink` do no I/O: they read and change a day's script, list the remaining
//! runs of an experiment, evaluate differences, draw random troubles and reduce a failing day. `experiment` loads the
//! description of an experiment, `facts` summarises a run, `results` stores runs as Parquet files, `run` executes them
//! on all cores, `report` presents them, `hunt` searches for failing days, and `meter` measures the CPU time of
//! controllers.

pub mod compare;
pub mod draw;
pub mod experiment;
pub mod facts;
pub mod hunt;
mod meter;
pub mod plan;
mod plots;
pub mod report;
pub mod results;
pub mod run;
pub mod script;
pub mod shrink;

pub use experiment::Experiment;
pub use script::Script;
