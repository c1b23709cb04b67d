//! Parses quantities with their units. A quantity without a unit is an error, so that a time in milliseconds is never
//! read as seconds.

/// Parses a time and returns it in microseconds: `500ms`, `2s`, `1.5s`, `3m`, `1h`.
pub fn time_us(text: &str) -> Option<u64> {
    quantity(text, &[("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 60e6), ("h", 3_600e6)])
}

/// Parses a size and returns it in bytes: `512b`, `8k`, `1m`.
pub fn bytes(text: &str) -> Option<u64> {
    quantity(text, &[("b", 1.0), ("k", 1_024.0), ("m", 1_048_576.0)])
}

fn quantity(text: &str, units: &[(&str, f64)]) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    let value = number.parse::<f64>().ok()? * factor;
    (value <= 1e15).then_some(value.round() as u64)
}

/// Formats a time in the largest unit of which it is a whole number.
pub fn format_time(us: u64) -> String {
    match us {
        _ if us >= 60_000_000 && us.is_multiple_of(60_000_000) => format!("{}m", us / 60_000_000),
        _ if us >= 1_000_000 && us.is_multiple_of(1_000_000) => format!("{}s", us / 1_000_000),
        _ => format!("{}ms", us / 1_000),
    }
}
