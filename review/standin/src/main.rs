//! Stand-ins and cases of the review. Usage: `review-standin CASE RECORD TROUBLE`,
//! in the root of the repository. `RECORD` is the file for the record; a
//! `TROUBLE` of 0 leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the
//! case could not run.

mod cases;
mod client;
mod http;
mod node;
mod proxy;
mod record;
mod store;
mod target;
mod world;

use std::process::ExitCode;
use std::time::Duration;

use world::World;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, trouble] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let logs = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&logs) {
        eprintln!("cannot make a temporary folder: {error}");
        return ExitCode::from(2);
    }
    println!("logs of the nodes: {}", logs.display());
    let root = std::env::current_dir().unwrap_or_default();
    let case: fn(&mut World, bool) -> Verdict = match case.as_str() {
        "cut-reader" => cases::cut_reader,
        "foreign-entry" => cases::foreign_entry,
        "lost-target" => cases::lost_target,
        "rolled" => cases::rolled,
        "shared-address" => cases::shared_address,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    let mut world = match World::start(&root, &logs) {
        Ok(world) => world,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(2);
        }
    };
    // Ends the daemons also if the case hangs.
    let daemons = world.daemons.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        for daemon in daemons {
            daemon.lock().unwrap().take();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let verdict = case(&mut world, trouble);
    world.end();
    let text = world.record.text();
    if let Err(error) = std::fs::write(record, text) {
        eprintln!("cannot write the record: {error}");
        return ExitCode::from(2);
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&logs);
    }
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
