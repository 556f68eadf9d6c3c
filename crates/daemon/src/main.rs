//! The daemon's binary: reads the settings, starts the kernel and waits for a
//! signal to stop.

use std::io::Write;
use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use savorylane_daemon::settings::{self, Command};
use savorylane_daemon::{Handle, logs};
use tokio::signal::unix::{SignalKind, signal};

/// Returns free pages to the operating system. The C library's allocator keeps
/// a third more memory.
#[global_allocator]
static ALLOCATOR: tikv_jemallocator::Jemalloc = tikv_jemallocator::Jemalloc;

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = match read_command() {
        Ok(command) => command,
        Err(code) => return code,
    };
    if command.check {
        println!("settings are accepted");
        return ExitCode::SUCCESS;
    }
    let logger = match logs::open(&command.settings) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("cannot start logging: {error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = runtime.block_on(run(command));
    logger.flush();
    // Work on a blocking thread, such as the adoption of a version, is no
    // longer needed and must not delay the exit.
    runtime.shutdown_background();
    code
}

fn read_command() -> Result<Command, ExitCode> {
    let parsed = match settings::parser().run_inner(Args::current_args()) {
        Ok(parsed) => parsed,
        Err(ParseFailure::Stderr(text)) => {
            eprintln!("{}", text.monochrome(true));
            return Err(ExitCode::from(EXIT_USAGE));
        }
        Err(ParseFailure::Stdout(text, full)) => {
            println!("{}", text.monochrome(full));
            return Err(ExitCode::SUCCESS);
        }
        Err(ParseFailure::Completion(text)) => {
            print!("{text}");
            return Err(ExitCode::SUCCESS);
        }
    };
    parsed.map_err(|fault| {
        eprintln!("{fault}");
        ExitCode::from(EXIT_USAGE)
    })
}

/// Prints the bound addresses and then `ready`, for a parent process that
/// passed port 0. A closed standard output is ignored.
fn print_addresses(handle: &Handle) {
    let mut out = std::io::stdout().lock();
    for (port, address) in &handle.addresses {
        let _ = writeln!(out, "{port} {address}");
    }
    let _ = writeln!(out, "ready");
}

/// Logs that SIGHUP changes nothing. Settings come from flags and environment
/// variables, which a running process cannot read again; everything that
/// changes at run time comes from the platform.
fn log_reload() {
    log::info!(
        target: "process", outcome = "reloaded";
        "settings are not reloaded; restart the daemon to change them"
    );
}

async fn run(command: Command) -> ExitCode {
    let signals = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    );
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = signals else {
        eprintln!("cannot listen for signals");
        return ExitCode::FAILURE;
    };
    let handle = match savorylane_daemon::spawn(command.settings).await {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if handle.context.settings.adapter.is_none() {
        print_addresses(&handle);
    }
    log::info!(target: "process", outcome = "started"; "all ports are bound");
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log_reload(),
        }
    }
    log::info!(target: "process", outcome = "stopping"; "received a signal to stop");
    let aborted = tokio::select! {
        aborted = handle.shutdown() => aborted,
        _ = terminate.recv() => vec!["all"],
        _ = interrupt.recv() => vec!["all"],
    };
    if aborted.is_empty() {
        log::info!(target: "process", outcome = "stopped"; "all requests were finished");
        return ExitCode::SUCCESS;
    }
    log::warn!(
        target: "process", outcome = "stopped";
        "stopped with requests in flight at these edges: {}", aborted.join(", ")
    );
    ExitCode::FAILURE
}
