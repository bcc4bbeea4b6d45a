//! The sample settings and instance lists parse with the production code and match each other.

use std::{net::SocketAddr, path::PathBuf};

use axum::{Router, routing::get};
use node::settings::Settings;
use outbound::{Client, InstanceList, InstanceListClient, ListEntry, Role, Timeouts};

fn sample_dir(org: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(org)
}

/// Settings of the six sample instances of an organisation.
fn sample_settings(org: &str) -> Vec<Settings> {
    let read = |i| {
        let text =
            std::fs::read_to_string(sample_dir(org).join(format!("{org}-{i}.yaml"))).unwrap();
        Settings::parse(&text).unwrap_or_else(|e| panic!("{org}-{i}: {e}"))
    };
    (1..=6).map(read).collect()
}

/// Entries of an organisation's sample list, read by the list client.
async fn sample_list(org: &str) -> Vec<ListEntry> {
    let text = std::fs::read_to_string(sample_dir(org).join("list.json")).unwrap();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = Router::new().route("/sd", get(async || text));
    tokio::spawn(async { axum::serve(listener, router).await.unwrap() });
    let client = InstanceListClient::new(Client::new(Timeouts::default()), addr, "/sd");
    let (listed, invalid) = client.read().await.unwrap();
    assert_eq!(invalid, 0);
    listed
}

/// Checks the number of entries by role, and that list and settings match.
async fn check_samples(org: &str, zones: &[&str], sizes: &[(Role, usize)]) {
    let settings = sample_settings(org);
    let listed = sample_list(org).await;
    for (role, size) in sizes {
        assert_eq!(listed.iter().filter(|l| l.role == *role).count(), *size, "{role:?}");
    }
    let mut addrs: Vec<SocketAddr> = listed.iter().map(|l| l.addr).collect();
    addrs.sort();
    addrs.dedup();
    assert_eq!(addrs.len(), listed.len(), "two entries of the list have the same address");
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
async fn inkline_samples_match() {
    let zones = ["regina", "saskatoon", "winnipeg"];
    let sizes = [(Role::Entry, 6), (Role::Engine, 12), (Role::Service, 3), (Role::Store, 2)];
    check_samples("inkline", &zones, &sizes).await;
}

#[tokio::test]
async fn umthombo_samples_match() {
    let zones = ["tshwane", "soweto", "sandton", "midrand"];
    let sizes = [(Role::Entry, 6), (Role::Engine, 20), (Role::Service, 4), (Role::Store, 2)];
    check_samples("umthombo", &zones, &sizes).await;
}
