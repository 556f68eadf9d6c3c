//! Inputs and outputs of a [`Source`](super::Source): the role information in
//! polls and answers, and the steps for its driver.

use std::sync::Arc;
use std::time::Duration;

/// A host with the rate of its link, which decides whether the host is suited
/// as a reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name of the host.
    pub name: Arc<str>,
    /// Rate of the host's link in megabits per second; 0 if it is not known.
    pub rate: u32,
}

/// Location of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Location {
    /// Name of the host.
    pub name: Arc<str>,
    /// Data centre of the host.
    pub data_centre: Arc<str>,
    /// Region of the data centre.
    pub region: Arc<str>,
}

/// Role information about the sender of a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Poll {
    /// Sender of the poll.
    pub from: Candidate,
    /// Data centre of the sender.
    pub data_centre: Arc<str>,
    /// Whether the sender relies on the receiver for news. A receiver in the
    /// same data centre then becomes a reader if it is none.
    pub needs: bool,
    /// Time for which the sender has read the store without a gap; `None` if
    /// the sender does not read the store or the store does not answer.
    pub reading_time: Option<Duration>,
}

/// Role information about the sender of an answer to a poll.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Whether the sender is a reader.
    pub reader: bool,
    /// Whether the sender may hold the poll until there is news. Only used
    /// locally by the sender, never transmitted.
    pub may_hold: bool,
    /// Rate of the sender's link in megabits per second; 0 if it is not known.
    pub rate: u32,
    /// Reading time of the sender, as in [`Poll::reading_time`].
    pub reading_time: Option<Duration>,
    /// Age of the sender's knowledge; `None` if the sender knows nothing.
    pub age: Option<Duration>,
    /// Host that the receiver must poll instead of the sender, if any.
    pub source: Option<Arc<str>>,
    /// Whether the receiver must become a reader because its link is faster
    /// than the sender's.
    pub promote: bool,
    /// Whether the sender is about to shut down.
    pub leaving: bool,
    /// Followers that take over as readers when the sender is lost, in this
    /// order.
    pub candidates: Vec<Candidate>,
}

/// Next step of the driver of a [`Source`](super::Source).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send a poll.
    Poll(Request),
    /// Wait for this time, or until an event changes the state of the source.
    Idle(Duration),
}

/// Parameters of a poll that the driver sends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Host to poll.
    pub host: Arc<str>,
    /// Whether this daemon relies on the host for news, see [`Poll::needs`].
    pub needs: bool,
    /// Time for which the host may hold the poll until there is news.
    pub wait: Duration,
    /// Time after which the poll has failed, including `wait`.
    pub timeout: Duration,
}
