//! Bounded queue of lines to a thread that writes them.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait to be written, at most; about 2 MB.
pub const MAX_QUEUED_LINES: usize = 8_192;
/// Time for which lines are gathered before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes that are written together.
const BATCH_BYTES: usize = 32 << 10;

/// What the thread is given.
enum Item {
    /// A line to write.
    Line(Vec<u8>),
    /// To be told when the lines before are written.
    Flush(SyncSender<()>),
}

/// Hands lines to the thread that writes them.
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

    /// Takes a line that ends with a line feed, and says whether there was room
    /// for it. It never waits.
    pub fn offer(&self, line: Vec<u8>) -> bool {
        // A thread that ended had its output closed; its lines count as well.
        self.0.try_send(Item::Line(line)).is_ok()
    }

    /// Waits until the lines that were taken are written, for `limit` at most.
    /// Says whether they are.
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
            eprintln!("standard output cannot be written, logging ends: {error}");
            return;
        }
        if let Some(done) = flush {
            // Whoever asked may have stopped waiting.
            let _ = done.try_send(());
        }
    }
}
