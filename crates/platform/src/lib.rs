//! The controller on the platform's own sockets.
//!
//! `saltdrum_controller::invocations` keeps invocations, timers and the one answer; here are its two seams on this platform:
//! `clients` is whom answers are owed (`connection`: one of them, `taking`: one invocation), `reach` how invokers are
//! reached (`attempt`: one request), over the `line`s of its pools. `feed` follows the
//! list of invokers, `life` starts, reloads and ends, `budget` says what this machine has room for.
//!
//! Nothing here chooses an invoker, repeats, holds back or turns away, but for what can't be held or isn't valid.

mod attempt;
mod budget;
mod clients;
mod connection;
mod feed;
mod life;
mod line;
mod reach;
mod starts;
mod taking;

pub use budget::Budget;
pub use life::{ControllerConfig, Failure, Life, serve};
pub use starts::WallClock;

#[cfg(test)]
mod closes;
#[cfg(test)]
mod crossings;
#[cfg(test)]
mod in_time;
#[cfg(test)]
mod no_excuse;
#[cfg(test)]
mod stalls;
#[cfg(test)]
mod tests;
