//! Validation of the settings.

use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use savorylane_intent::bound;
use savorylane_policy::retry;
use savorylane_policy::route::Policy;

use super::arguments::Raw;
use super::{Adapter, Command, Fault, Readers, Settings};

/// Maximum rate of a link in megabits per second.
const MAX_LINK_MBPS: f64 = 1_000_000.0;

pub(super) fn check_settings(raw: Raw) -> Result<Command, Fault> {
    let settings = Settings {
        host: parse_name("host", &raw.host)?,
        region: parse_name("region", &raw.region)?,
        data_centre: parse_name("data-centre", &raw.data_centre)?,
        service: parse_name("service", &raw.service)?,
        entry: parse_address("entry", &raw.entry)?,
        data: parse_address("data", &raw.data)?,
        control: parse_address("control", &raw.control)?,
        operator: parse_address("operator", &raw.operator)?,
        upstream: parse_remote_address("upstream", &raw.upstream)?,
        health_path: raw.health.map(|path| parse_health(&path)).transpose()?,
        slots: parse_number("slots", &raw.slots, 1, 4096)?,
        platform: parse_remote_addresses("platform", &raw.platform)?,
        peers: parse_remote_addresses("peer", &raw.peer)?,
        key_horizon: Duration::from_secs(parse_number(
            "key-horizon-s",
            &raw.key_horizon_s,
            1,
            86_400,
        )?),
        first_start: raw.first_start || parse_first_start(raw.first_start_variable.as_deref())?,
        drain_limit: Duration::from_secs(parse_number(
            "drain-limit-s",
            &raw.drain_limit_s,
            1,
            3600,
        )?),
        max_body_bytes: parse_number::<u64>("body-mb", &raw.body_mb, 1, 4096)? * 1_000_000,
        caller_connections: parse_number("caller-connections", &raw.caller_connections, 1, 65_536)?,
        memory_mb: parse_whole("memory-mb", &raw.memory_mb, 16.0, 1_048_576.0)?,
        descriptors: parse_whole("descriptors", &raw.descriptors, 64.0, 1_048_576.0)? as usize,
        readers: parse_readers(&raw.readers)?,
        policy: parse_policy(&raw.policy)?,
        budgets: retry::Settings {
            retry_percent: parse_number("retry-percent", &raw.retry_percent, 0, 100)?,
            retry_burst: parse_number("retry-burst", &raw.retry_burst, 0, 1000)?,
            hedge_percent: parse_number("hedge-percent", &raw.hedge_percent, 0, 100)?,
        },
        link_mbps: parse_link_mbps(&raw.link_mbps)?,
        adapter: parse_adapter(&raw.adapter, raw.ready.as_deref(), raw.regions.as_deref())?,
        log_level: parse_log_level(&raw.log_level)?,
    };
    if settings.platform.is_empty() && settings.peers.is_empty() {
        return Err(Fault::Missing {
            flag: "platform",
            accepted: "pass --platform IP:PORT or --peer IP:PORT, or set SAVORYLANE_PLATFORM or SAVORYLANE_PEER".into(),
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
                "expected different addresses for entry, data, control and operator",
            ));
        }
    }
    Ok(Command {
        settings,
        check: raw.check,
    })
}

fn parse_adapter(
    name: &str,
    ready: Option<&str>,
    regions: Option<&str>,
) -> Result<Option<Adapter>, Fault> {
    match name {
        "none" => return Ok(None),
        "keyed-store" => {}
        _ => {
            return Err(Fault::value(
                "adapter",
                name,
                "expected `none` or `keyed-store`",
            ));
        }
    }
    let needed = |flag, value: &str| Fault::Missing {
        flag,
        accepted: format!("pass --{flag} {value} with --adapter keyed-store"),
    };
    let ready = ready.ok_or_else(|| needed("ready", "IP:PORT"))?;
    let regions = regions.ok_or_else(|| needed("regions", "JSON"))?;
    Ok(Some(Adapter {
        ready: parse_address("ready", ready)?,
        regions: serde_json::from_str(regions).map_err(|_| {
            let accepted = "expected a JSON object that maps data centres to regions";
            Fault::value("regions", regions, accepted)
        })?,
    }))
}

/// Parses the rate of a link. Platforms state it with a fraction, which is
/// rounded up, so that a rate below 1 does not become 0 (unknown).
fn parse_link_mbps(value: &str) -> Result<u32, Fault> {
    match value.parse::<f64>() {
        Ok(rate) if (0.0..=MAX_LINK_MBPS).contains(&rate) => Ok(rate.ceil() as u32),
        _ => {
            let accepted = format!("expected a number from 0 to {MAX_LINK_MBPS}");
            Err(Fault::value("link-mbps", value, accepted))
        }
    }
}

/// Parses a limit of the host. Platforms may state it with a fraction, which is
/// dropped.
fn parse_whole(flag: &'static str, value: &str, min: f64, max: f64) -> Result<u64, Fault> {
    match value.parse::<f64>() {
        Ok(number) if (min..=max).contains(&number) => Ok(number as u64),
        _ => {
            let accepted = format!("expected a number from {min} to {max}");
            Err(Fault::value(flag, value, accepted))
        }
    }
}

fn parse_health(value: &str) -> Result<String, Fault> {
    let accepted = "expected a path that starts with `/`, without `?`, `#` and spaces";
    let visible = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
    if !value.starts_with('/') || !value.chars().all(visible) {
        return Err(Fault::value("health", value, accepted));
    }
    Ok(value.into())
}

fn parse_readers(value: &str) -> Result<Readers, Fault> {
    match value {
        "all" => Ok(Readers::All),
        "ranked" => Ok(Readers::Ranked),
        _ => Err(Fault::value("readers", value, "expected `ranked` or `all`")),
    }
}

fn parse_policy(value: &str) -> Result<Policy, Fault> {
    match value {
        "savorylane" => Ok(Policy::Savorylane),
        "random" => Ok(Policy::Random),
        "round-robin" => Ok(Policy::RoundRobin),
        "least-outstanding" => Ok(Policy::LeastOutstanding),
        _ => Err(Fault::value(
            "policy",
            value,
            "expected `savorylane`, `random`, `round-robin` or `least-outstanding`",
        )),
    }
}

fn parse_first_start(value: Option<&str>) -> Result<bool, Fault> {
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

fn parse_log_level(value: &str) -> Result<log::LevelFilter, Fault> {
    match value {
        "error" => Ok(log::LevelFilter::Error),
        "warn" => Ok(log::LevelFilter::Warn),
        "info" => Ok(log::LevelFilter::Info),
        "debug" => Ok(log::LevelFilter::Debug),
        "trace" => Ok(log::LevelFilter::Trace),
        _ => Err(Fault::value(
            "log-level",
            value,
            "expected `error`, `warn`, `info`, `debug` or `trace`",
        )),
    }
}

fn parse_name(flag: &'static str, value: &str) -> Result<String, Fault> {
    // Names must have the form that host lists require. A daemon with any other
    // name could never be listed.
    if !bound::is_name(value) {
        return Err(Fault::value(flag, value, bound::EXPECTED_NAME));
    }
    Ok(value.into())
}

fn parse_address(flag: &'static str, value: &str) -> Result<SocketAddr, Fault> {
    let accepted = "expected IP:PORT, such as 127.0.0.1:8080";
    let parsed = value.parse();
    parsed.map_err(|_| Fault::value(flag, value, accepted))
}

fn parse_remote_address(flag: &'static str, value: &str) -> Result<SocketAddr, Fault> {
    let address = parse_address(flag, value)?;
    let unspecified = match address.ip() {
        IpAddr::V4(ip) => ip.is_unspecified(),
        IpAddr::V6(ip) => ip.is_unspecified(),
    };
    if unspecified || address.port() == 0 {
        let accepted =
            "expected IP:PORT with an address other than 0.0.0.0 or [::] and a port other than 0";
        return Err(Fault::value(flag, value, accepted));
    }
    Ok(address)
}

fn parse_remote_addresses(flag: &'static str, values: &[String]) -> Result<Vec<SocketAddr>, Fault> {
    // Also accepts lists separated by commas, because an environment variable
    // cannot be repeated.
    let values = values.iter().flat_map(|value| value.split(','));
    values
        .map(|value| parse_remote_address(flag, value))
        .collect()
}

fn parse_number<N>(flag: &'static str, value: &str, min: N, max: N) -> Result<N, Fault>
where
    N: Copy + Display + FromStr + PartialOrd,
{
    match value.parse::<N>() {
        Ok(number) if number >= min && number <= max => Ok(number),
        _ => {
            let accepted = format!("expected an integer from {min} to {max}");
            Err(Fault::value(flag, value, accepted))
        }
    }
}
