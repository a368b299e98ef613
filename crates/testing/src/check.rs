//! Checks of recorded histories.
