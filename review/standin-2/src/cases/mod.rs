//! One module a case. `many_routes` and `pipelined_break` are left out of the
//! cases; REPORT-2.md tells of them.

pub mod banned_page;
pub mod many_routes;
pub mod pipelined_break;
pub mod pipelined_stop;
pub mod second_refusal;
pub mod slow_readers;
pub mod unread_answers;

use crate::world::Machine;

/// Returns a configuration whose routes and services are rows of the store's
/// tables.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"["{name}","/healthz",120,"h1",false]"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","prefix","type","timeout_s","slo_s","priority","split","attempts","service"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Returns the row of a route of the host `shop.example`.
pub fn route(name: &str, kind: &str, timeout_s: f64, slo_s: f64, service: &str) -> String {
    format!(
        r#"["{name}","shop.example","/{name}/","{kind}",{timeout_s},{slo_s},1,null,2,"{service}"]"#
    )
}

/// Returns a machine of a zone.
pub fn machine(number: u8, zone: &str, region: &str, service: &str) -> Machine {
    Machine {
        number,
        zone: zone.to_owned(),
        region: region.to_owned(),
        service: service.to_owned(),
        memory_mb: 260,
        link_mbps: 1000,
    }
}
