//! A small deployment: a store, daemons as processes, and a record of what
//! happens.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// Numbers of the ports, added to the first one.
const PORTS: u16 = 7;
const OUTBOUND: u16 = 0;
const INBOUND: u16 = 1;
const READY: u16 = 2;
const CONTROL: u16 = 3;
const OPERATOR: u16 = 4;
const APP: u16 = 5;
const STORE: u16 = 6;

/// Time after which a case that hangs is ended.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Number of the store's machine.
const STORE_HOST: u8 = 200;

/// What was sent, answered and run, as lines with the time.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let line = format!("{:>3}.{:03} s  {}\n", ms / 1_000, ms % 1_000, text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub number: u8,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub memory_mb: u32,
    pub link_mbps: u32,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub trouble: bool,
    subnet: (u8, u8),
    port: u16,
    regions: BTreeMap<String, String>,
    daemons: BTreeMap<u8, Child>,
    /// Ids of all processes that were started.
    started: Arc<Mutex<Vec<u32>>>,
    logs: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        for child in self.daemons.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.logs);
    }
}

impl World {
    /// Starts a store. `regions` has the region of each zone.
    pub fn start(record: &str, regions: &[(&str, &str)]) -> Self {
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let file = File::create(record).expect("the record can be written");
        let record = Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(file),
        });
        let process = std::process::id();
        let subnet = ((process / 250 % 250 + 1) as u8, (process % 250 + 1) as u8);
        let first = 20_000 + (process % 1_000) as u16 * 8;
        let port = (0..1_000)
            .map(|step| first + step * 8)
            .find(|port| {
                let hosts = [1, 2, 3, 4, STORE_HOST];
                hosts.iter().all(|host| {
                    (0..PORTS).all(|offset| {
                        TcpListener::bind(address(subnet, *host, port + offset)).is_ok()
                    })
                })
            })
            .expect("free ports are found");
        let logs = std::env::temp_dir().join(format!("review-2-{process}"));
        fs::create_dir_all(&logs).expect("a temporary folder can be made");
        let store = Store::start(address(subnet, STORE_HOST, port + STORE));
        record.line(format!("trouble: {trouble}"));
        let started = Arc::<Mutex<Vec<u32>>>::default();
        let (watched, watching) = (Arc::clone(&started), Arc::clone(&record));
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            watching.line("could not run: the case takes too long");
            for id in watched.lock().unwrap().iter() {
                let _ = Command::new("kill")
                    .args(["-KILL", &id.to_string()])
                    .status();
            }
            std::process::exit(2);
        });
        Self {
            record,
            store,
            trouble,
            subnet,
            port,
            regions: regions
                .iter()
                .map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()))
                .collect(),
            daemons: BTreeMap::new(),
            started,
            logs,
        }
    }

    fn at(&self, machine: u8, offset: u16) -> SocketAddr {
        address(self.subnet, machine, self.port + offset)
    }

    pub fn outbound(&self, machine: u8) -> SocketAddr {
        self.at(machine, OUTBOUND)
    }

    pub fn inbound(&self, machine: u8) -> SocketAddr {
        self.at(machine, INBOUND)
    }

    pub fn app(&self, machine: u8) -> SocketAddr {
        self.at(machine, APP)
    }

    pub fn ready(&self, machine: u8) -> SocketAddr {
        self.at(machine, READY)
    }

    /// Writes the entry of the target beside a machine.
    pub fn register(&self, machine: &Machine, id: &str, slots: u32, state: &str, seq: u64) {
        let (address, zone, service) = (self.app(machine.number), &machine.zone, &machine.service);
        let entry = format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"{state}","seq":{seq},"cold_left_s":0}},"born":1700000000000}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
        self.record.line(format!("store: servers/{id} is {state}"));
    }

    /// Starts the daemon of a machine with the command of the deploy file.
    pub fn spawn(&mut self, machine: &Machine) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file is there");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|line| line.strip_suffix('"'));
        let run = run.expect("the deploy file has a command");
        let zones: Vec<String> = self
            .regions
            .iter()
            .map(|(zone, region)| format!(r#""{zone}":"{region}""#))
            .collect();
        let number = machine.number;
        let values = [
            ("{{ip}}", self.at(number, 0).ip().to_string()),
            ("{{region}}", machine.region.clone()),
            ("{{zone}}", machine.zone.clone()),
            ("{{service}}", machine.service.clone()),
            ("{{listen.outbound}}", self.outbound(number).to_string()),
            ("{{listen.inbound}}", self.inbound(number).to_string()),
            ("{{listen.ready}}", self.ready(number).to_string()),
            ("{{port_range.0}}", (self.port + CONTROL).to_string()),
            ("{{port_range.1}}", (self.port + OPERATOR).to_string()),
            ("{{app_addr}}", self.app(number).to_string()),
            (
                "{{platform.address}}",
                self.at(STORE_HOST, STORE).to_string(),
            ),
            ("{{zones|json}}", format!("{{{}}}", zones.join(","))),
            ("{{limits.link_mbps}}", format!("{}.0", machine.link_mbps)),
            ("{{limits.memory_mb}}", machine.memory_mb.to_string()),
            ("{{limits.max_fds}}", "4100".to_owned()),
        ];
        let fill = |word: &str| {
            let filled = values.iter().fold(word.to_owned(), |word, (name, value)| {
                word.replace(name, value)
            });
            assert!(!filled.contains("{{"), "no value for {filled}");
            filled
        };
        let words: Vec<String> = run.split(' ').map(fill).collect();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.logs.join(format!("{number}.log")))
            .expect("a log can be written");
        let mut command = Command::new(&words[0]);
        command
            .args(&words[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file handle can be copied"))
            .stderr(log);
        // A daemon ends with this program, also if that is killed.
        // SAFETY: the call is safe between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().expect("the daemon starts; build it first");
        self.record
            .line(format!("machine {number}: daemon started"));
        self.started.lock().unwrap().push(child.id());
        // An earlier process of the machine has ended.
        if let Some(mut earlier) = self.daemons.insert(number, child) {
            let _ = earlier.wait();
            self.forget(earlier.id());
        }
    }

    /// Sends a signal to the daemon of a machine.
    pub fn signal(&mut self, machine: u8, name: &str) {
        let id = self.daemons[&machine].id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        self.record.line(format!("machine {machine}: {name}"));
    }

    /// Returns the id of the process of a machine.
    pub fn pid(&self, machine: u8) -> u32 {
        self.daemons[&machine].id()
    }

    /// Returns whether the daemon of a machine runs.
    pub fn is_running(&mut self, machine: u8) -> bool {
        let child = self.daemons.get_mut(&machine).expect("a known machine");
        let id = child.id();
        let runs = matches!(child.try_wait(), Ok(None));
        if !runs {
            self.forget(id);
        }
        runs
    }

    /// Takes a process that has ended off the list of those to end.
    fn forget(&self, id: u32) {
        self.started.lock().unwrap().retain(|known| *known != id);
    }

    /// Waits until the daemon of each machine answers on its ready address.
    /// Ends the program with 2 if one doesn't.
    pub fn await_ready(&self, machines: &[u8]) {
        let until = Instant::now() + Duration::from_secs(20);
        for machine in machines {
            loop {
                let request = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
                let answer = http::exchange(self.ready(*machine), request, Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    self.record.line(format!("machine {machine}: ready"));
                    break;
                }
                if Instant::now() > until {
                    self.fail(format!("machine {machine} isn't ready in time"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Ends the program because the case couldn't run.
    pub fn fail(&self, reason: String) -> ! {
        self.record.line(format!("could not run: {reason}"));
        for child in self.daemons.values() {
            let _ = Command::new("kill")
                .args(["-KILL", &child.id().to_string()])
                .status();
        }
        std::process::exit(2)
    }

    /// Ends all daemons and the program: with 1 if `broken`, else with 0.
    pub fn end(self, broken: bool) -> ! {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.record.line(format!("rule {verdict}"));
        drop(self);
        std::process::exit(i32::from(broken))
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Asks the operating system to kill this process when its parent ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes a number and changes nothing else.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

fn address(subnet: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, subnet.0, subnet.1, host)),
        port,
    )
}
