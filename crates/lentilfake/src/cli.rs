//! Command-line options and the stand-in that they describe.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand};
use eyre::WrapErr;
use fakes::{App, Control, EngineConfig, Faults, StoreConfig, TableConfig};

/// Stand-ins for the systems around lentilpitch, with fault knobs.
#[derive(Parser)]
#[command(version)]
pub struct Cli {
    /// Which stand-in to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The stand-ins.
#[derive(Subcommand)]
pub enum Command {
    /// The platform's table service (DynamoDB JSON 1.0).
    Table(Table),
    /// The platform's object store (S3).
    Objects(Common),
    /// The platform's instance list (Prometheus HTTP SD).
    List(List),
    /// A model engine.
    Engine(Engine),
    /// A store instance for KV pieces.
    Store(Store),
    /// The weight store.
    Weights(Weights),
    /// A plain service.
    Service(Common),
}

/// Options of all stand-ins.
#[derive(Args)]
pub struct Common {
    /// Address to listen on; port 0 takes any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Fault knobs to start with, as JSON.
    #[arg(long, default_value = "{}", value_name = "JSON")]
    pub faults: String,
}

/// Options of the table service.
#[derive(Args)]
pub struct Table {
    #[command(flatten)]
    common: Common,
    /// Items written per second before calls are refused.
    #[arg(long)]
    write_rate: Option<u64>,
    /// Items read per second before calls are refused.
    #[arg(long)]
    read_rate: Option<u64>,
}

/// Options of the instance list.
#[derive(Args)]
pub struct List {
    #[command(flatten)]
    common: Common,
    /// File with the initial list, in the format of `GET /sd`.
    #[arg(long)]
    file: Option<PathBuf>,
}

/// Options of a model engine.
#[derive(Args)]
pub struct Engine {
    #[command(flatten)]
    common: Common,
    /// Model to serve.
    #[arg(long)]
    model: String,
    /// Weight version to start with.
    #[arg(long, default_value = "v1")]
    weights: String,
    /// Instance name.
    #[arg(long)]
    name: String,
    /// Target it is a replica of; shown in the process list only.
    #[arg(long)]
    target: Option<String>,
    /// Prompt tokens computed per second by one request.
    #[arg(long, default_value_t = 20_000)]
    prefill_rate: u32,
    /// Milliseconds per generated token.
    #[arg(long, default_value_t = 5)]
    decode_ms: u64,
    /// Requests running at once.
    #[arg(long, default_value_t = 8)]
    slots: usize,
    /// Requests waiting for a slot before calls are refused.
    #[arg(long, default_value_t = 64)]
    queue: usize,
    /// Pieces kept in accelerator memory.
    #[arg(long, default_value_t = 1024)]
    cache_pieces: usize,
    /// Bytes of one exported piece.
    #[arg(long, default_value_t = 16_384)]
    piece_bytes: usize,
    /// Base URL of the weight store; without one, weights load at once.
    #[arg(long)]
    weight_store: Option<String>,
    /// Refuse orders with an old fencing number.
    #[arg(long)]
    fenced: bool,
}

/// Options of a store instance.
#[derive(Args)]
pub struct Store {
    #[command(flatten)]
    common: Common,
    /// Bytes kept.
    #[arg(long, default_value_t = 256 << 20)]
    capacity: u64,
    /// Bytes per second of all transfers together.
    #[arg(long, default_value_t = 100_000_000)]
    link_rate: u64,
}

/// Options of the weight store.
#[derive(Args)]
pub struct Weights {
    #[command(flatten)]
    common: Common,
    /// Bytes of one weight version.
    #[arg(long, default_value_t = 10_000_000)]
    size: u64,
    /// Bytes per second of all downloads together.
    #[arg(long, default_value_t = 10_000_000)]
    link_rate: u64,
}

impl Command {
    /// Returns the options that all stand-ins have.
    pub fn common(&self) -> &Common {
        match self {
            Self::Objects(common) | Self::Service(common) => common,
            Self::Table(o) => &o.common,
            Self::List(o) => &o.common,
            Self::Engine(o) => &o.common,
            Self::Store(o) => &o.common,
            Self::Weights(o) => &o.common,
        }
    }

    /// Builds the stand-in. Fails if the fault knobs, the instance list or an option is invalid.
    pub fn app(self) -> eyre::Result<App> {
        let faults: Faults =
            serde_json::from_str(&self.common().faults).wrap_err("--faults is not valid")?;
        let control = Control::new(faults);
        Ok(match self {
            Self::Table(o) => fakes::table(
                TableConfig { write_rate: o.write_rate, read_rate: o.read_rate },
                control,
            ),
            Self::Objects(_) => fakes::objects(control),
            Self::List(o) => fakes::instances(read_instances(o.file)?, control),
            Self::Engine(o) => fakes::engine(o.config()?, control),
            Self::Store(o) => {
                fakes::store(StoreConfig { capacity: o.capacity, rate: o.link_rate }, control)
            }
            Self::Weights(o) => fakes::weights(o.size, o.link_rate, control),
            Self::Service(_) => fakes::service(control),
        })
    }
}

/// Reads the initial instance list; without a file, the list is empty.
fn read_instances(file: Option<PathBuf>) -> eyre::Result<Vec<fakes::Instance>> {
    let Some(file) = file else { return Ok(Vec::new()) };
    let text = std::fs::read_to_string(&file)
        .wrap_err_with(|| format!("cannot read the instance list {}", file.display()))?;
    serde_json::from_str(&text)
        .wrap_err_with(|| format!("{} is not an instance list", file.display()))
}

impl Engine {
    fn config(self) -> eyre::Result<EngineConfig> {
        eyre::ensure!(self.piece_bytes >= 32, "--piece-bytes must be at least 32");
        Ok(EngineConfig {
            model: self.model,
            weights: self.weights,
            name: self.name,
            prefill: self.prefill_rate,
            decode: Duration::from_millis(self.decode_ms),
            slots: self.slots.max(1),
            queue: self.queue,
            cache: self.cache_pieces,
            block: self.piece_bytes,
            source: self.weight_store,
            fenced: self.fenced,
        })
    }
}
