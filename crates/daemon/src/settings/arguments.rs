//! Command line and environment variables.

use bpaf::{OptionParser, Parser, construct, long};

use super::check::check_settings;
use super::{Command, Fault};

/// Unvalidated settings from the command line and the environment.
#[derive(Clone, Debug)]
pub(super) struct Raw {
    pub(super) host: String,
    pub(super) region: String,
    pub(super) data_centre: String,
    pub(super) service: String,
    pub(super) entry: String,
    pub(super) data: String,
    pub(super) control: String,
    pub(super) operator: String,
    pub(super) upstream: String,
    pub(super) health: Option<String>,
    pub(super) slots: String,
    pub(super) platform: Vec<String>,
    pub(super) peer: Vec<String>,
    pub(super) key_horizon_s: String,
    pub(super) first_start: bool,
    pub(super) first_start_variable: Option<String>,
    pub(super) drain_limit_s: String,
    pub(super) body_mb: String,
    pub(super) caller_connections: String,
    pub(super) memory_mb: String,
    pub(super) descriptors: String,
    pub(super) readers: String,
    pub(super) policy: String,
    pub(super) retry_percent: String,
    pub(super) retry_burst: String,
    pub(super) hedge_percent: String,
    pub(super) link_mbps: String,
    pub(super) adapter: String,
    pub(super) ready: Option<String>,
    pub(super) regions: Option<String>,
    pub(super) log_level: String,
    pub(super) check: bool,
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
            accepted: format!("pass --{flag} {meta} or set {variable}"),
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
        "Name of this host; required",
    );
    let region = required(
        "region",
        "SAVORYLANE_REGION",
        "NAME",
        "Region of the host; required",
    );
    let data_centre = required(
        "data-centre",
        "SAVORYLANE_DATA_CENTRE",
        "NAME",
        "Data centre of the host; required",
    );
    let service = required(
        "service",
        "SAVORYLANE_SERVICE",
        "NAME",
        "Service that the upstream of this host runs; required",
    );
    let entry = optional(
        "entry",
        "SAVORYLANE_ENTRY",
        "IP:PORT",
        "Address on which callers connect",
        "0.0.0.0:8080",
    );
    let data = optional(
        "data",
        "SAVORYLANE_DATA",
        "IP:PORT",
        "Address to which other daemons send requests",
        "0.0.0.0:8081",
    );
    let control = optional(
        "control",
        "SAVORYLANE_CONTROL",
        "IP:PORT",
        "Address to which other daemons send control messages",
        "0.0.0.0:8082",
    );
    let operator = optional(
        "operator",
        "SAVORYLANE_OPERATOR",
        "IP:PORT",
        "Address on which operators connect and metrics are served",
        "127.0.0.1:8083",
    );
    let upstream = required(
        "upstream",
        "SAVORYLANE_UPSTREAM",
        "IP:PORT",
        "Address of the host's upstream; required",
    );
    let health = argument(
        "health",
        "SAVORYLANE_HEALTH",
        "PATH",
        "Path of the upstream's health report; while it answers 503, no new work is sent",
    )
    .optional();
    let slots = optional(
        "slots",
        "SAVORYLANE_SLOTS",
        "COUNT",
        "Maximum number of concurrent requests at the upstream",
        "6",
    );
    let platform = argument(
        "platform",
        "SAVORYLANE_PLATFORM",
        "IP:PORT",
        "Address of the platform; may be repeated or a comma-separated list",
    )
    .many();
    let peer = argument(
        "peer",
        "SAVORYLANE_PEER",
        "IP:PORT",
        "Control address of a daemon that is contacted at the start; may be repeated or a comma-separated list",
    )
    .many();
    let key_horizon_s = optional(
        "key-horizon-s",
        "SAVORYLANE_KEY_HORIZON_S",
        "SECONDS",
        "Time after which callers no longer resend an idempotency key without attempt numbers",
        "30",
    );
    let first_start = long("first-start")
        .help("States that no earlier process of the deployment served within the key horizon; or set SAVORYLANE_FIRST_START to `true`")
        .switch();
    // The library's switches are on if their variable has any value, including
    // `false`. A first start that is stated by mistake lets work with an
    // idempotency key run twice.
    let first_start_variable = bpaf::env("SAVORYLANE_FIRST_START")
        .help("`true` or `false`; equivalent to `--first-start`")
        .argument::<String>("BOOL")
        .optional();
    let drain_limit_s = optional(
        "drain-limit-s",
        "SAVORYLANE_DRAIN_LIMIT_S",
        "SECONDS",
        "Time for which a shutdown waits for requests in flight",
        "60",
    );
    let body_mb = optional(
        "body-mb",
        "SAVORYLANE_BODY_MB",
        "MEGABYTES",
        "Maximum size of a request or answer body",
        "64",
    );
    let caller_connections = optional(
        "caller-connections",
        "SAVORYLANE_CALLER_CONNECTIONS",
        "COUNT",
        "Maximum number of open connections from one caller address",
        "256",
    );
    let memory_mb = optional(
        "memory-mb",
        "SAVORYLANE_MEMORY_MB",
        "MEGABYTES",
        "Memory that the process may use; callers' connections get half of it, their bodies a quarter",
        "256",
    );
    let descriptors = optional(
        "descriptors",
        "SAVORYLANE_DESCRIPTORS",
        "COUNT",
        "Descriptors that the process may open; callers' connections get half of them",
        "8192",
    );
    let readers = optional(
        "readers",
        "SAVORYLANE_READERS",
        "NAME",
        "Hosts that watch the platform: `ranked` (two hosts of each data centre) or `all` (for comparison only)",
        "ranked",
    );
    let policy = optional(
        "policy",
        "SAVORYLANE_POLICY",
        "NAME",
        "Policy by which hosts are chosen: `savorylane`, or one of the baselines `random`, `round-robin` and `least-outstanding`",
        "savorylane",
    );
    let retry_percent = optional(
        "retry-percent",
        "SAVORYLANE_RETRY_PERCENT",
        "COUNT",
        "Percentage of first attempts that may be retried",
        "10",
    );
    let retry_burst = optional(
        "retry-burst",
        "SAVORYLANE_RETRY_BURST",
        "COUNT",
        "Maximum number of retries of a class in a burst, beyond the percentage",
        "10",
    );
    let hedge_percent = optional(
        "hedge-percent",
        "SAVORYLANE_HEDGE_PERCENT",
        "COUNT",
        "Percentage of first attempts that may be hedged; 0 disables hedges",
        "5",
    );
    let link_mbps = optional(
        "link-mbps",
        "SAVORYLANE_LINK_MBPS",
        "RATE",
        "Rate of the host's link in megabits per second, 0 if unknown; hosts on fast links read the store for others",
        "0",
    );
    let adapter = optional(
        "adapter",
        "SAVORYLANE_ADAPTER",
        "NAME",
        "Platform to run on: `none` (the product's own platform) or `keyed-store`",
        "none",
    );
    let ready = argument(
        "ready",
        "SAVORYLANE_READY",
        "IP:PORT",
        "Address at which the platform probes whether callers are accepted; required with `--adapter keyed-store`",
    )
    .optional();
    let regions = argument(
        "regions",
        "SAVORYLANE_REGIONS",
        "JSON",
        "JSON object that maps data centres to regions; required with `--adapter keyed-store`",
    )
    .optional();
    let log_level = optional(
        "log-level",
        "SAVORYLANE_LOG_LEVEL",
        "LEVEL",
        "Least severe level of log lines: `error`, `warn`, `info`, `debug` or `trace`",
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
        health,
        slots,
        platform,
        peer,
        key_horizon_s,
        first_start,
        first_start_variable,
        drain_limit_s,
        body_mb,
        caller_connections,
        memory_mb,
        descriptors,
        readers,
        policy,
        retry_percent,
        retry_burst,
        hedge_percent,
        link_mbps,
        adapter,
        ready,
        regions,
        log_level,
        check
    })
    .map(check_settings)
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Savorylane daemon: entry for callers and gatekeeper of one upstream")
}
