//! What a view tells without changing.

use std::sync::Arc;

use savorylane_intent::Version;
use savorylane_intent::hosts::Host;
use savorylane_wire::control::{Notice, Sender};

use super::View;
use crate::record::Record;
use crate::table::{Listing, OWN};

/// What an operator is told of one host.
#[derive(Clone, Debug)]
pub struct Status {
    /// Name of the host.
    pub host: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Greatest record; `None` when nothing was heard of the host.
    pub record: Option<Record>,
    /// What the host list says.
    pub listing: Listing,
    /// Number of the host's own host list, 0 when it did not tell this daemon.
    pub list_number: u64,
    /// Whether the host may be given new work.
    pub routable: bool,
    /// Whether exchanges of this daemon with the host failed.
    pub failing: bool,
    /// Whether the host is believed to be a reader.
    pub reader: bool,
}

impl View {
    /// Returns the notice of the own version.
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

    /// Returns the own record.
    pub fn own_record(&self) -> &Record {
        self.table
            .entry(OWN)
            .record
            .as_ref()
            .expect("the own record is set at start")
    }

    /// Returns the record of a host; `None` when nothing was heard of it.
    pub fn record(&self, host: &str) -> Option<Record> {
        self.table.entry(self.table.index(host)?).record
    }

    /// Returns whether the host may be given new work.
    pub fn routable(&self, host: &str) -> bool {
        let index = self.table.index(host);
        index.is_some_and(|index| self.table.entry(index).routable)
    }

    /// Returns the descriptions of routable hosts that the host list lacks.
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

    /// Returns whether this daemon is a reader.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// Returns the readers of a data centre, highest rank first.
    pub fn readers(&self, data_centre: &str) -> Vec<Arc<str>> {
        let mut centres = self.table.centres.iter();
        let centre = centres.find(|centre| &*centre.name == data_centre);
        let readers = centre.into_iter().flat_map(|centre| &centre.readers);
        readers
            .map(|&index| self.table.entry(index).name.clone())
            .collect()
    }

    /// Returns the rank of this daemon among all readers for reading `version`,
    /// from 0; `None` when it is no reader. The order differs by version, so
    /// that the first read does not always fall to one host.
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

    /// Returns whether the last exchanges of this daemon with another data
    /// centre all failed.
    pub fn cut_off(&self, data_centre: &str) -> bool {
        let centres = &self.table.centres;
        let found = centres
            .iter()
            .position(|centre| &*centre.name == data_centre);
        found.is_some_and(|index| self.table.cut_off(index as u16))
    }

    /// Returns what an operator is told of each host.
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
