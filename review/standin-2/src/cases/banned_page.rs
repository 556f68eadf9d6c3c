//! Two of fifteen targets crash at the same moment, while many clients read one
//! page, which harms no target.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{config, machine, route};
use crate::http;
use crate::target;
use crate::world::{Machine, Record, World};

/// Machines with clients.
const ENTRIES: [u8; 2] = [1, 2];
/// Machines with targets of `album`.
const TARGETS: std::ops::RangeInclusive<u8> = 3..=17;
/// Targets that crash, of those at work on the page: 0.133 of the service.
const CRASHES: usize = 2;
/// Time for which they are down.
const DOWN: Duration = Duration::from_millis(4_500);
const WORK: Duration = Duration::from_millis(160);
/// Clients that read the page of the added route, and as many that read pages of
/// the first route.
const READERS: usize = 24;
/// Time from the crash to the steady state in which requests count: the targets
/// are back, and all has been calm for longer than `stable_window_s`.
const SETTLE: Duration = Duration::from_secs(12);
/// Time for which they count.
const COUNTED: Duration = Duration::from_secs(10);
/// Page that many clients read.
const PAGE: &str = "/late/home";
/// Phases of the clients.
const BEFORE: u8 = 0;
const SETTLING: u8 = 1;
const STEADY: u8 = 2;
const END: u8 = 3;

/// A target that can crash.
#[derive(Default)]
struct Target {
    crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Requests for the page that it works on.
    reading: AtomicUsize,
}

impl Target {
    /// Breaks all connections. The target's loop closes its port.
    fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
    }

    /// Serves as the instance `id` until it crashes.
    fn serve(self: &Arc<Self>, address: SocketAddr, id: &str, record: &Arc<Record>) {
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        while !self.crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let (Ok(copy), Ok(reader)) = (stream.try_clone(), http::reader(&stream)) else {
                continue;
            };
            self.connections.lock().unwrap().push(copy);
            let mut connection = target::Connection {
                stream,
                reader,
                id: id.to_owned(),
                record: Arc::clone(record),
            };
            let target = Arc::clone(self);
            thread::spawn(move || target.handle(&mut connection));
        }
        drop(listener);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn handle(&self, connection: &mut target::Connection) {
        while let Some(request) = connection.head() {
            if connection.misdirected(&request) {
                return;
            }
            let id = target::request_id(&request);
            let page = usize::from(request.second() == PAGE);
            self.reading.fetch_add(page, Ordering::SeqCst);
            thread::sleep(WORK);
            self.reading.fetch_sub(page, Ordering::SeqCst);
            if self.crashed.load(Ordering::SeqCst)
                || !connection.send(&target::answer(&id, "200 OK", b"photos"))
            {
                return;
            }
        }
    }
}

/// Numbers of requests sent and served in the steady state.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: usize,
    served: usize,
    refused: usize,
}

pub fn run(record: &str) {
    let mut world = World::start(record, &[("central-a", "scot-central")]);
    let mut machines: Vec<Machine> = ENTRIES
        .map(|number| machine(number, "central-a", "scot-central", "archive"))
        .to_vec();
    machines.extend(TARGETS.map(|number| machine(number, "central-a", "scot-central", "album")));
    let services = ["album", "archive"];
    let first = route("first", "safe", 2.0, 0.6, "album");
    let late = route("late", "safe", 2.0, 0.6, "album");
    let before = config(7, std::slice::from_ref(&first), &services);
    world.store.put("op/config", &before);
    let targets: Vec<Arc<Target>> = machines.iter().map(|_| Arc::default()).collect();
    for (machine, target) in machines.iter().zip(&targets) {
        let id = format!("i-{}", machine.number);
        let (target, record) = (Arc::clone(target), Arc::clone(&world.record));
        let (address, name) = (world.app(machine.number), id.clone());
        thread::spawn(move || {
            target.serve(address, &name, &record);
            thread::sleep(DOWN);
            target.crashed.store(false, Ordering::SeqCst);
            target.serve(address, &format!("{name}-again"), &record);
        });
        world.register(machine, &id, 13, "ready", 1);
        world.spawn(machine);
    }
    let numbers: Vec<u8> = machines.iter().map(|machine| machine.number).collect();
    world.await_ready(&numbers);
    thread::sleep(Duration::from_secs(2));
    world
        .store
        .put("op/config", &config(9, &[first, late], &services));
    world
        .record
        .line("operator: version 9 adds the route /late/");
    thread::sleep(Duration::from_secs(3));
    let phase = Arc::new(AtomicU8::new(BEFORE));
    let counts = Arc::new(Mutex::new([Count::default(); 2]));
    let clients: Vec<_> = (0..READERS * 2)
        .map(|client| {
            let entry = world.outbound(ENTRIES[client / 2 % ENTRIES.len()]);
            let (phase, counts) = (Arc::clone(&phase), Arc::clone(&counts));
            let record = Arc::clone(&world.record);
            thread::spawn(move || read_pages(client, entry, &phase, &counts, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    phase.store(SETTLING, Ordering::SeqCst);
    if world.trouble {
        let at_work = |number: &u8| {
            targets[usize::from(*number) - 1]
                .reading
                .load(Ordering::SeqCst)
        };
        let crashed: Vec<u8> = loop {
            let mut busy: Vec<u8> = TARGETS.filter(|number| at_work(number) > 0).collect();
            busy.truncate(CRASHES);
            if busy.len() == CRASHES {
                break busy;
            }
            thread::sleep(Duration::from_millis(1));
        };
        for number in &crashed {
            targets[usize::from(*number) - 1].crash();
        }
        world
            .record
            .line(format!("the targets beside the machines {crashed:?} crash"));
        thread::sleep(DOWN);
        for number in &crashed {
            let machine = &machines[usize::from(*number) - 1];
            world.store.remove(&format!("servers/i-{number}"));
            world.register(machine, &format!("i-{number}-again"), 13, "ready", 1);
        }
        thread::sleep(SETTLE - DOWN);
    } else {
        thread::sleep(SETTLE);
    }
    world.record.line("steady state");
    phase.store(STEADY, Ordering::SeqCst);
    thread::sleep(COUNTED);
    phase.store(END, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let [first, late] = *counts.lock().unwrap();
    for (name, count) in [("first", first), ("added", late)] {
        world.record.line(format!(
            "steady state, {name} route: {} of {} served, {} refused with 503",
            count.served, count.sent, count.refused
        ));
    }
    if first.served == 0 || late.sent < 20 {
        world.fail("too few requests".into());
    }
    let share = |count: Count| count.served as f64 / count.sent as f64;
    world.end(share(late) < share(first) / 4.0);
}

/// Reads one page of the added route again and again, or pages of the first
/// route.
fn read_pages(
    client: usize,
    entry: SocketAddr,
    phase: &AtomicU8,
    counts: &Mutex<[Count; 2]>,
    record: &Record,
) {
    let added = client % 2;
    let mut number = 0;
    while phase.load(Ordering::SeqCst) != END {
        number += 1;
        let page = match added {
            0 => format!("/first/{client}-{number}"),
            _ => PAGE.to_owned(),
        };
        let request = format!(
            "GET {page} HTTP/1.1\r\nHost: shop.example\r\nX-Savorylane-Request-Id: c{client}n{number}\r\nX-Savorylane-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
        );
        let steady = phase.load(Ordering::SeqCst) == STEADY;
        let answer = http::connect(entry).ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
            stream.write_all(request.as_bytes()).ok()?;
            http::read_answer(&mut http::reader(&stream).ok()?)
        });
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("client {client}: {page} is answered {status}"));
        if steady && phase.load(Ordering::SeqCst) == STEADY {
            let mut counts = counts.lock().unwrap();
            counts[added].sent += 1;
            counts[added].served += usize::from(status == 200);
            counts[added].refused += usize::from(status == 503);
        }
        let pause = if status == 200 { 40 } else { 300 };
        thread::sleep(Duration::from_millis(pause));
    }
}
