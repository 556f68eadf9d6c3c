//! Command-line options.

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
    /// Latency of short work while uploads run.
    HeadOfLine,
    /// Service at a demand of several times the capacity.
    Crest,
    /// Latency and processor time that the daemons add to a call.
    Overhead,
    /// Service while hosts leave and join.
    Churn,
    /// Time and traffic until a change is in force on all hosts.
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
        .help("Number of upstream hosts; by default 18, and 18, 36, 72, 144 in `converge`")
        .argument::<usize>("COUNT")
        .optional();
    let quick = long("quick")
        .help("Shortens all phases to a third")
        .switch();
    let flat = long("flat")
        .help("Puts all hosts into one data centre, without network latency between them")
        .switch();
    let together = long("together")
        .help("In `slowed`, always slows both upstreams of a service at the same time")
        .switch();
    let unmarked = long("unmarked")
        .help("In `churn`, sends keyed requests without their attempt number")
        .switch();
    let scale = long("scale")
        .help("Factor on service times; the capacity is divided by it")
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
    .descr("Measures savorylane over loopback with simulated platform, upstreams and callers")
}

impl Options {
    /// Returns the duration of a phase, which is a third of `seconds` in a
    /// quick run.
    pub(crate) fn phase_duration(&self, seconds: f64) -> Duration {
        Duration::from_secs_f64(if self.quick { seconds / 3.0 } else { seconds })
    }

    /// Returns the policies to measure: the one of the command line, or `all`
    /// if none is given.
    pub(crate) fn policies(&self, all: &[&str]) -> Vec<String> {
        match &self.policy {
            Some(policy) => vec![policy.clone()],
            None => all.iter().map(|name| (*name).to_owned()).collect(),
        }
    }

    /// Returns the deployment. `scale` is the default factor on service times
    /// with which upstreams with 6 slots fit onto the test machine; it grows in
    /// proportion to the slots.
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
            "{}: {} hosts, service times multiplied by {}, flags: {}",
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

    /// Returns a report that contains only the scale.
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
