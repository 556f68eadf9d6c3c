//! Whether a request may have run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Says whether a request ran. For work with an idempotency key the verdict is
/// about the key.
///
/// Only the gatekeeper that hands work to the upstream makes a verdict other
/// than from ignorance; every other hop passes it on unchanged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run; it is not known.
    MayHaveRun,
    /// The request ran and this is its answer.
    Ran,
}

impl Verdict {
    /// Returns the value of the verdict header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A text that is none of the three verdicts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unknown;

impl FromStr for Verdict {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(Unknown),
        }
    }
}
