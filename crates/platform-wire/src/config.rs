//! The configuration file: JSON, read at start and at each SIGHUP. A fault names the field, its value and what was
//! expected.

use crate::feed::{EndpointRecord, Event, parse_invoker_id};
use saltdrum::interface::{Deployment, InvokerStatus, Ticks};
use saltdrum_settings::{ParsedSettings, SettingError, SettingValues};
use serde_json::Value;
use std::net::SocketAddrV4;

/// What a machine allows its controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineLimits {
    /// Memory in MB.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// A configuration file that was read and checked.
#[derive(Debug, Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddrV4,
    pub seed: u64,
    pub limits: MachineLimits,
    pub feed: SocketAddrV4,
    /// Number of the last event that is known, and the events.
    pub known_events: (u64, Vec<(u64, Event)>),
    pub deployment: Deployment,
    pub trigger_names: Vec<String>,
    /// As invocations name them, in the order of the deployment's tenants.
    pub tenant_names: Vec<String>,
    pub connect_timeout: Ticks,
    pub connection_idle_timeout: Ticks,
    pub load_timeout: Ticks,
}

/// A field of the configuration file that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {got}: {expected}")]
pub struct ConfigError {
    /// Path of the field in the file.
    pub field: String,
    /// What it holds, cut to 60 characters.
    pub got: String,
    /// What was expected.
    pub expected: String,
}

fn fault(
    field: &str,
    got: impl std::fmt::Display,
    expected: impl std::fmt::Display,
) -> ConfigError {
    let got: String = got.to_string().chars().take(60).collect();
    ConfigError {
        field: field.into(),
        got,
        expected: expected.to_string(),
    }
}

fn at<'a>(v: &'a Value, path: &str) -> Result<&'a Value, ConfigError> {
    let mut here = v;
    for step in path.split('.') {
        here = here
            .get(step)
            .ok_or_else(|| fault(path, "missing", "the field is needed"))?;
    }
    Ok(here)
}

fn text<'a>(v: &'a Value, path: &str) -> Result<&'a str, ConfigError> {
    let value = at(v, path)?;
    value
        .as_str()
        .ok_or_else(|| fault(path, value, "text is expected"))
}

fn number(v: &Value, path: &str, least: f64, most: f64) -> Result<f64, ConfigError> {
    let value = at(v, path)?;
    let n = value.as_f64().filter(|n| (least..=most).contains(n));
    n.ok_or_else(|| {
        fault(
            path,
            value,
            format!("a number from {least} to {most} is expected"),
        )
    })
}

fn whole(v: &Value, path: &str) -> Result<u64, ConfigError> {
    let value = at(v, path)?;
    value
        .as_u64()
        .ok_or_else(|| fault(path, value, "a whole number is expected"))
}

fn address(v: &Value, path: &str) -> Result<SocketAddrV4, ConfigError> {
    let value = text(v, path)?;
    value
        .parse()
        .map_err(|_| fault(path, value, "ADDRESS:PORT is expected"))
}

/// Nested values as paths; lists of plain values are joined by commas, lists of objects are numbered and counted.
fn flatten(path: &str, v: &Value, out: &mut Vec<(String, String)>) {
    let under = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match v {
        Value::Object(inside) => inside
            .iter()
            .for_each(|(name, v)| flatten(&under(name), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push((under("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| flatten(&under(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            let all: Vec<String> = items.iter().map(plain).collect();
            out.push((path.to_owned(), all.join(",")));
        }
        Value::Null => {}
        other => out.push((path.to_owned(), plain(other))),
    }
}

fn plain(v: &Value) -> String {
    v.as_str().map_or_else(|| v.to_string(), ToOwned::to_owned)
}

/// Reads the whole file.
pub fn parse(text_of_file: &str) -> Result<Config, ConfigError> {
    let v: Value =
        serde_json::from_str(text_of_file).map_err(|e| fault("file", e, "JSON is expected"))?;
    let seed = text(&v, "seed")?;
    let mut pairs = Vec::new();
    flatten("", at(&v, "settings")?, &mut pairs);
    let pairs = SettingValues::from_pairs(
        pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str())),
    );
    let of_settings =
        |e: SettingError| fault("settings", e, "the settings of an instance are expected");
    let ParsedSettings {
        deployment,
        report_fields: _,
    } = saltdrum_settings::parse(&pairs).map_err(of_settings)?;
    let trigger_names = (0..deployment.trigger_types.len())
        .map(|i| {
            pairs
                .text(&format!("classes.{i}.name"))
                .map(ToOwned::to_owned)
        })
        .collect::<Result<_, _>>()
        .map_err(of_settings)?;
    let tenant_names = (0..deployment.tenants.len())
        .map(|i| {
            pairs
                .text(&format!("realms.{i}.name"))
                .map(ToOwned::to_owned)
        })
        .collect::<Result<_, _>>()
        .map_err(of_settings)?;
    let time = |path: &str| pairs.time(path).map_err(of_settings);
    Ok(Config {
        name: text(&v, "name")?.to_owned(),
        listen: address(&v, "listen")?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| fault("seed", seed, "hex digits are expected"))?,
        limits: MachineLimits {
            memory_mb: number(&v, "limits.memory_mb", 1.0, 1e9)?,
            descriptors: number(&v, "limits.sockets", 32.0, 1e7)? as usize,
        },
        feed: address(&v, "feed")?,
        known_events: (
            whole(&v, "known.n")?,
            known(&v, &pairs.list("zones"), &pairs.list("kinds"))?,
        ),
        connect_timeout: time("bounds.connect_timeout_ms")?,
        connection_idle_timeout: time("bounds.conn_idle_ms")?,
        load_timeout: time("family_info.load_wait_ms")?,
        deployment,
        trigger_names,
        tenant_names,
    })
}

/// Only where the feed is now, as a SIGHUP asks for it.
pub fn parse_feed_address(text_of_file: &str) -> Result<SocketAddrV4, ConfigError> {
    let v: Value =
        serde_json::from_str(text_of_file).map_err(|e| fault("file", e, "JSON is expected"))?;
    address(&v, "feed")
}

fn known(v: &Value, zones: &[&str], kinds: &[&str]) -> Result<Vec<(u64, Event)>, ConfigError> {
    let events = at(v, "known.events")?;
    let events = events
        .as_array()
        .ok_or_else(|| fault("known.events", events, "a list is expected"))?;
    events
        .iter()
        .map(|e| {
            let lines = at(e, "members.members")?;
            let lines = lines
                .as_array()
                .ok_or_else(|| fault("members", lines, "a list is expected"))?;
            let lines = lines
                .iter()
                .map(|l| line(l, zones, kinds))
                .collect::<Result<Vec<_>, _>>()?;
            let complete = at(e, "members.complete")?.as_bool().unwrap_or(false);
            Ok((
                whole(e, "n")?,
                if complete {
                    Event::Snapshot(lines)
                } else {
                    Event::Changes(lines)
                },
            ))
        })
        .collect()
}

fn line(l: &Value, zones: &[&str], kinds: &[&str]) -> Result<EndpointRecord, ConfigError> {
    let id = text(l, "id")?;
    let place = |path: &str, of: &[&str]| {
        let name = text(l, path)?;
        let i = of.iter().position(|n| *n == name);
        i.ok_or_else(|| fault(path, name, format!("one of {} is expected", of.join(", "))))
    };
    let status = match text(l, "phase")? {
        "up" => InvokerStatus::Ready,
        "draining" => InvokerStatus::Draining,
        "removed" => InvokerStatus::Gone,
        other => return Err(fault("phase", other, "up, draining or removed is expected")),
    };
    Ok(EndpointRecord {
        invoker: parse_invoker_id(id).map_err(|e| fault("id", id, e))?,
        address: address(l, "host_port")?,
        status,
        zone: place("locality", zones)? as u8,
        machine_kind: place("flavor", kinds)? as u16,
        cell: number(l, "cell", 0.0, 65_535.0)? as u16,
        capacity: number(l, "size", 0.0, 1e9)?,
        started_ms: Some(whole(l, "up_since_ms")?).filter(|ms| *ms > 0),
    })
}
