//! A whole deployment in one process: platform, upstreams, daemons and the
//! links between their data centres.
//!
//! Each data centre has a `/24` network of the loopback range, in which its
//! daemons listen and from which they connect. A relay in front of each data
//! and control port delays every connection by the latency between the data
//! centres of both networks. Control messages come from 127.0.0.1: a connection
//! that carries them is assigned to a data centre by the first sender named in
//! it, and has the latency between regions until then. One relay per data
//! centre models its link to the platform.
//!
//! Inaccuracies of this model:
//!
//! - A relay adds about 0.1 ms per direction and rounds delays to the timer's
//!   resolution of 1 ms.
//! - Links between the same two regions share no bandwidth limit.
//! - Callers have no latency to their entry.

use std::error;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use savorylane_daemon::settings::parser;
use savorylane_intent::hosts::{Host, List, State};
use savorylane_intent::{Document, Version};
use savorylane_wire::operator::{OperatorClient as _, Outcome, Scope};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::deployment::{Deployment, Placement};
use crate::link::{self, Network};
use crate::{platform, upstream};

/// Error of starting or querying a part of the fleet.
pub type Failure = Box<dyn error::Error + Send + Sync>;

/// Timeout for a configuration to be in force on all daemons.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of the configuration in force, which is also the
/// error of convergence times.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Deployment with its document.
    pub deployment: Deployment,
    /// Number of hosts to start.
    pub hosts: usize,
    /// Seed of the upstreams.
    pub seed: u64,
    /// Whether links between data centres have latency.
    pub link_latency: bool,
    /// Additional command-line flags of each daemon.
    pub flags: Vec<String>,
}

/// A running host: daemon, upstream and the links to its ports.
#[derive(Debug)]
pub struct Member {
    /// Location and service of the host.
    pub placement: Placement,
    /// Upstream of the host.
    pub upstream: upstream::Handle,
    /// Daemon of the host.
    pub daemon: savorylane_daemon::Handle,
    /// Description of the host in the host list.
    pub host: Host,
    /// Link in front of the daemon's data port.
    pub data: link::Handle,
    /// Link in front of the daemon's control port.
    pub control: link::Handle,
}

/// A running deployment. Dropping it stops the stand-ins, but not the daemons.
#[derive(Debug)]
pub struct Fleet {
    /// Parameters with which the fleet was started.
    pub plan: Plan,
    /// The platform.
    pub platform: platform::Handle,
    /// Link of each data centre to the platform, in the order of the
    /// deployment.
    pub platform_links: Vec<link::Handle>,
    /// The running hosts.
    pub members: Vec<Member>,
    /// Counts of requests and runs of all upstreams.
    pub record: Arc<upstream::Record>,
    /// Hosts that the host list contains in addition to the members.
    pub extra_hosts: Vec<Host>,
    /// The document published last.
    pub document: Document,
    hosts_number: u64,
    cancel: CancellationToken,
    _guard: DropGuard,
}

/// Starts a deployment, publishes its configuration and waits until the
/// configuration is in force on all daemons.
///
/// # Errors
///
/// Returns the first error of starting a part, or the error of
/// [`Fleet::wait_until_in_force`].
pub async fn spawn(plan: Plan) -> Result<Fleet, Failure> {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel)?;
    let platform_centre = plan.deployment.data_centres[0];
    let mut platform_links = Vec::new();
    for centre in &plan.deployment.data_centres {
        let settings = link::Settings {
            target: platform.addr(),
            delay: match plan.link_latency {
                true => Deployment::delay(*centre, platform_centre),
                false => Duration::ZERO,
            },
            bandwidth: None,
        };
        platform_links.push(link::spawn(settings, &cancel)?);
    }
    let document = plan.deployment.document.clone();
    let mut fleet = Fleet {
        platform,
        platform_links,
        members: Vec::new(),
        record: Arc::default(),
        extra_hosts: Vec::new(),
        document,
        hosts_number: 0,
        _guard: cancel.clone().drop_guard(),
        cancel,
        plan,
    };
    for (n, placement) in fleet
        .plan
        .deployment
        .placements(fleet.plan.hosts)
        .into_iter()
        .enumerate()
    {
        fleet.start_host(placement, n).await?;
    }
    let document = fleet.document.clone();
    let number = fleet.publish_hosts();
    let (version, _) = fleet.publish(document);
    fleet.wait_until_in_force(version, number).await?;
    Ok(fleet)
}

impl Fleet {
    /// Starts a host, which the next [`Fleet::publish_hosts`] lists. The
    /// address and the seed of the host depend on `number`.
    ///
    /// # Errors
    ///
    /// Returns the first error of starting a part.
    pub async fn start_host(&mut self, placement: Placement, number: usize) -> Result<(), Failure> {
        let deployment = &self.plan.deployment;
        let mut centres = deployment.data_centres.iter();
        let centre_index = centres
            .position(|centre| *centre == placement.data_centre)
            .ok_or("the deployment does not contain the data centre of the host")?;
        let [a, b, c] = network(centre_index);
        let local = Ipv4Addr::new(a, b, c, u8::try_from(1 + number / 6 % 250)?);
        let settings =
            deployment.upstream_settings(&placement.service, self.plan.seed + number as u64);
        let upstream = upstream::spawn(settings, &self.record, &self.cancel)?;
        let arguments = [
            format!("--host={}", placement.name),
            format!("--region={}", placement.data_centre.region),
            format!("--data-centre={}", placement.data_centre.name),
            format!("--service={}", placement.service),
            format!("--entry={local}:0"),
            format!("--data={local}:0"),
            format!("--control={local}:0"),
            format!("--operator={local}:0"),
            format!("--upstream={}", upstream.addr),
            format!("--slots={}", deployment.slots),
            format!("--platform={}", self.platform_links[centre_index].addr),
            "--first-start".into(),
        ];
        let mut arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        // Peers that the daemon contacts first.
        let peers = self.members.iter().rev().take(3);
        let peers: Vec<String> = peers
            .map(|member| format!("--peer={}", member.control.addr))
            .collect();
        arguments.extend(peers.iter().chain(&self.plan.flags).map(String::as_str));
        let command = parser().run_inner(arguments.as_slice());
        let command = command.map_err(|failure| format!("{failure:?}"))?;
        let daemon = savorylane_daemon::spawn(command?.settings).await?;
        let address = |flag| daemon.addresses.get(flag).copied();
        let entry = address("entry").ok_or("the daemon has no entry port")?;
        let data = address("data").ok_or("the daemon has no data port")?;
        let operator = address("operator").ok_or("the daemon has no operator port")?;
        let control = address("control").unwrap_or(data);
        let data = self.spawn_link(data, &placement)?;
        let control = self.spawn_link(control, &placement)?;
        self.members.push(Member {
            host: placement.host([entry, data.addr, control.addr, operator]),
            placement,
            upstream,
            daemon,
            data,
            control,
        });
        Ok(())
    }

    fn spawn_link(
        &self,
        target: SocketAddr,
        placement: &Placement,
    ) -> Result<link::Handle, Failure> {
        let centres = self.plan.deployment.data_centres.iter().enumerate();
        let default_delay = self
            .plan
            .link_latency
            .then_some(crate::deployment::REGION_DELAY);
        let mut sources = link::Sources::default();
        for (n, centre) in centres {
            let delay = match self.plan.link_latency {
                true => Deployment::delay(*centre, placement.data_centre),
                false => Duration::ZERO,
            };
            sources.delays.insert(network(n), delay);
            sources
                .name_parts
                .push((format!("-{}-", centre.name), network(n)));
        }
        let settings = link::Settings {
            target,
            delay: default_delay.unwrap_or_default(),
            bandwidth: None,
        };
        Ok(link::spawn_by_source(settings, sources, &self.cancel)?)
    }

    /// Publishes the list of the members and the extra hosts, and returns its
    /// number.
    pub fn publish_hosts(&mut self) -> u64 {
        self.hosts_number += 1;
        let hosts = self.members.iter().map(|member| member.host.clone());
        self.platform.publish_hosts(&List {
            number: self.hosts_number,
            hosts: hosts.chain(self.extra_hosts.iter().cloned()).collect(),
        });
        self.hosts_number
    }

    /// Publishes `document` and returns its version and the time of
    /// publication.
    pub fn publish(&mut self, document: Document) -> (Version, Instant) {
        self.document = document;
        self.platform.publish_document(&self.document);
        (self.document.version(), Instant::now())
    }

    /// Publishes the document with the next number and another target latency
    /// of the class with the index `class`. Returns its version and the time of
    /// publication.
    pub fn change_target(&mut self, class: usize, latency_ms: u32) -> (Version, Instant) {
        let mut document = self.document.clone();
        document.number += 1;
        document.classes[class].target.latency_ms = latency_ms;
        self.publish(document)
    }

    /// Waits until every daemon has at least the given version and host list in
    /// force. Returns the time at which each daemon reached them, in the order
    /// of the members.
    ///
    /// # Errors
    ///
    /// Returns an error with the names of the hosts whose daemons have not
    /// reached them after 30 s.
    pub async fn wait_until_in_force(
        &self,
        version: Version,
        hosts: u64,
    ) -> Result<Vec<Instant>, Failure> {
        let start = Instant::now();
        let mut reached = vec![None; self.members.len()];
        loop {
            let now = Instant::now();
            for (member, reached) in self.members.iter().zip(&mut reached) {
                let config = &member.daemon.context.config;
                if reached.is_none()
                    && config.version() >= Some(version)
                    && config.snapshot().is_some_and(|s| s.list.number >= hosts)
                {
                    *reached = Some(now);
                }
            }
            if reached.iter().all(Option::is_some) {
                return Ok(reached.into_iter().flatten().collect());
            }
            if start.elapsed() > IN_FORCE_TIMEOUT {
                let lacking = self
                    .members
                    .iter()
                    .zip(&reached)
                    .filter(|(_, r)| r.is_none());
                let names: Vec<&str> = lacking.map(|(m, _)| m.placement.name.as_str()).collect();
                return Err(format!(
                    "configuration not in force within 30 s at {}",
                    names.join(", ")
                )
                .into());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of the host list published last.
    pub fn hosts_number(&self) -> u64 {
        self.hosts_number
    }

    /// Removes a host from the members and thereby from the next host list. Its
    /// daemon keeps running until the caller of this method stops it.
    pub fn remove_member(&mut self, name: &str) -> Option<Member> {
        let index = self
            .members
            .iter()
            .position(|member| member.placement.name == name)?;
        Some(self.members.remove(index))
    }

    /// Drains a host: its upstream drains, its daemon announces that it is
    /// leaving, and a new host list marks it as leaving. Returns the number of
    /// that list.
    pub fn drain(&mut self, name: &str) -> u64 {
        for member in &mut self.members {
            if member.placement.name == name {
                member.upstream.drain();
                member.daemon.context.leave("operator");
                member.host.state = State::Leaving;
            }
        }
        self.publish_hosts()
    }

    /// Sets the slow factor of the upstreams that `filter` selects.
    pub fn set_slow_factor(&self, factor: f64, filter: impl Fn(&Member) -> bool) {
        for member in self.members.iter().filter(|member| filter(member)) {
            member
                .upstream
                .update_mode(|mode| mode.slow_factor = factor);
        }
    }

    /// Returns the entry addresses of the members that `filter` selects.
    pub fn entries(&self, filter: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let members = self.members.iter().filter(|member| filter(member));
        members.map(|member| member.host.entry).collect()
    }

    /// Returns the number of short requests per second that all hosts of a
    /// service together can serve.
    pub fn capacity(&self, service: &str) -> f64 {
        let hosts = self
            .members
            .iter()
            .filter(|member| member.placement.service == service);
        hosts.count() as f64 * self.plan.deployment.upstream_capacity()
    }

    /// Returns the outcomes by class, summed over all daemons, as read from
    /// their operator ports.
    ///
    /// # Errors
    ///
    /// Returns the first error of reading from a daemon.
    pub async fn outcomes(&self) -> Result<Vec<Outcome>, Failure> {
        let mut sum: Vec<Outcome> = Vec::new();
        for member in &self.members {
            let address = member.host.operator;
            let client = HttpClient::builder().build(format!("http://{address}"))?;
            let summary = client.summary(Scope::Host).await?;
            for outcome in summary.outcomes {
                match sum.iter_mut().find(|other| other.class == outcome.class) {
                    Some(other) => {
                        other.requests += outcome.requests;
                        other.succeeded += outcome.succeeded;
                        other.in_time += outcome.in_time;
                    }
                    None => sum.push(outcome),
                }
            }
        }
        Ok(sum)
    }

    /// Returns the sum over all daemons of the samples whose line starts with
    /// `name` and contains `label`.
    pub fn metric(&self, name: &str, label: &str) -> f64 {
        let mut sum = 0.0;
        for member in &self.members {
            let context = &member.daemon.context;
            let text = context.metrics.encode(&context.load(), 0);
            let text = String::from_utf8_lossy(&text);
            let lines = text.lines().filter(|line| line.starts_with(name));
            let values = lines.filter(|line| line.contains(label));
            let values = values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            sum += values.sum::<f64>();
        }
        sum
    }

    /// Stops all daemons as if their processes were killed, and the stand-ins.
    pub fn abort(self) {
        for member in self.members {
            member.daemon.abort();
        }
    }

    /// Shuts down all daemons. Returns the names of the hosts whose daemons did
    /// not stop within `limit` or had to cut off requests.
    pub async fn shutdown(self, limit: Duration) -> Vec<String> {
        let shutdowns = self.members.into_iter().map(|member| async move {
            let cut = timeout(limit, member.daemon.shutdown()).await;
            cut.map_or(true, |cut| !cut.is_empty())
                .then_some(member.placement.name)
        });
        let failed = futures::future::join_all(shutdowns).await;
        failed.into_iter().flatten().collect()
    }
}

/// Returns the network of the data centre with the index `data_centre`.
pub fn network(data_centre: usize) -> Network {
    [127, 20, data_centre as u8]
}
