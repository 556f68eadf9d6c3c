//! The cases.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Verdict;
use crate::node;
use crate::record::{Event, Record};
use crate::target::Target;
use crate::world::{self, CONFIG_APPLY, DRAIN, GRACE, LEAD, RECOVERY, STABLE_WINDOW, World};

/// Index of the first machine that runs `utlan`.
const FIRST_BOOKING_MACHINE: usize = 3;

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Starts clients of all kinds beside all machines. A booking works for
/// `booking_ms`.
fn start_traffic(world: &mut World, booking_ms: u64) {
    let period = Duration::from_millis(150);
    for index in 0..world.machines.len() {
        world.add_client(index, period, world::stock(40));
        world.add_client(index, period, world::book(booking_ms));
        world.add_client(index, period, world::haul(60));
    }
}

/// Returns the share of the requests sent between `from` and `to` that were
/// answered with success.
fn served(record: &Record, from: Duration, to: Duration) -> (usize, usize) {
    served_of(record, &[], from, to)
}

/// Like [`served`], for requests of some kinds; of all kinds if `kinds` is
/// empty.
fn served_of(record: &Record, kinds: &[&str], from: Duration, to: Duration) -> (usize, usize) {
    let mut sent = HashSet::new();
    let mut served = 0;
    for (at, event) in record.events() {
        match event {
            Event::Sent { id, kind, .. }
                if (from..to).contains(&at) && (kinds.is_empty() || kinds.contains(&kind)) =>
            {
                sent.insert(id);
            }
            Event::Answered { id, status } if sent.contains(&id) => {
                served += usize::from(status == Some(200));
            }
            _ => {}
        }
    }
    (served, sent.len())
}

/// Puts an entry of another writer with the name of a service that no route
/// leads to, if any; then one target is drained. Last, all processes are killed
/// and started again, which shows what nodes know that start beside the entry.
pub fn foreign_entry(world: &mut World, trouble: bool) -> Verdict {
    std::thread::sleep(LEAD);
    start_traffic(world, 60);
    sleep(4.0);
    if trouble {
        let address = SocketAddr::new(node::ip(0), world.machines[0].ports.app());
        let entry = world::entry_json(address, "Batch Jobs", "sv-a", 4, "ready");
        put_foreign(world, &entry);
    }
    sleep(4.0);
    let (target, acknowledged) = drain_first_booking_target(world);
    std::thread::sleep(DRAIN);
    sleep(4.0);
    let (late, _) = late_runs(&world.record, &target.id, acknowledged + DRAIN);
    let killed = world.record.note("all processes are killed");
    for index in 0..world.daemons.len() {
        world.kill_daemon(index);
    }
    sleep(1.0);
    for index in 0..world.daemons.len() {
        if let Err(reason) = world.restart_daemon(index) {
            eprintln!("{reason}");
            return Verdict::NotRun;
        }
    }
    let back = world.record.note("all processes are started again");
    std::thread::sleep(RECOVERY);
    sleep(8.0);
    world.stop_clients();
    let before = served(&world.record, Duration::ZERO, killed);
    let after = served(&world.record, back + RECOVERY, Duration::MAX);
    world.record.note(format!(
        "{late} requests sent later than drain_s after that reached {}; served before the kill: \
         {} of {}, later than recovery_s after it: {} of {}",
        target.id, before.0, before.1, after.0, after.1
    ));
    match (late, before.1 > 100) {
        (_, false) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Lets the first target of `utlan` report that it is draining. Returns it and
/// the time of the acknowledgement.
fn drain_first_booking_target(world: &World) -> (Target, Duration) {
    let index = FIRST_BOOKING_MACHINE;
    world.put_entry(index, "draining");
    let target = world.targets[index].clone();
    target.leave();
    let acknowledged = world.record.note(format!(
        "the store acknowledged that {} is draining",
        target.id
    ));
    (target, acknowledged)
}

/// Puts an entry of another writer at another port of a machine, if any; then
/// one target is drained and ends.
pub fn shared_address(world: &mut World, trouble: bool) -> Verdict {
    std::thread::sleep(LEAD);
    start_traffic(world, 300);
    sleep(4.0);
    if trouble {
        let machine = &world.machines[1];
        let address = machine.at(machine.ports.other());
        let entry = world::entry_json(address, "exporter", machine.zone, 4, "ready");
        put_foreign(world, &entry);
    }
    sleep(4.0);
    let (target, acknowledged) = drain_first_booking_target(world);
    std::thread::sleep(DRAIN);
    sleep(4.0);
    target.end();
    world.remove_entry(FIRST_BOOKING_MACHINE);
    world
        .record
        .note(format!("{} has ended; its node gets SIGTERM", target.id));
    world.terminate(FIRST_BOOKING_MACHINE);
    sleep(8.0);
    world.stop_clients();
    let (late, cut) = late_runs(&world.record, &target.id, acknowledged + DRAIN);
    world.record.note(format!(
        "{late} requests sent later than drain_s after that reached {}; \
         {cut} of them were cut when it ended",
        target.id
    ));
    match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn put_foreign(world: &World, entry: &str) {
    world.store.put("servers/b-0001", entry);
    world
        .record
        .note(format!("another writer put the entry {entry}"));
}

/// Returns how many requests that were sent after `from` a target ran, and how
/// many of them were cut when it ended.
fn late_runs(record: &Record, target: &str, from: Duration) -> (usize, usize) {
    let mut sent = HashSet::new();
    let (mut late, mut cut) = (0, 0);
    for (at, event) in record.events() {
        match event {
            Event::Sent { id, .. } if at >= from => {
                sent.insert(id);
            }
            Event::Run { id, target: by, .. } if by == target => {
                late += usize::from(sent.contains(&id));
            }
            Event::Cut { id, target: by } if by == target => {
                cut += usize::from(sent.contains(&id));
            }
            _ => {}
        }
    }
    (late, cut)
}

/// A node gets SIGTERM, and once more half a second later.
pub fn repeated_term(world: &mut World, trouble: bool) -> Verdict {
    std::thread::sleep(LEAD);
    let period = Duration::from_millis(420);
    for index in 0..world.machines.len() {
        for _ in 0..3 {
            world.add_client(index, period, world::book(400));
            world.add_client(index, period, world::stock(300));
        }
    }
    sleep(4.0);
    let mut ends = Vec::new();
    for index in [1, 4, 7] {
        let terminated = world
            .record
            .note(format!("machine {} gets SIGTERM", index + 1));
        world.terminate(index);
        sleep(0.5);
        if trouble {
            world
                .record
                .note(format!("machine {} gets SIGTERM once more", index + 1));
            world.terminate(index);
        }
        ends.push((index + 1, terminated));
        sleep(7.0);
        if let Err(reason) = world.restart_daemon(index) {
            eprintln!("{reason}");
            return Verdict::NotRun;
        }
        sleep(3.0);
    }
    world.stop_clients();
    let mut lost = 0;
    for (machine, terminated) in ends {
        let ids = lost_requests(&world.record, machine, terminated, terminated + GRACE);
        world.record.note(format!(
            "machine {machine}: {} requests were passed to a target and not answered",
            ids.len()
        ));
        lost += ids.len();
    }
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Returns the requests whose connection to `machine` ended in a period without
/// an answer although a target ran them.
fn lost_requests(record: &Record, machine: usize, from: Duration, to: Duration) -> Vec<String> {
    let mut sent = HashSet::new();
    let mut run = HashSet::new();
    let mut lost = Vec::new();
    for (at, event) in record.events() {
        match event {
            Event::Sent {
                id, machine: by, ..
            } if by == machine => {
                sent.insert(id);
            }
            Event::Run { id, .. } => {
                run.insert(id);
            }
            Event::Answered { id, status: None }
                if (from..to).contains(&at) && sent.contains(&id) && run.contains(&id) =>
            {
                lost.push(id);
            }
            _ => {}
        }
    }
    lost
}

/// The nodes beside the targets of `utlan` are stopped and started again, one
/// after the other and in two rounds, while their targets go on. Then a route to
/// `utlan` is added.
pub fn rolled(world: &mut World, trouble: bool) -> Verdict {
    let of = |world: &World, service: &str| -> Vec<usize> {
        let all = 0..world.machines.len();
        all.filter(|index| world.machines[*index].service == service)
            .collect()
    };
    let (lager, utlan) = (of(world, "lager"), of(world, "utlan"));
    std::thread::sleep(LEAD);
    for index in 0..world.machines.len() {
        let period = Duration::from_millis(100);
        world.add_client(index, period, world::stock(40));
        world.add_client(index, period, world::haul(60));
        if !utlan.contains(&index) {
            for _ in 0..3 {
                world.add_client(index, period, world::book(90));
            }
        }
    }
    sleep(4.0);
    for _ in 0..3 {
        for &index in utlan.iter().filter(|_| trouble) {
            let machine = index + 1;
            world
                .record
                .note(format!("the node of machine {machine} gets SIGTERM"));
            world.terminate(index);
            world.wait_for_end(index);
            sleep(0.3);
            if let Err(reason) = world.restart_daemon(index) {
                eprintln!("{reason}");
                return Verdict::NotRun;
            }
            world
                .record
                .note(format!("the node of machine {machine} is started again"));
            sleep(1.0);
        }
    }
    sleep(STABLE_WINDOW.as_secs_f64() + 1.0);
    world.store.put("op/config", &world::configuration(9, true));
    let acknowledged = world
        .record
        .note("the store acknowledged version 9, which adds a route");
    for &index in &lager {
        world.add_client(index, Duration::from_millis(80), world::loan(15));
    }
    sleep(14.0);
    world.stop_clients();
    let steady = acknowledged + CONFIG_APPLY;
    let share = |kinds: &[&str]| served_of(&world.record, kinds, steady, Duration::MAX);
    let added = share(&["loan-status"]);
    let first = share(&["stock-check", "kit-booking", "haul-report"]);
    let bookings = share(&["kit-booking"]);
    world.record.note(format!(
        "served on the added route: {} of {}; on the first routes: {} of {}, \
         {} of {} bookings among them",
        added.0, added.1, first.0, first.1, bookings.0, bookings.1
    ));
    if added.1 < 20 || first.1 < 100 {
        return Verdict::NotRun;
    }
    let (added, first) = (
        added.0 as f64 / added.1 as f64,
        first.0 as f64 / first.1 as f64,
    );
    match added < first / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// A target is lost for good with a request in flight, and its node gets SIGTERM
/// after it.
pub fn lost_target(world: &mut World, trouble: bool) -> Verdict {
    std::thread::sleep(LEAD);
    for index in 0..world.machines.len() {
        world.add_client(index, Duration::from_millis(150), world::stock(40));
        world.add_client(index, Duration::from_millis(150), world::book(60));
        world.add_client(index, Duration::from_millis(150), world::haul(60));
    }
    sleep(2.0);
    world.store.put("op/config", &world::configuration(9, true));
    world
        .record
        .note("the store acknowledged version 9, which adds a route");
    std::thread::sleep(CONFIG_APPLY);
    world.add_client(0, Duration::from_millis(160), world::loan(150));
    sleep(4.0);
    // It is in the zone of the client.
    let lost = FIRST_BOOKING_MACHINE;
    if trouble {
        let target = world.targets[lost].clone();
        while !target.is_working_on("/loan/") {
            std::thread::sleep(Duration::from_millis(1));
        }
        world.record.note(format!("{} is lost for good", target.id));
        target.end();
        sleep(1.0);
        world.record.note("its node gets SIGTERM");
        world.terminate(lost);
        sleep(3.5);
        world.remove_entry(lost);
        world.record.note("its entry has expired");
    }
    std::thread::sleep(GRACE + STABLE_WINDOW);
    let steady = world.record.note("steady state");
    sleep(20.0);
    world.stop_clients();
    let share = |kinds: &[&str]| served_of(&world.record, kinds, steady, Duration::MAX);
    let added = share(&["loan-status"]);
    let first = share(&["stock-check", "kit-booking", "haul-report"]);
    world.record.note(format!(
        "served on the added route: {} of {}; on the first routes: {} of {}",
        added.0, added.1, first.0, first.1
    ));
    if added.1 < 20 || first.1 < 100 {
        return Verdict::NotRun;
    }
    let (added, first) = (
        added.0 as f64 / added.1 as f64,
        first.0 as f64 / first.1 as f64,
    );
    match added < first / 4.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
