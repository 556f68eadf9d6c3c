//! Names of the HTTP headers, all lower case.

/// Key that identifies one piece of non-idempotent work over all attempts.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the attempt, from 1; optional.
pub const ATTEMPT: &str = "savorylane-attempt";
/// Region whose hosts hold the key; the same on every attempt; optional.
pub const HOME: &str = "savorylane-home";
/// Time that remains for the request, in milliseconds.
pub const TIMEOUT_MS: &str = "savorylane-timeout-ms";
/// Attempts that a calling service leaves for the calls below it.
pub const ATTEMPTS_LEFT: &str = "savorylane-attempts-left";
/// Number of calls above this one.
pub const DEPTH: &str = "savorylane-depth";
/// Verdict of an answer.
pub const VERDICT: &str = "savorylane-verdict";
/// Class that the entry matched; between daemons.
pub const CLASS: &str = "savorylane-class";
/// Sending daemon as `host/incarnation`; between daemons.
pub const FROM: &str = "savorylane-from";
/// Receiving daemon as `host/incarnation`; between daemons.
pub const TO: &str = "savorylane-to";
/// Caller's address as the entry sees it; between daemons.
pub const CALLER: &str = "savorylane-caller";
/// What the gatekeeper knows of its upstream; on answers between daemons.
pub const LOAD: &str = "savorylane-load";
/// Keyed work for its holder: run of the holder, ring of the key and time of
/// the holder's clock; between daemons.
pub const HOLD: &str = "savorylane-hold";
/// Attributes of a request for its gatekeeper, as JSON; between daemons.
pub const HOP: &str = "savorylane-hop";
/// Marks a refusal that the upstream itself made; on answers between daemons.
pub const ARRIVED: &str = "savorylane-arrived";
/// Asks for room for the body of a request, which comes without it; between
/// daemons.
pub const RESERVE: &str = "savorylane-reserve";
/// Number of the room that was reserved; on the answer, and on the request with
/// the body; between daemons.
pub const RESERVATION: &str = "savorylane-reservation";
/// Headers that only daemons send; an entry drops them from callers' requests.
pub const INTERNAL: [&str; 9] = [
    CALLER,
    CLASS,
    FROM,
    HOLD,
    HOP,
    LOAD,
    RESERVATION,
    RESERVE,
    TO,
];
/// Wait before another attempt is useful, in milliseconds; on refusals.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
