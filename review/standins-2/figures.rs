//! A bad client whose requests state a figure that is out of range.

use crate::peers::*;
use std::thread::sleep;

/// A copy that runs no request at a time.
const BAD_FIGURES: &str = "memory_mb:512;lanes:0;load_ms:900";
const REQUESTS: u64 = 20;

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let functions: Vec<String> = (1..=4).map(|n| format!("{n:016x}")).collect();
    let feed = Feed::start(record);
    let invokers: Vec<Invoker> = (1..=4).map(|id| Invoker::start(id, ms(230), &functions, record)).collect();
    let settings = settings(true, &class("quote-lookup", "safe", 1_200, 5_000));
    let start = Start { name: "n1", invokers: &invokers, feed: &feed, settings: &settings, memory_mb: 192, sockets: 1_024 };
    let mut controller = Controller::start(&start, record)?;
    let mut usual = Client::connect(&controller.listen, record).ok_or("no connection")?;
    // As a bad client may be closed, each of its requests has a connection of its own.
    let mut bad = Vec::new();
    for number in 1..=REQUESTS {
        let function = &functions[number as usize % 4];
        let (usual_txn, bad_txn) = (format!("{number:016x}"), format!("{:016x}", 0xbad0_0000 + number));
        let ask = |txn| Ask { class: "quote-lookup", txn, limit_ms: 4_000, function, key: None, body: b"x" };
        usual.ask(&ask(&usual_txn));
        let mut client = Client::connect(&controller.listen, record).ok_or("no connection")?;
        let figures = if trouble { BAD_FIGURES } else { USUAL_FIGURES };
        client.ask_with(&ask(&bad_txn), figures);
        bad.push(client);
        sleep(ms(200));
    }
    sleep(ms(4_600));
    if controller.has_ended() {
        return Ok(true);
    }
    let served = |clients: &[&Client]| {
        let sent = clients.iter().flat_map(|c| c.sent.lock().unwrap().values().cloned().collect::<Vec<_>>());
        sent.filter(|s| s.answers.iter().any(|a| a.1 == 79)).count()
    };
    let (bad_served, usual_served) = (served(&bad.iter().collect::<Vec<_>>()), served(&[&usual]));
    record.say(format!("{bad_served} of {REQUESTS} requests of the second client were answered 'served', {usual_served} of {REQUESTS} usual ones"));
    if usual_served == 0 {
        return Err("nothing was served".into());
    }
    Ok(trouble && bad_served > 0)
}
