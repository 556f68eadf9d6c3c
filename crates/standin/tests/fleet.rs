//! Tests of the fleet and of link latency by source network.

mod common;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use common::send;
use savorylane_standin::fleet::{self, Plan};
use savorylane_standin::{deployment, link, platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

/// Guards against a link that ignores the source network and so delays
/// neighbouring data centres as much as other regions.
#[tokio::test]
async fn link_delay_depends_on_source_network() {
    let cancel = CancellationToken::new();
    let platform = platform::spawn(1, &cancel).unwrap();
    let settings = link::Settings {
        target: platform.addr(),
        delay: Duration::from_millis(50),
        bandwidth: None,
    };
    let sources = link::Sources {
        delays: BTreeMap::from([([127, 30, 1], Duration::ZERO)]),
        name_parts: Vec::new(),
    };
    let link = link::spawn_by_source(settings, sources, &cancel).unwrap();
    let mut times = Vec::new();
    for network in [1, 2] {
        let socket = TcpSocket::new_v4().unwrap();
        let local = Ipv4Addr::new(127, 30, network, 1);
        socket.bind((local, 0).into()).unwrap();
        let start = Instant::now();
        let mut stream = socket.connect(link.addr).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        stream.read_u8().await.unwrap();
        times.push(start.elapsed());
    }
    // The TCP handshake and the request take two round trips.
    assert!(times[1] >= Duration::from_millis(195), "{times:?}");
    assert!(
        times[1] >= times[0] + Duration::from_millis(100),
        "{times:?}"
    );
    assert_eq!(link.traffic().len(), 2);
}

/// Guards against `wait_until_in_force` returning before all daemons apply a
/// change, and against hosts that cannot reach each other.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_applies_changes_and_serves_everywhere() {
    let mut fleet = fleet::spawn(Plan {
        deployment: deployment::testata(),
        hosts: 6,
        seed: 1,
        link_latency: false,
        flags: Vec::new(),
    })
    .await
    .unwrap();
    let (version, _) = fleet.change_target(0, 90);
    fleet.wait_until_in_force(version, 1).await.unwrap();
    for member in &fleet.members {
        assert_eq!(member.daemon.context.config.version(), Some(version));
        let entry = member.host.entry;
        for service in ["catalogo", "ordini", "grafica"] {
            let method_is_get = service != "ordini";
            let path = format!("/{service}/short/x");
            let answer = send(entry, false, &path, "1", "").await.unwrap();
            // The only class of `ordini` accepts POST, so no class matches this
            // GET request.
            assert_eq!(answer.status().is_success(), method_is_get, "{path}");
        }
    }
    fleet.abort();
}
