//! Discovery is down, an invoker is lost and returns cold, and seven of ten controllers are killed and come back meanwhile,
//! under traffic that goes on throughout.

use crate::peers::*;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const CONTROLLERS: usize = 10;
const INVOKERS: u32 = 12;
/// Discovery goes down so long after the traffic began, and stays down for 8 s.
const CALM: Duration = Duration::from_millis(4_000);
const DOWN: Duration = Duration::from_millis(8_000);
/// What discovery would have told counts as told no later than 4 s after that.
const COUNTS_AS_TOLD: Duration = Duration::from_millis(4_000);
/// All that follows counts from when discovery went down. The invoker is lost for 5 s.
const LOST_AFTER: Duration = Duration::from_millis(100);
const RETURNS_AFTER: Duration = Duration::from_millis(5_100);
/// Seven in ten controllers are killed at once, and come back 4.85 s later.
const KILLED: usize = 7;
const KILLED_AFTER: Duration = Duration::from_millis(300);
const BACK_AFTER: Duration = Duration::from_millis(5_150);
/// The list tells of the start 0.3 s after it. The clients of the controllers that came back ask them from then on.
const LISTED_AFTER: Duration = Duration::from_millis(5_400);
const ASKED_AFTER: Duration = Duration::from_millis(5_450);
const END_AFTER: Duration = Duration::from_millis(10_000);
/// Requests a second of all clients together.
const RATE: u32 = 230;
const RUN_MS: u64 = 140;
const LOAD_MS: u64 = 700;
/// Some functions are more popular than others, by the site's figures.
const FUNCTIONS: usize = 60;
const ZIPF: f64 = 1.2;
const OFFSET: f64 = 1.6;
/// The rule: sent more than this multiple of its present capacity for this time, an invoker falls.
const MULTIPLE: f64 = 2.0;
const WINDOW: Duration = Duration::from_millis(1_000);
const CLASS: &str = "produce-check";
const AIM_MS: u64 = 1_000;
const LIMIT_MS: u64 = 3_000;
/// The time that a load takes is not told here.
const FIGURES: &str = "memory_mb:512;lanes:4";

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

/// A fall: when, after how many requests within the window, above what, and how many of them came after the start counted
/// as told.
struct Fall {
    at: Instant,
    within: usize,
    above: f64,
    after_told: usize,
}

/// The first fall, and the greatest share of the limit that was reached.
fn find_fall(invoker: &Invoker, started: Instant, told: Instant) -> (Option<Fall>, f64) {
    let arrivals = invoker.arrivals.lock().unwrap();
    let runs: Vec<Instant> = arrivals.iter().filter(|a| a.kind == "run" && a.at >= started).map(|a| a.at).collect();
    let (mut fall, mut most) = (None, 0.0f64);
    for (index, at) in runs.iter().enumerate() {
        let window: Vec<&Instant> = runs[..=index].iter().filter(|other| **other + WINDOW > *at).collect();
        let (within, above) = (window.len(), fall_above(*at - started));
        most = most.max(within as f64 / above);
        if fall.is_none() && within as f64 > above {
            let after_told = window.iter().filter(|other| ***other >= told).count();
            fall = Some(Fall { at: *at, within, above, after_told });
        }
    }
    (fall, most)
}

/// The invoker to which a controller sends the most popular function first, as seen from outside.
fn first_invoker<'a>(invokers: &'a [Invoker], function: &str, start: &Start, record: &Record) -> Result<&'a Invoker, String> {
    let controller = Controller::start(start, record)?;
    sleep(ms(1_200));
    let mut client = Client::connect(&controller.listen, record).ok_or("no connection")?;
    let txn = format!("{:016x}", 0xaaaa_0000u32);
    client.ask_with(&Ask { class: CLASS, txn: &txn, limit_ms: LIMIT_MS, function, key: None, body: b"x" }, FIGURES);
    sleep(ms(1_200));
    let has_it = |invoker: &&Invoker| invoker.arrivals.lock().unwrap().iter().any(|a| a.txn == txn);
    invokers.iter().find(has_it).ok_or("no invoker got the request".into())
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    // For looks at the same with less trouble, by hand: with the feed up, and without the kills.
    let (is_told, is_killed) = (std::env::var("TOLD").is_ok(), std::env::var("NO_KILL").is_err());
    LOADS.store(true, SeqCst);
    let functions: Vec<String> = (1..=FUNCTIONS).map(|n| format!("{n:016x}")).collect();
    let shares: Vec<f64> = (1..=FUNCTIONS).map(|n| (n as f64 + OFFSET).powf(-ZIPF)).collect();
    let all_shares: f64 = shares.iter().sum();
    let feed = Feed::start(record);
    let invokers: Vec<Invoker> = (1..=INVOKERS).map(|id| Invoker::start(id, ms(RUN_MS), &functions, record)).collect();
    for invoker in &invokers {
        let mut state = invoker.state.lock().unwrap();
        state.loaded.clear();
        state.load = ms(LOAD_MS);
    }
    let settings = settings_of(CONTROLLERS, true, &class(CLASS, "safe", AIM_MS, LIMIT_MS));
    let settings = FIGURES_OF_SITE.iter().fold(settings, |text, (from, to)| text.replace(from, to));
    let names: Vec<String> = (0..=CONTROLLERS).map(|number| format!("n{number}")).collect();
    fn start_of<'a>(name: &'a str, invokers: &'a [Invoker], feed: &'a Feed, settings: &'a str) -> Start<'a> {
        Start { name, invokers, feed, settings, memory_mb: 192, sockets: 1_024 }
    }
    let target = first_invoker(&invokers, &functions[0], &start_of(&names[0], &invokers, &feed, &settings), record)?;
    record.say(format!("the most popular function goes to invoker {} first", target.id));
    let mut controllers: Vec<Option<Controller>> = Vec::new();
    for name in &names[1..] {
        controllers.push(Some(Controller::start(&start_of(name, &invokers, &feed, &settings), record)?));
    }
    sleep(ms(1_200));
    target.arrivals.lock().unwrap().clear();
    let connect = |controller: &Option<Controller>| Client::connect(&controller.as_ref()?.listen, record);
    let mut clients: Vec<Option<Client>> = controllers.iter().map(connect).collect();

    let (mut all, mut rng, began) = (Vec::new(), Rng(3), Instant::now());
    let down_at = began + CALM;
    let (mut step, mut number) = (0, 0u32);
    let (mut started_at, mut told_at, mut fall) = (None, None, None::<Fall>);
    let (send_back, back) = mpsc::channel();
    let mut returning: Vec<(usize, Controller)> = Vec::new();
    while began.elapsed() < CALM + END_AFTER {
        let since = Instant::now().saturating_duration_since(down_at);
        if trouble && Instant::now() >= down_at {
            match step {
                0 => {
                    if !is_told {
                        record.add("feed: down");
                        feed.state.lock().unwrap().mode = FeedMode::Down;
                    }
                    step = 1;
                }
                1 if since >= LOST_AFTER => {
                    target.end();
                    step = 2;
                }
                2 if since >= KILLED_AFTER => {
                    if is_killed {
                        record.add(format!("platform: {KILLED} of {CONTROLLERS} controllers are killed"));
                        for place in 0..KILLED {
                            all.extend(clients[place].take());
                            controllers[place] = None;
                        }
                    }
                    step = 3;
                }
                3 if since >= RETURNS_AFTER => {
                    target.start_again()?;
                    started_at = Some((Instant::now(), unix_ms()));
                    step = 4;
                }
                4 if since >= BACK_AFTER => {
                    for place in (0..KILLED).filter(|_| is_killed) {
                        let (send_back, record, name) = (send_back.clone(), record.clone(), names[place + 1].clone());
                        let (invokers, feed, settings) = (invokers.clone(), feed.clone(), settings.clone());
                        spawn(move || {
                            let started = Controller::start(&start_of(&name, &invokers, &feed, &settings), &record);
                            let _ = send_back.send((place, started));
                        });
                    }
                    step = 5;
                }
                5 if since >= LISTED_AFTER => {
                    let listed = feed.tell(target.id, target.port, READY, started_at.map_or(0, |(_, at)| at));
                    record.add("feed: holds the event of the start");
                    told_at = Some(if is_told { listed } else { listed.max(down_at + COUNTS_AS_TOLD) });
                    step = 6;
                }
                6 if since >= DOWN => {
                    record.add("feed: up");
                    feed.state.lock().unwrap().mode = FeedMode::Up;
                    step = 7;
                }
                _ => {}
            }
        }
        while let Ok((place, started)) = back.try_recv() {
            returning.push((place, started?));
        }
        if since >= ASKED_AFTER {
            for (place, controller) in returning.drain(..) {
                controllers[place] = Some(controller);
                clients[place] = connect(&controllers[place]);
            }
        }
        // A controller that is down is not asked: its clients wait.
        let place = number as usize % CONTROLLERS;
        number += 1;
        if clients[place].as_ref().is_some_and(|c| c.is_over.load(SeqCst) || c.open() >= 30) {
            let next = connect(&controllers[place]);
            all.extend(std::mem::replace(&mut clients[place], next));
        }
        let mut drawn = rng.below(1 << 32) as f64 / (1u64 << 32) as f64 * all_shares;
        let chosen = shares.iter().position(|share| { drawn -= share; drawn <= 0.0 }).unwrap_or(0);
        if let Some(client) = &mut clients[place] {
            let txn = format!("{:016x}", 0x1000 + number);
            let ask = Ask { class: CLASS, txn: &txn, limit_ms: LIMIT_MS, function: &functions[chosen], key: None, body: b"x" };
            client.ask_with(&ask, FIGURES);
        }
        if let (None, Some((started, _)), Some(told)) = (&fall, started_at, told_at) {
            fall = find_fall(target, started, told).0;
            if let Some(fall) = &fall {
                record.add_at(fall.at, format!("invoker {}: falls", target.id));
                if std::env::var("STANDS").is_err() {
                    target.end();
                }
            }
        }
        sleep((began + ms(1_000) * number / RATE).saturating_duration_since(Instant::now()));
    }
    let crashed = controllers.iter_mut().flatten().any(Controller::has_ended);
    all.extend(clients.into_iter().flatten());
    let sent: Vec<Sent> = all.iter().flat_map(|c| c.sent.lock().unwrap().values().cloned().collect::<Vec<_>>()).collect();
    let served = sent.iter().filter(|s| s.answers.iter().any(|a| a.1 == 79)).count();
    if let (Some((started, _)), Some(told)) = (started_at, told_at) {
        let (_, most) = find_fall(target, started, told);
        record.say(format!("invoker {}: at most {most:.2} of the limit after its return", target.id));
        if let Some(fall) = &fall {
            record.say(format!(
                "it falls {} ms after its start: {} requests within {} ms, above {:.1}; {} of them came when the start counted as told",
                (fall.at - started).as_millis(), fall.within, WINDOW.as_millis(), fall.above, fall.after_told
            ));
        }
    }
    record.say(format!("{} requests, {served} served", sent.len()));
    if served == 0 {
        return Err("nothing was served".into());
    }
    // Broken if over two thirds came from controllers that had been told.
    Ok(crashed || fall.is_some_and(|fall| 3 * fall.after_told > 2 * fall.within))
}
