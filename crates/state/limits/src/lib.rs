//! Concurrency limits, ejection and retry budgets.
