//! Reasons for which a document, manifest or host list is refused.

use snafu::Snafu;

use crate::version::Hash;

/// Reason for a refusal. The text names the field and what is accepted.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Fault {
    /// The bytes are not JSON of the expected shape.
    #[snafu(display("malformed JSON: {reason}"))]
    Malformed {
        /// The parser's message with line and column.
        reason: String,
    },
    /// A hash is not 64 hexadecimal digits.
    #[snafu(display("hash `{text}` is not accepted; accepted are 64 hexadecimal digits"))]
    Hash {
        /// The refused text, shortened.
        text: String,
    },
    /// The content does not have the hash that the manifest states.
    #[snafu(display("{what}: found hash {found}; expected {expected}"))]
    Mismatch {
        /// The part or document that differs.
        what: String,
        /// Hash that the manifest states.
        expected: Hash,
        /// Hash of what was read.
        found: Hash,
    },
    /// A field has a value that is not accepted.
    #[snafu(display("{field}: found {value}; {accepted}"))]
    Value {
        /// Path of the field, for example `classes[2].target.quantile`.
        field: String,
        /// The refused value.
        value: String,
        /// What is accepted.
        accepted: String,
    },
    /// A class routes to a service that the document does not hold.
    #[snafu(display(
        "classes[{class}].service: found `{service}`; expected a name listed in `services`"
    ))]
    Dangling {
        /// Name of the class.
        class: String,
        /// The missing service.
        service: String,
    },
    /// A name appears twice in a list.
    #[snafu(display("{field}: found `{name}` more than once; expected unique names"))]
    Duplicate {
        /// The list that holds the name.
        field: String,
        /// The name.
        name: String,
    },
    /// Two classes claim the same requests.
    #[snafu(display(
        "classes[{class}].path_prefix: `{prefix}` with method `{method}` is already assigned to class `{other}`; expected one class for each prefix and method"
    ))]
    Ambiguous {
        /// Name of the later class.
        class: String,
        /// Name of the class that holds the prefix and method.
        other: String,
        /// The prefix.
        prefix: String,
        /// The method.
        method: String,
    },
    /// A transfer cannot be unpacked.
    #[snafu(display("transfer: {reason}"))]
    Transfer {
        /// What was found and what is accepted.
        reason: String,
    },
}

impl Fault {
    /// Returns a [`Fault::Value`].
    pub fn value(
        field: impl std::fmt::Display,
        value: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Self {
        Self::Value {
            field: field.to_string(),
            value: value.into(),
            accepted: accepted.into(),
        }
    }
}
