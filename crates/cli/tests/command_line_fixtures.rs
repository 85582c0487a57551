//! Command lines that were accepted when the fixtures were written are still accepted.
//!
//! `commands.txt` holds the command lines of the documentation. `interface.json` holds, for each
//! path of subcommands, its flags, its positional arguments and the defaults that its help shows.
//! No command is run for this: each command line ends with a flag that does not exist, so the
//! parser refuses it, and has to refuse that flag alone. A name that was given up stays accepted as
//! an alias, shown in the help or not.

#![cfg(feature = "whole")]

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;
mod node_peers;

use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::process::{Command, Output};

const COMMANDS: &str = "commands.txt";
const INTERFACE: &str = "interface.json";
const WORDS: &str = "words.json";
/// Accepted everywhere; what stands before a flag is looked at when the flag is met, and not
/// before.
const GLOBAL_FLAG: &str = "--log-json";
/// Last on each command line that is only to be parsed.
const UNKNOWN_FLAG: &str = "--no-such-flag-xyz";
/// Values of each type that an argument can have; the first that is accepted is stored.
const SAMPLE_VALUES: [&str; 4] = ["word", "0.5", "3", "invoker-1"];
/// Flags that the help does not show, by their subcommands.
const HIDDEN_FLAGS: [(&str, &str); 8] = [
    ("serve", "--baseline"),
    ("standin invoker", "--acts-before-seals"),
    ("standin journal", "--fault"),
    ("steward", "--gives-leases-away"),
    ("lab hunt", "--plant"),
    ("scale controller", "--here"),
    ("scale members", "--here"),
    ("scale node", "--here"),
];

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Flag {
    name: String,
    /// None: it takes no value.
    value: Option<String>,
    repeatable: bool,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Positional {
    /// As the help shows it, with brackets where it is optional and dots where it is repeatable.
    name: String,
    value: String,
}

/// What is accepted after a path of subcommands.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Subcommand {
    flags: Vec<Flag>,
    positionals: Vec<Positional>,
    required_flags: Vec<String>,
    /// Values in brackets after descriptions, as `default: 1`, sorted.
    notes: Vec<String>,
}

/// By path, words joined by blanks; the program itself has an empty one.
type Interface = BTreeMap<String, Subcommand>;

fn saltdrum() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_saltdrum"));
    for variable in ["SALTDRUM_LOG", "RELAY_CONFIG", "RELAY_LISTEN", "RELAY_NAME"] {
        command.env_remove(variable);
    }
    command
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// An error if the parser refuses anything before the flag that does not exist.
fn parses(words: &[String]) -> Result<(), String> {
    let given = words.iter().any(|word| word == GLOBAL_FLAG);
    let last = if given {
        &[UNKNOWN_FLAG][..]
    } else {
        &[GLOBAL_FLAG, UNKNOWN_FLAG][..]
    };
    let output = saltdrum().args(words).args(last).output().unwrap();
    let said = error_text(&output);
    let expected = format!("error: unexpected argument '{UNKNOWN_FLAG}' found");
    if output.status.code() == Some(2) && said.starts_with(&expected) {
        return Ok(());
    }
    Err(format!(
        "{}: {:?}: {said}",
        words.join(" "),
        output.status.code()
    ))
}

fn words_of(path: &str) -> Vec<String> {
    path.split_whitespace().map(str::to_owned).collect()
}

/// Splits a command line at blanks that are not between quotes.
fn split_command_line(line: &str) -> Vec<String> {
    let (mut words, mut word, mut quote) = (Vec::new(), None::<String>, None);
    for character in line.chars() {
        match (character, quote) {
            (_, Some(open)) if character == open => quote = None,
            ('\'' | '"', None) => {
                quote = Some(character);
                word.get_or_insert_default();
            }
            (' ', None) => words.extend(word.take()),
            _ => word.get_or_insert_default().push(character),
        }
    }
    assert_eq!(quote, None, "{line}");
    words.extend(word);
    words
}

/// Command lines without the program's name.
fn documented_command_lines() -> Vec<Vec<String>> {
    let text = String::from_utf8(fixture_file::read(COMMANDS)).unwrap();
    let lines = text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    let command = |line: &str| {
        let mut words = split_command_line(line);
        assert_eq!(words.remove(0), "saltdrum");
        words
    };
    lines.map(command).collect()
}

/// The help of a path of subcommands, which exists.
fn help(path: &str) -> String {
    let output = saltdrum()
        .args(words_of(path))
        .arg("--help")
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{path} --help: {}",
        error_text(&output)
    );
    String::from_utf8(output.stdout).unwrap()
}

/// Lines of a section of a help, without those that carry on a description.
fn section<'a>(help: &'a str, title: &str) -> impl Iterator<Item = &'a str> {
    let lines = help.lines().skip_while(move |line| *line != title).skip(1);
    lines.take_while(|line| line.is_empty() || line.starts_with(' '))
}

/// The long flags that a help shows, without those for help and version.
fn shown_flags(help: &str) -> Vec<String> {
    let word = |line: &str| {
        let flag = line.trim_start().strip_prefix("--")?;
        let end = flag
            .find(|c: char| !c.is_ascii_alphanumeric() && c != '-')
            .unwrap_or(flag.len());
        Some(format!("--{}", &flag[..end]))
    };
    section(help, "Options:").filter_map(word).collect()
}

fn shown_subcommands(help: &str) -> Vec<String> {
    let lines = section(help, "Commands:");
    let words = lines.filter(|line| line.starts_with("  ") && !line.starts_with("   "));
    let words = words.filter_map(|line| line.split_whitespace().next());
    words
        .filter(|word| *word != "help")
        .map(str::to_owned)
        .collect()
}

/// Commands whose present name, which their line on usage shows, is another than the one that is typed as an alias.
const RENAMED_COMMANDS: [(&str, &str); 1] = [("steward", "coordinator")];

/// Whether a word of the line on usage is this subcommand, by its present name.
fn is_subcommand(word: &str, typed: &str) -> bool {
    let renamed = RENAMED_COMMANDS.iter().find(|(alias, _)| *alias == typed);
    word == renamed.map_or(typed, |(_, present)| *present)
}

/// Required flags and positional arguments by the line on usage.
fn usage(path: &str, help: &str) -> (Vec<String>, Vec<String>) {
    let line = help
        .lines()
        .find(|line| line.starts_with("Usage: "))
        .unwrap();
    let path = words_of(path);
    let mut subcommands = path.iter().peekable();
    let after_program = line.split_whitespace().skip(2);
    let arguments = after_program.filter(|word| {
        let is_next = |next: &&String| is_subcommand(word, next);
        subcommands.next_if(is_next).is_none()
    });
    let (mut required, mut positionals) = (Vec::new(), Vec::new());
    let mut is_value = false;
    for word in arguments.filter(|word| *word != "[OPTIONS]" && *word != "<COMMAND>") {
        if word.starts_with("--") {
            required.push(word.to_owned());
        } else if !is_value {
            positionals.push(word.to_owned());
        }
        is_value = word.starts_with("--");
    }
    (required, positionals)
}

/// Texts in brackets that end a description, such as defaults and possible values.
fn notes(help: &str) -> Vec<String> {
    let text = help.replace('\n', " ");
    let starts = ["[default: ", "[possible values: ", "[aliases: "];
    let found = starts.iter().flat_map(|start| text.match_indices(start));
    let note = |(at, _): (usize, &str)| {
        let end = text[at..].find(']').unwrap();
        text[at + 1..at + end].to_owned()
    };
    let mut notes: Vec<String> = found.map(note).collect();
    notes.sort();
    notes
}

/// The first sample value with which this parses, after `words`.
fn accepted_value(words: &[String]) -> String {
    let with = |value: &str| [words, &[value.to_owned()]].concat();
    let sample = SAMPLE_VALUES
        .iter()
        .find(|value| parses(&with(value)).is_ok());
    sample
        .unwrap_or_else(|| panic!("{}: no value is accepted", words.join(" ")))
        .to_string()
}

fn probed_flag(path: &str, name: String) -> Flag {
    let alone = [words_of(path), vec![name.clone()]].concat();
    let value = parses(&alone).is_err().then(|| accepted_value(&alone));
    let once = [vec![name.clone()], value.clone().into_iter().collect()].concat();
    let twice = [words_of(path), once.clone(), once].concat();
    Flag {
        name,
        value,
        repeatable: parses(&twice).is_ok(),
    }
}

fn probed_subcommand(path: &str) -> Subcommand {
    let help = help(path);
    let hidden = HIDDEN_FLAGS.iter().filter(|(at, _)| *at == path);
    let names = shown_flags(&help)
        .into_iter()
        .chain(hidden.map(|(_, name)| name.to_string()));
    let (required_flags, shown_positionals) = usage(path, &help);
    let mut words = words_of(path);
    let mut positionals = Vec::new();
    for name in shown_positionals {
        let value = accepted_value(&words);
        words.push(value.clone());
        positionals.push(Positional { name, value });
    }
    let flags = names.map(|name| probed_flag(path, name)).collect();
    Subcommand {
        flags,
        positionals,
        required_flags,
        notes: notes(&help),
    }
}

fn probe(path: &str, interface: &mut Interface) {
    for word in shown_subcommands(&help(path)) {
        probe(format!("{path} {word}").trim(), interface);
    }
    interface.insert(path.to_owned(), probed_subcommand(path));
}

/// What is stored; it is asked of the program anew where fixtures are to be written.
fn stored_interface() -> Interface {
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        let mut interface = Interface::new();
        probe("", &mut interface);
        let text = serde_json::to_string_pretty(&interface).unwrap() + "\n";
        fixture_file::assert_equals(INTERFACE, text.as_bytes());
    }
    serde_json::from_slice(&fixture_file::read(INTERFACE)).unwrap()
}

#[test]
fn documented_command_lines_are_accepted() {
    for words in documented_command_lines() {
        parses(&words).unwrap();
    }
}

/// The path of subcommands that a command line names, and its other words.
fn split_path<'a>(words: &'a [String], interface: &Interface) -> (String, Vec<&'a str>) {
    let (mut path, mut others) = (String::new(), Vec::new());
    for word in words {
        let longer = format!("{path} {word}").trim().to_owned();
        if interface.contains_key(&longer) {
            path = longer;
        } else {
            others.push(word.as_str());
        }
    }
    (path, others)
}

/// Flags of a path and of those before it.
fn flags_on_the_way<'a>(path: &str, interface: &'a Interface) -> Vec<&'a Flag> {
    let before =
        |known: &str| known.is_empty() || path == known || path.starts_with(&format!("{known} "));
    interface
        .iter()
        .filter(|(known, _)| before(known))
        .flat_map(|(_, known)| &known.flags)
        .collect()
}

/// Parsing stops at the flag that does not exist, before anything is missed: so this is looked at
/// by the stored interface.
#[test]
fn documented_command_lines_miss_nothing_that_is_required() {
    let interface = stored_interface();
    for words in documented_command_lines() {
        let (path, others) = split_path(&words, &interface);
        let flags = flags_on_the_way(&path, &interface);
        let (mut given, mut positionals) = (BTreeSet::new(), 0);
        let mut left = others.into_iter();
        while let Some(word) = left.next() {
            if !word.starts_with("--") {
                positionals += 1;
                continue;
            }
            let flag = flags.iter().find(|flag| flag.name == word).expect(word);
            given.insert(word);
            if flag.value.is_some() {
                left.next().expect(word);
            }
        }
        let subcommand = &interface[&path];
        let needed = subcommand
            .positionals
            .iter()
            .filter(|one| one.name.starts_with('<'))
            .count();
        assert!(positionals >= needed, "{words:?}");
        let missing = subcommand
            .required_flags
            .iter()
            .find(|name| !given.contains(name.as_str()));
        assert_eq!(missing, None, "{words:?}");
    }
}

#[test]
fn each_flag_and_positional_argument_is_accepted() {
    let interface = stored_interface();
    assert!(
        interface.len() > 50,
        "{} paths are too few",
        interface.len()
    );
    for (path, subcommand) in &interface {
        let mut words = words_of(path);
        for flag in &subcommand.flags {
            let once = [
                vec![flag.name.clone()],
                flag.value.clone().into_iter().collect(),
            ]
            .concat();
            words.extend(once.clone());
            if flag.repeatable {
                words.extend(once);
            }
        }
        for positional in &subcommand.positionals {
            let times = if positional.name.ends_with("...") {
                2
            } else {
                1
            };
            words.extend(std::iter::repeat_n(positional.value.clone(), times));
        }
        parses(&words).unwrap();
    }
}

#[test]
fn positional_arguments_are_named_the_same_and_no_more_is_required() {
    for (path, subcommand) in stored_interface() {
        let (required, positionals) = usage(&path, &help(&path));
        let stored: Vec<String> = subcommand
            .positionals
            .into_iter()
            .map(|positional| positional.name)
            .collect();
        assert_eq!(positionals, stored, "{path}");
        assert_eq!(
            required.len(),
            subcommand.required_flags.len(),
            "{path}: {required:?}"
        );
    }
}

#[test]
fn defaults_and_possible_values_are_the_same() {
    for (path, subcommand) in stored_interface() {
        let mut shown = notes(&help(&path));
        // A name that was given up may be shown as an alias of the new one.
        shown.retain(|note| !note.starts_with("aliases: "));
        assert_eq!(shown, subcommand.notes, "{path}");
    }
}

#[test]
fn what_is_not_accepted_is_told_apart() {
    for (line, expected) in [
        (
            "no-such-command",
            "unrecognized subcommand 'no-such-command'",
        ),
        (
            "fleet no-such-command",
            "unrecognized subcommand 'no-such-command'",
        ),
        (
            "play --no-such-flag",
            "unexpected argument '--no-such-flag' found",
        ),
        (
            "play bad-day another",
            "unexpected argument 'another' found",
        ),
        ("play --virtual=3", "unexpected value '3' for '--virtual'"),
        ("serve site.star --list", "a value is required for '--list"),
        (
            "serve site.star --first word",
            "invalid value 'word' for '--first",
        ),
        (
            "serve site.star --first 1 --first 2",
            "cannot be used multiple times",
        ),
    ] {
        let fault = parses(&words_of(line)).unwrap_err();
        assert!(
            fault.contains(expected),
            "{fault}\n  instead of\n{expected}"
        );
    }
}

/// The names that an error lists after `marker`.
fn listed_names(arguments: &str, marker: &str) -> BTreeSet<String> {
    let output = saltdrum().args(words_of(arguments)).output().unwrap();
    let said = error_text(&output);
    assert_eq!(output.status.code(), Some(2), "{arguments}: {said}");
    let (_, names) = said
        .split_once(marker)
        .unwrap_or_else(|| panic!("{arguments}: {said}"));
    let names = names.trim_end().trim_end_matches(" is expected");
    names.split(", ").map(str::to_owned).collect()
}

#[test]
fn names_of_days_trials_and_planted_faults_are_known() {
    let known = json!({
        "days": listed_names("play nothing", "a script.star or one of "),
        "trials": listed_names("trial nothing", "a script.star or one of "),
        "planted": listed_names("lab hunt bad-day --plant nothing", "--plant nothing: one of "),
    });
    if std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some() {
        let text = serde_json::to_string_pretty(&known).unwrap() + "\n";
        fixture_file::assert_equals(WORDS, text.as_bytes());
    }
    let stored: Json = serde_json::from_slice(&fixture_file::read(WORDS)).unwrap();
    for (kind, names) in stored.as_object().unwrap() {
        for name in names.as_array().unwrap() {
            assert!(
                known[kind].as_array().unwrap().contains(name),
                "{kind}: {name}"
            );
        }
    }
}

#[test]
fn the_variables_of_node_are_read() {
    let folder = tempfile::tempdir().unwrap();
    let refused = |command: &mut Command, expected: &str| {
        let output = command.output().unwrap();
        let said = error_text(&output);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(expected), "{said}\n  instead of\n{expected}");
    };
    refused(saltdrum().arg("node"), "saltdrum: RELAY_CONFIG: ");
    let missing = folder.path().join("no-such-file.json");
    refused(
        saltdrum().arg("node").env("RELAY_CONFIG", &missing),
        "no-such-file.json",
    );
    let (listen, feed, invoker) = (node_peers::free_address(), "127.0.0.1:1", "127.0.0.1:2");
    let config = node_peers::configuration(&listen, feed, invoker).to_string();
    let config = node_peers::write(folder.path(), &config);
    let node = |variable: &str, value: &str| {
        let mut command = saltdrum();
        command
            .arg("node")
            .env("RELAY_CONFIG", &config)
            .env(variable, value);
        command
    };
    refused(
        &mut node("RELAY_LISTEN", "127.0.0.1:1"),
        "RELAY_LISTEN 127.0.0.1:1",
    );
    refused(
        &mut node("RELAY_NAME", "another-name"),
        "RELAY_NAME another-name",
    );
}

const SHORT_DAY: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.3, cold_time = "4s",
    tip_factor = 2, tip_window = "1s")
machine("big", memory = "42GB", cores = 4)
invokers(kind = "big", count = 1)
trigger_type("narrate", objective = "1s", client_timeout = "4s")
tenant("hill", quota_per_s = 90)
function("voice", trigger = "narrate", memory = "1GB", lanes = 8, load_time = "200ms")
day("short", length = "1s", seed = 4)
traffic(tenant = "hill", functions = ["voice"], per_second = 10, work = "60ms")
"#;

#[test]
fn the_log_is_filtered_by_its_variable_and_written_as_json_where_asked_for() {
    let folder = tempfile::tempdir().unwrap();
    let day = folder.path().join("short.star");
    std::fs::write(&day, SHORT_DAY).unwrap();
    let log = |filter: &str, flags: &[&str]| {
        let mut command = saltdrum();
        command.arg("play").arg(&day).arg("--virtual").args(flags);
        let output = command.env("SALTDRUM_LOG", filter).output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{}", error_text(&output));
        error_text(&output)
    };
    assert_eq!(log("off", &[]), "");
    let (info, debug) = (log("info", &[]), log("debug", &[]));
    assert!(
        info.contains(" INFO ") && !info.contains(" DEBUG "),
        "{info}"
    );
    assert!(
        debug.contains(" INFO ") && debug.contains(" DEBUG "),
        "{debug}"
    );
    let lines: Vec<Json> = log("info", &["--log-json"])
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert!(
        lines
            .iter()
            .all(|line| line["level"] == "INFO" && line["fields"].is_object())
    );
}
