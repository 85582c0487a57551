//! Parses the settings of a deployment, from the first message of an instance on the simulator's wire or from the start
//! file of a real controller. Both use this mapping, so that the decision module gets the same deployment.
//!
//! Setting paths and keywords are the platform's. Only this package maps them to the terms of the decision module.

use saltdrum::interface::*;
use std::collections::BTreeMap;
use std::str::FromStr;

/// A setting that is missing or wrong.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingError {
    /// A line is not of the form `path=value`.
    #[error("settings line {number}: no '='")]
    NotAPair {
        /// Line number, from 1.
        number: usize,
    },
    /// A required setting is missing.
    #[error("setting {path}: missing")]
    Missing {
        /// Path of the setting.
        path: String,
    },
    /// The text cannot be parsed as the type of the setting.
    #[error("setting {path}: cannot read '{text}'")]
    Unreadable {
        /// Path of the setting.
        path: String,
        /// The text found.
        text: String,
    },
    /// The number is negative or not finite.
    #[error("setting {path}: cannot be {number}")]
    OutOfRange {
        /// Path of the setting.
        path: String,
        /// The number found; a finite number of at least 0 is expected.
        number: f64,
    },
    /// The keyword is not one of those that the setting allows.
    #[error("setting {path}: unknown word '{word}'")]
    UnknownWord {
        /// Path of the setting.
        path: String,
        /// The keyword found.
        word: String,
    },
    /// A list that requires at least one entry is empty.
    #[error("setting {path}: at least one is needed")]
    Empty {
        /// Path of the setting.
        path: &'static str,
    },
}

/// The parsed settings of a deployment.
pub struct ParsedSettings {
    /// The deployment, for the decision module.
    pub deployment: Deployment,
    /// Names of the values in a load report, in order.
    pub report_fields: Vec<String>,
}

/// Milliseconds as [`Ticks`], rounded down, so that a deadline is never extended.
pub fn ticks_from_ms(ms: f64) -> Ticks {
    // The unit on the wire is the microsecond; rounding in a sum of microseconds may leave it slightly below a whole
    // tick.
    (ms * 10.0 + 1e-4).floor() as u64
}

/// Settings by path, such as `classes.0.aim_ms`.
pub struct SettingValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    /// Parses lines of the form `path=value`.
    pub fn from_lines(text: &'a str) -> Result<Self, SettingError> {
        let mut pairs = BTreeMap::new();
        for (index, line) in text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
        {
            let (path, value) = line
                .split_once('=')
                .ok_or_else(|| SettingError::NotAPair { number: index + 1 })?;
            pairs.insert(path.trim(), value.trim());
        }
        Ok(Self(pairs))
    }

    /// Collects pairs of path and value.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self(pairs.into_iter().collect())
    }

    /// Returns the text of a setting.
    pub fn text(&self, path: &str) -> Result<&str, SettingError> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| SettingError::Missing {
                path: path.to_owned(),
            })
    }

    /// Parses the value of a setting.
    pub fn value<T: FromStr>(&self, path: &str) -> Result<T, SettingError> {
        let text = self.text(path)?;
        text.parse().map_err(|_| SettingError::Unreadable {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    /// Parses a finite number of at least 0.
    pub fn number(&self, path: &str) -> Result<f64, SettingError> {
        let number: f64 = self.value(path)?;
        if number.is_finite() && number >= 0.0 {
            Ok(number)
        } else {
            Err(SettingError::OutOfRange {
                path: path.to_owned(),
                number,
            })
        }
    }

    /// Parses a duration that is set in milliseconds.
    pub fn time(&self, path: &str) -> Result<Ticks, SettingError> {
        self.number(path).map(ticks_from_ms)
    }

    /// Returns the comma-separated entries of a list, or an empty list if the setting is missing.
    pub fn list(&self, path: &str) -> Vec<&str> {
        let text = self.0.get(path).copied().unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .collect()
    }

    fn keyword<T: Copy>(&self, path: &str, keywords: &[(&str, T)]) -> Result<T, SettingError> {
        let text = self.text(path)?;
        let known = keywords.iter().find(|(keyword, _)| *keyword == text);
        known
            .map(|(_, value)| *value)
            .ok_or_else(|| SettingError::UnknownWord {
                path: path.to_owned(),
                word: text.to_owned(),
            })
    }

    fn trigger_type(&self, index: usize) -> Result<TriggerType, SettingError> {
        let path_of = |key: &str| format!("classes.{index}.{key}");
        let effects = [
            ("safe", Effect::Idempotent),
            ("keyed", Effect::IdempotencyKey),
            ("unsafe", Effect::NonIdempotent),
        ];
        let scopes = [
            ("all", KeyScope::All),
            ("zone", KeyScope::Zone),
            ("cell", KeyScope::Cell),
        ];
        Ok(TriggerType {
            latency_objective: self.time(&path_of("aim_ms"))?,
            client_timeout: self.time(&path_of("give_up_ms"))?,
            effect: self.keyword(&path_of("effect"), &effects)?,
            key_scope: self.keyword(&path_of("key_scope"), &scopes)?,
            idempotency_window: self.time(&path_of("repeat_window_ms"))?,
            billed_value: self.number(&path_of("worth"))?,
            late_value_share: self.number(&path_of("late_share"))?,
        })
    }

    /// Parses the trigger types one by one. Each must be present, so a wrong count fails at the first missing entry.
    fn trigger_types(&self, count: usize) -> Result<Vec<TriggerType>, SettingError> {
        let types = (0..count).map(|index| self.trigger_type(index));
        let types = types.collect::<Result<Vec<_>, _>>()?;
        if types.is_empty() {
            let path = "classes.count";
            return Err(SettingError::Empty { path });
        }
        Ok(types)
    }

    fn tenant_count(&self) -> Result<usize, SettingError> {
        let path = "realms.count";
        if self.0.contains_key(path) {
            self.value(path)
        } else {
            Ok(0)
        }
    }

    fn tenants(&self, count: usize) -> Result<Vec<Tenant>, SettingError> {
        let quotas = (0..count).map(|index| self.number(&format!("realms.{index}.quota_rps")));
        let tenants = quotas.map(|quota| quota.map(|quota_per_second| Tenant { quota_per_second }));
        tenants.collect()
    }

    fn machine_memory_mb(&self) -> Result<Vec<f64>, SettingError> {
        let path = "family_info.kind_memory_mb";
        let parse = |text: &str| {
            text.parse().map_err(|_| SettingError::Unreadable {
                path: path.into(),
                text: text.to_owned(),
            })
        };
        self.list(path).into_iter().map(parse).collect()
    }

    fn max_retry_after(&self) -> Result<Option<Ticks>, SettingError> {
        if self.value("bounds.retry_after")? {
            self.time("bounds.max_retry_after_ms").map(Some)
        } else {
            Ok(None)
        }
    }
}

/// Parses all settings of a deployment.
pub fn parse(settings: &SettingValues) -> Result<ParsedSettings, SettingError> {
    let type_count = settings.value("classes.count")?;
    let tenant_count = settings.tenant_count()?;
    let trigger_types = settings.trigger_types(type_count)?;
    let miss_keywords = [("miss", true), ("load", false)];
    let deployment = Deployment {
        controllers: settings.value::<u32>("balancers")?.max(1),
        zone: settings.value("zone")?,
        memory_bytes: None,
        trigger_types,
        tenants: settings.tenants(tenant_count)?,
        over_quota_value_share: settings.number("over_share_worth")?,
        machine_memory_mb: settings.machine_memory_mb()?,
        attempt_limit: settings.value("bounds.try_limit")?,
        may_attempt_in_parallel: settings.value("bounds.parallel_tries")?,
        may_cancel: settings.value("bounds.cancel")?,
        may_probe: settings.value("bounds.probing")?,
        may_load: settings.value("family_info.may_order")?,
        reports_misses: settings.keyword("family_info.not_loaded", &miss_keywords)?,
        keep_alive: settings.time("family_info.linger_idle_ms")?,
        max_retry_after: settings.max_retry_after()?,
        max_event_interval: settings.time("tick_ms")?,
        load_window: settings.time("family_info.load_window_ms")?,
        free_loads: settings.number("family_info.loads_anyway")?,
        loads_per_invocation: settings.number("family_info.load_share")?,
        list_lifetime: None,
        drain_grace: settings.time("rules.drain_grace_ms")?,
        initial_capacity_share: settings.number("rules.cold_from")?,
        warm_up_time: settings.time("rules.cold_ms")?,
        overload_factor: settings.number("rules.overload_factor")?,
        overload_window: settings.time("rules.tip_after_ms")?,
    };
    let fields = settings.list("reporting.fields");
    Ok(ParsedSettings {
        deployment,
        report_fields: fields.into_iter().map(String::from).collect(),
    })
}
