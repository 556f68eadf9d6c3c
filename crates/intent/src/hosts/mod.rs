//! Host lists: the platform's view of the hosts and their services.

use std::collections::{BTreeMap, BTreeSet};
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

/// A host list. It lags behind the actual state of the hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// Number of the list; a greater number takes precedence.
    pub number: u64,
    /// Live and leaving hosts.
    pub hosts: Vec<Host>,
}

impl List {
    /// Returns whether the list has a host with the name `name`.
    pub fn contains(&self, name: &str) -> bool {
        self.hosts.iter().any(|host| host.name == name)
    }

    /// Returns whether a data centre is evacuated, or `None` if the list has no
    /// host there.
    pub fn is_evacuated(&self, data_centre: &str) -> Option<bool> {
        let hosts = self.hosts.iter();
        let mut marks = hosts
            .filter(|host| host.data_centre == data_centre)
            .map(|host| host.evacuated)
            .peekable();
        marks.peek()?;
        Some(marks.any(|evacuated| evacuated))
    }

    /// Returns the hosts whose names `other` lacks.
    pub fn hosts_missing_in(&self, other: &Self) -> Vec<&Host> {
        let names: BTreeSet<&str> = other.hosts.iter().map(|host| host.name.as_str()).collect();
        let missing = self.hosts.iter();
        missing
            .filter(|host| !names.contains(host.name.as_str()))
            .collect()
    }
}

/// State of a host as the platform reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host accepts requests.
    Live,
    /// The host is about to stop and accepts no new requests.
    Leaving,
}

/// A host of an upstream, with the addresses of the host's daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Region of the data centre.
    pub region: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Service that the host's upstream runs.
    pub service: String,
    /// Address for callers' connections.
    #[serde(deserialize_with = "address")]
    pub entry: SocketAddr,
    /// Address for requests that other daemons forward.
    #[serde(deserialize_with = "address")]
    pub data: SocketAddr,
    /// Address for control messages of other daemons.
    #[serde(deserialize_with = "address")]
    pub control: SocketAddr,
    /// Address for operators' connections.
    #[serde(deserialize_with = "address")]
    pub operator: SocketAddr,
    /// State as the platform reports it.
    pub state: State,
    /// Id of the upstream's instance, which requests to the upstream state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<String>,
    /// Number of requests that the upstream runs concurrently.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Whether the platform no longer lists the host, although the host may
    /// still serve: its lease may have lapsed during an outage, or while the
    /// host was cut off from the platform together with the daemon that uses
    /// this list.
    #[serde(default, skip_serializing_if = "is_false")]
    pub lapsed: bool,
    /// Whether operators evacuate the data centre of the host, so that its
    /// upstream must get no requests.
    #[serde(default, skip_serializing_if = "is_false")]
    pub evacuated: bool,
    /// Time for which the upstream stayed cold when the reader of the platform
    /// learned it, in milliseconds; 0 if it is warm or nothing limits the
    /// requests to a cold one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u32,
}

/// Returns whether `value` is zero, in which case a field is not serialized.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Returns whether `value` is false, in which case a field is not serialized.
fn is_false(value: &bool) -> bool {
    !value
}

/// Parses an address.
///
/// Peers may receive the text of the error: the RPC library puts it into the
/// error for a parameter with a malformed address.
fn address<'de, Source: Deserializer<'de>>(source: Source) -> Result<SocketAddr, Source::Error> {
    let text = String::deserialize(source)?;
    text.parse().map_err(|_| {
        let value = bound::quote(&text);
        Source::Error::custom(format!("{value} is not accepted; accepted is IP:PORT"))
    })
}

impl Host {
    /// Returns the addresses of the host, each with the name of its field.
    pub fn addresses(&self) -> [(&'static str, SocketAddr); 4] {
        [
            ("entry", self.entry),
            ("data", self.data),
            ("control", self.control),
            ("operator", self.operator),
        ]
    }

    /// Checks that a list may contain the host; `field` is its path in error
    /// messages.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn check(&self, field: &str) -> Result<(), Fault> {
        bound::check_name(format_args!("{field}.name"), &self.name)?;
        bound::check_name(format_args!("{field}.region"), &self.region)?;
        bound::check_name(format_args!("{field}.data_centre"), &self.data_centre)?;
        bound::check_name(format_args!("{field}.service"), &self.service)?;
        let addresses = self.addresses();
        for (index, (port, address)) in addresses.iter().enumerate() {
            let accepted = if address.port() == 0 {
                "expected a port from 1 to 65535"
            } else if address.ip().is_unspecified() || address.ip().is_multicast() {
                "expected the unicast address of a host"
            } else if addresses[..index].iter().any(|(_, other)| other == address) {
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
/// Two hosts may have the same address: the list lags, and may still contain a
/// host whose address its replacement has taken over. This is safe, since a
/// request names the host and incarnation for which it is meant, and any other
/// daemon refuses it.
///
/// A service that no document contains is accepted, since documents and host
/// lists change independently.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn parse(bytes: &[u8]) -> Result<List, Fault> {
    bound::check_size("hosts", bytes.len(), MAX_VALUE_BYTES)?;
    check_list(bound::parse(bytes)?)
}

/// Checks a list and sorts it by name.
fn check_list(mut list: List) -> Result<List, Fault> {
    bound::check_range("number", list.number, &bound::LIST_NUMBERS)?;
    bound::check_count("hosts", list.hosts.len(), bound::MAX_HOSTS)?;
    match drop_faulty(&mut list.hosts).into_iter().next() {
        Some(fault) => Err(fault),
        None => Ok(list),
    }
}

/// A list of a peer without the hosts that may not be in a list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Checked {
    /// The list with all other hosts, sorted by name.
    pub list: List,
    /// Fault of each host that was dropped.
    pub dropped: Vec<Fault>,
}

/// Drops each host of a peer's list that may not be in a list, so that one such
/// host does not keep the others, and all later lists, from this daemon.
///
/// # Errors
///
/// Returns a [`Fault`] if the list has too many hosts.
fn check_peer_list(mut list: List) -> Result<Checked, Fault> {
    bound::check_count("hosts", list.hosts.len(), bound::MAX_HOSTS)?;
    let dropped = drop_faulty(&mut list.hosts);
    Ok(Checked { list, dropped })
}

/// Sorts hosts by name and drops those that may not be in one list. Returns the
/// fault of each. Of hosts with one name, the first remains.
fn drop_faulty(hosts: &mut Vec<Host>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut regions = BTreeMap::new();
    let mut index = 0;
    hosts.retain(|host| {
        let checked = check_host(host, &format!("hosts[{index}]"), &mut regions);
        index += 1;
        checked.map_err(|fault| faults.push(fault)).is_ok()
    });
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    hosts.dedup_by(|later, earlier| {
        let duplicate = later.name == earlier.name;
        if duplicate {
            faults.push(Fault::Duplicate {
                field: "hosts".into(),
                name: later.name.clone(),
            });
        }
        duplicate
    });
    faults
}

/// Checks a host and that its data centre is in one region; `regions` has the
/// regions of the hosts before it.
fn check_host(
    host: &Host,
    field: &str,
    regions: &mut BTreeMap<String, String>,
) -> Result<(), Fault> {
    host.check(field)?;
    let Some(region) = regions.get(&host.data_centre) else {
        regions.insert(host.data_centre.clone(), host.region.clone());
        return Ok(());
    };
    if *region == host.region {
        return Ok(());
    }
    Err(Fault::value(
        format_args!("{field}.region"),
        bound::quote(&host.region),
        format!(
            "expected `{region}`, the region of an earlier host in data centre `{}`",
            host.data_centre
        ),
    ))
}

/// Returns another daemon's `newer` list, extended by the live hosts that only
/// `own` contains. The added hosts are marked as lapsed.
///
/// A platform removes a host that is cut off from it, although the host still
/// serves. Daemons that are cut off together with the host lose nothing by
/// trying it, and return to the platform's list once they reach the platform
/// again. They cannot tell such a host from one that has left, so the result is
/// only for the daemon that is cut off: a daemon that gets it cannot either.
pub fn merge(own: &List, newer: List) -> List {
    let missing = own.hosts_missing_in(&newer).into_iter();
    let live = missing.filter(|host| host.state == State::Live);
    let added: Vec<Host> = live
        .map(|host| Host {
            lapsed: true,
            ..with_evacuation(host, &newer)
        })
        .collect();
    let mut merged = newer;
    merged.hosts.extend(added);
    merged.hosts.sort_by(|a, b| a.name.cmp(&b.name));
    merged
}

/// Returns `host` with the evacuation that `newer` shows for its data centre, if
/// that list has a host there.
fn with_evacuation(host: &Host, newer: &List) -> Host {
    Host {
        evacuated: newer
            .is_evacuated(&host.data_centre)
            .unwrap_or(host.evacuated),
        ..host.clone()
    }
}

/// Returns another daemon's `newer` list without lapsed hosts that have left
/// according to `own`, for a daemon whose own list was up to date until
/// recently.
///
/// A lapsed host is adopted only if `own` contains the same instance as live.
/// Otherwise the entry in `own` replaces the lapsed host, and a host without an
/// entry in `own` is dropped: the daemon that marked the host as lapsed was cut
/// off from the platform while the host left.
pub fn without_departed(own: &List, newer: List) -> List {
    let known = |host: &Host| own.hosts.iter().find(|known| known.name == host.name);
    let adopted = newer.hosts.iter().filter_map(|host| {
        if !host.lapsed {
            return Some(host.clone());
        }
        match known(host) {
            Some(known) if known.state == State::Live && known.instance == host.instance => {
                Some(host.clone())
            }
            known => known.map(|known| with_evacuation(known, &newer)),
        }
    });
    List {
        number: newer.number,
        hosts: adopted.collect(),
    }
}

/// Maximum size of a host list after inflation, in bytes: that of the maximum
/// number of hosts with the longest names and addresses.
pub const MAX_LIST_BYTES: usize = 4 << 20;

/// Encodes a list for a peer as compressed JSON.
///
/// # Panics
///
/// Never: every list can be written as JSON, and writing to memory does not
/// fail.
pub fn pack(list: &List) -> Vec<u8> {
    deflate(&serde_json::to_vec(list).expect("a list can be written as JSON"))
}

/// Decodes a list of a peer, and drops the hosts that may not be in a list.
///
/// # Errors
///
/// Returns [`Fault::Malformed`] if the list is truncated or corrupted or
/// inflates to more than [`MAX_LIST_BYTES`], or another [`Fault`] if it has too
/// many hosts.
pub fn unpack(bytes: &[u8]) -> Result<Checked, Fault> {
    check_peer_list(bound::parse(&inflate(bytes)?)?)
}

fn deflate(json: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder
        .write_all(json)
        .expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
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
