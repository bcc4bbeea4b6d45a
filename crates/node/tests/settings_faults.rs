//! Which settings files are accepted, and the fault texts for all others.

use std::time::Duration;

use node::settings::{DeploymentKey, Format, Level, Limits, Reload, Settings};

/// A settings file without faults.
const VALID: &str = "\
name: inkline-1
zone: regina
listen: { callers: '10.1.0.1:8080', admin: '10.1.0.1:8081', peers: '10.1.0.1:8082' }
platform:
  table: { url: 'http://10.9.0.1:8000', name: lentilpitch }
  objects: { url: 'http://10.9.0.2:9000', bucket: lentilpitch }
  list: http://10.9.0.3/sd
keys:
  deployment: 000102030405060708090a0b0c0d0e0f
  operators: [00000000000000000000000000000002, 00000000000000000000000000000001]
drain: { most: 250ms }
log: { format: json, level: debug }
";

/// Faults of the valid file with `old` replaced by `new`.
fn faults_with(old: &str, new: &str) -> String {
    assert!(VALID.contains(old), "{old} is not in the valid settings file");
    Settings::parse(&VALID.replace(old, new)).unwrap_err().to_string()
}

#[test]
fn valid_file_is_read() {
    let s = Settings::parse(VALID).unwrap();
    assert_eq!(s.advertise, s.listen.callers);
    assert_eq!(s.drain.most, Duration::from_millis(250));
    assert_eq!((s.log.format, s.log.level), (Format::Json, Level::Debug));
    assert_eq!(s.platform.list_addr(), "10.9.0.3:80".parse().unwrap());
    assert_eq!(s.limits, Limits::default());
    assert!(s.keys.operators.is_sorted() && s.keys.operators.len() == 2);
    let DeploymentKey::Inline(key) = &s.keys.deployment else {
        panic!("the deployment key is not inline")
    };
    assert_eq!(key.bytes(), (0..16).collect::<Vec<u8>>());
    assert!(!format!("{s:?}").contains("0a0b0c"));
}

#[test]
fn invalid_files_are_rejected() {
    let cases = [
        (
            "'10.1.0.1:8080'",
            "'localhost:80'",
            "listen.callers: wanted ip:port with an IP number, found \"localhost:80\"",
        ),
        (
            "'10.1.0.1:8080'",
            "'0.0.0.0:8080'",
            "advertise: wanted the ip:port at which callers reach it, found 0.0.0.0:8080",
        ),
        (
            "'10.1.0.1:8081'",
            "'10.1.0.1:8080'",
            "listen.admin: wanted an address of its own, found that of listen.callers",
        ),
        (
            "'10.1.0.1:8082'",
            "'10.1.0.1:8081'",
            "listen.peers: wanted an address of its own, found that of another listener",
        ),
        (
            "zone: regina\n",
            "zone: regina\nzoen: x\n",
            "zoen: wanted no such field, found an unknown field",
        ),
        ("most: 250ms", "most: 250", "drain.most: wanted a time such as 10s or 250ms, found 250"),
        (
            "level: debug",
            "level: loud",
            "log.level: wanted error, warn, info, debug or trace, found \"loud\"",
        ),
        (
            "000102030405060708090a0b0c0d0e0f",
            "abcd",
            "keys.deployment: wanted at least 16 bytes in hex or base64, found another text, not shown",
        ),
        (
            "deployment: 0001",
            "deployment_file: key\n  deployment: 0001",
            "keys.deployment: wanted nothing beside keys.deployment_file, found both",
        ),
        (
            "[00000000000000000000000000000002, 00000000000000000000000000000001]",
            "[]",
            "keys.operators: wanted at least one digest of an operator's key, found none",
        ),
        (
            "00000000000000000000000000000002,",
            "abc,",
            "keys.operators[0]: wanted a digest of 32 hexadecimal digits, found \"abc\"",
        ),
        (
            "http://10.9.0.2:9000",
            "https://10.9.0.2",
            "platform.objects.url: wanted an http:// URL, found \"https://10.9.0.2\"",
        ),
        (
            "http://10.9.0.3/sd",
            "ftp://x",
            "platform.list: wanted an http:// URL with an IP number, found \"ftp://x\"",
        ),
        (
            "drain: {",
            "limits: { queue: 0 }\ndrain: {",
            "limits.queue: wanted a whole number from 1, found 0",
        ),
        (
            "drain: {",
            "tls: { cert_file: a.pem }\ndrain: {",
            "tls.key_file: wanted the path of a file, found nothing",
        ),
    ];
    for (old, new, wanted) in cases {
        assert_eq!(faults_with(old, new), wanted);
    }
}

#[test]
fn every_fault_is_listed() {
    let listed = Settings::parse("name: Bad\nlisten: 5\nextra: 1\n").unwrap_err();
    let paths: Vec<&str> = listed.iter().map(|f| f.path.as_str()).collect();
    let wanted = [
        "name",
        "zone",
        "listen",
        "listen.callers",
        "listen.admin",
        "listen.peers",
        "platform.table.url",
        "platform.table.name",
        "platform.objects.url",
        "platform.objects.bucket",
        "platform.list",
        "keys.deployment_file",
        "keys.operators",
        "extra",
    ];
    assert_eq!(paths, wanted);
}

#[test]
fn invalid_yaml_and_duplicate_keys_are_faults() {
    for text in ["name: [", "name: a\nname: b\n"] {
        let faults = Settings::parse(text).unwrap_err().into_vec();
        assert_eq!((faults.len(), faults[0].path.as_str()), (1, "(document)"));
    }
}

#[test]
fn reload_applies_only_level_and_limits() {
    let old = Settings::parse(VALID).unwrap();
    let text = VALID
        .replace("level: debug", "level: warn")
        .replace("drain: {", "limits: { queue: 7 }\ndrain: {");
    let new = Settings::parse(&text).unwrap();
    let limits = Limits { queue: 7, ..Limits::default() };
    assert_eq!(
        old.reload(&new).unwrap(),
        Reload { level: Some(Level::Warn), limits: Some(limits) }
    );
    assert_eq!(old.reload(&old).unwrap(), Reload::default());
    let larger = text.replace("queue: 7", "queue: 7, body_bytes: 9, connections: 9");
    let refused = old.reload(&Settings::parse(&larger).unwrap()).unwrap_err();
    assert_eq!(refused.refused, ["limits.body_bytes", "limits.connections"]);
    let moved =
        Settings::parse(&text.replace("regina", "saskatoon").replace("json", "text")).unwrap();
    let refused = old.reload(&moved).unwrap_err();
    assert_eq!(refused.refused, ["zone", "log.format"]);
    assert_eq!(
        refused.to_string(),
        "nothing was changed; restart the instance to change zone, log.format"
    );
}

#[test]
fn files_named_in_settings_are_checked() {
    let dir = tempfile::tempdir().unwrap();
    let (file, key) = (dir.path().join("settings.yaml"), dir.path().join("key"));
    let line = format!("deployment_file: {}", key.display());
    std::fs::write(&file, VALID.replace("deployment: 000102030405060708090a0b0c0d0e0f", &line))
        .unwrap();
    assert!(
        Settings::read(&file).unwrap_err().to_string().contains("keys.deployment_file: wanted")
    );
    std::fs::write(&key, "AAECAwQFBgcICQoLDA0ODw==\n").unwrap();
    let read = Settings::read(&file).unwrap();
    assert_eq!(read.keys.deployment.material().unwrap().bytes(), (0..16).collect::<Vec<u8>>());
    std::fs::write(&key, "AAEC/w==").unwrap();
    assert!(Settings::read(&file).unwrap_err().to_string().contains("only 4 bytes"));
}
