//! Compatibility of the adapter's wire: the adapter process is fed one event of every code, and the whole exchange is
//! compared byte for byte with a stored transcript.
//!
//! `settings.txt` is written by hand; `transcript.txt` holds each frame sent (`> hex`) and each reply (`< hex`) and is
//! rewritten only when `SALTDRUM_WRITE_FIXTURES` is set.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

fn fixture_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file)
}

fn read_fixture(file: &str) -> String {
    let path = fixture_path(file);
    std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("fixture {}: {error}", path.display()))
}

/// Compares with the stored fixture, or stores it when `SALTDRUM_WRITE_FIXTURES` is set.
fn check_fixture(file: &str, actual: &str) {
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        std::fs::write(fixture_path(file), actual).expect("the fixture is writable");
    }
    let stored = read_fixture(file);
    for (number, (stored, actual)) in stored.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, stored, "{file}, line {}", number + 1);
    }
    assert_eq!(
        actual, stored,
        "{file}: the number of lines or the last line break differs"
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

const INSTANCE: u32 = 0x0102_0304;
const SEED: u64 = 0x1112_1314_1516_1718;

/// Codes of the events that the adapter reads.
mod event_code {
    pub(crate) const CLOSED: u8 = 1;
    pub(crate) const WOKEN: u8 = 2;
    pub(crate) const LEFT: u8 = 3;
    pub(crate) const LISTED: u8 = 4;
    pub(crate) const FROM_PEER: u8 = 5;
    pub(crate) const ESTABLISHED: u8 = 6;
    pub(crate) const ANSWERED: u8 = 7;
    pub(crate) const PROBED: u8 = 8;
    pub(crate) const INVOKED: u8 = 9;
    pub(crate) const HELD: u8 = 10;
    pub(crate) const STARTED: u8 = 11;
}

/// Codes of the ends of dispatches and orders.
mod result_code {
    pub(crate) const SUCCEEDED: u8 = 0;
    pub(crate) const MISS: u8 = 1;
    pub(crate) const NOT_SENT: u8 = 249;
    pub(crate) const CANCELLED: u8 = 250;
    pub(crate) const RESET: u8 = 251;
    pub(crate) const NO_CONNECTION: u8 = 252;
    pub(crate) const TIMED_OUT: u8 = 253;
    pub(crate) const FULL: u8 = 254;
    pub(crate) const ERRORED: u8 = 255;
    pub(crate) const ALL: [u8; 9] = [
        SUCCEEDED,
        MISS,
        NOT_SENT,
        CANCELLED,
        RESET,
        NO_CONNECTION,
        TIMED_OUT,
        FULL,
        ERRORED,
    ];
}

fn event(code: u8, fields: &[&[u8]]) -> Vec<u8> {
    [&[code], &INSTANCE.to_le_bytes()[..], &fields.concat()].concat()
}

fn started(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    event(
        event_code::STARTED,
        &[&SEED.to_le_bytes(), &length, settings.as_bytes()],
    )
}

/// One line of the list of invokers.
struct Entry {
    invoker: u32,
    lifecycle: u8,
    started_ms: f64,
}

const GONE: u8 = 0;
const READY: u8 = 1;
const DRAINING: u8 = 2;

fn listed(form: u8, entries: &[Entry]) -> Vec<u8> {
    let mut fields = vec![form];
    fields.extend(0x2122_2324_u32.to_le_bytes());
    fields.extend((entries.len() as u32).to_le_bytes());
    for Entry {
        invoker,
        lifecycle,
        started_ms,
    } in entries
    {
        fields.extend(invoker.to_le_bytes());
        fields.push(0);
        fields.extend(1_u16.to_le_bytes());
        fields.extend(0x0304_u16.to_le_bytes());
        fields.push(*lifecycle);
        fields.extend(1.5_f32.to_le_bytes());
        fields.extend(started_ms.to_le_bytes());
    }
    event(event_code::LISTED, &[&fields])
}

fn invoked(invocation: u32, class: u16, function: u64, clock_ms: f64) -> Vec<u8> {
    let has_hint = invocation.is_multiple_of(2);
    event(
        event_code::INVOKED,
        &[
            &invocation.to_le_bytes(),
            &class.to_le_bytes(),
            &1_u32.to_le_bytes(),
            &function.to_le_bytes(),
            &(clock_ms + 2_900.0).to_le_bytes(),
            &12.5_f64.to_le_bytes(),
            &384.0_f32.to_le_bytes(),
            &2.0_f32.to_le_bytes(),
            &900.0_f32.to_le_bytes(),
            &[u8::from(has_hint)],
        ],
    )
}

/// A dispatch that is out, as the simulator knows it.
#[derive(Clone, Copy)]
struct Dispatch {
    invoker: u32,
    hop: u8,
}

fn answered(invocation: u32, dispatch: Dispatch, result: u8, remark: u8) -> Vec<u8> {
    let finished = u8::from(result == result_code::SUCCEEDED);
    event(
        event_code::ANSWERED,
        &[
            &invocation.to_le_bytes(),
            &dispatch.invoker.to_le_bytes(),
            &[finished, remark, dispatch.hop, result],
            &18.25_f64.to_le_bytes(),
            &[2],
            &3.0_f32.to_le_bytes(),
            &0.625_f32.to_le_bytes(),
        ],
    )
}

fn held(function: u64, invoker: u32, result: u8) -> Vec<u8> {
    let standing = u8::from(result == result_code::SUCCEEDED);
    event(
        event_code::HELD,
        &[
            &640.5_f64.to_le_bytes(),
            &[standing, result],
            &function.to_le_bytes(),
            &invoker.to_le_bytes(),
        ],
    )
}

/// An action of the controller, as the adapter writes it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Dispatch { invocation: u32, invoker: u32 },
    Throttle { invocation: u32 },
    Error { invocation: u32 },
    Cancel { invocation: u32, hop: u8 },
    Wake { at_ms: f64, token: u64 },
    Hold { function: u64, invoker: u32 },
    Unload { invoker: u32, function: u64 },
}

/// Takes the leading bytes off `rest`.
fn take<const LENGTH: usize>(rest: &mut &[u8]) -> [u8; LENGTH] {
    let (head, tail) = rest.split_first_chunk().expect("a whole record");
    *rest = tail;
    *head
}

fn read_action(rest: &mut &[u8]) -> (u8, Action) {
    let [code] = take(rest);
    assert_eq!(u32::from_le_bytes(take(rest)), INSTANCE);
    let action = match code {
        1 => {
            let invocation = u32::from_le_bytes(take(rest));
            let invoker = u32::from_le_bytes(take(rest));
            take::<8>(rest);
            Action::Dispatch {
                invocation,
                invoker,
            }
        }
        2 => {
            let invocation = u32::from_le_bytes(take(rest));
            take::<8>(rest);
            Action::Throttle { invocation }
        }
        3 => Action::Error {
            invocation: u32::from_le_bytes(take(rest)),
        },
        4 => {
            let invocation = u32::from_le_bytes(take(rest));
            let [hop] = take(rest);
            Action::Cancel { invocation, hop }
        }
        5 => {
            let at_ms = f64::from_le_bytes(take(rest));
            Action::Wake {
                at_ms,
                token: u64::from_le_bytes(take(rest)),
            }
        }
        13 => {
            let function = u64::from_le_bytes(take(rest));
            let [_count] = take(rest);
            Action::Hold {
                function,
                invoker: u32::from_le_bytes(take(rest)),
            }
        }
        14 => {
            let invoker = u32::from_le_bytes(take(rest));
            Action::Unload {
                invoker,
                function: u64::from_le_bytes(take(rest)),
            }
        }
        other => panic!("action code {other}: not one of a sound controller"),
    };
    (code, action)
}

/// Plays the simulator towards the adapter process and keeps the transcript.
struct Simulator {
    process: Child,
    input: ChildStdin,
    output: ChildStdout,
    transcript: String,
    clock_ms: f64,
    wakes: BTreeMap<u64, f64>,
    dispatches: BTreeMap<u32, Dispatch>,
    holds: Vec<(u64, u32)>,
    codes_seen: BTreeSet<u8>,
}

impl Simulator {
    fn start() -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_saltdrum-wirehost"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = process.stdin.take().expect("piped");
        let output = process.stdout.take().expect("piped");
        Self {
            process,
            input,
            output,
            transcript: String::new(),
            clock_ms: 1_000.25,
            wakes: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            holds: Vec::new(),
            codes_seen: BTreeSet::new(),
        }
    }

    fn send(&mut self, events: &[Vec<u8>]) {
        let body = events.concat();
        let mut frame = (events.len() as u32).to_le_bytes().to_vec();
        frame.extend((16 + body.len() as u32).to_le_bytes());
        frame.extend(self.clock_ms.to_le_bytes());
        frame.extend(body);
        writeln!(self.transcript, "> {}", hex(&frame)).unwrap();
        self.input.write_all(&frame).expect("the adapter reads");
        self.input.flush().expect("the adapter reads");
    }

    /// Sends one frame of events and gives the actions of the reply.
    fn exchange(&mut self, events: &[Vec<u8>]) -> Vec<Action> {
        self.send(events);
        let mut reply = vec![0; 8];
        self.output.read_exact(&mut reply).expect("a reply");
        let records = u32::from_le_bytes(reply[..4].try_into().unwrap());
        let length = u32::from_le_bytes(reply[4..].try_into().unwrap());
        reply.resize(length as usize, 0);
        self.output
            .read_exact(&mut reply[8..])
            .expect("a whole reply");
        writeln!(self.transcript, "< {}", hex(&reply)).unwrap();

        let mut rest = &reply[8..];
        let mut actions = Vec::new();
        for _ in 0..records {
            let (code, action) = read_action(&mut rest);
            self.codes_seen.insert(code);
            self.note(action);
            actions.push(action);
        }
        assert!(rest.is_empty(), "bytes after the last record");
        actions
    }

    fn note(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                invocation,
                invoker,
            } => {
                let hop = self
                    .dispatches
                    .get(&invocation)
                    .map_or(0, |before| before.hop + 1);
                self.dispatches
                    .insert(invocation, Dispatch { invoker, hop });
            }
            Action::Throttle { invocation } | Action::Error { invocation } => {
                self.dispatches.remove(&invocation);
            }
            Action::Wake { at_ms, token } => {
                self.wakes.insert(token, at_ms);
            }
            Action::Hold { function, invoker } => self.holds.push((function, invoker)),
            Action::Cancel { .. } | Action::Unload { .. } => {}
        }
    }

    /// Moves the clock on and delivers the timers that are due.
    fn advance(&mut self, by_ms: f64) -> Vec<Action> {
        self.clock_ms += by_ms;
        let clock_ms = self.clock_ms;
        let due: Vec<u64> = self
            .wakes
            .iter()
            .filter(|(_, at_ms)| **at_ms <= clock_ms)
            .map(|(token, _)| *token)
            .collect();
        due.iter().for_each(|token| {
            self.wakes.remove(token);
        });
        let woken: Vec<Vec<u8>> = due
            .iter()
            .map(|token| event(event_code::WOKEN, &[&token.to_le_bytes()]))
            .collect();
        self.exchange(&woken)
    }

    fn invoke(&mut self, invocation: u32, class: u16, function: u64) -> Vec<Action> {
        let event = invoked(invocation, class, function, self.clock_ms);
        self.exchange(&[event])
    }

    fn answer(&mut self, invocation: u32, result: u8, remark: u8) -> Vec<Action> {
        let dispatch = self.dispatches[&invocation];
        if result == result_code::SUCCEEDED {
            self.dispatches.remove(&invocation);
        }
        self.exchange(&[answered(invocation, dispatch, result, remark)])
    }

    fn answer_all(&mut self) {
        while let Some(invocation) = self.dispatches.keys().next().copied() {
            self.answer(invocation, result_code::SUCCEEDED, 1);
        }
    }

    fn answer_holds(&mut self, result: u8) {
        let orders = std::mem::take(&mut self.holds);
        let events: Vec<Vec<u8>> = orders
            .iter()
            .map(|(function, invoker)| held(*function, *invoker, result))
            .collect();
        self.exchange(&events);
    }

    fn finish(self) -> (std::process::ExitStatus, String, String) {
        drop(self.input);
        let output = self.process.wait_with_output().expect("the adapter ends");
        (
            output.status,
            String::from_utf8(output.stderr).unwrap(),
            self.transcript,
        )
    }
}

const FIRST: u32 = 0x3132_3334;
const SECOND: u32 = 0x4142_4344;
const LOOKED_UP: u64 = 0x5152_5354_5556_5758;

fn ready(invoker: u32) -> Entry {
    Entry {
        invoker,
        lifecycle: READY,
        started_ms: 0.0,
    }
}

fn two_ready() -> Vec<u8> {
    let draining = Entry {
        invoker: 3,
        lifecycle: DRAINING,
        started_ms: 500.5,
    };
    let gone = Entry {
        invoker: 4,
        lifecycle: GONE,
        started_ms: 0.0,
    };
    listed(0, &[ready(FIRST), ready(SECOND), draining, gone])
}

/// Answers one dispatch with every result code, with every remark on how the function was found.
fn play_results(simulator: &mut Simulator) {
    for (index, result) in result_code::ALL.into_iter().enumerate() {
        let invocation = 100 + index as u32;
        // Long enough that no invoker is avoided any more for the result before.
        (0..5).for_each(|_| drop(simulator.advance(1_000.0)));
        let actions = simulator.invoke(invocation, 0, LOOKED_UP);
        assert!(
            matches!(actions[..], [Action::Dispatch { .. }, ..]),
            "{result}: {actions:?}"
        );
        let (found, crowd) = (index as u8 % 5, index as u8);
        simulator.answer(invocation, result, found + 8 * crowd);
        simulator.answer_all();
    }
}

/// Events that the adapter reads past, and a client that leaves.
fn play_other_events(simulator: &mut Simulator) {
    simulator.invoke(200, 1, LOOKED_UP);
    let left = event(event_code::LEFT, &[&200_u32.to_le_bytes()]);
    let octets = event(
        event_code::FROM_PEER,
        &[&9_u32.to_le_bytes(), &[3, 0], b"abc"],
    );
    let established = event(event_code::ESTABLISHED, &[&[7; 17]]);
    let probed = event(
        event_code::PROBED,
        &[
            &1.5_f64.to_le_bytes(),
            &FIRST.to_le_bytes(),
            &[0, 1],
            &0.5_f32.to_le_bytes(),
        ],
    );
    assert_eq!(
        simulator.exchange(&[left, octets, established, probed, listed(2, &[])]),
        []
    );
    simulator.answer(200, result_code::CANCELLED, 0);
    simulator.dispatches.clear();
}

/// Answers orders with every result code while functions are asked for that have no copies.
fn play_holds(simulator: &mut Simulator) {
    for (index, result) in result_code::ALL.into_iter().enumerate() {
        simulator.invoke(300 + index as u32, 0, 1_000 + index as u64);
        simulator.answer_all();
        while simulator.holds.is_empty() {
            simulator.advance(100.0);
        }
        simulator.answer_holds(result);
    }
}

/// Leaves a dispatch without an answer until the controller cancels it.
fn play_silence(simulator: &mut Simulator) {
    simulator.invoke(400, 0, LOOKED_UP);
    let cancelled = |action: &Action| {
        *action
            == Action::Cancel {
                invocation: 400,
                hop: 0,
            }
    };
    let mut steps = 0;
    while !simulator.advance(100.0).iter().any(cancelled) {
        steps += 1;
        assert!(steps < 28, "no cancel before the client gives up");
    }
    simulator.answer(400, result_code::CANCELLED, 0);
    simulator.answer_all();
}

/// Ends invocations with an error and with advice to come back.
fn play_final_answers(simulator: &mut Simulator) {
    simulator.invoke(500, 2, LOOKED_UP);
    let actions = simulator.answer(500, result_code::RESET, 0);
    assert_eq!(actions, [Action::Error { invocation: 500 }]);

    let draining = |invoker| Entry {
        invoker,
        lifecycle: DRAINING,
        started_ms: 0.0,
    };
    simulator.exchange(&[listed(1, &[draining(FIRST), draining(SECOND)])]);
    let mut actions = simulator.invoke(501, 2, LOOKED_UP);
    while !actions.contains(&Action::Throttle { invocation: 501 }) {
        assert!(simulator.clock_ms < 60_000.0, "no final answer");
        actions = simulator.advance(100.0);
    }
}

/// Lets a copy stand unused until another function needs a load on the same invoker.
fn play_unload(simulator: &mut Simulator) {
    simulator.exchange(&[listed(3, &[ready(FIRST)])]);
    let (unused, wanted) = (2_000, 2_001);
    simulator.invoke(600, 0, unused);
    simulator.answer_all();
    let mut seconds = 0;
    while !simulator.holds.contains(&(unused, FIRST)) {
        assert!(seconds < 25, "no order that renews the copy");
        // Orders that are out count against those that may be given.
        simulator.answer_holds(result_code::SUCCEEDED);
        simulator.advance(1_000.0);
        seconds += 1;
    }
    for _ in 0..40 {
        simulator.answer_holds(result_code::SUCCEEDED);
        simulator.advance(1_000.0);
    }
    let actions = simulator.invoke(601, 0, wanted);
    let unload = Action::Unload {
        invoker: FIRST,
        function: unused,
    };
    assert!(actions.contains(&unload), "{actions:?}");
    simulator.answer_all();
}

#[test]
fn the_exchange_with_the_simulator_keeps_its_bytes() {
    let mut simulator = Simulator::start();
    let actions = simulator.exchange(&[started(&read_fixture("settings.txt")), two_ready()]);
    assert!(
        actions
            .iter()
            .all(|action| matches!(action, Action::Wake { .. })),
        "{actions:?}"
    );
    play_results(&mut simulator);
    play_other_events(&mut simulator);
    play_holds(&mut simulator);
    play_silence(&mut simulator);
    play_final_answers(&mut simulator);
    play_unload(&mut simulator);
    assert_eq!(simulator.exchange(&[event(event_code::CLOSED, &[])]), []);
    let all_codes = BTreeSet::from([1, 2, 3, 4, 5, 13, 14]);
    assert_eq!(
        simulator.codes_seen, all_codes,
        "codes of actions in the transcript"
    );

    let (status, errors, transcript) = simulator.finish();
    assert!(status.success(), "{errors}");
    check_fixture("transcript.txt", &transcript);
}

#[test]
fn a_closed_instance_and_an_unknown_event_end_the_process() {
    let settings = read_fixture("settings.txt");
    let closed = event(event_code::CLOSED, &[]);
    let left = event(event_code::LEFT, &[&1_u32.to_le_bytes()]);
    let cases = [
        (
            vec![started(&settings), closed, left],
            format!("unknown instance {INSTANCE}"),
        ),
        (
            vec![started(&settings), event(12, &[])],
            "unknown event code 12".into(),
        ),
    ];
    for (events, expected) in cases {
        let mut simulator = Simulator::start();
        simulator.send(&events);
        let (status, errors, _) = simulator.finish();
        assert_eq!(status.code(), Some(1));
        assert!(errors.contains(&expected), "{errors}");
    }
}
