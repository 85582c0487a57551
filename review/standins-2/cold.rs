//! Discovery is down, an invoker dies and returns cold, and seven of ten controllers are killed and start again meanwhile.

use crate::peers::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONTROLLERS: usize = 10;
/// Of these, how many are killed at once.
const KILLED: usize = 7;
const KILLED_AFTER: Duration = Duration::from_millis(300);
const INVOKERS: u32 = 12;
/// The run time of a request, all of the mean work.
const RUN_MS: u64 = 140;
/// The rule: sent more than this multiple of its present capacity for this time, an invoker falls.
const MULTIPLE: f64 = 2.0;
const WINDOW: Duration = Duration::from_millis(1_000);
/// Discovery is down for 8 s, and what it would have told counts as told 4 s after that began.
const DOWN: Duration = Duration::from_millis(8_000);
const COUNTS_AS_TOLD: Duration = Duration::from_millis(4_000);
/// The invoker is down for 5 s.
const DIES_AFTER: Duration = Duration::from_millis(100);
const RETURNS_AFTER: Duration = Duration::from_millis(5_100);
/// The list tells of a start so long after it.
const LISTED_AFTER: Duration = Duration::from_millis(300);
/// Requests a second of all clients together.
const RATE: u32 = 230;
/// Of 100 requests, how many are for the hot function.
const HOT: u64 = 23;
const CLASS: &str = "produce-check";
/// The time that a load takes is not told here.
const FIGURES: &str = "memory_mb:512;lanes:4";
const AIM_MS: u64 = 1_000;
const LIMIT_MS: u64 = 3_000;

/// What differs in the settings of this deployment.
const FIGURES_OF_SITE: [(&str, &str); 7] = [
    ("\"not_loaded\":\"miss\"", "\"not_loaded\":\"load\""),
    ("\"load_window_ms\":5000.0", "\"load_window_ms\":0.0"),
    ("\"cold_from\":0.19,\"cold_ms\":15000.0", "\"cold_from\":0.2,\"cold_ms\":17000.0"),
    ("\"tip_after_ms\":3000.0", "\"tip_after_ms\":1000.0"),
    ("\"drain_grace_ms\":250.0", "\"drain_grace_ms\":500.0"),
    ("\"try_limit\":3", "\"try_limit\":5"),
    ("\"fields\":[\"queue\",\"util\"],\"how\":\"probe\"", "\"fields\":[\"util\"],\"how\":\"answers\""),
];

/// The requests within the window at which an invoker falls that started so long ago.
fn fall_above(age: Duration) -> f64 {
    let capacity_per_s = CORES * 1_000.0 / RUN_MS as f64;
    let n = MULTIPLE * warm_share(age) * capacity_per_s * WINDOW.as_secs_f64();
    if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 }
}

/// The function that a controller sends to `invoker` first, as seen from outside.
fn function_of(invoker: &Invoker, functions: &[String], start: &Start, record: &Record) -> Result<String, String> {
    let controller = Controller::start(start, record)?;
    sleep(ms(1_200));
    for (number, function) in functions.iter().enumerate() {
        let mut client = Client::connect(&controller.listen, record).ok_or("no connection")?;
        let txn = format!("{:016x}", 0xaaaa_0000 + number);
        client.ask_with(&Ask { class: CLASS, txn: &txn, limit_ms: LIMIT_MS, function, key: None, body: b"x" }, FIGURES);
        sleep(ms(60));
        if invoker.arrivals.lock().unwrap().iter().any(|a| a.txn == txn) {
            return Ok(function.clone());
        }
    }
    Err("no function found".into())
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    // For a look at the same without the outage: the start is told.
    let is_told = std::env::var("TOLD").is_ok();
    let functions: Vec<String> = (1..=60).map(|n| format!("{n:016x}")).collect();
    let feed = Feed::start(record);
    let invokers: Vec<Invoker> = (1..=INVOKERS).map(|id| Invoker::start(id, ms(RUN_MS), &functions, record)).collect();
    let settings = settings_of(CONTROLLERS, true, &class(CLASS, "safe", AIM_MS, LIMIT_MS));
    LOADS.store(true, std::sync::atomic::Ordering::SeqCst);
    let settings = FIGURES_OF_SITE.iter().fold(settings, |text, (from, to)| text.replace(from, to));
    let start = |name| Start { name, invokers: &invokers, feed: &feed, settings: &settings, memory_mb: 192, sockets: 1_024 };
    let target = &invokers[INVOKERS as usize - 1];
    let hot = function_of(target, &functions, &start("n0"), record)?;
    record.say(format!("function {hot} goes to invoker {} first", target.id));
    let names: Vec<String> = (1..=CONTROLLERS).map(|number| format!("n{number}")).collect();
    let mut controllers = Vec::new();
    for name in &names {
        controllers.push(Controller::start(&start(name), record)?);
    }
    // Nobody asked for the hot function lately.
    invokers.iter().for_each(|invoker| { invoker.state.lock().unwrap().loaded.remove(&hot); });
    sleep(ms(1_200));
    // The traffic before: every controller has connections to all invokers.
    let mut rng = Rng(3);
    let mut before: Vec<Client> = controllers.iter().filter_map(|c| Client::connect(&c.listen, record)).collect();
    let began = Instant::now();
    for number in 0..RATE * 3 {
        let function = loop {
            let function = &functions[rng.below(functions.len() as u64) as usize];
            if *function != hot {
                break function;
            }
        };
        let txn = format!("{:016x}", 0xbbbb_0000 + number);
        let ask = Ask { class: CLASS, txn: &txn, limit_ms: LIMIT_MS, function, key: None, body: b"x" };
        before[number as usize % CONTROLLERS].ask_with(&ask, FIGURES);
        sleep((began + ms(1_000) * (number + 1) / RATE).saturating_duration_since(Instant::now()));
    }
    target.arrivals.lock().unwrap().clear();

    let down_at = Instant::now();
    let (mut started_at, mut told_at) = (None, None);
    if trouble {
        if !is_told {
            record.add("feed: down");
            feed.state.lock().unwrap().mode = FeedMode::Down;
        }
        sleep(DIES_AFTER);
        target.end();
        sleep((down_at + KILLED_AFTER).saturating_duration_since(Instant::now()));
        record.add(format!("platform: {KILLED} of {CONTROLLERS} controllers are killed"));
        before.clear();
        controllers.drain(..KILLED).for_each(drop);
        sleep((down_at + RETURNS_AFTER - ms(600)).saturating_duration_since(Instant::now()));
        for name in names.iter().take(KILLED) {
            controllers.push(Controller::start(&start(name), record)?);
        }
        sleep((down_at + RETURNS_AFTER).saturating_duration_since(Instant::now()));
        target.start_again()?;
        let (started, started_ms) = (Instant::now(), unix_ms());
        sleep(LISTED_AFTER);
        let listed = feed.tell(target.id, target.port, READY, started_ms);
        record.add("feed: holds the event of the start");
        (started_at, told_at) = (Some(started), Some(if is_told { listed } else { listed.max(down_at + COUNTS_AS_TOLD) }));
    } else {
        sleep(RETURNS_AFTER + LISTED_AFTER);
    }

    // The hot function, evenly over the controllers.
    let connect = |c: &Controller| Client::connect(&c.listen, record);
    let mut clients: Vec<Client> = controllers.iter().filter_map(connect).collect();
    let (mut all, began) = (Vec::new(), Instant::now());
    let mut fall = None;
    let mut number = 0;
    while began.elapsed() < ms(8_000) {
        if trouble && down_at.elapsed() >= DOWN {
            feed.state.lock().unwrap().mode = FeedMode::Up;
        }
        let place = number as usize % CONTROLLERS;
        if clients[place].is_over.load(std::sync::atomic::Ordering::SeqCst) || clients[place].open() >= 30 {
            if let Some(client) = connect(&controllers[place]) {
                all.push(std::mem::replace(&mut clients[place], client));
            }
        }
        let txn = format!("{:016x}", 0x1000 + number);
        let function = if rng.below(100) < HOT { &hot } else { &functions[rng.below(functions.len() as u64) as usize] };
        let ask = Ask { class: CLASS, txn: &txn, limit_ms: LIMIT_MS, function, key: None, body: b"x" };
        clients[place].ask_with(&ask, FIGURES);
        number += 1;
        if let (None, Some(started), Some(told)) = (&fall, started_at, told_at) {
            fall = find_fall(target, started, told);
            if let Some((at, count, above, after_told)) = fall {
                record.add_at(at, format!("invoker {}: falls", target.id));
                record.say(format!(
                    "invoker {} falls {} ms after its start: {count} requests within {} ms, above {above:.1}; {after_told} of them came when the start counted as told",
                    target.id, (at - started).as_millis(), WINDOW.as_millis()
                ));
                target.end();
            }
        }
        sleep((began + ms(1_000) * number / RATE).saturating_duration_since(Instant::now()));
    }
    let ended = controllers.iter_mut().any(Controller::has_ended);
    all.extend(clients);
    let sent: Vec<Sent> = all.iter().flat_map(|c| c.sent.lock().unwrap().values().cloned().collect::<Vec<_>>()).collect();
    let served = sent.iter().filter(|s| s.answers.iter().any(|a| a.1 == 79)).count();
    let arrived = target.arrivals.lock().unwrap().iter().filter(|a| a.kind == "run").count();
    record.say(format!("{} requests, {served} served; {arrived} arrived at invoker {}", sent.len(), target.id));
    if served == 0 && fall.is_none() {
        return Err("nothing was served".into());
    }
    // Broken if over two thirds came from controllers that had been told.
    Ok(ended || fall.is_some_and(|(_, count, _, after_told)| 3 * after_told > 2 * count))
}

/// The first fall: when, after how many requests within the window, above what, and how many of them came after the start
/// counted as told.
fn find_fall(invoker: &Invoker, started: Instant, told: Instant) -> Option<(Instant, usize, f64, usize)> {
    let arrivals = invoker.arrivals.lock().unwrap();
    let runs: Vec<Instant> = arrivals.iter().filter(|a| a.kind == "run" && a.at >= started).map(|a| a.at).collect();
    for (index, at) in runs.iter().enumerate() {
        let within: Vec<&Instant> = runs[..=index].iter().filter(|other| **other + WINDOW > *at).collect();
        let above = fall_above(*at - started);
        if within.len() as f64 > above {
            let after_told = within.iter().filter(|other| ***other >= told).count();
            return Some((*at, within.len(), above, after_told));
        }
    }
    None
}
