//! The samples are read by the code that reads them in use.

use std::{net::SocketAddr, path::PathBuf};

use axum::{Router, routing::get};
use node::settings::Settings;
use outbound::{Client, Deadlines, Instances, ListClient, Listed, Role};

fn samples(org: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(org)
}

fn settings(org: &str) -> Vec<Settings> {
    let read = |i| {
        let text = std::fs::read_to_string(samples(org).join(format!("{org}-{i}.yaml"))).unwrap();
        Settings::parse(&text).unwrap_or_else(|e| panic!("{org}-{i}: {e}"))
    };
    (1..=6).map(read).collect()
}

async fn listed(org: &str) -> Vec<Listed> {
    let text = std::fs::read_to_string(samples(org).join("list.json")).unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/sd", get(async || text));
    tokio::spawn(async { axum::serve(listener, router).await.unwrap() });
    let client = ListClient::new(Client::new(Deadlines::default()), addr, "/sd");
    let (listed, bad) = client.read().await.unwrap();
    assert_eq!(bad, 0);
    listed
}

async fn check(org: &str, zones: &[&str], sizes: &[(Role, usize)]) {
    let settings = settings(org);
    let listed = listed(org).await;
    for (role, size) in sizes {
        assert_eq!(listed.iter().filter(|l| l.role == *role).count(), *size, "{role:?}");
    }
    let mut addrs: Vec<SocketAddr> = listed.iter().map(|l| l.addr).collect();
    addrs.sort();
    addrs.dedup();
    assert_eq!(addrs.len(), listed.len(), "two share an address");
    assert!(listed.iter().all(|l| zones.contains(&l.zone.as_str())));
    assert!(zones.iter().all(|z| settings.iter().any(|s| s.zone.as_str() == *z)));
    for s in &settings {
        let entry = listed.iter().find(|l| l.name == s.name).unwrap();
        let own = (&s.zone, s.advertise, Some(s.listen.peers));
        assert_eq!((&entry.zone, entry.addr, entry.peer), own);
        assert_eq!(s.platform, settings[0].platform);
        assert_eq!(s.keys, settings[0].keys);
    }
}

#[tokio::test]
async fn inkline() {
    let zones = ["regina", "saskatoon", "winnipeg"];
    let sizes = [(Role::Entry, 6), (Role::Engine, 12), (Role::Service, 3), (Role::Store, 2)];
    check("inkline", &zones, &sizes).await;
}

#[tokio::test]
async fn umthombo() {
    let zones = ["tshwane", "soweto", "sandton", "midrand"];
    let sizes = [(Role::Entry, 6), (Role::Engine, 20), (Role::Service, 4), (Role::Store, 2)];
    check("umthombo", &zones, &sizes).await;
}
