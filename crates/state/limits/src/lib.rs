//! Concurrency limits, announced limits, ejection, retry budgets and failure detection for backend
//! servers, and the limits over all callers.
//!
//! | Module               | Decides                                                       |
//! |----------------------|---------------------------------------------------------------|
//! | [`limit`]            | how many streams a backend server may run at a time           |
//! | [`announced`]        | whether a server that announced a limit may get a request     |
//! | [`caller_budget`]    | which callers are refused and which connections are closed    |
//! | [`ejection`]         | which servers of a layer range are ejected after failures     |
//! | [`retry`]            | whether a request may be retried                              |
//! | [`failure_detector`] | whether an unresponsive server or only its connection is dead |

pub mod announced;
pub mod caller_budget;
pub mod ejection;
pub mod failure_detector;
pub mod limit;
pub mod retry;

pub use crate::announced::AnnouncedLimit;
pub use crate::caller_budget::CallerBudget;
pub use crate::caller_budget::CallerLimits;
pub use crate::ejection::Ejection;
pub use crate::failure_detector::FailureDetector;
pub use crate::limit::Limit;
pub use crate::retry::RetryBudget;
