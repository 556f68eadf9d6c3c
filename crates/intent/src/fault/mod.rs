//! Errors of the validation of documents, manifests, host lists and updates.

use snafu::Snafu;

use crate::version::Hash;

/// Reason for which content is refused.
///
/// Messages name the field, the value that was found and what is expected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum Fault {
    /// The bytes are not JSON of the expected shape.
    #[snafu(display("malformed JSON: {reason}"))]
    Malformed {
        /// Message of the parser or decoder, with line and column if known.
        reason: String,
    },
    /// A hash is not 64 hexadecimal digits.
    ///
    /// Peers may receive this text: the RPC library puts it into the error for
    /// a parameter with a malformed hash.
    #[snafu(display("hash `{text}` is not accepted; accepted are 64 hexadecimal digits"))]
    Hash {
        /// The malformed text, truncated to 80 characters.
        text: String,
    },
    /// Content does not have the hash that its manifest, delta or transfer
    /// states.
    #[snafu(display("{what}: found hash {found}; expected {expected}"))]
    Mismatch {
        /// Content with the wrong hash, such as a document or the key of a
        /// part.
        what: String,
        /// The stated hash.
        expected: Hash,
        /// Hash of the content.
        found: Hash,
    },
    /// A field has a value that is not accepted.
    #[snafu(display("{field}: found {value}; {accepted}"))]
    Value {
        /// Path of the field, for example `classes[2].target.quantile`.
        field: String,
        /// The value, quoted, or a description of it.
        value: String,
        /// Clause that states which values are accepted.
        accepted: String,
    },
    /// A class refers to a service that the document does not list.
    #[snafu(display(
        "classes[{class}].service: found `{service}`; expected a name listed in `services`"
    ))]
    Dangling {
        /// Name of the class.
        class: String,
        /// Name of the missing service.
        service: String,
    },
    /// A list contains a name more than once, or a delta adds a name that its
    /// base already contains.
    #[snafu(display("{field}: found `{name}` more than once; expected unique names"))]
    Duplicate {
        /// Field of the list.
        field: String,
        /// The duplicate name.
        name: String,
    },
    /// Two classes match the same requests.
    #[snafu(display(
        "classes[{class}].path_prefix: `{prefix}` with method `{method}` is already assigned to class `{other}`; expected one class for each prefix and method"
    ))]
    Ambiguous {
        /// Name of the later class.
        class: String,
        /// Name of the earlier class with the same prefix and method.
        other: String,
        /// Path prefix of both classes.
        prefix: String,
        /// First method that both classes accept.
        method: String,
    },
    /// A transfer cannot be decoded.
    #[snafu(display("transfer: {reason}"))]
    Transfer {
        /// States what was found and what is expected.
        reason: String,
    },
}

impl Fault {
    /// Returns a [`Fault::Value`]; `accepted` is a clause such as "expected at
    /// most 5".
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
