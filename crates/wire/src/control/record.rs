//! Membership record of one host, encoded as one line of text.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Incarnation;

/// Membership state of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The host answers.
    Alive,
    /// The host takes no new work. This state is final for the incarnation.
    Leaving,
    /// The host answered neither direct nor indirect probes.
    Suspect,
    /// The host stayed suspect without refuting the suspicion.
    Gone,
}

impl State {
    const fn letter(self) -> char {
        match self {
            Self::Alive => 'a',
            Self::Leaving => 'l',
            Self::Suspect => 's',
            Self::Gone => 'g',
        }
    }
}

/// State of one host, as the sender of the message knows it.
///
/// In JSON a record is the text `<state> <sequence> <started> <nonce>
/// <version> <host>`, where numbers are hexadecimal and `-` stands for no
/// version. A JSON object with the same fields would take more than twice the
/// bytes, and a heartbeat carries up to 33 records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Name of the host.
    pub host: String,
    /// Run of the host's daemon.
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation; only the host itself increments
    /// it.
    pub sequence: u32,
    /// State of the host.
    pub state: State,
    /// Index of the host's version in the versions of the message; `None` if
    /// the version is not known.
    pub version: Option<u8>,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Incarnation { started_ms, nonce } = self.incarnation;
        write!(
            f,
            "{} {:x} {started_ms:x} {nonce:x} ",
            self.state.letter(),
            self.sequence
        )?;
        match self.version {
            Some(index) => write!(f, "{index:x} {}", self.host),
            None => write!(f, "- {}", self.host),
        }
    }
}

/// Error for a text that is not an encoded record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected `<state> <sequence> <started> <nonce> <version> <host>`")
    }
}

impl std::error::Error for Malformed {}

impl FromStr for Record {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        // The host comes last, so that its name may contain spaces.
        let mut fields = text.splitn(6, ' ');
        let mut next = || fields.next().ok_or(Malformed);
        let state = match next()? {
            "a" => State::Alive,
            "l" => State::Leaving,
            "s" => State::Suspect,
            "g" => State::Gone,
            _ => return Err(Malformed),
        };
        let sequence = u32::from_str_radix(next()?, 16).map_err(|_| Malformed)?;
        let started_ms = u64::from_str_radix(next()?, 16).map_err(|_| Malformed)?;
        let nonce = u32::from_str_radix(next()?, 16).map_err(|_| Malformed)?;
        let version = match next()? {
            "-" => None,
            index => Some(u8::from_str_radix(index, 16).map_err(|_| Malformed)?),
        };
        Ok(Self {
            host: next()?.to_owned(),
            incarnation: Incarnation { started_ms, nonce },
            sequence,
            state,
            version,
        })
    }
}

impl Serialize for Record {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Record {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}
