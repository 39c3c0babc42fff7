//! Small fakes of the platform, engines and services, with switches for failure.
