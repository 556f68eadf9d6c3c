//! Bounded queue of log lines, written by a dedicated thread.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Maximum number of queued lines, which take about 2 MB.
pub const MAX_QUEUED_LINES: usize = 8_192;
/// Time for which lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Size of a batch in bytes from which no further lines are added to it.
const BATCH_BYTES: usize = 32 << 10;

/// Message to the writing thread.
enum Item {
    /// A line to write.
    Line(Vec<u8>),
    /// Notifies the sender when all preceding lines are written.
    Flush(SyncSender<()>),
}

/// Sender of lines to the writing thread.
#[derive(Debug)]
pub struct Sink(SyncSender<Item>);

impl Sink {
    /// Starts a thread that writes lines to `out` until a write fails or the
    /// sink is dropped.
    pub fn spawn(out: impl Write + Send + 'static) -> Self {
        let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_lines(&lines, out));
        Self(sender)
    }

    /// Queues a line that ends with a line feed, without blocking. Returns
    /// whether the line was queued.
    pub fn offer(&self, line: Vec<u8>) -> bool {
        // The writing thread ends when its output is closed. Later lines are
        // not queued and count as dropped, too.
        self.0.try_send(Item::Line(line)).is_ok()
    }

    /// Waits at most `limit` until all queued lines are written. Returns
    /// whether they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let (done, flushed) = sync_channel(1);
        self.0.try_send(Item::Flush(done)).is_ok() && flushed.recv_timeout(limit).is_ok()
    }
}

fn write_lines(items: &Receiver<Item>, mut out: impl Write) {
    while let Ok(first) = items.recv() {
        std::thread::sleep(BATCH_INTERVAL);
        let mut text = Vec::new();
        let mut flush = None;
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                Item::Line(line) => text.extend_from_slice(&line),
                Item::Flush(done) => flush = Some(done),
            }
            let full = text.len() >= BATCH_BYTES || flush.is_some();
            next = if full { None } else { items.try_recv().ok() };
        }
        let written = out.write_all(&text).and_then(|()| out.flush());
        if let Err(error) = written {
            eprintln!("logging stops: cannot write to standard output: {error}");
            return;
        }
        if let Some(done) = flush {
            // The waiting thread may have timed out.
            let _ = done.try_send(());
        }
    }
}
