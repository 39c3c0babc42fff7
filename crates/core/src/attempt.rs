//! Records the attempts to run a request.
//!
//! A request may be reported as not run only while no attempt can have started work on a
//! backend server. [`NotRun`] has no public constructor: only [`Attempts::not_run`] returns
//! one, so other code can't make a false claim.

/// `Attempt` is the recorded state of one dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// Nothing was handed to a connection.
    Unsent,
    /// Bytes may have reached the backend server.
    Sent,
    /// The backend server reported that it refused before it started.
    Refused,
    /// The whole answer arrived.
    Answered,
}

/// `NotRun` proves that nothing was run for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// `Ran` states whether a failed request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// Nothing was run.
    No(NotRun),
    /// Something may have been run.
    Unknown,
}

/// `Attempts` holds the recorded state of all dispatches of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    list: Vec<Attempt>,
}

impl Attempts {
    /// Adds a dispatch that has not been sent and returns its index.
    pub fn open(&mut self) -> usize {
        self.list.push(Attempt::Unsent);
        self.list.len() - 1
    }

    /// Moves attempt `index` to the state `to`. A transition that would lose
    /// information (such as from `Sent` to `Unsent`) is ignored.
    pub fn record(&mut self, index: usize, to: Attempt) {
        let Some(attempt) = self.list.get_mut(index) else {
            return;
        };
        *attempt = match (*attempt, to) {
            (Attempt::Unsent, to) => to,
            (Attempt::Sent, Attempt::Refused | Attempt::Answered) => to,
            (from, _) => from,
        };
    }

    /// Returns proof that nothing was run, or `None` if any attempt may have run.
    pub fn not_run(&self) -> Option<NotRun> {
        let none = self.list.iter().all(|attempt| match attempt {
            Attempt::Unsent | Attempt::Refused => true,
            Attempt::Sent | Attempt::Answered => false,
        });
        none.then_some(NotRun(()))
    }

    /// Returns whether the request may have had an effect, in the form reported to callers.
    pub fn ran(&self) -> Ran {
        match self.not_run() {
            Some(proof) => Ran::No(proof),
            None => Ran::Unknown,
        }
    }

    /// Returns the number of dispatches so far.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there was no dispatch.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}
