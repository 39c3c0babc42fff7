//! The day that a sheet is for.

use displaydoc::Display;
use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::Offset;

use hemlockwind_core::time::WallTime;

/// `Refusal` tells why a sheet's day can't be taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Refusal {
    /// The sheet is for {0}, which is over.
    Past(Date),
    /// The sheet is for {0}; send it on that day.
    Future(Date),
    /// A sheet for {0} is in force, which is a later day.
    Older(Date),
}

/// The day at `wall`, `utc_offset_s` seconds east of UTC.
pub fn today(wall: WallTime, utc_offset_s: i32) -> Date {
    let ms = i64::try_from(wall.as_millis()).unwrap_or(i64::MAX);
    let at = Timestamp::from_millisecond(ms).unwrap_or(Timestamp::MAX);
    let offset = Offset::from_seconds(utc_offset_s).unwrap_or(Offset::UTC);
    offset.to_datetime(at).date()
}

/// Whether a sheet for `day` may be taken on `today`, when a sheet for
/// `in_force` was the last.
///
/// # Errors
///
/// Why it may not.
pub fn admit(day: Date, today: Date, in_force: Option<Date>) -> Result<(), Refusal> {
    if let Some(last) = in_force.filter(|&last| last > day) {
        return Err(Refusal::Older(last));
    }
    if day < today {
        return Err(Refusal::Past(day));
    }
    if day > today {
        return Err(Refusal::Future(day));
    }
    Ok(())
}

/// The day in a cell: `YYYY-MM-DD`, `DD/MM/YYYY` or `DD.MM.YYYY`.
pub(crate) fn parse(text: &str) -> Option<Date> {
    let parts: Vec<_> = text.split(['-', '/', '.']).collect();
    let &[a, b, c] = parts.as_slice() else {
        return None;
    };
    let (year, month, day) = match text.as_bytes().get(4) {
        Some(b'-') => (a, b, c),
        _ if text.contains('-') => return None,
        _ => (c, b, a),
    };
    let digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if year.len() != 4 || ![year, month, day].into_iter().all(digits) {
        return None;
    }
    Date::new(year.parse().ok()?, month.parse().ok()?, day.parse().ok()?).ok()
}
