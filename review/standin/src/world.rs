//! A small deployment: store, targets, nodes and clients.

use std::fs::{File, OpenOptions};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{self, Ids, Request};
use crate::http::Connection;
use crate::node::{self, Daemon, Machine, Ports};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::target::Target;

/// Bounds of a small deployment (`SYSTEM.md`, plockpool).
pub const DRAIN: Duration = Duration::from_millis(2_500);
pub const GRACE: Duration = Duration::from_secs(6);
/// Interval at which a target writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
pub const RECOVERY: Duration = Duration::from_secs(15);
/// Traffic starts this long after the machines do.
pub const LEAD: Duration = Duration::from_secs(8);

pub const SERVICES: [&str; 3] = ["lager", "utlan", "rapport"];
const SLOTS: usize = 15;
const ZONES: [(&str, &str); 3] = [
    ("sv-a", "svealand"),
    ("go-a", "gotaland"),
    ("no-a", "norrland"),
];
/// Interval between two readiness checks of a node.
const READY_INTERVAL: Duration = Duration::from_secs(1);
/// Misses in a row after which the clients of a machine get no new work.
const MAX_MISSES: u32 = 2;

pub struct World {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    pub targets: Vec<Target>,
    /// Proxy of each machine before the store.
    pub proxies: Vec<Proxy>,
    pub daemons: Vec<Arc<Mutex<Option<Daemon>>>>,
    pub ids: Ids,
    /// Whether the clients of a machine get new work.
    working: Vec<Arc<AtomicBool>>,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
    root: PathBuf,
    logs: PathBuf,
    template: String,
}

impl World {
    /// Starts store, targets and nodes: in each of three zones, one machine
    /// for each service.
    pub fn start(root: &Path, logs: &Path) -> Result<Self, String> {
        let record = Record::new();
        let count = ZONES.len() * SERVICES.len();
        let addresses: Vec<_> = (0..=count).map(node::ip).collect();
        let ports = Ports::find(&addresses).ok_or("no free ports")?;
        let template = node::deploy_template(root).ok_or("cannot read the deploy file")?;
        let store_address = SocketAddr::new(node::ip(0), ports.store());
        let machines: Vec<Machine> = (0..count)
            .map(|index| {
                let (zone, region) = ZONES[index % ZONES.len()];
                Machine {
                    index: index + 1,
                    zone,
                    region,
                    service: SERVICES[index / ZONES.len() % SERVICES.len()],
                    ports,
                    store: SocketAddr::new(node::ip(index + 1), ports.store()),
                    zones: ZONES.to_vec(),
                }
            })
            .collect();
        let store = Store::default();
        store
            .serve(store_address)
            .map_err(|error| format!("cannot start the store: {error}"))?;
        store.put("op/config", &configuration(7, false));
        let (mut targets, mut proxies) = (Vec::new(), Vec::new());
        for machine in &machines {
            let proxy = Proxy::start(machine.store, store_address);
            proxies.push(proxy.map_err(|error| format!("cannot start a proxy: {error}"))?);
        }
        for machine in &machines {
            let address = machine.at(ports.app());
            let target = Target::start(&target_id(machine.index), address, SLOTS, &record);
            targets.push(target.map_err(|error| format!("cannot start a target: {error}"))?);
        }
        let mut world = Self {
            record,
            store,
            machines,
            targets,
            proxies,
            daemons: Vec::new(),
            ids: Ids::new(),
            working: Vec::new(),
            stop: Arc::default(),
            clients: Vec::new(),
            root: root.to_owned(),
            logs: logs.to_owned(),
            template,
        };
        for index in 0..world.machines.len() {
            world.put_entry(index, "ready");
            let daemon = world.spawn_daemon(index)?;
            world.daemons.push(Arc::new(Mutex::new(Some(daemon))));
            world.working.push(Arc::new(AtomicBool::new(true)));
        }
        world.watch_readiness();
        Ok(world)
    }

    fn spawn_daemon(&self, index: usize) -> Result<Daemon, String> {
        let path = self.logs.join(format!("node-{}.log", index + 1));
        let log = OpenOptions::new().create(true).append(true).open(path);
        let log: File = log.map_err(|error| format!("cannot open a log: {error}"))?;
        Daemon::start(&self.root, &self.template, &self.machines[index], log)
            .map_err(|error| format!("cannot start a daemon: {error}"))
    }

    /// Starts the daemon of a machine again.
    pub fn restart_daemon(&self, index: usize) -> Result<(), String> {
        let daemon = self.spawn_daemon(index)?;
        *self.daemons[index].lock().unwrap() = Some(daemon);
        Ok(())
    }

    /// Sends SIGTERM to the daemon of a machine.
    pub fn terminate(&self, index: usize) {
        if let Some(daemon) = self.daemons[index].lock().unwrap().as_ref() {
            daemon.terminate();
        }
    }

    /// Waits until the daemon of a machine has ended.
    pub fn wait_for_end(&self, index: usize) {
        let has_ended = || {
            let mut daemon = self.daemons[index].lock().unwrap();
            daemon.as_mut().is_none_or(|daemon| daemon.has_ended())
        };
        while !has_ended() {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Kills the daemon of a machine.
    pub fn kill_daemon(&self, index: usize) {
        if let Some(mut daemon) = self.daemons[index].lock().unwrap().take() {
            daemon.kill();
        }
    }

    /// Writes the entry of a machine's target.
    pub fn put_entry(&self, index: usize, state: &str) {
        let machine = &self.machines[index];
        let target = &self.targets[index];
        let entry = entry_json(target.address, machine.service, machine.zone, SLOTS, state);
        self.store.put(&format!("servers/{}", target.id), &entry);
    }

    /// Removes the entry of a machine's target.
    pub fn remove_entry(&self, index: usize) {
        self.store
            .remove(&format!("servers/{}", self.targets[index].id));
    }

    fn watch_readiness(&self) {
        for (machine, working) in self.machines.iter().zip(&self.working) {
            let (machine, working) = (machine.clone(), Arc::clone(working));
            let (stop, record) = (Arc::clone(&self.stop), self.record.clone());
            std::thread::spawn(move || {
                let mut misses = 0;
                while !stop.load(Ordering::Relaxed) {
                    let start = Instant::now();
                    misses = match node::is_ready(&machine) {
                        true => 0,
                        false => misses + 1,
                    };
                    let now = misses < MAX_MISSES;
                    if working.swap(now, Ordering::Relaxed) != now {
                        let state = if now { "in" } else { "out" };
                        record.note(format!("machine {} is {state}", machine.index));
                    }
                    std::thread::sleep(READY_INTERVAL.saturating_sub(start.elapsed()));
                }
            });
        }
    }

    /// Starts a client beside a machine that sends a request every `period`, or
    /// when the one before is answered if that takes longer. After a refusal it
    /// retries once, as the refusal says.
    pub fn add_client(&mut self, index: usize, period: Duration, request: Request) {
        let machine = self.machines[index].clone();
        let zone: Vec<Arc<AtomicBool>> = self
            .machines
            .iter()
            .zip(&self.working)
            .filter(|(other, _)| other.zone == machine.zone)
            .map(|(_, working)| Arc::clone(working))
            .collect();
        let working = Arc::clone(&self.working[index]);
        let (record, ids) = (self.record.clone(), self.ids.clone());
        let stop = Arc::clone(&self.stop);
        let entry = machine.at(machine.ports.outbound());
        self.clients.push(std::thread::spawn(move || {
            let mut connection: Option<Connection> = None;
            let is_in = |flag: &Arc<AtomicBool>| flag.load(Ordering::Relaxed);
            let mut next = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                next = next.max(Instant::now()) + period;
                let zone_in = zone.iter().filter(|flag| is_in(flag)).count();
                if !is_in(&working) && zone_in * 2 >= zone.len() {
                    continue;
                }
                let start = Instant::now();
                let first = client::send(
                    &record,
                    &ids,
                    machine.index,
                    entry,
                    &mut connection,
                    &request,
                );
                let left = request.deadline.saturating_sub(start.elapsed());
                if !matches!(first.status, Some(429 | 503)) || left.is_zero() {
                    continue;
                }
                let wait = first.retry_after.unwrap_or_default().min(left / 3);
                std::thread::sleep(wait);
                let retry = Request {
                    deadline: request.deadline.saturating_sub(start.elapsed()),
                    ..request.clone()
                };
                client::send(&record, &ids, machine.index, entry, &mut None, &retry);
            }
        }));
    }

    /// Stops the clients and waits for their answers.
    pub fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Kills all daemons.
    pub fn end(&self) {
        for index in 0..self.daemons.len() {
            self.kill_daemon(index);
        }
    }
}

pub fn target_id(index: usize) -> String {
    format!("i-{:08x}", 0x7f3a_9100 + index)
}

/// Returns an entry of a target in the store.
pub fn entry_json(
    address: SocketAddr,
    service: &str,
    zone: &str,
    slots: usize,
    state: &str,
) -> String {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let born = born.as_millis();
    format!(
        "{{\"address\":\"{address}\",\"born\":{born},\
         \"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\
         \"slots\":{slots}}},\
         \"status\":{{\"state\":\"{state}\",\"seq\":4,\"cold_left_s\":0}}}}"
    )
}

/// Returns a configuration with one route for each kind of request; with
/// `loans`, also one for loan states.
pub fn configuration(version: u64, loans: bool) -> String {
    let loans = match loans {
        true => ",[\"r-loan\",\"jepu9.example\",\"/loan/\",\"safe\",1.2,0.3,2,null,2,\"utlan\"]",
        false => "",
    };
    format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"host\",\"prefix\",\"type\",\
         \"timeout_s\",\"slo_s\",\"priority\",\"split\",\"attempts\",\"service\"],\"rows\":[\
         [\"r-stock\",\"jepu9.example\",\"/stock/\",\"safe\",1.2,0.3,2,null,2,\"lager\"],\
         [\"r-book\",\"jepu9.example\",\"/book/\",\"unsafe\",1.2,0.3,1,null,2,\"utlan\"],\
         [\"r-haul\",\"hulo84.example\",\"/haul/\",\"upload\",1.5,0.4,1,null,2,\"rapport\"]{loans}]}},\
         \"services\":{{\"columns\":[\"name\",\"health_path\",\"max_conns\",\"protocol\",\"tls\"],\
         \"rows\":[[\"lager\",\"/healthz\",110,\"h1\",false],\
         [\"utlan\",\"/healthz\",110,\"h1\",false],\
         [\"rapport\",\"/healthz\",110,\"h1\",false]]}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
    )
}

pub fn stock(work_ms: u64) -> Request {
    Request {
        kind: "stock-check",
        method: "GET",
        host: "jepu9.example",
        path: format!("/stock/w{work_ms}/kits"),
        deadline: Duration::from_millis(1_200),
        body: Vec::new(),
    }
}

pub fn loan(work_ms: u64) -> Request {
    Request {
        kind: "loan-status",
        path: format!("/loan/w{work_ms}/state"),
        ..stock(work_ms)
    }
}

pub fn book(work_ms: u64) -> Request {
    Request {
        kind: "kit-booking",
        method: "POST",
        host: "jepu9.example",
        path: format!("/book/w{work_ms}/kit"),
        deadline: Duration::from_millis(1_200),
        body: vec![b'k'; 300],
    }
}

pub fn haul(work_ms: u64) -> Request {
    Request {
        kind: "haul-report",
        method: "POST",
        host: "hulo84.example",
        path: format!("/haul/w{work_ms}/report"),
        deadline: Duration::from_millis(1_500),
        body: vec![b'h'; 40_000],
    }
}
