//! Troubles drawn at random for a day.

use crate::Script;
use saltdrum::interface::SECOND;
use saltdrum_deployment::{Statement, script::SourceLocation};
use saltdrum_scenario::Day;
use serde_json::{Map, Value as Json, json};

/// What a trouble of a kind strikes, and with what.
const KINDS: &[(&str, &[&str])] = &[
    ("crash", &["invokers"]),
    ("slow", &["invokers", "times"]),
    ("hang", &["invokers"]),
    ("ageing", &["invokers"]),
    ("fast_errors", &["invokers", "part"]),
    ("late_reports", &["invokers", "delay"]),
    ("answers_lost", &["invokers", "part"]),
    ("stuck_sockets", &["invokers"]),
    ("half_frames", &["invokers"]),
    ("deploy", &["invokers", "delay", "batch"]),
    ("store_slow", &["times"]),
    ("store_refuses", &[]),
    ("flush", &["part"]),
    ("heavy_tail", &["times", "part"]),
    ("client_hang_ups", &["part", "delay"]),
    ("list_lost", &[]),
    ("controller_crash", &["controllers"]),
    ("controller_roll", &["controllers", "batch"]),
    ("controller_stall", &["controllers"]),
    ("line_cut", &["controllers", "invokers", "one_way"]),
    ("power_cut", &["invokers", "part", "delay"]),
    ("store_damages", &["part"]),
    ("line_slow", &["controllers", "invokers", "delay"]),
];

fn some_of(most: u32, rng: &mut fastrand::Rng) -> Json {
    let count = rng.u32(1..=most.div_ceil(3).max(1));
    let mut all: Vec<u32> = (1..=most).collect();
    rng.shuffle(&mut all);
    all.truncate(count as usize);
    all.sort_unstable();
    json!(all)
}

/// The script with a seed and some troubles of its own, in place of those that it had.
pub fn troubled(base: &Script, day: &Day, seed: u64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x6a75);
    let mut script = base.clone().seeded(seed);
    script.statements.retain(|s| s.what != "trouble");
    let (invokers, controllers) = (
        day.terms.invokers.len() as u32,
        day.terms.deployment.controllers,
    );
    let ms = |tenths: u64| json!(format!("{}ms", tenths / 10));
    for _ in 0..rng.usize(1..=6) {
        let (name, arguments) = KINDS[rng.usize(..KINDS.len())];
        let mut said = Map::new();
        said.insert("name".into(), json!(name));
        said.insert("at".into(), ms(rng.u64(0..day.length.max(1) * 8 / 10)));
        said.insert(
            "lasts".into(),
            ms(rng.u64(SECOND / 5..=(day.length / 4).max(SECOND))),
        );
        for argument in arguments {
            let value = match *argument {
                "invokers" => some_of(invokers, &mut rng),
                "controllers" => some_of(controllers, &mut rng),
                "times" => json!((rng.f64() * 60.0).round() / 10.0 + 1.5),
                "part" => json!((rng.f64() * 100.0).round() / 100.0),
                "delay" => ms(rng.u64(SECOND / 20..SECOND * 3 / 2)),
                "batch" => json!(rng.u32(1..=2)),
                _ => match rng.u8(..3) {
                    0 => continue,
                    1 => json!("to_invokers"),
                    _ => json!("to_controllers"),
                },
            };
            said.insert((*argument).to_owned(), value);
        }
        script.statements.push(Statement {
            what: "trouble",
            said,
            place: SourceLocation::default(),
        });
    }
    script
}

#[cfg(test)]
mod tests {
    use super::*;
    use saltdrum_scenario::DAYS;
    use std::collections::BTreeSet;

    #[test]
    fn every_kind_is_drawn_and_every_day_loads() {
        let base = Script::read("bad", DAYS[0].1).unwrap();
        let day = base.day().unwrap();
        let mut seen = BTreeSet::new();
        for seed in 0..300 {
            let drawn = troubled(&base, &day, seed);
            assert_eq!(drawn.text(), troubled(&base, &day, seed).text());
            let day = drawn
                .day()
                .unwrap_or_else(|e| panic!("{e}\n{}", drawn.text()));
            seen.extend(day.troubles.iter().map(|t| t.name));
        }
        assert_eq!(seen.len(), KINDS.len(), "{seen:?}");
    }
}
