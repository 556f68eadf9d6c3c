//! Names of HTTP headers, in lower case.

/// Idempotency key, which identifies one piece of non-idempotent work across
/// all attempts.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the attempt, starting at 1; optional.
pub const ATTEMPT: &str = "savorylane-attempt";
/// Region whose hosts hold the idempotency key; the same on every attempt;
/// optional.
pub const HOME: &str = "savorylane-home";
/// Time left until the deadline of the request, in milliseconds.
pub const TIMEOUT_MS: &str = "savorylane-timeout-ms";
/// Number of attempts that a calling service leaves for the calls below it in
/// the call chain.
pub const ATTEMPTS_LEFT: &str = "savorylane-attempts-left";
/// Number of calls above this one in the call chain.
pub const DEPTH: &str = "savorylane-depth";
/// [`Verdict`](crate::Verdict) of an answer.
pub const VERDICT: &str = "savorylane-verdict";
/// Class that the entry assigned to the request; between daemons.
pub const CLASS: &str = "savorylane-class";
/// Sending daemon, as `host/incarnation`; between daemons.
pub const FROM: &str = "savorylane-from";
/// Receiving daemon, as `host/incarnation`; between daemons.
pub const TO: &str = "savorylane-to";
/// Address of the caller as seen by the entry; between daemons.
pub const CALLER: &str = "savorylane-caller";
/// [`Load`](crate::Load) of the gatekeeper; on answers between daemons.
pub const LOAD: &str = "savorylane-load";
/// Marks work with an idempotency key for the holder of the key, with the
/// holder's run, the ring of the key and a time of the holder's clock; between
/// daemons.
pub const HOLD: &str = "savorylane-hold";
/// [`Hop`](crate::Hop) of a request; between daemons.
pub const HOP: &str = "savorylane-hop";
/// Marks a refusal that the upstream itself made; on answers between daemons.
pub const ARRIVED: &str = "savorylane-arrived";
/// Reserves room for the body of a request, sent ahead on a request without the
/// body; between daemons.
pub const RESERVE: &str = "savorylane-reserve";
/// Number of the reservation made with [`RESERVE`]; on the answer to it and on
/// the request with the body; between daemons.
pub const RESERVATION: &str = "savorylane-reservation";
/// Headers that only daemons send. An entry removes them from callers'
/// requests.
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
/// Time to wait before another attempt is useful, in milliseconds; on refusals.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
