//! Speaks the simulator's wire on standard input and output, in front of one admission controller for each server. It
//! decides nothing: what it reads becomes calls on a controller, and what that asks for becomes lines.

#![warn(missing_docs)]

mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut servers = wire::Servers::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) if line.trim_ascii().is_empty() => continue,
            Ok(_) => {}
            Err(err) => {
                eprintln!("cannot read standard input: {err}");
                return ExitCode::FAILURE;
            }
        }
        match servers.batch(&line) {
            Ok(reply) => {
                if let Err(err) = output.write_all(reply.as_bytes()).and_then(|()| output.flush()) {
                    eprintln!("cannot write standard output: {err}");
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    }
}
