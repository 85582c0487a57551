//! Reports on the results of an experiment: tables, JSON and an HTML page.

use crate::compare::{Difference, Direction};
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

/// A variant's mean of one figure, with its difference to the first variant.
#[derive(Debug, Serialize)]
pub struct Figure {
    pub key: &'static str,
    pub title: &'static str,
    pub mean: Option<f64>,
    pub difference: Option<Difference>,
    #[serde(rename = "word")]
    pub direction: Option<Direction>,
    /// `better`, `worse`, `same`, or empty if inconclusive.
    pub verdict: &'static str,
}

/// The figures of one variant.
#[derive(Debug, Serialize)]
pub struct Column {
    /// Labels the variant in plots and tables.
    pub letter: char,
    pub variant: String,
    pub figures: Vec<Figure>,
}

/// Outcomes of one tenant, as shares of its invocations.
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

/// The results of one day at one size, over all seeds.
#[derive(Debug, Serialize)]
pub struct Section {
    pub day: String,
    pub size: f64,
    pub columns: Vec<Column>,
    pub tenants: Vec<Tenant>,
    /// For each variant and rule: letter, rule, numbers of runs that kept it, were undecided and broke it, first
    /// finding.
    pub rules: Vec<(char, u8, usize, usize, usize, String)>,
    pub slow: Vec<(char, u64, crate::facts::SlowInvocation)>,
    pub troubles: Vec<(usize, String)>,
    /// Plots as (title, SVG).
    #[serde(skip)]
    pub plots: Vec<(String, String)>,
}

/// The report on an experiment.
#[derive(Debug, Serialize)]
pub struct Report {
    pub experiment: String,
    pub version: String,
    pub runs: usize,
    /// Number of runs of the experiment, including those without a result yet.
    pub of: usize,
    pub problems: Vec<String>,
    /// Figures over all days and sizes.
    pub overall: Vec<Column>,
    pub sections: Vec<Section>,
}

fn letter(index: usize) -> char {
    char::from(b'A' + (index % 26) as u8)
}

/// Day, size and seed, which the runs of a pair have in common.
type PairKey = (String, String, u64);

fn pair_key(run: &Run) -> PairKey {
    (
        run.origin.day.clone(),
        run.origin.size.to_string(),
        run.origin.seed,
    )
}

fn verdict(measure: &Measure, direction: Direction) -> &'static str {
    match (direction, measure.higher_is_better) {
        (Direction::Higher, true) | (Direction::Lower, false) => "better",
        (Direction::Higher, false) | (Direction::Lower, true) => "worse",
        (Direction::Same, _) => "same",
        (Direction::Inconclusive, _) => "",
    }
}

/// Computes each variant's figures and their differences to the first variant over the same pairs.
fn columns(variants: &[String], runs: &[&Run]) -> Vec<Column> {
    let runs_of = |v: &String| -> BTreeMap<PairKey, &Run> {
        runs.iter()
            .filter(|r| r.origin.variant == *v)
            .map(|r| (pair_key(r), *r))
            .collect()
    };
    let base = runs_of(&variants[0]);
    let column = |(index, variant): (usize, &String)| {
        let own_runs = runs_of(variant);
        let figure = |measure: &Measure| {
            let value_of = |r: &Run| r.facts.measures.get(measure.key).copied().flatten();
            let values: Vec<f64> = own_runs.values().filter_map(|r| value_of(r)).collect();
            let mean =
                (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64);
            let pairs: Vec<(f64, f64)> = own_runs
                .iter()
                .filter_map(|(key, r)| Some((value_of(r)?, value_of(base.get(key)?)?)))
                .collect();
            let difference = (index > 0)
                .then(|| Difference::from_pairs(&pairs))
                .flatten();
            let direction = difference.as_ref().map(Difference::direction);
            let verdict = direction.map_or("", |d| verdict(measure, d));
            Figure {
                key: measure.key,
                title: measure.title,
                mean,
                difference,
                direction,
                verdict,
            }
        };
        Column {
            letter: letter(index),
            variant: variant.clone(),
            figures: MEASURES.iter().map(figure).collect(),
        }
    };
    variants.iter().enumerate().map(column).collect()
}

fn section(run_list: &RunList, day: &str, size: f64, runs: &[&Run]) -> Result<Section, String> {
    let (mut tenants, mut rules, mut slow) = (Vec::new(), Vec::new(), Vec::new());
    let (mut over_time, mut distributions, mut by_invoker) = (Vec::new(), Vec::new(), Vec::new());
    for (index, variant) in run_list.variants.iter().enumerate() {
        let own_runs: Vec<&&Run> = runs
            .iter()
            .filter(|r| r.origin.variant == *variant)
            .collect();
        let mut counts: BTreeMap<&str, [usize; 6]> = BTreeMap::new();
        let mut latencies = Latencies::default();
        let mut by_second: BTreeMap<u64, Latencies> = BTreeMap::new();
        for row in own_runs.iter().flat_map(|r| &r.rows) {
            let count = counts.entry(&row.tenant).or_default();
            count[0] += 1;
            let column = match row.outcome.as_str() {
                "succeeded" if row.in_time => 1,
                "succeeded" => 2,
                "throttled" => 3,
                "errored" => 4,
                _ => 5,
            };
            count[column] += 1;
            if let (Some(latency), "succeeded") = (row.latency, row.outcome.as_str()) {
                latencies.record(latency);
                by_second
                    .entry(row.at / saltdrum::interface::SECOND)
                    .or_default()
                    .record(latency);
            }
        }
        tenants.extend(counts.iter().map(|(tenant, c)| {
            let share = |n: usize| c[n] as f64 / c[0] as f64;
            Tenant {
                tenant: (*tenant).to_owned(),
                letter: letter(index),
                invocations: c[0],
                in_time: share(1),
                late: share(2),
                throttled: share(3),
                errored: share(4),
                lost: share(5),
            }
        }));
        over_time.push((
            letter(index),
            by_second
                .iter()
                .map(|(s, l)| (*s as f64, l.quantile_ms(0.99)))
                .collect::<Vec<_>>(),
        ));
        let total = latencies.count().max(1) as f64;
        distributions.push((
            letter(index),
            latencies
                .cumulative_counts()
                .into_iter()
                .map(|(ms, n)| (ms, n as f64 / total))
                .collect::<Vec<_>>(),
        ));
        let mut invokers: BTreeMap<u32, (u64, u64)> = BTreeMap::new();
        for invoker in own_runs.iter().flat_map(|r| &r.facts.invokers) {
            let sum = invokers.entry(invoker.invoker).or_default();
            (sum.0, sum.1) = (sum.0 + invoker.dispatches, sum.1 + invoker.fetches);
        }
        by_invoker.push((letter(index), invokers.into_values().collect::<Vec<_>>()));
        for rule in 1..=5u8 {
            let verdicts: Vec<_> = own_runs
                .iter()
                .flat_map(|r| &r.facts.rules)
                .filter(|r| r.0 == rule)
                .collect();
            let count = |state: &str| verdicts.iter().filter(|r| r.1 == state).count();
            let first = verdicts
                .iter()
                .find(|r| !r.2.is_empty())
                .map_or(String::new(), |r| r.2.clone());
            rules.push((
                letter(index),
                rule,
                count("kept"),
                count("cannottell"),
                count("broken"),
                first,
            ));
        }
        let mut slowest: Vec<_> = own_runs
            .iter()
            .flat_map(|r| {
                r.facts
                    .slow
                    .iter()
                    .map(|s| (letter(index), r.origin.seed, s.clone()))
            })
            .collect();
        slowest.sort_by(|a, b| b.2.took_ms.total_cmp(&a.2.took_ms));
        slow.extend(slowest.into_iter().take(3));
    }
    let trouble_spans = runs.first().map_or(&[][..], |r| &r.facts.troubles);
    let troubles = trouble_spans.iter().enumerate();
    let troubles = troubles
        .map(|(n, t)| {
            (
                n + 1,
                format!("{} ({:.1} to {:.1} s)", t.what, t.from_s, t.to_s),
            )
        })
        .collect();
    let columns = columns(&run_list.variants, runs);
    let plots = vec![
        (
            "p99 latency of each second, ms".to_owned(),
            plots::over_time(&over_time, trouble_spans)?,
        ),
        (
            "Share of invocations answered within, ms".to_owned(),
            plots::distribution(&distributions)?,
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

/// Loads the results in a folder and computes the report.
pub fn load(folder: &Path) -> Result<Report, String> {
    let path = folder.join(LIST);
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let run_list: RunList =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let (intact, unreadable) = results::scan(folder).map_err(|e| e.to_string())?;
    let mut problems: Vec<String> = unreadable.iter().map(ToString::to_string).collect();
    let mut runs = Vec::new();
    for key in &run_list.keys {
        match intact.get(key).map(|path| results::read(path)) {
            None => {}
            Some(Ok(run)) => runs.push(run),
            Some(Err(e)) => problems.push(e.to_string()),
        }
    }
    if runs.is_empty() {
        return Err(format!("{}: no run has a result yet", folder.display()));
    }
    if run_list.variants.is_empty() {
        return Err(format!("{}: no variant is listed", path.display()));
    }
    let all_runs: Vec<&Run> = runs.iter().collect();
    let mut sections = Vec::new();
    for size in &run_list.sizes {
        for day in &run_list.days {
            let section_runs: Vec<&Run> = all_runs
                .iter()
                .filter(|r| r.origin.day == *day && r.origin.size == *size)
                .copied()
                .collect();
            if !section_runs.is_empty() {
                sections.push(section(&run_list, day, *size, &section_runs)?);
            }
        }
    }
    let versions: BTreeSet<&str> = runs.iter().map(|r| r.origin.version.as_str()).collect();
    Ok(Report {
        experiment: run_list.experiment.clone(),
        version: versions.into_iter().collect::<Vec<_>>().join(", "),
        runs: runs.len(),
        of: run_list.keys.len(),
        problems,
        overall: columns(&run_list.variants, &all_runs),
        sections,
    })
}

/// Formats a figure with a number of decimals that fits its size.
fn format_figure(figure: f64) -> String {
    match figure.abs() {
        0.0 => "0".into(),
        magnitude if magnitude < 10.0 => format!("{figure:.3}"),
        magnitude if magnitude < 1_000.0 => format!("{figure:.1}"),
        _ => format!("{figure:.0}"),
    }
}

fn format_cell(figure: &Figure) -> String {
    let mean = figure.mean.map_or("-".to_owned(), format_figure);
    let Some(difference) = &figure.difference else {
        return mean;
    };
    let sign = if difference.mean >= 0.0 { "+" } else { "" };
    let interval = difference.interval.map_or(String::new(), |(low, high)| {
        format!(" [{}, {}]", format_figure(low), format_figure(high))
    });
    let verdict = if figure.verdict.is_empty() {
        "cannot tell"
    } else {
        figure.verdict
    };
    format!(
        "{mean}\n{sign}{}{interval}\n{verdict}, {}+ {}- of {}",
        format_figure(difference.mean),
        difference.higher,
        difference.lower,
        difference.pairs
    )
}

fn table(columns: &[Column]) -> Table {
    let mut table = Table::new();
    let header = columns
        .iter()
        .map(|c| format!("{} {}", c.letter, c.variant));
    table
        .load_preset(presets::UTF8_HORIZONTAL_ONLY)
        .set_header(std::iter::once(String::new()).chain(header));
    for (index, measure) in MEASURES.iter().enumerate() {
        let cells = columns.iter().map(|c| format_cell(&c.figures[index]));
        table.add_row(std::iter::once(measure.title.to_owned()).chain(cells));
    }
    table
        .column_iter_mut()
        .skip(1)
        .for_each(|c| c.set_cell_alignment(CellAlignment::Right));
    table
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
            for section in &self.sections {
                out += &format!(
                    "{}, size {}\n{}\n",
                    section.day,
                    section.size,
                    table(&section.columns)
                );
            }
        }
        for section in &self.sections {
            for (letter, rule, .., broken, first) in section.rules.iter().filter(|r| r.4 > 0) {
                out += &format!(
                    "{}, size {}: {letter} broke rule {rule} in {broken} runs: {first}\n",
                    section.day, section.size
                );
            }
        }
        out
    }

    /// A self-contained HTML page.
    pub fn html(&self) -> Result<String, String> {
        let mut env = minijinja::Environment::new();
        env.add_template("report.html", include_str!("report.html"))
            .map_err(|e| e.to_string())?;
        env.add_filter("plain", format_figure);
        env.add_filter("percent", |n: f64| format!("{:.1}%", n * 100.0));
        let plots: Vec<&Vec<(String, String)>> = self.sections.iter().map(|s| &s.plots).collect();
        let forest_plot = plots::differences(&self.overall)?;
        let context = minijinja::context! { report => self, plots => plots, forest => forest_plot };
        env.get_template("report.html")
            .and_then(|t| t.render(context))
            .map_err(|e| e.to_string())
    }
}
