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
    #[snafu(display("hash `{text}` is not 64 hexadecimal digits"))]
    Hash {
        /// The refused text, shortened.
        text: String,
    },
    /// The content does not have the hash that the manifest states.
    #[snafu(display("{what} has hash {found}, but the manifest states {expected}"))]
    Mismatch {
        /// The part or document that differs.
        what: String,
        /// Hash that the manifest states.
        expected: Hash,
        /// Hash of what was read.
        found: Hash,
    },
    /// A field has a value that is not accepted.
    #[snafu(display("{field}: {value} is not accepted; {accepted}"))]
    Value {
        /// Path of the field, for example `classes[2].target.quantile`.
        field: String,
        /// The refused value.
        value: String,
        /// What is accepted.
        accepted: String,
    },
    /// A class routes to a service that the document does not hold.
    #[snafu(display("classes[{class}]: service `{service}` is not in `services`"))]
    Dangling {
        /// Name of the class.
        class: String,
        /// The missing service.
        service: String,
    },
    /// A name stands twice.
    #[snafu(display("{field}: `{name}` stands twice"))]
    Duplicate {
        /// The list that holds the name.
        field: String,
        /// The name.
        name: String,
    },
}
