//! Measures the decisions of lentilpitch under its users' workloads.

use std::{path::PathBuf, time::Duration};

use bench::{Figures, Options, PolicyKind, Workload, compare, run, table};
use clap::{Args, Parser, Subcommand};
use eyre::{Context, Result};

/// Measures the decisions of lentilpitch.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Replays a workload through the decision code with a stepped clock.
    Decide(Decide),
    /// Plays the prompts of the users' platform over placing, waiting, fetching and saving.
    Place(Box<Place>),
    /// Shows the figures of one run as ratios to another's.
    Compare {
        /// Figures written by `decide --json`.
        before: PathBuf,
        /// Figures written by `decide --json`.
        after: PathBuf,
    },
}

#[derive(Debug, Args)]
struct Decide {
    /// Workload: inkline or umthombo.
    #[arg(long)]
    workload: Workload,
    /// Policy, or `all`.
    #[arg(long, default_value = "all")]
    policy: String,
    /// Seconds that are measured, after as long a warm-up.
    #[arg(long, default_value_t = 2_400)]
    secs: u64,
    /// Seed; may be given several times.
    #[arg(long, default_value = "1")]
    seed: Vec<u64>,
    /// Multiple of the workload's rate.
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Seconds until load reports and evictions are known.
    #[arg(long, default_value_t = 1)]
    lag: u64,
    /// Limit of each team on requests per second, as a multiple of its usual rate at load 1.
    #[arg(long, default_value_t = 4.0)]
    limit: f64,
    /// Index of a team that sends ten times its rate in the second half.
    #[arg(long)]
    flood: Option<usize>,
    /// Seconds for which every engine is down in the middle.
    #[arg(long, default_value_t = 0)]
    outage: u64,
    /// How often a refused caller comes back.
    #[arg(long, default_value_t = 0)]
    returns: u8,
    /// Factor on the rate of all links in the middle third.
    #[arg(long, default_value_t = 1.0)]
    links: f64,
    /// Writes JSON in place of a table.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<()> {
    match Cli::parse().command {
        Command::Decide(args) => decide(&args),
        Command::Place(args) => place(&args),
        Command::Compare { before, after } => {
            let read = |path: &PathBuf| {
                std::fs::read_to_string(path).wrap_err_with(|| format!("reading {path:?}"))
            };
            println!("{}", compare(&read(&before)?, &read(&after)?)?);
            Ok(())
        }
    }
}

#[derive(Debug, Args)]
struct Place {
    /// Deployment: inkline or umthombo.
    #[arg(long)]
    mix: trial::Mix,
    /// Policy: ours, unheld, least, unkept or all.
    #[arg(long, default_value = "all")]
    policy: String,
    /// Seconds in which requests arrive.
    #[arg(long, default_value_t = 60)]
    secs: u64,
    /// Seed; may be given several times.
    #[arg(long, default_value = "1")]
    seed: Vec<u64>,
    /// Multiple of the usual rate; may be given several times.
    #[arg(long, default_value = "1")]
    load: Vec<f64>,
    /// Writes JSON in place of a table.
    #[arg(long)]
    json: bool,
}

fn place(args: &Place) -> Result<()> {
    let policies = match args.policy.as_str() {
        "all" => trial::Policy::ALL.to_vec(),
        name => vec![name.parse()?],
    };
    let length = Duration::from_secs(args.secs);
    let mut all = Vec::new();
    for &load in &args.load {
        for &policy in &policies {
            all.extend(args.seed.iter().map(|&seed| {
                trial::run(&trial::Options { mix: args.mix, policy, length, load, seed })
            }));
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&all)?);
    } else {
        println!("{}", trial::table(&all));
    }
    Ok(())
}

fn decide(args: &Decide) -> Result<()> {
    let policies = match args.policy.as_str() {
        "all" => PolicyKind::ALL.to_vec(),
        name => vec![name.parse()?],
    };
    let mut all: Vec<Figures> = Vec::new();
    for &policy in &policies {
        all.extend(args.seed.iter().map(|seed| run(&args.options(policy, *seed))));
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&all)?);
    } else {
        println!("{}", table(&all));
    }
    Ok(())
}

impl Decide {
    fn options(&self, policy: PolicyKind, seed: u64) -> Options {
        Options {
            workload: self.workload,
            policy,
            secs: self.secs,
            seed,
            load: self.load,
            lag: self.lag,
            limit: self.limit,
            flood: self.flood,
            outage: self.outage,
            returns: self.returns,
            links: self.links,
        }
    }
}
