//! Settings of the commands that call a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use savorylane_intent::bound;
use savorylane_wire::operator::Scope;

use super::{Action, Command, Requirement, Settings, parse_output};
use crate::arguments::{Arguments, Daemon};
use crate::fault::Fault;

/// Maximum value of `--limit-s`, in seconds: one day.
const MAX_LIMIT_S: u64 = 86_400;
/// Default of `--limit-s` for `drain`, in seconds; equal to the default of a
/// daemon's `--drain-limit-s`.
const DEFAULT_DRAIN_LIMIT_S: u64 = 60;
/// Maximum number of audit entries that a daemon returns.
const MAX_AUDIT_ENTRIES: u64 = 1000;
/// Number of audit entries that are shown by default.
const DEFAULT_AUDIT_ENTRIES: u64 = 100;
/// Number of hexadecimal digits in a complete hash.
const MAX_HASH_DIGITS: usize = 64;

/// Validates the values of a command that calls a daemon.
///
/// # Errors
///
/// Returns [`Fault::Setting`] for the first value that is not accepted, and
/// [`Fault::Missing`] for a required value that is not given.
///
/// # Panics
///
/// Panics if `arguments` belong to another command.
pub(super) fn check(arguments: Arguments) -> Result<Settings, Fault> {
    let (daemon, action) = match arguments {
        Arguments::Status { daemon, scope } => {
            let scope = parse_scope(scope.as_deref())?;
            (daemon, Action::Status { scope })
        }
        Arguments::Wait {
            daemon,
            version,
            hash,
            limit_s,
        } => {
            let number = parse_number(
                "--version",
                version,
                *bound::DOCUMENT_NUMBERS.start(),
                *bound::DOCUMENT_NUMBERS.end(),
            )?
            .ok_or_else(|| missing("--version", "SAVORYLANE_VERSION", "NUMBER"))?;
            let hash = parse_hash(hash)?;
            let seconds = parse_limit(limit_s)?
                .ok_or_else(|| missing("--limit-s", "SAVORYLANE_LIMIT_S", "SECONDS"))?;
            let limit = Duration::from_secs(seconds);
            let requirement = Requirement { number, hash };
            (daemon, Action::Wait { requirement, limit })
        }
        Arguments::Audit {
            daemon,
            after,
            most,
        } => {
            let after = parse_number("--after", after, 0, u64::MAX)?.unwrap_or(0);
            let max_entries = parse_number("--most", most, 1, MAX_AUDIT_ENTRIES)?
                .unwrap_or(DEFAULT_AUDIT_ENTRIES);
            (daemon, Action::Audit { after, max_entries })
        }
        Arguments::Drain { daemon, limit_s } => {
            let limit = Duration::from_secs(parse_limit(limit_s)?.unwrap_or(DEFAULT_DRAIN_LIMIT_S));
            (daemon, Action::Drain { limit })
        }
        Arguments::Diff { .. }
        | Arguments::Explain { .. }
        | Arguments::Split { .. }
        | Arguments::Target(_)
        | Arguments::Validate { .. } => unreachable!("the caller handles the other commands"),
    };
    Ok(Settings {
        output: parse_output(daemon.output.clone())?,
        command: Command::Remote {
            operator: parse_operator(&daemon)?,
            action,
        },
    })
}

fn missing(flag: &str, variable: &str, metavar: &str) -> Fault {
    Fault::missing(flag, &format!("pass {flag} {metavar} or set {variable}"))
}

fn parse_operator(daemon: &Daemon) -> Result<SocketAddr, Fault> {
    let Some(text) = &daemon.operator else {
        return Err(missing("--operator", "SAVORYLANE_OPERATOR", "IP:PORT"));
    };
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Ok(address),
        _ => Err(Fault::setting(
            "--operator",
            text,
            "expected IP:PORT, such as 127.0.0.1:8083, with an address other than 0.0.0.0 or [::] and a port other than 0",
        )),
    }
}

fn parse_scope(text: Option<&str>) -> Result<Scope, Fault> {
    match text {
        None | Some("fleet") => Ok(Scope::Fleet),
        Some("data-centre") => Ok(Scope::DataCentre),
        Some("host") => Ok(Scope::Host),
        Some(text) => Err(Fault::setting(
            "--scope",
            text,
            "expected `host`, `data-centre` or `fleet`",
        )),
    }
}

fn parse_hash(text: Option<String>) -> Result<String, Fault> {
    let Some(text) = text else {
        return Ok(String::new());
    };
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.is_empty() || text.len() > MAX_HASH_DIGITS || !text.chars().all(digit) {
        let accepted = "expected 1 to 64 lower-case hexadecimal digits";
        return Err(Fault::setting("--hash", &text, accepted));
    }
    Ok(text)
}

fn parse_limit(text: Option<String>) -> Result<Option<u64>, Fault> {
    parse_number("--limit-s", text, 1, MAX_LIMIT_S)
}

fn parse_number(
    flag: &str,
    text: Option<String>,
    min: u64,
    max: u64,
) -> Result<Option<u64>, Fault> {
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) if (min..=max).contains(&number) => Ok(Some(number)),
        _ => Err(Fault::setting(
            flag,
            &text,
            &format!("expected an integer from {min} to {max}"),
        )),
    }
}
