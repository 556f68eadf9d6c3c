//! Verdict on whether a request may have run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a request ran.
///
/// For work with an idempotency key, the verdict applies to the key and not to
/// a single attempt.
///
/// Only the gatekeeper that hands work to the upstream can know the verdict.
/// Every other daemon on the path of the request passes a received verdict on
/// unchanged, and creates a verdict itself only if it has received none.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run and will not run.
    NotRun,
    /// It is not known whether the request ran.
    MayHaveRun,
    /// The request ran, and the answer with this verdict is its answer.
    Ran,
}

impl Verdict {
    /// Returns the value of the header [`VERDICT`](crate::header::VERDICT).
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

/// Error for a text that is none of the three verdicts.
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
