//! What daemons tell each other of their roles, and what a driver does next.

use std::sync::Arc;
use std::time::Duration;

/// A host by its name, with the rate of its link in megabits a second; 0 if
/// the rate is not known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub name: Arc<str>,
    /// Rate of its link.
    pub rate: u32,
}

/// Where a host stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Name of the host.
    pub name: Arc<str>,
    /// Data centre that holds it.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}

/// What a poll tells of its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Poll {
    /// The sender.
    pub from: Candidate,
    /// Data centre of the sender.
    pub data_centre: Arc<str>,
    /// Whether the sender relies on the receiver for news.
    pub needs: bool,
    /// Time for which the sender has read the store without a gap; `None` if
    /// it does not read it or the store does not answer.
    pub reading_time: Option<Duration>,
}

/// What the answer to a poll tells of its sender, besides the news.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Whether the sender is a reader.
    pub reader: bool,
    /// Whether the poll may wait for news at the sender. Only the sender uses
    /// this.
    pub hold: bool,
    /// Rate of the sender's link, megabits a second; 0 if it is not known.
    pub rate: u32,
    /// As in [`Poll::reading`].
    pub reading_time: Option<Duration>,
    /// Age of what the sender knows; `None` if it knows nothing.
    pub age: Option<Duration>,
    /// Whom the receiver is to poll instead.
    pub source: Option<Arc<str>>,
    /// Whether the receiver is to read the store, since its link is faster.
    pub promote: bool,
    /// Whether the sender is about to end.
    pub leaving: bool,
    /// Followers that become readers, in this order, when the sender is lost.
    pub candidates: Vec<Candidate>,
}

/// What the driver of a [`Source`](super::Source) does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Polls a host.
    Poll(Request),
    /// Does nothing for this time, unless something changes.
    Idle(Duration),
}

/// A poll to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The host.
    pub host: Arc<str>,
    /// Whether this daemon relies on the host.
    pub needs: bool,
    /// Time for which the host may wait for news.
    pub wait: Duration,
    /// Time after which the poll has failed.
    pub timeout: Duration,
}
