//! Memory and descriptors of a process, as its operating system reports them.

use std::fs;
use std::net::{IpAddr, SocketAddr};

/// State of a listening socket in the table of the operating system.
const LISTENING: &str = "0A";

/// Returns the peak resident memory of a process in bytes; 0 if the process is
/// about to end.
pub fn peak_memory(process: u32) -> u64 {
    read_status(process, "VmHWM:")
}

/// Returns the resident memory of a process in bytes; 0 if the process is about
/// to end.
pub fn resident_memory(process: u32) -> u64 {
    read_status(process, "VmRSS:")
}

fn read_status(process: u32, name: &str) -> u64 {
    let path = format!("/proc/{process}/status");
    let status = fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .and_then(|number| number.parse::<u64>().ok())
        .map_or(0, |number| number * 1_024)
}

/// Returns the number of descriptors that a process has open.
pub fn open_descriptors(process: u32) -> usize {
    let path = format!("/proc/{process}/fd");
    fs::read_dir(path).map_or(0, Iterator::count)
}

/// Returns the number of bytes that the sockets with this local address have
/// received and that were not read yet, without those of the port of `except`.
/// IPv4 addresses only.
///
/// # Panics
///
/// Panics if the operating system does not list its sockets.
pub fn unread_bytes(address: IpAddr, except: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = address else { return 0 };
    let own = format!("{:08X}", u32::from_le_bytes(ip.octets()));
    let except = format!("{:04X}", except.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (ip, port) = fields.next()?.split_once(':')?;
        let (_, state) = (fields.next()?, fields.next()?);
        let (_, received) = fields.next()?.split_once(':')?;
        // The number of a listening socket counts connections.
        let counts = ip == own && port != except && state != LISTENING;
        counts.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    };
    table.lines().filter_map(unread).sum()
}
