//! Single arguments of directives, each checked with a message that says what would be right.

use crate::diagnostic::{line_error, LineError};
use crate::units;
use ochrewalk_ajp::packet::{LARGEST_PACKET, USUAL_PACKET};
use std::path::PathBuf;

/// The system's bound on a socket's path is 107 bytes; some remain for a name beside it while it is made.
const MAX_SOCKET_PATH: usize = 90;

/// HTTP methods that an intermediary may send again of its own accord (RFC 9110, 9.2.2).
const IDEMPOTENT_HTTP_METHODS: [&str; 5] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/// What is right where a route's pattern is not.
pub(crate) const PATTERN_SUGGESTION: &str = "write a path such as /items/{}/price or /stock/*";

/// Checks that a word can be an HTTP method.
pub(crate) fn check_http_method(word: &str) -> Result<(), LineError> {
    if word.is_empty() || !word.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
        return line_error(format!("{word} is no HTTP method"), "write one in capitals, such as POST");
    }
    Ok(())
}

/// Guards a method that must not run twice against intermediaries, which may repeat idempotent HTTP methods.
pub(crate) fn check_route_repeatable(
    http_method: &str,
    method: &str,
    is_idempotent: bool,
) -> Result<(), LineError> {
    if is_idempotent || !IDEMPOTENT_HTTP_METHODS.contains(&http_method) {
        return Ok(());
    }
    line_error(
        format!("{method} may not happen twice, and {http_method} may be sent again by anybody between"),
        "route it for POST",
    )
}

/// The weight of an endpoint.
pub(crate) fn weight(word: &str) -> Result<f64, LineError> {
    let weight = word.parse::<f64>().ok().filter(|weight| (0.01..=1_000.0).contains(weight));
    weight.ok_or_else(|| LineError::new(format!("{word} is no weight"), "write a number from 0.01 to 1000"))
}

/// A share from 0 to 1.
pub(crate) fn share(word: &str) -> Result<f64, LineError> {
    let share = word.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| LineError::new(format!("{word} is no share"), "write one from 0 to 1, such as 0.1"))
}

/// A path from the root.
pub(crate) fn absolute_path(word: &str) -> Result<PathBuf, LineError> {
    if !word.starts_with('/') {
        return line_error(format!("{word} is no absolute path"), "write one that begins with '/'");
    }
    Ok(PathBuf::from(word))
}

/// The path of a Unix socket.
pub(crate) fn socket_path(word: &str) -> Result<PathBuf, LineError> {
    if word.starts_with('/') && word.len() <= MAX_SOCKET_PATH {
        return Ok(PathBuf::from(word));
    }
    line_error(
        format!("{word} is no path for a socket"),
        format!("write an absolute one of {MAX_SOCKET_PATH} bytes at most"),
    )
}

/// The path of a URI, without a query.
pub(crate) fn uri_path(word: &str) -> Result<String, LineError> {
    if word.starts_with('/') && word.bytes().all(|b| b.is_ascii_graphic() && b != b'?') {
        return Ok(word.to_string());
    }
    line_error(format!("{word} is no path"), "write one that begins with '/' and has no '?'")
}

/// The size of an AJP packet with its header, in bytes.
pub(crate) fn packet_bytes(word: &str) -> Result<usize, LineError> {
    let sizes = USUAL_PACKET as u64..=LARGEST_PACKET as u64;
    match units::bytes(word).filter(|bytes| sizes.contains(bytes)) {
        Some(bytes) => Ok(bytes as usize),
        None => line_error(format!("{word} is no packet size"), "write one from 8k to 64k"),
    }
}

/// A whole number from `min` to `max`.
pub(crate) fn whole_number(word: &str, min: usize, max: usize) -> Result<usize, LineError> {
    match word.parse::<usize>().ok().filter(|number| (min..=max).contains(number)) {
        Some(number) => Ok(number),
        None => {
            line_error(format!("{word} is out of range"), format!("write a whole number from {min} to {max}"))
        }
    }
}

/// A time with its unit, in microseconds, from `min_us` to `max_us`.
pub(crate) fn time_us(word: &str, min_us: u64, max_us: u64) -> Result<u64, LineError> {
    let range = format!("from {} to {}", units::show_time(min_us), units::show_time(max_us));
    if word.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return line_error(format!("{word} has no unit"), format!("write {word}ms or {word}s, {range}"));
    }
    match units::time_us(word) {
        None => {
            line_error(format!("{word} is no time"), "write a number and us, ms, s, m or h, such as 500ms")
        }
        Some(us) if !(min_us..=max_us).contains(&us) => {
            line_error(format!("{word} is out of range"), format!("write a time {range}"))
        }
        Some(us) => Ok(us),
    }
}
