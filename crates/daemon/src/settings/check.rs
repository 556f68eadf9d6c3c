//! Checks of the settings.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use savorylane_intent::bound;
use savorylane_policy::retry;
use savorylane_policy::route::Policy;

use super::arguments::Raw;
use super::{Adapter, Command, Fault, Readers, Settings};

/// Greatest rate of a link that is accepted, megabits a second.
const LINK_MBPS_MAX: f64 = 1_000_000.0;

pub(super) fn check_all(raw: Raw) -> Result<Command, Fault> {
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
        health: raw.health.map(|path| health(&path)).transpose()?,
        slots: number("slots", &raw.slots, 1, 4096)?,
        platform: list("platform", &raw.platform)?,
        peers: list("peer", &raw.peer)?,
        key_horizon: Duration::from_secs(number("key-horizon-s", &raw.key_horizon_s, 1, 86_400)?),
        first_start: raw.first_start || first_start(raw.first_start_variable.as_deref())?,
        drain_limit: Duration::from_secs(number("drain-limit-s", &raw.drain_limit_s, 1, 3600)?),
        body_bytes: number::<u64>("body-mb", &raw.body_mb, 1, 4096)? * 1_000_000,
        caller_connections: number("caller-connections", &raw.caller_connections, 1, 65_536)?,
        readers: readers(&raw.readers)?,
        policy: policy(&raw.policy)?,
        budgets: retry::Settings {
            retry_percent: number("retry-percent", &raw.retry_percent, 0, 100)?,
            retry_burst: number("retry-burst", &raw.retry_burst, 0, 1000)?,
            hedge_percent: number("hedge-percent", &raw.hedge_percent, 0, 100)?,
        },
        link_mbps: link_mbps(&raw.link_mbps)?,
        adapter: adapter(&raw.adapter, raw.ready.as_deref(), raw.regions.as_deref())?,
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

fn adapter(
    name: &str,
    ready: Option<&str>,
    regions: Option<&str>,
) -> Result<Option<Adapter>, Fault> {
    match name {
        "none" => return Ok(None),
        "keyed-store" => {}
        _ => return Err(Fault::value("adapter", name, "one of none, keyed-store")),
    }
    let needed = |flag, value: &str| Fault::Missing {
        flag,
        accepted: format!("give --{flag} {value} with --adapter keyed-store"),
    };
    let ready = ready.ok_or_else(|| needed("ready", "IP:PORT"))?;
    let regions = regions.ok_or_else(|| needed("regions", "JSON"))?;
    Ok(Some(Adapter {
        ready: address("ready", ready)?,
        regions: serde_json::from_str(regions).map_err(|_| {
            let accepted = "a JSON object of data centres and their regions";
            Fault::value("regions", regions, accepted)
        })?,
    }))
}

/// Platforms state the rate with a fraction. One below a whole megabit is not
/// an unknown one.
fn link_mbps(value: &str) -> Result<u32, Fault> {
    match value.parse::<f64>() {
        Ok(rate) if (0.0..=LINK_MBPS_MAX).contains(&rate) => Ok(rate.ceil() as u32),
        _ => {
            let accepted = format!("a number from 0 to {LINK_MBPS_MAX}");
            Err(Fault::value("link-mbps", value, accepted))
        }
    }
}

fn health(value: &str) -> Result<String, Fault> {
    let accepted = "a path from `/`, without `?`, `#` and spaces";
    let visible = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
    if !value.starts_with('/') || !value.chars().all(visible) {
        return Err(Fault::value("health", value, accepted));
    }
    Ok(value.into())
}

fn readers(value: &str) -> Result<Readers, Fault> {
    match value {
        "all" => Ok(Readers::All),
        "ranked" => Ok(Readers::Ranked),
        _ => Err(Fault::value("readers", value, "one of ranked, all")),
    }
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

fn name(flag: &'static str, value: &str) -> Result<String, Fault> {
    // The same names as in host lists: a daemon under another name could never
    // be listed.
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
