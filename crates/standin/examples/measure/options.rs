//! Command line.

use std::str::FromStr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use savorylane_standin::deployment::{self, Deployment};
use savorylane_standin::fleet::{self, Failure, Fleet};
use savorylane_standin::report::{Report, Run};

/// What is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    /// Tail latency while some upstreams are slowed.
    Slowed,
    /// Short work beside uploads.
    HeadOfLine,
    /// Demand of several times the capacity.
    Crest,
    /// Cost of a call.
    Overhead,
    /// Hosts that leave and arrive.
    Churn,
    /// Time and traffic until a change is in force everywhere.
    Converge,
}

impl Scenario {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Slowed => "slowed",
            Self::HeadOfLine => "head-of-line",
            Self::Crest => "crest",
            Self::Overhead => "overhead",
            Self::Churn => "churn",
            Self::Converge => "converge",
        }
    }
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let all = [
            Self::Slowed,
            Self::HeadOfLine,
            Self::Crest,
            Self::Overhead,
            Self::Churn,
            Self::Converge,
        ];
        let names = all.map(Self::name).join(", ");
        let found = all.into_iter().find(|scenario| scenario.name() == name);
        found.ok_or_else(|| format!("expected one of {names}"))
    }
}

/// Options of a run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) scenario: Scenario,
    pub(crate) deployment: Deployment,
    pub(crate) seed: u64,
    pub(crate) policy: Option<String>,
    pub(crate) hosts: Option<usize>,
    pub(crate) quick: bool,
    pub(crate) flat: bool,
    pub(crate) together: bool,
    pub(crate) unmarked: bool,
    pub(crate) scale: Option<f64>,
}

/// Returns the parser of the command line.
pub(crate) fn parser() -> OptionParser<Options> {
    let deployment = long("deployment")
        .help("testata or skrapplock")
        .argument::<String>("NAME")
        .fallback("testata".into())
        .display_fallback()
        .parse(|name| match name.as_str() {
            "testata" => Ok(deployment::testata()),
            "skrapplock" => Ok(deployment::skrapplock()),
            _ => Err("expected testata or skrapplock"),
        });
    let seed = long("seed")
        .help("Seed of arrivals, service times and faults")
        .argument::<u64>("NUMBER")
        .fallback(1)
        .display_fallback();
    let policy = long("policy")
        .help("Routing policy: savorylane, random, round-robin or least-outstanding; by default savorylane, and all in `slowed`")
        .argument::<String>("NAME")
        .optional();
    let hosts = long("hosts")
        .help("Upstream hosts; by default 18, and 18, 36, 72, 144 in `converge`")
        .argument::<usize>("COUNT")
        .optional();
    let quick = long("quick")
        .help("Shortens all phases to a third")
        .switch();
    let flat = long("flat")
        .help("Puts all hosts into one data centre, so that distance plays no part")
        .switch();
    let together = long("together")
        .help("In `slowed`, slows both upstreams of a service always together")
        .switch();
    let unmarked = long("unmarked")
        .help("In `churn`, sends keyed work without the number of its attempt")
        .switch();
    let scale = long("scale")
        .help("Factor on service times; the capacity falls by it")
        .argument::<f64>("FACTOR")
        .optional();
    let scenario = positional::<Scenario>("SCENARIO")
        .help("slowed, head-of-line, crest, overhead, churn or converge");
    construct!(Options {
        deployment,
        seed,
        policy,
        hosts,
        quick,
        flat,
        together,
        unmarked,
        scale,
        scenario
    })
    .to_options()
    .descr("Measures savorylane over loopback with stand-in platform, upstreams and callers")
}

impl Options {
    /// Returns the length of a phase; a third of it in a quick run.
    pub(crate) fn phase_duration(&self, seconds: f64) -> Duration {
        Duration::from_secs_f64(if self.quick { seconds / 3.0 } else { seconds })
    }

    /// Returns the policies to measure out of `all`.
    pub(crate) fn policies(&self, all: &[&str]) -> Vec<String> {
        match &self.policy {
            Some(policy) => vec![policy.clone()],
            None => all.iter().map(|name| (*name).to_owned()).collect(),
        }
    }

    /// Returns the deployment. `scale` is the factor on service times that fits
    /// upstreams with 6 slots onto the machine.
    pub(crate) fn deployment(&self, scale: f64) -> Deployment {
        let mut deployment = self.deployment.clone();
        deployment.scale = self.scale.unwrap_or(scale * deployment.slots as f64 / 6.0);
        if self.flat {
            deployment.data_centres.truncate(1);
        }
        deployment
    }

    /// Starts a fleet with additional flags for its daemons.
    pub(crate) async fn start_fleet(
        &self,
        deployment: Deployment,
        hosts: usize,
        flags: Vec<String>,
    ) -> Result<Fleet, Failure> {
        eprintln!(
            "{}: {} hosts, service times {} times as long, {}",
            self.scenario.name(),
            hosts,
            deployment.scale,
            flags.join(" ")
        );
        let plan = fleet::Plan {
            deployment,
            hosts,
            seed: self.seed,
            link_latency: true,
            flags,
        };
        fleet::spawn(plan).await
    }

    /// Returns an empty report.
    pub(crate) fn new_report(&self, fleet: &Fleet, policy: &str) -> Report {
        let name = &self.deployment.document.deployment;
        let mut report = Report::new(Run {
            scenario: self.scenario.name().into(),
            deployment: if self.flat {
                format!("{name}-flat")
            } else {
                name.clone()
            },
            policy: policy.into(),
            hosts: fleet.plan.hosts,
            seed: self.seed,
        });
        report.add(None, "scale", fleet.plan.deployment.scale, "times");
        report
    }
}
