//! Clients of the platform, engines and services.
