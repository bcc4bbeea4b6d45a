//! What is fetched and saved for a prompt.

use std::sync::Arc;

use fleet::{CacheScope, Store};
use ident::Time;
use place::{
    Catalog, HeldPart, Part, Plan, Prompt, Salt, Source, cache_salt, free_delay, old_part_grace,
};

const NOW: Time = Time(100_000);
const SHARED: CacheScope = CacheScope::Shared(None);
/// The engines' clock at a store's last answer, in ms.
const CLOCK_MS: u64 = 10_000;

fn prompt(shared: u64) -> Prompt {
    let part = |id: &str, tokens| Part { id: id.into(), tokens };
    let parts = vec![part("ctx", shared), part("own", 400)];
    Prompt { model: "m".into(), input_tokens: shared + 400, output_tokens: 10, parts }
}

fn store(port: u16, capacity: u64) -> Arc<Store> {
    Arc::new(Store {
        name: format!("s-{port}").into(),
        addr: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        capacity_tokens: capacity,
        link_mbps: 40_000.0,
        max_polls: 12,
        delay_ms: 0.5,
        managed: true,
    })
}

fn catalog(parts: &[(&str, u64)]) -> Catalog {
    let mut out = Catalog::default();
    let held = |(part, tokens): &(&str, u64)| HeldPart {
        salt: "m/1".into(),
        part: (*part).into(),
        tokens: *tokens,
    };
    out.replace(1, parts.iter().map(held).collect());
    // The store has run for some time.
    for clock_ms in [100, CLOCK_MS] {
        assert!(out.apply(1, false, Vec::new(), clock_ms, NOW));
    }
    out
}

fn plan(
    prompt: &Prompt,
    preferred: Option<u16>,
    stores: &mut [(Arc<Store>, &mut Catalog)],
) -> Plan {
    let preferred = preferred.map(|port| ([127, 0, 0, 1], port).into());
    Plan::new(prompt, &cache_salt("m", 1, SHARED), preferred, None, stores, NOW)
}

#[test]
fn a_part_in_a_store_is_fetched_completely() {
    let mut stored = catalog(&[("ctx", 12_800)]);
    let out = plan(&prompt(12_800), Some(9), &mut [(store(1, 100_000), &mut stored)]);
    let source = Source { addr: ([127, 0, 0, 1], 1).into(), tokens: Some(12_800) };
    assert_eq!(out.parts[0].fetch, Some(source));
    assert_eq!(out.parts[0].save, None);
    assert_eq!(out.parts[1], Default::default(), "the last part belongs to the request only");
    assert_eq!(out.deadline_ms, Some(CLOCK_MS + 1800));
}

#[test]
fn an_incomplete_part_is_not_fetched() {
    let mut stored = catalog(&[("ctx", 6_000)]);
    let out = plan(&prompt(12_800), None, &mut [(store(1, 100_000), &mut stored)]);
    assert_eq!(out.parts[0].fetch, None);
}

#[test]
fn a_new_part_is_fetched_from_the_preferred_replica_and_saved_where_there_is_space() {
    let (mut full, mut free) = (catalog(&[("x", 99_000)]), catalog(&[]));
    let mut stores = [(store(1, 100_000), &mut full), (store(2, 100_000), &mut free)];
    let out = plan(&prompt(12_800), Some(9), &mut stores);
    assert_eq!(out.parts[0].fetch.map(|f| f.addr.port()), Some(9));
    assert_eq!(out.parts[0].save.map(|a| a.port()), Some(2));
}

#[test]
fn short_parts_are_neither_fetched_nor_saved() {
    let mut stored = catalog(&[("ctx", 300)]);
    let out = plan(&prompt(300), None, &mut [(store(1, 100_000), &mut stored)]);
    assert!(!out.fetches());
    assert_eq!(out.parts[0].save, None);
}

#[test]
fn salts_differ_by_version_and_dedicated_team() {
    let all = [
        cache_salt("m", 1, SHARED),
        cache_salt("m", 2, SHARED),
        cache_salt("m", 1, CacheScope::Team("t".into())),
        cache_salt("n", 1, SHARED),
    ];
    for (at, one) in all.iter().enumerate() {
        assert!(all[at + 1..].iter().all(|other| one != other));
    }
    let parsed = Salt { model: "m".into(), version: 2, scope: CacheScope::Team("t".into()) };
    assert_eq!(Salt::parse("m/2/t"), Some(parsed));
    assert_eq!(Salt::parse("somebody else's"), None);
}

/// A part must not be freed while an instance may still fetch it. An instance that
/// fetches counts the grace period from the announcement or earlier, the instance that frees the
/// part counts it from the announcement or later (see `fleet::Weights`), and a fetch ends within
/// 1.8 s.
#[test]
fn old_parts_expire_at_different_times_and_are_freed_after_the_last_fetch() {
    let mut graces: Vec<u128> =
        (0..100).map(|n| old_part_grace(&format!("part-{n}")).as_millis()).collect();
    graces.sort_unstable();
    graces.dedup();
    assert!(graces.len() > 90, "too many parts expire at the same time");
    assert!(
        free_delay("ctx") - old_part_grace("ctx") >= std::time::Duration::from_millis(1800 + 100)
    );
    let fetched = |since_ms: u64| {
        let mut stored = catalog(&[("ctx", 12_800)]);
        let mut stores = [(store(1, 100_000), &mut stored)];
        let now = Time(NOW.0 + 100);
        let replaced = Some(now.before(std::time::Duration::from_millis(since_ms)));
        let out = Plan::new(
            &prompt(12_800),
            &cache_salt("m", 1, SHARED),
            None,
            replaced,
            &mut stores,
            now,
        );
        assert_eq!(out.parts[0].save, None, "nothing is saved for replaced weights");
        out.fetches()
    };
    assert!(fetched(100));
    assert!(!fetched(old_part_grace("ctx").as_millis() as u64 + 1));
}

/// A process may be suspended between the plan and the sending of a request, and the store may restart
/// meanwhile. A fetch has a deadline at the engine, a save has none.
#[test]
fn a_request_that_saves_is_not_sent_late() {
    let mut empty = catalog(&[]);
    let mut stores = [(store(1, 100_000), &mut empty)];
    let out = plan(&prompt(12_800), None, &mut stores);
    assert!(out.parts[0].save.is_some());
    assert!(out.may_send(Time(NOW.0 + 1000)));
    assert!(!out.may_send(Time(NOW.0 + 1500)));

    let mut stored = catalog(&[("ctx", 12_800)]);
    let out = plan(&prompt(12_800), None, &mut [(store(1, 100_000), &mut stored)]);
    assert!(out.may_send(Time(NOW.0 + 1500)), "nothing is saved");
}
