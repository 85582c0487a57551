//! Log output to standard error. `SALTDRUM_LOG` selects levels by target, as in `warn,saltdrum_controller=debug`.

use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// The variable that selects levels by target.
const FILTER_VARIABLE: &str = "SALTDRUM_LOG";
/// The filter if that variable is absent or cannot be parsed.
const DEFAULT_FILTER: &str = "warn";

/// Earlier and present names of targets whose packages were renamed. Filters may still use the earlier ones.
const RENAMED_TARGETS: [(&str, &str); 7] = [
    ("saltdrum_day", "saltdrum_scenario"),
    ("saltdrum_ether", "saltdrum_simulated_network"),
    ("saltdrum_link", "saltdrum_transport"),
    ("saltdrum_rogue", "saltdrum_faulty_peers"),
    ("saltdrum_standin", "saltdrum_fakes"),
    ("saltdrum_stated", "saltdrum_settings"),
    ("saltdrum_steward", "saltdrum_coordinator"),
];

/// Starts logging, as text or as lines of JSON.
pub(crate) fn start(as_json: bool) {
    let filter = std::env::var(FILTER_VARIABLE).ok();
    let filter = filter.and_then(|text| EnvFilter::try_new(with_present_targets(&text)).ok());
    let filter = filter.unwrap_or_else(|| EnvFilter::new(DEFAULT_FILTER));
    let output = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    if as_json {
        output.json().init();
    } else {
        output.init();
    }
}

/// Replaces the earlier names of targets in a filter with the present ones.
fn with_present_targets(filter: &str) -> String {
    let directives = filter.split(',').map(with_present_target);
    directives.collect::<Vec<_>>().join(",")
}

/// Replaces the earlier name of a target in one directive of a filter.
fn with_present_target(directive: &str) -> String {
    let trimmed = directive.trim_start();
    let end = trimmed.find(['=', ':', '[']).unwrap_or(trimmed.len());
    let (target, rest) = trimmed.split_at(end);
    let renamed = RENAMED_TARGETS
        .iter()
        .find(|(old, _)| *old == target.trim_end());
    match renamed {
        Some((_, present)) => format!("{present}{rest}"),
        None => directive.to_owned(),
    }
}

#[cfg(test)]
mod tests;
