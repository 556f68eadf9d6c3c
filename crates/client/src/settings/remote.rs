//! Settings of the commands that ask a daemon.

use std::net::SocketAddr;
use std::time::Duration;

use savorylane_intent::bound;
use savorylane_wire::operator::Scope;

use super::{Action, Command, Settings, Wanted, check_output};
use crate::arguments::{Arguments, Daemon};
use crate::fault::Fault;

/// Longest wait, seconds: one day.
const LIMIT_S: u64 = 86_400;
/// Wait of `drain` by default, seconds: the drain limit of a daemon by default.
const DRAIN_S: u64 = 60;
/// Audit entries that a daemon returns at most.
const MOST: u64 = 1000;
/// Audit entries that are shown by default.
const MOST_DEFAULT: u64 = 100;
/// Hexadecimal digits of a hash.
const HASH_DIGITS: usize = 64;

/// Checks the values of a command that asks a daemon.
pub(super) fn check(arguments: Arguments) -> Result<Settings, Fault> {
    let (daemon, action) = match arguments {
        Arguments::Status { daemon, scope } => {
            let scope = check_scope(scope.as_deref())?;
            (daemon, Action::Status { scope })
        }
        Arguments::Wait {
            daemon,
            version,
            hash,
            limit_s,
        } => {
            let number = number(
                "--version",
                version,
                *bound::DOCUMENT_NUMBERS.start(),
                *bound::DOCUMENT_NUMBERS.end(),
            )?
            .ok_or_else(|| missing("--version", "SAVORYLANE_VERSION", "NUMBER"))?;
            let hash = check_hash(hash)?;
            let seconds = number_limit(limit_s)?
                .ok_or_else(|| missing("--limit-s", "SAVORYLANE_LIMIT_S", "SECONDS"))?;
            let limit = Duration::from_secs(seconds);
            let wanted = Wanted { number, hash };
            (daemon, Action::Wait { wanted, limit })
        }
        Arguments::Audit {
            daemon,
            after,
            most,
        } => {
            let after = number("--after", after, 0, u64::MAX)?.unwrap_or(0);
            let most = number("--most", most, 1, MOST)?.unwrap_or(MOST_DEFAULT);
            (daemon, Action::Audit { after, most })
        }
        Arguments::Drain { daemon, limit_s } => {
            let limit = Duration::from_secs(number_limit(limit_s)?.unwrap_or(DRAIN_S));
            (daemon, Action::Drain { limit })
        }
        Arguments::Diff { .. }
        | Arguments::Explain { .. }
        | Arguments::Split { .. }
        | Arguments::Target(_)
        | Arguments::Validate { .. } => unreachable!("the caller handles the other commands"),
    };
    Ok(Settings {
        output: check_output(daemon.output.clone())?,
        command: Command::Remote {
            operator: check_operator(&daemon)?,
            action,
        },
    })
}

fn missing(flag: &str, variable: &str, meta: &str) -> Fault {
    Fault::missing(flag, &format!("give {flag} {meta} or set {variable}"))
}

fn check_operator(daemon: &Daemon) -> Result<SocketAddr, Fault> {
    let Some(text) = &daemon.operator else {
        return Err(missing("--operator", "SAVORYLANE_OPERATOR", "IP:PORT"));
    };
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Ok(address),
        _ => Err(Fault::setting(
            "--operator",
            text,
            "accepted are an IP number that can be connected to and a port above 0, such as 127.0.0.1:8083",
        )),
    }
}

fn check_scope(text: Option<&str>) -> Result<Scope, Fault> {
    match text {
        None | Some("fleet") => Ok(Scope::Fleet),
        Some("data-centre") => Ok(Scope::DataCentre),
        Some("host") => Ok(Scope::Host),
        Some(text) => Err(Fault::setting(
            "--scope",
            text,
            "accepted are `host`, `data-centre` and `fleet`",
        )),
    }
}

fn check_hash(text: Option<String>) -> Result<String, Fault> {
    let Some(text) = text else {
        return Ok(String::new());
    };
    let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if text.is_empty() || text.len() > HASH_DIGITS || !text.chars().all(digit) {
        let accepted = "accepted are 1 to 64 hexadecimal digits in lower case";
        return Err(Fault::setting("--hash", &text, accepted));
    }
    Ok(text)
}

fn number_limit(text: Option<String>) -> Result<Option<u64>, Fault> {
    number("--limit-s", text, 1, LIMIT_S)
}

fn number(flag: &str, text: Option<String>, least: u64, most: u64) -> Result<Option<u64>, Fault> {
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(Some(number)),
        _ => Err(Fault::setting(
            flag,
            &text,
            &format!("accepted are whole numbers from {least} to {most}"),
        )),
    }
}
