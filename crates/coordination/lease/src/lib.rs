//! Leases in the platform and their fencing tokens.
