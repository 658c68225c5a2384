//! The decision core of camphorweir: events and the time go in, actions come out.
#![forbid(unsafe_code)]

pub mod action;
mod admit;
pub mod attempt;
pub mod cache;
pub mod call;
pub mod claim;
pub mod clock;
mod command;
pub mod core;
mod duty;
pub mod event;
mod follow;
mod hash;
pub mod health;
pub mod lease;
pub mod leave;
mod letter;
pub mod map;
pub mod member;
mod once;
pub mod order;
pub mod outbox;
pub mod pace;
pub mod path;
mod pipeline;
mod query;
pub mod queue;
pub mod quota;
pub mod request;
pub mod retry;
pub mod route;
mod service;
pub mod status;
pub mod target;
pub mod timer;
pub mod timing;
