//! At most one run for each non-idempotent request.
