//! Invariants of several cores under faults, with fakes of their peers.

mod fuzz;
mod placement;
mod regressions;
mod scenario;
mod smoke;
mod transition;
mod world;
