//! No team uses KV cache of a dedicated team, or the other way round, whatever configurations follow
//! each other.

use std::collections::BTreeMap;

use fleet::{CacheScope, Team, Walls};
use place::{Salt, cache_salt};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn team(name: &str, dedicated: bool) -> Team {
    Team { name: name.into(), priority: None, dedicated }
}

fn salt(walls: &Walls, team: &Team) -> String {
    cache_salt("m", 1, walls.scope(Some(team))).to_string()
}

/// Parts that a team shared before it became dedicated are not used by others any more.
#[test]
fn a_team_that_becomes_dedicated_takes_what_it_made_with_it() {
    let open = [team("a", false), team("b", false)];
    let closed = [team("a", true), team("b", false)];
    let (before, after) = (Walls::new(&open), Walls::new(&closed));
    assert_eq!(salt(&before, &open[0]), salt(&before, &open[1]), "both share");
    assert_ne!(salt(&before, &open[1]), salt(&after, &closed[1]), "b has another salt");
    assert_ne!(salt(&after, &closed[0]), salt(&after, &closed[1]));
    assert!(!after.is_in_use(&before.scope(Some(&open[1]))), "the former salt may be freed");
    assert!(after.is_in_use(&after.scope(Some(&closed[0]))));
}

/// A request is sent under the configuration of that moment, and its team may have been accepted
/// under another one.
#[test]
fn a_request_on_its_way_follows_both_configurations() {
    let (open, closed) = (Walls::new(&[team("a", false)]), Walls::new(&[team("a", true)]));
    let own = CacheScope::Team("a".into());
    assert_eq!(closed.scope(Some(&team("a", false))), own, "it became dedicated meanwhile");
    assert_eq!(open.scope(Some(&team("a", true))), own, "it was dedicated before");
    let gone = Walls::new(&[]);
    assert_eq!(gone.scope(Some(&team("a", true))), own, "it was taken out meanwhile");
}

/// The scope follows from the dedicated teams alone, so that adding a key or a team, or an instance that
/// knows no earlier configuration, changes nothing.
#[test]
fn other_changes_leave_the_salts() {
    let one = Walls::new(&[team("a", true), team("b", false), team("c", true)]);
    let two = Walls::new(&[team("c", true), team("d", false), team("a", true), team("b", false)]);
    assert_eq!(salt(&one, &team("b", false)), salt(&two, &team("b", false)));
    assert_eq!(salt(&one, &team("a", true)), salt(&two, &team("a", true)));
}

/// Names may hold whatever the salt is made of.
#[test]
fn different_values_have_different_salts() {
    let names = ["m", "m/1", "m/1/2", "", "/", "1", "2", "%2F", "a b", "é", "m//", "a\nb"];
    let mut scopes: Vec<CacheScope> = names.iter().map(|n| CacheScope::Team((*n).into())).collect();
    scopes.push(CacheScope::Shared(None));
    scopes.push(Walls::new(&[team("a", true)]).scope(None));
    scopes.push(Walls::new(&[team("a", true), team("b", true)]).scope(None));
    scopes.push(Walls::new(&[team("ab", true)]).scope(None));
    let mut all = BTreeMap::new();
    for model in names {
        for version in [1, 2, 12] {
            for scope in &scopes {
                let text = cache_salt(model, version, scope.clone());
                let value = Salt { model: model.into(), version, scope: scope.clone() };
                assert!(text.bytes().all(|b| b.is_ascii_graphic()), "{text:?} fits into a header");
                assert_eq!(Salt::parse(&text).as_ref(), Some(&value), "{text}");
                assert_eq!(all.insert(text.to_string(), value), None, "{text} stands for two");
            }
        }
    }
    for odd in ["", "m", "m/x", "m/1/a/b", "m/1//xyz", "m/1//", "m/1/a//"] {
        assert_eq!(Salt::parse(odd), None, "{odd}");
    }
}

/// Random configurations in a row: teams become dedicated or not, are taken out and come again. A part
/// is only used by its maker, or while both teams share.
#[test]
fn no_wall_is_crossed_by_configurations_in_a_row() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let names = ["a", "b", "c", "d"];
        // Of each salt, the teams whose requests made parts under it.
        let mut makers: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        let mut known: BTreeMap<&str, bool> = names.iter().map(|n| (*n, false)).collect();
        for _ in 0..30 {
            let name = names[rng.random_range(0..names.len())];
            match known.remove(name) {
                Some(dedicated) if rng.random_bool(0.7) => known.insert(name, !dedicated),
                Some(_) => None,
                None => known.insert(name, rng.random_bool(0.5)),
            };
            let teams: Vec<Team> = known.iter().map(|(n, d)| team(n, *d)).collect();
            let walls = Walls::new(&teams);
            for (user, dedicated) in &known {
                let made = makers.entry(salt(&walls, &team(user, *dedicated))).or_default();
                let foreign = made.iter().filter(|maker| *maker != user);
                for maker in foreign {
                    let walled = *dedicated || known.get(maker) == Some(&true);
                    assert!(!walled, "seed {seed}: {user} uses a part of {maker} in {known:?}");
                }
                made.push(user);
                made.sort_unstable();
                made.dedup();
            }
        }
    }
}
