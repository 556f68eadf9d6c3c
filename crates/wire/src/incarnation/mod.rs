//! Identity of one run of a daemon.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identity of one run of a daemon. Later runs on the same host compare as
/// greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation {
    /// Start of the run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Random number that distinguishes runs started in the same millisecond.
    pub nonce: u32,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.started_ms, self.nonce)
    }
}

/// Error for a text that is not of the form `<milliseconds>-<nonce>`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl FromStr for Incarnation {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (started, nonce) = text.split_once('-').ok_or(Malformed)?;
        Ok(Self {
            started_ms: started.parse().map_err(|_| Malformed)?,
            nonce: nonce.parse().map_err(|_| Malformed)?,
        })
    }
}
