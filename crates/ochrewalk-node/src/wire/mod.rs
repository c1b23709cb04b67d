//! The four protocols as bytes: what is read is taken apart, what is written is put together. Nothing here
//! touches a socket or a clock.

pub mod calls;
pub mod jsonrpc;
pub mod notices;
pub mod reports;

/// The first whole line of what was read, without its end, and how many bytes it takes.
///
/// A line may end in LF or CR LF; what has no end yet is no line.
pub fn line(input: &[u8]) -> Option<(&[u8], usize)> {
    let end = input.iter().position(|b| *b == b'\n')?;
    let line = &input[..end];
    Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1))
}
