//! Read-only queries of a view.

use std::sync::Arc;

use savorylane_intent::Version;
use savorylane_intent::hosts::Host;
use savorylane_wire::control::{Notice, Sender};

use super::View;
use crate::record::Record;
use crate::table::{Listing, OWN};

/// Status of one host, as shown to an operator.
#[derive(Clone, Debug)]
pub struct Status {
    /// Name of the host.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Merged record; `None` while none has been received.
    pub record: Option<Record>,
    /// State of the host in the host list.
    pub listing: Listing,
    /// Number of the host list that the host announced to this daemon; 0 if it
    /// announced none.
    pub list_number: u64,
    /// Whether new requests may be routed to the host.
    pub routable: bool,
    /// Whether a connection from this daemon failed on the request path.
    pub failing: bool,
    /// Whether the host is an elected reader in this view.
    pub reader: bool,
}

impl View {
    /// Returns a notice with the own version and the number of the own host
    /// list.
    pub fn notice(&self) -> Notice {
        let own = self.own_record();
        Notice {
            from: Sender {
                host: self.table.entry(OWN).name.to_string(),
                incarnation: own.incarnation,
            },
            version: own.version,
            hosts: self.table.list.number,
        }
    }

    /// Returns the record of the own host.
    pub fn own_record(&self) -> &Record {
        self.table
            .entry(OWN)
            .record
            .as_ref()
            .expect("own record is set at creation")
    }

    /// Returns the record of a host; `None` if none has been received.
    pub fn record(&self, host: &str) -> Option<Record> {
        self.table.entry(self.table.index(host)?).record
    }

    /// Returns whether new requests may be routed to the host.
    pub fn routable(&self, host: &str) -> bool {
        let index = self.table.index(host);
        index.is_some_and(|index| self.table.entry(index).routable)
    }

    /// Returns the descriptions of routable hosts that the host list does not
    /// contain.
    pub fn unlisted(&self) -> impl Iterator<Item = &Host> {
        let entries = self.table.entries.iter().flatten();
        entries
            .filter(|entry| entry.listing == Listing::Absent && entry.routable)
            .filter_map(|entry| self.table.unlisted(&entry.name))
    }

    /// Returns the number of the host list in use.
    pub fn list_number(&self) -> u64 {
        self.table.list.number
    }

    /// Returns whether this daemon is an elected reader.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Returns the elected readers of a data centre, highest rank first.
    pub fn readers(&self, data_centre: &str) -> Vec<Arc<str>> {
        let mut centres = self.table.centres.iter();
        let centre = centres.find(|centre| &*centre.name == data_centre);
        let readers = centre.into_iter().flat_map(|centre| &centre.readers);
        readers
            .map(|&index| self.table.entry(index).name.clone())
            .collect()
    }

    /// Returns the rank, from 0, of this daemon among the readers of all data
    /// centres for reading `version`; `None` if this daemon is not a reader.
    ///
    /// The ranking differs by version, so that the first read does not always
    /// fall to the same host.
    pub fn reader_rank(&self, version: &Version) -> Option<usize> {
        if !self.reader {
            return None;
        }
        let score = |index: u32| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&version.number.to_be_bytes());
            hasher.update(&version.hash.0);
            hasher.update(self.table.entry(index).name.as_bytes());
            *hasher.finalize().as_bytes()
        };
        let own = score(OWN);
        let readers = self.table.centres.iter().flat_map(|centre| &centre.readers);
        Some(
            readers
                .filter(|&&index| index != OWN && score(index) > own)
                .count(),
        )
    }

    /// Returns whether another data centre counts as cut off, because the last
    /// exchanges of this daemon with its hosts all failed.
    pub fn cut_off(&self, data_centre: &str) -> bool {
        let centres = &self.table.centres;
        let found = centres
            .iter()
            .position(|centre| &*centre.name == data_centre);
        found.is_some_and(|index| self.table.cut_off(index as u16))
    }

    /// Returns the status of each host.
    pub fn status(&self) -> impl Iterator<Item = Status> + '_ {
        self.table.indices().map(|index| {
            let entry = self.table.entry(index);
            let centre = &self.table.centres[usize::from(entry.centre)];
            Status {
                host: entry.name.clone(),
                data_centre: centre.name.clone(),
                record: entry.record,
                listing: entry.listing,
                list_number: entry.list_number,
                routable: entry.routable,
                failing: entry.failing,
                reader: centre.readers.contains(&index),
            }
        })
    }
}
