//! At-most-once execution of keyed work and suspect requests, without I/O.
