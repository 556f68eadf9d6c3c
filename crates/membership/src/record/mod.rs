//! Gossip record of one host and the merging of two records.

use savorylane_intent::Version;
use savorylane_wire::Incarnation;
use savorylane_wire::control::State;

/// State of one host as spread by gossip.
///
/// Invariant: [`Record::merge`] is commutative, associative and idempotent, so
/// views that received the same records converge, whatever the order and the
/// number of copies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Incarnation of the host's daemon; a daemon gets a new one at each start.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, incremented only by the host
    /// itself.
    pub sequence: u32,
    /// State of the host.
    pub state: State,
    /// Greatest version that the host is known to have in force in this
    /// incarnation.
    pub version: Option<Version>,
}

impl Record {
    /// Returns the key by which records are ordered; the record with the
    /// greater key wins.
    ///
    /// - `leaving` ranks before the sequence number because it is final for an
    ///   incarnation.
    /// - At an equal sequence number, `suspect` wins over `alive` and `gone`
    ///   over both: only the host itself can refute the suspicion, with a
    ///   greater sequence number.
    pub fn precedence(&self) -> (Incarnation, bool, u32, u8) {
        let (leaving, rank) = match self.state {
            State::Alive => (false, 0),
            State::Suspect => (false, 1),
            State::Gone => (false, 2),
            State::Leaving => (true, 0),
        };
        (self.incarnation, leaving, self.sequence, rank)
    }

    /// Merges `other` into this record and returns whether `other` has the
    /// greater precedence.
    ///
    /// The version is merged independently of the rest, by maximum within an
    /// incarnation, since a daemon adopts only greater versions. A change of
    /// version therefore needs no new sequence number and is not disseminated
    /// as a change of state.
    pub fn merge(&mut self, other: &Self) -> bool {
        let version = match self.incarnation.cmp(&other.incarnation) {
            std::cmp::Ordering::Less => other.version,
            std::cmp::Ordering::Equal => self.version.max(other.version),
            std::cmp::Ordering::Greater => self.version,
        };
        let wins = other.precedence() > self.precedence();
        if wins {
            *self = *other;
        }
        self.version = version;
        wins
    }
}
