//! What came of an experiment: tables, facts, and a page of its own.

use crate::compare::{Difference, Word};
use crate::facts::{MEASURES, Measure};
use crate::plots;
use crate::results::{self, Run};
use crate::run::{LIST, RunList};
use comfy_table::{CellAlignment, Table, presets};
use saltdrum_load::Latencies;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// A variant's mean of one figure, and how it differs from the first variant's.
#[derive(Debug, Serialize)]
pub struct Figure {
    pub key: &'static str,
    pub title: &'static str,
    pub mean: Option<f64>,
    pub difference: Option<Difference>,
    pub word: Option<Word>,
    /// `better`, `worse`, or nothing where that can't be told.
    pub verdict: &'static str,
}

#[derive(Debug, Serialize)]
pub struct Column {
    /// A letter that stands for it in plots.
    pub letter: char,
    pub variant: String,
    pub figures: Vec<Figure>,
}

/// Outcomes of one tenant, in parts of its invocations.
#[derive(Debug, Serialize)]
pub struct Tenant {
    pub tenant: String,
    pub letter: char,
    pub invocations: usize,
    pub in_time: f64,
    pub late: f64,
    pub throttled: f64,
    pub errored: f64,
    pub lost: f64,
}

/// A day at a size, over all seeds.
#[derive(Debug, Serialize)]
pub struct Section {
    pub day: String,
    pub size: f64,
    pub columns: Vec<Column>,
    pub tenants: Vec<Tenant>,
    /// Letter, rule, how many runs kept it, could not tell, broke it, and the first finding.
    pub rules: Vec<(char, u8, usize, usize, usize, String)>,
    pub slow: Vec<(char, u64, crate::facts::SlowInvocation)>,
    pub troubles: Vec<(usize, String)>,
    /// Plots as SVG, with what they show.
    #[serde(skip)]
    pub plots: Vec<(String, String)>,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    pub version: String,
    pub runs: usize,
    pub of: usize,
    pub problems: Vec<String>,
    /// Over all days and sizes.
    pub overall: Vec<Column>,
    pub sections: Vec<Section>,
}

fn letter(n: usize) -> char {
    char::from(b'A' + (n % 26) as u8)
}

type Pair = (String, String, u64);

fn pair(run: &Run) -> Pair {
    (
        run.origin.day.clone(),
        run.origin.size.to_string(),
        run.origin.seed,
    )
}

fn verdict(m: &Measure, word: Word) -> &'static str {
    match (word, m.higher_is_better) {
        (Word::Higher, true) | (Word::Lower, false) => "better",
        (Word::Higher, false) | (Word::Lower, true) => "worse",
        (Word::Same, _) => "same",
        (Word::CannotTell, _) => "",
    }
}

/// Of these runs, each variant's figures beside the first variant's on the same pairs.
fn columns(variants: &[String], runs: &[&Run]) -> Vec<Column> {
    let of = |v: &String| -> BTreeMap<Pair, &Run> {
        runs.iter()
            .filter(|r| r.origin.variant == *v)
            .map(|r| (pair(r), *r))
            .collect()
    };
    let base = of(&variants[0]);
    let column = |(n, v): (usize, &String)| {
        let mine = of(v);
        let figure = |m: &Measure| {
            let get = |r: &Run| r.facts.measures.get(m.key).copied().flatten();
            let all: Vec<f64> = mine.values().filter_map(|r| get(r)).collect();
            let mean = (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64);
            let pairs: Vec<(f64, f64)> = mine
                .iter()
                .filter_map(|(p, r)| Some((get(r)?, get(base.get(p)?)?)))
                .collect();
            let difference = (n > 0).then(|| Difference::of(&pairs)).flatten();
            let word = difference.as_ref().map(Difference::word);
            let verdict = word.map_or("", |w| verdict(m, w));
            Figure {
                key: m.key,
                title: m.title,
                mean,
                difference,
                word,
                verdict,
            }
        };
        Column {
            letter: letter(n),
            variant: v.clone(),
            figures: MEASURES.iter().map(figure).collect(),
        }
    };
    variants.iter().enumerate().map(column).collect()
}

fn section(listed: &RunList, day: &str, size: f64, runs: &[&Run]) -> Result<Section, String> {
    let (mut tenants, mut rules, mut slow) = (Vec::new(), Vec::new(), Vec::new());
    let (mut over_time, mut spread, mut by_invoker) = (Vec::new(), Vec::new(), Vec::new());
    for (n, v) in listed.variants.iter().enumerate() {
        let mine: Vec<&&Run> = runs.iter().filter(|r| r.origin.variant == *v).collect();
        let mut counts: BTreeMap<&str, [usize; 6]> = BTreeMap::new();
        let mut all = Latencies::default();
        let mut seconds: BTreeMap<u64, Latencies> = BTreeMap::new();
        for row in mine.iter().flat_map(|r| &r.rows) {
            let count = counts.entry(&row.tenant).or_default();
            count[0] += 1;
            let at = match row.outcome.as_str() {
                "succeeded" if row.in_time => 1,
                "succeeded" => 2,
                "throttled" => 3,
                "errored" => 4,
                _ => 5,
            };
            count[at] += 1;
            if let (Some(took), "succeeded") = (row.latency, row.outcome.as_str()) {
                all.record(took);
                seconds
                    .entry(row.at / saltdrum::interface::SECOND)
                    .or_default()
                    .record(took);
            }
        }
        tenants.extend(counts.iter().map(|(tenant, c)| {
            let part = |n: usize| c[n] as f64 / c[0] as f64;
            Tenant {
                tenant: (*tenant).to_owned(),
                letter: letter(n),
                invocations: c[0],
                in_time: part(1),
                late: part(2),
                throttled: part(3),
                errored: part(4),
                lost: part(5),
            }
        }));
        over_time.push((
            letter(n),
            seconds
                .iter()
                .map(|(s, l)| (*s as f64, l.quantile_ms(0.99)))
                .collect::<Vec<_>>(),
        ));
        let total = all.count().max(1) as f64;
        spread.push((
            letter(n),
            all.cumulative_counts()
                .into_iter()
                .map(|(ms, n)| (ms, n as f64 / total))
                .collect::<Vec<_>>(),
        ));
        let mut invokers: BTreeMap<u32, (u64, u64)> = BTreeMap::new();
        for i in mine.iter().flat_map(|r| &r.facts.invokers) {
            let sum = invokers.entry(i.invoker).or_default();
            (sum.0, sum.1) = (sum.0 + i.dispatches, sum.1 + i.fetches);
        }
        by_invoker.push((letter(n), invokers.into_values().collect::<Vec<_>>()));
        for rule in 1..=5u8 {
            let of: Vec<_> = mine
                .iter()
                .flat_map(|r| &r.facts.rules)
                .filter(|r| r.0 == rule)
                .collect();
            let count = |state: &str| of.iter().filter(|r| r.1 == state).count();
            let first = of
                .iter()
                .find(|r| !r.2.is_empty())
                .map_or(String::new(), |r| r.2.clone());
            rules.push((
                letter(n),
                rule,
                count("kept"),
                count("cannottell"),
                count("broken"),
                first,
            ));
        }
        let mut slowest: Vec<_> = mine
            .iter()
            .flat_map(|r| {
                r.facts
                    .slow
                    .iter()
                    .map(|s| (letter(n), r.origin.seed, s.clone()))
            })
            .collect();
        slowest.sort_by(|a, b| b.2.took_ms.total_cmp(&a.2.took_ms));
        slow.extend(slowest.into_iter().take(3));
    }
    let struck = runs.first().map_or(&[][..], |r| &r.facts.troubles);
    let troubles = struck.iter().enumerate();
    let troubles = troubles
        .map(|(n, t)| {
            (
                n + 1,
                format!("{} ({:.1} to {:.1} s)", t.what, t.from_s, t.to_s),
            )
        })
        .collect();
    let columns = columns(&listed.variants, runs);
    let plots = vec![
        (
            "p99 latency of each second, ms".to_owned(),
            plots::over_time(&over_time, struck)?,
        ),
        (
            "Share of invocations answered within, ms".to_owned(),
            plots::distribution(&spread)?,
        ),
        (
            "Dispatches by invoker, busiest first".to_owned(),
            plots::by_invoker(&by_invoker, |i| i.0)?,
        ),
        (
            "Fetches from the store by invoker, most first".to_owned(),
            plots::by_invoker(&by_invoker, |i| i.1)?,
        ),
    ];
    Ok(Section {
        day: day.to_owned(),
        size,
        columns,
        tenants,
        rules,
        slow,
        troubles,
        plots,
    })
}

/// Reads a folder of results.
pub fn load(folder: &Path) -> Result<Report, String> {
    let path = folder.join(LIST);
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let listed: RunList =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let (whole, bad) = results::scan(folder).map_err(|e| e.to_string())?;
    let mut problems: Vec<String> = bad.iter().map(ToString::to_string).collect();
    let mut runs = Vec::new();
    for key in &listed.keys {
        match whole.get(key).map(|path| results::read(path)) {
            None => {}
            Some(Ok(run)) => runs.push(run),
            Some(Err(e)) => problems.push(e.to_string()),
        }
    }
    if runs.is_empty() {
        return Err(format!("{}: no run is there yet", folder.display()));
    }
    if listed.variants.is_empty() {
        return Err(format!("{}: no variant is listed", path.display()));
    }
    let all: Vec<&Run> = runs.iter().collect();
    let mut sections = Vec::new();
    for size in &listed.sizes {
        for day in &listed.days {
            let here: Vec<&Run> = all
                .iter()
                .filter(|r| r.origin.day == *day && r.origin.size == *size)
                .copied()
                .collect();
            if !here.is_empty() {
                sections.push(section(&listed, day, *size, &here)?);
            }
        }
    }
    let versions: BTreeSet<&str> = runs.iter().map(|r| r.origin.version.as_str()).collect();
    Ok(Report {
        experiment: listed.experiment.clone(),
        version: versions.into_iter().collect::<Vec<_>>().join(", "),
        runs: runs.len(),
        of: listed.keys.len(),
        problems,
        overall: columns(&listed.variants, &all),
        sections,
    })
}

/// A figure with as many digits as tell something.
fn plain(n: f64) -> String {
    match n.abs() {
        0.0 => "0".into(),
        a if a < 10.0 => format!("{n:.3}"),
        a if a < 1_000.0 => format!("{n:.1}"),
        _ => format!("{n:.0}"),
    }
}

fn told(f: &Figure) -> String {
    let mean = f.mean.map_or("-".to_owned(), plain);
    let Some(d) = &f.difference else { return mean };
    let sign = if d.mean >= 0.0 { "+" } else { "" };
    let between = d.interval.map_or(String::new(), |(a, b)| {
        format!(" [{}, {}]", plain(a), plain(b))
    });
    let verdict = if f.verdict.is_empty() {
        "cannot tell"
    } else {
        f.verdict
    };
    format!(
        "{mean}\n{sign}{}{between}\n{verdict}, {}+ {}- of {}",
        plain(d.mean),
        d.higher,
        d.lower,
        d.pairs
    )
}

fn table(columns: &[Column]) -> Table {
    let mut t = Table::new();
    let head = columns
        .iter()
        .map(|c| format!("{} {}", c.letter, c.variant));
    t.load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_header(std::iter::once(String::new()).chain(head));
    for (n, m) in MEASURES.iter().enumerate() {
        let cells = columns.iter().map(|c| told(&c.figures[n]));
        t.add_row(std::iter::once(m.title.to_owned()).chain(cells));
    }
    t.column_iter_mut()
        .skip(1)
        .for_each(|c| c.set_cell_alignment(CellAlignment::Right));
    t
}

impl Report {
    /// Tables for a terminal.
    pub fn text(&self) -> String {
        let mut out = format!("{}: {} of {} runs\n", self.experiment, self.runs, self.of);
        self.problems
            .iter()
            .for_each(|p| out += &format!("problem: {p}\n"));
        out += "mean; below it the difference to the first variant on the same days, with its 95% interval\n";
        out += &format!("all days\n{}\n", table(&self.overall));
        if self.sections.len() > 1 {
            for s in &self.sections {
                out += &format!("{}, size {}\n{}\n", s.day, s.size, table(&s.columns));
            }
        }
        for s in &self.sections {
            for (letter, rule, .., broken, first) in s.rules.iter().filter(|r| r.4 > 0) {
                out += &format!(
                    "{}, size {}: {letter} broke rule {rule} in {broken} runs: {first}\n",
                    s.day, s.size
                );
            }
        }
        out
    }

    /// One page that needs nothing else.
    pub fn html(&self) -> Result<String, String> {
        let mut env = minijinja::Environment::new();
        env.add_template("report.html", include_str!("report.html"))
            .map_err(|e| e.to_string())?;
        env.add_filter("plain", plain);
        env.add_filter("percent", |n: f64| format!("{:.1}%", n * 100.0));
        let plots: Vec<&Vec<(String, String)>> = self.sections.iter().map(|s| &s.plots).collect();
        let forest = plots::differences(&self.overall)?;
        let said = minijinja::context! { report => self, plots => plots, forest => forest };
        env.get_template("report.html")
            .and_then(|t| t.render(said))
            .map_err(|e| e.to_string())
    }
}
