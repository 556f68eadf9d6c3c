//! Load report of a gatekeeper, sent with every answer.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Load of one gatekeeper and its upstream at the time of an answer.
///
/// In the header [`LOAD`](crate::header::LOAD) a load is the list of its fields
/// in the order of their declaration, separated by spaces, with `leaving` as 0
/// or 1. The last four fields may be missing, which stands for 0.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests that the upstream is running.
    pub running: u32,
    /// Number of requests that wait for a slot, without those of the late lane.
    /// Of a cold upstream that takes no request now, the requests that its rate
    /// allows until then count as well.
    pub queued: u32,
    /// Maximum number of slots that may be in use at once.
    pub limit: u32,
    /// Smoothed service time of short work, in microseconds.
    pub service_us: u32,
    /// Whether the gatekeeper refuses new work because its host is leaving.
    pub leaving: bool,
    /// Run of the reporting daemon.
    pub incarnation: Incarnation,
    /// Number of the configuration version in force at the reporting daemon; 0
    /// for none.
    #[serde(default)]
    pub version: u64,
    /// Number of the host list in force at the reporting daemon; 0 for none.
    #[serde(default)]
    pub list: u64,
    /// Size in bytes above which room for a request's body must be reserved
    /// before the body is sent; 0 if no reservation is needed.
    #[serde(default)]
    pub reserve_above: u32,
    /// Number of requests in the late lane. They run only while no other
    /// request waits, so they take no room from others.
    #[serde(default)]
    pub late: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {} {} {} {} {} {} {}",
            self.running,
            self.queued,
            self.limit,
            self.service_us,
            u8::from(self.leaving),
            self.incarnation,
            self.version,
            self.list,
            self.reserve_above,
            self.late
        )
    }
}

/// Error for a text that is not an encoded load.
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
        let late = u32::try_from(number()?).map_err(|_| Malformed)?;
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
            late,
        })
    }
}
