//! saltdrum: the decisions of an invoker front end. `decide` holds them all; `port` is how to talk to it.

pub mod decide;
pub mod port;

pub use decide::Controller;
