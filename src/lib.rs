//! saltdrum: the dispatch decisions of a function platform's invoker front end.
//!
//! [`DispatchPolicy`] decides which invoker runs an invocation, which invokers keep a function loaded, when an attempt
//! is retried and when an invocation is rejected. [`interface`] defines the events it handles and the actions it
//! requests. The crate has no I/O, no clock and no threads: the same events produce the same actions.
//!
//! Start reading at [`policy`]; `docs/design.md` gives the reasons and the sources.

pub mod interface;
pub mod policy;

pub use policy::DispatchPolicy;
