//! Does a change help, how sure is that, and what breaks first.
//!
//! `script`, `plan`, `compare`, `draw` and `shrink` decide and do no I/O: what a day's script says and how it is changed,
//! which runs are still to do, what differences mean, which troubles a search tries, how a failing day is cut down.
//! `experiment` reads what is to be compared, `facts` sums a run up, `results` keeps runs as Parquet files, `run` plays
//! them on all cores, `report` shows them, `hunt` searches, `meter` says what the controllers cost.

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
