//! View of the hosts, failure detection and reader ranks, without I/O.
