//! Brings up a small deployment, runs the main job step by step, and leaves nothing running.

mod steps;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match steps::run().await {
        Ok(()) => {
            println!("all steps did what they should");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("[lentildemo error]: {error:#}");
            ExitCode::FAILURE
        }
    }
}
