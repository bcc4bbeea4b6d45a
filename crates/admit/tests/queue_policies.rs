//! A comparison of policies by a load model.

mod model;

use admit::{FairLevels, FirstCome, Policy};
use model::{MIXES, SEEDS, Served, play, value};

/// Guards against an order that serves urgent requests less than others, starves a class, or loses
/// value against first come, first served.
#[test]
fn fair_levels_serve_all_classes_and_lose_no_value() {
    for (name, mix) in MIXES {
        for (load, instances) in
            [0.8, 1.1, 1.5, 2.5].iter().flat_map(|l| [1, 8, 110].map(|n| (*l, n)))
        {
            let case = format!("{name}, load {load}, {instances} instances");
            let fair: fn() -> Box<dyn Policy> = || Box::new(FairLevels { max_passes: 16 });
            let plays = |policy| SEEDS.map(|seed| play(&mix, load, instances, policy, seed));
            let (after, before) = (plays(fair), plays(|| Box::new(FirstCome)));
            let sum = |of: &dyn Fn([Served; 2]) -> f64| after.iter().map(|s| of(*s)).sum::<f64>();
            let shares = [0, 1].map(|class: usize| {
                sum(&|s| s[class].on_time + s[class].late) / sum(&|s| s[class].all)
            });
            let all = mix[0].0 * shares[0] + mix[1].0 * shares[1];
            assert!(shares[1] >= shares[0] - 0.05, "urgent ones are served less often: {case}");
            for (class, share) in shares.into_iter().enumerate() {
                let group =
                    |at: usize| sum(&|s| s[class].groups[at].1) / sum(&|s| s[class].groups[at].0);
                assert!(share.min(group(2)) >= all / 4.0, "a class or team starves: {case}");
                assert!(group(0).min(group(1)) >= share / 2.0, "large ones starve: {case}");
            }
            let total =
                |plays: [[Served; 2]; 4]| plays.iter().map(|s| value(&mix, *s)).sum::<f64>();
            // At low loads and with 110 instances the difference is chance: single seeds differ by -8
            // to 4 in 100, the lowest sum of the four is 0.992 of the other.
            assert!(total(after) >= 0.99 * total(before), "value is lost: {case}");
        }
    }
}
