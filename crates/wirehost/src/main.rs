//! saltdrum's decisions on the simulator's wire: frames in, one reply each out, until the input ends.
//!
//! `host` maps event records to calls and actions to records; `codec` holds frames and fields, `records` the events, `actions`
//! the replies.

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
    // A panic inside a controller is reported on the wire; its text on standard error would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("saltdrum-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
