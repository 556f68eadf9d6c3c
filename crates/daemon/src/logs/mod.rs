//! Log lines as JSON, one object a line, on standard error.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::Record;
use serde::Serialize;

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
    Logger::with(level).format(line).log_to_stderr().start()
}

/// Sets the number of the version that lines name from now on.
pub fn set_version(number: u64) {
    VERSION.store(number, Ordering::Relaxed);
}

fn line(out: &mut dyn Write, _now: &mut DeferredNow, record: &Record<'_>) -> Result<(), io::Error> {
    let identity = IDENTITY.get();
    let line = Line {
        at: jiff::Timestamp::now().to_string(),
        level: record.level().as_str(),
        host: identity.map_or("", |identity| &identity.host),
        data_centre: identity.map_or("", |identity| &identity.data_centre),
        version: VERSION.load(Ordering::Relaxed),
        module: record.target(),
        text: record.args().to_string(),
    };
    serde_json::to_writer(out, &line).map_err(io::Error::other)
}
