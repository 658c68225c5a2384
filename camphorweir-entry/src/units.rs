//! Parses durations and sizes with units, as written in settings.

use std::time::Duration;

/// Units of time, in milliseconds.
const TIME_UNITS: &[(&str, u64)] = &[("ms", 1), ("s", 1000), ("min", 60_000), ("h", 3_600_000)];
/// Units of size, in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

/// A duration in whole milliseconds; saturates at [`u64::MAX`].
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Parses a duration such as `250ms`, `10s`, `5min` or `1h`.
///
/// # Errors
///
/// A description of what is wrong with `text`.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let millis = parse(text, TIME_UNITS)
        .ok_or_else(|| format!("`{text}` is not a duration such as 250ms, 10s, 5min or 1h"))?;
    Ok(Duration::from_millis(millis))
}

/// Parses a size in bytes such as `64KiB`, `1MiB` or `512B`.
///
/// # Errors
///
/// A description of what is wrong with `text`.
pub fn parse_size(text: &str) -> Result<usize, String> {
    parse(text, SIZE_UNITS)
        .and_then(|bytes| usize::try_from(bytes).ok())
        .ok_or_else(|| format!("`{text}` is not a size such as 512B, 64KiB or 1MiB"))
}

fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}
