//! The configuration file, in JSON, which is read at start and at each SIGHUP. An error names the field, its value and
//! what was expected.

use crate::feed::{EndpointRecord, Event, parse_invoker_id};
use saltdrum::interface::{Deployment, InvokerStatus, Ticks};
use saltdrum_settings::{ParsedSettings, SettingError, SettingValues};
use serde_json::Value;
use std::net::SocketAddrV4;

/// Bytes of the megabyte in which the platform states memory.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Limits of the machine that a controller runs on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineLimits {
    /// Memory for the controller, in MB.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl MachineLimits {
    /// Memory for the controller, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.memory_mb * BYTES_PER_MB) as u64
    }
}

/// A validated configuration file.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the controller.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddrV4,
    pub seed: u64,
    pub limits: MachineLimits,
    /// Address of the endpoint feed.
    pub feed: SocketAddrV4,
    /// The number of the last known feed event, and the known events with their numbers.
    pub known_events: (u64, Vec<(u64, Event)>),
    pub deployment: Deployment,
    /// Names of the trigger types, in the order of `deployment.trigger_types`.
    pub trigger_names: Vec<String>,
    /// Names of the deployment's tenants, in the order of `deployment.tenants`.
    pub tenant_names: Vec<String>,
    pub connect_timeout: Ticks,
    /// Idle time after which an invoker closes a connection.
    pub connection_idle_timeout: Ticks,
    /// Time limit of a load order.
    pub load_timeout: Ticks,
}

/// A field of the configuration file is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {got}: {expected}")]
pub struct ConfigError {
    /// Path of the field in the file.
    pub field: String,
    /// Its value, truncated to 60 characters.
    pub got: String,
    /// What was expected.
    pub expected: String,
}

fn config_error(
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

fn value_at<'a>(root: &'a Value, path: &str) -> Result<&'a Value, ConfigError> {
    let mut value = root;
    for name in path.split('.') {
        value = value
            .get(name)
            .ok_or_else(|| config_error(path, "missing", "the field is needed"))?;
    }
    Ok(value)
}

fn text_at<'a>(root: &'a Value, path: &str) -> Result<&'a str, ConfigError> {
    let value = value_at(root, path)?;
    value
        .as_str()
        .ok_or_else(|| config_error(path, value, "text is expected"))
}

fn number_at(root: &Value, path: &str, min: f64, max: f64) -> Result<f64, ConfigError> {
    let value = value_at(root, path)?;
    let number = value.as_f64().filter(|n| (min..=max).contains(n));
    number.ok_or_else(|| {
        config_error(
            path,
            value,
            format!("a number from {min} to {max} is expected"),
        )
    })
}

fn integer_at(root: &Value, path: &str) -> Result<u64, ConfigError> {
    let value = value_at(root, path)?;
    value
        .as_u64()
        .ok_or_else(|| config_error(path, value, "a whole number is expected"))
}

fn address_at(root: &Value, path: &str) -> Result<SocketAddrV4, ConfigError> {
    let value = text_at(root, path)?;
    value
        .parse()
        .map_err(|_| config_error(path, value, "ADDRESS:PORT is expected"))
}

/// Flattens nested values into pairs of path and text. Lists of scalars are joined by commas; lists of objects are
/// numbered, with their length under `count`.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child_path = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(members) => members
            .iter()
            .for_each(|(name, member)| flatten(&child_path(name), member, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child_path("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(index, item)| flatten(&child_path(&index.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.push((path.to_owned(), texts.join(",")));
        }
        Value::Null => {}
        scalar => pairs.push((path.to_owned(), scalar_text(scalar))),
    }
}

fn scalar_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), ToOwned::to_owned)
}

/// Parses a configuration file.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let root: Value =
        serde_json::from_str(text).map_err(|e| config_error("file", e, "JSON is expected"))?;
    let seed = text_at(&root, "seed")?;
    let mut pairs = Vec::new();
    flatten("", value_at(&root, "settings")?, &mut pairs);
    let settings = SettingValues::from_pairs(
        pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str())),
    );
    let settings_error =
        |e: SettingError| config_error("settings", e, "the settings of an instance are expected");
    let ParsedSettings {
        deployment,
        report_fields: _,
    } = saltdrum_settings::parse(&settings).map_err(settings_error)?;
    let trigger_names = (0..deployment.trigger_types.len())
        .map(|index| {
            settings
                .text(&format!("classes.{index}.name"))
                .map(ToOwned::to_owned)
        })
        .collect::<Result<_, _>>()
        .map_err(settings_error)?;
    let tenant_names = (0..deployment.tenants.len())
        .map(|index| {
            settings
                .text(&format!("realms.{index}.name"))
                .map(ToOwned::to_owned)
        })
        .collect::<Result<_, _>>()
        .map_err(settings_error)?;
    let time = |path: &str| settings.time(path).map_err(settings_error);
    Ok(Config {
        name: text_at(&root, "name")?.to_owned(),
        listen: address_at(&root, "listen")?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| config_error("seed", seed, "hex digits are expected"))?,
        limits: MachineLimits {
            memory_mb: number_at(&root, "limits.memory_mb", 1.0, 1e9)?,
            descriptors: number_at(&root, "limits.sockets", 32.0, 1e7)? as usize,
        },
        feed: address_at(&root, "feed")?,
        known_events: (
            integer_at(&root, "known.n")?,
            known_events(&root, &settings.list("zones"), &settings.list("kinds"))?,
        ),
        connect_timeout: time("bounds.connect_timeout_ms")?,
        connection_idle_timeout: time("bounds.conn_idle_ms")?,
        load_timeout: time("family_info.load_wait_ms")?,
        deployment,
        trigger_names,
        tenant_names,
    })
}

/// Parses only the address of the endpoint feed, as needed for a reload on SIGHUP.
pub fn parse_feed_address(text: &str) -> Result<SocketAddrV4, ConfigError> {
    let root: Value =
        serde_json::from_str(text).map_err(|e| config_error("file", e, "JSON is expected"))?;
    address_at(&root, "feed")
}

fn known_events(
    root: &Value,
    zones: &[&str],
    kinds: &[&str],
) -> Result<Vec<(u64, Event)>, ConfigError> {
    let events = value_at(root, "known.events")?;
    let events = events
        .as_array()
        .ok_or_else(|| config_error("known.events", events, "a list is expected"))?;
    events
        .iter()
        .map(|event| {
            let members = value_at(event, "members.members")?;
            let members = members
                .as_array()
                .ok_or_else(|| config_error("members", members, "a list is expected"))?;
            let records = members
                .iter()
                .map(|member| endpoint_record(member, zones, kinds))
                .collect::<Result<Vec<_>, _>>()?;
            let is_complete = value_at(event, "members.complete")?
                .as_bool()
                .unwrap_or(false);
            Ok((
                integer_at(event, "n")?,
                if is_complete {
                    Event::Snapshot(records)
                } else {
                    Event::Changes(records)
                },
            ))
        })
        .collect()
}

fn endpoint_record(
    member: &Value,
    zones: &[&str],
    kinds: &[&str],
) -> Result<EndpointRecord, ConfigError> {
    let id = text_at(member, "id")?;
    let index_at = |path: &str, names: &[&str]| {
        let name = text_at(member, path)?;
        let index = names.iter().position(|n| *n == name);
        index.ok_or_else(|| {
            config_error(
                path,
                name,
                format!("one of {} is expected", names.join(", ")),
            )
        })
    };
    let status = match text_at(member, "phase")? {
        "up" => InvokerStatus::Ready,
        "draining" => InvokerStatus::Draining,
        "removed" => InvokerStatus::Gone,
        other => {
            return Err(config_error(
                "phase",
                other,
                "up, draining or removed is expected",
            ));
        }
    };
    Ok(EndpointRecord {
        invoker: parse_invoker_id(id).map_err(|e| config_error("id", id, e))?,
        address: address_at(member, "host_port")?,
        status,
        zone: index_at("locality", zones)? as u8,
        machine_kind: index_at("flavor", kinds)? as u16,
        cell: number_at(member, "cell", 0.0, 65_535.0)? as u16,
        capacity: number_at(member, "size", 0.0, 1e9)?,
        started_ms: Some(integer_at(member, "up_since_ms")?).filter(|ms| *ms > 0),
    })
}
