//! Log lines as JSON, one object a line, on standard output.
//!
//! A thread of its own writes the lines. What it has not written yet is
//! bounded; further lines are dropped and counted, so that a slow or closed
//! standard output never holds up a request.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::Record;
use log::kv::{Key, Value, VisitSource};
use serde::Serialize;
use serde_json::Map;

use crate::settings::Settings;

/// Host and data centre that every line names.
#[derive(Debug)]
struct Identity {
    host: String,
    data_centre: String,
}

static IDENTITY: OnceLock<Identity> = OnceLock::new();
static VERSION: AtomicU64 = AtomicU64::new(0);

/// Shape of a line.
#[derive(Serialize)]
struct Line<'a> {
    at: String,
    level: &'a str,
    host: &'a str,
    data_centre: &'a str,
    version: u64,
    module: &'a str,
    text: String,
    #[serde(flatten)]
    fields: Map<String, serde_json::Value>,
}

/// Lines that wait to be written, at most; about 2 MB.
const WAITING_MAX: usize = 8_192;
/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(50);
/// Bytes that are written together.
const WRITE_BYTES: usize = 32 << 10;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that were dropped.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Hands lines to the thread that writes them.
struct Queue(SyncSender<Vec<u8>>);

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        line(&mut text, now, record)?;
        text.push(b'\n');
        // A thread that ended had its output closed; its lines count as well.
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.0.try_send(text) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Trace
    }
}

/// Writes lines to `out` until it is closed or the process ends.
fn write_lines(lines: &Receiver<Vec<u8>>, out: &mut dyn Write) {
    while let Ok(mut text) = lines.recv() {
        std::thread::sleep(GATHER);
        while text.len() < WRITE_BYTES
            && let Ok(more) = lines.try_recv()
        {
            text.extend_from_slice(&more);
        }
        let written = out.write_all(&text).and_then(|()| out.flush());
        if let Err(error) = written {
            eprintln!("standard output cannot be written, logging ends: {error}");
            return;
        }
    }
}

/// Takes the fields of a record.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging for this process.
///
/// # Errors
///
/// Returns the library's error if another logger runs already.
pub fn open(settings: &Settings) -> Result<LoggerHandle, FlexiLoggerError> {
    let _ = IDENTITY.set(Identity {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
    });
    let level = LogSpecification::builder()
        .default(settings.log_level)
        // Libraries log each connection; that is of use for them only.
        .module("hyper_util", log::LevelFilter::Warn)
        .module("jsonrpsee", log::LevelFilter::Warn)
        .build();
    let (sender, lines) = sync_channel(WAITING_MAX);
    std::thread::spawn(move || write_lines(&lines, &mut io::stdout()));
    Logger::with(level)
        .log_to_writer(Box::new(Queue(sender)))
        .start()
}

/// Sets the number of the version that lines name from now on.
pub fn set_version(number: u64) {
    VERSION.store(number, Ordering::Relaxed);
}

fn line(out: &mut dyn Write, _now: &mut DeferredNow, record: &Record<'_>) -> Result<(), io::Error> {
    let identity = IDENTITY.get();
    let mut fields = Fields(Map::new());
    record
        .key_values()
        .visit(&mut fields)
        .map_err(io::Error::other)?;
    let line = Line {
        at: jiff::Timestamp::now().to_string(),
        level: record.level().as_str(),
        host: identity.map_or("", |identity| &identity.host),
        data_centre: identity.map_or("", |identity| &identity.data_centre),
        version: VERSION.load(Ordering::Relaxed),
        module: record.target(),
        text: record.args().to_string(),
        fields: fields.0,
    };
    serde_json::to_writer(out, &line).map_err(io::Error::other)
}
