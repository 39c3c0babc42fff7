//! The slots that a queue owner sets aside for the credits of one driver.

use std::collections::VecDeque;

/// `Offers` holds the largest number of credits that a driver may have: those in its last
/// report, plus those in messages that it had not processed by then.
#[derive(Debug, Default)]
pub struct Offers {
    reported: u32,
    sent: VecDeque<(u64, u32)>,
}

impl Offers {
    /// Returns the number of credits that the driver may have. One slot is set aside for
    /// each.
    pub fn outstanding(&self) -> u32 {
        self.reported + self.sent.iter().map(|(_, credits)| credits).sum::<u32>()
    }

    /// Records that message `number` gives `credits` to the driver.
    pub fn send(&mut self, number: u64, credits: u32) {
        self.sent.push_back((number, credits));
    }

    /// Records that the driver has `credits` left after it processed message `seen`.
    /// Credits sent up to that message are included in that number, or were lost and can no
    /// longer be used.
    pub fn report(&mut self, seen: u64, credits: u32) {
        while self.sent.front().is_some_and(|&(number, _)| number <= seen) {
            self.sent.pop_front();
        }
        self.reported = credits;
    }
}
