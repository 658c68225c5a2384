//! Decisions of the small modules, as tables of cases.

mod cache;
mod pace;
mod queue;
mod quota;
