//! Reports to the directory, each second and whenever health changes. It may be slow or away: only this
//! coroutine waits for it.

use super::link::connect;
use crate::clock::channel_timeout;
use crate::close_reason::CloseReason;
use crate::wire::reports;
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

const EVERY: Duration = Duration::from_secs(1);
/// How long an answer is waited for. A report without one may count all the same, so that the next keeps its
/// time, and a change of health does not wait for long.
const WAIT: Duration = Duration::from_millis(300);

/// Reports for ever, where there is health to report. `changed` gets a word whenever that may have changed.
pub fn keep(
    at: impl Fn() -> SocketAddr,
    name: &str,
    healthy: impl Fn() -> Option<bool>,
    changed: &Receiver<()>,
) {
    let (mut stream, mut before) = (None, at());
    let mut failed = false;
    loop {
        let at = at();
        if at != before {
            (stream, before) = (None, at);
        }
        let from = Instant::now();
        let report = healthy().map(|healthy| reports::report(name, &at.to_string(), healthy));
        let told = report.map_or(Ok(()), |report| tell(&at, &mut stream, &report));
        if let Err(ending) = &told {
            stream = None;
            if !failed {
                tracing::warn!(part = "directory", place = %at, "{ending}; reports go on");
            }
        } else if failed {
            tracing::info!(part = "directory", place = %at, "reports arrive again");
        }
        failed = told.is_err();
        let rest_us = EVERY.saturating_sub(from.elapsed()).as_micros() as u64;
        if changed.recv_timeout(channel_timeout(rest_us)) == Err(RecvTimeoutError::Disconnected) {
            return;
        }
        while changed.try_recv().is_ok() {}
    }
}

fn tell(at: &SocketAddr, stream: &mut Option<TcpStream>, report: &[u8]) -> Result<(), CloseReason> {
    // A kept connection may have been closed meanwhile; then a new one is tried at once.
    if let Some(kept) = stream {
        match exchange(kept, report) {
            Ok(true) => return Ok(()),
            Ok(false) => {
                *stream = None;
                return Ok(());
            }
            Err(CloseReason::ClosedByPeer | CloseReason::Broken(_)) => *stream = None,
            Err(ending) => return Err(ending),
        }
    }
    let mut fresh = connect(at, WAIT)?;
    if exchange(&mut fresh, report)? {
        *stream = Some(fresh);
    }
    Ok(())
}

/// Writes a report and reads the answer; says whether the connection may carry another.
fn exchange(stream: &mut TcpStream, report: &[u8]) -> Result<bool, CloseReason> {
    let limit = |stream: &TcpStream| {
        stream.set_read_timeout(Some(WAIT)).and_then(|()| stream.set_write_timeout(Some(WAIT)))
    };
    limit(stream).and_then(|()| stream.write_all(report)).map_err(|err| CloseReason::from_io_error(&err))?;
    let mut input = Vec::new();
    loop {
        let had = input.len();
        input.resize(had + 1024, 0);
        let got = stream.read(&mut input[had..]).map_err(|err| CloseReason::from_io_error(&err))?;
        if got == 0 {
            return Err(CloseReason::ClosedByPeer);
        }
        input.truncate(had + got);
        match reports::read(&input).map_err(CloseReason::Malformed)? {
            Some(answer) if (200..300).contains(&answer.status) => return Ok(answer.keeps),
            Some(answer) => return Err(CloseReason::Malformed(format!("status {}", answer.status))),
            None if input.len() > reports::LONGEST => return Err(CloseReason::MessageTooLong),
            None => {}
        }
    }
}
