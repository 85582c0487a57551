//! The settings of a deployment, value by value: from the first message of an instance on the simulator's wire, and from the
//! start file of a real controller. One mapping for both, so that the decision module meets the same deployment.
//!
//! Names and words of settings are the platform's; they are mapped to the module's terms here and nowhere else.

use saltdrum::interface::*;
use std::collections::BTreeMap;
use std::str::FromStr;

/// A setting that is missing or wrong.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingError {
    /// A line that is no `path=value`.
    #[error("settings line {number}: no '='")]
    NotAPair {
        /// Number of the line, from 1.
        number: usize,
    },
    /// A setting that is not there.
    #[error("setting {path}: missing")]
    Missing {
        /// The setting.
        path: String,
    },
    /// A text that cannot be read as what the setting holds.
    #[error("setting {path}: cannot read '{text}'")]
    Unreadable {
        /// The setting.
        path: String,
        /// What was found.
        text: String,
    },
    /// A number that the setting cannot have.
    #[error("setting {path}: cannot be {number}")]
    OutOfRange {
        /// The setting.
        path: String,
        /// What was found; a finite number from 0 on was expected.
        number: f64,
    },
    /// A word that the setting does not know.
    #[error("setting {path}: unknown word '{word}'")]
    UnknownWord {
        /// The setting.
        path: String,
        /// What was found.
        word: String,
    },
    /// A list that needs an entry.
    #[error("setting {path}: at least one is needed")]
    Empty {
        /// The setting.
        path: &'static str,
    },
}

/// What the settings say.
pub struct ParsedSettings {
    /// The deployment, for the decision module.
    pub deployment: Deployment,
    /// Names of the values in a load report, in their order.
    pub report_fields: Vec<String>,
}

/// Milliseconds as [`Ticks`], rounded down, so that a deadline is never extended.
pub fn ticks_from_ms(ms: f64) -> Ticks {
    // The wire's own unit is the microsecond; a sum of such steps may fall a hair short of a tenth.
    (ms * 10.0 + 1e-4).floor() as u64
}

/// Settings by their path, as in `classes.0.aim_ms`.
pub struct SettingValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    /// Reads lines of `path=value`.
    pub fn from_lines(text: &'a str) -> Result<Self, SettingError> {
        let mut pairs = BTreeMap::new();
        for (n, line) in text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
        {
            let (path, value) = line
                .split_once('=')
                .ok_or_else(|| SettingError::NotAPair { number: n + 1 })?;
            pairs.insert(path.trim(), value.trim());
        }
        Ok(Self(pairs))
    }

    /// Takes pairs of path and value.
    pub fn from_pairs(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self(pairs.into_iter().collect())
    }

    /// The text of a setting.
    pub fn text(&self, path: &str) -> Result<&str, SettingError> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| SettingError::Missing {
                path: path.to_owned(),
            })
    }

    /// A setting, parsed.
    pub fn value<T: FromStr>(&self, path: &str) -> Result<T, SettingError> {
        let text = self.text(path)?;
        text.parse().map_err(|_| SettingError::Unreadable {
            path: path.to_owned(),
            text: text.to_owned(),
        })
    }

    /// A finite number from 0 on.
    pub fn number(&self, path: &str) -> Result<f64, SettingError> {
        let n: f64 = self.value(path)?;
        if n.is_finite() && n >= 0.0 {
            Ok(n)
        } else {
            Err(SettingError::OutOfRange {
                path: path.to_owned(),
                number: n,
            })
        }
    }

    /// A time that is set in milliseconds.
    pub fn time(&self, path: &str) -> Result<Ticks, SettingError> {
        self.number(path).map(ticks_from_ms)
    }

    /// A list, empty where the setting is missing; entries are separated by commas.
    pub fn list(&self, path: &str) -> Vec<&str> {
        let text = self.0.get(path).copied().unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .collect()
    }

    fn word<T: Copy>(&self, path: &str, words: &[(&str, T)]) -> Result<T, SettingError> {
        let text = self.text(path)?;
        let known = words.iter().find(|(word, _)| *word == text);
        known
            .map(|(_, is)| *is)
            .ok_or_else(|| SettingError::UnknownWord {
                path: path.to_owned(),
                word: text.to_owned(),
            })
    }

    fn trigger_type(&self, i: usize) -> Result<TriggerType, SettingError> {
        let at = |key: &str| format!("classes.{i}.{key}");
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
            latency_objective: self.time(&at("aim_ms"))?,
            client_timeout: self.time(&at("give_up_ms"))?,
            effect: self.word(&at("effect"), &effects)?,
            key_scope: self.word(&at("key_scope"), &scopes)?,
            idempotency_window: self.time(&at("repeat_window_ms"))?,
            billed_value: self.number(&at("worth"))?,
            late_value_share: self.number(&at("late_share"))?,
        })
    }

    /// Counts are walked entry by entry, each of which must be there, so a false one ends at the first gap.
    fn trigger_types(&self, count: usize) -> Result<Vec<TriggerType>, SettingError> {
        let types = (0..count).map(|i| self.trigger_type(i));
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
        let quotas = (0..count).map(|i| self.number(&format!("realms.{i}.quota_rps")));
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

/// Reads all settings of a deployment.
pub fn parse(settings: &SettingValues) -> Result<ParsedSettings, SettingError> {
    let type_count = settings.value("classes.count")?;
    let tenant_count = settings.tenant_count()?;
    let trigger_types = settings.trigger_types(type_count)?;
    let load_words = [("miss", true), ("load", false)];
    let deployment = Deployment {
        controllers: settings.value::<u32>("balancers")?.max(1),
        zone: settings.value("zone")?,
        trigger_types,
        tenants: settings.tenants(tenant_count)?,
        over_quota_value_share: settings.number("over_share_worth")?,
        machine_memory_mb: settings.machine_memory_mb()?,
        attempt_limit: settings.value("bounds.try_limit")?,
        may_attempt_in_parallel: settings.value("bounds.parallel_tries")?,
        may_cancel: settings.value("bounds.cancel")?,
        may_probe: settings.value("bounds.probing")?,
        may_load: settings.value("family_info.may_order")?,
        reports_misses: settings.word("family_info.not_loaded", &load_words)?,
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
