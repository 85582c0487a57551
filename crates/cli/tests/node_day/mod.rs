//! Days of one controller as a process over loopback: invokers, a feed and clients as threads of the test, and a record of
//! what they saw, by which the rules are judged.

// Each test binary uses its own part.
#![allow(dead_code)]

pub mod client;
pub mod feed;
pub mod invoker;
pub mod record;
pub mod send_trace;

use crate::node_peers::{configuration, write};
use client::CLASSES;
use feed::Feed;
use invoker::{Conduct, Invoker, Status};
use record::{ORDER_WINDOW, Record};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The peers of one controller, and what they saw.
pub struct Peers {
    pub seen: Arc<Mutex<Record>>,
    pub invokers: Vec<Arc<Invoker>>,
    pub feed: Feed,
    statuses: Mutex<Vec<Status>>,
}

impl Peers {
    /// So many invokers of this conduct, all ready, and the feed.
    pub fn start(
        invokers: usize,
        conduct: Conduct,
        feed_lasts_ms: Option<std::ops::Range<u64>>,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let seen = Arc::<Mutex<Record>>::default();
        let numbers = 0..invokers;
        Self {
            invokers: numbers
                .map(|n| Invoker::start(n, conduct, rng.u64(..), seen.clone()))
                .collect(),
            feed: Feed::start(feed_lasts_ms, rng.u64(..), seen.clone()),
            statuses: Mutex::new(vec![Status::Ready; invokers]),
            seen,
        }
    }

    /// An invoker changes, and the feed tells it where it is reached.
    pub fn change(&self, invoker: usize, status: Status) {
        self.statuses.lock().unwrap()[invoker] = status;
        self.invokers[invoker].become_status(status);
        self.tell(invoker, status);
    }

    /// The feed tells a state that the invoker itself does not show.
    pub fn tell(&self, invoker: usize, status: Status) {
        let address = &self.invokers[invoker].address;
        self.feed.tell(invoker, address, status);
    }

    /// Writes a controller's configuration, with the invokers as they are now.
    pub fn write_configuration(&self, folder: &Path, listen: &str, longest_ms: f64) -> PathBuf {
        let settings = self.settings(listen, longest_ms);
        write(folder, &settings.to_string())
    }

    /// The configuration; `longest_ms` is the client timeout of all classes.
    pub fn settings(&self, listen: &str, longest_ms: f64) -> Value {
        let mut settings = configuration(listen, &self.feed.address, &self.invokers[0].address);
        settings["limits"]["sockets"] = json!(512);
        let entry = settings["known"]["events"][0]["members"]["members"][0].clone();
        let statuses = self.statuses.lock().unwrap();
        let listed = self.invokers.iter().zip(statuses.iter()).enumerate();
        let members: Vec<Value> = listed
            .map(|(n, (invoker, status))| {
                let mut entry = entry.clone();
                entry["id"] = json!(format!("s-{:08x}", n + 1));
                entry["host_port"] = json!(invoker.address);
                entry["phase"] = json!(match status {
                    Status::Ready => "up",
                    Status::Draining => "draining",
                    Status::Gone => "removed",
                });
                entry
            })
            .collect();
        let last = self.feed.last();
        settings["known"]["n"] = json!(last);
        settings["known"]["events"][0]["n"] = json!(last);
        settings["known"]["events"][0]["members"]["members"] = json!(members);
        let class = settings["settings"]["classes"][0].clone();
        settings["settings"]["classes"] = CLASSES
            .iter()
            .map(|(name, effect, _)| {
                let mut class = class.clone();
                (class["name"], class["effect"]) = (json!(name), json!(effect));
                class["aim_ms"] = json!(longest_ms / 4.0);
                class["give_up_ms"] = json!(longest_ms);
                class
            })
            .collect();
        settings["settings"]["family_info"]["load_window_ms"] =
            json!(ORDER_WINDOW.as_millis() as f64);
        settings
    }
}
