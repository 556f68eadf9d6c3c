//! The platform's list of hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// The host list. It lags behind what the hosts do.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Number of the list; greater numbers win.
    pub number: u64,
    /// Hosts, live and leaving.
    pub hosts: Vec<Host>,
}

/// State of a host as the platform reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host takes work.
    Live,
    /// The host is about to go and takes no new work.
    Leaving,
}

/// An upstream host and the ports of its daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Region of the data centre.
    pub region: String,
    /// Data centre that holds the host.
    pub data_centre: String,
    /// Service that the host's upstream runs.
    pub service: String,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Where other daemons send requests.
    pub data: SocketAddr,
    /// Where other daemons send control messages.
    pub control: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// State as the platform reports it.
    pub state: State,
}

/// Parses and checks a host list.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn parse(bytes: &[u8]) -> Result<List, Fault> {
    let mut list: List = serde_json::from_slice(bytes).map_err(|error| Fault::Malformed {
        reason: error.to_string(),
    })?;
    list.hosts.sort_by(|a, b| a.name.cmp(&b.name));
    for pair in list.hosts.windows(2) {
        if pair[0].name == pair[1].name {
            return Err(Fault::Duplicate {
                field: "hosts".into(),
                name: pair[0].name.clone(),
            });
        }
    }
    Ok(list)
}
