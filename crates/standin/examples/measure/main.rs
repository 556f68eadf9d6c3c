//! Measures the figures of the design (section 1.7) with real daemons and
//! open-loop load over loopback. JSON lines go to standard output, the table
//! and progress to standard error.

mod churn;
mod converge;
mod crest;
mod head_of_line;
mod options;
mod overhead;
mod phase;
mod process;
mod slowed;

use std::process::ExitCode;
use std::time::Instant;

use options::Scenario;

#[tokio::main]
async fn main() -> ExitCode {
    let options = options::parser().run();
    let start = Instant::now();
    let result = match options.scenario {
        Scenario::Slowed => slowed::run(&options).await,
        Scenario::HeadOfLine => head_of_line::run(&options).await,
        Scenario::Crest => crest::run(&options).await,
        Scenario::Overhead => overhead::run(&options).await,
        Scenario::Churn => churn::run(&options).await,
        Scenario::Converge => converge::run(&options).await,
    };
    eprintln!("{:.0} s", start.elapsed().as_secs_f64());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("measure: {failure}");
            ExitCode::FAILURE
        }
    }
}
