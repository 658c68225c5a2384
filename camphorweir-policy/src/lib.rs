//! The decision core of camphorweir: events and the time go in, actions come out.
#![forbid(unsafe_code)]

pub mod action;
pub mod call;
pub mod clock;
pub mod core;
pub mod event;
