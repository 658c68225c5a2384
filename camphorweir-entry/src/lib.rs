//! The entry process of camphorweir: carries out what the decision core says and reports what
//! happened; it decides nothing.
#![forbid(unsafe_code)]

pub mod admin;
pub mod call;
pub mod clock;
pub mod conn;
pub mod driver;
pub mod fetch;
pub mod forward;
pub mod gate;
pub mod link;
pub mod list;
pub mod openai;
pub mod peer;
pub mod port;
pub mod process;
pub mod refuse;
pub mod seal;
pub mod server;
pub mod settings;
pub mod sse;
pub mod streams;
pub mod supervise;
pub mod telemetry;
pub mod text;
pub mod units;
pub mod yaml;
