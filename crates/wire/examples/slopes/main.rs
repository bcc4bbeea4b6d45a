//! Measures how memory, CPU time and network bytes of one instance grow with the size of a
//! deployment, fits a line to each series, and prints the predicted value at the target size.
//!
//! `cargo run --release -p wire --example slopes` prints the table of `docs/CAPACITY.md`.

mod counting_proxy;
mod exchange;
mod fit;
mod memory;
mod peers;
mod platform;
mod probe;
mod samples;
mod work;

#[path = "../../../member/tests/sim/mod.rs"]
mod sim;

use fit::Series;

fn main() {
    println!("| what | unit | sizes | measured | slope | at zero | residual | target | there |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let groups: [fn() -> Vec<Series>; 5] =
        [memory::series, work::series, peers::series, exchange::series, platform::series];
    for group in groups {
        for series in group() {
            println!("{}", series.row());
        }
    }
}
