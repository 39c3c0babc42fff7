//! What is known of each try to have a request run.
//!
//! "Not run" may be said only while no try can have reached a backend server's
//! work. [`NotRun`] has no public constructor: the only way to one leads through
//! [`Attempts::not_run`], so a false claim can't be written.

/// `Attempt` is what is known of one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// Nothing was handed to a connection.
    Unsent,
    /// Bytes may have reached the backend server.
    Sent,
    /// The backend server said that it refused before it started.
    Refused,
    /// The whole answer arrived.
    Answered,
}

/// `NotRun` is proof that nothing was run for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// `Ran` is what a caller may be told about the effect of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// Nothing was run.
    No(NotRun),
    /// Something may have been run.
    Unknown,
}

/// `Attempts` holds what is known of all dispatches of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    list: Vec<Attempt>,
}

impl Attempts {
    /// Adds a dispatch that has not been sent, and gives its place.
    pub fn open(&mut self) -> usize {
        self.list.push(Attempt::Unsent);
        self.list.len() - 1
    }

    /// Records the step of attempt `index` to `to`. A step that would take back
    /// knowledge (such as from `Sent` to `Unsent`) is ignored.
    pub fn record(&mut self, index: usize, to: Attempt) {
        let Some(at) = self.list.get_mut(index) else {
            return;
        };
        *at = match (*at, to) {
            (Attempt::Unsent, to) => to,
            (Attempt::Sent, Attempt::Refused | Attempt::Answered) => to,
            (from, _) => from,
        };
    }

    /// The proof that nothing was run, when every attempt allows it.
    pub fn not_run(&self) -> Option<NotRun> {
        let none = self.list.iter().all(|at| match at {
            Attempt::Unsent | Attempt::Refused => true,
            Attempt::Sent | Attempt::Answered => false,
        });
        none.then_some(NotRun(()))
    }

    /// What a caller may be told.
    pub fn ran(&self) -> Ran {
        match self.not_run() {
            Some(proof) => Ran::No(proof),
            None => Ran::Unknown,
        }
    }

    /// The number of dispatches so far.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether there was no dispatch.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
