//! Parsers and encoders for the four text protocols that the node speaks. The functions work on byte slices
//! alone and touch neither a socket nor a clock.

pub mod calls;
pub mod jsonrpc;
pub mod notices;
pub mod reports;

/// Returns the first complete line of `input` without its line ending, and the number of bytes that the line
/// takes together with the ending.
///
/// A line may end in LF or CR LF. Returns `None` until the line ending has been received.
pub fn line(input: &[u8]) -> Option<(&[u8], usize)> {
    let end = input.iter().position(|b| *b == b'\n')?;
    let line = &input[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
}
