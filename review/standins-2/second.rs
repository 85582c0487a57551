//! Some good answers come a second time, some milliseconds after the first.

use crate::peers::*;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::sleep;
use std::time::Instant;

const RATE: u32 = 300;
const CONNECTIONS: usize = 40;
const SECONDS: u32 = 20;
/// Of 100 good answers, how many come twice.
const TWICE_OF_100: u64 = 5;

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let classes = [("quote-lookup", "safe", 1_200, 5_000), ("order-hold", "keyed", 1_000, 5_000), ("invoice-issue", "unsafe", 2_000, 6_000)];
    let functions: Vec<String> = (1..=24).map(|n| format!("{n:016x}")).collect();
    let feed = Feed::start(record);
    let invokers: Vec<Invoker> = (1..=12).map(|id| Invoker::start(id, ms(230), &functions, record)).collect();
    let stated: Vec<String> = classes.iter().map(|(name, effect, aim, limit)| class(name, effect, *aim, *limit)).collect();
    let settings = settings(true, &stated.join(","));
    let start = Start { name: "n1", invokers: &invokers, feed: &feed, settings: &settings, memory_mb: 192, sockets: 1_024 };
    let mut controller = Controller::start(&start, record)?;
    if trouble {
        record.add(format!("invokers: {TWICE_OF_100} of 100 good answers are written a second time, 5 ms after the first"));
        invokers.iter().for_each(|invoker| invoker.state.lock().unwrap().twice_of_100 = TWICE_OF_100);
    }
    let mut clients: Vec<Client> = (0..CONNECTIONS).filter_map(|_| Client::connect(&controller.listen, record)).collect();
    let (mut all, began, mut rng) = (Vec::new(), Instant::now(), Rng(11));
    for number in 0..RATE * SECONDS {
        let place = number as usize % CONNECTIONS;
        if clients[place].is_over.load(SeqCst) || clients[place].open() >= 30 {
            if let Some(client) = Client::connect(&controller.listen, record) {
                all.push(std::mem::replace(&mut clients[place], client));
            }
        }
        // Of 100 requests of the deployment, 60 are of the first class, 23 of the second, the rest of the third.
        let kind = match rng.below(100) { 0..60 => 0, 60..83 => 1, _ => 2 };
        let (name, _, _, limit_ms) = classes[kind];
        let (txn, key) = (format!("{:016x}", number + 1), format!("{:032x}", number + 1));
        let function = &functions[kind * 8 + rng.below(8) as usize];
        let key = (kind == 1).then_some(key.as_str());
        clients[place].ask(&Ask { class: name, txn: &txn, limit_ms, function, key, body: b"usual" });
        if controller.has_ended() {
            return Ok(true);
        }
        sleep((began + ms(1_000) * (number + 1) / RATE).saturating_duration_since(Instant::now()));
    }
    sleep(ms(6_600));
    all.extend(clients);
    let sent: Vec<Sent> = all.iter().flat_map(|c| c.sent.lock().unwrap().values().cloned().collect::<Vec<_>>()).collect();
    let (mut served, mut foreign) = (0, 0);
    for request in &sent {
        for (at, code, body) in &request.answers {
            served += u32::from(*code == 79);
            if *code == 79 && *body != made_body(&request.txn) {
                foreign += 1;
                let got = String::from_utf8_lossy(body).into_owned();
                record.add_at(*at, format!("client: FOREIGN, the answer to {} was {got:?}", request.txn));
            }
        }
    }
    record.say(format!("{} requests, {served} answered 'served', {foreign} of them with what was made for another request", sent.len()));
    if served == 0 {
        return Err("nothing was served".into());
    }
    Ok(foreign > 0)
}
