//! The one step that may be outstanding, and what is known of all steps sent.

use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::engine::StepId;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

/// `Outstanding` is the step whose result a stream waits for.
#[derive(Clone, Copy, Debug)]
pub struct Outstanding {
    /// The step's name.
    pub id: StepId,
    /// The backend server that it was sent to.
    pub server: BackendServerKey,
    /// The place of the stage in the path.
    pub hop: usize,
    /// Whether the step fills the KV cache from the start.
    pub prefill: bool,
    /// When the step is given up.
    pub deadline: Instant,
}

/// `Dispatches` holds what is known of the steps of one stream.
///
/// Once a step was answered, nothing can make "not run" true again, so later
/// steps are not recorded and the memory stays bounded.
#[derive(Clone, Debug, Default)]
pub struct Dispatches {
    attempts: Attempts,
    open: Option<usize>,
    answered: bool,
}

impl Dispatches {
    /// Records that a step is handed to the driver.
    pub fn open(&mut self) {
        self.open = (!self.answered).then(|| self.attempts.open());
    }

    /// Records what became of the step that was opened last.
    pub fn settle(&mut self, attempt: Attempt) {
        self.answered |= attempt == Attempt::Answered;
        if let Some(index) = self.open.take() {
            self.attempts.record(index, attempt);
        }
    }

    /// What a caller may be told. A step that is still open may have been run.
    pub fn ran(&mut self) -> Ran {
        self.settle(Attempt::Sent);
        self.attempts.ran()
    }
}
