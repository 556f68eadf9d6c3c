//! Settings: flags with matching environment variables, checked before
//! anything is bound.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use savorylane_intent::bound;
use savorylane_policy::route::Policy;
use snafu::Snafu;

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host; unique in the deployment.
    pub host: String,
    /// Region of the data centre.
    pub region: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Where other daemons send requests.
    pub data: SocketAddr,
    /// Where other daemons send control messages.
    pub control: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// The host's upstream.
    pub upstream: SocketAddr,
    /// Requests that the upstream is given at once, at most.
    pub slots: usize,
    /// Addresses of the platform, in order of preference.
    pub platform: Vec<SocketAddr>,
    /// Control addresses of peers that are asked at the start.
    pub peers: Vec<SocketAddr>,
    /// Time after which a caller no longer resends an unmarked key.
    pub key_horizon: Duration,
    /// States that no earlier process served within the key horizon.
    pub first_start: bool,
    /// Time that a shutdown waits for requests in flight.
    pub drain_limit: Duration,
    /// Largest request body, bytes.
    pub body_bytes: u64,
    /// Connections that one caller may open.
    pub caller_connections: usize,
    /// How hosts are chosen.
    pub policy: Policy,
    /// Log level.
    pub log_level: log::LevelFilter,
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Command {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// A refused setting.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Fault {
    /// A needed value is not given.
    #[snafu(display("--{flag}: no value is given; {accepted}"))]
    Missing {
        /// Flag without the dashes.
        flag: &'static str,
        /// How to give the value.
        accepted: String,
    },
    /// A value is refused.
    #[snafu(display("--{flag}: {value} is not accepted; {accepted}"))]
    Value {
        /// Flag without the dashes.
        flag: &'static str,
        /// The refused value, quoted and escaped.
        value: String,
        /// What is accepted, with units.
        accepted: String,
    },
}

impl Fault {
    fn value(flag: &'static str, value: &str, accepted: impl Into<String>) -> Self {
        Self::Value {
            flag,
            value: bound::quote(value),
            accepted: accepted.into(),
        }
    }
}

/// Settings as they stand on the command line, not yet checked.
#[derive(Clone, Debug)]
struct Raw {
    host: String,
    region: String,
    data_centre: String,
    service: String,
    entry: String,
    data: String,
    control: String,
    operator: String,
    upstream: String,
    slots: String,
    platform: Vec<String>,
    peer: Vec<String>,
    key_horizon_s: String,
    first_start: bool,
    first_start_variable: Option<String>,
    drain_limit_s: String,
    body_mb: String,
    caller_connections: String,
    policy: String,
    log_level: String,
    check: bool,
}

fn argument(
    flag: &'static str,
    variable: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    long(flag).env(variable).help(help).argument::<String>(meta)
}

fn required(
    flag: &'static str,
    variable: &'static str,
    meta: &'static str,
    help: &'static str,
) -> impl Parser<String> {
    // The library's own error does not name the environment variable.
    let missing = move || {
        Err(Fault::Missing {
            flag,
            accepted: format!("give --{flag} {meta} or set {variable}"),
        })
    };
    argument(flag, variable, meta, help).fallback_with(missing)
}

fn optional(
    flag: &'static str,
    variable: &'static str,
    meta: &'static str,
    help: &'static str,
    default: &'static str,
) -> impl Parser<String> {
    argument(flag, variable, meta, help)
        .fallback(default.to_owned())
        .display_fallback()
}

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Result<Command, Fault>> {
    let host = required(
        "host",
        "SAVORYLANE_HOST",
        "NAME",
        "Name of this host; needed",
    );
    let region = required(
        "region",
        "SAVORYLANE_REGION",
        "NAME",
        "Region of the host; needed",
    );
    let data_centre = required(
        "data-centre",
        "SAVORYLANE_DATA_CENTRE",
        "NAME",
        "Data centre of the host; needed",
    );
    let service = required(
        "service",
        "SAVORYLANE_SERVICE",
        "NAME",
        "Service that the upstream of this host runs; needed",
    );
    let entry = optional(
        "entry",
        "SAVORYLANE_ENTRY",
        "IP:PORT",
        "Where callers connect",
        "0.0.0.0:8080",
    );
    let data = optional(
        "data",
        "SAVORYLANE_DATA",
        "IP:PORT",
        "Where other daemons send requests",
        "0.0.0.0:8081",
    );
    let control = optional(
        "control",
        "SAVORYLANE_CONTROL",
        "IP:PORT",
        "Where other daemons send control messages",
        "0.0.0.0:8082",
    );
    let operator = optional(
        "operator",
        "SAVORYLANE_OPERATOR",
        "IP:PORT",
        "Where operators connect and metrics are read",
        "127.0.0.1:8083",
    );
    let upstream = required(
        "upstream",
        "SAVORYLANE_UPSTREAM",
        "IP:PORT",
        "Address of the host's upstream; needed",
    );
    let slots = optional(
        "slots",
        "SAVORYLANE_SLOTS",
        "COUNT",
        "Requests that the upstream runs at once",
        "6",
    );
    let platform = argument(
        "platform",
        "SAVORYLANE_PLATFORM",
        "IP:PORT",
        "Address of the platform; may be repeated or a list with commas",
    )
    .many();
    let peer = argument(
        "peer",
        "SAVORYLANE_PEER",
        "IP:PORT",
        "Control address of a daemon that is asked at the start; may be repeated or a list with commas",
    )
    .many();
    let key_horizon_s = optional(
        "key-horizon-s",
        "SAVORYLANE_KEY_HORIZON_S",
        "SECONDS",
        "Time after which callers no longer resend an unmarked idempotency key",
        "30",
    );
    let first_start = long("first-start")
        .help("States that no earlier process of the deployment served within the key horizon; or set SAVORYLANE_FIRST_START to `true`")
        .switch();
    // A switch with a variable is on whatever the value is, also for `false`.
    // A false first start lets keyed work run twice.
    let first_start_variable = bpaf::env("SAVORYLANE_FIRST_START")
        .help("`true` or `false`; as --first-start")
        .argument::<String>("BOOL")
        .optional();
    let drain_limit_s = optional(
        "drain-limit-s",
        "SAVORYLANE_DRAIN_LIMIT_S",
        "SECONDS",
        "Time that a shutdown waits for requests in flight",
        "60",
    );
    let body_mb = optional(
        "body-mb",
        "SAVORYLANE_BODY_MB",
        "MEGABYTES",
        "Largest request body",
        "64",
    );
    let caller_connections = optional(
        "caller-connections",
        "SAVORYLANE_CALLER_CONNECTIONS",
        "COUNT",
        "Connections that one caller address may open",
        "256",
    );
    let policy = optional(
        "policy",
        "SAVORYLANE_POLICY",
        "NAME",
        "How hosts are chosen: savorylane, or a baseline: random, round-robin, least-outstanding",
        "savorylane",
    );
    let log_level = optional(
        "log-level",
        "SAVORYLANE_LOG_LEVEL",
        "LEVEL",
        "One of error, warn, info, debug, trace",
        "info",
    );
    let check = long("check").help("Checks the settings and exits").switch();
    construct!(Raw {
        host,
        region,
        data_centre,
        service,
        entry,
        data,
        control,
        operator,
        upstream,
        slots,
        platform,
        peer,
        key_horizon_s,
        first_start,
        first_start_variable,
        drain_limit_s,
        body_mb,
        caller_connections,
        policy,
        log_level,
        check
    })
    .map(check_all)
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Daemon of savorylane: entry for callers and gatekeeper of one upstream")
}

fn check_all(raw: Raw) -> Result<Command, Fault> {
    let settings = Settings {
        host: name("host", &raw.host)?,
        region: name("region", &raw.region)?,
        data_centre: name("data-centre", &raw.data_centre)?,
        service: name("service", &raw.service)?,
        entry: address("entry", &raw.entry)?,
        data: address("data", &raw.data)?,
        control: address("control", &raw.control)?,
        operator: address("operator", &raw.operator)?,
        upstream: remote("upstream", &raw.upstream)?,
        slots: number("slots", &raw.slots, 1, 4096)?,
        platform: list("platform", &raw.platform)?,
        peers: list("peer", &raw.peer)?,
        key_horizon: Duration::from_secs(number("key-horizon-s", &raw.key_horizon_s, 1, 86_400)?),
        first_start: raw.first_start || first_start(raw.first_start_variable.as_deref())?,
        drain_limit: Duration::from_secs(number("drain-limit-s", &raw.drain_limit_s, 1, 3600)?),
        body_bytes: number::<u64>("body-mb", &raw.body_mb, 1, 4096)? * 1_000_000,
        caller_connections: number("caller-connections", &raw.caller_connections, 1, 65_536)?,
        policy: policy(&raw.policy)?,
        log_level: log_level(&raw.log_level)?,
    };
    if settings.platform.is_empty() && settings.peers.is_empty() {
        return Err(Fault::Missing {
            flag: "platform",
            accepted: "give --platform IP:PORT or --peer IP:PORT, or set SAVORYLANE_PLATFORM or SAVORYLANE_PEER".into(),
        });
    }
    let ports = [
        ("entry", settings.entry),
        ("data", settings.data),
        ("control", settings.control),
        ("operator", settings.operator),
    ];
    for (index, (flag, port)) in ports.iter().enumerate() {
        if port.port() != 0 && ports[..index].iter().any(|(_, other)| other == port) {
            return Err(Fault::value(
                flag,
                &port.to_string(),
                "entry, data, control and operator need different addresses",
            ));
        }
    }
    Ok(Command {
        settings,
        check: raw.check,
    })
}

fn policy(value: &str) -> Result<Policy, Fault> {
    match value {
        "savorylane" => Ok(Policy::Savorylane),
        "random" => Ok(Policy::Random),
        "round-robin" => Ok(Policy::RoundRobin),
        "least-outstanding" => Ok(Policy::LeastOutstanding),
        _ => Err(Fault::value(
            "policy",
            value,
            "one of savorylane, random, round-robin, least-outstanding",
        )),
    }
}

fn first_start(value: Option<&str>) -> Result<bool, Fault> {
    match value {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(value) => Err(Fault::value(
            "first-start",
            value,
            "SAVORYLANE_FIRST_START is `true` or `false`; the flag takes no value",
        )),
    }
}

fn log_level(value: &str) -> Result<log::LevelFilter, Fault> {
    match value {
        "error" => Ok(log::LevelFilter::Error),
        "warn" => Ok(log::LevelFilter::Warn),
        "info" => Ok(log::LevelFilter::Info),
        "debug" => Ok(log::LevelFilter::Debug),
        "trace" => Ok(log::LevelFilter::Trace),
        _ => Err(Fault::value(
            "log-level",
            value,
            "one of error, warn, info, debug, trace",
        )),
    }
}

/// Checks a name as that of a host list is checked: a daemon under another
/// name could never be listed.
fn name(flag: &'static str, value: &str) -> Result<String, Fault> {
    if !bound::is_name(value) {
        return Err(Fault::value(flag, value, bound::NAME_FORM));
    }
    Ok(value.into())
}

fn address(flag: &'static str, value: &str) -> Result<SocketAddr, Fault> {
    let accepted = "an IP number and a port, for example 127.0.0.1:8080";
    let parsed = value.parse();
    parsed.map_err(|_| Fault::value(flag, value, accepted))
}

fn remote(flag: &'static str, value: &str) -> Result<SocketAddr, Fault> {
    let address = address(flag, value)?;
    let unspecified = match address.ip() {
        IpAddr::V4(ip) => ip.is_unspecified(),
        IpAddr::V6(ip) => ip.is_unspecified(),
    };
    if unspecified || address.port() == 0 {
        let accepted = "an IP number that can be connected to and a port above 0";
        return Err(Fault::value(flag, value, accepted));
    }
    Ok(address)
}

fn list(flag: &'static str, values: &[String]) -> Result<Vec<SocketAddr>, Fault> {
    // A variable cannot be repeated, so that a list is accepted as well.
    let values = values.iter().flat_map(|value| value.split(','));
    values.map(|value| remote(flag, value)).collect()
}

fn number<N>(flag: &'static str, value: &str, least: N, most: N) -> Result<N, Fault>
where
    N: Copy + Display + FromStr + PartialOrd,
{
    match value.parse::<N>() {
        Ok(number) if number >= least && number <= most => Ok(number),
        _ => {
            let accepted = format!("a whole number from {least} to {most}");
            Err(Fault::value(flag, value, accepted))
        }
    }
}
