//! Runs one controller process over loopback: invokers, a feed and clients are threads of the test, and the rules are
//! checked against the record of what they observed.

// Each test binary uses only some of these.
#![allow(dead_code)]

pub mod client;
pub mod feed;
pub mod invoker;
pub mod record;
pub mod send_trace;

use crate::node_peers::{configuration, write};
use client::CLASSES;
use feed::Feed;
use invoker::{Behavior, Invoker, Status};
use record::{ORDER_WINDOW, Record};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The peers of one controller, and the record of what they observed.
pub struct Peers {
    pub record: Arc<Mutex<Record>>,
    pub invokers: Vec<Arc<Invoker>>,
    pub feed: Feed,
    statuses: Mutex<Vec<Status>>,
}

impl Peers {
    /// Starts the invokers, all ready, and the feed.
    pub fn start(
        invokers: usize,
        behavior: Behavior,
        feed_lifetime_ms: Option<std::ops::Range<u64>>,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let record = Arc::<Mutex<Record>>::default();
        let numbers = 0..invokers;
        Self {
            invokers: numbers
                .map(|n| Invoker::start(n, behavior, rng.u64(..), record.clone()))
                .collect(),
            feed: Feed::start(feed_lifetime_ms, rng.u64(..), record.clone()),
            statuses: Mutex::new(vec![Status::Ready; invokers]),
            record,
        }
    }

    /// Changes the status of an invoker, and reports it in the feed.
    pub fn change(&self, invoker: usize, status: Status) {
        self.statuses.lock().unwrap()[invoker] = status;
        self.invokers[invoker].set_status(status);
        self.report(invoker, status);
    }

    /// Reports a status in the feed that the invoker itself does not have.
    pub fn report(&self, invoker: usize, status: Status) {
        let address = &self.invokers[invoker].address;
        self.feed.report(invoker, address, status);
    }

    /// Writes a controller's configuration, with the present status of the invokers.
    pub fn write_configuration(
        &self,
        folder: &Path,
        listen: &str,
        client_timeout_ms: f64,
    ) -> PathBuf {
        let settings = self.settings(listen, client_timeout_ms);
        write(folder, &settings.to_string())
    }

    /// The configuration; `client_timeout_ms` is the client timeout of all classes.
    pub fn settings(&self, listen: &str, client_timeout_ms: f64) -> Value {
        let mut settings = configuration(listen, &self.feed.address, &self.invokers[0].address);
        settings["limits"]["sockets"] = json!(512);
        let entry = settings["known"]["events"][0]["members"]["members"][0].clone();
        let statuses = self.statuses.lock().unwrap();
        let endpoints = self.invokers.iter().zip(statuses.iter()).enumerate();
        let members: Vec<Value> = endpoints
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
        let last_number = self.feed.last_number();
        settings["known"]["n"] = json!(last_number);
        settings["known"]["events"][0]["n"] = json!(last_number);
        settings["known"]["events"][0]["members"]["members"] = json!(members);
        let class = settings["settings"]["classes"][0].clone();
        settings["settings"]["classes"] = CLASSES
            .iter()
            .map(|(name, effect, _)| {
                let mut class = class.clone();
                (class["name"], class["effect"]) = (json!(name), json!(effect));
                class["aim_ms"] = json!(client_timeout_ms / 4.0);
                class["give_up_ms"] = json!(client_timeout_ms);
                class
            })
            .collect();
        settings["settings"]["family_info"]["load_window_ms"] =
            json!(ORDER_WINDOW.as_millis() as f64);
        settings
    }
}
