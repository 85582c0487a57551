//! `saltdrum node` as the platform runs it: configuration file, signals and exit codes.

mod node_peers;

use node_peers::{
    ProcessGuard, READ_TIMEOUT, configuration, connect, free_address, node_command, read_frame,
    request_frame, start_feed, start_invoker, write,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[test]
fn invalid_configuration_is_reported_with_its_field() {
    let folder = tempfile::tempdir().unwrap();
    let valid = configuration(&free_address(), "127.0.0.1:1", "127.0.0.1:2");
    let invalid = |change: fn(&mut Value)| {
        let mut config = valid.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "JSON is expected"),
        (
            invalid(|c| c["feed"] = json!("nowhere")),
            "feed: nowhere: ADDRESS:PORT is expected",
        ),
        (
            invalid(|c| c["limits"]["sockets"] = json!(-1)),
            "limits.sockets: -1",
        ),
        (
            invalid(|c| c["settings"]["classes"][0]["effect"] = json!("odd")),
            "classes.0.effect",
        ),
        (
            invalid(|c| c["known"]["events"][0]["members"]["members"][0]["phase"] = json!("odd")),
            "up, draining or removed",
        ),
    ];
    for (text, expected) in cases {
        let output = node_command(&write(folder.path(), &text)).output().unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains(expected), "'{stderr}' for '{expected}'");
    }
    let output = node_command(&write(folder.path(), &valid.to_string()))
        .env("RELAY_LISTEN", "127.0.0.1:1")
        .output();
    assert!(String::from_utf8_lossy(&output.unwrap().stderr).contains("RELAY_LISTEN 127.0.0.1:1"));
}

#[test]
fn reloads_configuration_and_exits_once_all_requests_are_answered() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker) = (free_address(), start_invoker(Duration::from_millis(400)));
    let ((feed_one, requests_one), (feed_two, requests_two)) = (start_feed(), start_feed());
    let config = write(
        folder.path(),
        &configuration(&listen, &feed_one, &invoker).to_string(),
    );
    let mut running = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = connect(&listen);
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
    assert_eq!(read_frame(&mut client), (33, 9, vec![79, 0]));
    assert_eq!(requests_one.recv_timeout(READ_TIMEOUT).unwrap(), 1);

    client.write_all(&request_frame(10, 1)).unwrap();
    assert_eq!(
        read_frame(&mut client),
        (17, 10, [&[79, 0][..], b"done"].concat())
    );

    // A truncated file changes nothing; a complete one moves the feed. Neither affects the invocation in flight.
    client.write_all(&request_frame(11, 2)).unwrap();
    write(folder.path(), "{\"feed\":");
    running.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(50));
    write(
        folder.path(),
        &configuration(&listen, &feed_two, &invoker).to_string(),
    );
    running.signal(Signal::HUP);
    assert_eq!(requests_two.recv_timeout(READ_TIMEOUT).unwrap(), 1);
    assert_eq!(
        read_frame(&mut client),
        (17, 11, [&[79, 0][..], b"done"].concat())
    );

    // Requests in flight at SIGTERM are answered, and so are those that arrive after it.
    client.write_all(&request_frame(12, 3)).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    running.signal(Signal::TERM);
    running.signal(Signal::TERM);
    let mut late = connect(&listen);
    late.write_all(&request_frame(1, 4)).unwrap();
    let mut frames = [read_frame(&mut client), read_frame(&mut client)];
    frames.sort();
    assert_eq!(
        frames,
        [(17, 12, [&[79, 0][..], b"done"].concat()), (48, 0, vec![])]
    );
    assert_eq!(
        read_frame(&mut late),
        (48, 0, vec![]),
        "a later client was not notified"
    );
    assert_eq!(
        read_frame(&mut late),
        (17, 1, [&[79, 0][..], b"done"].concat())
    );
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
}

/// A client that sends requests and never reads the responses.
fn connect_without_reading(listen: &str) -> TcpStream {
    let mut client = connect(listen);
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
    client.write_all(&request_frame(10, 900)).unwrap();
    client
}

#[test]
fn exits_despite_a_client_that_never_reads_and_repeated_signals() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, (feed, _requests)) = (
        free_address(),
        start_invoker(Duration::from_millis(300)),
        start_feed(),
    );
    let config = write(
        folder.path(),
        &configuration(&listen, &feed, &invoker).to_string(),
    );
    let mut running = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    let silent_client = connect_without_reading(&listen);
    let mut client = connect(&listen);
    client.write_all(&request_frame(10, 1)).unwrap();
    assert_eq!(read_frame(&mut client).0, 17);
    // Replaces and reloads the file repeatedly, with SIGTERM in between.
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
    assert_eq!(read_frame(&mut client).0, 48);
    // While it shuts down, readiness is denied, but requests are still served.
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 77]).unwrap();
    assert_eq!(read_frame(&mut client), (33, 77, vec![66, 0]));
    client.write_all(&request_frame(11, 2)).unwrap();
    assert_eq!(
        read_frame(&mut client),
        (17, 11, [&[79, 0][..], b"done"].concat())
    );
    running.signal(Signal::HUP);
    assert_eq!(
        client.read(&mut [0]).unwrap(),
        0,
        "the connection was not closed before the process exited"
    );
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
    drop(silent_client);
}

#[test]
fn restarts_after_a_kill_at_the_same_address_without_earlier_state() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, (feed, requests)) = (
        free_address(),
        start_invoker(Duration::from_millis(400)),
        start_feed(),
    );
    let config = write(
        folder.path(),
        &configuration(&listen, &feed, &invoker).to_string(),
    );
    let mut killed = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = connect(&listen);
    assert_eq!(requests.recv_timeout(READ_TIMEOUT).unwrap(), 1);
    for id in 1..=5 {
        client.write_all(&request_frame(id, u64::from(id))).unwrap();
    }
    client.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 99]).unwrap();
    assert_eq!(
        read_frame(&mut client).0,
        33,
        "the requests were not accepted"
    );
    killed.signal(Signal::KILL);
    killed.0.wait().unwrap();
    let _restarted = ProcessGuard(node_command(&config).stdout(Stdio::null()).spawn().unwrap());
    let mut client = connect(&listen);
    assert_eq!(
        requests.recv_timeout(READ_TIMEOUT).unwrap(),
        1,
        "the feed is not resumed from the configured number"
    );
    // The same ids again, while the invokers still answer those of the previous process.
    for id in 1..=5 {
        client.write_all(&request_frame(id, u64::from(id))).unwrap();
    }
    let mut frames: Vec<_> = (0..5).map(|_| read_frame(&mut client)).collect();
    frames.sort();
    let expected: Vec<_> = (1..=5)
        .map(|n| (17, n, [&[79, 0][..], b"done"].concat()))
        .collect();
    assert_eq!(frames, expected);
}

/// Guards against a reload that reads a partly written file and never the rest, for which no second signal comes.
#[test]
fn configuration_still_being_written_at_sighup_is_read_once_complete() {
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker) = (free_address(), start_invoker(Duration::ZERO));
    let ((feed_one, requests_one), (feed_two, requests_two)) = (start_feed(), start_feed());
    let text = configuration(&listen, &feed_two, &invoker).to_string();
    let config = write(
        folder.path(),
        &configuration(&listen, &feed_one, &invoker).to_string(),
    );
    let mut running = ProcessGuard(
        node_command(&config)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    assert_eq!(requests_one.recv_timeout(READ_TIMEOUT).unwrap(), 1);
    write(folder.path(), &text[..text.len() / 2]);
    running.signal(Signal::HUP);
    // Waits for the report on the truncated file before it writes the rest.
    let mut log = std::io::BufReader::new(running.0.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("configuration reload failed") {
        line.clear();
        assert!(
            std::io::BufRead::read_line(&mut log, &mut line).unwrap() > 0,
            "the process exited"
        );
    }
    write(folder.path(), &text);
    assert_eq!(requests_two.recv_timeout(READ_TIMEOUT).unwrap(), 1);
}

/// Guards against idle clients that exhaust the descriptors: a connection closed to make room kept its descriptor while its
/// last frame was pending, so that clients exceeded their share and the recovered feed could not be connected.
#[test]
fn idle_clients_leave_descriptors_for_the_feed_and_invokers() {
    const LIMIT: usize = 64;
    /// Reserved for the feed, an invoker, a file and a connection that is only accepted.
    const SPARE: usize = 4;
    let folder = tempfile::tempdir().unwrap();
    let (listen, invoker, feed_at) = (
        free_address(),
        start_invoker(Duration::from_millis(5)),
        free_address(),
    );
    let mut settings = configuration(&listen, &feed_at, &invoker);
    settings["limits"]["sockets"] = json!(LIMIT);
    let config = write(folder.path(), &settings.to_string());
    let node = node_command(&config);
    let mut limited = Command::new("sh");
    limited.args([
        "-c",
        &format!("ulimit -n {LIMIT}; exec \"$0\" node"),
        env!("CARGO_BIN_EXE_saltdrum"),
    ]);
    limited
        .envs(node.get_envs().filter_map(|(k, v)| Some((k, v?))))
        .env_remove("RELAY_LISTEN");
    let running = ProcessGuard(
        limited
            .env_remove("RELAY_NAME")
            .stdout(Stdio::null())
            .spawn()
            .unwrap(),
    );
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", running.0.id()))
            .unwrap()
            .count()
    };
    // It is ready although the feed is unreachable from the start.
    let mut first = connect(&listen);
    first.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
    assert_eq!(read_frame(&mut first), (33, 9, vec![79, 0]));

    let (mut crowd, mut most) = (Vec::new(), 0);
    let mut connect_idle = |crowd: &mut Vec<TcpStream>| {
        let mut idle = connect(&listen);
        idle.write_all(&[0, 0, 0, 5, 32, 0, 0, 0, 9]).unwrap();
        // Whether accepted or refused, the client stays connected and reads nothing more.
        let _ = idle.read(&mut [0; 11]);
        crowd.push(idle);
        most = most.max(open_descriptors());
    };
    (0..200).for_each(|_| connect_idle(&mut crowd));
    // The feed recovers while idle clients keep connecting.
    let feed_listener = TcpListener::bind(&feed_at).unwrap();
    feed_listener.set_nonblocking(true).unwrap();
    let is_connected = (0..2_000).any(|_| {
        connect_idle(&mut crowd);
        crowd.drain(..1);
        std::thread::sleep(Duration::from_millis(2));
        feed_listener.accept().is_ok()
    });
    assert!(
        is_connected,
        "the feed was never connected; {most} descriptors at most"
    );
    let mut client = connect(&listen);
    client.write_all(&request_frame(10, 1)).unwrap();
    assert_eq!(
        read_frame(&mut client),
        (17, 10, [&[79, 0][..], b"done"].concat())
    );
    assert!(most <= LIMIT - SPARE, "{most} of {LIMIT} descriptors");
}

/// Guards against test clients that lose their first requests: the search for a free address listened there, and a process that
/// another test started at that moment kept the listener until it executed its program.
#[test]
fn nobody_listens_at_a_free_address_while_processes_start() {
    static IS_ENDING: AtomicBool = AtomicBool::new(false);
    let starts_processes = std::thread::spawn(|| {
        while !IS_ENDING.load(Ordering::Relaxed) {
            let mut process = Command::new("true").spawn().unwrap();
            process.wait().unwrap();
        }
    });
    let is_connected = |_: &usize| TcpStream::connect(free_address()).is_ok();
    let connected = (0..5_000).filter(is_connected).count();
    IS_ENDING.store(true, Ordering::Relaxed);
    starts_processes.join().unwrap();
    assert_eq!(connected, 0, "of 5000 free addresses");
}
