//! Tests of the small decision modules, mostly as tables of cases.

mod cache;
mod claim;
mod concurrency;
mod lease;
mod path;
mod queue;
mod quota;
