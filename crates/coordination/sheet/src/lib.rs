//! The planners' morning sheet.
