//! The local times that readings of the registry's clock stand for.

use ident::Time;
use relay::RegistryClock;

/// A clock that goes back by less than the delay at which a reading counts as one of another clock.
#[test]
fn readings_are_of_one_era() {
    let mut clock = RegistryClock::default();
    clock.observe(1, 50_000, Time(100_000));
    clock.observe(2, 41_000, Time(101_000));
    assert_eq!(clock.to_local(41_000), Some(Time(101_000)));
    assert_eq!(clock.to_registry(Time(102_000)), Some(42_000));
    clock.observe(1, 52_000, Time(102_000));
    assert_eq!(clock.to_local(41_000), Some(Time(101_000)), "a late reading of the old era");
    assert_eq!(clock.era(), 2);
}

#[test]
fn the_fastest_reading_of_an_era_counts() {
    let mut clock = RegistryClock::default();
    clock.observe(1, 50_000, Time(100_300));
    clock.observe(1, 51_000, Time(101_010));
    clock.observe(1, 52_000, Time(102_200));
    assert_eq!(clock.to_local(51_000), Some(Time(101_010)));
}
