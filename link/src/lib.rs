//! The way between two processes of a fleet.
