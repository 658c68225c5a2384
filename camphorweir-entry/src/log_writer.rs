//! Writes log lines on a thread of its own, so that an output that is blocked or closed holds up
//! neither requests nor the end of the process.

use {
    crate::{exit::LAST_LINE_TARGET, output::Output},
    logforth::{
        Append, Diagnostic, Error, Layout,
        record::{Level, Record, RecordOwned},
    },
    std::{
        collections::VecDeque,
        fmt, panic,
        sync::{
            Arc, Condvar, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Lines queued for the thread; further ones are dropped.
pub const MAX_QUEUED_LINES: usize = 4_096;
/// Lines that the thread takes from the queue at once.
const BATCH_LINES: usize = 64;
/// Longest wait for the queue to be written before the last line of the process. With
/// [`LAST_LINE_WAIT`] it stays below the time that a shutdown leaves until the process is killed.
const QUEUE_WAIT: Duration = Duration::from_millis(150);
/// Longest wait for the output to take the last line of the process.
const LAST_LINE_WAIT: Duration = Duration::from_millis(100);

/// Lines that were dropped since the start, for the rate limit or as they could not be written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Counts a line that is dropped.
pub fn count_dropped_line() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

/// Logs panics, in place of the report on standard error.
pub fn log_panics() {
    // A task that panics ends its connection without an answer.
    panic::set_hook(Box::new(
        |panic| log::error!(reason:% = panic; "a task panicked"),
    ));
}

/// Appends lines to an output.
#[derive(Clone, Debug)]
pub struct Writer(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    output: &'static Output,
    layout: Box<dyn Layout>,
    queue: Mutex<Queue>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<RecordOwned>,
    /// The thread holds lines that it has not written yet.
    is_writing: bool,
    /// Without the thread lines are written at once, or dropped.
    has_thread: bool,
}

/// Marks the thread as gone, however it ends.
struct ThreadGuard(Arc<Shared>);

impl Drop for ThreadGuard {
    fn drop(&mut self) {
        let mut queue = self.0.queue();
        (queue.has_thread, queue.is_writing) = (false, false);
        self.0.changed.notify_all();
    }
}

impl Writer {
    /// A writer with a thread, or without one if none can be started.
    pub fn start(output: &'static Output, layout: impl Into<Box<dyn Layout>>) -> Self {
        let writer = Self::without_thread(output, layout);
        writer.0.queue().has_thread = true;
        let guard = ThreadGuard(writer.0.clone());
        let thread = thread::Builder::new().name("log".to_owned());
        // If it fails, the guard is dropped with the closure.
        if let Err(error) = thread.spawn(move || guard.0.run()) {
            writer.warn(format_args!(
                "the log has no thread, lines may be left out: {error}"
            ));
        }
        writer
    }

    /// A writer that writes each line at once, and drops it when the output is blocked.
    pub fn without_thread(output: &'static Output, layout: impl Into<Box<dyn Layout>>) -> Self {
        Self(Arc::new(Shared {
            output,
            layout: layout.into(),
            queue: Mutex::default(),
            changed: Condvar::new(),
        }))
    }

    /// Appends a line of the writer's own.
    fn warn(&self, text: fmt::Arguments<'_>) {
        let record = Record::builder().level(Level::Warn).payload(text);
        let record = record.target_static(module_path!()).build();
        // Appending never fails.
        let _ = self.append(&record, &[]);
    }
}

impl Append for Writer {
    /// Never fails: a line that can't be written is counted as dropped. Returns at once, but for the last
    /// line of the process, which is written when this returns if the output takes it in time.
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let shared = &self.0;
        if record.target() == LAST_LINE_TARGET {
            shared.wait_for_queue();
            let line = shared.format(record);
            let deadline = Instant::now() + LAST_LINE_WAIT;
            shared.count(line.is_some_and(|line| shared.output.write_last(&line, deadline)));
            return Ok(());
        }
        let mut queue = shared.queue();
        if !queue.has_thread {
            drop(queue);
            let line = shared.format(record);
            let now = Instant::now();
            shared.count(line.is_some_and(|line| shared.output.write_until(&line, now)));
        } else if queue.lines.len() < MAX_QUEUED_LINES {
            queue.lines.push_back(record.to_owned());
            shared.changed.notify_all();
        } else {
            count_dropped_line();
        }
        Ok(())
    }

    /// Waits until the queue is written, for [`QUEUE_WAIT`] at most.
    fn flush(&self) -> Result<(), Error> {
        self.0.wait_for_queue();
        Ok(())
    }
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self) {
        loop {
            let (batch, mut lines) = (self.next_batch(), Vec::new());
            for record in &batch {
                record.with(|record| match self.format(&record) {
                    Some(line) => lines.extend(line),
                    None => count_dropped_line(),
                });
            }
            if !self.output.write(&lines) {
                batch.iter().for_each(|_| count_dropped_line());
            }
        }
    }

    /// Waits for lines, and takes them from the queue.
    fn next_batch(&self) -> Vec<RecordOwned> {
        let mut queue = self.queue();
        queue.is_writing = false;
        self.changed.notify_all();
        while queue.lines.is_empty() {
            let waited = self.changed.wait(queue);
            queue = waited.unwrap_or_else(PoisonError::into_inner);
        }
        queue.is_writing = true;
        let count = queue.lines.len().min(BATCH_LINES);
        queue.lines.drain(..count).collect()
    }

    fn wait_for_queue(&self) {
        let is_busy =
            |queue: &mut Queue| queue.has_thread && (queue.is_writing || !queue.lines.is_empty());
        let waited = self
            .changed
            .wait_timeout_while(self.queue(), QUEUE_WAIT, is_busy);
        drop(waited);
    }

    fn format(&self, record: &Record) -> Option<Vec<u8>> {
        let mut line = self.layout.format(record, &[]).ok()?;
        line.push(b'\n');
        Some(line)
    }

    fn count(&self, is_written: bool) {
        if !is_written {
            count_dropped_line();
        }
    }
}
