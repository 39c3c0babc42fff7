//! The day of a sheet.

use displaydoc::Display;
use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::Offset;

use hemlockwind_core::time::WallTime;

/// `Refusal` is the reason why a sheet can't be applied because of its day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Display)]
pub enum Refusal {
    /// The sheet is for {0}, which is over.
    Past(Date),
    /// The sheet is for {0}; send it on that day.
    Future(Date),
    /// A sheet for a later day, {0}, is in force.
    Older(Date),
}

/// Returns the date at `wall` with an offset of `utc_offset_s` seconds east of UTC.
pub fn today(wall: WallTime, utc_offset_s: i32) -> Date {
    let ms = i64::try_from(wall.as_millis()).unwrap_or(i64::MAX);
    let at = Timestamp::from_millisecond(ms).unwrap_or(Timestamp::MAX);
    let offset = Offset::from_seconds(utc_offset_s).unwrap_or(Offset::UTC);
    offset.to_datetime(at).date()
}

/// Checks that a sheet for `day` may be applied on `today`, where `in_force` is the day
/// of the last sheet.
///
/// # Errors
///
/// Returns the reason if it may not.
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

/// Parses a date of the form `YYYY-MM-DD`, `DD/MM/YYYY` or `DD.MM.YYYY`.
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
