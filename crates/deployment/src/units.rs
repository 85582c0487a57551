//! Parses quantities in scripts, which always have a number and a unit.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use serde::{Deserialize, Deserializer, de::Error};

/// A duration, in ticks: "250ms", "1.5s", "2m", "1h".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Ticks);

/// An amount of memory, in MB: "3200MB", "4GB".
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Memory(pub f64);

/// Parses a number with one of the units and returns it times the unit's factor; errors contain `example`.
fn parse_quantity(text: &str, units: &[(&str, f64)], example: &str) -> Result<f64, String> {
    let split = text
        .find(|c: char| !c.is_ascii_digit() && c != '.' && c != '-')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let value: f64 = number
        .parse()
        .map_err(|_| format!("'{text}': a number and a unit are expected, as in {example}"))?;
    let unit_names: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
    let factor = units
        .iter()
        .find(|(name, _)| *name == unit)
        .map(|(_, factor)| *factor)
        .ok_or_else(|| match unit {
            "" => format!("'{text}': a unit is missing, as in {example}"),
            _ => format!(
                "'{text}': unknown unit '{unit}', one of {} is expected",
                unit_names.join(", ")
            ),
        })?;
    if value < 0.0 {
        Err(format!("'{text}': cannot be negative"))
    } else {
        Ok(value * factor)
    }
}

/// Parses a duration, rounded down to whole tenths of a millisecond.
pub fn span(text: &str) -> Result<Span, String> {
    let units = [
        ("ms", MILLISECOND as f64),
        ("s", SECOND as f64),
        ("m", 60.0 * SECOND as f64),
        ("h", 3_600.0 * SECOND as f64),
    ];
    // The offset compensates for binary rounding: 0.3 s is slightly less than 3,000 tenths of a millisecond.
    parse_quantity(text, &units, "\"250ms\" or \"2s\"").map(|ticks| Span((ticks + 1e-6) as Ticks))
}

/// Parses an amount of memory.
pub fn memory(text: &str) -> Result<Memory, String> {
    parse_quantity(text, &[("MB", 1.0), ("GB", 1_000.0)], "\"3200MB\"").map(Memory)
}

/// Deserializes a text; errors contain `example`.
fn deserialize_text<'de, D: Deserializer<'de>>(
    deserializer: D,
    example: &str,
) -> Result<String, D::Error> {
    match serde_json::Value::deserialize(deserializer)? {
        serde_json::Value::String(text) => Ok(text),
        serde_json::Value::Number(number) => Err(D::Error::custom(format!(
            "{number}: a unit is missing, as in {example}"
        ))),
        other => Err(D::Error::custom(format!(
            "{other}: text is expected, as in {example}"
        ))),
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        span(&deserialize_text(deserializer, "\"250ms\"")?).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Memory {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        memory(&deserialize_text(deserializer, "\"3200MB\"")?).map_err(D::Error::custom)
    }
}
