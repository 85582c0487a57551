//! The deployment as it is stated at start, value by value: by the first message of an instance on the simulator's wire,
//! by the configuration of a real controller. One mapping for both, so that the module meets the same deployment.

use saltdrum::interface::*;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Which value is missing or wrong, and what was expected.
pub type Fault = String;

pub struct Stated {
    pub deployment: Deployment,
    /// Names of the values in a load report, in order.
    pub report: Vec<String>,
}

/// Whole tenths of a millisecond, rounded down, so that a deadline never moves out.
pub fn tenths(ms: f64) -> Ticks {
    // The wire's own unit is the microsecond; a sum of such steps may fall a hair short of a tenth.
    (ms * 10.0 + 1e-4).floor() as u64
}

/// Stated values by their path, as in `classes.0.aim_ms`.
pub struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    /// Reads lines of `path=value`.
    pub fn of_lines(text: &'a str) -> Result<Self, Fault> {
        let mut pairs = BTreeMap::new();
        for (n, line) in text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
        {
            let (path, value) = line
                .split_once('=')
                .ok_or_else(|| format!("settings line {}: no '='", n + 1))?;
            pairs.insert(path.trim(), value.trim());
        }
        Ok(Self(pairs))
    }

    pub fn of(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        Self(pairs.into_iter().collect())
    }

    pub fn text(&self, path: &str) -> Result<&str, Fault> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| format!("setting {path}: missing"))
    }

    pub fn value<T: FromStr>(&self, path: &str) -> Result<T, Fault> {
        let text = self.text(path)?;
        text.parse()
            .map_err(|_| format!("setting {path}: cannot read '{text}'"))
    }

    pub fn number(&self, path: &str) -> Result<f64, Fault> {
        let n: f64 = self.value(path)?;
        if n.is_finite() && n >= 0.0 {
            Ok(n)
        } else {
            Err(format!("setting {path}: cannot be {n}"))
        }
    }

    pub fn time(&self, path: &str) -> Result<Ticks, Fault> {
        self.number(path).map(tenths)
    }

    pub fn list(&self, path: &str) -> Vec<&str> {
        let text = self.0.get(path).copied().unwrap_or_default();
        text.split(',')
            .map(str::trim)
            .filter(|s| !s.is_empty())
            .collect()
    }

    fn word<T: Copy>(&self, path: &str, words: &[(&str, T)]) -> Result<T, Fault> {
        let text = self.text(path)?;
        let known = words.iter().find(|(word, _)| *word == text);
        known
            .map(|(_, is)| *is)
            .ok_or_else(|| format!("setting {path}: unknown word '{text}'"))
    }

    fn trigger_type(&self, i: usize) -> Result<TriggerType, Fault> {
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
            late_share: self.number(&at("late_share"))?,
        })
    }
}

/// Makes the deployment of what is stated.
pub fn read(p: &Pairs) -> Result<Stated, Fault> {
    // Counts are walked entry by entry, each of which must be there, so a false one ends at the first gap.
    let types: usize = p.value("classes.count")?;
    let tenants: usize = if p.0.contains_key("realms.count") {
        p.value("realms.count")?
    } else {
        0
    };
    let trigger_types = (0..types)
        .map(|i| p.trigger_type(i))
        .collect::<Result<Vec<_>, _>>()?;
    if trigger_types.is_empty() {
        return Err("setting classes.count: at least one is needed".into());
    }
    let quota = |i| {
        p.number(&format!("realms.{i}.quota_rps"))
            .map(|quota| Tenant {
                quota_per_second: quota,
            })
    };
    let memory = p
        .list("family_info.kind_memory_mb")
        .into_iter()
        .map(|text| {
            text.parse()
                .map_err(|_| format!("setting family_info.kind_memory_mb: cannot read '{text}'"))
        });
    let deployment = Deployment {
        controllers: p.value::<u32>("balancers")?.max(1),
        zone: p.value("zone")?,
        trigger_types,
        tenants: (0..tenants).map(quota).collect::<Result<_, _>>()?,
        over_share_value: p.number("over_share_worth")?,
        machine_memory_mb: memory.collect::<Result<_, _>>()?,
        attempt_limit: p.value("bounds.try_limit")?,
        parallel_attempts: p.value("bounds.parallel_tries")?,
        may_cancel: p.value("bounds.cancel")?,
        may_probe: p.value("bounds.probing")?,
        may_load: p.value("family_info.may_order")?,
        reports_misses: p.word("family_info.not_loaded", &[("miss", true), ("load", false)])?,
        keep_alive: p.time("family_info.linger_idle_ms")?,
        max_retry_after: if p.value("bounds.retry_after")? {
            Some(p.time("bounds.max_retry_after_ms")?)
        } else {
            None
        },
        tick: p.time("tick_ms")?,
        load_window: p.time("family_info.load_window_ms")?,
        free_loads: p.number("family_info.loads_anyway")?,
        loads_per_invocation: p.number("family_info.load_share")?,
        drain_grace: p.time("rules.drain_grace_ms")?,
        initial_capacity_share: p.number("rules.cold_from")?,
        warm_up_time: p.time("rules.cold_ms")?,
        overload_factor: p.number("rules.overload_factor")?,
        overload_window: p.time("rules.tip_after_ms")?,
    };
    Ok(Stated {
        deployment,
        report: p
            .list("reporting.fields")
            .into_iter()
            .map(String::from)
            .collect(),
    })
}
