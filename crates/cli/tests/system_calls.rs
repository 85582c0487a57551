//! `saltdrum node` as a process whose system calls fail now and then, in the ways that Linux documents, and whose wall clock
//! is stepped. What it has taken it answers all the same.

mod node_peers;
mod preloaded;

use node_peers::{
    LONG, Running, ask_for, configuration, dial, feed, free_address, hear, invoker, saltdrum, write,
};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::process::Stdio;
use std::time::Duration;

const LIMIT_MS: u64 = 7_000;
const CLIENTS: u32 = 20;
const EACH_ASKS: u32 = 15;
const SERVED: u8 = 79;

/// Plays clients that ask and wait, each on a connection of its own, and says how many answers were other than well.
fn asks_of_all(listen: &str, from: u32) -> usize {
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| dial(listen)).collect();
    let mut not_well = 0;
    for n in 0..EACH_ASKS {
        for (c, client) in (0..).zip(&mut clients) {
            let txn = u64::from(from + n * CLIENTS + c);
            client
                .write_all(&ask_for(n + 1, txn, 0x100 + txn % 7, LIMIT_MS))
                .unwrap();
        }
        for client in &mut clients {
            let (kind, stream, payload) = hear(client);
            assert_eq!((kind, stream), (17, n + 1));
            not_well += usize::from(payload[0] != SERVED);
        }
    }
    not_well
}

#[test]
fn whatever_calls_fail_all_that_was_taken_is_answered() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, (feed, asked)) =
        (free_address(), invoker(Duration::from_millis(2)), feed());
    let mut settings = configuration(&listen, &feed, &invoker);
    settings["limits"]["sockets"] = json!(512);
    let config = write(folder.path(), &settings.to_string());
    let mut node = saltdrum(&config);
    node.env("LD_PRELOAD", preloaded::library(folder.path()))
        .env("FAULTS_EVERY", "3");
    // An hour ahead, two back, and where it was.
    node.env("FAULTS_STEPS", "300:3600000,700:-7200000,1100:0");
    let mut running = Running(node.stdout(Stdio::null()).spawn().unwrap());
    assert_eq!(asked.recv_timeout(LONG).unwrap(), 1);
    let began = 1..;
    let rounds = began.step_by((CLIENTS * EACH_ASKS) as usize).take(4);
    let not_well: usize = rounds.map(|from| asks_of_all(&listen, from)).sum();
    assert_eq!(not_well, 0, "no invoker has failed: all could be served");
    running.signal(Signal::TERM);
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
}
