//! `saltdrum node` as the platform runs it: a process, its file, its signals, its exit codes.

mod node_peers;

use node_peers::{
    LONG, Running, ask, configuration, dial, feed, free_address, hear, invoker, saltdrum, write,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::Duration;

#[test]
fn a_bad_file_ends_it_with_a_line_that_names_the_field() {
    let folder = tempfile::tempdir().unwrap();
    let good = configuration(&free_address(), "127.0.0.1:1", "127.0.0.1:2");
    let bad = |change: fn(&mut Value)| {
        let mut config = good.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "JSON is expected"),
        (
            bad(|c| c["feed"] = json!("nowhere")),
            "feed: nowhere: ADDRESS:PORT is expected",
        ),
        (
            bad(|c| c["limits"]["sockets"] = json!(-1)),
            "limits.sockets: -1",
        ),
        (
            bad(|c| c["settings"]["classes"][0]["effect"] = json!("odd")),
            "classes.0.effect",
        ),
        (
            bad(|c| c["known"]["events"][0]["members"]["members"][0]["phase"] = json!("odd")),
            "up, draining or removed",
        ),
    ];
    for (text, expected) in cases {
        let done = saltdrum(&write(folder.path(), &text)).output().unwrap();
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "'{said}' for '{expected}'");
    }
    let done = saltdrum(&write(folder.path(), &good.to_string()))
        .env("RELAY_LISTEN", "127.0.0.1:1")
        .output();
    assert!(String::from_utf8_lossy(&done.unwrap().stderr).contains("RELAY_LISTEN 127.0.0.1:1"));
}

#[test]
fn it_serves_reads_its_file_again_and_ends_when_all_is_answered() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker) = (free_address(), invoker(Duration::from_millis(400)));
    let ((feed_one, asked_one), (feed_two, asked_two)) = (feed(), feed());
    let config = write(
        folder.path(),
        &configuration(&listen, &feed_one, &invoker).to_string(),
    );
    let mut running = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = dial(&listen);
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
    assert_eq!(hear(&mut client), (33, 9, vec![79, 0]));
    assert_eq!(asked_one.recv_timeout(LONG).unwrap(), 1);

    client.write_all(&ask(10, 1)).unwrap();
    assert_eq!(
        hear(&mut client),
        (17, 10, [&[79, 0][..], b"done"].concat())
    );

    // Half a file changes nothing; a whole one moves the feed. An invocation under way is not harmed by either.
    client.write_all(&ask(11, 2)).unwrap();
    write(folder.path(), "{\"feed\":");
    running.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(50));
    write(
        folder.path(),
        &configuration(&listen, &feed_two, &invoker).to_string(),
    );
    running.signal(Signal::HUP);
    assert_eq!(asked_two.recv_timeout(LONG).unwrap(), 1);
    assert_eq!(
        hear(&mut client),
        (17, 11, [&[79, 0][..], b"done"].concat())
    );

    // What is under way at SIGTERM is answered, and what still comes after it.
    client.write_all(&ask(12, 3)).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    running.signal(Signal::TERM);
    running.signal(Signal::TERM);
    let mut late = dial(&listen);
    late.write_all(&ask(1, 4)).unwrap();
    let mut heard = [hear(&mut client), hear(&mut client)];
    heard.sort();
    assert_eq!(
        heard,
        [(17, 12, [&[79, 0][..], b"done"].concat()), (48, 0, vec![])]
    );
    assert_eq!(
        hear(&mut late),
        (48, 0, vec![]),
        "who came later hears it too"
    );
    assert_eq!(hear(&mut late), (17, 1, [&[79, 0][..], b"done"].concat()));
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
}

/// A reader that stands by: what it holds back is read when the test says so, never before.
fn asked_and_never_read(listen: &str) -> TcpStream {
    let mut never = dial(listen);
    never.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
    never.write_all(&ask(10, 900)).unwrap();
    never
}

#[test]
fn it_ends_with_a_client_that_never_reads_and_signals_of_all_kinds_meanwhile() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, (feed, _asked)) =
        (free_address(), invoker(Duration::from_millis(300)), feed());
    let config = write(
        folder.path(),
        &configuration(&listen, &feed, &invoker).to_string(),
    );
    let mut running = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    let never = asked_and_never_read(&listen);
    let mut client = dial(&listen);
    client.write_all(&ask(10, 1)).unwrap();
    assert_eq!(hear(&mut client).0, 17);
    // A file that is replaced and asked for again and again, with the order to end among it.
    for round in 0..20 {
        let text = if round % 2 == 0 {
            "{".to_owned()
        } else {
            configuration(&listen, &feed, &invoker).to_string()
        };
        write(folder.path(), &text);
        running.signal(Signal::HUP);
        if round == 10 {
            running.signal(Signal::TERM);
        }
    }
    running.signal(Signal::TERM);
    assert_eq!(hear(&mut client).0, 48);
    // Readiness asked while ending is answered no; what comes is still served.
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 77]).unwrap();
    assert_eq!(hear(&mut client), (33, 77, vec![66, 0]));
    client.write_all(&ask(11, 2)).unwrap();
    assert_eq!(
        hear(&mut client),
        (17, 11, [&[79, 0][..], b"done"].concat())
    );
    running.signal(Signal::HUP);
    assert_eq!(
        client.read(&mut [0]).unwrap(),
        0,
        "the connection ends before the process does"
    );
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
    drop(never);
}

#[test]
fn a_killed_one_starts_again_at_once_at_its_address_and_knows_nothing_of_before() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, (feed, asked)) =
        (free_address(), invoker(Duration::from_millis(400)), feed());
    let config = write(
        folder.path(),
        &configuration(&listen, &feed, &invoker).to_string(),
    );
    let mut killed = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = dial(&listen);
    assert_eq!(asked.recv_timeout(LONG).unwrap(), 1);
    for n in 1..=5 {
        client.write_all(&ask(n, u64::from(n))).unwrap();
    }
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 99]).unwrap();
    assert_eq!(hear(&mut client).0, 33, "all are taken");
    killed.signal(Signal::KILL);
    killed.0.wait().unwrap();
    let _again = Running(saltdrum(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = dial(&listen);
    assert_eq!(
        asked.recv_timeout(LONG).unwrap(),
        1,
        "numbers of the feed go on from its file"
    );
    // The same ids again, while the invokers still answer those of the life before.
    for n in 1..=5 {
        client.write_all(&ask(n, u64::from(n))).unwrap();
    }
    let mut heard: Vec<_> = (0..5).map(|_| hear(&mut client)).collect();
    heard.sort();
    let expected: Vec<_> = (1..=5)
        .map(|n| (17, n, [&[79, 0][..], b"done"].concat()))
        .collect();
    assert_eq!(heard, expected);
}

/// Found by reading: half a file was read, and the rest of it, for which no second signal comes, never.
#[test]
fn a_file_that_is_still_being_written_at_the_signal_is_read_when_it_is_whole() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker) = (free_address(), invoker(Duration::ZERO));
    let ((feed_one, asked_one), (feed_two, asked_two)) = (feed(), feed());
    let text = configuration(&listen, &feed_two, &invoker).to_string();
    let config = write(
        folder.path(),
        &configuration(&listen, &feed_one, &invoker).to_string(),
    );
    let mut running = Running(
        saltdrum(&config)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    assert_eq!(asked_one.recv_timeout(LONG).unwrap(), 1);
    write(folder.path(), &text[..text.len() / 2]);
    running.signal(Signal::HUP);
    // It has said that the half is bad before the rest is written.
    let mut said = std::io::BufReader::new(running.0.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("configuration reload failed") {
        line.clear();
        assert!(
            std::io::BufRead::read_line(&mut said, &mut line).unwrap() > 0,
            "it ended"
        );
    }
    write(folder.path(), &text);
    assert_eq!(asked_two.recv_timeout(LONG).unwrap(), 1);
}

/// Found by reading: each that was asked to make room for another held its descriptor for its last words, so that a crowd of
/// idle clients grew past its part, took the last descriptor, and the feed that came back could not be dialled.
#[test]
fn a_crowd_of_idle_clients_leaves_descriptors_for_the_feed_and_for_invokers() {
    const LIMIT: usize = 64;
    /// For the feed, an invoker, a file and one that is only accepted.
    const SPARE: usize = 4;
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, feed_at) = (
        free_address(),
        invoker(Duration::from_millis(5)),
        free_address(),
    );
    let mut settings = configuration(&listen, &feed_at, &invoker);
    settings["limits"]["sockets"] = json!(LIMIT);
    let config = write(folder.path(), &settings.to_string());
    let node = saltdrum(&config);
    let mut limited = Command::new("sh");
    limited.args([
        "-c",
        &format!("ulimit -n {LIMIT}; exec \"$0\" node"),
        env!("CARGO_BIN_EXE_saltdrum"),
    ]);
    limited
        .envs(node.get_envs().filter_map(|(k, v)| Some((k, v?))))
        .env_remove("RELAY_LISTEN");
    let running = Running(
        limited
            .env_remove("RELAY_NAME")
            .stdout(Stdio::null())
            .spawn()
            .unwrap(),
    );
    let open = || {
        std::fs::read_dir(format!("/proc/{}/fd", running.0.id()))
            .unwrap()
            .count()
    };
    // Discovery is down from the start: it is ready all the same.
    let mut first = dial(&listen);
    first.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
    assert_eq!(hear(&mut first), (33, 9, vec![79, 0]));

    let (mut crowd, mut most) = (Vec::new(), 0);
    let mut come = |crowd: &mut Vec<TcpStream>| {
        let mut idle = dial(&listen);
        idle.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
        // It is in, or was turned away; and it stays, and reads nothing more.
        let _ = idle.read(&mut [0; 11]);
        crowd.push(idle);
        most = most.max(open());
    };
    (0..200).for_each(|_| come(&mut crowd));
    // It is back, and the crowd still comes.
    let door = TcpListener::bind(&feed_at).unwrap();
    door.set_nonblocking(true).unwrap();
    let asked = (0..2_000).any(|_| {
        come(&mut crowd);
        crowd.drain(..1);
        std::thread::sleep(Duration::from_millis(2));
        door.accept().is_ok()
    });
    assert!(
        asked,
        "the feed was never dialled; {most} descriptors at the most"
    );
    let mut client = dial(&listen);
    client.write_all(&ask(10, 1)).unwrap();
    assert_eq!(
        hear(&mut client),
        (17, 10, [&[79, 0][..], b"done"].concat())
    );
    assert!(most <= LIMIT - SPARE, "{most} of {LIMIT} descriptors");
}
