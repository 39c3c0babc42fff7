//! Live instances and the duties they hold.
