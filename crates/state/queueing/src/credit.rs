//! The slots that a queue owner sets aside for the credits of one driver.

use std::collections::VecDeque;

/// `Offers` holds an upper bound of the credits that a driver may have: those in its
/// last report, and all that were sent to it since.
#[derive(Debug, Default)]
pub struct Offers {
    reported: u32,
    sent: VecDeque<(u64, u32)>,
}

impl Offers {
    /// Returns the number of slots that must be set aside.
    pub fn held(&self) -> u32 {
        self.reported + self.sent.iter().map(|(_, credits)| credits).sum::<u32>()
    }

    /// Records that message `number` gives `credits` to the driver.
    pub fn send(&mut self, number: u64, credits: u32) {
        self.sent.push_back((number, credits));
    }

    /// Records that the driver has `credits` left after it processed message `seen`.
    /// Offers up to that message are included in the count, or were lost and will not
    /// be used any more.
    pub fn report(&mut self, seen: u64, credits: u32) {
        while self.sent.front().is_some_and(|&(number, _)| number <= seen) {
            self.sent.pop_front();
        }
        self.reported = credits;
    }
}
