//! Durations and sizes with their units, as settings write them.

use std::time::Duration;

/// Units of time, in milliseconds.
const TIMES: &[(&str, u64)] = &[("ms", 1), ("s", 1000), ("min", 60_000), ("h", 3_600_000)];
/// Units of size, in bytes.
const SIZES: &[(&str, u64)] = &[
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

/// A time in whole milliseconds, for messages and logs.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Reads a duration such as `250ms`, `10s`, `5min` or `1h`.
///
/// # Errors
///
/// What is wrong with `text`, for a person.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let millis = parse(text, TIMES)
        .ok_or_else(|| format!("`{text}` is not a duration such as 250ms, 10s, 5min or 1h"))?;
    Ok(Duration::from_millis(millis))
}

/// Reads a size in bytes such as `64KiB`, `1MiB` or `512B`.
///
/// # Errors
///
/// What is wrong with `text`, for a person.
pub fn parse_size(text: &str) -> Result<usize, String> {
    parse(text, SIZES)
        .and_then(|bytes| usize::try_from(bytes).ok())
        .ok_or_else(|| format!("`{text}` is not a size such as 512B, 64KiB or 1MiB"))
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}
