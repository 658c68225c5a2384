//! What must always hold, under faults, with several cores and small fakes.

mod fuzz;
mod moves;
mod orders;
mod regressions;
mod scenario;
mod thin;
mod world;
