//! The platform's list of hosts.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};

use crate::bound;
use crate::fault::Fault;
use crate::manifest::MAX_VALUE_BYTES;

pub mod delta;

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
    #[serde(deserialize_with = "address")]
    pub entry: SocketAddr,
    /// Where other daemons send requests.
    #[serde(deserialize_with = "address")]
    pub data: SocketAddr,
    /// Where other daemons send control messages.
    #[serde(deserialize_with = "address")]
    pub control: SocketAddr,
    /// Where operators connect.
    #[serde(deserialize_with = "address")]
    pub operator: SocketAddr,
    /// State as the platform reports it.
    pub state: State,
    /// Instance of the upstream; requests for it name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<String>,
    /// Requests that the upstream runs at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether the platform no longer lists the host, and whoever made the list
    /// keeps it for a short time: its lease may have lapsed in an outage.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lapsed: bool,
}

/// Returns whether a field is left out of a message.
fn is_false(value: &bool) -> bool {
    !value
}

fn address<'de, Source: Deserializer<'de>>(source: Source) -> Result<SocketAddr, Source::Error> {
    let text = String::deserialize(source)?;
    text.parse().map_err(|_| {
        let value = bound::quote(&text);
        Source::Error::custom(format!("{value} is not accepted; accepted is IP:PORT"))
    })
}

impl Host {
    /// Returns the host's addresses with the names of their fields.
    pub fn addresses(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("entry", self.entry),
            ("data", self.data),
            ("control", self.control),
            ("operator", self.operator),
        ]
    }

    /// Checks the fields of the host; `field` is its path in error texts.
    fn check(&self, field: &str) -> Result<(), Fault> {
        bound::check_name(format_args!("{field}.name"), &self.name)?;
        bound::check_name(format_args!("{field}.region"), &self.region)?;
        bound::check_name(format_args!("{field}.data_centre"), &self.data_centre)?;
        bound::check_name(format_args!("{field}.service"), &self.service)?;
        let addresses = self.addresses();
        for (at, (port, address)) in addresses.iter().enumerate() {
            let accepted = if address.port() == 0 {
                "expected a port from 1 to 65535"
            } else if address.ip().is_unspecified() || address.ip().is_multicast() {
                "expected the unicast address of a host"
            } else if addresses[..at].iter().any(|(_, other)| other == address) {
                "expected four different addresses for the ports of a host"
            } else {
                continue;
            };
            return Err(Fault::value(
                format_args!("{field}.{port}"),
                format!("`{address}`"),
                accepted,
            ));
        }
        Ok(())
    }
}

/// Parses and checks a host list, and sorts it by name.
///
/// Two hosts may have the same address: the list lags, and may still hold a
/// host whose address its replacement took over. Requests name the host and
/// incarnation that they are for, so that the wrong daemon refuses them.
/// Services that no document holds are accepted, since documents and host
/// lists change independently.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn parse(bytes: &[u8]) -> Result<List, Fault> {
    bound::check_size("hosts", bytes.len(), MAX_VALUE_BYTES)?;
    check_list(bound::parse(bytes)?)
}

/// Checks a list, and sorts it by name.
fn check_list(mut list: List) -> Result<List, Fault> {
    bound::check_range("number", list.number, &bound::LIST_NUMBERS)?;
    bound::check_count("hosts", list.hosts.len(), bound::MAX_HOSTS)?;
    let mut regions = BTreeMap::new();
    for (at, host) in list.hosts.iter().enumerate() {
        host.check(&format!("hosts[{at}]"))?;
        let region = regions.entry(&host.data_centre).or_insert(&host.region);
        if *region != &host.region {
            return Err(Fault::value(
                format_args!("hosts[{at}].region"),
                bound::quote(&host.region),
                format!(
                    "expected `{region}`, the region of an earlier host in data centre `{}`",
                    host.data_centre
                ),
            ));
        }
    }
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

/// Returns the hosts of another daemon's `newer` list together with those that
/// only `own` names as live.
///
/// A host that is cut off from its platform is removed there although it
/// serves. Daemons that are cut off with it lose nothing by trying it, and
/// take the platform's list again when they reach it. It is marked as lapsed,
/// so that those that reach the platform do not take it back.
pub fn merge(own: &List, newer: List) -> List {
    let mut merged = newer;
    for host in &own.hosts {
        let known = merged.hosts.iter().any(|other| other.name == host.name);
        if !known && host.state == State::Live {
            merged.hosts.push(Host {
                lapsed: true,
                ..host.clone()
            });
        }
    }
    merged.hosts.sort_by(|a, b| a.name.cmp(&b.name));
    merged
}

/// Returns another daemon's `newer` list as a daemon takes it that has known
/// all changes until lately, and has `own` in force: of the lapsed hosts those
/// that are live there. Whoever keeps the others was cut off while they left.
pub fn without_departed(own: &List, newer: List) -> List {
    let known = |host: &Host| own.hosts.iter().find(|known| known.name == host.name);
    let taken = newer.hosts.into_iter().filter_map(|host| {
        if !host.lapsed {
            return Some(host);
        }
        match known(&host) {
            Some(known) if known.state == State::Live && known.instance == host.instance => {
                Some(host)
            }
            known => known.cloned(),
        }
    });
    List {
        number: newer.number,
        hosts: taken.collect(),
    }
}

/// Largest host list after inflation, bytes: the most hosts with the longest
/// names and addresses.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Compresses a list for a peer.
///
/// # Panics
///
/// Never: a list is expressible in JSON, and memory takes what is written.
pub fn pack(list: &List) -> Vec<u8> {
    deflate(&serde_json::to_vec(list).expect("a list is expressible in JSON"))
}

/// Inflates and checks a list of a peer.
///
/// # Errors
///
/// Returns the first [`Fault`] found; a list that inflates to more than
/// [`MAX_LIST_BYTES`] is malformed.
pub fn unpack(bytes: &[u8]) -> Result<List, Fault> {
    parse(&inflate(bytes)?)
}

fn deflate(json: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder
        .write_all(json)
        .expect("memory takes what is written");
    encoder.finish().expect("memory takes what is written")
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, Fault> {
    let mut json = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_LIST_BYTES as u64 + 1);
    decoder
        .read_to_end(&mut json)
        .map_err(|error| malformed(&error))?;
    if json.len() > MAX_LIST_BYTES {
        return Err(Fault::Malformed {
            reason: format!("the list inflates to more than {MAX_LIST_BYTES} bytes"),
        });
    }
    Ok(json)
}

fn malformed(error: &dyn std::error::Error) -> Fault {
    Fault::Malformed {
        reason: error.to_string(),
    }
}
