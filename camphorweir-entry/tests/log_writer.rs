//! Log lines for an output that is blocked: nobody who logs waits, and the last line is kept.

use {
    camphorweir_entry::{
        exit::{LAST_LINE_TARGET, exit_run},
        log_writer::{MAX_QUEUED_LINES, Writer, dropped_lines},
        output::Output,
        rate_limited_log,
    },
    log::{Level, LevelFilter, log_enabled},
    logforth::{Append, layout::JsonLayout, record::Record},
    std::{
        io::{BufRead, BufReader, PipeReader, PipeWriter, Write, pipe},
        os::fd::AsFd,
        process::ExitCode,
        sync::mpsc,
        thread,
        time::{Duration, Instant},
    },
};

/// Bytes that a new pipe holds.
const PIPE_BYTES: usize = 65_536;
/// Guards against a hang; no promise is measured by it.
const GUARD: Duration = Duration::from_secs(10);
/// The shutdown leaves this time until the process is killed.
const LEFT_AT_END: Duration = Duration::from_millis(400);

/// A pipe that is full, and an output that writes to it.
fn full_pipe() -> (PipeReader, &'static Output) {
    let (reader, mut writer) = pipe().unwrap();
    writer.write_all(&[b'\n'; PIPE_BYTES]).unwrap();
    let writer: &'static PipeWriter = Box::leak(Box::new(writer));
    (reader, Box::leak(Box::new(Output::new(writer.as_fd()))))
}

fn append(writer: &Writer, target: &'static str, text: &str) {
    let payload = format_args!("{text}");
    let record = Record::builder().target(target).payload(payload).build();
    writer.append(&record, &[]).unwrap();
}

fn next_line(reader: &mut BufReader<PipeReader>) -> String {
    let mut line = String::new();
    while line.trim().is_empty() {
        line.clear();
        assert!(reader.read_line(&mut line).unwrap() > 0);
    }
    line
}

#[test]
fn a_full_queue_does_not_lose_the_last_line() {
    let (reader, output) = full_pipe();
    let writer = Writer::start(output, JsonLayout::default());
    let long = "x".repeat(PIPE_BYTES);
    append(&writer, "test", &long);
    for _ in 0..2 * MAX_QUEUED_LINES {
        append(&writer, "test", "ordinary");
    }
    assert!(dropped_lines() > 0);
    let (line_sender, lines) = mpsc::channel();
    thread::spawn(move || {
        let mut reader = BufReader::new(reader);
        while line_sender.send(next_line(&mut reader)).is_ok() {}
    });
    append(&writer, LAST_LINE_TARGET, "the end");
    while let Ok(line) = lines.recv_timeout(GUARD) {
        if line.contains("the end") {
            return assert!(line.starts_with('{'), "{line}");
        }
    }
    panic!("the last line is missing");
}

#[test]
fn a_blocked_output_holds_up_the_end_for_a_bounded_time() {
    let (_reader, output) = full_pipe();
    let writer = Writer::start(output, JsonLayout::default());
    append(&writer, "test", "ordinary");
    let since = Instant::now();
    append(&writer, LAST_LINE_TARGET, "the end");
    assert!(since.elapsed() < LEFT_AT_END);
}

#[test]
fn without_a_thread_lines_are_written_or_dropped_at_once() {
    let (reader, output) = full_pipe();
    let writer = Writer::without_thread(output, JsonLayout::default());
    let dropped = dropped_lines();
    append(&writer, "test", "dropped");
    assert!(dropped_lines() > dropped);
    let mut reader = BufReader::with_capacity(PIPE_BYTES, reader);
    reader.fill_buf().unwrap();
    append(&writer, "test", "written");
    assert!(next_line(&mut reader).contains("written"));
}

#[test]
fn the_rate_limit_does_not_hold_for_the_last_line() {
    rate_limited_log::start(LevelFilter::Info);
    while log_enabled!(Level::Info) {}
    assert!(log_enabled!(target: LAST_LINE_TARGET, Level::Info));
}

#[test]
fn a_panic_of_the_main_thread_ends_with_its_status() {
    assert_eq!(exit_run(|| panic!("on purpose")), ExitCode::from(101));
}
