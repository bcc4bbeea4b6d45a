//! Prints the table of policies of the design note on waiting.

#[path = "../tests/model/mod.rs"]
mod model;

use admit::{EarliestDeadline, FairLevels, FirstCome, LeastSlack, Policy, ValuePerWork};
use model::{MIXES, SEEDS, Served, play, value};

fn policies() -> [fn() -> Box<dyn Policy>; 7] {
    [
        || Box::new(FirstCome),
        || Box::new(EarliestDeadline),
        || Box::new(LeastSlack),
        || Box::new(ValuePerWork),
        || Box::new(FairLevels { max_passes: 4 }),
        || Box::new(FairLevels { max_passes: 16 }),
        || Box::new(FairLevels { max_passes: 64 }),
    ]
}

fn main() {
    for (name, mix) in MIXES {
        for load in [0.8, 1.1, 1.5, 2.5] {
            for instances in [1, 8, 110] {
                for policy in policies() {
                    let [long, short] = play(&mix, load, instances, policy, SEEDS[0]);
                    let part = |n: f64, s: Served| n / s.all;
                    println!(
                        "{name} {load} {instances:>3} {:<45} value {:>7.0} long {:.2} {:.2} short {:.2} {:.2} told {:.0} {:.0}",
                        format!("{:?}", policy()),
                        value(&mix, [long, short]),
                        part(long.on_time, long),
                        part(long.late, long),
                        part(short.on_time, short),
                        part(short.late, short),
                        long.told_ms / long.all,
                        short.told_ms / short.all,
                    );
                }
            }
        }
    }
}
