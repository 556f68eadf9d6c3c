//! Daemons as separate processes, for failures that are caused by a signal.

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use savorylane_intent::document::Document;
use savorylane_intent::hosts::Host;
use savorylane_standin::upstream;
use savorylane_wire::operator::{OperatorClient, Status};

use super::Fleet;
use crate::common::{Daemon, list};

/// A daemon in a separate process, and its upstream in this process.
pub(crate) struct Process {
    /// The process; killed when dropped.
    pub(crate) daemon: Daemon,
    /// Its upstream.
    pub(crate) upstream: upstream::Handle,
    /// The daemon's entry in the host list.
    pub(crate) list_entry: Host,
}

impl Process {
    /// Starts a daemon and its upstream. The letters at the start of the host
    /// name are the data centre.
    pub(crate) fn spawn(fleet: &Fleet, host: &str, upstream: upstream::Settings) -> Self {
        let upstream = upstream::spawn(upstream, &fleet.record, &fleet.cancel).unwrap();
        Self::spawn_with_upstream(fleet, host, upstream, &[])
    }

    /// Starts a daemon in front of a running upstream, with additional
    /// arguments.
    pub(crate) fn spawn_with_upstream(
        fleet: &Fleet,
        host: &str,
        upstream: upstream::Handle,
        extra_args: &[String],
    ) -> Self {
        let data_centre = host.trim_end_matches(|c: char| c.is_ascii_digit());
        let mut arguments = vec![
            format!("--platform={}", fleet.platform.addr()),
            format!("--upstream={}", upstream.addr),
        ];
        arguments.extend_from_slice(extra_args);
        let daemon = Daemon::spawn(host, data_centre, &arguments);
        let list_entry = daemon.list_entry(data_centre);
        Self {
            daemon,
            upstream,
            list_entry,
        }
    }

    /// Kills the daemon and starts it again on the same addresses.
    pub(crate) async fn restart(&mut self, fleet: &Fleet) {
        let _ = self.daemon.child.kill();
        let _ = self.daemon.child.wait();
        let Host {
            entry,
            data,
            control,
            operator,
            ..
        } = self.list_entry;
        let arguments = [
            format!("--platform={}", fleet.platform.addr()),
            format!("--upstream={}", self.upstream.addr),
        ];
        // An outgoing connection can occupy one of the ports for a moment.
        for _ in 0..50 {
            let ports = [entry, data, control, operator];
            let host = &self.list_entry.name;
            self.daemon = Daemon::spawn_on(host, &self.list_entry.data_centre, ports, &arguments);
            if self.daemon.addresses.len() == 4 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the ports of {} stay in use", self.list_entry.name);
    }

    /// Returns the number of retries that this daemon made as an entry.
    pub(crate) async fn retry_count(&self) -> f64 {
        let page = crate::common::get(self.list_entry.operator, "/metrics")
            .await
            .unwrap();
        let text = String::from_utf8(page.body.to_vec()).unwrap();
        let mut lines = text.lines();
        let line = lines.find(|line| {
            line.starts_with("savorylane_attempts") && line.contains(r#"kind="retry""#)
        });
        line.map_or(0.0, |line| {
            let (_, value) = line.rsplit_once(' ').unwrap();
            value.parse().unwrap()
        })
    }

    /// Returns the address of the entry port.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.list_entry.entry
    }

    /// Sends the signal `name` to the process.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.daemon.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success(), "signal {name} to {id}");
    }

    /// Returns an RPC client of the operator port.
    pub(crate) fn operator(&self) -> HttpClient {
        HttpClientBuilder::default()
            .request_timeout(Duration::from_secs(2))
            .build(format!("http://{}", self.list_entry.operator))
            .unwrap()
    }

    /// Returns the status of the daemon; `None` if it does not answer.
    pub(crate) async fn status(&self) -> Option<Status> {
        self.operator().status().await.ok()
    }
}

/// Publishes the host list of `processes` and `document`, and waits until the
/// document is in force and all processes consider each other alive.
pub(crate) async fn publish_and_wait(fleet: &Fleet, processes: &[Process], document: &Document) {
    let hosts = processes.iter().map(|process| process.list_entry.clone());
    fleet.platform.publish_hosts(&list(1, hosts.collect()));
    fleet.platform.publish_document(document);
    let all: Vec<&Process> = processes.iter().collect();
    wait_for_document(&all, document.number, Duration::from_secs(10)).await;
}

/// Waits until document `number` is in force on all `processes` and they
/// consider each other alive, and returns how long that took.
pub(crate) async fn wait_for_document(
    processes: &[&Process],
    number: u64,
    limit: Duration,
) -> Duration {
    let start = Instant::now();
    for process in processes {
        loop {
            let status = process.status().await;
            let met = status.as_ref().is_some_and(|status| {
                let known = |host: &&savorylane_wire::operator::Host| host.state == "alive";
                status.version.map(|version| version.number) == Some(number)
                    && status.hosts.iter().filter(known).count() + 1 >= processes.len()
            });
            if met {
                break;
            }
            assert!(start.elapsed() < limit, "not in {limit:?}: {status:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    start.elapsed()
}
