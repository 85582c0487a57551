//! Runs one case of the review: `day CASE RECORD`. Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not
//! run. `TROUBLE=0` leaves out the disruption.

mod cold;
mod memory;
#[allow(dead_code)]
mod peers;
mod second;

use std::process::ExitCode;

/// No case runs longer than this.
const LIMIT: std::time::Duration = std::time::Duration::from_secs(115);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("day CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = peers::Record::new();
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        peers::kill_controllers();
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "cold" => cold::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "second" => second::run(&record, trouble),
        "spoilt" => memory::run_spoilt(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match result {
        Ok(broken) => u8::from(broken),
        Err(why) => {
            record.say(format!("could not run: {why}"));
            2
        }
    };
    record.say(["the rule held", "the rule was broken", "the case could not run"][usize::from(code)]);
    record.save(path);
    ExitCode::from(code)
}
