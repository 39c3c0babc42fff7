//! The slots that a home sets aside for the credits of one driver.

use std::collections::VecDeque;

/// `Offers` bounds the credits that a driver may hold: those it reported last, and
/// all that were sent to it since.
#[derive(Debug, Default)]
pub struct Offers {
    reported: u32,
    sent: VecDeque<(u64, u32)>,
}

impl Offers {
    /// The slots that must be set aside.
    pub fn held(&self) -> u32 {
        self.reported + self.sent.iter().map(|(_, credits)| credits).sum::<u32>()
    }

    /// Message `number` gives `credits` to the driver.
    pub fn send(&mut self, number: u64, credits: u32) {
        self.sent.push_back((number, credits));
    }

    /// The driver has `credits` left after it took message `seen`. Offers up to
    /// that one are in the count, or were lost and will not be taken any more.
    pub fn report(&mut self, seen: u64, credits: u32) {
        while self.sent.front().is_some_and(|&(number, _)| number <= seen) {
            self.sent.pop_front();
        }
        self.reported = credits;
    }
}
