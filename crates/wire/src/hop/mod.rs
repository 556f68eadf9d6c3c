//! Attributes that an entry attaches to a request, so that the gatekeeper needs
//! no configuration to run the request.

use std::fmt;
use std::str::FromStr;

/// Attributes of a request that an entry forwards to a gatekeeper, sent in the
/// header [`HOP`](crate::header::HOP).
///
/// Most pairs of hosts exchange few requests on one connection, so header
/// compression learns little, and links between data centres are paid by the
/// byte. The text is therefore the list of the fields in the order of their
/// declaration, separated by spaces, with truth values as 0 or 1. The instance
/// is the last field and may contain spaces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hop {
    /// Name of the request's class.
    pub class: String,
    /// Service that the entry routes the request to.
    pub service: String,
    /// Service of the host at which the request entered.
    pub origin: String,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Order of load shedding: under overload, requests with higher values are
    /// refused first.
    pub shed_order: u8,
    /// Time left until the deadline of the request, in milliseconds.
    pub timeout_ms: u64,
    /// Time left until the request misses the latency target of its class, in
    /// milliseconds.
    pub slack_ms: u32,
    /// Number of the configuration version that the entry used to route the
    /// request; 0 if it is not known.
    pub version: u64,
    /// Number of the host list that the entry used to route the request; 0 if
    /// it is not known.
    pub list: u64,
    /// Whether the request may wait in the late lane of the gate: its time
    /// limit leaves room behind its target, and the entry has looked for a
    /// place on time before.
    pub late: bool,
    /// Instance of the upstream that the entry selected.
    pub instance: String,
}

/// Number of fields of a [`Hop`].
const FIELDS: usize = 12;

impl fmt::Display for Hop {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {} {} {} {} {} {} {} {} {}",
            self.class,
            self.service,
            self.origin,
            self.slots,
            u8::from(self.idempotent),
            self.shed_order,
            self.timeout_ms,
            self.slack_ms,
            self.version,
            self.list,
            u8::from(self.late),
            self.instance
        )
    }
}

/// Error for a text that is not an encoded [`Hop`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl FromStr for Hop {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut fields = text.splitn(FIELDS, ' ');
        let mut next = || fields.next().ok_or(Malformed);
        Ok(Self {
            class: next()?.to_owned(),
            service: next()?.to_owned(),
            origin: next()?.to_owned(),
            slots: parse(next()?)?,
            idempotent: parse::<u8>(next()?)? != 0,
            shed_order: parse(next()?)?,
            timeout_ms: parse(next()?)?,
            slack_ms: parse(next()?)?,
            version: parse(next()?)?,
            list: parse(next()?)?,
            late: parse::<u8>(next()?)? != 0,
            instance: next()?.to_owned(),
        })
    }
}

fn parse<Number: FromStr>(field: &str) -> Result<Number, Malformed> {
    field.parse().map_err(|_| Malformed)
}
