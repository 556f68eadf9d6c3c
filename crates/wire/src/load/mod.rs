//! What a gatekeeper tells of its upstream on every answer.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Load of one gatekeeper at the time of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that the upstream is running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots in use at most.
    pub limit: u32,
    /// Smoothed service time of short work, microseconds.
    pub service_us: u32,
    /// Whether the gatekeeper refuses new work because its host leaves.
    pub leaving: bool,
    /// Run of the daemon that reports.
    pub incarnation: Incarnation,
    /// Number of the configuration in force there; 0 for none.
    #[serde(default)]
    pub version: u64,
    /// Number of the host list in force there; 0 for none.
    #[serde(default)]
    pub list: u64,
    /// Size of a body, in bytes, above which a request reserves room for it
    /// first; 0 if none does.
    #[serde(default)]
    pub reserve_above: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {} {} {} {} {} {}",
            self.running,
            self.queued,
            self.limit,
            self.service_us,
            u8::from(self.leaving),
            self.incarnation,
            self.version,
            self.list,
            self.reserve_above
        )
    }
}

/// A text that is not a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl FromStr for Load {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut fields = text.split(' ');
        let mut next = || {
            fields
                .next()
                .and_then(|field| field.parse::<u32>().ok())
                .ok_or(Malformed)
        };
        let (running, queued, limit, service_us, leaving) =
            (next()?, next()?, next()?, next()?, next()?);
        let incarnation = fields.next().ok_or(Malformed)?;
        let mut number = || match fields.next() {
            None => Ok(0),
            Some(field) => field.parse::<u64>().map_err(|_| Malformed),
        };
        let (version, list) = (number()?, number()?);
        let reserve_above = u32::try_from(number()?).map_err(|_| Malformed)?;
        Ok(Self {
            running,
            queued,
            limit,
            service_us,
            leaving: leaving != 0,
            incarnation: incarnation.parse().map_err(|_| Malformed)?,
            version,
            list,
            reserve_above,
        })
    }
}
