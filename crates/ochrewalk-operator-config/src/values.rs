//! Parses single arguments of directives; each error carries a suggestion.

use crate::diagnostic::{line_error, LineError};
use crate::units;
use ochrewalk_ajp::packet::{DEFAULT_PACKET_BYTES, MAX_PACKET_BYTES};
use std::path::PathBuf;

/// The longest path of a socket, in bytes. The operating system allows 107 bytes; the rest is reserved for the longer
/// name of the temporary file under which the socket is created.
const MAX_SOCKET_PATH: usize = 90;

/// HTTP methods that an intermediary may retry automatically (RFC 9110, section 9.2.2).
const IDEMPOTENT_HTTP_METHODS: [&str; 5] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/// The suggestion for a route whose pattern is invalid.
pub(crate) const PATTERN_SUGGESTION: &str = "write a path such as /items/{}/price or /stock/*";

/// Checks that a word is a valid HTTP method.
pub(crate) fn check_http_method(word: &str) -> Result<(), LineError> {
    if word.is_empty() || !word.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
        return line_error(format!("{word} is no HTTP method"), "write one in capitals, such as POST");
    }
    Ok(())
}

/// Rejects a route from an idempotent HTTP method to a method that must not run twice, as intermediaries may retry the
/// request.
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

/// Parses the weight of an endpoint.
pub(crate) fn weight(word: &str) -> Result<f64, LineError> {
    let weight = word.parse::<f64>().ok().filter(|weight| (0.01..=1_000.0).contains(weight));
    weight.ok_or_else(|| LineError::new(format!("{word} is no weight"), "write a number from 0.01 to 1000"))
}

/// Parses a share from 0 to 1.
pub(crate) fn share(word: &str) -> Result<f64, LineError> {
    let share = word.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
    share
        .ok_or_else(|| LineError::new(format!("{word} is not a share"), "write one from 0 to 1, such as 0.1"))
}

/// Parses an absolute path.
pub(crate) fn absolute_path(word: &str) -> Result<PathBuf, LineError> {
    if !word.starts_with('/') {
        return line_error(format!("{word} is not an absolute path"), "write one that begins with '/'");
    }
    Ok(PathBuf::from(word))
}

/// Parses the absolute path of a Unix socket.
pub(crate) fn socket_path(word: &str) -> Result<PathBuf, LineError> {
    if word.starts_with('/') && word.len() <= MAX_SOCKET_PATH {
        return Ok(PathBuf::from(word));
    }
    line_error(
        format!("{word} is not a path for a socket"),
        format!("write an absolute one of {MAX_SOCKET_PATH} bytes at most"),
    )
}

/// Parses the path of a URI, without a query.
pub(crate) fn uri_path(word: &str) -> Result<String, LineError> {
    if word.starts_with('/') && word.bytes().all(|b| b.is_ascii_graphic() && b != b'?') {
        return Ok(word.to_string());
    }
    line_error(format!("{word} is not a path"), "write one that begins with '/' and has no '?'")
}

/// Parses the size of an AJP packet with its header, in bytes.
pub(crate) fn packet_bytes(word: &str) -> Result<usize, LineError> {
    let sizes = DEFAULT_PACKET_BYTES as u64..=MAX_PACKET_BYTES as u64;
    match units::bytes(word).filter(|bytes| sizes.contains(bytes)) {
        Some(bytes) => Ok(bytes as usize),
        None => line_error(format!("{word} is not a packet size"), "write one from 8k to 64k"),
    }
}

/// Parses a whole number from `min` to `max`.
pub(crate) fn whole_number(word: &str, min: usize, max: usize) -> Result<usize, LineError> {
    match word.parse::<usize>().ok().filter(|number| (min..=max).contains(number)) {
        Some(number) => Ok(number),
        None => {
            line_error(format!("{word} is out of range"), format!("write a whole number from {min} to {max}"))
        }
    }
}

/// Parses a time with its unit, from `min_us` to `max_us`, and returns it in microseconds.
pub(crate) fn time_us(word: &str, min_us: u64, max_us: u64) -> Result<u64, LineError> {
    let range = format!("from {} to {}", units::format_time(min_us), units::format_time(max_us));
    if word.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return line_error(format!("{word} has no unit"), format!("write {word}ms or {word}s, {range}"));
    }
    match units::time_us(word) {
        None => {
            line_error(format!("{word} is not a time"), "write a number and us, ms, s, m or h, such as 500ms")
        }
        Some(us) if !(min_us..=max_us).contains(&us) => {
            line_error(format!("{word} is out of range"), format!("write a time {range}"))
        }
        Some(us) => Ok(us),
    }
}
