//! Measures how state, processor time and bytes of one instance grow with the sizes of a
//! deployment, fits a line to each, and prints what it gives at the target size.
//!
//! `cargo run --release -p wire --example slopes` prints the table of `docs/CAPACITY.md`.

mod exchange;
mod fit;
mod memory;
mod peers;
mod platform;
mod probe;
mod relay;
mod samples;
mod work;

#[path = "../../../member/tests/sim/mod.rs"]
mod sim;

use fit::Series;

fn main() {
    println!("| what | unit | sizes | measured | slope | at zero | residual | target | there |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let parts: [fn() -> Vec<Series>; 5] =
        [memory::series, work::series, peers::series, exchange::series, platform::series];
    for part in parts {
        for series in part() {
            println!("{}", series.row());
        }
    }
}
