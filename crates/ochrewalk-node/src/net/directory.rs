//! Reports the node's health to the directory, each second and whenever the health changes. A directory that is slow
//! or unreachable delays only this coroutine.

use super::buffered_connection::connect;
use crate::clock::channel_timeout;
use crate::close_reason::CloseReason;
use crate::wire::reports;
use may::net::TcpStream;
use may::sync::mpsc::Receiver;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The time limit for a connect, a write and a response. The directory may have processed a report even where its
/// response is late, so the next report is not sent earlier than planned. The short limit keeps the delay of a health
/// change small.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Reports the health whenever it is known, until the senders of `changed` are dropped. A message on `changed` states
/// that the health may have changed.
pub fn report_periodically(
    address: impl Fn() -> SocketAddr,
    name: &str,
    health: impl Fn() -> Option<bool>,
    changed: &Receiver<()>,
) {
    let (mut stream, mut previous) = (None, address());
    let mut has_failed = false;
    loop {
        let at = address();
        if at != previous {
            (stream, previous) = (None, at);
        }
        let from = Instant::now();
        let report = health().map(|is_healthy| reports::report(name, &at.to_string(), is_healthy));
        let sent = report.map_or(Ok(()), |report| send_report(&at, &mut stream, &report));
        if let Err(reason) = &sent {
            stream = None;
            if !has_failed {
                tracing::warn!(part = "directory", place = %at, "report failed: {reason}; reports will continue");
            }
        } else if has_failed {
            tracing::info!(part = "directory", place = %at, "reports succeed again");
        }
        has_failed = sent.is_err();
        let rest_us = REPORT_INTERVAL.saturating_sub(from.elapsed()).as_micros() as u64;
        if changed.recv_timeout(channel_timeout(rest_us)) == Err(RecvTimeoutError::Disconnected) {
            return;
        }
        while changed.try_recv().is_ok() {}
    }
}

fn send_report(at: &SocketAddr, stream: &mut Option<TcpStream>, report: &[u8]) -> Result<(), CloseReason> {
    // The directory may have closed an open connection in the meantime; then a new one is tried at once.
    if let Some(open) = stream {
        match exchange(open, report) {
            Ok(true) => return Ok(()),
            Ok(false) => {
                *stream = None;
                return Ok(());
            }
            Err(CloseReason::ClosedByPeer | CloseReason::Broken(_)) => *stream = None,
            Err(reason) => return Err(reason),
        }
    }
    let mut new = connect(at, TIMEOUT)?;
    if exchange(&mut new, report)? {
        *stream = Some(new);
    }
    Ok(())
}

/// Writes a report and reads the response. Returns whether the connection may carry another report.
fn exchange(stream: &mut TcpStream, report: &[u8]) -> Result<bool, CloseReason> {
    let set_timeouts = |stream: &TcpStream| {
        stream.set_read_timeout(Some(TIMEOUT)).and_then(|()| stream.set_write_timeout(Some(TIMEOUT)))
    };
    set_timeouts(stream)
        .and_then(|()| stream.write_all(report))
        .map_err(|err| CloseReason::from_io_error(&err))?;
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
            Some(response) if (200..300).contains(&response.status) => return Ok(response.is_reusable),
            Some(response) => return Err(CloseReason::Malformed(format!("status {}", response.status))),
            None if input.len() > reports::MAX_RESPONSE_BYTES => return Err(CloseReason::MessageTooLong),
            None => {}
        }
    }
}
