//! Connects the simulator to admission controllers, one for each simulated server, over the simulator's protocol on
//! standard input and output. The adapter makes no decision: each event that it reads becomes a call on a controller,
//! and each action that the controller requests becomes part of an output line.

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
