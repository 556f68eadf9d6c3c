//! Record of one host, encoded as one line of text.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Incarnation;

/// State of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// The host answers.
    Alive,
    /// The host takes no new work; final for the incarnation.
    Leaving,
    /// The host did not answer directly or through others.
    Suspect,
    /// The host stayed suspect and did not refute it.
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

/// What the sender knows of one host.
///
/// In JSON a record is the text `<state> <sequence> <started> <nonce>
/// <version> <host>` with hexadecimal numbers and `-` for no version. A JSON
/// object with the same fields takes more than twice the bytes, and a
/// heartbeat carries up to 33 records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Host.
    pub host: String,
    /// Run of the host's daemon.
    pub incarnation: Incarnation,
    /// Sequence within the incarnation; only the host itself increments it.
    pub sequence: u32,
    /// State of the host.
    pub state: State,
    /// Index of the host's version in the message; `None` when unknown.
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

/// A text that is not a record.
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
        // The host is last, so that its name may hold spaces.
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
