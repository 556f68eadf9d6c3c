//! Nodes: daemons as separate processes, started as the deploy file says.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Ports of a deployment, which are the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    base: u16,
}

/// Number of ports that a machine uses.
const PORTS: u16 = 8;

impl Ports {
    pub fn outbound(self) -> u16 {
        self.base
    }
    pub fn inbound(self) -> u16 {
        self.base + 1
    }
    pub fn ready(self) -> u16 {
        self.base + 2
    }
    pub fn control(self) -> u16 {
        self.base + 3
    }
    pub fn operator(self) -> u16 {
        self.base + 4
    }
    pub fn app(self) -> u16 {
        self.base + 5
    }
    /// A port for a program that does not belong to the deployment.
    pub fn other(self) -> u16 {
        self.base + 7
    }
    pub fn store(self) -> u16 {
        self.base + 6
    }

    /// Finds ports that are free at all of `addresses`.
    pub fn find(addresses: &[IpAddr]) -> Option<Self> {
        let first = 20_000 + (std::process::id() % 1_000) as u16 * 8;
        let mut bases = (0..500).map(|step| first + step * PORTS);
        let free = |base: &u16| {
            addresses
                .iter()
                .all(|ip| (0..PORTS).all(|port| TcpListener::bind((*ip, base + port)).is_ok()))
        };
        bases.find(free).map(|base| Self { base })
    }
}

/// Returns the loopback address of machine `index`; 0 is the store's.
pub fn ip(index: usize) -> IpAddr {
    let process = std::process::id();
    let (high, low) = ((process >> 8) % 200 + 20, process % 250 + 1);
    IpAddr::V4(Ipv4Addr::new(127, high as u8, low as u8, index as u8 + 1))
}

/// A machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub index: usize,
    pub zone: &'static str,
    pub region: &'static str,
    pub service: &'static str,
    pub ports: Ports,
    pub store: SocketAddr,
    /// Zones with their regions.
    pub zones: Vec<(&'static str, &'static str)>,
}

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.index), port)
    }

    /// Returns the command line of the deploy file, filled in.
    fn command_line(&self, template: &str) -> Vec<String> {
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let values = [
            ("ip", ip(self.index).to_string()),
            ("region", self.region.into()),
            ("zone", self.zone.into()),
            ("service", self.service.into()),
            (
                "listen.outbound",
                self.at(self.ports.outbound()).to_string(),
            ),
            ("listen.inbound", self.at(self.ports.inbound()).to_string()),
            ("listen.ready", self.at(self.ports.ready()).to_string()),
            ("port_range.0", self.ports.control().to_string()),
            ("port_range.1", self.ports.operator().to_string()),
            ("app_addr", self.at(self.ports.app()).to_string()),
            ("platform.address", self.store.to_string()),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("limits.link_mbps", "1000.0".into()),
        ];
        let fill = |word: &str| {
            let mut word = word.to_owned();
            for (name, value) in &values {
                word = word.replace(&format!("{{{{{name}}}}}"), value);
            }
            word
        };
        template.split_whitespace().map(fill).collect()
    }
}

/// Reads the command line of the role `node` from the deploy file.
pub fn deploy_template(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))?;
    Some(line.strip_suffix('"')?.to_owned())
}

/// Lets the kernel kill this process when its parent ends, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    unsafe extern "C" {
        fn prctl(option: i32, ...) -> i32;
    }
    // SAFETY: this option takes a signal and touches no memory.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// A running daemon, which is killed on drop.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Starts the daemon of `machine`; its log goes to `log`.
    pub fn start(
        root: &Path,
        template: &str,
        machine: &Machine,
        log: File,
    ) -> std::io::Result<Self> {
        let words = machine.command_line(template);
        let mut command = Command::new(root.join(&words[0]));
        // SAFETY: `prctl` is safe to call between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(&words[1..])
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("SAVORYLANE_NODE_FILE", "/nonexistent/local.toml")
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        // SAFETY: `kill` has no memory effects, and the child has not been
        // reaped, so its id is not used by another process.
        unsafe { kill(self.child.id() as i32, SIGTERM) };
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks a node whether it is ready.
pub fn is_ready(machine: &Machine) -> bool {
    let limit = Duration::from_millis(300);
    let answer = (|| {
        let address = machine.at(machine.ports.ready());
        let mut connection = Connection::open(address, limit).ok()?;
        let headers = [("Host", "ready")];
        connection
            .write("GET /-/readyz HTTP/1.1", &headers, b"")
            .ok()?;
        connection.read(Instant::now() + limit).ok()?
    })();
    answer.is_some_and(|answer| answer.status() == Some(200))
}
