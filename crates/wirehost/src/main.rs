//! saltdrum's decisions on the simulator's wire: frames in, one reply each out, until the input ends.

mod codec;
mod host;

use codec::Fault;
use std::io::{Write, stdin, stdout};
use std::process::ExitCode;

fn serve() -> Result<(), Fault> {
    let (mut input, mut output) = (stdin().lock(), stdout().lock());
    let mut host = host::Host::default();
    let mut frame = Vec::new();
    let mut n = 0u64;
    while codec::read_frame(&mut input, &mut frame).map_err(|e| format!("frame {n}: {e}"))? {
        let reply = host.frame(&frame).map_err(|e| format!("frame {n}: {e}"))?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| codec::io_text(&e))?;
        n += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic inside a controller is told on the wire; its text on standard error would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("saltdrum-wirehost: {fault}");
            ExitCode::FAILURE
        }
    }
}
