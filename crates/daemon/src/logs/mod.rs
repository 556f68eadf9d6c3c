//! Log lines as JSON on standard output, one object per line.
//!
//! A dedicated thread writes the lines from a bounded queue. While the queue is
//! full, further lines are dropped and counted, so that a slow or closed
//! standard output never blocks a request.

pub mod sink;

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::Record;
use log::kv::{Key, Value, VisitSource};
use serde::Serialize;
use serde_json::Map;

use crate::settings::Settings;
use sink::Sink;

/// Host and data centre that every log line contains.
#[derive(Debug)]
struct Identity {
    host: String,
    data_centre: String,
}

static IDENTITY: OnceLock<Identity> = OnceLock::new();
static VERSION: AtomicU64 = AtomicU64::new(0);

/// JSON object of a log line.
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

/// Time within which queued lines are written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Formats records as lines and passes them to the sink.
struct Writer(Sink);

impl LogWriter for Writer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        write_line(&mut text, now, record)?;
        text.push(b'\n');
        if !self.0.offer(text) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        match self.0.flush(FLUSH_TIMEOUT) {
            true => Ok(()),
            false => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn max_log_level(&self) -> log::LevelFilter {
        log::LevelFilter::Trace
    }
}

/// Collects the fields of a record.
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

/// Installs the logger of this process and starts its writing thread.
///
/// # Errors
///
/// Returns the library's error if another logger is already installed.
pub fn open(settings: &Settings) -> Result<LoggerHandle, FlexiLoggerError> {
    let _ = IDENTITY.set(Identity {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
    });
    let level = LogSpecification::builder()
        .default(settings.log_level)
        // These libraries log each connection at the lower levels, which is
        // useful only for debugging the libraries.
        .module("hyper_util", log::LevelFilter::Warn)
        .module("jsonrpsee", log::LevelFilter::Warn)
        .build();
    Logger::with(level)
        .log_to_writer(Box::new(Writer(Sink::spawn(io::stdout()))))
        .start()
}

/// Sets the version number that lines contain from now on.
pub fn set_version(number: u64) {
    VERSION.store(number, Ordering::Relaxed);
}

fn write_line(
    out: &mut dyn Write,
    _now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), io::Error> {
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
