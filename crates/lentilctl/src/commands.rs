//! The commands, one module each.

mod apply;
mod docs;
mod events;
mod keys;
mod moving;
mod roll;
mod set;
mod status;
mod story;
mod withdraw;

use std::io::Write;

use admin::StatusWire;
use clap::CommandFactory;
use clap_complete::Shell;
use conf::Kind;
use hyper::Method;

use crate::{
    cli::{Cli, Command, DocCommand, KeyCommand, ModelCommand, TargetCommand, TeamCommand},
    client::Client,
    config::Config,
    error::CommandError,
    exit::Exit,
    output::Output,
};

/// What every command needs.
pub struct Context {
    /// Client of the instances.
    pub client: Client,
    /// Prints results.
    pub out: Output,
}

/// Runs the command of the command line.
pub async fn run(cli: Cli) -> Result<Exit, CommandError> {
    let out = Output { json: cli.global.json };
    match cli.command {
        Command::Completions { shell } => return completions(shell),
        Command::Key => return keys::random(out),
        Command::Story { id, files } => return story::run(&id, &files),
        _ => {}
    }
    let client = Client::new(Config::new(&cli.global)?);
    dispatch(&Context { client, out }, cli.command).await
}

async fn dispatch(cx: &Context, command: Command) -> Result<Exit, CommandError> {
    match command {
        Command::Template(c) => doc(cx, Kind::Template, c).await,
        Command::Team(TeamCommand::Doc(c)) => doc(cx, Kind::Team, c).await,
        Command::Team(TeamCommand::Key(KeyCommand::New { team })) => keys::new(cx, team).await,
        Command::Team(TeamCommand::Key(KeyCommand::Remove { team, digest })) => {
            keys::remove(cx, team, digest).await
        }
        Command::Target(TargetCommand::Doc(c)) => doc(cx, Kind::Target, c).await,
        Command::Target(TargetCommand::Move { name, to }) => moving::run(cx, name, to).await,
        Command::Target(TargetCommand::Withdraw { replica, target, undo }) => {
            withdraw::run(cx, replica, target, undo).await
        }
        Command::Model(ModelCommand::Doc(c)) => doc(cx, Kind::Model, c).await,
        Command::Model(ModelCommand::Roll { name, version, wait, within }) => {
            roll::run(cx, name, version, wait.then_some(within)).await
        }
        Command::Apply { file } => apply::mixed_kinds(cx, &file).await,
        Command::Status { same } => status::show(cx, same).await,
        Command::Events { follow, trace } => events::run(cx, follow, trace).await,
        Command::Wait { rev, within } => status::wait(cx, rev, within).await,
        Command::Drain => drain(cx).await,
        Command::Key | Command::Story { .. } | Command::Completions { .. } => {
            unreachable!("`key`, `story` and `completions` run without a client")
        }
    }
}

fn completions(shell: Shell) -> Result<Exit, CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "lentilctl", &mut script);
    std::io::stdout().write_all(&script)?;
    Ok(Exit::Done)
}

async fn doc(cx: &Context, kind: Kind, command: DocCommand) -> Result<Exit, CommandError> {
    match command {
        DocCommand::List => docs::list(cx, kind).await,
        DocCommand::Get { name } => docs::get(cx, kind, name).await,
        DocCommand::Remove { name, change } => docs::remove(cx, kind, name, change).await,
        DocCommand::Apply(args) => apply::one_kind(cx, kind, &args).await,
        DocCommand::Set { name, fields, retry, change } => {
            set::run(cx, kind, name, &fields, retry, change).await
        }
    }
}

async fn drain(cx: &Context) -> Result<Exit, CommandError> {
    let [admin] = cx.client.admins() else {
        return Err(CommandError::SeveralAdmins(cx.client.admins().len()));
    };
    let status: StatusWire = cx.client.send(admin, Method::POST, "/admin/v1/drain").await?;
    let text = format!(
        "{} is draining: {} requests run; it ends by itself when they are done",
        status.name, status.running
    );
    cx.out.show(&text, &status)?;
    Ok(Exit::Done)
}
