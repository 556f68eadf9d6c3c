//! Clients read their downloads slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

use super::{config, machine, route};
use crate::world::{Machine, World};
use crate::{http, target};

/// Memory of a machine in MB, of which a process that exceeds it is killed.
const MEMORY_MB: u32 = 160;
/// Clients of each of the two machines.
const CLIENTS: usize = 1_950;
/// Requests that each client sends before the first one is answered.
const REQUESTS: usize = 3;
/// Size of an answer in bytes.
const ANSWER_BYTES: usize = 50_000;
/// Machines with clients.
const ENTRIES: [u8; 2] = [1, 2];
/// Machines whose targets hold the files.
const TARGETS: std::ops::RangeInclusive<u8> = 3..=12;
/// Times that the clients come.
const ROUNDS: usize = 6;
/// Time that the clients stay.
const STAY: Duration = Duration::from_secs(4);
/// Segment size of an ordinary link. The loopback device has one of 64 KiB, and
/// lets the operating system hold megabytes of an answer.
const SEGMENT_BYTES: i32 = 1_460;
/// Receive buffer of a slow client in bytes.
const RECEIVE_BYTES: i32 = 4_096;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const u8, length: u32) -> i32;
}

/// Opens a connection with the segment size and receive buffer of a slow client.
pub fn connect_slow(address: SocketAddr) -> Option<TcpStream> {
    const INET: i32 = 2;
    const STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&(INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the calls get a descriptor that was just opened and buffers that
    // live longer than the calls, with their sizes.
    unsafe {
        let fd = socket(INET, STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BYTES, 4);
        (connect(fd, raw.as_ptr(), raw.len() as u32) == 0).then_some(stream)
    }
}

/// Returns the resident memory of a process in bytes.
fn resident_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn get(number: usize, request: usize) -> String {
    format!(
        "GET /download/{number}-{request} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: d{number}x{request}\r\nX-Savorylane-Deadline-Ms: 5000\r\n\r\n"
    )
}

/// Plays the same clients, which read each answer as soon as it comes. Returns
/// the number of whole answers.
fn read_at_once(address: SocketAddr) -> usize {
    const THREADS: usize = 50;
    let read = move |thread: usize| {
        let mut served = 0;
        let mut open = Vec::new();
        for number in (thread..CLIENTS).step_by(THREADS) {
            let Ok(mut stream) = http::connect(address) else {
                continue;
            };
            let requests: String = (0..REQUESTS).map(|request| get(number, request)).collect();
            let _ = stream.set_read_timeout(Some(STAY));
            let sent = stream.write_all(requests.as_bytes());
            if let (Ok(()), Ok(mut reader)) = (sent, http::reader(&stream)) {
                let answers = (0..REQUESTS).filter_map(|_| http::read_answer(&mut reader));
                served += answers
                    .filter(|answer| answer.whole && answer.status() == 200)
                    .count();
            }
            open.push(stream);
        }
        served
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|index| thread::spawn(move || read(index)))
        .collect();
    threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .sum()
}

pub fn run(record: &str) {
    let mut world = World::start(record, &[("central-a", "scot-central")]);
    let of = |number, service| Machine {
        memory_mb: MEMORY_MB,
        ..machine(number, "central-a", "scot-central", service)
    };
    let mut machines: Vec<Machine> = ENTRIES.map(|number| of(number, "album")).to_vec();
    machines.extend(TARGETS.map(|number| of(number, "archive")));
    let routes = [route("download", "download", 5.0, 0.8, "archive")];
    world
        .store
        .put("op/config", &config(7, &routes, &["album", "archive"]));
    for machine in &machines {
        let id = format!("i-{}", machine.number);
        target::start(
            world.app(machine.number),
            &id,
            &world.record,
            |connection| {
                while let Some(request) = connection.head() {
                    if connection.misdirected(&request) {
                        return;
                    }
                    let id = target::request_id(&request);
                    let body = vec![b'd'; ANSWER_BYTES];
                    if !connection.send(&target::answer(&id, "200 OK", &body)) {
                        return;
                    }
                }
            },
        );
        world.register(machine, &id, 13, "ready", 1);
        world.spawn(machine);
    }
    let numbers: Vec<u8> = machines.iter().map(|machine| machine.number).collect();
    world.await_ready(&numbers);
    thread::sleep(Duration::from_secs(1));
    let mut ends = [0; ENTRIES.len()];
    for round in 1..=ROUNDS {
        for (entry, ends) in ENTRIES.iter().zip(&mut ends) {
            let address = world.outbound(*entry);
            let came = Instant::now();
            let mut open = Vec::new();
            let mut most = 0;
            let mut killed = false;
            let quick = match world.trouble {
                true => None,
                false => Some(thread::spawn(move || read_at_once(address))),
            };
            let clients = if world.trouble { CLIENTS } else { 0 };
            let manner = if world.trouble { "slowly" } else { "at once" };
            world.record.line(format!(
                "round {round}: {CLIENTS} clients that read {manner} come to machine {entry}"
            ));
            for number in 0..clients {
                let Some(mut stream) = connect_slow(address) else {
                    continue;
                };
                let requests: String = (0..REQUESTS).map(|request| get(number, request)).collect();
                let _ = stream.set_nonblocking(true);
                let _ = stream.write_all(requests.as_bytes());
                open.push(stream);
                if number % 20 == 0 {
                    thread::sleep(Duration::from_millis(10));
                }
            }
            while came.elapsed() < STAY && !killed {
                let bytes = resident_bytes(world.pid(*entry));
                most = most.max(bytes);
                if bytes > u64::from(MEMORY_MB) << 20 {
                    world.signal(*entry, "KILL");
                    killed = true;
                }
                // Each client reads a little.
                for stream in &mut open {
                    let _ = stream.read(&mut [0; 256]);
                }
                thread::sleep(Duration::from_millis(200));
            }
            drop(open);
            if let Some(served) = quick.and_then(|quick| quick.join().ok()) {
                world.record.line(format!(
                    "machine {entry}: {served} of {} downloads are answered whole",
                    CLIENTS * REQUESTS
                ));
            }
            world.record.line(format!(
                "machine {entry}: {most} bytes of memory at most; the limit is {} bytes; killed {killed}",
                u64::from(MEMORY_MB) << 20
            ));
            if killed {
                *ends += 1;
                thread::sleep(Duration::from_millis(300));
                let machine = machines.iter().find(|machine| machine.number == *entry);
                world.spawn(machine.expect("a known machine"));
            }
        }
        world.await_ready(&ENTRIES);
        thread::sleep(Duration::from_millis(500));
        for entry in ENTRIES {
            let answer = http::exchange(
                world.outbound(entry),
                get(9_999, round).as_bytes(),
                Duration::from_secs(6),
            );
            let status = answer.map_or(0, |answer| answer.status());
            world.record.line(format!(
                "client of machine {entry}: an ordinary download is answered {status}"
            ));
            if status != 200 && !world.trouble {
                world.fail("an ordinary download is not answered".into());
            }
        }
    }
    world.record.line(format!(
        "processes ended by themselves: {ends:?} times on the machines {ENTRIES:?}"
    ));
    let broken = ends.iter().all(|ends| *ends >= 3);
    world.end(broken);
}
