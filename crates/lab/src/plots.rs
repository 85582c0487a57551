//! Plots as SVG. Lines are told apart by letter and dash, never by colour alone.

use crate::facts::TroubleSpan;
use crate::report::Column;
use plotters::coord::Shift;
use plotters::prelude::*;

type Line = (char, Vec<(f64, f64)>);
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

const SIZE: (u32, u32) = (860, 300);
const FONT: (&str, u32) = ("sans-serif", 13);
/// Dark enough each to print; dash and letter tell them apart.
const INKS: [RGBColor; 4] = [
    RGBColor(0, 60, 130),
    RGBColor(150, 60, 0),
    RGBColor(0, 100, 70),
    RGBColor(90, 30, 110),
];
/// Length and gap of dashes; no gap is a whole line.
const DASHES: [(u32, u32); 4] = [(0, 0), (10, 4), (3, 3), (14, 8)];
const POINTS: usize = 400;

fn drawn(
    size: (u32, u32),
    draw: impl FnOnce(&Area) -> Result<(), String>,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        draw(&area)?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

fn fewer(line: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let step = line.len().div_ceil(POINTS).max(1);
    let mut all: Vec<(f64, f64)> = line.iter().step_by(step).copied().collect();
    all.extend(line.last().filter(|_| line.len() > 1));
    all
}

macro_rules! lines {
    ($chart:expr, $lines:expr) => {
        for (n, (letter, line)) in $lines.iter().enumerate() {
            let (ink, (dash, gap)) = (INKS[n % 4], DASHES[n % 4]);
            let points = fewer(line);
            let style = ink.stroke_width(2);
            if gap == 0 {
                $chart.draw_series(LineSeries::new(points.clone(), style)).map_err(|e| e.to_string())?;
            } else {
                let dashed = DashedLineSeries::new(points.clone(), dash, gap, style);
                $chart.draw_series(dashed).map_err(|e| e.to_string())?;
            }
            // Letters stand at different places, so that lines that lie on each other are both named.
            let stride = (points.len() / 5).max(1);
            let at = points.iter().skip((n + 1) * stride / 4).step_by(stride);
            let text = (FONT.0, 15).into_font().style(FontStyle::Bold).color(&ink);
            let named = at.map(|p| Text::new(letter.to_string(), *p, text.clone()));
            $chart.draw_series(named).map_err(|e| e.to_string())?;
        }
    };
}

/// Bounds of positive values, for an axis of logarithms.
fn bounds<'a>(lines: impl Iterator<Item = &'a f64>) -> (f64, f64) {
    let (low, high) = lines
        .filter(|v| v.is_finite() && **v > 0.0)
        .fold((f64::MAX, 0.0_f64), |(a, b), v| (a.min(*v), b.max(*v)));
    if low > high {
        (1.0, 10.0)
    } else {
        (low * 0.8, (high * 1.3).max(low * 2.0))
    }
}

/// Lines over time, with troubles as numbered bands.
pub fn over_time(lines: &[Line], troubles: &[TroubleSpan]) -> Result<String, String> {
    let most = lines
        .iter()
        .flat_map(|l| &l.1)
        .map(|p| p.0)
        .fold(1.0, f64::max);
    let (low, high) = bounds(lines.iter().flat_map(|l| &l.1).map(|p| &p.1));
    drawn(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(72)
            .build_cartesian_2d(0.0..most + 1.0, (low..high * 1.4).log_scale())
            .map_err(|e| e.to_string())?;
        let bands = troubles.iter().map(|t| {
            let to = t.to_s.max(t.from_s + most / 200.0).min(most + 1.0);
            Rectangle::new(
                [(t.from_s.min(most), low), (to, high * 1.4)],
                BLACK.mix(0.07).filled(),
            )
        });
        chart.draw_series(bands).map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .max_light_lines(0)
            .x_desc("seconds of the day")
            .y_desc("ms")
            .y_labels(5)
            .x_label_formatter(&|x| format!("{x:.0}"))
            .y_label_formatter(&|y| format!("{y:.0}"))
            .label_style(FONT)
            .draw()
            .map_err(|e| e.to_string())?;
        let rows = 4;
        let numbers = troubles.iter().enumerate().map(|(n, t)| {
            let y = high * 1.35 * 0.88_f64.powi((n % rows) as i32);
            Text::new(
                (n + 1).to_string(),
                (t.from_s.min(most), y),
                (FONT.0, 11).into_font().color(&BLACK),
            )
        });
        chart.draw_series(numbers).map_err(|e| e.to_string())?;
        lines!(chart, lines);
        Ok(())
    })
}

/// Shares up to each latency.
pub fn distribution(lines: &[Line]) -> Result<String, String> {
    let (low, high) = bounds(lines.iter().flat_map(|l| &l.1).map(|p| &p.0));
    drawn(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(72)
            .build_cartesian_2d((low..high).log_scale(), 0.0..1.02)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .max_light_lines(0)
            .x_label_formatter(&|x| format!("{x:.0}"))
            .x_desc("ms, from the first try to the last answer")
            .y_desc("share")
            .label_style(FONT)
            .draw()
            .map_err(|e| e.to_string())?;
        lines!(chart, lines);
        Ok(())
    })
}

/// Something counted by invoker, the most first.
pub fn by_invoker(
    all: &[(char, Vec<(u64, u64)>)],
    of: fn(&(u64, u64)) -> u64,
) -> Result<String, String> {
    let sorted = |counts: &Vec<(u64, u64)>| {
        let mut counts: Vec<u64> = counts.iter().map(of).collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        counts
            .into_iter()
            .enumerate()
            .map(|(n, c)| (n as f64 + 1.0, c as f64))
            .collect::<Vec<_>>()
    };
    let lines: Vec<Line> = all
        .iter()
        .map(|(letter, counts)| (*letter, sorted(counts)))
        .collect();
    let points = || lines.iter().flat_map(|l| &l.1);
    let (wide, high) = (
        points().map(|p| p.0).fold(2.0, f64::max),
        points().map(|p| p.1).fold(1.0, f64::max),
    );
    drawn((SIZE.0, 220), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(72)
            .build_cartesian_2d(1.0..wide, 0.0..high * 1.1)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .max_light_lines(0)
            .x_desc("invokers in this order")
            .y_desc("over all seeds")
            .x_label_formatter(&|x| format!("{x:.0}"))
            .y_label_formatter(&|y| format!("{y:.0}"))
            .label_style(FONT)
            .draw()
            .map_err(|e| e.to_string())?;
        lines!(chart, &lines);
        Ok(())
    })
}

/// Differences to the first variant in parts of its mean, with their intervals.
pub fn differences(columns: &[Column]) -> Result<String, String> {
    let Some((base, others)) = columns.split_first() else {
        return Ok(String::new());
    };
    let mut rows = Vec::new();
    for c in others {
        for (f, b) in c.figures.iter().zip(&base.figures) {
            let (Some(d), Some(mean)) = (&f.difference, b.mean.filter(|m| m.abs() > 1e-9)) else {
                continue;
            };
            let (low, high) = d.interval.unwrap_or((d.mean, d.mean));
            let part = |v: f64| (100.0 * v / mean).clamp(-100.0, 100.0);
            rows.push((
                format!("{} {}", c.letter, f.title),
                part(low),
                part(d.mean),
                part(high),
            ));
        }
    }
    if rows.is_empty() {
        return Ok(String::new());
    }
    let wide = rows
        .iter()
        .map(|r| r.1.abs().max(r.3.abs()))
        .fold(1.0, f64::max)
        * 1.1;
    let count = rows.len() as f64;
    drawn((SIZE.0, 70 + 20 * rows.len() as u32), |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_left(250)
            .x_label_area_size(34)
            .build_cartesian_2d(-wide..wide, 0.0..count)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .max_light_lines(0)
            .x_desc("difference, % of the first variant's mean (cut off at 100%)")
            .label_style(FONT)
            .draw()
            .map_err(|e| e.to_string())?;
        let zero = PathElement::new(vec![(0.0, 0.0), (0.0, count)], BLACK.stroke_width(1));
        chart.draw_series([zero]).map_err(|e| e.to_string())?;
        for (n, (title, low, mean, high)) in rows.iter().enumerate() {
            let y = count - n as f64 - 0.5;
            let whisker = PathElement::new(vec![(*low, y), (*high, y)], BLACK.stroke_width(2));
            chart.draw_series([whisker]).map_err(|e| e.to_string())?;
            chart
                .draw_series([Circle::new((*mean, y), 4, BLACK.filled())])
                .map_err(|e| e.to_string())?;
            let (_, top) = chart.backend_coord(&(0.0, y));
            let text = FONT.into_font().color(&BLACK);
            area.draw(&Text::new(title.clone(), (10, top - 7), text))
                .map_err(|e| e.to_string())?;
        }
        Ok(())
    })
}
