//! Measures the entry as a separate process; prints one line per figure: `name value unit target`.
//!
//! Processor time is read per thread from the kernel, and bytes are counted by relays that stand
//! between the processes, so both hold on a machine that does other work too. The
//! arguments restrict the run to the parts whose names begin with one of them.

mod control;
mod fleet;
mod load;
mod memory;
mod process;
mod relay;
mod serve;
mod slope;
mod wire;

use std::error::Error;

/// What any part of the benchmark may fail with.
type Failure = Box<dyn Error + Send + Sync>;

/// Prints one figure.
fn print(name: &str, value: f64, unit: &str, target: &str) {
    println!("{name} {value:.3} {unit} {target}");
}

/// Whether the arguments select the part whose lines have this prefix; without arguments all are.
fn selected(prefix: &str) -> bool {
    let mut names = std::env::args().skip(1).filter(|name| name != "--bench");
    let mut names = names.by_ref().peekable();
    names.peek().is_none() || names.any(|name| prefix.starts_with(&name))
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    if selected("wire") {
        wire::run();
    }
    if selected("entry.request") {
        serve::run().await?;
    }
    if selected("entry.control.memory") {
        memory::run().await?;
    }
    if selected("entry.control.cpu") {
        control::run().await?;
    }
    Ok(())
}
