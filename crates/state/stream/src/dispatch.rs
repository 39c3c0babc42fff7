//! The outstanding step of a stream, and the record of all steps sent.

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

/// `Outstanding` is the step whose result a stream waits for.
#[derive(Clone, Copy, Debug)]
pub struct Outstanding {
    /// The step's id.
    pub id: StepId,
    /// The backend server that it was sent to.
    pub server: BackendServerKey,
    /// The index of the stage in the path.
    pub hop: usize,
    /// Whether the step fills the KV cache from the start.
    pub prefill: bool,
    /// When the step times out.
    pub deadline: Instant,
}

/// `Dispatches` records the dispatched steps of one stream.
///
/// Once a step was answered, the request can't be reported as not run any more. Later
/// steps are therefore not recorded, which keeps the memory bounded.
#[derive(Clone, Debug, Default)]
pub struct Dispatches {
    attempts: Attempts,
    open: Option<usize>,
    answered: bool,
}

impl Dispatches {
    /// Records that a step is passed to the driver.
    pub fn open(&mut self) {
        self.open = (!self.answered).then(|| self.attempts.open());
    }

    /// Records the outcome of the step that was opened last.
    pub fn close(&mut self, attempt: Attempt) {
        self.answered |= attempt == Attempt::Answered;
        if let Some(index) = self.open.take() {
            self.attempts.record(index, attempt);
        }
    }

    /// Returns whether any step may have been run. A step that is still open counts as
    /// sent, and is recorded as such.
    pub fn ran(&mut self) -> Ran {
        self.close(Attempt::Sent);
        self.attempts.ran()
    }
}
