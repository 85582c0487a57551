//! Amounts as scripts write them: a number and its unit, never a bare number.

use saltdrum::interface::{MILLISECOND, SECOND, Ticks};
use serde::{Deserialize, Deserializer, de::Error};

/// A span of time: "250ms", "1.5s", "2m", "1h".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Ticks);

/// Memory in MB: "3200MB", "4GB".
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Memory(pub f64);

fn amount(text: &str, units: &[(&str, f64)], example: &str) -> Result<f64, String> {
    let split = text
        .find(|c: char| !c.is_ascii_digit() && c != '.' && c != '-')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let n: f64 = number
        .parse()
        .map_err(|_| format!("'{text}': a number and a unit are expected, as in {example}"))?;
    let names: Vec<&str> = units.iter().map(|u| u.0).collect();
    let factor = units
        .iter()
        .find(|u| u.0 == unit)
        .map(|u| u.1)
        .ok_or_else(|| match unit {
            "" => format!("'{text}': a unit is missing, as in {example}"),
            _ => format!(
                "'{text}': unknown unit '{unit}', one of {} is expected",
                names.join(", ")
            ),
        })?;
    if n < 0.0 {
        Err(format!("'{text}': cannot be negative"))
    } else {
        Ok(n * factor)
    }
}

/// Reads a span, rounded down to whole tenths of a millisecond.
pub fn span(text: &str) -> Result<Span, String> {
    let units = [
        ("ms", MILLISECOND as f64),
        ("s", SECOND as f64),
        ("m", 60.0 * SECOND as f64),
        ("h", 3_600.0 * SECOND as f64),
    ];
    // A hair above, since 0.3 s is a little under 3,000 tenths in binary.
    amount(text, &units, "\"250ms\" or \"2s\"").map(|t| Span((t + 1e-6) as Ticks))
}

/// Reads an amount of memory.
pub fn memory(text: &str) -> Result<Memory, String> {
    amount(text, &[("MB", 1.0), ("GB", 1_000.0)], "\"3200MB\"").map(Memory)
}

fn text<'de, D: Deserializer<'de>>(d: D, example: &str) -> Result<String, D::Error> {
    match serde_json::Value::deserialize(d)? {
        serde_json::Value::String(text) => Ok(text),
        serde_json::Value::Number(n) => Err(D::Error::custom(format!(
            "{n}: a unit is missing, as in {example}"
        ))),
        other => Err(D::Error::custom(format!(
            "{other}: text is expected, as in {example}"
        ))),
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        span(&text(d, "\"250ms\"")?).map_err(D::Error::custom)
    }
}

impl<'de> Deserialize<'de> for Memory {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        memory(&text(d, "\"3200MB\"")?).map_err(D::Error::custom)
    }
}
