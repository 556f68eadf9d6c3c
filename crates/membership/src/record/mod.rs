//! What is known of one host, and which of two records wins.

use savorylane_intent::Version;
use savorylane_wire::Incarnation;
use savorylane_wire::control::State;

/// Record of one host.
///
/// Invariant: [`Record::merge`] is commutative, associative and idempotent, so
/// views that saw the same records in any order and number of copies agree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Run of the host's daemon.
    pub incarnation: Incarnation,
    /// Sequence within the incarnation; only the host itself increments it.
    pub sequence: u32,
    /// State of the host.
    pub state: State,
    /// Greatest version known to be in force there in this incarnation.
    pub version: Option<Version>,
}

impl Record {
    /// Returns the key that decides between two records; the greater wins.
    ///
    /// `leaving` precedes the sequence because it is final for an incarnation.
    /// At an equal sequence, an accusation wins over `alive`: only the host
    /// itself refutes it, by a greater sequence.
    pub fn precedence(&self) -> (Incarnation, bool, u32, u8) {
        let (leaving, rank) = match self.state {
            State::Alive => (false, 0),
            State::Suspect => (false, 1),
            State::Gone => (false, 2),
            State::Leaving => (true, 0),
        };
        (self.incarnation, leaving, self.sequence, rank)
    }

    /// Merges `other` and returns whether it won over this record.
    ///
    /// The version is merged by maximum within an incarnation and on its own,
    /// since a daemon adopts only greater versions. A version change therefore
    /// needs no new sequence and is not spread as a change of state.
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
