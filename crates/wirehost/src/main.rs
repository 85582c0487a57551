//! Runs the dispatch policy behind the simulator's binary wire: reads frames from standard input and writes one reply for
//! each to standard output, until the input ends.
//!
//! `host` maps event records to policy calls, `codec` reads and writes frames and fields, `records` decodes events and
//! `actions` encodes the replies.

mod actions;
mod codec;
mod error;
mod host;
mod records;

use error::WireError;
use std::io::{Write, stdin, stdout};
use std::process::ExitCode;

fn serve() -> Result<(), WireError> {
    let (mut input, mut output) = (stdin().lock(), stdout().lock());
    let mut host = host::Host::default();
    let mut frame = Vec::new();
    let mut number = 0;
    let in_frame = |number, error| WireError::Frame {
        number,
        error: Box::new(error),
    };
    while codec::read_frame(&mut input, &mut frame).map_err(|error| in_frame(number, error))? {
        let reply = host
            .frame(&frame)
            .map_err(|error| in_frame(number, error))?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|error| WireError::Write(error.to_string()))?;
        number += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic inside a controller is reported on the wire, so the default message on standard error is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("saltdrum-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
