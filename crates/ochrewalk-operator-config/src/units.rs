//! Figures with their units. A figure without one is a fault: guards against seconds where milliseconds were meant.

/// Times in microseconds: `500ms`, `2s`, `1.5s`, `3m`, `1h`.
pub fn time_us(text: &str) -> Option<u64> {
    figure(text, &[("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 60e6), ("h", 3_600e6)])
}

/// Sizes in bytes: `512b`, `8k`, `1m`.
pub fn bytes(text: &str) -> Option<u64> {
    figure(text, &[("b", 1.0), ("k", 1_024.0), ("m", 1_048_576.0)])
}

fn figure(text: &str, units: &[(&str, f64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(digits);
    let (_, times) = units.iter().find(|(name, _)| *name == unit)?;
    let value = number.parse::<f64>().ok()? * times;
    (value <= 1e15).then_some(value.round() as u64)
}

/// A time in the largest unit that it is a whole number of.
pub fn show_time(us: u64) -> String {
    match us {
        _ if us >= 60_000_000 && us.is_multiple_of(60_000_000) => format!("{}m", us / 60_000_000),
        _ if us >= 1_000_000 && us.is_multiple_of(1_000_000) => format!("{}s", us / 1_000_000),
        _ => format!("{}ms", us / 1_000),
    }
}
