//! Concurrency limits, ejection, retry budgets and doubt about backend servers.
//!
//! | Module       | Decides                                                       |
//! |--------------|---------------------------------------------------------------|
//! | [`limit`]    | how many streams a backend server takes at a time             |
//! | [`ejection`] | which servers of a layer range are left out after failures    |
//! | [`retry`]    | whether another try may be made                               |
//! | [`doubt`]    | whether a silent server or only its connection is dead        |

pub mod doubt;
pub mod ejection;
pub mod limit;
pub mod retry;

pub use crate::doubt::Doubt;
pub use crate::ejection::Ejection;
pub use crate::limit::Limit;
pub use crate::retry::RetryBudget;
